"""What is committed, and what of it changed since an index that a watcher has."""

from typing import Any

from ashlift.configstore.change_log import ChangeLog
from ashlift.configstore.messages import Snapshot, TermIndex
from ashlift.configstore.ranged_map import RangedMap


class CommittedState:
    """The newest map known to be committed; the changes of this life as far as `ChangeLog` keeps them."""

    def __init__(self) -> None:
        self.state = Snapshot((0, 0), RangedMap())
        self.lease = float("-inf")  # steady time at which it was the newest of all
        self.changes = ChangeLog()

    @property
    def term_index(self) -> TermIndex:
        return self.state.term_index

    @property
    def index(self) -> int:
        return self.state.term_index[1]

    def advance(self, state: Snapshot) -> bool:
        """Take a committed map; False if it is not newer."""
        if state.term_index <= self.term_index:
            return False
        self.state = state
        self.changes.advance(state.term_index, state.entries)
        return True

    def touched(self, key: str, index: int) -> bool:
        """Whether the key may have changed after that index."""
        number = self.changes.below(index)
        return number is None or self.changes.last(key) > number

    def since(self, have: int) -> dict[str, Any]:
        """`{index, set, gone, full}` for one who has the map at index `have`; 0: nothing."""
        map = self.state.entries.map
        if have >= self.index:
            return {"index": self.index, "set": {}, "gone": [], "full": False}
        number = self.changes.exact(have)
        if number is None:
            return {"index": self.index, "set": dict(map), "gone": [], "full": True}
        late = self.changes.since(number)
        return {
            "index": self.index,
            "set": {key: map[key] for key in late if key in map},
            "gone": [key for key in late if key not in map],
            "full": False,
        }
