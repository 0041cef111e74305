"""Log of the keys that changed between states of the map, to bring replicas and watchers up to date.

Kept in memory for the life of the process and bounded: one number for each present key that has changed and
for each of the last MAX_DELETED_KEYS deleted keys, and MAX_RUNS runs of consecutive states.
"""

from typing import Final, NamedTuple

from ashlift.configstore.ranged_map import RangedMap, range_of

# A configuration change deletes about one key (a `Taken/` record), so this covers some 4,000 changes.
MAX_DELETED_KEYS = 4096
MAX_RUNS: Final = 64

TermIndex = tuple[int, int]


class Run(NamedTuple):
    """States of one term with consecutive indexes: the first one's index, and its number in the log."""

    term: int
    first_index: int
    first_number: int


class ChangeLog:
    """Numbers the states from 1 in the order in which they were held, and records each key's last change."""

    def __init__(self) -> None:
        self.entries = RangedMap()
        self.newest_number = 0
        self._oldest_number = 0  # older states have been discarded
        self._last_changes: dict[str, int] = {}  # by key, including deleted ones; the oldest change first
        self._deleted: dict[str, int] = {}
        self._ranged: tuple[int, int, dict[int, list[str]]] = (0, 0, {})  # cache of one base and newest state
        self._runs: list[Run] = []

    def record(self, term_index: TermIndex, entries: RangedMap) -> None:
        """Add the next state unless it already is the newest one."""
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
                self._record_change(key, key in entries.map)
        self.entries = entries
        self._trim()

    def _extend_runs(self, term: int, index: int) -> None:
        last = self._runs[-1] if self._runs else None
        follows = (
            last is not None
            and last.term == term
            and index - last.first_index == self.newest_number - last.first_number
        )
        if not follows:
            self._runs.append(Run(term, index, self.newest_number))

    def _record_change(self, key: str, is_present: bool) -> None:
        self._last_changes.pop(key, None)
        self._last_changes[key] = self.newest_number
        self._deleted.pop(key, None)
        if not is_present:
            self._deleted[key] = self.newest_number

    def _trim(self) -> None:
        while len(self._deleted) > MAX_DELETED_KEYS:
            key = next(iter(self._deleted))
            self._oldest_number = max(self._oldest_number, self._deleted.pop(key))
            del self._last_changes[key]
        while len(self._runs) > MAX_RUNS or self._first_run_is_trimmed():
            self._oldest_number = max(self._oldest_number, self._runs[1].first_number)
            del self._runs[0]

    def _first_run_is_trimmed(self) -> bool:
        return len(self._runs) > 1 and self._runs[1].first_number <= self._oldest_number

    def number_of(self, term_index: TermIndex) -> int | None:
        """The number of the state at `term_index`; None if it is unknown or discarded."""
        term, index = term_index
        last_number = self.newest_number
        for run in reversed(self._runs):
            if run.term == term and 0 <= index - run.first_index <= last_number - run.first_number:
                number = run.first_number + index - run.first_index
                return number if number >= self._oldest_number else None
            last_number = run.first_number - 1
        return None

    def number_at_index(self, index: int) -> int | None:
        """The number of the newest state at exactly this index; None if there is none.

        An earlier state is no substitute: a key that changed at a skipped index and then changed back does
        not differ between the states in the log.
        """
        last_number = self.newest_number
        for run in reversed(self._runs):
            if run.first_index <= index:
                number = run.first_number + index - run.first_index
                return number if self._oldest_number <= number <= last_number else None
            last_number = run.first_number - 1
        return None

    def number_at_or_before_index(self, index: int) -> int | None:
        """The number of the newest state at or before this index; None if there is none."""
        last_number = self.newest_number
        for run in reversed(self._runs):
            if run.first_index <= index:
                number = min(last_number, run.first_number + index - run.first_index)
                return number if number >= self._oldest_number else None
            last_number = run.first_number - 1
        return None

    def last_change_of(self, key: str) -> int:
        """The number of the state that last changed the key; 0 if there is none."""
        return self._last_changes.get(key, 0)

    def keys_changed_since(self, number: int) -> list[str]:
        """The keys, including deleted ones, that changed after the state; the newest change first."""
        keys = []
        for key in reversed(self._last_changes):
            if self._last_changes[key] <= number:
                break
            keys.append(key)
        return keys

    def keys_changed_since_by_range(self, number: int) -> dict[int, list[str]]:
        """`keys_changed_since`, grouped by the number of the hash range."""
        if self._ranged[:2] != (number, self.newest_number):
            keys: dict[int, list[str]] = {}
            for key in self.keys_changed_since(number):
                keys.setdefault(range_of(key), []).append(key)
            self._ranged = number, self.newest_number, keys
        return self._ranged[2]

    def __len__(self) -> int:
        """The number of stored entries, as a measure of memory use."""
        return len(self._last_changes) + len(self._deleted) + 3 * len(self._runs)
