"""The read-only commands `plan capacity`, `plan rollout` and `plan change`."""

from collections.abc import Mapping
from typing import Any, Final

import attrs
from cleo.helpers import argument, option

from ashlift.cli.capacity_planner import OfferedLoad, PlannedWorker, ServedLoad, plan_capacity
from ashlift.cli.change_planner import RecordedRequest, RouteOutcomes, compare_outcomes
from ashlift.cli.command import EXIT_DIFFERENT, EXIT_SUCCESS, CliCommand
from ashlift.cli.configurations import load_entries, prefix_failures
from ashlift.cli.control_client import get_json
from ashlift.cli.files import parse_json, read_file, read_json_file
from ashlift.cli.rollout_planner import RolloutTarget, plan_rollout
from ashlift.cli.tables import format_table, sorted_rows
from ashlift.config import operator_config
from ashlift.config.routing_table import RoutingTable
from ashlift.errors import Failure, FailureReason

ROUNDING_TOLERANCE: Final = 1e-9  # requests/s; a smaller rejected rate is a rounding error
STATUS: Final = argument("status", "A Control address, or a file with its response to GET /status.")
CAPACITY_COLUMNS: Final = ("lost", "route", "service", "workers", "offered", "served", "rejected")


def read_status(origin: str) -> dict[str, Any] | Failure:
    """Return a response of `GET /status`, from a file or from a core machine."""
    data = read_file(origin)
    response = parse_json(data, origin) if isinstance(data, bytes) else get_json(origin, "/status")
    if isinstance(response, Failure | dict):
        return response
    return Failure(FailureReason.INVALID, f"{origin}: is no answer of /status")


def parse_offered_loads(texts: list[str], table: RoutingTable) -> dict[str, OfferedLoad] | Failure:
    """Parse texts of the form `ROUTE=RATE:WORK_MS`; each route must exist in the configuration."""
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
        return Failure(
            FailureReason.INVALID, "--ask ROUTE=RATE:WORK_MS is required: the load that clients offer"
        )
    return loads


class PlanCapacity(CliCommand):
    """`plan capacity`."""

    name = "plan capacity"
    description = "What workers can serve after the loss of each zone and region, and what is rejected."
    arguments = [STATUS]
    options = [
        option("on", None, "The configuration (file or address).", flag=False),
        option(
            "ask",
            None,
            "Offered load as ROUTE=RATE:WORK_MS (requests/s and ms of work each), e.g. look=158:220.",
            flag=False,
            multiple=True,
        ),
    ]

    def handle(self) -> int:
        """Print served rates and quotas; `EXIT_DIFFERENT` if load is rejected even without a failure."""
        response = read_status(self.argument("status"))
        if isinstance(response, Failure):
            return self.print_failures([response])
        entries = load_entries(self.option("on") or self.argument("status"))
        if isinstance(entries, list):
            return self.print_failures(entries)
        table = RoutingTable.from_entries(entries)
        loads = parse_offered_loads(self.option("ask"), table)
        if isinstance(loads, Failure):
            return self.print_failures([loads])
        results = list(plan_capacity(_planned_workers(response), table, loads))
        self.print_lines(format_table(CAPACITY_COLUMNS, [_capacity_row(result) for result in results]))
        self.print_lines([_quota_line(table)])
        rejected = any(
            result.failed_domain == "nothing" and result.rejected_rate > ROUNDING_TOLERANCE
            for result in results
        )
        return EXIT_DIFFERENT if rejected else EXIT_SUCCESS


def _planned_workers(response: Mapping[str, Any]) -> list[PlannedWorker]:
    """Return the ready workers of a status response; their region is that of the proxies in their zone."""
    region_of_zone = {
        str(row.get("zone")): str(row.get("region")) for row in sorted_rows(response, "gatekeepers")
    }
    return [
        PlannedWorker(
            id=str(row["id"]),
            service=str(row["service"]),
            zone=str(row["zone"]),
            region=region_of_zone.get(str(row["zone"]), ""),
            capacity=int(row["capacity"]),
        )
        for row in sorted_rows(response, "workers")
        if row.get("state") == "ready"
    ]


