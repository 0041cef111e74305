"""What `status` and `members` print of an answer of `GET /status`. Pure."""

from collections import Counter
from collections.abc import Mapping
from typing import Any

from ashlift.cli.tables import Rows, format_cell, format_table, sorted_rows


def status_lines(answer: Mapping[str, Any]) -> list[str]:
    """Return the state of the system as one core machine sees it."""
    proxies = sorted_rows(answer, "gatekeepers")
    workers = sorted_rows(answer, "workers")
    ready_proxies = sum(row.get("ready") is True for row in proxies)
    lines = [
        f"node           {format_cell(answer.get('node'))}",
        f"configuration  {format_cell(answer.get('version'))}, {_freshness(answer.get('age'))}",
        f"store          leader {format_cell(answer.get('leader'))}, term {format_cell(answer.get('term'))}, "
        f"index {format_cell(answer.get('index'))}, {len(sorted_rows(answer, 'members'))} members",
        *_registry_lines(answer.get("sources")),
        f"proxies        {len(proxies)}, {ready_proxies} ready",
        f"workers        {len(workers)}",
    ]
    for service, states in sorted(_worker_states(workers).items()):
        counts = ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
        lines.append(f"  {service}: {counts}")
    return lines


def member_lines(answer: Mapping[str, Any]) -> list[str]:
    """Return the core machines, proxies and workers, each on a line."""
    core = sorted_rows(answer, "members")
    further_columns = sorted({key for row in core for key in row} - {"ip"})
    return [
        "core",
        *format_table(["ip", *further_columns], core),
        "proxies",
        *format_table(
            ["node", "zone", "region", "front", "ready", "since"], sorted_rows(answer, "gatekeepers")
        ),
        "workers",
        *format_table(["id", "service", "zone", "state", "warm"], sorted_rows(answer, "workers")),
    ]


def _freshness(lease_age: Any) -> str:
    if isinstance(lease_age, int | float):
        return f"confirmed current {lease_age:.2f} s ago"
    return "not confirmed current"


def _registry_lines(sources: Any) -> list[str]:
    """The other registries, and how long ago the last update of each came."""
    if not isinstance(sources, dict) or not sources:
        return []
    ages = {name: format_cell(row.get("silent")) for name, row in sources.items() if isinstance(row, dict)}
    return ["registries     " + ", ".join(f"{name} ({age} s ago)" for name, age in sorted(ages.items()))]


def _worker_states(workers: Rows) -> dict[str, Counter[str]]:
    """Numbers of workers by state, by service."""
    states: dict[str, Counter[str]] = {}
    for row in workers:
        warm_in = row.get("warm")  # seconds, or of no use where the state has none
        warming_up = isinstance(warm_in, int | float) and not isinstance(warm_in, bool) and warm_in > 0
        state = f"{format_cell(row.get('state'))}{' (warming up)' if warming_up else ''}"
        states.setdefault(format_cell(row.get("service")), Counter())[state] += 1
    return states
