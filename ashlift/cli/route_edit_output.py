"""What the `route` commands print of a core machine's answers. Pure."""

import json
import time
from collections.abc import Mapping
from typing import Any, Final

from ashlift.cli.tables import format_cell, format_table, sorted_rows

# What is shown for the `why` of a pending edit (`ashlift.route_reconciliation.edits.ConflictReason`).
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


def pending_lines(answer: Mapping[str, Any]) -> list[str]:
    """Return what to print of an edit that was stored and is not in force."""
    how = "merges by itself after the rejoin" if answer.get("auto") else "waits for `route confirm`"
    stored_at = ", ".join(map(format_cell, answer.get("held") or []))
    lines = [f"{format_cell(answer.get('id'))}: NOT in force; {how}; stored at {stored_at}"]
    if answer.get("doubt"):
        lines.append("in doubt: a leader got it and did not answer; it may come into force, once at most")
    return lines


def conflict_lines(answer: Mapping[str, Any]) -> list[str]:
    """Return what to print of a route that is not the one that an edit was made on."""
    texts = [("base", answer.get("base")), ("edit", answer.get("yours")), ("current", answer.get("theirs"))]
    return [f"conflict: {format_cell(answer.get('reason'))}", *_specification_lines(texts)]


def proposal_lines(answer: Mapping[str, Any]) -> list[str]:
    """Return the pending edits, each with its base, itself and the current route."""
    lines = [_state_line(answer)]
    for row in sorted_rows(answer, "proposals"):
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


def history_lines(answer: Mapping[str, Any]) -> list[str]:
    """Return the current route and what became of its last edits."""
    rows = [
        {**row, "at": _format_time(row.get("at_ms"))}
        for row in answer.get("history") or []
        if isinstance(row, dict)
    ]
    current = f"current {_specification_text(answer.get('text'))}"
    return [_state_line(answer), current, *format_table(HISTORY_COLUMNS, rows)]


def _specification_lines(specifications: list[tuple[str, Any]]) -> list[str]:
    return [f"  {name:<9}{_specification_text(specification)}" for name, specification in specifications]


def _specification_text(specification: Any) -> str:
    return "no such route" if specification is None else json.dumps(specification, sort_keys=True)


def _format_time(milliseconds: Any) -> str:
    """Milliseconds of the time of day as a text, UTC."""
    if not isinstance(milliseconds, int):
        return "-"
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(milliseconds / 1000))


def _state_line(answer: Mapping[str, Any]) -> str:
    """The version that the answer goes by, and the machines whose pending edits it has."""
    lease_age = answer.get("age")
    freshness = "not confirmed: no majority in reach"
    if isinstance(lease_age, int | float):
        freshness = f"confirmed {lease_age:.2f} s ago"
    machines = ", ".join(map(format_cell, answer.get("reached") or [])) or "no store"
    return f"version {format_cell(answer.get('version'))}, {freshness}; pending edits of {machines}"
