"""The store's agreement: text scenes, a fault at every step, every fate of messages, long mixed runs."""

import itertools
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from ward import each, raises, test

from ashlift.configstore.codec import (
    CODE_BEHIND,
    CODE_LEARNER,
    KIND_DELTA,
    KIND_PROMOTION,
    KIND_RANGES,
    pack,
    unpack,
)
from ashlift.configstore.persistent_state import PersistentVote
from ashlift.configstore.proposals import FencingToken, Proposal, ReadOnlyResult
from ashlift.configstore.replica import Replica
from ashlift.configstore.replica_io import (
    ClockTicked,
    CommandSubmitted,
    ReadRequested,
    ResponseReceived,
    StatePersisted,
)
from ashlift.configstore.replica_state import InvariantError
from ashlift.configstore.timing import (
    CALL_TIMEOUT_SECONDS,
    LEARNER_QUARANTINE_SECONDS,
    QUORUM_CONTACT_TIMEOUT_SECONDS,
)
from ashlift.errors import Failure, FailureReason
from ashlift.simulation.members import World
from ashlift.simulation.turnover import mixed
from tests.support.replica_driver import (
    append_request,
    append_response,
    elected_replica,
    feed,
    held_snapshot,
    make_replica,
    replies,
    request_received,
    requests_sent,
)
from tests.support.replica_scenarios import Play, scenes

SCENES = dict(scenes(Path(__file__).parent.parent / "scenarios" / "configstore_agreement.txt"))


@test("vise scene: {scene}")
def _(scene: str = each(*SCENES)) -> None:
    for seed in (1, 2, 3):
        play = Play(seed)
        for line in SCENES[scene]:
            play.line(line)


@test("I1 to I8 in long mixed runs of {members}")
def _(members: int = each(3, 5, 7, 12)) -> None:
    acknowledged = sum(len(mixed(members, seed).chain) for seed in range(8 if members < 12 else 3))
    assert acknowledged > 20, "too little was agreed on to tell"


def begun(members: int, seed: int) -> World:
    """A world with a leader that has committed one change, and a second one just submitted."""
    world = World(members, seed)
    world.run(2.5 if members == 3 else 5.0)
    leader = world.leader()
    assert leader
    world.put(leader)
    world.run(0.5)
    world.put(leader)
    return world


def steps_of(members: int, seed: int, seconds: float) -> tuple[int, int]:
    """The steps from the second change's submission until so much later."""
    world = begun(members, seed)
    first = world.step
    world.run(seconds)
    return first, world.step


@test("I3 I4: every member killed, frozen or cut off at every step of a change")
def _(what: str = each("kill", "freeze", "cut")) -> None:
    first, last = steps_of(3, 5, 0.25)
    assert last - first > 20
    for step, ip in itertools.product(range(first + 1, last + 1), ("1", "2", "3")):
        world = begun(3, 5)

        def strike(world: World = world, ip: str = ip) -> None:
            if what == "cut":
                for other in set(world.ips) - {ip}:
                    world.cut(ip, other)
                    world.cut(other, ip)
            else:
                getattr(world, what)(ip)

        world.at_step[step] = strike
        world.run(2.0)
        world.settle()


@test("I4 I8: the closing fault at every step: one of {members} loses its disk, all others lose power")
def _(members: int = each(3, 5)) -> None:
    first, last = steps_of(members, 3, 0.06)
    for step, ip in itertools.product(range(first + 1, last + 2), "12345"[:members]):
        world = begun(members, 3)

        def strike(world: World = world, ip: str = ip) -> None:
            world.wipe(ip)
            for other in world.ips:
                world.kill(other)

        world.at_step[step] = strike
        world.run(0.3)
        world.settle()

        def voting(world: World = world) -> bool:
            return world.learners() == 0

        assert voting() or world.run(5, voting)


def in_turn(fates: Iterable[str | None]) -> Callable[[str, str, str], str | None]:
    """The fates of the next messages, whoever sends them."""
    coming = iter(fates)
    return lambda replica, other, kind: next(coming, None)


