"""The `tenant` commands: a tenant is added, changed and removed completely, at one version.

Runbook: docs/operations/tenants.md.
"""

from typing import Any, Final

from attrs import frozen
from cleo.helpers import argument, option

from ashlift.cli import config_rollout, tenants
from ashlift.cli.cluster_status import ClusterStatus, ProxyStatus, fetch_cluster_status
from ashlift.cli.command import ADDRESS, EXIT_DIFFERENT, EXIT_DONE, CliCommand
from ashlift.cli.config_diff import diff_lines
from ashlift.cli.configurations import load_entries, prefix_failures
from ashlift.cli.files import read_json_file
from ashlift.cli.tables import format_table
from ashlift.cli.tenants import TENANT_KEY_PREFIX
from ashlift.config import operator_config
from ashlift.config.routing_table import RoutingTable
from ashlift.errors import Failure, FailureReason

FILE: Final = argument("file", "JSON: the tenant, with its routes and services if it brings any, as Objects.")
NAME: Final = argument("name", "The tenant's name.")
MAX_DRAIN_SECONDS: Final = 30.0  # for requests in flight, before a tenant is removed
PROXY_COLUMNS: Final = ("node", "zone", "region", "ready", "holds", "last contact")


@frozen
class PlannedTenantChange:
    """What a file would change: the PATCH to send, its differences, and what is doubtful in it."""

    if_match: str
    body: dict[str, Any]
    tenant_names: list[str]
    changes: list[str]  # the first is that of the version
    warnings: list[str]
    status: ClusterStatus


def plan_tenant_change(address: str, file: str) -> PlannedTenantChange | list[Failure]:
    """Compare a file with the configuration in force, without sending anything."""
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
        """Return a table of the proxies with sessions and the configuration that each holds."""
        rows = [
            {
                "node": proxy.node,
                "zone": proxy.zone,
                "region": proxy.region,
                "ready": proxy.ready,
                "holds": _configuration_of(proxy, status, behind),
                "last contact": proxy.heard_ago,
            }
            for proxy in status.proxies
        ]
        unreachable = [f"no answer from core machine {address}" for address in status.unreachable]
        return [*format_table(PROXY_COLUMNS, rows), *unreachable]

    def send(self, address: str, if_match: str, body: dict[str, Any], subject: str) -> int:
        """Send a change, and print which proxies hold it; different where some do not."""
        version = body["ConfigVersion"]
        failure = config_rollout.send_change(address, if_match, body)
        if failure is not None:
            return self.print_failures([failure])
        self.print_lines([f"{subject}: acknowledged as version {version}"])
        rollout = config_rollout.wait_until_held(address, version)
        if isinstance(rollout, Failure):
            detail = f"which proxies hold it is not known: {rollout.detail}"
            return self.print_failures([Failure(rollout.reason, detail)])
        count = len(rollout.status.proxies)
        self.print_lines([f"held by {count - len(rollout.behind)} of {count} proxies with a session"])
        if not rollout.behind:
            return EXIT_DONE
        self.print_lines(self.proxy_lines(rollout.status, rollout.behind))
        return EXIT_DIFFERENT


def _configuration_of(proxy: ProxyStatus, status: ClusterStatus, behind: list[ProxyStatus]) -> str:
    if proxy.index is None:
        return "not known"
    return f"index {proxy.index}" if proxy in behind else status.version


class TenantPlan(_TenantCommand):
    """`tenant plan`."""

    name = "tenant plan"
    description = (
        "What a file with a tenant would change, what in it is doubtful, and which proxies are there."
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
    description = "Put what `tenant plan` shows in force, and wait until all proxies with a session hold it."
    arguments = [ADDRESS, FILE]
    options = [option("doubtful", None, "Go on although something is doubtful.", flag=True)]

    def handle(self) -> int:
        """Send the change, unless something in it is doubtful or it is in force already."""
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
        return self.send(address, plan.if_match, plan.body, ", ".join(plan.tenant_names))


class TenantStatus(_TenantCommand):
    """`tenant status`."""

    name = "tenant status"
    description = "A tenant as it is in force, and which proxy holds which version."
    arguments = [ADDRESS, NAME]

    def handle(self) -> int:
        """Print the tenant and the proxies; different where it is in no configuration or some are behind."""
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
        return EXIT_DIFFERENT if behind or tenant is None else EXIT_DONE


class TenantRemove(_TenantCommand):
    """`tenant remove`."""

    name = "tenant remove"
    description = "Remove a tenant's keys, let its requests in flight end, and then remove it."
    arguments = [ADDRESS, NAME]

    def handle(self) -> int:
        """Remove the keys, drain, and remove the tenant; where it ended in between, it goes on from there."""
        address = self.argument("address")
        name = self.argument("name")
        entries = load_entries(address)
        if isinstance(entries, list):
            return self.print_failures(entries)
        if TENANT_KEY_PREFIX + name not in entries:
            return self.print_invalid(f"{name}: is in no configuration that is in force")
        if entries[TENANT_KEY_PREFIX + name].get("ApiKeys"):
            exit_code = self._remove_api_keys(address, name, entries)
            if exit_code != EXIT_DONE:
                return exit_code
            entries = load_entries(address)
            if isinstance(entries, list):
                return self.print_failures(entries)
            if entries.get(TENANT_KEY_PREFIX + name, {}).get("ApiKeys") != []:
                return self.print_invalid(f"{name}: somebody else has changed it meanwhile")
        self._drain(entries)
        if_match, body = tenants.build_patch(entries, [], [name])
        return self.send(address, if_match, body, f"{name} removed")

    def _remove_api_keys(self, address: str, name: str, entries: dict[str, Any]) -> int:
        if_match, body = tenants.build_patch(entries, [tenants.without_api_keys(entries, name)])
        exit_code = self.send(address, if_match, body, f"{name} without keys")
        if exit_code != EXIT_DONE:
            self.print_lines([f"{name} is still there, without keys: the same command goes on from here"])
        return exit_code

    def _drain(self, entries: dict[str, Any]) -> None:
        """Wait for the longest timeout of a route, so that no request of the tenant is in flight."""
        routes = RoutingTable.from_entries(entries).routes.values()
        timeouts = (route.timeout or MAX_DRAIN_SECONDS for route in routes)
        drain_seconds = min(MAX_DRAIN_SECONDS, max(timeouts, default=0.0))
        self.print_lines([f"draining for {drain_seconds:g} s, the longest timeout of a route"])
        config_rollout.sleep(drain_seconds)
