"""The `tenant` commands. Adding or changing takes one configuration version; removing takes up to two.

Runbook: docs/operations/tenants.md.
"""

from typing import Any, Final

from attrs import frozen
from cleo.helpers import argument, option

from ashlift.cli import config_rollout, tenants
from ashlift.cli.cluster_status import ClusterStatus, ProxyStatus, fetch_cluster_status
from ashlift.cli.command import ADDRESS, EXIT_DIFFERENT, EXIT_SUCCESS, CliCommand
from ashlift.cli.config_diff import diff_lines
from ashlift.cli.configurations import load_entries, prefix_failures
from ashlift.cli.files import read_json_file
from ashlift.cli.tables import format_table
from ashlift.cli.tenants import TENANT_KEY_PREFIX
from ashlift.config import operator_config
from ashlift.config.routing_table import RoutingTable
from ashlift.errors import Failure, FailureReason

FILE: Final = argument("file", "JSON: Objects with the tenant and, if needed, its routes and services.")
NAME: Final = argument("name", "The tenant's name.")
MAX_DRAIN_SECONDS: Final = 30.0  # upper limit of the wait for requests in flight
PROXY_COLUMNS: Final = ("node", "zone", "region", "ready", "holds", "last contact")


@frozen
class PlannedTenantChange:
    """The PATCH that applies a file, the differences it makes, and warnings about it."""

    if_match: str
    body: dict[str, Any]
    tenant_names: list[str]
    changes: list[str]  # the first line is the change of the version
    warnings: list[str]
    status: ClusterStatus


def plan_tenant_change(address: str, file: str) -> PlannedTenantChange | list[Failure]:
    """Compare a file with the current configuration, without sending a change."""
    entries = load_entries(address)
    if isinstance(entries, list):
        return entries
    body = read_json_file(file)
    objects = body if isinstance(body, Failure) else tenants.parse_objects(body, file)
    if isinstance(objects, Failure):
        return [objects]
    if_match, patch = tenants.build_patch(entries, objects)
    failures = operator_config.validate_change(entries, "patch", patch)
    if failures:
        return prefix_failures(file, failures)
    change = operator_config.apply_change(entries, "patch", if_match, patch)
    status = fetch_cluster_status(address)
    if isinstance(change, Failure) or isinstance(status, Failure):
        return [result for result in (change, status) if isinstance(result, Failure)]
    kept = {key: value for key, value in entries.items() if key not in change.removed_keys}
    entries_after = kept | change.entries
    return PlannedTenantChange(
        if_match=if_match,
        body=patch,
        tenant_names=tenants.tenant_names(objects),
        changes=diff_lines(entries, entries_after),
        warnings=tenants.tenant_warnings(entries_after, objects, status),
        status=status,
    )


class _TenantCommand(CliCommand):
    def proxy_lines(self, status: ClusterStatus, behind: list[ProxyStatus]) -> list[str]:
        """Return a table of the proxies with sessions and the configuration that each one holds."""
        rows = [
            {
                "node": proxy.node,
                "zone": proxy.zone,
                "region": proxy.region,
                "ready": proxy.ready,
                "holds": _held_configuration(proxy, status, behind),
                "last contact": proxy.seconds_since_contact,
            }
            for proxy in status.proxies
        ]
        unreachable = [f"no answer from core machine {address}" for address in status.unreachable]
        return [*format_table(PROXY_COLUMNS, rows), *unreachable]

    def send_and_wait(self, address: str, if_match: str, body: dict[str, Any], subject: str) -> int:
        """Send a change and wait for the proxies; `EXIT_DIFFERENT` if some do not hold it in time."""
        version = body["ConfigVersion"]
        failure = config_rollout.send_change(address, if_match, body)
        if failure is not None:
            return self.print_failures([failure])
        self.print_lines([f"{subject}: acknowledged as version {version}"])
        rollout = config_rollout.wait_until_propagated(address, version)
        if isinstance(rollout, Failure):
            detail = f"which proxies hold it is not known: {rollout.detail}"
            return self.print_failures([Failure(rollout.reason, detail)])
        count = len(rollout.status.proxies)
        self.print_lines([f"held by {count - len(rollout.behind)} of {count} proxies with a session"])
        if not rollout.behind:
            return EXIT_SUCCESS
        self.print_lines(self.proxy_lines(rollout.status, rollout.behind))
        return EXIT_DIFFERENT


def _held_configuration(proxy: ProxyStatus, status: ClusterStatus, behind: list[ProxyStatus]) -> str:
    if proxy.index is None:
        return "not known"
    return f"index {proxy.index}" if proxy in behind else status.version


