"""Formats values and tables for a terminal; a missing value is shown as `-`. Performs no I/O."""

import json
from collections.abc import Mapping, Sequence
from typing import Any, Final

SORT_KEYS: Final = ("zone", "service", "node", "id", "ip")
Rows = Sequence[Mapping[str, Any]]  # rows of a JSON response


def format_cell(value: Any) -> str:
    """Return a value as text on one line."""
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.2f}".rstrip("0").rstrip(".")
    return " ".join((value if isinstance(value, str) else json.dumps(value)).split())


def format_table(columns: Sequence[str] | Mapping[str, str], rows: Rows) -> list[str]:
    """Return the lines of a table; `columns` are row keys, or a mapping of row keys to headings."""
    if not rows:
        return ["  none"]
    headings = list(columns.values()) if isinstance(columns, Mapping) else list(columns)
    lines = [headings, *([format_cell(row.get(key)) for key in columns] for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(headings))]
    padded = ([text.ljust(width) for text, width in zip(line, widths, strict=True)] for line in lines)
    return [f"  {'  '.join(line)}".rstrip() for line in padded]


def sorted_rows(response: Mapping[str, Any], key: str) -> Rows:
    """Return the rows under a key of a response, sorted; a bare value becomes `{"ip": value}`."""
    values = response.get(key)
    if not isinstance(values, list):
        return []
    rows = [value if isinstance(value, dict) else {"ip": value} for value in values]
    return sorted(rows, key=lambda row: [format_cell(row.get(name)) for name in SORT_KEYS])
