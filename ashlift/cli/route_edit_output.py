"""Formats a core machine's responses for the `route` commands. Performs no I/O."""

import json
import time
from collections.abc import Mapping
from typing import Any, Final

from ashlift.cli.tables import format_cell, format_table, sorted_rows

# Printed text by `why` of a pending edit, a value of `ashlift.route_reconciliation.edits.ConflictReason`.
PENDING_REASONS: Final = {"": "merges by itself", "text": "CONFLICT: the route has changed since"}
HISTORY_COLUMNS: Final = {
    "id": "id",
    "at": "at",
    "who": "author",
    "where": "machine",
    "on": "base",
    "outcome": "outcome",
    "version": "version",
    "by": "resolved by",
    "lost_to": "lost to",
}


def pending_lines(response: Mapping[str, Any]) -> list[str]:
    """Return the output for an edit that was stored but not applied."""
    next_step = "merges by itself after the rejoin" if response.get("auto") else "waits for `route confirm`"
    stored_at = ", ".join(map(format_cell, response.get("held") or []))
    lines = [f"{format_cell(response.get('id'))}: NOT in force; {next_step}; stored at {stored_at}"]
    if response.get("doubt"):
        lines.append("in doubt: a leader got it and did not answer; it may come into force, once at most")
    return lines


def conflict_lines(response: Mapping[str, Any]) -> list[str]:
    """Return the output for an edit whose base is no longer the current route."""
    texts = [
        ("base", response.get("base")),
        ("edit", response.get("yours")),
        ("current", response.get("theirs")),
    ]
    return [f"conflict: {format_cell(response.get('reason'))}", *_specification_lines(texts)]


def proposal_lines(response: Mapping[str, Any]) -> list[str]:
    """Return the pending edits, each with its base, the edited and the current specification."""
    lines = [_state_line(response)]
    for row in sorted_rows(response, "proposals"):
        timestamp = row.get("stamp")
        at = _format_time(timestamp[0]) if isinstance(timestamp, list) and timestamp else "-"
        edit_id, route, author, machine, base_version = (
            format_cell(row.get(key)) for key in ("id", "name", "who", "where", "version")
        )
        reason = row.get("why") or ""
        shown_reason = PENDING_REASONS.get(reason, format_cell(reason))
        lines.append(f"{edit_id}  {route}  by {author} at {machine}, {at}, on {base_version}: {shown_reason}")
        texts = [("base", row.get("base")), ("edit", row.get("text")), ("current", row.get("now"))]
        lines += _specification_lines(texts)
    return lines if len(lines) > 1 else [*lines, "  none"]


def history_lines(response: Mapping[str, Any]) -> list[str]:
    """Return the current route and the outcomes of its latest edits."""
    rows = [
        {**row, "at": _format_time(row.get("at_ms"))}
        for row in response.get("history") or []
        if isinstance(row, dict)
    ]
    current = f"current {_specification_text(response.get('text'))}"
    return [_state_line(response), current, *format_table(HISTORY_COLUMNS, rows)]


def _specification_lines(specifications: list[tuple[str, Any]]) -> list[str]:
    return [f"  {name:<9}{_specification_text(specification)}" for name, specification in specifications]


def _specification_text(specification: Any) -> str:
    return "no such route" if specification is None else json.dumps(specification, sort_keys=True)


def _format_time(milliseconds: Any) -> str:
    """Format a Unix time in milliseconds as UTC."""
    if not isinstance(milliseconds, int):
        return "-"
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(milliseconds / 1000))


def _state_line(response: Mapping[str, Any]) -> str:
    """Return the version of the response, and the machines whose pending edits it includes."""
    lease_age = response.get("age")
    freshness = "not confirmed: no majority in reach"
    if isinstance(lease_age, int | float):
        freshness = f"confirmed {lease_age:.2f} s ago"
    machines = ", ".join(map(format_cell, response.get("reached") or [])) or "no store"
    return f"version {format_cell(response.get('version'))}, {freshness}; pending edits of {machines}"