@test("I1 I2 I3: every fate (lost, doubled, late) of the first messages between three who elect and commit")
def _() -> None:
    every = itertools.product((None, "drop", "double", "late"), repeat=4)
    for fates, lost in itertools.product(every, (False, True)):
        world = begun(3, 7)
        leader = world.leader()
        world.fate = in_turn(fates)
        if lost:
            world.kill(str(leader))
        world.run(1.6)
        for ip in world.ips:
            if world.nodes[ip].member:
                world.put(ip)
        world.run(0.3)
        world.settle()


@test("I8: a learner is mute, then says that it is one, and never votes")
def _() -> None:
    replica = make_replica(None, None)
    request_vote = request_received("request_vote", [5, "2", 9, 9, False])
    append = append_request([5, "2", 1, 3, 0, 0, 0, True])
    assert all(
        isinstance(body, Failure)
        for body in replies(feed(replica, LEARNER_QUARANTINE_SECONDS - 0.01, append))
    )
    assert replies(feed(replica, LEARNER_QUARANTINE_SECONDS + 0.01, append))[0][1] == CODE_LEARNER
    assert isinstance(replies(feed(replica, LEARNER_QUARANTINE_SECONDS + 0.02, request_vote))[0], Failure)
    feed(replica, 60.0, ClockTicked())
    assert replica.election.attempt is None and not replica.vote.is_voter


@test("I2: a vote counts only within the call's time-out, and only from a member")
def _() -> None:
    replica = make_replica(PersistentVote(1, None, True), held_snapshot())
    ask = requests_sent(feed(replica, 2.0, ClockTicked()), "request_vote")[0]
    feed(replica, 2.1, ResponseReceived("9", "request_vote", 2.0, ask.context, [1, True]))
    feed(
        replica,
        2.01 + CALL_TIMEOUT_SECONDS,
        ResponseReceived("2", "request_vote", 2.0, ask.context, [1, True]),
    )
    assert (
        replica.election.attempt is not None
        and replica.election.attempt.is_pre_vote
        and replica.vote.term == 1
    )


@test("I8: a learner is promoted only by a commit after the leader heard of that life, without its own yes")
def _() -> None:
    replica = elected_replica()
    index = replica.snapshot.term_index[1]
    for peer in "23":  # a majority, with 2, commits
        feed(
            replica,
            2.0,
            append_response(peer, 2.0, 1, index, [2, 1, 5]),
        )
    assert replica.leader_role is not None and replica.leader_role.commit_index == index
    told = feed(
        replica,
        2.1,
        append_response("2", 2.1, 2, index, [2, CODE_LEARNER, 6, 77, True, None], carried_payload=False),
    )
    payloads = [
        unpack(send.body[7]) for send in requests_sent(told, "append") if isinstance(send.body[7], bytes)
    ]
    assert payloads and all(payload[0] == KIND_DELTA for payload in payloads)
    assert replica.leader_role.proposed.term_index == (2, index + 1), (
        "nothing was proposed after hearing of the new life"
    )
    learner = append_response("2", 2.15, 3, index + 1, [2, CODE_LEARNER, 7, 77, True, None])
    feed(
        replica,
        2.2,
        append_response("3", 2.15, 3, index + 1, [2, 1, 6]),
    )
    feed(replica, 2.2, learner)
    assert replica.leader_role.commit_index == index, "a learner was counted"
    feed(
        replica,
        2.2,
        append_response("4", 2.15, 3, index + 1, [2, 1, 6]),
    )
    assert replica.leader_role.commit_index == index + 1
    promoted = [
        unpack(send.body[7])
        for send in requests_sent(feed(replica, 2.2, learner), "append")
        if send.peer == "2"
    ]
    assert promoted == [[3, 77]]