class TenantPlan(_TenantCommand):
    """`tenant plan`."""

    name = "tenant plan"
    description = (
        "The changes that a file with a tenant would make, warnings about it, and the state of the proxies."
    )
    arguments = [ADDRESS, FILE]

    def handle(self) -> int:
        """Print changes, warnings and proxies."""
        plan = plan_tenant_change(self.argument("address"), self.argument("file"))
        if isinstance(plan, list):
            return self.print_failures(plan)
        status = plan.status
        behind = status.proxies_behind(status.index)
        self.print_lines([*plan.changes, *(f"doubtful: {warning}" for warning in plan.warnings)])
        self.print_lines(
            [f"{len(status.proxies)} proxies with a session, {len(behind)} behind version {status.version}"]
        )
        return self.print_lines(self.proxy_lines(status, behind))


class TenantAdd(_TenantCommand):
    """`tenant add`."""

    name = "tenant add"
    description = (
        "Apply the changes that `tenant plan` shows, and wait until all proxies with a session hold them."
    )
    arguments = [ADDRESS, FILE]
    options = [option("doubtful", None, "Apply the changes despite warnings.", flag=True)]

    def handle(self) -> int:
        """Send the change, unless there are warnings or nothing differs from the current configuration."""
        address = self.argument("address")
        plan = plan_tenant_change(address, self.argument("file"))
        if isinstance(plan, list):
            return self.print_failures(plan)
        if plan.warnings and not self.option("doubtful"):
            return self.print_failures(
                [
                    Failure(FailureReason.INVALID, f"doubtful (--doubtful goes on): {warning}")
                    for warning in plan.warnings
                ]
            )
        if len(plan.changes) == 1:
            return self.print_lines([f"nothing to change: version {plan.if_match} has it all"])
        return self.send_and_wait(address, plan.if_match, plan.body, ", ".join(plan.tenant_names))


class TenantStatus(_TenantCommand):
    """`tenant status`."""

    name = "tenant status"
    description = "A tenant in the current configuration, and the version that each proxy holds."
    arguments = [ADDRESS, NAME]

    def handle(self) -> int:
        """Print the tenant and the proxies; `EXIT_DIFFERENT` if the tenant is missing or a proxy lags."""
        address = self.argument("address")
        name = self.argument("name")
        entries = load_entries(address)
        if isinstance(entries, list):
            return self.print_failures(entries)
        status = fetch_cluster_status(address)
        if isinstance(status, Failure):
            return self.print_failures([status])
        tenant = RoutingTable.from_entries(entries).tenants.get(name)
        behind = status.proxies_behind(status.index)
        text = tenants.describe_tenant(tenant) if tenant else "is in no configuration that is in force"
        self.print_lines(
            [
                f"{name}: {text}",
                f"version {operator_config.current_version(entries)}, index {status.index}",
                *self.proxy_lines(status, behind),
            ]
        )
        return EXIT_DIFFERENT if behind or tenant is None else EXIT_SUCCESS


class TenantRemove(_TenantCommand):
    """`tenant remove`."""

    name = "tenant remove"
    description = "Remove a tenant's keys, wait for its requests in flight, and then remove the tenant."
    arguments = [ADDRESS, NAME]

    def handle(self) -> int:
        """Remove the API keys, drain, and remove the tenant.

        After an interruption the same command resumes: a tenant without keys is only drained and removed.
        """
        address = self.argument("address")
        name = self.argument("name")
        entries = load_entries(address)
        if isinstance(entries, list):
            return self.print_failures(entries)
        if TENANT_KEY_PREFIX + name not in entries:
            return self.print_error(f"{name}: is in no configuration that is in force")
        if entries[TENANT_KEY_PREFIX + name].get("ApiKeys"):
            exit_code = self._remove_api_keys(address, name, entries)
            if exit_code != EXIT_SUCCESS:
                return exit_code
            entries = load_entries(address)
            if isinstance(entries, list):
                return self.print_failures(entries)
            if entries.get(TENANT_KEY_PREFIX + name, {}).get("ApiKeys") != []:
                return self.print_error(f"{name}: somebody else has changed it meanwhile")
        self._drain(entries)
        if_match, body = tenants.build_patch(entries, [], [name])
        return self.send_and_wait(address, if_match, body, f"{name} removed")

    def _remove_api_keys(self, address: str, name: str, entries: dict[str, Any]) -> int:
        if_match, body = tenants.build_patch(entries, [tenants.without_api_keys(entries, name)])
        exit_code = self.send_and_wait(address, if_match, body, f"{name} without keys")
        if exit_code != EXIT_SUCCESS:
            self.print_lines([f"{name} is still there, without keys: the same command goes on from here"])
        return exit_code

    def _drain(self, entries: dict[str, Any]) -> None:
        """Wait for the longest route timeout, so that the tenant's requests in flight finish."""
        routes = RoutingTable.from_entries(entries).routes.values()
        timeouts = (route.timeout or MAX_DRAIN_SECONDS for route in routes)
        drain_seconds = min(MAX_DRAIN_SECONDS, max(timeouts, default=0.0))
        self.print_lines([f"draining for {drain_seconds:g} s, the longest timeout of a route"])
        config_rollout.sleep(drain_seconds)
