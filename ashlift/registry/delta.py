"""Deltas between versions of a replicated source, and the versions that need a snapshot instead."""

from typing import Any, Final, NamedTuple

from ashlift.registry.record_keys import LEASE_REPORT_KIND, WORKER_KIND

MAX_VERSION_GAPS: Final = 64  # ranges of skipped versions that are kept


class Delta(NamedTuple):
    """The changes up to `version`.

    `full`: `values` are all records (a snapshot), and `removed` is empty.
    """

    version: int
    full: bool
    values: dict[str, Any]
    removed: list[str]


class SnapshotHorizon:
    """The versions that need a snapshot, as they are too old or lie in a gap of the history."""

    def __init__(self) -> None:
        self._floor = 0  # older versions need a snapshot
        self._gaps: list[tuple[int, int]] = []  # versions between the ends, exclusive, need one too

    def needs_snapshot(self, known_version: int) -> bool:
        """Whether a delta from this version might miss changes."""
        if known_version < self._floor:
            return True
        return bool(self._gaps) and any(low < known_version < high for low, high in self._gaps)

    def raise_floor(self, version: int) -> None:
        """Require a snapshot for versions below this one."""
        self._floor = max(self._floor, version)

    def add_gap(self, low: int, high: int) -> None:
        """Require a snapshot for versions between these; with too many gaps, the oldest moves the floor."""
        self._gaps.append((low, high))
        if len(self._gaps) > MAX_VERSION_GAPS:
            _, forgotten_high = self._gaps.pop(0)
            self.raise_floor(forgotten_high)


def without_workers(delta: Delta) -> Delta:
    """The delta without the records of workers."""
    values = {key: value for key, value in delta.values.items() if key[0] != WORKER_KIND}
    return delta._replace(values=values)


def without_lease_reports(delta: Delta) -> Delta:
    """The delta without the proxies' lease reports, which only registries use."""
    if not any(key[0] == LEASE_REPORT_KIND for key in (*delta.values, *delta.removed)):
        return delta
    values = {key: value for key, value in delta.values.items() if key[0] != LEASE_REPORT_KIND}
    return delta._replace(
        values=values, removed=[key for key in delta.removed if key[0] != LEASE_REPORT_KIND]
    )
