"""Records of one origin with a version that rises with every change, told to others as differences.

A key starting with `c/`, `o/` or `f/` is a sum: its changes count as versions but are no news that anybody is
woken for.
"""

from collections.abc import Iterable, Mapping
from typing import Any

import attrs

SUM, OUT, FAULT = "c/", "o/", "f/"
MAX_TOMBSTONES = 1000  # keys gone that are remembered, so that differences can name them
GAPS_MOST = 64  # runs of versions passed over that are remembered


@attrs.frozen
class Delta:
    """What changed: the version reached, whether `set` is everything there is, values set, keys gone."""

    version: int
    full: bool
    set: dict[str, Any]
    gone: list[str]


class ReplicatedSource:
    """The records of one origin, ours or a copy of another's."""

    def __init__(self) -> None:
        self.version = 0
        self.last_significant_version = 0  # version of the last change that is no sum
        self.values: dict[str, Any] = {}
        self._at: dict[str, int] = {}  # key -> version of its last change, oldest first; gone keys too
        self._gone: dict[str, int] = {}  # key -> version, oldest first
        self._floor = 0  # older askers get everything
        self._gaps: list[tuple[int, int]] = []  # askers between get everything: what came and went is unseen

    def put(self, key: str, value: Any) -> None:
        """A change of one's own: version + 1."""
        self.merge(self.version + 1, {key: value}, ())

    def drop(self, key: str) -> None:
        if key in self.values:
            self.merge(self.version + 1, {}, (key,))

    def merge(self, version: int, values: Mapping[str, Any], gone: Iterable[str]) -> None:
        """Go on to `version` by a difference from the version held, or from an older one."""
        self.version = version
        for key, value in values.items():
            self._gone.pop(key, None)
            self.values[key] = value
            self._mark(key, version)
        for key in gone:
            self.values.pop(key, None)
            self._gone.pop(key, None)
            self._gone[key] = version
            self._mark(key, version)
        while len(self._gone) > MAX_TOMBSTONES:
            key = next(iter(self._gone))
            self._floor = max(self._floor, self._gone.pop(key))
            del self._at[key]

    def note_skipped_versions(self, version: int) -> None:
        """The next change goes to `version` from ours, told by one who may not have seen those between: a key
        that changed and changed back there is named by nobody."""
        if not self.version:
            self._floor = version
        elif version > self.version + 1:
            self._gaps.append((self.version, version))
            if len(self._gaps) > GAPS_MOST:
                self._floor = max(self._floor, self._gaps.pop(0)[1])

    def replace(self, version: int, values: Mapping[str, Any]) -> None:
        """Go on to `version`, whose whole content is given."""
        self.note_skipped_versions(version)
        changed = {key: value for key, value in values.items() if self.values.get(key) != value}
        self.merge(version, changed, [key for key in self.values if key not in values])

    def delta_since(self, have: int | None) -> Delta | None:
        """What somebody lacks who is at version `have`; None: nothing."""
        if have is None or have < self._floor or any(low < have < high for low, high in self._gaps):
            return Delta(self.version, True, dict(self.values), [])
        if have >= self.version:
            return None
        values, gone = {}, []
        for key in reversed(self._at):
            if self._at[key] <= have:
                break
            if key in self.values:
                values[key] = self.values[key]
            else:
                gone.append(key)
        return Delta(self.version, False, values, gone)

    def has_significant_change_since(self, have: int | None) -> bool:
        """Whether somebody at version `have` lacks something other than sums."""
        return have is None or have < self.last_significant_version

    def _mark(self, key: str, version: int) -> None:
        self._at.pop(key, None)
        self._at[key] = version
        if not key.startswith((SUM, OUT, FAULT)):
            self.last_significant_version = version
