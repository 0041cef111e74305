"""A member that was away is level again while changes go on; what is kept for it is bounded."""

import random
from typing import Any

from ward import each, test

from ashlift.configstore.catch_up import CatchUp, ReplicaProgress
from ashlift.configstore.change_log import ChangeLog
from ashlift.configstore.codec import (
    CODE_ACCEPTED,
    CODE_LEARNER,
    KIND_PROMOTION,
    decode_payload,
    unpack,
)
from ashlift.configstore.messages import Delta, RangeUpdate
from ashlift.configstore.persistent_state import PersistentVote, Snapshot, TermIndex
from ashlift.configstore.ranged_map import RangedMap
from ashlift.configstore.replica_io import CommandSubmitted
from ashlift.configstore.timing import PAYLOAD_CHUNK_BYTES
from ashlift.simulation.catch_up_world import MAX_LEVEL_LAG_SECONDS, CatchUpCase, measure_catch_up
from tests.support.mutants import mutated
from tests.support.replica_driver import (
    append_request,
    append_response,
    elected_replica,
    feed,
    held_snapshot,
    make_replica,
    requests_sent,
)

SMALL: dict[str, Any] = {"routes": 300, "changes": 60, "observed_seconds": 6.0}
# Far from the others, so that changes come more often than an answer of it.
FAR: dict[str, Any] = {**SMALL, "rate": 20.0, "extra_delay": 0.04}


class Receiver:
    """The other end of `CatchUp`: takes payloads as `ashlift.configstore.follower` does."""

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.staged = snapshot.entries
        self.payload_bytes = 0
        self.payloads = 0

    def take(self, data: bytes, requested: TermIndex) -> None:
        self.payload_bytes += len(data)
        self.payloads += 1
        payload = decode_payload(data)
        match payload:
            case Delta(base, updates, deletions):
                if base != self.snapshot.term_index:
                    return
                entries = self.snapshot.entries.with_changes(updates, deletions)
            case RangeUpdate(ranges, updates, deletions):
                entries = self.staged.with_ranges(ranges).with_changes(updates, deletions)
                self.staged = entries
            case _:
                raise AssertionError(payload)
        if entries.digest() == payload.digest:
            self.snapshot = Snapshot(requested, entries)
            self.staged = entries


