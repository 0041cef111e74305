"""The commands `plan capacity`, `plan rollout` and `plan change`: they ask, and change nothing."""

from collections.abc import Mapping
from typing import Any, Final

import attrs
from cleo.helpers import argument, option

from ashlift.cli.capacity_planner import OfferedLoad, PlannedWorker, ServedLoad, plan_capacity
from ashlift.cli.change_planner import RecordedRequest, RouteOutcomes, compare_outcomes
from ashlift.cli.command import EXIT_DIFFERENT, EXIT_DONE, CliCommand
from ashlift.cli.configurations import load_entries, prefix_failures
from ashlift.cli.control_client import get_json
from ashlift.cli.files import parse_json, read_file, read_json_file
from ashlift.cli.rollout_planner import Replaceable, plan_rollout
from ashlift.cli.tables import format_table, sorted_rows
from ashlift.config import operator_config
from ashlift.config.routing_table import RoutingTable
from ashlift.errors import Failure, FailureReason

ROUNDING_TOLERANCE: Final = 1e-9  # requests a second that count as served
STATUS: Final = argument("status", "A Control address, or a file with the answer of its /status.")
CAPACITY_COLUMNS: Final = ("lost", "route", "service", "workers", "offered", "served", "rejected")


def read_status(origin: str) -> dict[str, Any] | Failure:
    """Return an answer of `GET /status`, from a core machine or from a file."""
    data = read_file(origin)
    answer = parse_json(data, origin) if isinstance(data, bytes) else get_json(origin, "/status")
    if isinstance(answer, Failure | dict):
        return answer
    return Failure(FailureReason.INVALID, f"{origin}: is no answer of /status")


def parse_loads(texts: list[str], table: RoutingTable) -> dict[str, OfferedLoad] | Failure:
    """Parse `ROUTE=RATE:WORK_MS`, each of a route of the configuration."""
    loads = {}
    for text in texts:
        name, _, numbers = text.partition("=")
        rate, _, milliseconds = numbers.partition(":")
        try:
            loads[name] = OfferedLoad(float(rate), float(milliseconds) / 1000)
        except ValueError:
            return Failure(FailureReason.INVALID, f"{text}: is not ROUTE=RATE:WORK_MS, such as look=158:220")
        if name not in table.routes:
            return Failure(FailureReason.INVALID, f"{name}: the configuration has no such route")
    if not loads:
        return Failure(FailureReason.INVALID, "say with --ask ROUTE=RATE:WORK_MS what clients ask")
    return loads


class PlanCapacity(CliCommand):
    """`plan capacity`."""

    name = "plan capacity"
    description = "What workers can serve after the loss of each zone and region, and what is rejected."
    arguments = [STATUS]
    options = [
        option("on", None, "The configuration (file or address).", flag=False),
        option("ask", None, "ROUTE=RATE:WORK_MS, as look=158:220.", flag=False, multiple=True),
    ]

    def handle(self) -> int:
        """Print the table, and the quotas; different where requests are rejected with nothing lost."""
        answer = read_status(self.argument("status"))
        if isinstance(answer, Failure):
            return self.print_failures([answer])
        entries = load_entries(self.option("on") or self.argument("status"))
        if isinstance(entries, list):
            return self.print_failures(entries)
        table = RoutingTable.from_entries(entries)
        loads = parse_loads(self.option("ask"), table)
        if isinstance(loads, Failure):
            return self.print_failures([loads])
        results = list(plan_capacity(_planned_workers(answer), table, loads))
        self.print_lines(format_table(CAPACITY_COLUMNS, [_capacity_row(result) for result in results]))
        self.print_lines([_quota_line(table)])
        rejected = any(
            result.lost == "nothing" and result.rejected_rate > ROUNDING_TOLERANCE for result in results
        )
        return EXIT_DIFFERENT if rejected else EXIT_DONE


def _planned_workers(answer: Mapping[str, Any]) -> list[PlannedWorker]:
    """The ready workers of an answer of `/status`; a zone's region is that of its proxies."""
    region_of_zone = {
        str(row.get("zone")): str(row.get("region")) for row in sorted_rows(answer, "gatekeepers")
    }
    return [
        PlannedWorker(
            id=str(row["id"]),
            service=str(row["service"]),
            zone=str(row["zone"]),
            region=region_of_zone.get(str(row["zone"]), ""),
            capacity=int(row["capacity"]),
        )
        for row in sorted_rows(answer, "workers")
        if row.get("state") == "ready"
    ]


def _capacity_row(result: ServedLoad) -> dict[str, Any]:
    return {
        "lost": result.lost,
        "route": result.route,
        "service": result.service,
        "workers": result.workers,
        "offered": result.offered_rate,
        "served": result.served_rate,
        "rejected": max(0.0, result.rejected_rate),
    }


def _quota_line(table: RoutingTable) -> str:
    total = sum(tenant.rate_limit for tenant in table.tenants.values())
    unlimited = sorted(name for name, tenant in table.tenants.items() if not tenant.rate_limit)
    return f"quotas: {total:g} a second in all; no limit: {', '.join(unlimited) or 'nobody'}"


