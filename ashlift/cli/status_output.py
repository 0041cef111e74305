"""Formats responses of `GET /status` for the `status` and `members` commands. Performs no I/O."""

from collections import Counter
from collections.abc import Mapping
from typing import Any

from ashlift.cli.tables import Rows, format_cell, format_table, sorted_rows


def status_lines(response: Mapping[str, Any]) -> list[str]:
    """Return a summary of the system's state as reported by one core machine."""
    proxies = sorted_rows(response, "gatekeepers")
    workers = sorted_rows(response, "workers")
    ready_proxies = sum(row.get("ready") is True for row in proxies)
    lines = [
        f"node           {format_cell(response.get('node'))}",
        f"configuration  {format_cell(response.get('version'))}, {_freshness(response.get('age'))}",
        f"store          leader {format_cell(response.get('leader'))}, "
        f"term {format_cell(response.get('term'))}, "
        f"index {format_cell(response.get('index'))}, {len(sorted_rows(response, 'members'))} members",
        *_registry_lines(response.get("sources")),
        f"proxies        {len(proxies)}, {ready_proxies} ready",
        f"workers        {len(workers)}",
    ]
    for service, states in sorted(_worker_states(workers).items()):
        counts = ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
        lines.append(f"  {service}: {counts}")
    return lines


def member_lines(response: Mapping[str, Any]) -> list[str]:
    """Return tables of the core machines, proxies and workers."""
    core = sorted_rows(response, "members")
    other_columns = sorted({key for row in core for key in row} - {"ip"})
    return [
        "core",
        *format_table(["ip", *other_columns], core),
        "proxies",
        *format_table(
            ["node", "zone", "region", "front", "ready", "since"], sorted_rows(response, "gatekeepers")
        ),
        "workers",
        *format_table(["id", "service", "zone", "state", "warm"], sorted_rows(response, "workers")),
    ]


def _freshness(lease_age: Any) -> str:
    if isinstance(lease_age, int | float):
        return f"confirmed current {lease_age:.2f} s ago"
    return "not confirmed current"


def _registry_lines(sources: Any) -> list[str]:
    """Return the other registries and the age of the last update from each."""
    if not isinstance(sources, dict) or not sources:
        return []
    ages = {name: format_cell(row.get("silent")) for name, row in sources.items() if isinstance(row, dict)}
    return ["registries     " + ", ".join(f"{name} ({age} s ago)" for name, age in sorted(ages.items()))]


def _worker_states(workers: Rows) -> dict[str, Counter[str]]:
    """Return, by service, the number of workers in each state."""
    states: dict[str, Counter[str]] = {}
    for row in workers:
        seconds_until_warm = row.get("warm")  # None for a state without a warm-up
        warming_up = (
            isinstance(seconds_until_warm, int | float)
            and not isinstance(seconds_until_warm, bool)
            and seconds_until_warm > 0
        )
        state = f"{format_cell(row.get('state'))}{' (warming up)' if warming_up else ''}"
        states.setdefault(format_cell(row.get("service")), Counter())[state] += 1
    return states
