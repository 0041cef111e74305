"""Least-squares lines through measured points, and the spread of repeated measurements."""

import statistics
from collections.abc import Sequence
from typing import Final

from attrs import frozen

SMALLEST_WEIGHTED_VALUE: Final = 0.01  # relative to the largest value; bounds the weight of small values


@frozen
class FittedLine:
    """`value = intercept + slope * x`.

    `max_error`: the largest error of a point relative to its value; `max_x`: the largest measured `x`.
    """

    intercept: float
    slope: float
    max_error: float
    max_x: float

    def value_at(self, x: float) -> float:
        """The value of the line at `x`."""
        return self.intercept + self.slope * x

    def extrapolation_factor(self, x: float) -> float:
        """`x` relative to the largest measured one; above 1, `value_at(x)` is extrapolated."""
        return x / self.max_x


def fit_line(points: Sequence[tuple[float, float]]) -> FittedLine:
    """Fit a line by least squares of the relative errors, which weights small and large sizes equally.

    Raises ValueError for fewer than two different `x`.
    """
    if len({x for x, _ in points}) < 2:
        raise ValueError("fitting a line needs points at two or more different x")
    smallest = SMALLEST_WEIGHTED_VALUE * (max(abs(y) for _, y in points) or 1.0)
    weighted_points = [(1 / max(abs(y), smallest) ** 2, x, y) for x, y in points]
    total_weight = sum(weight for weight, _, _ in weighted_points)
    mean_x = sum(weight * x for weight, x, _ in weighted_points) / total_weight
    mean_y = sum(weight * y for weight, _, y in weighted_points) / total_weight
    variance = sum(weight * (x - mean_x) ** 2 for weight, x, _ in weighted_points)
    covariance = sum(weight * (x - mean_x) * (y - mean_y) for weight, x, y in weighted_points)
    slope = covariance / variance
    intercept = mean_y - slope * mean_x
    max_error = max(abs(y - intercept - slope * x) / max(abs(y), smallest) for x, y in points)
    return FittedLine(intercept, slope, max_error, max(x for x, _ in points))


def relative_spread(values: Sequence[float]) -> float:
    """Half of the interquartile range relative to the median; 0 if the median is 0."""
    ordered = sorted(values)
    median = statistics.median(ordered)
    lower_quartile = ordered[len(ordered) // 4]
    upper_quartile = ordered[3 * len(ordered) // 4] if len(ordered) > 3 else ordered[-1]
    return (upper_quartile - lower_quartile) / 2 / median if median else 0.0
