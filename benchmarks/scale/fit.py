"""Straight lines through measured points, with their spread. Pure."""

from collections.abc import Sequence

from attrs import frozen


@frozen
class Line:
    """value = at_0 + slope x number; `off`: the farthest point, relative; `most`: of the numbers."""

    at_0: float
    slope: float
    off: float
    most: float

    def at(self, number: float) -> float:
        return self.at_0 + self.slope * number

    def beyond(self, number: float) -> float:
        """How many times beyond the largest number measured; 1 or less: inside."""
        return number / self.most


def line(points: Sequence[tuple[float, float]]) -> Line:
    """Least squares of relative errors: small sizes count as large ones. ValueError: under two sizes."""
    if len({x for x, _ in points}) < 2:
        raise ValueError("a line needs two sizes at least")
    largest = max(abs(y) for _, y in points) or 1.0
    weights = [1 / max(abs(y), 0.01 * largest) ** 2 for _, y in points]
    whole = sum(weights)
    x_mean = sum(w * x for w, (x, _) in zip(weights, points, strict=True)) / whole
    y_mean = sum(w * y for w, (_, y) in zip(weights, points, strict=True)) / whole
    across = sum(w * (x - x_mean) ** 2 for w, (x, _) in zip(weights, points, strict=True))
    slope = sum(w * (x - x_mean) * (y - y_mean) for w, (x, y) in zip(weights, points, strict=True)) / across
    at_0 = y_mean - slope * x_mean
    off = max(abs(y - at_0 - slope * x) / max(abs(y), 0.01 * largest) for x, y in points)
    return Line(at_0, slope, off, max(x for x, _ in points))


def middle(values: Sequence[float]) -> float:
    """The median."""
    ordered = sorted(values)
    half = len(ordered) // 2
    return ordered[half] if len(ordered) % 2 else (ordered[half - 1] + ordered[half]) / 2


def spread(values: Sequence[float]) -> float:
    """Half of the distance between the quartiles, x the median."""
    ordered, mean = sorted(values), middle(values)
    low, high = ordered[len(ordered) // 4], ordered[(3 * len(ordered)) // 4 if len(ordered) > 3 else -1]
    return (high - low) / 2 / mean if mean else 0.0
