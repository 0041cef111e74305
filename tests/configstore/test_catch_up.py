"""A member that was away is level again while changes go on; what is kept for it is bounded."""

import random
from typing import Any

from ward import each, test

from ashlift.configstore import change_log as kept
from ashlift.configstore.catch_up import CatchUp, ReplicaProgress
from ashlift.configstore.change_log import ChangeLog
from ashlift.configstore.codec import (
    CODE_ACCEPTED,
    CODE_LEARNER,
    KIND_DELTA,
    KIND_PROMOTION,
    KIND_RANGES,
    KIND_RANGES_AND_CHANGES,
    unpack,
)
from ashlift.configstore.committed_state import CommittedState
from ashlift.configstore.persistent_state import PersistentVote, Snapshot, TermIndex
from ashlift.configstore.ranged_map import RangedMap
from ashlift.configstore.replica_io import CommandSubmitted
from ashlift.configstore.timing import PAYLOAD_CHUNK_BYTES
from ashlift.simulation import catching
from ashlift.simulation.catching import Case, played
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

SMALL: dict[str, Any] = {"routes": 300, "changes": 60, "after_s": 6.0}
# Far from the others, so that changes come more often than an answer of it.
FAR: dict[str, Any] = {**SMALL, "rate": 20.0, "far_s": 0.04}


def altered(entries: RangedMap, chance: random.Random, most: int = 4) -> RangedMap:
    """Some keys set anew or taken out."""
    keys = [f"Routes/{chance.randrange(120)}" for _ in range(chance.randint(0, most))]
    gone = {key for key in keys if chance.random() < 0.4}
    return entries.with_changes(
        {key: chance.choice([1, 1.0, True, 2]) for key in keys if key not in gone}, gone
    )


def walk(chance: random.Random, steps: int) -> tuple[ChangeLog, dict[TermIndex, RangedMap]]:
    """States as a member accepts them: one by one, in jumps, and back where a leader undoes some."""
    changes, held, entries, term, index = ChangeLog(), dict[TermIndex, RangedMap](), RangedMap(), 1, 0
    for _ in range(steps):
        step = chance.choice([1, 1, 1, 1, 5, -1])
        if step != 1:
            term += 1
        index, entries = max(1, index + step), altered(entries, chance)
        changes.record((term, index), entries)
        changes.record((term, index), entries)
        held[term, index] = entries
    return changes, held


@test("changes: from every state that was held the keys told lead to the newest, seed {seed}")
def _(seed: int = each(*range(12))) -> None:
    chance = random.Random(seed)
    changes, held = walk(chance, 60)
    newest = changes.entries
    for term_index, entries in held.items():
        number = changes.number_of(term_index)
        assert number is not None, term_index
        keys = changes.keys_changed_since(number)
        ranged = [key for some in changes.keys_changed_since_by_range(number).values() for key in some]
        assert len(keys) == len({*keys}) and sorted(ranged) == sorted(keys)
        made = entries.with_changes(
            {key: newest.map[key] for key in keys if key in newest.map},
            [key for key in keys if key not in newest.map],
        )
        assert made.digest() == newest.digest()
    assert changes.keys_changed_since(changes.newest_number) == [] and changes.number_of((99, 1)) is None


