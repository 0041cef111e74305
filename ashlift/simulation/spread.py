"""Minimum, median and maximum of a measurement over seeds, for tables."""

import math
import statistics

from attrs import frozen


@frozen
class Spread:
    """Prints the minimum, median and maximum; infinite values are events that never happened."""

    values: list[float]

    def __str__(self) -> str:
        finite = sorted(value for value in self.values if not math.isinf(value))
        if not finite:
            return "never"
        text = f"{finite[0]:.2f}, **{statistics.median(finite):.2f}**, {finite[-1]:.2f}"
        missing = len(self.values) - len(finite)
        return f"{text} (never: {missing})" if missing else text
