"""Reads tenants from files, builds patches, and warns about likely mistakes. Performs no I/O."""

from collections.abc import Iterable, Mapping
from typing import Any, Final

from ashlift.cli.cluster_status import ClusterStatus
from ashlift.config import operator_config
from ashlift.config.routing_table import Route, RoutingTable, Tenant
from ashlift.config.stored_objects import OTHER_FIELDS
from ashlift.errors import Failure, FailureReason

JsonObject = dict[str, Any]
TENANT_KEY_PREFIX: Final = "Tenants/"


def parse_objects(body: Any, origin: str) -> list[JsonObject] | Failure:
    """Return the objects of a file: `{"Objects": [...]}`, the same under `Upsert`, or a single object."""
    if isinstance(body, dict) and isinstance(body.get("Upsert"), dict):
        if body.get("Withdraw"):
            return Failure(
                FailureReason.INVALID, f"{origin}: Withdraw: a tenant is removed by `tenant remove`"
            )
        body = body["Upsert"]
    objects = [body] if isinstance(body, dict) and "ObjectType" in body else None
    if objects is None and isinstance(body, dict):
        objects = body.get("Objects")
    if not isinstance(objects, list) or not all(isinstance(item, dict) for item in objects):
        return Failure(FailureReason.INVALID, f"{origin}: holds no Objects")
    if not any(item.get("ObjectType") == "Tenants" for item in objects):
        return Failure(FailureReason.INVALID, f"{origin}: holds no Tenants")
    return objects


def tenant_names(objects: Iterable[JsonObject]) -> list[str]:
    """Return the names of the tenants among validated objects."""
    return [item["Metadata"]["Name"] for item in objects if item["ObjectType"] == "Tenants"]


def build_patch(
    entries: Mapping[str, Any], objects: list[JsonObject], removed_tenants: Iterable[str] = ()
) -> tuple[str, JsonObject]:
    """Return If-Match and body of a PATCH that upserts `objects` and withdraws `removed_tenants`."""
    version = operator_config.current_version(entries)
    body: JsonObject = {"ConfigVersion": f"{int(version, 16) + 1:08x}"}
    if objects:
        body["Upsert"] = {"Objects": objects}
    if removed_tenants:
        body["Withdraw"] = {"Tenants": list(removed_tenants)}
    return version, body


def without_api_keys(entries: Mapping[str, Any], name: str) -> JsonObject:
    """Return a stored tenant as an object without API keys; all other fields are kept."""
    key = TENANT_KEY_PREFIX + name
    bare_object = {"ObjectType": "Tenants", "Metadata": {"Name": name}}
    specification = {**entries[key], "ApiKeys": []}
    return {**entries.get(f"{OTHER_FIELDS}/{key}", bare_object), "Specification": specification}


def tenant_warnings(
    entries_after: Mapping[str, Any], objects: list[JsonObject], status: ClusterStatus
) -> list[str]:
    """Return warnings about valid but probably unintended values of the tenants among `objects`."""
    table = RoutingTable.from_entries(entries_after)
    routes = _relevant_routes(table, objects)
    warnings = []
    for name in tenant_names(objects):
        tenant = table.tenants[name]
        warnings += _field_warnings(tenant, status)
        warnings += _home_region_conflicts(tenant, routes)
        max_rate, slots = _sustainable_rate(tenant, routes, status)
        if tenant.rate_limit > max_rate:
            warnings.append(
                f"Tenants {name}: RatePerS: {tenant.rate_limit:g} is more than the {max_rate:.0f} a second "
                f"that the {slots} slots of its routes' workers sustain, if each request takes its latency "
                "target"
            )
    return warnings


def describe_tenant(tenant: Tenant) -> str:
    """Return a tenant's limits on one line, with the number of API keys, as the keys are secret."""
    limit = "no rate limit"
    if tenant.rate_limit > 0:
        limit = f"{tenant.rate_limit:g} a second, burst {tenant.burst_size:g}"
    home_regions = ", ".join(sorted(tenant.home_regions)) or "any"
    priority = "that of the route" if tenant.priority is None else str(tenant.priority)
    return f"{len(tenant.api_keys)} keys, {limit}, home regions {home_regions}, priority {priority}"


def _relevant_routes(table: RoutingTable, objects: list[JsonObject]) -> list[Route]:
    """Return the routes that require an API key: those among `objects`, or all if there are none."""
    names = [item["Metadata"].get("Name") for item in objects if item["ObjectType"] == "Routes"]
    authenticated_routes = [route for route in table.routes.values() if not route.anonymous]
    return [route for route in authenticated_routes if route.name in names] or authenticated_routes


def _field_warnings(tenant: Tenant, status: ClusterStatus) -> list[str]:
    warnings = []
    if not tenant.api_keys:
        warnings.append(f"Tenants {tenant.name}: has no key: all of its requests get 401")
    if tenant.rate_limit <= 0:
        warnings.append(f"Tenants {tenant.name}: RatePerS: 0 or none is no limit at all")
    regions = {proxy.region for proxy in status.proxies}
    for region in sorted(tenant.home_regions - regions) if regions else ():
        warnings.append(f"Tenants {tenant.name}: HomeRegions: no proxy is in {region}")
    return warnings


def _home_region_conflicts(tenant: Tenant, routes: Iterable[Route]) -> list[str]:
    return [
        f"Tenants {tenant.name}: HomeRegions: has none in common with Routes {route.name}: requests get 503"
        for route in routes
        if tenant.home_regions and route.home_regions and not tenant.home_regions & route.home_regions
    ]


def _sustainable_rate(tenant: Tenant, routes: Iterable[Route], status: ClusterStatus) -> tuple[float, int]:
    """Return the requests/s that the routes' services sustain at their latency targets, and their slots."""
    region_of_zone = {proxy.zone: proxy.region for proxy in status.proxies}
    latency_targets: dict[str, float] = {}  # by service
    for route in routes:
        for service, _ in route.traffic_split:
            latency_targets[service] = max(route.latency_target, latency_targets.get(service, 0.0))
    max_rate = 0.0
    slots = 0
    for (service, zone), count in status.slots.items():
        is_home = not tenant.home_regions or region_of_zone.get(zone) in tenant.home_regions
        if service in latency_targets and is_home:
            max_rate += count / latency_targets[service]
            slots += count
    return max_rate, slots