def _capacity_row(result: ServedLoad) -> dict[str, Any]:
    return {
        "lost": result.failed_domain,
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
        argument("what", "gatekeepers (the proxies), core, or the name of a service (its workers)."),
    ]
    options = [option("most", None, "The maximum number out of service at a time.", flag=False, default="1")]

    def handle(self) -> int:
        """Print the batches, numbered."""
        response = read_status(self.argument("status"))
        if isinstance(response, Failure):
            return self.print_failures([response])
        max_unavailable = str(self.option("most"))
        if not max_unavailable.isdigit():
            return self.print_error("--most must be a whole number")
        group = self.argument("what")
        items = _rollout_targets(response, group)
        if not items:
            return self.print_error(f"{group}: there are none")
        batches = plan_rollout(items, int(max_unavailable), needs_majority=group == "core")
        if isinstance(batches, Failure):
            return self.print_failures([batches])
        return self.print_lines([f"{number}. {', '.join(batch)}" for number, batch in enumerate(batches, 1)])


def _rollout_targets(response: Mapping[str, Any], group: str) -> list[RolloutTarget]:
    if group == "core":  # each core machine counts as its own zone
        return [
            RolloutTarget(str(row["ip"]), str(row["ip"]), "core", row["ip"] == response.get("leader"))
            for row in sorted_rows(response, "members")
        ]
    if group == "gatekeepers":
        return [
            RolloutTarget(str(row["node"]), str(row["zone"]), "gatekeepers")
            for row in sorted_rows(response, "gatekeepers")
        ]
    return [
        RolloutTarget(str(row["id"]), str(row["zone"]), group)
        for row in sorted_rows(response, "workers")
        if row.get("service") == group
    ]


class PlanChange(CliCommand):
    """`plan change`."""

    name = "plan change"
    description = (
        "Recorded requests that would be forwarded elsewhere or rejected after a configuration change."
    )
    arguments = [
        argument("config", "The new configuration, complete or a patch."),
        argument("on", "The current configuration (file or address) that the change applies to."),
        argument("record", "JSON lines with at (seconds), host, path, key."),
    ]

    def handle(self) -> int:
        """Print the affected requests by route; return `EXIT_DIFFERENT` if there are any."""
        file = self.argument("config")
        body = read_json_file(file)
        if isinstance(body, Failure):
            return self.print_failures([body])
        current = load_entries(self.argument("on"))
        if isinstance(current, list):
            return self.print_failures(current)
        new_entries = entries_after_change(current, body)
        if isinstance(new_entries, list):
            return self.print_failures(prefix_failures(file, new_entries))
        requests = read_recorded_requests(self.argument("record"))
        if isinstance(requests, Failure):
            return self.print_failures([requests])
        old = RoutingTable.from_entries(current)
        new = RoutingTable.from_entries(new_entries)
        counts = compare_outcomes(old, new, requests)
        affected = {key: count for key, count in counts.items() if key.before != key.after}
        self.print_lines(format_table(("route", "requests", "before", "after"), _affected_rows(affected)))
        self.print_lines(
            [f"{sum(affected.values())} of {sum(counts.values())} requests have another outcome"]
        )
        return EXIT_DIFFERENT if affected else EXIT_SUCCESS


def read_recorded_requests(origin: str) -> list[RecordedRequest] | Failure:
    """Read JSON lines with `at` (seconds), `host`, `path` and an optional `key`; ignore other fields."""
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
            FailureReason.INVALID, f"{origin}: must have at (seconds), host and path; key is optional"
        )
    if not all(isinstance(text, str) for text in (request.host, request.path, request.key)):
        return Failure(FailureReason.INVALID, f"{origin}: host, path and key must be strings")
    return request


def entries_after_change(current: dict[str, Any], body: Any) -> dict[str, Any] | list[Failure]:
    """Return the entries after a complete upload or a patch, or all its errors."""
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
