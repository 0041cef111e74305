"""Two groups of kept runs side by side: one run each, or several of other seeds with their spread. Pure."""

from collections.abc import Callable, Sequence
from statistics import median

from ashlift.lab.results import Summary

MEASURES: dict[str, Callable[[Summary], float]] = {
    "jobs": lambda one: one.asked,
    "admitted": lambda one: one.admitted,
    "refused": lambda one: one.refused,
    "unanswered": lambda one: one.unanswered,
    "share": lambda one: one.admitted / one.asked if one.asked else 0.0,
    "p50 ms": lambda one: one.percentile_ms(50),
    "p99 ms": lambda one: one.percentile_ms(99),
    "p99.9 ms": lambda one: one.percentile_ms(99.9),
}


def lines(first: Sequence[Summary], second: Sequence[Summary]) -> list[str]:
    """A line a measure. B/A is of the medians; `apart`: every run of one group lies beyond every one of the
    other, which chance does with few runs too."""
    several = len(first) > 1 or len(second) > 1
    found = [f"{'':12} {_name(first):>28} {_name(second):>28}  B/A"]
    for name, measure in MEASURES.items():
        a, b = [measure(one) for one in first], [measure(one) for one in second]
        x, y = median(a), median(b)
        ratio = f"{y / x:.3f}" if x else "-"
        apart = "  apart" if several and (min(a) > max(b) or min(b) > max(a)) else ""
        found.append(f"{name:12} {_told(a):>28} {_told(b):>28}  {ratio}{apart}")
    verdicts = [f"{sum(one.ok for one in group)} of {len(group)} ok" for group in (first, second)]
    return [*found, f"{'verdicts':12} {verdicts[0]:>28} {verdicts[1]:>28}"]


def _name(group: Sequence[Summary]) -> str:
    number = str(group[0].id) if len(group) == 1 else f"{group[0].id}-{group[-1].id}"
    return f"{number} ({', '.join(dict.fromkeys(one.git for one in group))})"


def _told(values: Sequence[float]) -> str:
    if len(values) == 1:
        return f"{values[0]:.5g}"
    return f"{min(values):.5g} .. {median(values):.5g} .. {max(values):.5g}"
