"""Membership changes: rules, scenarios, explored faults, random runs and mutants."""

import itertools
import random
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from ward import each, test

from ashlift.configstore.codec import METHOD_VOTE
from ashlift.configstore.membership import LEARNER_PREFIX, VOTER_PREFIX, addresses_under, quorum
from ashlift.configstore.membership_rules import (
    REMOVE_VOTER_AFTER_SECONDS,
    REMOVE_VOTER_PAIR_AFTER_SECONDS,
    REPLACE_VOTER_AFTER_SECONDS,
    ReplicaView,
    next_membership_change,
    removal_refusal,
    spare_voters,
)
from ashlift.configstore.persistent_state import PersistentVote, Snapshot
from ashlift.configstore.proposals import Proposal
from ashlift.configstore.ranged_map import RangedMap
from ashlift.configstore.replica import Replica
from ashlift.configstore.replica_io import ClockTicked, ResponseReceived, StatePersisted
from ashlift.configstore.replica_state import InvariantError
from ashlift.simulation.explore import CASES, explore
from ashlift.simulation.invariant_checker import InvariantViolationError, decide_history_command
from ashlift.simulation.random_replica_worlds import run_random_world
from tests.support.mutants import mutated
from tests.support.replica_driver import requests_sent
from tests.support.replica_scenarios import ReplicaScenarioPlayer, membership_table, read_scenarios

SCENARIOS = dict(read_scenarios(Path(__file__).parent.parent / "scenarios" / "configstore_members.txt"))
UP_TO_DATE, SILENT, REPLACEABLE, REMOVABLE, REMOVABLE_AS_PAIR = (
    ReplicaView(0.1, True, 7),
    ReplicaView(2.0),
    ReplicaView(REPLACE_VOTER_AFTER_SECONDS),
    ReplicaView(REMOVE_VOTER_AFTER_SECONDS),
    ReplicaView(REMOVE_VOTER_PAIR_AFTER_SECONDS),
)
VIEWS = (UP_TO_DATE, SILENT, REPLACEABLE, REMOVABLE, REMOVABLE_AS_PAIR)


@test("membership scenario: {scenario}")
def _(scenario: str = each(*SCENARIOS)) -> None:
    for seed in (1, 2):
        player = ReplicaScenarioPlayer(seed)
        for line in SCENARIOS[scenario]:
            player.play(line)


def apply_change(entries: dict[str, Any], change: Proposal) -> dict[str, Any]:
    return {key: value for key, value in {**entries, **change.updates}.items() if key not in change.deletions}


@test("no membership change by the leader reduces the failures tolerated or depends on the new voter")
def _() -> None:
    changed = 0
    for count, learners, tolerated in itertools.product(range(2, 8), range(3), (1, 2)):
        for others in itertools.combinations_with_replacement(VIEWS, count - 1):
            views = {str(number): view for number, view in enumerate([UP_TO_DATE, *others])}
            entries: dict[str, Any] = {VOTER_PREFIX + ip: {} for ip in views}
            for number in range(learners):
                entries[f"{LEARNER_PREFIX}x{number}"], views[f"x{number}"] = {"life": 7}, UP_TO_DATE
            for _ in range(12):
                voters = addresses_under(entries, VOTER_PREFIX)
                change = next_membership_change(entries, "0", {}, views, tolerated)
                if change is None:
                    break
                changed += 1
                entries = apply_change(entries, change)
                voters_after = addresses_under(entries, VOTER_PREFIX)
                assert len({*voters_after} ^ {*voters}) == 1
                assert "0" in voters_after
                assert spare_voters(voters_after, views) >= spare_voters(voters, views), (
                    voters,
                    voters_after,
                )
                assert spare_voters(voters_after, views) >= 0, "no majority could commit the change"
                promoted = {*voters_after} - {*voters}
                up_to_date = sum(views[ip].is_up_to_date for ip in voters_after if ip not in promoted)
                assert up_to_date >= quorum(len(voters_after)), "the quorum depends on the new voter"
                assert len(voters_after) + len(addresses_under(entries, LEARNER_PREFIX)) >= min(
                    count, max(3, 2 * tolerated + 1)
                )
            else:
                raise AssertionError("the changes do not converge")
    assert changed > 500


@test("the refusal to remove a voter states the reason")
def _() -> None:
    voters: dict[str, Any] = {VOTER_PREFIX + ip: {} for ip in "12345"}
    views = dict.fromkeys("12345", UP_TO_DATE)
    assert removal_refusal(voters, "5", views, 1) is None
    assert removal_refusal(voters, "5", views, 2) == "4 voters would be left, and 5 are needed to lose 2"
    assert removal_refusal(voters, "9", views, 1) == "9 is no voter"
    two_silent = {**views, "1": SILENT, "2": SILENT}
    assert (
        removal_refusal(voters, "5", two_silent, 1)
        == "4 would be left, and 1 more of them must be heard and up to date"
    )
    assert removal_refusal(voters, "5", {**views, "1": SILENT}, 1) == "only 0 more could be lost then"
    replaced = {**voters, VOTER_PREFIX + "5": {"leaving": "replace", "until": 5}}
    assert removal_refusal(replaced, "5", views, 1, "replace") == "5 others must vote first, and 4 do"


