"""Formats numbers, tables and lists in Markdown."""

import math
from collections.abc import Sequence
from typing import Final

SIGNIFICANT_DIGITS: Final = 3
MAX_DECIMALS: Final = 4


def format_number(value: float | None) -> str:
    """A number with three significant digits, `-` for None and infinity."""
    if value is None or not math.isfinite(value):
        return "-"
    if value == 0:
        return "0"
    decimals = SIGNIFICANT_DIGITS - 1 - math.floor(math.log10(abs(value)))
    if abs(value) < 1000:
        return f"{value:,.{min(max(0, decimals), MAX_DECIMALS)}f}"
    return f"{round(value, decimals):,.0f}"


def format_table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """A Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(cells) + " |" for cells in lines) + "\n"


def format_list(items: Sequence[str]) -> str:
    """A Markdown list."""
    return "\n".join(f"- {item}" for item in items) + "\n"
