"""Tenants as the commands see them: what a file would change, what is doubtful in it, who holds it. Pure."""

import math
from collections.abc import Iterable, Mapping
from typing import Any, Final

from attrs import frozen

from ashlift.config import operator_config
from ashlift.config.routing_table import Route, RoutingTable, Tenant
from ashlift.errors import Failure, FailureReason

Json = dict[str, Any]
TENANTS: Final = "Tenants/"


@frozen
class Held:
    """A gatekeeper in touch, and the operator's word that it holds; `index` None: nobody asked knows."""

    node: str
    zone: str
    region: str
    ready: bool
    index: int | None
    heard: float | None  # s ago


@frozen
class Standing:
    """What the core machines that answered know together: the newest word, gatekeepers, workers' slots."""

    index: int
    version: str
    gatekeepers: list[Held]
    slots: Mapping[tuple[str, str], int]  # by service and zone, of workers that are ready
    silent: list[str]  # core machines that did not answer

    def behind(self, index: int) -> list[Held]:
        """Gatekeepers in touch of which it is not known that they hold this index."""
        return [one for one in self.gatekeepers if one.index is None or one.index < index]

    @property
    def dim(self) -> bool:
        """Whether of no gatekeeper it is known what it holds: asking again will not tell."""
        return all(one.index is None for one in self.gatekeepers)


def standing(answers: Iterable[Mapping[str, Any]], silent: list[str]) -> Standing:
    """Of the answers of `GET /status`. A gatekeeper calls one core machine: who heard last counts."""
    index, version = 0, operator_config.INITIAL_VERSION
    held: dict[str, Held] = {}
    slots: dict[tuple[str, str], int] = {}
    workers: dict[str, Mapping[str, Any]] = {}
    for answer in answers:
        if answer.get("index", 0) >= index and answer.get("version"):
            index, version = answer["index"], answer["version"]
        for row in answer.get("gatekeepers", ()):
            one = Held(
                row["node"],
                row.get("zone", ""),
                row.get("region", ""),
                row.get("ready") is True,
                row.get("index"),
                row.get("heard"),
            )
            other = held.get(one.node)
            if other is None or _heard(one) < _heard(other):
                held[one.node] = one
        workers |= {row["id"]: row for row in answer.get("workers", ()) if row.get("state") == "ready"}
    for row in workers.values():
        place = row["service"], row.get("zone", "")
        slots[place] = slots.get(place, 0) + int(row.get("capacity", 1))
    return Standing(index, version, sorted(held.values(), key=lambda one: one.node), slots, silent)


def _heard(one: Held) -> float:
    return math.inf if one.heard is None else one.heard


def upsert(body: Any, place: str) -> list[Json] | Failure:
    """The objects of a file: `{"Objects": [...]}`, the same under `Upsert`, or one object alone."""
    if isinstance(body, dict) and isinstance(body.get("Upsert"), dict):
        if body.get("Withdraw"):
            return Failure(
                FailureReason.INVALID, f"{place}: Withdraw: a tenant is taken away by `tenant remove`"
            )
        body = body["Upsert"]
    objects = [body] if isinstance(body, dict) and "ObjectType" in body else None
    if objects is None and isinstance(body, dict):
        objects = body.get("Objects")
    if not isinstance(objects, list) or not all(isinstance(one, dict) for one in objects):
        return Failure(FailureReason.INVALID, f"{place}: holds no Objects")
    if not any(one.get("ObjectType") == "Tenants" for one in objects):
        return Failure(FailureReason.INVALID, f"{place}: holds no Tenants")
    return objects


def names(objects: Iterable[Json]) -> list[str]:
    """The tenants among these objects that have been checked."""
    return [one["Metadata"]["Name"] for one in objects if one["ObjectType"] == "Tenants"]


def change(entries: Mapping[str, Any], objects: list[Json], gone: Iterable[str] = ()) -> tuple[str, Json]:
    """If-Match and the body of a PATCH that brings these objects and withdraws these tenants."""
    now = operator_config.current_version(entries)
    body: Json = {"ConfigVersion": f"{int(now, 16) + 1:08x}"}
    if objects:
        body["Upsert"] = {"Objects": objects}
    if gone:
        body["Withdraw"] = {"Tenants": list(gone)}
    return now, body


def keyless(entries: Mapping[str, Any], name: str) -> Json:
    """The tenant without its keys, as an object: its limits stay."""
    bare = {"ObjectType": "Tenants", "Metadata": {"Name": name}}
    specification = {**entries[TENANTS + name], "ApiKeys": []}
    return {**entries.get(f"Rest/{TENANTS}{name}", bare), "Specification": specification}


def doubts(after: Mapping[str, Any], objects: list[Json], now: Standing) -> list[str]:
    """What is allowed and yet seldom meant, for the tenants among `objects`."""
    table = RoutingTable.from_entries(after)
    regions = {one.region for one in now.gatekeepers}
    zones = {one.zone: one.region for one in now.gatekeepers}
    named = [one["Metadata"].get("Name") for one in objects if one["ObjectType"] == "Routes"]
    open_to = [route for route in table.routes.values() if not route.anonymous]
    routes = [route for route in open_to if route.name in named] or open_to
    found = []
    for name in names(objects):
        tenant = table.tenants[name]
        if not tenant.api_keys:
            found.append(f"Tenants {name}: has no key: all of its requests get 401")
        if tenant.rate_limit <= 0:
            found.append(f"Tenants {name}: RatePerS: 0 or none is no limit at all")
        for home in sorted(tenant.home_regions - regions) if regions else ():
            found.append(f"Tenants {name}: HomeRegions: no gatekeeper is in {home}")
        found += _homeless(tenant, routes)
        most, slots = _bears(tenant, routes, now, zones)
        if tenant.rate_limit > most:
            found.append(
                f"Tenants {name}: RatePerS: {tenant.rate_limit:g} is more than the {most:.0f} a second that "
                f"the {slots} slots of its routes' workers bear, if each request takes its aim"
            )
    return found


def _homeless(tenant: Tenant, routes: Iterable[Route]) -> list[str]:
    return [
        f"Tenants {tenant.name}: HomeRegions: has none in common with Routes {route.name}: requests get 503"
        for route in routes
        if tenant.home_regions and route.home_regions and not tenant.home_regions & route.home_regions
    ]


def _bears(
    tenant: Tenant, routes: Iterable[Route], now: Standing, zones: Mapping[str, str]
) -> tuple[float, int]:
    """Requests a second that the services of these routes bear at the aims, in the homes; their slots."""
    aims: dict[str, float] = {}
    for route in routes:
        for service, _ in route.traffic_split:
            aims[service] = max(route.latency_target, aims.get(service, 0.0))
    most, slots = 0.0, 0
    for (service, zone), count in now.slots.items():
        if service in aims and (not tenant.home_regions or zones.get(zone) in tenant.home_regions):
            most += count / aims[service]
            slots += count
    return most, slots


def told(tenant: Tenant) -> str:
    """A tenant's limits on one line; keys are secret, and are counted only."""
    limit = (
        f"{tenant.rate_limit:g} a second and {tenant.burst_size:g} at once"
        if tenant.rate_limit > 0
        else "no limit"
    )
    homes = ", ".join(sorted(tenant.home_regions)) or "any region"
    priority = "that of the route" if tenant.priority is None else str(tenant.priority)
    return f"{len(tenant.api_keys)} keys, {limit}, homes {homes}, priority {priority}"