@test("explorer: one fault at every step of a membership change: {case}")
def _(case: str = each("add+", "remove+")) -> None:
    report = explore(CASES[case])
    assert not report.violation, "\n".join([report.violation, *report.trace])
    assert not report.skipped_count, str(report)
    assert report.finished_count > 50, str(report)


@test("M1 to M4 hold in long runs of {members} replicas with membership changes")
def _(members: int = each(5, 7)) -> None:
    worlds = [run_random_world(members, seed, turnover=0.1) for seed in range(5)]
    assert sum(world.voter_changes for world in worlds) > 20, "too few voter changes to be conclusive"


RANDOM_RUN_MUTANTS = (
    "quorum of the previous voters",
    "two proposals in flight",
    "learner counted in the quorum",
    "removed replica stands for election, votes of non-voters counted",
)


@test("mutant detected in random runs: {mutants}")
def _(mutants: str = each(*RANDOM_RUN_MUTANTS)) -> None:
    with ExitStack() as stack:
        for name in mutants.split(", "):
            stack.enter_context(mutated(name))
        for seed in range(12):
            try:
                run_random_world(5, seed, turnover=0.15)
            except (InvariantViolationError, InvariantError):
                return
    raise AssertionError("not detected")


def elects(entries: dict[str, Any], peer: str, incarnation: int) -> bool:
    """Whether replica 1 is elected with its own vote and that of `peer`, in this incarnation."""
    vote = PersistentVote(1, None, True, 11)
    snapshot = Snapshot((1, 3), RangedMap(entries))
    replica = Replica("1", ["1", "2"], False, vote, snapshot, decide_history_command, random.Random(4))
    replica.start(0.0)
    effects = replica.handle(2.0, ClockTicked())
    for _ in range(2):  # the pre-vote, then the vote
        requests = requests_sent(effects, METHOD_VOTE)
        effects = []
        for request in requests:
            if request.peer == peer:
                body = [1, True, incarnation]
                granted = ResponseReceived(peer, METHOD_VOTE, 2.0, request.context, body)
                effects += replica.handle(2.0, granted)
        if replica.is_persisting:
            effects += replica.handle(2.0, StatePersisted(True))
    return replica.leader_role is not None


def with_disks(**incarnations: int) -> dict[str, Any]:
    return {VOTER_PREFIX + ip[1:]: {"life": incarnation} for ip, incarnation in incarnations.items()}


@test("a vote counts only from voters of the newest accepted map, with the incarnation named there")
def _() -> None:
    three = with_disks(m1=11, m2=12, m3=13)
    assert elects(three, "2", 12)
    assert not elects(three, "2", 99), "the vote of another incarnation counted"
    assert not elects({**three, VOTER_PREFIX + "4": {}}, "2", 12), "two of four voters are not a majority"
    assert not elects({**three, LEARNER_PREFIX + "4": {"life": 14}}, "4", 14), "the vote of a learner counted"
    assert not elects(with_disks(m2=12, m3=13), "2", 12), "a removed replica was elected"
    assert not elects(with_disks(m1=11, m3=13, m4=14), "2", 12), "the vote of a removed replica counted"


ELECTION_MUTANTS = (
    "vote of another incarnation counted",
    "removed replica stands for election, votes of non-voters counted",
    "removed replica asked for its vote, votes of non-voters counted",
)


@test("mutant detected by the votes that count: {mutants}")
def _(mutants: str = each(*ELECTION_MUTANTS)) -> None:
    with ExitStack() as stack:
        for name in mutants.split(", "):
            stack.enter_context(mutated(name))
        three = with_disks(m1=11, m2=12, m3=13)
        removed = elects(with_disks(m2=12, m3=13), "2", 12), elects(with_disks(m1=11, m3=13, m4=14), "2", 12)
        assert elects(three, "2", 99) or any(removed)


@test("the membership table shows roles, leaving voters, lag, and why a voter cannot be removed")
def _() -> None:
    found = membership_table("members 5", "run 5", "order replace 5 -> 200", "lose 4", "run 2")
    rows = {row["ip"]: row for row in found}
    assert [row["role"] for row in rows.values()] == ["voter"] * 5
    assert rows["5"]["leaving"] == "replace"
    assert rows["5"]["stays"] == "5 others must vote first, and 4 do"
    assert rows["4"]["unheard"] > 1.5
    assert sum(row["leads"] for row in rows.values()) == 1
    assert {row["behind"] for ip, row in rows.items() if ip != "4"} == {0}
    rows = {
        row["ip"]: row for row in membership_table("members 5", "run 5", "order remove 5 -> 200", "run 1")
    }
    assert rows["5"]["role"] == "held learner"
    assert not rows["5"]["counts"]
