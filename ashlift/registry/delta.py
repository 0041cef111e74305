"""Differences between two versions of a record source, and which versions a delta can start from. Pure."""

from typing import Any, Final, NamedTuple

MAX_VERSION_GAPS: Final = 64  # ranges of skipped versions that are remembered


class Delta(NamedTuple):
    """What changed up to `version`: records set, keys removed.

    `full`: `values` is everything there is (a snapshot), and `removed` is empty.
    """

    version: int
    full: bool
    values: dict[str, Any]
    removed: list[str]


class SnapshotHorizon:
    """Which versions are too old, or lie in a gap of the history, so that their holders need a snapshot."""

    def __init__(self) -> None:
        self._floor = 0  # holders of older versions need a snapshot
        self._gaps: list[tuple[int, int]] = []  # likewise holders of versions between (both ends excluded)

    def needs_snapshot(self, known_version: int) -> bool:
        """Whether a holder of this version may miss changes that a delta would not name."""
        if known_version < self._floor:
            return True
        return bool(self._gaps) and any(low < known_version < high for low, high in self._gaps)

    def raise_floor(self, version: int) -> None:
        """Holders of versions below this one need a snapshot from now on."""
        self._floor = max(self._floor, version)

    def add_gap(self, low: int, high: int) -> None:
        """The history between these versions is unknown; of too many gaps, the oldest is forgotten."""
        self._gaps.append((low, high))
        if len(self._gaps) > MAX_VERSION_GAPS:
            _, forgotten_high = self._gaps.pop(0)
            self.raise_floor(forgotten_high)
