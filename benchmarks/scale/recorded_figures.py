"""Reads the part `cores` of docs/capacity/scale.json: figures by size, and lines fitted to them."""

import statistics
from collections.abc import Callable
from itertools import pairwise
from typing import Any

from benchmarks.scale.figure_names import ENTRIES_SEPARATOR, entries_in, is_by_entries
from benchmarks.scale.line_fit import FittedLine, fit_line, relative_spread
from benchmarks.scale.sizes import ClusterSize


class RecordedFigures:
    """The figures of all measured sizes; a size is identified by its number of proxies."""

    def __init__(self, cores_part: dict[str, Any]) -> None:
        by_size = {int(proxies): recorded for proxies, recorded in cores_part["by size"].items()}
        self._by_size: dict[int, dict[str, Any]] = dict(sorted(by_size.items()))
        self.sizes = list(self._by_size)

    def names(self) -> list[str]:
        """The names of figures without a number of entries, in order of measurement."""
        return [name for name in self._by_size[self.sizes[-1]]["figures"] if not is_by_entries(name)]

    def cluster_size(self, size: int) -> ClusterSize:
        """The number of objects of each kind."""
        return ClusterSize.from_json(self._by_size[size]["size"])

    def median(self, name: str, size: int) -> float:
        """The median of a figure's repeats at one size."""
        return float(statistics.median(self._by_size[size]["figures"][name]))

    def largest_spread(self, name: str) -> float:
        """The largest relative spread of a figure's repeats at any size."""
        return max(relative_spread(recorded["figures"][name]) for recorded in self._by_size.values())

    def line_by(self, name: str, count_key: str) -> FittedLine:
        """The line fitted to a figure by a count of the size, such as `tenants`."""
        return fit_line(
            [
                (recorded["size"][count_key], self.median(name, size))
                for size, recorded in self._by_size.items()
            ]
        )

    def line_by_entries(self, name: str, size: int) -> FittedLine:
        """The line fitted to a figure at one size by the number of entries in a message."""
        names = [key for key in self._by_size[size]["figures"] if key.startswith(name + ENTRIES_SEPARATOR)]
        return fit_line([(entries_in(key), self.median(key, size)) for key in names])

    def proxies_at_limit(self, value_at: Callable[[int], float], limit: float) -> float | None:
        """The number of proxies, everything in proportion, at which a value reaches its limit.

        Interpolated between measured sizes, and proportional below the smallest. None if the largest size
        does not reach the limit.
        """
        points = [(size, value_at(size)) for size in self.sizes]
        smallest_size, smallest_value = points[0]
        if smallest_value >= limit:
            return smallest_size * limit / smallest_value
        for (lower_size, lower_value), (upper_size, upper_value) in pairwise(points):
            if lower_value < limit <= upper_value:
                fraction = (limit - lower_value) / (upper_value - lower_value)
                return lower_size + (upper_size - lower_size) * fraction
        return None