@test("changes: what is kept is bounded, and who asks for more than that is told so")
def _() -> None:
    changes, entries, sizes = ChangeLog(), RangedMap(), []
    most, kept.MAX_DELETED_KEYS = kept.MAX_DELETED_KEYS, 50
    try:
        for number in range(1, 1000):  # each change lets one key go, as those of `Taken/` do
            gone = [f"Taken/{number - 8}"] if number > 8 else []
            entries = entries.with_changes({f"Taken/{number}": 1, "Version": number}, gone)
            changes.record((1 + number // 300, number), entries)
            sizes.append(len(changes))
    finally:
        kept.MAX_DELETED_KEYS = most
    assert max(sizes) <= 2 * 50 + 12 + 3 * 4, max(sizes)
    assert (
        changes.number_of((4, 960)) and changes.number_at_index(960) and changes.number_of((4, 940)) is None
    )
    assert changes.number_at_index(940) is None and changes.number_at_index(5) is None
    for term in range(10, 10 + 2 * kept.MAX_RUNS):  # another leader for each change
        changes.record((term, 1000 + term), entries)
    assert len(changes) <= 120 + 3 * kept.MAX_RUNS and changes.number_of((11, 1011)) is None


@test("news: who has an index that was passed over is told everything: a key may have changed, and back")
def _() -> None:
    news, entries = CommittedState(), RangedMap({"a": 1, "b": 1})
    for index, value in ((4, 1), (5, 2), (7, 2), (8, 3)):  # at 6, known to others, b was 9
        news.advance(Snapshot((1, index), entries := entries.with_changes({"a": value, "c": index}, [])))
    assert [news.changes_since(have)["full"] for have in (3, 4, 5, 6, 7)] == [True, False, False, True, False]
    assert news.changes_since(5)["set"] == {"a": 3, "c": 8} and news.changes_since(6)["set"] == {
        "a": 3,
        "b": 1,
        "c": 8,
    }
    news.advance(Snapshot((2, 9), entries))
    assert not news.changes_since(8)["full"] and news.changes_since(8)["set"] == {}


class Other:
    """The other end of `CatchUp`: a member's copy, as `ashlift.configstore.replica` goes on by payloads."""

    def __init__(self, state: Snapshot) -> None:
        self.state, self.staged = state, state.entries
        self.bytes = self.calls = 0

    def take(self, payload: bytes, named: TermIndex) -> None:
        kind, *rest = unpack(payload)
        self.bytes, self.calls = self.bytes + len(payload), self.calls + 1
        if kind == KIND_DELTA:
            if tuple(rest[:2]) != self.state.term_index:
                return
            made = self.state.entries.with_changes(rest[2], rest[3])
        else:
            assert kind in (KIND_RANGES, KIND_RANGES_AND_CHANGES)
            sets, gone = rest[1:3] if kind == KIND_RANGES_AND_CHANGES else ({}, [])
            made = self.staged = self.staged.with_ranges(rest[0]).with_changes(sets, gone)
        if made.digest() == rest[-1]:
            self.state, self.staged = Snapshot(named, made), made


def wide(chance: random.Random, many: int, size: int) -> dict[str, Any]:
    return {f"Routes/{number}": {"text": chance.randbytes(size // 2).hex()} for number in range(many)}


@test("mending: {many} routes, {away} changes while away, two more with each call: {what}")
def _(
    many: int = each(2000, 2000, 2000, 2000),
    away: int = each(10, 400, 400, 400),
    what: str = each("its state is known", "its state is known", "its state is not known", "nothing held"),
) -> None:
    chance = random.Random(away)
    base = RangedMap(wide(chance, many, 300))
    seat, index = ChangeLog(), 1
    seat.record((1, 1), base)
    entries = base

    def change() -> Snapshot:
        nonlocal entries, index
        index += 1
        value = {"text": chance.randbytes(150).hex()}
        entries = entries.with_changes({f"Routes/{chance.randrange(many)}": value, "Version": index}, [])
        seat.record((1, index), entries)
        return Snapshot((1, index), entries)

    for _ in range(away):
        change()
    newest = Snapshot((1, index), entries)
    start = Snapshot((0, 9), base) if "not known" in what else Snapshot((1, 1), base)
    other = Other(Snapshot((0, 0), RangedMap()) if what == "nothing held" else start)
    mending, copy = CatchUp(seat), ReplicaProgress(other.state.term_index)
    digests = None
    calls = 0
    while calls < 200:
        calls += 1
        payload = mending.next_payload(copy, newest, digests)
        if isinstance(payload, bytes):
            assert len(payload) < 2 * PAYLOAD_CHUNK_BYTES, len(payload)
            other.take(payload, newest.term_index)
        if other.state.term_index == newest.term_index:
            break
        change()
        newest = change()
        copy.acknowledge(other.state.term_index)
        digests = other.staged.range_digests()
    assert other.state.entries.digest() == newest.entries.digest()
    differing = (away + 2 * calls) * 340
    whole = many * 340
    assert other.bytes < (1.2 * differing + 2000 if what == "its state is known" else 1.4 * whole)
    assert other.calls <= 3 + (differing if what == "its state is known" else whole) // PAYLOAD_CHUNK_BYTES


def ends_after(most: int) -> int:
    """Calls until a copy is level of which nothing is known, and which loses what it was sent after a few."""
    chance = random.Random(1)
    seat, entries = ChangeLog(), RangedMap(wide(chance, 600, 900))
    seat.record((1, 1), entries)
    other, mending = Other(Snapshot((0, 0), RangedMap())), CatchUp(seat)
    copy = ReplicaProgress(None)
    for number in range(2, most):
        entries = entries.with_changes({"Routes/1": number}, [])
        seat.record((1, number), entries)
        newest = Snapshot((1, number), entries)
        payload = mending.next_payload(copy, newest, other.staged.range_digests())
        assert isinstance(payload, bytes)
        other.take(payload, newest.term_index)
        if number == 5:
            other.staged = RangedMap()  # started again
        if other.state.term_index == newest.term_index:
            assert other.state.entries.map == entries.map
            return number
    return most


@test("mending: a life that has lost what was sent to it gets the ranges whole, not the same keys for ever")
def _() -> None:
    assert ends_after(60) < 40
    with mutated("taken for there because it was sent"):
        assert ends_after(60) == 60, "it need not be broken to fail"


@test("away for {changes} changes and back ({back}) while others go on: level, and stays so")
def _(
    back: str = each("disk", "wiped", "torn", "disk"),
    changes: int = each(60, 60, 60, 250),
) -> None:
    found = played(Case(**{**FAR, "back": back, "changes": changes}))
    assert found.acked == changes, "not all were taken"
    assert found.acked_after > 0.7 * found.wanted_after, "too few were taken to tell"
    assert found.level_s < (0.8 if back == "disk" else 2.8) and found.worst_s <= catching.LATE_S


@test("away, and back on a line of 2 Mbit/s with changes of 100 routes, and after another leader: level")
def _(more: dict[str, Any] = each({"mbit": 2.0, "wide": 100, "rate": 5.0}, {"restarts": True})) -> None:
    found = played(Case(**{**FAR, **more, "changes": 30}))
    assert found.acked == 30 and found.acked_after > 0.7 * found.wanted_after
    assert found.level_s < 1.5, str(found)


@test("what is sent to one that was away grows with what differs, not with how long it was away")
def _() -> None:
    same = {**SMALL, "rate": 1.0, "after_s": 3.0}
    short, long, more = (
        played(Case(**{**same, "changes": changes, "before": before})).sent
        for changes, before in ((40, 20.0), (40, 2.0), (160, 20.0))
    )
    assert 0.8 < long / short < 1.25 and 1.5 < more / short < 6, (short, long, more)


def promoted(index_held: int, committed: int, proposed: int) -> list[list[Any]]:
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

    def heard(held: int) -> list[Any]:
        body = [2, CODE_LEARNER, 6, 77, held == first, None, [2, held]]
        return feed(replica, 2.1, append_response("2", 2.1, 9, held, body))

    heard(first)  # it proposes at once what is to be committed without that life
    for number in range(1, proposed + 1):
        if number > 1:
            feed(replica, 2.1, CommandSubmitted(f"c{number}", (number - 2, f"c{number}")))
        assert replica.leader_role is not None and replica.leader_role.proposed.term_index == (
            2,
            first + number,
        )
        if number <= committed:
            for peer in "34":
                feed(replica, 2.1, append_response(peer, 2.1, 9, first + number, [2, CODE_ACCEPTED, 6]))
    told = heard(first + index_held)
    payloads = [
        unpack(send.body[7]) for send in requests_sent(told, "append") if isinstance(send.body[7], bytes)
    ]
    return [payload for payload in payloads if payload[0] == KIND_PROMOTION]


@test("a learner is promoted with a committed state, not older than what was committed after it was heard of")
def _() -> None:
    assert not promoted(0, 0, 1) and not promoted(0, 2, 2) and not promoted(1, 0, 1) and not promoted(2, 1, 2)
    assert promoted(1, 1, 1)[0][:2] == [KIND_PROMOTION, 77]
    older = promoted(1, 2, 3)[0]
    assert older[:3] == [KIND_PROMOTION, 77, 2] and promoted(2, 2, 3)[0][3] == older[3] + 1
    with mutated("promoted with what is not committed"):
        assert promoted(1, 0, 1) and promoted(2, 1, 2)
    # With what names its disk still under way, and with what was committed before that was.
    with mutated("promoted with what was committed before"):
        assert promoted(0, 0, 1) and promoted(0, 2, 2)


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
        found = played(Case(**{**FAR, "back": "wiped"}))
    assert found.level_s == float("inf"), str(found)
