"""The committed map: digests of its ranges, and the changes reported to watchers."""

from ward import test

from ashlift.configstore.committed_state import CommittedState
from ashlift.configstore.persistent_state import Snapshot
from ashlift.configstore.ranged_map import RangedMap


@test("ranges: digests depend on the content alone, and replacing the differing ranges makes maps equal")
def _() -> None:
    entries = {f"Routes/{number}": {"n": number} for number in range(300)}
    base = RangedMap(entries)
    base.digest()
    changed = base.with_changes({"Routes/7": 7, "new": 1}, ["Routes/8", "none"])
    remaining = {key: entries[key] for key in reversed(entries) if key != "Routes/8"}
    rebuilt = RangedMap({**remaining, "Routes/7": 7, "new": 1})
    assert changed.map == rebuilt.map
    assert changed.digest() == rebuilt.digest() != RangedMap(entries).digest()
    differing = changed.differing_ranges(RangedMap(entries).range_digests())
    assert 1 <= len(differing) <= 3
    repaired = RangedMap(entries).with_ranges({number: changed.encoded_range(number) for number in differing})
    assert repaired.map == changed.map
    assert repaired.digest() == changed.digest()


@test("changes: since an index, with removed keys; the whole map for an unknown index")
def _() -> None:
    committed = CommittedState()
    entries = RangedMap({"a": 1, "b": 1})
    assert committed.changes_since(0) == {"index": 0, "set": {}, "gone": [], "full": False}
    committed.advance(Snapshot((1, 4), entries))
    committed.advance(Snapshot((1, 5), entries.with_changes({"a": 2, "c": 1}, ["b"])))
    assert not committed.advance(Snapshot((1, 4), entries))
    assert committed.changes_since(4) == {"index": 5, "set": {"a": 2, "c": 1}, "gone": ["b"], "full": False}
    assert committed.changes_since(3)["full"]
    assert committed.changes_since(3)["set"] == {"a": 2, "c": 1}
    assert committed.changes_since(5)["set"] == {}
    assert committed.changes_since(9)["index"] == 5


@test("changes: a watcher at a skipped index gets the whole map, as a key may have changed back since")
def _() -> None:
    committed = CommittedState()
    entries = RangedMap({"a": 1, "b": 1})
    for index, value in ((4, 1), (5, 2), (7, 2), (8, 3)):  # index 6, where b was 9, was skipped here
        entries = entries.with_changes({"a": value, "c": index}, [])
        committed.advance(Snapshot((1, index), entries))
    assert [committed.changes_since(known_index)["full"] for known_index in (3, 4, 5, 6, 7)] == [
        True,
        False,
        False,
        True,
        False,
    ]
    assert committed.changes_since(5)["set"] == {"a": 3, "c": 8}
    assert committed.changes_since(6)["set"] == {
        "a": 3,
        "b": 1,
        "c": 8,
    }
    committed.advance(Snapshot((2, 9), entries))
    assert not committed.changes_since(8)["full"]
    assert committed.changes_since(8)["set"] == {}
