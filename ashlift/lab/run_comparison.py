"""Compares two groups of saved runs: a single run each, or several seeds with their spread. Pure."""

from collections.abc import Callable, Sequence
from statistics import median
from typing import Final

from ashlift.lab.results import RunSummary

MEASURES: Final[dict[str, Callable[[RunSummary], float]]] = {
    "jobs": lambda run: run.sent,
    "admitted": lambda run: run.admitted,
    "refused": lambda run: run.rejected,
    "unanswered": lambda run: run.unanswered,
    "share": lambda run: run.admitted_share,
    "p50 ms": lambda run: run.percentile_ms(50),
    "p99 ms": lambda run: run.percentile_ms(99),
    "p99.9 ms": lambda run: run.percentile_ms(99.9),
}


def compare_runs(first: Sequence[RunSummary], second: Sequence[RunSummary]) -> list[str]:
    """Return a line for each measure, with the ratio of the second group's median to the first's.

    `apart` marks groups whose ranges do not overlap, which may be due to chance if there are few runs.
    """
    has_spread = len(first) > 1 or len(second) > 1
    lines = [f"{'':12} {_group_name(first):>28} {_group_name(second):>28}  B/A"]
    for name, measure in MEASURES.items():
        first_values = [measure(run) for run in first]
        second_values = [measure(run) for run in second]
        base = median(first_values)
        ratio = f"{median(second_values) / base:.3f}" if base else "-"
        apart = "  apart" if has_spread and _are_apart(first_values, second_values) else ""
        lines.append(f"{name:12} {_spread(first_values):>28} {_spread(second_values):>28}  {ratio}{apart}")
    verdicts = [f"{sum(run.ok for run in group)} of {len(group)} ok" for group in (first, second)]
    lines.append(f"{'verdicts':12} {verdicts[0]:>28} {verdicts[1]:>28}")
    return lines


def _are_apart(first: Sequence[float], second: Sequence[float]) -> bool:
    return min(first) > max(second) or min(second) > max(first)


def _group_name(group: Sequence[RunSummary]) -> str:
    number = str(group[0].id) if len(group) == 1 else f"{group[0].id}-{group[-1].id}"
    return f"{number} ({', '.join(dict.fromkeys(run.commit for run in group))})"


def _spread(values: Sequence[float]) -> str:
    if len(values) == 1:
        return f"{values[0]:.5g}"
    return f"{min(values):.5g} .. {median(values):.5g} .. {max(values):.5g}"
