"""The records of one origin under a version that rises with every change, replicated by deltas. Pure.

Records of usage and load change all the time: their changes get versions, but are not significant and wake no
waiting call.
"""

from collections.abc import Iterable, Mapping
from typing import Any, Final

from ashlift.registry.codec import INSIGNIFICANT_PREFIXES
from ashlift.registry.delta import Delta, SnapshotHorizon

MAX_TOMBSTONES: Final = 1000  # removed keys that are remembered, so that deltas can name them


class ReplicatedSource:
    """The records of one origin: this registry's own, or a replica of another origin's."""

    def __init__(self) -> None:
        self.version = 0
        self.last_significant_version = 0
        self.values: dict[str, Any] = {}
        self._changed_at: dict[
            str, int
        ] = {}  # key -> version of its last change, oldest first; removed keys too
        self._removed_at: dict[str, int] = {}  # removed key -> version, oldest first
        self._horizon = SnapshotHorizon()

    def put(self, key: str, value: Any) -> None:
        """Set one record under the next version."""
        self.merge(self.version + 1, {key: value}, ())

    def drop(self, key: str) -> None:
        """Remove one record under the next version; nothing where there is none."""
        if key in self.values:
            self.merge(self.version + 1, {}, (key,))

    def merge(self, version: int, values: Mapping[str, Any], removed: Iterable[str]) -> None:
        """Advance to `version` by a delta from the version held, or from an older one."""
        self.version = version
        for key, value in values.items():
            self._removed_at.pop(key, None)
            self.values[key] = value
            self._record_change(key, version)
        for key in removed:
            self.values.pop(key, None)
            self._removed_at.pop(key, None)
            self._removed_at[key] = version
            self._record_change(key, version)
        self._forget_oldest_tombstones()

    def replace(self, version: int, values: Mapping[str, Any]) -> None:
        """Advance to `version` by a snapshot: its complete content is `values`."""
        self.record_skipped_versions(version)
        changed = {key: value for key, value in values.items() if self.values.get(key) != value}
        self.merge(version, changed, [key for key in self.values if key not in values])

    def record_skipped_versions(self, version: int) -> None:
        """The next change leads from the version held to `version`, and comes from a replica that may have
        skipped versions between: a key that changed there and changed back is named by no delta."""
        if not self.version:
            self._horizon.raise_floor(version)
        elif version > self.version + 1:
            self._horizon.add_gap(self.version, version)

    def delta_since(self, known_version: int | None) -> Delta | None:
        """What a holder of that version lacks (None: it holds nothing), or None if it is up to date."""
        if known_version is not None and known_version >= self.version:
            return None
        if known_version is None or self._horizon.needs_snapshot(known_version):
            return Delta(self.version, True, dict(self.values), [])
        values = {}
        removed = []
        for key in reversed(self._changed_at):
            if self._changed_at[key] <= known_version:
                break
            if key in self.values:
                values[key] = self.values[key]
            else:
                removed.append(key)
        return Delta(self.version, False, values, removed)

    def has_significant_change_since(self, known_version: int | None) -> bool:
        """Whether a holder of that version lacks something other than usage and load."""
        return known_version is None or known_version < self.last_significant_version

    def _record_change(self, key: str, version: int) -> None:
        self._changed_at.pop(key, None)  # to the end of the order
        self._changed_at[key] = version
        if not key.startswith(INSIGNIFICANT_PREFIXES):
            self.last_significant_version = version

    def _forget_oldest_tombstones(self) -> None:
        while len(self._removed_at) > MAX_TOMBSTONES:
            key = next(iter(self._removed_at))
            self._horizon.raise_floor(self._removed_at.pop(key))
            del self._changed_at[key]
