"""The store's agreement: text scenes, a fault at every step, every fate of messages, long mixed runs."""

import itertools
import random
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from ward import each, raises, test

from ashlift.configstore.messages import (
    BEHIND,
    CALL_TIMEOUT_SECONDS,
    DELTA,
    LEARNER,
    LEARNER_QUARANTINE_SECONDS,
    PROMOTE,
    QUORUM_CONTACT_TIMEOUT_SECONDS,
    RANGES,
    ClockTicked,
    CommandSubmitted,
    FencingToken,
    PersistentVote,
    Proposal,
    ReadOnlyResult,
    ReadRequested,
    RequestReceived,
    ResponseReceived,
    SendReply,
    SendRequest,
    Snapshot,
    StatePersisted,
)
from ashlift.configstore.ranged_map import RangedMap
from ashlift.configstore.replica import Replica
from ashlift.configstore.replica_state import InvariantError, pack, unpack
from ashlift.errors import Failure, FailureReason
from ashlift.simulation.members import World
from ashlift.simulation.sworn import decide
from ashlift.simulation.turnover import mixed
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
    return lambda one, other, kind: next(coming, None)


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


def member(
    vote: PersistentVote | None, state: Snapshot | None, me: str = "1", members: str = "123"
) -> Replica:
    made = Replica(me, list(members), False, vote, state, decide, random.Random(4))
    for effect in made.start(0.0):
        assert not isinstance(effect, SendRequest)
    return made


def feed(one: Replica, now: float, event: Any) -> list[Any]:
    """The effects, those after a successful write included."""
    effects = one.handle(now, event)
    while one._after_persist is not None:
        effects += one.handle(now, StatePersisted(True))
    return effects


def replies(effects: list[Any]) -> list[Any]:
    return [effect.body for effect in effects if isinstance(effect, SendReply)]


def sends(effects: list[Any], method: str) -> list[SendRequest]:
    return [effect for effect in effects if isinstance(effect, SendRequest) and effect.method == method]


def held(index: int = 3, members: str = "123") -> Snapshot:
    return Snapshot((1, index), RangedMap({f"Members/{ip}": {} for ip in members}))