@test("I6 I8: nothing is read by answers that are late, of a learner or to a round begun before the call")
def _() -> None:
    replica = elected_replica()
    index = replica.snapshot.term_index[1]
    for peer in "23":
        feed(
            replica,
            2.0,
            append_response(peer, 2.0, 1, index, [2, 1, 5]),
        )
    asked = feed(replica, 2.1, ReadRequested("read")) + feed(
        replica, 2.1, CommandSubmitted("stale", (9, "x"))
    )
    assert not replies(asked), "answered without a round"
    for peer, at, body in (("2", 1.2, [2, 1, 6]), ("4", 2.1, [2, CODE_LEARNER, 6, 77, False, None])):
        assert not replies(
            feed(replica, 2.1, append_response(peer, at, 4, index, body, carried_payload=False))
        )
    for peer, number in (("3", 4), ("5", 2)):
        yes = append_response(peer, 2.1, number, index, [2, 1, 6], carried_payload=False)
        assert not replies(feed(replica, 2.1, yes))
    done = replies(feed(replica, 2.1, append_response("5", 2.1, 4, index, [2, 1, 6], carried_payload=False)))
    assert done == [replica.committed_state.snapshot, {"status": 412, "index": index}]
    feed(replica, 2.1 + QUORUM_CONTACT_TIMEOUT_SECONDS + 0.1, ClockTicked())
    assert replica.leader_role is None, "it leads on though it hears nobody"


def settled() -> tuple[Replica, int]:
    """A leader that has committed at index `[1]`, one order decided by `zones`; time is 2.0 s."""
    replica = elected_replica()
    index = replica.snapshot.term_index[1]
    for peer in "23":
        feed(
            replica,
            2.0,
            append_response(peer, 2.0, 1, index, [2, 1, 5]),
        )
    assert replica.leader_role is not None and replica.leader_role.commit_index == index
    replica.leader_role.command_handler = zones
    return replica, index


def zones(current: Any, order: Any) -> Proposal | ReadOnlyResult:
    """`+z` evacuates, `-z` takes it back."""
    on, key = order[0] == "+", f"Evacuations/{order[1:]}"
    if (key in current) == on:
        return ReadOnlyResult({"status": 200})
    return Proposal({key: True} if on else {}, [] if on else [key], {"status": 200}, (key,))


def taken(replica: Replica, now: float, round_: int) -> list[Any]:
    """All replies once a majority has what is under way and has answered that round."""
    assert replica.leader_role is not None
    index, found = replica.leader_role.proposed.term_index[1], []
    for peer in "23":
        yes = append_response(peer, now, round_, index, [2, 1, 7])
        found += replies(feed(replica, now, yes))
    return found


@test("an order is begun while its caller waits and never later: {story}")
def _(
    story: str = each("in time", "held up", "of another leader", "of no round", "behind another", "void"),
) -> None:
    replica, index = settled()
    lead = replica.leader_role
    assert lead is not None
    feed(replica, 2.05, ClockTicked())
    known = lead.rounds.newest
    match story:
        case "in time":
            feed(replica, 2.6, CommandSubmitted("a", "+z", FencingToken(2, known, index, 0.9)))
            assert lead.proposals.in_flight and taken(replica, 2.61, lead.rounds.newest) == [
                {"status": 200, "index": index + 1}
            ]
        case "held up":
            found = replies(
                feed(replica, 2.96, CommandSubmitted("a", "+z", FencingToken(2, known, index, 0.9)))
            )
            assert [fault.reason for fault in found] == [
                FailureReason.EXPIRED
            ] and not lead.proposals.in_flight
        case "of another leader":
            found = replies(
                feed(replica, 2.06, CommandSubmitted("a", "+z", FencingToken(1, known, index, 0.9)))
            )
            assert [fault.reason for fault in found] == [
                FailureReason.EXPIRED
            ] and not lead.proposals.in_flight
        case "of no round":
            found = replies(feed(replica, 2.06, CommandSubmitted("a", "+z", FencingToken(2, 0, index, 0.9))))
            assert [fault.reason for fault in found] == [
                FailureReason.EXPIRED
            ] and not lead.proposals.in_flight
        case "behind another":
            feed(replica, 2.1, CommandSubmitted("a", "+y", FencingToken(2, known, index, 0.9)))
            assert not replies(
                feed(replica, 2.1, CommandSubmitted("b", "+z", FencingToken(2, known, index, 0.9)))
            )
            done, late = taken(replica, 3.0, lead.rounds.newest)
            assert (
                done["status"] == 200
                and late.reason == FailureReason.EXPIRED
                and not lead.proposals.in_flight
            )
        case "void":
            for at, order in ((2.1, "+z"), (2.15, "-z")):
                feed(
                    replica,
                    at,
                    CommandSubmitted("a", order, FencingToken(2, lead.rounds.newest, lead.commit_index, 0.9)),
                )
                taken(replica, at, lead.rounds.newest)
            assert lead.commit_index == index + 2 and "Evacuations/z" not in lead.proposed.entries.map
            found = replies(
                feed(replica, 2.2, CommandSubmitted("b", "+z", FencingToken(2, known, index, 0.9)))
            )
            assert [fault.reason for fault in found] == [FailureReason.EXPIRED], (
                "taken back meanwhile, and in force again"
            )
            feed(replica, 2.2, CommandSubmitted("c", "+z", FencingToken(2, known, index + 2, 0.9)))
            assert lead.proposals.in_flight, "who knows of it may evacuate again"