class PlanRollout(CliCommand):
    """`plan rollout`."""

    name = "plan rollout"
    description = "In which order to replace proxies, core machines or workers."
    arguments = [
        STATUS,
        argument("what", "gatekeepers (the proxies), core, or a service, whose workers are meant."),
    ]
    options = [option("most", None, "So many are out at most.", flag=False, default="1")]

    def handle(self) -> int:
        """Print the batches, numbered."""
        answer = read_status(self.argument("status"))
        if isinstance(answer, Failure):
            return self.print_failures([answer])
        max_out = str(self.option("most"))
        if not max_out.isdigit():
            return self.print_invalid("--most wants a whole number")
        what = self.argument("what")
        items = _replaceable_items(answer, what)
        if not items:
            return self.print_invalid(f"{what}: there are none")
        batches = plan_rollout(items, int(max_out), needs_majority=what == "core")
        if isinstance(batches, Failure):
            return self.print_failures([batches])
        return self.print_lines([f"{number}. {', '.join(batch)}" for number, batch in enumerate(batches, 1)])


def _replaceable_items(answer: Mapping[str, Any], what: str) -> list[Replaceable]:
    if what == "core":  # each machine counts as a zone of its own
        return [
            Replaceable(str(row["ip"]), str(row["ip"]), "core", row["ip"] == answer.get("leader"))
            for row in sorted_rows(answer, "members")
        ]
    if what == "gatekeepers":
        return [
            Replaceable(str(row["node"]), str(row["zone"]), "gatekeepers")
            for row in sorted_rows(answer, "gatekeepers")
        ]
    return [
        Replaceable(str(row["id"]), str(row["zone"]), what)
        for row in sorted_rows(answer, "workers")
        if row.get("service") == what
    ]


class PlanChange(CliCommand):
    """`plan change`."""

    name = "plan change"
    description = "Which requests of a record are forwarded elsewhere or rejected after a change."
    arguments = [
        argument("config", "The new configuration, complete or a change by name."),
        argument("on", "The configuration (file or address) that it is to follow."),
        argument("record", "JSON lines: at, host, path, key."),
    ]

    def handle(self) -> int:
        """Print the affected requests by route; different where there are any."""
        file = self.argument("config")
        body = read_json_file(file)
        if isinstance(body, Failure):
            return self.print_failures([body])
        current = load_entries(self.argument("on"))
        if isinstance(current, list):
            return self.print_failures(current)
        following = entries_after(current, body)
        if isinstance(following, list):
            return self.print_failures(prefix_failures(file, following))
        requests = read_record(self.argument("record"))
        if isinstance(requests, Failure):
            return self.print_failures([requests])
        old = RoutingTable.from_entries(current)
        new = RoutingTable.from_entries(following)
        counts = compare_outcomes(old, new, requests)
        affected = {key: count for key, count in counts.items() if key.before != key.after}
        self.print_lines(format_table(("route", "requests", "before", "after"), _affected_rows(affected)))
        self.print_lines(
            [f"{sum(affected.values())} of {sum(counts.values())} requests have another outcome"]
        )
        return EXIT_DIFFERENT if affected else EXIT_DONE


def read_record(origin: str) -> list[RecordedRequest] | Failure:
    """Read JSON lines with `at` (s), `host`, `path` and `key`; other fields are ignored."""
    data = read_file(origin)
    if isinstance(data, Failure):
        return data
    requests = []
    for number, line in enumerate(data.splitlines(), 1):
        request = _parse_request(line, f"{origin}:{number}")
        if isinstance(request, Failure):
            return request
        requests.append(request)
    return requests


def _parse_request(line: bytes, origin: str) -> RecordedRequest | Failure:
    value = parse_json(line, origin)
    if isinstance(value, Failure):
        return value
    field_names = {field.name for field in attrs.fields(RecordedRequest)}
    try:
        fields = {name: value[name] for name in field_names & value.keys()}
        request = RecordedRequest(**{**fields, "at": float(fields["at"])})
    except (TypeError, ValueError, AttributeError, KeyError):
        return Failure(
            FailureReason.INVALID, f"{origin}: wants at (s), host, path, and key where there is one"
        )
    if not all(isinstance(text, str) for text in (request.host, request.path, request.key)):
        return Failure(FailureReason.INVALID, f"{origin}: host, path and key are texts")
    return request


def entries_after(current: dict[str, Any], body: Any) -> dict[str, Any] | list[Failure]:
    """Return the entries after a change, complete or by name, or all its errors."""
    kind = "put" if isinstance(body, dict) and "Objects" in body else "patch"
    failures = operator_config.validate_change(current, kind, body)
    if failures:
        return failures
    change = operator_config.apply_change(current, kind, operator_config.current_version(current), body)
    if isinstance(change, Failure):
        return [change]
    merged = {**current, **change.entries}
    return {key: value for key, value in merged.items() if key not in change.removed_keys}


def _affected_rows(affected: Mapping[RouteOutcomes, int]) -> list[dict[str, Any]]:
    return [
        {
            "route": outcomes.route,
            "requests": count,
            "before": outcomes.before.describe(),
            "after": outcomes.after.describe(),
        }
        for outcomes, count in sorted(affected.items())
    ]
