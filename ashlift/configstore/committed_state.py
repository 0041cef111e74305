"""What is committed, and what of it changed since an index that a watcher has."""

from typing import Any

from ashlift.configstore.change_log import ChangeLog
from ashlift.configstore.messages import Snapshot, TermIndex
from ashlift.configstore.ranged_map import RangedMap


class CommittedState:
    """The newest map known to be committed; the changes of this life as far as `ChangeLog` keeps them."""

    def __init__(self) -> None:
        self.snapshot = Snapshot((0, 0), RangedMap())
        self.freshness_confirmed_at = float("-inf")  # steady time at which it was the newest of all
        self.change_log = ChangeLog()

    @property
    def term_index(self) -> TermIndex:
        return self.snapshot.term_index

    @property
    def index(self) -> int:
        return self.snapshot.term_index[1]

    def advance(self, state: Snapshot) -> bool:
        """Take a committed map; False if it is not newer."""
        if state.term_index <= self.term_index:
            return False
        self.snapshot = state
        self.change_log.record(state.term_index, state.entries)
        return True

    def may_have_changed_since(self, key: str, index: int) -> bool:
        """Whether the key may have changed after that index."""
        number = self.change_log.number_at_or_before_index(index)
        return number is None or self.change_log.last_change_of(key) > number

    def changes_since(self, have: int) -> dict[str, Any]:
        """`{index, set, gone, full}` for one who has the map at index `have`; 0: nothing."""
        map = self.snapshot.entries.map
        if have >= self.index:
            return {"index": self.index, "set": {}, "gone": [], "full": False}
        number = self.change_log.number_at_index(have)
        if number is None:
            return {"index": self.index, "set": dict(map), "gone": [], "full": True}
        late = self.change_log.keys_changed_since(number)
        return {
            "index": self.index,
            "set": {key: map[key] for key in late if key in map},
            "gone": [key for key in late if key not in map],
            "full": False,
        }