@test("I2 I4: a member says yes only to what it holds durably and whole, and is promoted only in this life")
def _() -> None:
    replica = make_replica(PersistentVote(2, "2", True), held_snapshot())
    for prev, digest in ((2, held_snapshot().entries.digest()), (3, b"no")):
        body = [2, "2", 1, 4, 0, 0, 0, pack([KIND_DELTA, 1, prev, {}, [], digest])]
        assert replies(feed(replica, 5.0, append_request(body)))[0][1] == CODE_BEHIND
    good = [2, "2", 1, 4, 0, 0, 0, pack([KIND_DELTA, 1, 3, {}, [], held_snapshot().entries.digest()])]
    assert not replies(replica.handle(5.0, append_request(good))), "answered before the write"
    assert isinstance(
        replies(replica.handle(5.0, StatePersisted(False)))[0], Failure
    ) and replica.term_index == (
        1,
        3,
    )
    lost = make_replica(None, held_snapshot())
    assert not lost.vote.is_voter, "a member without its vote counts"
    ranges = pack([KIND_RANGES, {}, held_snapshot().entries.digest()])
    for payload in (
        pack([KIND_PROMOTION, lost.incarnation]),
        ranges,
        pack([KIND_PROMOTION, lost.incarnation + 1]),
    ):
        feed(lost, 5.0, append_request([2, "2", 1, 4, 0, 0, 0, payload]))
        assert not lost.vote.is_voter
    feed(
        lost,
        5.0,
        append_request([2, "2", 1, 4, 0, 0, 0, pack([KIND_PROMOTION, lost.incarnation])]),
    )
    assert lost.vote == PersistentVote(2, "2", True, lost.incarnation) and lost.term_index == (2, 4)


@test("I7: an echoed time proves nothing before its round is confirmed, nor while its commit is not held")
def _() -> None:
    replica = make_replica(PersistentVote(1, None, True), held_snapshot())
    entries = held_snapshot().entries
    delta = pack([1, 1, 3, {}, [], entries.digest()])
    first = replies(feed(replica, 5.0, append_request([2, "2", 1, 4, 0, 0, 0, delta])))[0]
    token = first[2]
    feed(replica, 5.2, append_request([2, "2", 2, 4, 5, token, 1, None]))  # commit 5 is not held
    assert replica.committed_state.freshness_confirmed_at == float("-inf")
    feed(replica, 5.3, append_request([2, "2", 3, 4, 4, token, 1, None]))
    assert replica.committed_state.index == 4 and replica.committed_state.freshness_confirmed_at == float(
        "-inf"
    )
    feed(replica, 5.4, append_request([2, "2", 4, 4, 4, 0, 3, None]))
    assert replica.committed_state.freshness_confirmed_at == 5.0


@test("broken invariants stop: a second vote, an older term_index, two leaders in a term")
def _() -> None:
    replica = make_replica(PersistentVote(1, "2", True), held_snapshot())
    with raises(InvariantError):
        replica.persist(PersistentVote(1, "3", True), None, lambda ok: None)
    with raises(InvariantError):
        replica.persist(None, held_snapshot(2), lambda ok: None)
    with raises(InvariantError):
        feed(elected_replica(), 2.0, append_request([2, "2", 1, 9, 0, 0, 0, None]))
