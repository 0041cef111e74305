"""Which keys of the map changed since another state of it that was held: what one that was away lacks.

Kept in memory for a process's life, and bounded: one number for each key that is there and was seen to
change, for the last GONE_MOST that went, and RUNS_MOST runs of consecutive states.
"""

from typing import Final

from ashlift.configstore.ranged_map import RangedMap, range_of

MAX_DELETED_KEYS = 4096  # keys that went; each change lets one `Taken/` go: some 4,000 changes
MAX_RUNS: Final = 64  # runs of states of one term, each following the one before

TermIndex = tuple[int, int]


class ChangeLog:
    """States in the order in which they were held, numbered from 1; the marks of keys are these numbers."""

    def __init__(self) -> None:
        self.entries = RangedMap()
        self.newest_number = 0  # of the newest state
        self._floor = 0  # older states are not known any more
        self._at: dict[str, int] = {}  # key -> state that changed it last, oldest first; gone keys too
        self._gone: dict[str, int] = {}
        self._ranged: tuple[int, int, dict[int, list[str]]] = (0, 0, {})
        self._runs: list[tuple[int, int, int]] = []  # (term, first index, its number)

    def record(self, term_index: TermIndex, entries: RangedMap) -> None:
        """The next state. One that was held before as the newest is passed over."""
        if (
            self.newest_number
            and self.entries is entries
            and self.number_of(term_index) == self.newest_number
        ):
            return
        self.newest_number += 1
        term, index = term_index
        last = self._runs[-1] if self._runs else None
        if last is None or last[0] != term or index - last[1] != self.newest_number - last[2]:
            self._runs.append((term, index, self.newest_number))
        if self.newest_number == 1:
            self._floor = 1
        else:
            for key in entries.keys_differing_from(self.entries):
                self._mark(key, key in entries.map)
        self.entries = entries
        while len(self._gone) > MAX_DELETED_KEYS:
            key = next(iter(self._gone))
            self._floor = max(self._floor, self._gone.pop(key))
            del self._at[key]
        while len(self._runs) > MAX_RUNS or (len(self._runs) > 1 and self._runs[1][2] <= self._floor):
            self._floor = max(self._floor, self._runs[1][2])
            del self._runs[0]

    def _mark(self, key: str, there: bool) -> None:
        self._at.pop(key, None)
        self._at[key] = self.newest_number
        self._gone.pop(key, None)
        if not there:
            self._gone[key] = self.newest_number

    def number_of(self, term_index: TermIndex) -> int | None:
        """The number of a state that was held; None: it is not known, or not any more."""
        term, index = term_index
        end = self.newest_number
        for its, first, number in reversed(self._runs):
            if its == term and first <= index <= first + end - number:
                found = number + index - first
                return found if found >= self._floor else None
            end = number - 1
        return None

    def number_at_index(self, index: int) -> int | None:
        """The newest state held at that very index; None: none that is known. The one below will not do: what
        changed at an index that was passed over, and changed back, is no change between the states held."""
        end = self.newest_number
        for _, first, number in reversed(self._runs):
            if first <= index:
                found = number + index - first
                return found if self._floor <= found <= end else None
            end = number - 1
        return None

    def number_at_or_before_index(self, index: int) -> int | None:
        """The newest state held at that index or before it; None: none that is known."""
        end = self.newest_number
        for _, first, number in reversed(self._runs):
            if first <= index:
                found = min(end, number + index - first)
                return found if found >= self._floor else None
            end = number - 1
        return None

    def last_change_of(self, key: str) -> int:
        """The state that changed the key last; 0: none that is known."""
        return self._at.get(key, 0)

    def keys_changed_since(self, number: int) -> list[str]:
        """The keys that changed after that state, gone ones too."""
        found = []
        for key in reversed(self._at):
            if self._at[key] <= number:
                break
            found.append(key)
        return found

    def keys_changed_since_by_range(self, number: int) -> dict[int, list[str]]:
        """The same by hash range."""
        if self._ranged[:2] != (number, self.newest_number):
            found: dict[int, list[str]] = {}
            for key in self.keys_changed_since(number):
                found.setdefault(range_of(key), []).append(key)
            self._ranged = number, self.newest_number, found
        return self._ranged[2]

    def __len__(self) -> int:
        """Numbers kept."""
        return len(self._at) + len(self._gone) + 3 * len(self._runs)
