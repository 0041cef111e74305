"""Which keys of the map changed since an earlier state of it: what a replica or watcher that was away lacks.

Kept in memory for the life of the process, and bounded: a number for each key that is there and was seen to
change, for the last MAX_DELETED_KEYS that were deleted, and MAX_RUNS runs of consecutive states.
"""

from typing import Final, NamedTuple

from ashlift.configstore.ranged_map import RangedMap, range_of

# Each change of the configuration deletes one `Taken/` record, so this is some 4,000 changes.
MAX_DELETED_KEYS = 4096
MAX_RUNS: Final = 64

TermIndex = tuple[int, int]


class Run(NamedTuple):
    """Consecutive states of one term without a hole: the first one's index, and its number in the log."""

    term: int
    first_index: int
    first_number: int


class ChangeLog:
    """States in the order in which they were held, numbered from 1; a key is marked with such a number."""

    def __init__(self) -> None:
        self.entries = RangedMap()
        self.newest_number = 0
        self._oldest_number = 0  # older states are not known any more
        self._last_changes: dict[str, int] = {}  # by key, the oldest change first; deleted keys too
        self._deleted: dict[str, int] = {}
        self._ranged: tuple[int, int, dict[int, list[str]]] = (0, 0, {})  # cache of one base and newest state
        self._runs: list[Run] = []

    def record(self, term_index: TermIndex, entries: RangedMap) -> None:
        """Add the next state, unless it is the newest one already."""
        if (
            self.newest_number
            and self.entries is entries
            and self.number_of(term_index) == self.newest_number
        ):
            return
        self.newest_number += 1
        self._extend_runs(*term_index)
        if self.newest_number == 1:
            self._oldest_number = 1
        else:
            for key in entries.keys_differing_from(self.entries):
                self._note_change(key, key in entries.map)
        self.entries = entries
        self._forget_oldest()

    def _extend_runs(self, term: int, index: int) -> None:
        last = self._runs[-1] if self._runs else None
        follows = (
            last is not None
            and last.term == term
            and index - last.first_index == self.newest_number - last.first_number
        )
        if not follows:
            self._runs.append(Run(term, index, self.newest_number))

    def _note_change(self, key: str, is_present: bool) -> None:
        self._last_changes.pop(key, None)
        self._last_changes[key] = self.newest_number
        self._deleted.pop(key, None)
        if not is_present:
            self._deleted[key] = self.newest_number

    def _forget_oldest(self) -> None:
        while len(self._deleted) > MAX_DELETED_KEYS:
            key = next(iter(self._deleted))
            self._oldest_number = max(self._oldest_number, self._deleted.pop(key))
            del self._last_changes[key]
        while len(self._runs) > MAX_RUNS or self._first_run_is_forgotten():
            self._oldest_number = max(self._oldest_number, self._runs[1].first_number)
            del self._runs[0]

    def _first_run_is_forgotten(self) -> bool:
        return len(self._runs) > 1 and self._runs[1].first_number <= self._oldest_number

    def number_of(self, term_index: TermIndex) -> int | None:
        """The number of a state that was held; None: it is not known, or not any more."""
        term, index = term_index
        last_number = self.newest_number
        for run in reversed(self._runs):
            if run.term == term and 0 <= index - run.first_index <= last_number - run.first_number:
                number = run.first_number + index - run.first_index
                return number if number >= self._oldest_number else None
            last_number = run.first_number - 1
        return None

    def number_at_index(self, index: int) -> int | None:
        """The newest state held at that very index; None: none that is known.

        The one below will not do: what changed at an index that was passed over, and changed back, is no
        change between the states held.
        """
        last_number = self.newest_number
        for run in reversed(self._runs):
            if run.first_index <= index:
                number = run.first_number + index - run.first_index
                return number if self._oldest_number <= number <= last_number else None
            last_number = run.first_number - 1
        return None

    def number_at_or_before_index(self, index: int) -> int | None:
        """The newest state held at that index or before it; None: none that is known."""
        last_number = self.newest_number
        for run in reversed(self._runs):
            if run.first_index <= index:
                number = min(last_number, run.first_number + index - run.first_index)
                return number if number >= self._oldest_number else None
            last_number = run.first_number - 1
        return None

    def last_change_of(self, key: str) -> int:
        """The number of the state that changed the key last; 0: none that is known."""
        return self._last_changes.get(key, 0)

    def keys_changed_since(self, number: int) -> list[str]:
        """The keys that changed after that state, the newest change first; deleted ones too."""
        keys = []
        for key in reversed(self._last_changes):
            if self._last_changes[key] <= number:
                break
            keys.append(key)
        return keys

    def keys_changed_since_by_range(self, number: int) -> dict[int, list[str]]:
        """The same by number of the hash range."""
        if self._ranged[:2] != (number, self.newest_number):
            keys: dict[int, list[str]] = {}
            for key in self.keys_changed_since(number):
                keys.setdefault(range_of(key), []).append(key)
            self._ranged = number, self.newest_number, keys
        return self._ranged[2]

    def __len__(self) -> int:
        """How many numbers are kept."""
        return len(self._last_changes) + len(self._deleted) + 3 * len(self._runs)
