"""Catch-up of replicas that were away: it completes under continuous changes and sends a bounded amount."""

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
from ashlift.simulation.catch_up_world import MAX_CAUGHT_UP_LAG_SECONDS, CatchUpCase, measure_catch_up
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
# High latency, so that changes are more frequent than the replica's responses.
FAR: dict[str, Any] = {**SMALL, "rate": 20.0, "extra_delay": 0.04}


class Receiver:
    """The receiving side of `CatchUp`, which applies payloads like `ashlift.configstore.follower`."""

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


def random_routes(random_source: random.Random, count: int, size: int) -> dict[str, Any]:
    return {f"Routes/{number}": {"text": random_source.randbytes(size // 2).hex()} for number in range(count)}


@test("catch-up: {routes} routes, {missed} missed changes, two more with each payload: {case}")
def _(
    routes: int = each(2000, 2000, 2000, 2000),
    missed: int = each(10, 400, 400, 400),
    case: str = each("known base", "known base", "unknown base", "empty replica"),
) -> None:
    random_source = random.Random(missed)
    base = RangedMap(random_routes(random_source, routes, 300))
    change_log = ChangeLog()
    index = 1
    change_log.record((1, 1), base)
    entries = base

    def change() -> Snapshot:
        nonlocal entries, index
        index += 1
        value = {"text": random_source.randbytes(150).hex()}
        key = f"Routes/{random_source.randrange(routes)}"
        entries = entries.with_changes({key: value, "Version": index}, [])
        change_log.record((1, index), entries)
        return Snapshot((1, index), entries)

    for _ in range(missed):
        change()
    newest = Snapshot((1, index), entries)
    start = Snapshot((0, 9), base) if "unknown" in case else Snapshot((1, 1), base)
    receiver = Receiver(Snapshot((0, 0), RangedMap()) if case == "empty replica" else start)
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
    differing = (missed + 2 * calls) * 340
    complete = routes * 340
    assert receiver.payload_bytes < (1.2 * differing + 2000 if case == "known base" else 1.4 * complete)
    assert receiver.payloads <= 3 + (differing if case == "known base" else complete) // PAYLOAD_CHUNK_BYTES


def payloads_until_caught_up(max_payloads: int) -> int:
    """Payloads until an empty replica catches up that loses its partial update after the first few."""
    random_source = random.Random(1)
    change_log = ChangeLog()
    entries = RangedMap(random_routes(random_source, 600, 900))
    change_log.record((1, 1), entries)
    receiver = Receiver(Snapshot((0, 0), RangedMap()))
    catch_up = CatchUp(change_log)
    progress = ReplicaProgress(None)
    for number in range(2, max_payloads):
        entries = entries.with_changes({"Routes/1": number}, [])
        change_log.record((1, number), entries)
        newest = Snapshot((1, number), entries)
        payload = catch_up.next_payload(progress, newest, receiver.staged.range_digests())
        assert isinstance(payload, bytes)
        receiver.take(payload, newest.term_index)
        if number == 5:
            receiver.staged = RangedMap()  # restarted
        if receiver.snapshot.term_index == newest.term_index:
            assert receiver.snapshot.entries.map == entries.map
            return number
    return max_payloads


@test("catch-up: a replica that lost its partial update is sent whole ranges, not the same keys again")
def _() -> None:
    assert payloads_until_caught_up(60) < 40
    with mutated("sent range assumed to be received"):
        assert payloads_until_caught_up(60) == 60, "the mutant was not detected"


@test("catch-up: a replica that missed {changes} changes ({disk}) catches up under load and keeps up")
def _(
    disk: str = each("disk", "wiped", "torn", "disk"),
    changes: int = each(60, 60, 60, 250),
) -> None:
    result = measure_catch_up(CatchUpCase(**{**FAR, "disk": disk, "changes": changes}))
    assert result.acknowledged_while_down == changes, "not all changes were accepted"
    assert result.acknowledged_after > 0.7 * result.expected_after, "too few changes were accepted under load"
    assert result.caught_up_after < (0.8 if disk == "disk" else 2.8)
    assert result.worst_lag <= MAX_CAUGHT_UP_LAG_SECONDS


@test("catch-up: over a 2 Mbit/s link with changes of 100 routes, and after a change of leader")
def _(
    conditions: dict[str, Any] = each(
        {"link_mbit": 2.0, "routes_per_change": 100, "rate": 5.0}, {"leader_restarts": True}
    ),
) -> None:
    result = measure_catch_up(CatchUpCase(**{**FAR, **conditions, "changes": 30}))
    assert result.acknowledged_while_down == 30
    assert result.acknowledged_after > 0.7 * result.expected_after
    assert result.caught_up_after < 1.5, str(result)


@test("catch-up: the bytes sent grow with the differences, not with the time away")
def _() -> None:
    same = {**SMALL, "rate": 1.0, "observed_seconds": 3.0}
    short, long, more = (
        measure_catch_up(CatchUpCase(**{**same, "changes": changes, "rate_before": before})).sent_bytes
        for changes, before in ((40, 20.0), (40, 2.0), (160, 20.0))
    )
    assert 0.8 < long / short < 1.25, (short, long, more)
    assert 1.5 < more / short < 6, (short, long, more)


def promotions_sent(index_offset: int, committed: int, proposed: int) -> list[list[Any]]:
    """The promotions sent to a learner that reports the map `index_offset` after the leader's first one.

    The leader makes `proposed` proposals after it learns of the learner, and commits the first `committed`.
    """
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

    answer_as_learner(first)  # the leader then proposes a map to be committed without the learner
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


@test("a learner is promoted only with a map that was committed after the leader learned of it")
def _() -> None:
    assert not promotions_sent(0, 0, 1)
    assert not promotions_sent(0, 2, 2)
    assert not promotions_sent(1, 0, 1)
    assert not promotions_sent(2, 1, 2)
    assert promotions_sent(1, 1, 1)[0][:2] == [KIND_PROMOTION, 77]
    older = promotions_sent(1, 2, 3)[0]
    assert older[:3] == [KIND_PROMOTION, 77, 2]
    assert promotions_sent(2, 2, 3)[0][3] == older[3] + 1
    with mutated("learner promoted with an uncommitted map"):
        assert promotions_sent(1, 0, 1)
        assert promotions_sent(2, 1, 2)
    with mutated("learner promoted with an outdated map"):
        assert promotions_sent(0, 0, 1)
        assert promotions_sent(0, 2, 2)


def committed_index(term: int, index: int, commit: int) -> int:
    """The index that a follower with this map considers committed after a heartbeat of term 2."""
    state = Snapshot((term, index), held_snapshot().entries)
    replica = make_replica(PersistentVote(term, "2", True), state)
    feed(replica, 5.0, append_request([2, "2", 1, 9, commit, 0, 0, None]))
    return replica.committed_state.index


@test("a map of the leader's term at or below its commit index is committed, one of another term is not")
def _() -> None:
    assert committed_index(2, 5, 5) == committed_index(2, 5, 8) == 5
    assert committed_index(2, 5, 4) == committed_index(1, 3, 3) == 0
    assert committed_index(1, 3, 8) == committed_index(2, 5, 0) == 0
    with mutated("commit recognized by index alone"):
        assert committed_index(1, 3, 8) == 3
    with mutated("uncommitted state treated as committed"):
        assert committed_index(2, 5, 4) == 5


@test("mutant: if only the newest map allowed a promotion, a distant learner would never catch up")
def _() -> None:
    with mutated("learner promoted only with the newest map"):
        result = measure_catch_up(CatchUpCase(**{**FAR, "disk": "wiped"}))
    assert result.caught_up_after == float("inf"), str(result)
