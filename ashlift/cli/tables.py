"""Formats values and tables for a terminal; what an answer lacks is shown as `-`. Pure."""

import json
from collections.abc import Mapping, Sequence
from typing import Any, Final

SORT_KEYS: Final = ("zone", "service", "node", "id", "ip")
Rows = Sequence[Mapping[str, Any]]  # rows of JSON answers, by key


def format_cell(value: Any) -> str:
    """Return a value on one line."""
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.2f}".rstrip("0").rstrip(".")
    return " ".join((value if isinstance(value, str) else json.dumps(value)).split())


def format_table(columns: Sequence[str] | Mapping[str, str], rows: Rows) -> list[str]:
    """Return the lines of a table: columns by key, headed by the key or, in a mapping, by its value."""
    if not rows:
        return ["  none"]
    headings = list(columns.values()) if isinstance(columns, Mapping) else list(columns)
    lines = [headings, *([format_cell(row.get(key)) for key in columns] for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(headings))]
    padded = ([text.ljust(width) for text, width in zip(line, widths, strict=True)] for line in lines)
    return [f"  {'  '.join(line)}".rstrip() for line in padded]


def sorted_rows(answer: Mapping[str, Any], key: str) -> Rows:
    """Return the rows that an answer has under a key, in a fixed order; a bare text is a row's `ip`."""
    values = answer.get(key)
    if not isinstance(values, list):
        return []
    rows = [value if isinstance(value, dict) else {"ip": value} for value in values]
    return sorted(rows, key=lambda row: [format_cell(row.get(name)) for name in SORT_KEYS])
