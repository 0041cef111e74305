"""What is committed, and what of it changed since an index that a watcher has."""

from typing import Any

from vise.interface import TermIndex, State
from vise.ranges import RangedMap


class News:
    """The newest map known to be committed; forgets nothing that a watcher of this life could lack."""

    def __init__(self) -> None:
        self.state = State((0, 0), RangedMap())
        self.lease = float("-inf")  # steady time at which it was the newest of all
        self._base = 0  # index from which on all changes are known
        self._changed: dict[str, int] = {}  # key -> index of its last change, gone ones too

    @property
    def term_index(self) -> TermIndex:
        return self.state.term_index

    @property
    def index(self) -> int:
        return self.state.term_index[1]

    def advance(self, state: State) -> bool:
        """Take a committed map; False if it is not newer."""
        if state.term_index <= self.term_index:
            return False
        old, new = self.state.entries, state.entries
        index = state.term_index[1]
        if not self.index:
            self._base = index
        elif old is not new:
            for key, value in new.map.items():
                was = old.map.get(key, self)
                if was is not value and was != value:
                    self._changed[key] = index
            for key in old.map.keys() - new.map.keys():
                self._changed[key] = index
        self.state = state
        return True

    def since(self, have: int) -> dict[str, Any]:
        """`{index, set, gone, full}` for one who has the map at index `have`; 0: nothing."""
        map = self.state.entries.map
        if have >= self.index:
            return {"index": self.index, "set": {}, "gone": [], "full": False}
        if have < self._base:
            return {"index": self.index, "set": dict(map), "gone": [], "full": True}
        late = [key for key, index in self._changed.items() if index > have]
        return {
            "index": self.index,
            "set": {key: map[key] for key in late if key in map},
            "gone": [key for key in late if key not in map],
            "full": False,
        }
