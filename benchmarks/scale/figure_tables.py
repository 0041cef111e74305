"""Tables of docs/CAPACITY.md from the part `cores` of docs/capacity/scale.json."""

import math
from typing import Final

from benchmarks.scale import figure_names
from benchmarks.scale.limits import Limit, design_limits
from benchmarks.scale.line_fit import FittedLine
from benchmarks.scale.markdown import format_number, format_table
from benchmarks.scale.recorded_figures import RecordedFigures

# The count that a figure grows with, by prefix of its name. The first match applies; "": no growth.
COUNT_KEY_BY_PREFIX: Final = (
    ("registry: pull in", ""),
    ("client:", "gatekeepers"),
    ("registry: gatekeepers at the busiest", ""),
    ("registry: a tick", "workers"),
    ("registry: of that, all workers", "workers"),
    ("registry: the same compressed", "workers"),
    ("gatekeeper: memory of workers", "workers"),
    ("gatekeeper: a request let in", ""),
    ("store: a change to a follower", ""),
    ("registry: answer, nothing new, bytes", ""),
    ("", "tenants"),
)
# Figures by the number of entries in a message, and the unit of an entry on the page.
FIGURES_BY_ENTRIES: Final = (
    (figure_names.TAKING_A_PULL_MS, "counts told"),
    (figure_names.ANSWER_WITH_SUMS_MS, "entries"),
    (figure_names.ANSWER_WITH_SUMS_BYTES, "entries"),
    (figure_names.SWAP_MS, "entries"),
    (figure_names.SWAP_BYTES, "entries"),
    (figure_names.PULL_WITH_SUMS_MS, "entries"),
)


def figures_table(figures: RecordedFigures, role: str) -> str:
    """The figures of one role (the first word of their names) at each size, and the lines through them."""
    rows = [_figure_row(figures, name, role) for name in figures.names() if name.startswith(role)]
    sizes = [f"{size:,}" for size in figures.sizes]
    return format_table(["what", *sizes, "line", "farthest point", "spread"], rows)


def entries_table(figures: RecordedFigures) -> str:
    """The figures that grow with the number of entries in one message."""
    rows = []
    for name, unit in FIGURES_BY_ENTRIES:
        for size in _sizes_by_entries(figures, name):
            line = figures.line_by_entries(name, size)
            rows.append([name, f"{size:,}", _line_cell(line, unit), _error_cell(line), f"{line.max_x:,.0f}"])
    return format_table(["what", "size", "line", "farthest point", "largest measured"], rows)


def limits_table(figures: RecordedFigures) -> str:
    """The design limits in the order in which a growing cluster reaches them."""
    sized_limits = [
        (figures.proxies_at_limit(limit.value_at, limit.maximum), limit) for limit in design_limits(figures)
    ]
    sized_limits.sort(key=lambda sized: math.inf if sized[0] is None else sized[0])
    rows = [_limit_row(figures, limit, proxies) for proxies, limit in sized_limits]
    head = [
        "what, as it stands",
        "limit",
        f"at {figures.sizes[-1]:,}",
        "of the limit",
        "breaks at gatekeepers",
        "how",
    ]
    return format_table(head, rows)


def _figure_row(figures: RecordedFigures, name: str, role: str) -> list[str]:
    medians = [format_number(figures.median(name, size)) for size in figures.sizes]
    count_key = next(key for prefix, key in COUNT_KEY_BY_PREFIX if name.startswith(prefix))
    if count_key:
        line = figures.line_by(name, count_key)
        line_cells = [_line_cell(line, count_key), _error_cell(line)]
    else:
        line_cells = ["does not grow", "-"]
    title = name.removeprefix(role).lstrip(": ")
    return [title, *medians, *line_cells, f"{100 * figures.largest_spread(name):.0f}%"]


def _sizes_by_entries(figures: RecordedFigures, name: str) -> list[int]:
    if name == figure_names.PULL_WITH_SUMS_MS:
        return figures.sizes[:1]  # at larger sizes the cost of an idle pull hides that of its entries
    return [figures.sizes[0], figures.sizes[-1]]


def _line_cell(line: FittedLine, unit: str) -> str:
    return f"{format_number(line.intercept)} + {format_number(1000 * line.slope)} per 1,000 {unit}"


def _error_cell(line: FittedLine) -> str:
    return f"{100 * line.max_error:.0f}%"


def _limit_row(figures: RecordedFigures, limit: Limit, proxies_at_limit: float | None) -> list[str]:
    value_at_largest = limit.value_at(figures.sizes[-1])
    return [
        limit.title,
        f"{format_number(limit.maximum)} {limit.unit}".strip(),
        format_number(value_at_largest),
        f"{format_number(value_at_largest / limit.maximum)} x",
        _proxies_cell(figures, proxies_at_limit),
        limit.method,
    ]


def _proxies_cell(figures: RecordedFigures, proxies_at_limit: float | None) -> str:
    if proxies_at_limit is None:
        return "not up to 1,700"
    if proxies_at_limit < figures.sizes[0]:
        return f"{proxies_at_limit:,.0f} (below the smallest measured)"
    return f"{proxies_at_limit:,.0f}"