def elected(members: str = "12345") -> Replica:
    """Member 1, just elected for term 2, its first round on the way; time is 2.0 s."""
    one = member(PersistentVote(1, None, True), held(members=members), members=members)
    effects = feed(one, 2.0, ClockTicked())
    for term in (1, 2):  # asked beforehand, then voted
        asked, effects = sends(effects, "request_vote"), []
        for send in asked[: len(members) // 2]:
            effects += feed(
                one, 2.0, ResponseReceived(send.peer, "request_vote", 2.0, send.context, [term, True])
            )
    assert one.leader_role is not None and one.vote == PersistentVote(2, "1", True)
    return one


@test("I8: a learner is mute, then says that it is one, and never votes")
def _() -> None:
    one = member(None, None)
    request_vote = RequestReceived("r", "request_vote", [5, "2", 9, 9, False])
    append = RequestReceived("r", "append", [5, "2", 1, 3, 0, 0, 0, True])
    assert all(
        isinstance(body, Failure) for body in replies(feed(one, LEARNER_QUARANTINE_SECONDS - 0.01, append))
    )
    assert replies(feed(one, LEARNER_QUARANTINE_SECONDS + 0.01, append))[0][1] == LEARNER
    assert isinstance(replies(feed(one, LEARNER_QUARANTINE_SECONDS + 0.02, request_vote))[0], Failure)
    feed(one, 60.0, ClockTicked())
    assert one.election is None and not one.vote.is_voter


@test("I2: a vote counts only within the call's time-out, and only from a member")
def _() -> None:
    one = member(PersistentVote(1, None, True), held())
    ask = sends(feed(one, 2.0, ClockTicked()), "request_vote")[0]
    feed(one, 2.1, ResponseReceived("9", "request_vote", 2.0, ask.context, [1, True]))
    feed(one, 2.01 + CALL_TIMEOUT_SECONDS, ResponseReceived("2", "request_vote", 2.0, ask.context, [1, True]))
    assert one.election is not None and one.election.pre and one.vote.term == 1


@test("I8: a learner is promoted only by a commit after the leader heard of that life, without its own yes")
def _() -> None:
    one = elected()
    index = one.snapshot.term_index[1]
    for peer in "23":  # a majority, with 2, commits
        feed(one, 2.0, ResponseReceived(peer, "append", 2.0, (2, 1, index, True), [2, 1, 5]))
    assert one.leader_role is not None and one.leader_role.commit_index == index
    told = feed(
        one, 2.1, ResponseReceived("2", "append", 2.1, (2, 2, index, False), [2, LEARNER, 6, 77, True, None])
    )
    payloads = [unpack(send.body[7]) for send in sends(told, "append") if isinstance(send.body[7], bytes)]
    assert payloads and all(payload[0] == DELTA for payload in payloads)
    assert one.leader_role.proposed.term_index == (2, index + 1), (
        "nothing was proposed after hearing of the new life"
    )
    learner = ResponseReceived("2", "append", 2.15, (2, 3, index + 1, True), [2, LEARNER, 7, 77, True, None])
    feed(one, 2.2, ResponseReceived("3", "append", 2.15, (2, 3, index + 1, True), [2, 1, 6]))
    feed(one, 2.2, learner)
    assert one.leader_role.commit_index == index, "a learner was counted"
    feed(one, 2.2, ResponseReceived("4", "append", 2.15, (2, 3, index + 1, True), [2, 1, 6]))
    assert one.leader_role.commit_index == index + 1
    promoted = [unpack(send.body[7]) for send in sends(feed(one, 2.2, learner), "append") if send.peer == "2"]
    assert promoted == [[3, 77]]


@test("I6 I8: nothing is read by answers that are late, of a learner or to a round begun before the call")
def _() -> None:
    one = elected()
    index = one.snapshot.term_index[1]
    for peer in "23":
        feed(one, 2.0, ResponseReceived(peer, "append", 2.0, (2, 1, index, True), [2, 1, 5]))
    asked = feed(one, 2.1, ReadRequested("read")) + feed(one, 2.1, CommandSubmitted("stale", (9, "x")))
    assert not replies(asked), "answered without a round"
    for peer, at, body in (("2", 1.2, [2, 1, 6]), ("4", 2.1, [2, LEARNER, 6, 77, False, None])):
        assert not replies(feed(one, 2.1, ResponseReceived(peer, "append", at, (2, 4, index, False), body)))
    for peer, number in (("3", 4), ("5", 2)):
        yes = ResponseReceived(peer, "append", 2.1, (2, number, index, False), [2, 1, 6])
        assert not replies(feed(one, 2.1, yes))
    done = replies(feed(one, 2.1, ResponseReceived("5", "append", 2.1, (2, 4, index, False), [2, 1, 6])))
    assert done == [one.committed_state.snapshot, {"status": 412, "index": index}]
    feed(one, 2.1 + QUORUM_CONTACT_TIMEOUT_SECONDS + 0.1, ClockTicked())
    assert one.leader_role is None, "it leads on though it hears nobody"


def settled() -> tuple[Replica, int]:
    """A leader that has committed at index `[1]`, one order decided by `zones`; time is 2.0 s."""
    one = elected()
    index = one.snapshot.term_index[1]
    for peer in "23":
        feed(one, 2.0, ResponseReceived(peer, "append", 2.0, (2, 1, index, True), [2, 1, 5]))
    assert one.leader_role is not None and one.leader_role.commit_index == index
    one.leader_role.command_handler = zones
    return one, index


def zones(current: Any, order: Any) -> Proposal | ReadOnlyResult:
    """`+z` evacuates, `-z` takes it back."""
    on, key = order[0] == "+", f"Evacuations/{order[1:]}"
    if (key in current) == on:
        return ReadOnlyResult({"status": 200})
    return Proposal({key: True} if on else {}, [] if on else [key], {"status": 200}, (key,))


def taken(one: Replica, now: float, round_: int) -> list[Any]:
    """All replies once a majority has what is under way and has answered that round."""
    assert one.leader_role is not None
    index, found = one.leader_role.proposed.term_index[1], []
    for peer in "23":
        yes = ResponseReceived(peer, "append", now, (2, round_, index, True), [2, 1, 7])
        found += replies(feed(one, now, yes))
    return found


@test("an order is begun while its caller waits and never later: {story}")
def _(
    story: str = each("in time", "held up", "of another leader", "of no round", "behind another", "void"),
) -> None:
    one, index = settled()
    lead = one.leader_role
    assert lead is not None
    feed(one, 2.05, ClockTicked())
    known = lead.heartbeat_round
    match story:
        case "in time":
            feed(one, 2.6, CommandSubmitted("a", "+z", FencingToken(2, known, index, 0.9)))
            assert lead.proposal_in_flight and taken(one, 2.61, lead.heartbeat_round) == [
                {"status": 200, "index": index + 1}
            ]
        case "held up":
            found = replies(feed(one, 2.96, CommandSubmitted("a", "+z", FencingToken(2, known, index, 0.9))))
            assert [fault.reason for fault in found] == [
                FailureReason.EXPIRED
            ] and not lead.proposal_in_flight
        case "of another leader":
            found = replies(feed(one, 2.06, CommandSubmitted("a", "+z", FencingToken(1, known, index, 0.9))))
            assert [fault.reason for fault in found] == [
                FailureReason.EXPIRED
            ] and not lead.proposal_in_flight
        case "of no round":
            found = replies(feed(one, 2.06, CommandSubmitted("a", "+z", FencingToken(2, 0, index, 0.9))))
            assert [fault.reason for fault in found] == [
                FailureReason.EXPIRED
            ] and not lead.proposal_in_flight
        case "behind another":
            feed(one, 2.1, CommandSubmitted("a", "+y", FencingToken(2, known, index, 0.9)))
            assert not replies(
                feed(one, 2.1, CommandSubmitted("b", "+z", FencingToken(2, known, index, 0.9)))
            )
            done, late = taken(one, 3.0, lead.heartbeat_round)
            assert (
                done["status"] == 200 and late.reason == FailureReason.EXPIRED and not lead.proposal_in_flight
            )
        case "void":
            for at, order in ((2.1, "+z"), (2.15, "-z")):
                feed(
                    one,
                    at,
                    CommandSubmitted(
                        "a", order, FencingToken(2, lead.heartbeat_round, lead.commit_index, 0.9)
                    ),
                )
                taken(one, at, lead.heartbeat_round)
            assert lead.commit_index == index + 2 and "Evacuations/z" not in lead.proposed.entries.map
            found = replies(feed(one, 2.2, CommandSubmitted("b", "+z", FencingToken(2, known, index, 0.9))))
            assert [fault.reason for fault in found] == [FailureReason.EXPIRED], (
                "taken back meanwhile, and in force again"
            )
            feed(one, 2.2, CommandSubmitted("c", "+z", FencingToken(2, known, index + 2, 0.9)))
            assert lead.proposal_in_flight, "who knows of it may evacuate again"


@test("I2 I4: a member says yes only to what it holds durably and whole, and is promoted only in this life")
def _() -> None:
    one = member(PersistentVote(2, "2", True), held())
    for prev, digest in ((2, held().entries.digest()), (3, b"no")):
        body = [2, "2", 1, 4, 0, 0, 0, pack([DELTA, 1, prev, {}, [], digest])]
        assert replies(feed(one, 5.0, RequestReceived("r", "append", body)))[0][1] == BEHIND
    good = [2, "2", 1, 4, 0, 0, 0, pack([DELTA, 1, 3, {}, [], held().entries.digest()])]
    assert not replies(one.handle(5.0, RequestReceived("r", "append", good))), "answered before the write"
    assert isinstance(replies(one.handle(5.0, StatePersisted(False)))[0], Failure) and one.term_index == (
        1,
        3,
    )
    lost = member(None, held())
    assert not lost.vote.is_voter, "a member without its vote counts"
    ranges = pack([RANGES, {}, held().entries.digest()])
    for payload in (pack([PROMOTE, lost.incarnation]), ranges, pack([PROMOTE, lost.incarnation + 1])):
        feed(lost, 5.0, RequestReceived("r", "append", [2, "2", 1, 4, 0, 0, 0, payload]))
        assert not lost.vote.is_voter
    feed(
        lost, 5.0, RequestReceived("r", "append", [2, "2", 1, 4, 0, 0, 0, pack([PROMOTE, lost.incarnation])])
    )
    assert lost.vote == PersistentVote(2, "2", True, lost.incarnation) and lost.term_index == (2, 4)


@test("I7: an echoed time proves nothing before its round is confirmed, nor while its commit is not held")
def _() -> None:
    one = member(PersistentVote(1, None, True), held())
    entries = held().entries
    delta = pack([1, 1, 3, {}, [], entries.digest()])
    first = replies(feed(one, 5.0, RequestReceived("r", "append", [2, "2", 1, 4, 0, 0, 0, delta])))[0]
    token = first[2]
    feed(one, 5.2, RequestReceived("r", "append", [2, "2", 2, 4, 5, token, 1, None]))  # commit 5 is not held
    assert one.committed_state.freshness_confirmed_at == float("-inf")
    feed(one, 5.3, RequestReceived("r", "append", [2, "2", 3, 4, 4, token, 1, None]))
    assert one.committed_state.index == 4 and one.committed_state.freshness_confirmed_at == float("-inf")
    feed(one, 5.4, RequestReceived("r", "append", [2, "2", 4, 4, 4, 0, 3, None]))
    assert one.committed_state.freshness_confirmed_at == 5.0


@test("broken invariants stop: a second vote, an older term_index, two leaders in a term")
def _() -> None:
    one = member(PersistentVote(1, "2", True), held())
    with raises(InvariantError):
        one.persist(PersistentVote(1, "3", True), None, lambda ok: None)
    with raises(InvariantError):
        one.persist(None, held(2), lambda ok: None)
    with raises(InvariantError):
        feed(elected(), 2.0, RequestReceived("r", "append", [2, "2", 1, 9, 0, 0, 0, None]))
