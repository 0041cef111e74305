"""The change log: complete from every known state, and bounded in size."""

import random

from ward import each, test

from ashlift.configstore import change_log
from ashlift.configstore.change_log import ChangeLog
from ashlift.configstore.persistent_state import TermIndex
from ashlift.configstore.ranged_map import RangedMap


def with_random_changes(entries: RangedMap, random_source: random.Random, max_changes: int = 4) -> RangedMap:
    """The map with a few keys set or deleted at random."""
    keys = [f"Routes/{random_source.randrange(120)}" for _ in range(random_source.randint(0, max_changes))]
    deletions = {key for key in keys if random_source.random() < 0.4}
    return entries.with_changes(
        {key: random_source.choice([1, 1.0, True, 2]) for key in keys if key not in deletions}, deletions
    )


def record_random_states(
    random_source: random.Random, steps: int
) -> tuple[ChangeLog, dict[TermIndex, RangedMap]]:
    """Record states as a replica accepts them: one by one, with gaps, and back after a change of leader."""
    changes = ChangeLog()
    recorded: dict[TermIndex, RangedMap] = {}
    entries = RangedMap()
    term = 1
    index = 0
    for _ in range(steps):
        step = random_source.choice([1, 1, 1, 1, 5, -1])
        if step != 1:
            term += 1
        index = max(1, index + step)
        entries = with_random_changes(entries, random_source)
        changes.record((term, index), entries)
        changes.record((term, index), entries)
        recorded[term, index] = entries
    return changes, recorded


@test("change log: the keys changed since any recorded state lead to the newest one, seed {seed}")
def _(seed: int = each(*range(12))) -> None:
    random_source = random.Random(seed)
    changes, recorded = record_random_states(random_source, 60)
    newest = changes.entries
    for term_index, entries in recorded.items():
        number = changes.number_of(term_index)
        assert number is not None, term_index
        keys = changes.keys_changed_since(number)
        ranged = [key for some in changes.keys_changed_since_by_range(number).values() for key in some]
        assert len(keys) == len({*keys})
        assert sorted(ranged) == sorted(keys)
        caught_up = entries.with_changes(
            {key: newest.map[key] for key in keys if key in newest.map},
            [key for key in keys if key not in newest.map],
        )
        assert caught_up.digest() == newest.digest()
    assert changes.keys_changed_since(changes.newest_number) == []
    assert changes.number_of((99, 1)) is None


@test("change log: its size is bounded, and discarded states are reported as unknown")
def _() -> None:
    changes = ChangeLog()
    entries = RangedMap()
    sizes = []
    usual_maximum = change_log.MAX_DELETED_KEYS
    change_log.MAX_DELETED_KEYS = 50
    try:
        for number in range(1, 1000):  # each change deletes one key, as commands do with `Taken/`
            deletions = [f"Taken/{number - 8}"] if number > 8 else []
            entries = entries.with_changes({f"Taken/{number}": 1, "Version": number}, deletions)
            changes.record((1 + number // 300, number), entries)
            sizes.append(len(changes))
    finally:
        change_log.MAX_DELETED_KEYS = usual_maximum
    assert max(sizes) <= 2 * 50 + 12 + 3 * 4, max(sizes)
    assert changes.number_of((4, 960))
    assert changes.number_at_index(960)
    assert changes.number_of((4, 940)) is None
    assert changes.number_at_index(940) is None
    assert changes.number_at_index(5) is None
    for term in range(10, 10 + 2 * change_log.MAX_RUNS):  # another leader for each change
        changes.record((term, 1000 + term), entries)
    assert len(changes) <= 120 + 3 * change_log.MAX_RUNS
    assert changes.number_of((11, 1011)) is None
