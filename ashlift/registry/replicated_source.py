"""A versioned set of records of one origin, replicated by deltas. Does no I/O.

Every change increments the version. Usage and load records change constantly, so their changes are not
significant: they do not end long polls. A departure ends those of other registries alone, whose copies are
needed for its acknowledgement.
"""

from collections.abc import Iterable, Mapping
from typing import Any, Final

from ashlift.registry.delta import Delta, SnapshotHorizon
from ashlift.registry.record_keys import DEPARTURE_PREFIX, INSIGNIFICANT_PREFIXES

MAX_TOMBSTONES: Final = 1000  # removed keys kept for deltas


class ReplicatedSource:
    """The records of one origin: the local ones, or a replica of another origin's."""

    def __init__(self) -> None:
        self.version = 0
        self.last_significant_version = 0
        self.last_departure_version = 0
        self.values: dict[str, Any] = {}
        # Version of each key's last change, oldest first, including removed keys.
        self._changed_at: dict[str, int] = {}
        self._removed_at: dict[str, int] = {}  # version of each key's removal, oldest first
        self._horizon = SnapshotHorizon()

    def put(self, key: str, value: Any) -> None:
        """Set one record under the next version."""
        self.merge(self.version + 1, {key: value}, ())

    def drop(self, key: str) -> None:
        """Remove one record under the next version; does nothing if it does not exist."""
        if key in self.values:
            self.merge(self.version + 1, {}, (key,))

    def merge(self, version: int, values: Mapping[str, Any], removed: Iterable[str]) -> None:
        """Apply a delta to `version` from the current version or an older one."""
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
        """Replace all records by a snapshot of `version`."""
        self.record_skipped_versions(version)
        changed = {key: value for key, value in values.items() if self.values.get(key) != value}
        self.merge(version, changed, [key for key in self.values if key not in values])

    def record_skipped_versions(self, version: int) -> None:
        """Record that the next change, from the current version to `version`, may skip versions between.

        A key that changed in a skipped version and changed back is missing from the delta, so holders of
        skipped versions need a snapshot.
        """
        if not self.version:
            self._horizon.raise_floor(version)
        elif version > self.version + 1:
            self._horizon.add_gap(self.version, version)

    def delta_since(self, known_version: int | None) -> Delta | None:
        """The changes since `known_version` (None: holds no version); None if it is up to date."""
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
        """Whether something other than usage and load has changed since that version."""
        return known_version is None or known_version < self.last_significant_version

    def _record_change(self, key: str, version: int) -> None:
        self._changed_at.pop(key, None)  # to move the key to the end
        self._changed_at[key] = version
        if not key.startswith(INSIGNIFICANT_PREFIXES):
            self.last_significant_version = version
        elif key.startswith(DEPARTURE_PREFIX):
            self.last_departure_version = version

    def _forget_oldest_tombstones(self) -> None:
        while len(self._removed_at) > MAX_TOMBSTONES:
            key = next(iter(self._removed_at))
            self._horizon.raise_floor(self._removed_at.pop(key))
            del self._changed_at[key]
