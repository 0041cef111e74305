"""The newest map known to be committed, and the changes since the index that a watcher has."""

from typing import Any

from ashlift.configstore.change_log import ChangeLog
from ashlift.configstore.persistent_state import NO_TERM_INDEX, Snapshot, TermIndex
from ashlift.configstore.ranged_map import RangedMap


class CommittedState:
    """The committed map and its recent changes, in memory for the life of the process."""

    def __init__(self) -> None:
        self.snapshot = Snapshot(NO_TERM_INDEX, RangedMap())
        # Start of the freshness lease: when the snapshot was last known to be the newest; seconds, monotonic.
        self.freshness_confirmed_at = float("-inf")
        self.change_log = ChangeLog()

    @property
    def term_index(self) -> TermIndex:
        """Term and index of the committed map."""
        return self.snapshot.term_index

    @property
    def index(self) -> int:
        """The index of the committed map, which increases with every commit."""
        return self.snapshot.term_index[1]

    def advance(self, snapshot: Snapshot) -> bool:
        """Replace the committed map. Returns False, changing nothing, if the given one is not newer."""
        if snapshot.term_index <= self.term_index:
            return False
        self.snapshot = snapshot
        self.change_log.record(snapshot.term_index, snapshot.entries)
        return True

    def may_have_changed_since(self, key: str, index: int) -> bool:
        """Whether the key changed after the index, or the log no longer reaches back that far."""
        number = self.change_log.number_at_or_before_index(index)
        return number is None or self.change_log.last_change_of(key) > number

    def changes_since(self, known_index: int) -> dict[str, Any]:
        """`{index, set, gone, full}` for a watcher that has the map at `known_index`; 0: no map yet."""
        entries = self.snapshot.entries.map
        if known_index >= self.index:
            return {"index": self.index, "set": {}, "gone": [], "full": False}
        number = self.change_log.number_at_index(known_index)
        if number is None:
            return {"index": self.index, "set": dict(entries), "gone": [], "full": True}
        changed_keys = self.change_log.keys_changed_since(number)
        return {
            "index": self.index,
            "set": {key: entries[key] for key in changed_keys if key in entries},
            "gone": [key for key in changed_keys if key not in entries],
            "full": False,
        }
