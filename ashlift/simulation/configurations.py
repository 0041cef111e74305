"""Configurations that operators send: the first one, edits of it by words, and patches between two."""

from collections.abc import Mapping
from typing import Any

from ashlift.config import operator_config
from ashlift.config.routing_table import RoutingTable
from ashlift.simulation.history import HOST, ConfigurationChange
from ashlift.simulation.plan import ROUTES, Plan

Objects = dict[tuple[str, str], dict[str, Any]]  # by type and name


def first_configuration(plan: Plan) -> dict[str, Any]:
    """Return version 1, with the routes and services of `ROUTES` and the plan's tenants."""
    objects = [_object("Routes", name, _route_specification(name, plan)) for name in ROUTES]
    for route in ROUTES.values():
        specification = {
            "HealthCheck": "/health",
            "MaxConnections": 100,
            "Warmup": f"{plan.warmup}s",
            "WarmupRateS": plan.warmup_rate,
        }
        objects.append(_object("Services", route.service, specification))
    for number in range(1, plan.tenants + 1):
        objects.append(_object("Tenants", f"t{number}", _tenant_specification(f"t{number}", plan.quota)))
    return {"ConfigVersion": "00000001", "Objects": objects}


def _object(object_type: str, name: str, specification: dict[str, Any]) -> dict[str, Any]:
    return {"ObjectType": object_type, "Metadata": {"Name": name}, "Specification": specification}


def _route_specification(name: str, plan: Plan) -> dict[str, Any]:
    route = ROUTES[name]
    return {
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "RouteType": "idempotent" if route.idempotent else "non_idempotent",
        "Timeout": "3000ms",
        "TargetLatency": "800ms",
        "Priority": 1,
        "Service": route.service,
        "MaxAttempts": 3,
        "Anonymous": False,
        "HomeRegions": plan.homes if name == "bill" else [],
    }


def _tenant_specification(name: str, rate: float) -> dict[str, Any]:
    return {"ApiKeys": [f"{name}-a", f"{name}-b"], "RatePerS": rate, "BurstSize": rate}


def new_route_specification(name: str, service: str) -> dict[str, Any]:
    """Return the specification of a route that operators add."""
    return {
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "RouteType": "idempotent",
        "Timeout": "3000ms",
        "Service": service,
        "MaxAttempts": 2,
        "Anonymous": True,
    }


def edit_configuration(body: Mapping[str, Any], version: int, words: list[str]) -> dict[str, Any]:
    """Return a configuration edited by words.

    `look=desk` changes the service of a route; `r+NAME=SERVICE` and `r-NAME` add and remove a route,
    `k+TENANT=KEY` and `k-KEY` an API key, `t+TENANT=RATE` (with the keys TENANT-a, TENANT-b) and `t-TENANT` a
    tenant; `q:TENANT=RATE` sets the rate and burst of a tenant. Raises ValueError for any other word.
    """
    objects = _objects_by_key(body)
    for word in words:
        _apply_word(objects, word)
    return {"ConfigVersion": f"{version:08x}", "Objects": list(objects.values())}


def _objects_by_key(body: Mapping[str, Any]) -> Objects:
    return {(item["ObjectType"], item["Metadata"].get("Name", "")): dict(item) for item in body["Objects"]}


def _apply_word(objects: Objects, word: str) -> None:
    left, _, value = word.partition("=")
    action = left[:2]
    name = left[2:]
    match action:
        case "r+":
            objects["Routes", name] = _object("Routes", name, new_route_specification(name, value))
        case "t+":
            objects["Tenants", name] = _object("Tenants", name, _tenant_specification(name, float(value)))
        case "r-":
            del objects["Routes", name]
        case "t-":
            del objects["Tenants", name]
        case "k-":
            _remove_key(objects, name)
        case "k+":
            _add_key(objects, name, value)
        case "q:":
            _set_rate(objects, name, float(value))
        case _ if value and ("Routes", left) in objects:
            _update(objects, ("Routes", left), {"Service": value})
        case _:
            raise ValueError(word)


def _update(objects: Objects, key: tuple[str, str], changes: dict[str, Any]) -> None:
    item = objects[key]
    objects[key] = {**item, "Specification": {**item["Specification"], **changes}}


def _set_rate(objects: Objects, tenant: str, rate: float) -> None:
    if ("Tenants", tenant) in objects:
        _update(objects, ("Tenants", tenant), {"RatePerS": rate, "BurstSize": rate})


def _add_key(objects: Objects, tenant: str, added: str) -> None:
    if ("Tenants", tenant) in objects:
        keys = objects["Tenants", tenant]["Specification"].get("ApiKeys", [])
        _update(objects, ("Tenants", tenant), {"ApiKeys": [*keys, added]})


def _remove_key(objects: Objects, removed: str) -> None:
    for key, item in list(objects.items()):
        keys = item["Specification"].get("ApiKeys", [])
        if removed in keys:
            _update(objects, key, {"ApiKeys": [api_key for api_key in keys if api_key != removed]})


def patch_between(old: Mapping[str, Any], new: Mapping[str, Any]) -> dict[str, Any]:
    """Return the PATCH body that changes `old` into `new`."""
    old_objects = {(item["ObjectType"], item["Metadata"].get("Name", "")): item for item in old["Objects"]}
    new_objects = {(item["ObjectType"], item["Metadata"].get("Name", "")): item for item in new["Objects"]}
    withdraw: dict[str, list[str]] = {}
    for object_type, name in old_objects.keys() - new_objects.keys():
        withdraw.setdefault(object_type, []).append(name)
    upsert = [item for key, item in new_objects.items() if old_objects.get(key) != item]
    return {"ConfigVersion": new["ConfigVersion"], "Upsert": {"Objects": upsert}, "Withdraw": withdraw}


def configuration_change(
    version: int, base: int, operator: str, body: dict[str, Any], sent: float
) -> ConfigurationChange:
    """Return the record of a configuration that an operator sends, with its routing table."""
    entries = operator_config.load_configuration(body)
    if isinstance(entries, list):  # validation errors
        empty_table = RoutingTable.from_entries({})
        return ConfigurationChange(version, base, operator, sent, body, {}, empty_table, valid=False)
    table = RoutingTable.from_entries(entries)
    return ConfigurationChange(version, base, operator, sent, body, entries, table)