def random_routes(chance: random.Random, many: int, size: int) -> dict[str, Any]:
    return {f"Routes/{number}": {"text": chance.randbytes(size // 2).hex()} for number in range(many)}


@test("mending: {many} routes, {away} changes while away, two more with each call: {what}")
def _(
    many: int = each(2000, 2000, 2000, 2000),
    away: int = each(10, 400, 400, 400),
    what: str = each("its state is known", "its state is known", "its state is not known", "nothing held"),
) -> None:
    chance = random.Random(away)
    base = RangedMap(random_routes(chance, many, 300))
    change_log = ChangeLog()
    index = 1
    change_log.record((1, 1), base)
    entries = base

    def change() -> Snapshot:
        nonlocal entries, index
        index += 1
        value = {"text": chance.randbytes(150).hex()}
        entries = entries.with_changes({f"Routes/{chance.randrange(many)}": value, "Version": index}, [])
        change_log.record((1, index), entries)
        return Snapshot((1, index), entries)

    for _ in range(away):
        change()
    newest = Snapshot((1, index), entries)
    start = Snapshot((0, 9), base) if "not known" in what else Snapshot((1, 1), base)
    receiver = Receiver(Snapshot((0, 0), RangedMap()) if what == "nothing held" else start)
    catch_up = CatchUp(change_log)
    progress = ReplicaProgress(receiver.snapshot.term_index)
    range_digests = None
    calls = 0
    while calls < 200:
        calls += 1
        payload = catch_up.next_payload(progress, newest, range_digests)
        if isinstance(payload, bytes):
            assert len(payload) < 2 * PAYLOAD_CHUNK_BYTES, len(payload)
            receiver.take(payload, newest.term_index)
        if receiver.snapshot.term_index == newest.term_index:
            break
        change()
        newest = change()
        progress.acknowledge(receiver.snapshot.term_index)
        range_digests = receiver.staged.range_digests()
    assert receiver.snapshot.entries.digest() == newest.entries.digest()
    differing = (away + 2 * calls) * 340
    complete = many * 340
    assert receiver.payload_bytes < (
        1.2 * differing + 2000 if what == "its state is known" else 1.4 * complete
    )
    assert (
        receiver.payloads
        <= 3 + (differing if what == "its state is known" else complete) // PAYLOAD_CHUNK_BYTES
    )


def payloads_until_level(most: int) -> int:
    """Calls until a copy is level of which nothing is known, and which loses what it was sent after a few."""
    chance = random.Random(1)
    change_log = ChangeLog()
    entries = RangedMap(random_routes(chance, 600, 900))
    change_log.record((1, 1), entries)
    receiver = Receiver(Snapshot((0, 0), RangedMap()))
    catch_up = CatchUp(change_log)
    progress = ReplicaProgress(None)
    for number in range(2, most):
        entries = entries.with_changes({"Routes/1": number}, [])
        change_log.record((1, number), entries)
        newest = Snapshot((1, number), entries)
        payload = catch_up.next_payload(progress, newest, receiver.staged.range_digests())
        assert isinstance(payload, bytes)
        receiver.take(payload, newest.term_index)
        if number == 5:
            receiver.staged = RangedMap()  # started again
        if receiver.snapshot.term_index == newest.term_index:
            assert receiver.snapshot.entries.map == entries.map
            return number
    return most


@test("mending: a life that has lost what was sent to it gets the ranges whole, not the same keys for ever")
def _() -> None:
    assert payloads_until_level(60) < 40
    with mutated("taken for there because it was sent"):
        assert payloads_until_level(60) == 60, "it need not be broken to fail"


@test("away for {changes} changes and back ({back}) while others go on: level, and stays so")
def _(
    back: str = each("disk", "wiped", "torn", "disk"),
    changes: int = each(60, 60, 60, 250),
) -> None:
    found = measure_catch_up(CatchUpCase(**{**FAR, "disk": back, "changes": changes}))
    assert found.acknowledged_away == changes, "not all were taken"
    assert found.acknowledged_after > 0.7 * found.wanted_after, "too few were taken to tell"
    assert found.level_after < (0.8 if back == "disk" else 2.8)
    assert found.worst_lag <= MAX_LEVEL_LAG_SECONDS


@test("away, and back on a line of 2 Mbit/s with changes of 100 routes, and after another leader: level")
def _(
    more: dict[str, Any] = each(
        {"link_mbit": 2.0, "routes_per_change": 100, "rate": 5.0}, {"leader_restarts": True}
    ),
) -> None:
    found = measure_catch_up(CatchUpCase(**{**FAR, **more, "changes": 30}))
    assert found.acknowledged_away == 30
    assert found.acknowledged_after > 0.7 * found.wanted_after
    assert found.level_after < 1.5, str(found)


@test("what is sent to one that was away grows with what differs, not with how long it was away")
def _() -> None:
    same = {**SMALL, "rate": 1.0, "observed_seconds": 3.0}
    short, long, more = (
        measure_catch_up(CatchUpCase(**{**same, "changes": changes, "rate_before": before})).sent_bytes
        for changes, before in ((40, 20.0), (40, 2.0), (160, 20.0))
    )
    assert 0.8 < long / short < 1.25, (short, long, more)
    assert 1.5 < more / short < 6, (short, long, more)


def promoted(index_offset: int, committed: int, proposed: int) -> list[list[Any]]:
    """What promotes a learner that is said to hold one of a leader's proposals: those since it was heard of
    are numbered from 1, so many are committed."""
    replica = elected_replica()
    first = replica.snapshot.term_index[1]
    for peer in "34":
        feed(
            replica,
            2.0,
            append_response(peer, 2.0, 1, first, [2, CODE_ACCEPTED, 5]),
        )

    def answer_as_learner(index: int) -> list[Any]:
        body = [2, CODE_LEARNER, 6, 77, index == first, None, [2, index]]
        return feed(replica, 2.1, append_response("2", 2.1, 9, index, body))

    answer_as_learner(first)  # it proposes at once what is to be committed without that life
    for number in range(1, proposed + 1):
        if number > 1:
            feed(replica, 2.1, CommandSubmitted(f"c{number}", (number - 2, f"c{number}")))
        assert replica.leader_role is not None
        assert replica.leader_role.proposed.term_index == (
            2,
            first + number,
        )
        if number <= committed:
            for peer in "34":
                feed(replica, 2.1, append_response(peer, 2.1, 9, first + number, [2, CODE_ACCEPTED, 6]))
    effects = answer_as_learner(first + index_offset)
    payloads = [
        unpack(send.body[7]) for send in requests_sent(effects, "append") if isinstance(send.body[7], bytes)
    ]
    return [payload for payload in payloads if payload[0] == KIND_PROMOTION]


@test("a learner is promoted with a committed state, not older than what was committed after it was heard of")
def _() -> None:
    assert not promoted(0, 0, 1)
    assert not promoted(0, 2, 2)
    assert not promoted(1, 0, 1)
    assert not promoted(2, 1, 2)
    assert promoted(1, 1, 1)[0][:2] == [KIND_PROMOTION, 77]
    older = promoted(1, 2, 3)[0]
    assert older[:3] == [KIND_PROMOTION, 77, 2]
    assert promoted(2, 2, 3)[0][3] == older[3] + 1
    with mutated("promoted with what is not committed"):
        assert promoted(1, 0, 1)
        assert promoted(2, 1, 2)
    # With what names its disk still under way, and with what was committed before that was.
    with mutated("promoted with what was committed before"):
        assert promoted(0, 0, 1)
        assert promoted(0, 2, 2)


def learnt(term: int, index: int, commit: int) -> int:
    """The index known to be committed at a member that holds this, once the leader of term 2 names one."""
    state = Snapshot((term, index), held_snapshot().entries)
    replica = make_replica(PersistentVote(term, "2", True), state)
    feed(replica, 5.0, append_request([2, "2", 1, 9, commit, 0, 0, None]))
    return replica.committed_state.index


@test("a state of the leader's own term at or below its commit is committed, one of another term is not")
def _() -> None:
    assert learnt(2, 5, 5) == learnt(2, 5, 8) == 5
    assert learnt(2, 5, 4) == learnt(1, 3, 3) == learnt(1, 3, 8) == learnt(2, 5, 0) == 0
    with mutated("learnt by index alone"):
        assert learnt(1, 3, 8) == 3
    with mutated("a later state taken for committed"):
        assert learnt(2, 5, 4) == 5


@test("broken on purpose, a learner is promoted only with the newest: one that is far never is level")
def _() -> None:
    with mutated("promoted only with the newest"):
        found = measure_catch_up(CatchUpCase(**{**FAR, "disk": "wiped"}))
    assert found.level_after == float("inf"), str(found)
