"""Validates the operator's configuration: each object of a request, and the references between objects.

Errors are collected rather than raised, so that an operator sees all of them, each with its object and key.
"""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from ashlift.config.object_schema import (
    LIMITS,
    ROUTES,
    SERVICES,
    SPECIFICATIONS,
    TENANTS,
    RouteSpecification,
    ServiceSpecification,
    TenantSpecification,
    object_key,
)
from ashlift.config.routing_table import normalize_host
from ashlift.config.stored_objects import ConfigObject, make_object
from ashlift.config.structuring import FieldError, structure


class ConfigError(NamedTuple):
    """One error in a configuration. `location`: the object, or the part of the request."""

    location: str
    error: FieldError

    def __str__(self) -> str:
        return f"{self.location}: {self.error}"


def config_error(location: str, key: str, message: str) -> ConfigError:
    """Return the error `LOCATION: KEY: MESSAGE`; an empty key is omitted."""
    return ConfigError(location, FieldError(key, message))


def read_objects(values: Any, errors: list[ConfigError]) -> list[ConfigObject]:
    """Return the objects in a request's list; the errors of each object are added to `errors`."""
    if not isinstance(values, list):
        errors.append(config_error("Objects", "", "is not a list"))
        return []
    objects: dict[str, ConfigObject] = {}
    for number, value in enumerate(values, 1):
        config_object = _read_object(value)
        if isinstance(config_object, FieldError):
            errors.append(ConfigError(f"object {number}", config_object))
            continue
        if config_object.key in objects:
            errors.append(config_error(config_object.label, "", "is there twice"))
        objects[config_object.key] = config_object
        errors += [ConfigError(config_object.label, error) for error in _specification_errors(config_object)]
    return list(objects.values())


def read_withdrawn_keys(withdraw: Any, errors: list[ConfigError]) -> list[str]:
    """Return the keys of the objects that a patch withdraws, whether or not they exist."""
    if withdraw is None:
        return []
    if not isinstance(withdraw, dict):
        errors.append(config_error("Withdraw", "", "is not an object"))
        return []
    keys = []
    for object_type in SPECIFICATIONS:
        names = withdraw.get(object_type) or []
        if isinstance(names, list) and all(isinstance(name, str) for name in names):
            keys += [object_key(object_type, name) for name in names]
        else:
            errors.append(config_error("Withdraw", object_type, "is not a list of names"))
    return keys


def _read_object(value: Any) -> ConfigObject | FieldError:
    if not isinstance(value, dict):
        return FieldError("", "is not an object")
    object_type = value.get("ObjectType")
    if not isinstance(object_type, str) or object_type not in SPECIFICATIONS:
        return FieldError("ObjectType", f"is none that is known: {str(object_type)[:40]!r}")
    metadata = value.get("Metadata")
    if metadata is not None and not isinstance(metadata, dict):
        return FieldError("Metadata", "is not an object")
    name = (metadata or {}).get("Name")
    if object_type != LIMITS and (not isinstance(name, str) or not name):
        return FieldError("Metadata", "Name: is missing")
    if not isinstance(value.get("Specification"), dict):
        return FieldError(f"{object_type} {name}", "Specification: is not an object")
    return make_object(object_type, str(name), value)


def _specification_errors(config_object: ConfigObject) -> list[FieldError]:
    """Return the errors of one object, regardless of other objects."""
    object_type = config_object.key.partition("/")[0]
    specification = structure(SPECIFICATIONS[object_type], config_object.specification)
    if isinstance(specification, list):
        return specification
    match specification:
        case RouteSpecification():
            return list(_route_errors(specification, config_object.specification))
        case ServiceSpecification() if not specification.health_check.startswith("/"):
            return [FieldError("HealthCheck", "does not begin with a slash")]
        case TenantSpecification() if not all(specification.api_keys):
            return [FieldError("ApiKeys", "has an empty key")]
    return []


def _route_errors(route: RouteSpecification, given: dict[str, Any]) -> Iterator[FieldError]:
    if not route.host:
        yield FieldError("Host", "is empty")
    if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
        yield FieldError("PathPrefix", "does not begin and end with a slash")
    if route.service is None and given.get("TrafficSplit") is None:
        yield FieldError("Service", "is missing, and there is no TrafficSplit")
    elif not sum(weight for _, weight in route.weighted_services) > 0:
        yield FieldError("TrafficSplit", "its weights sum to 0")


def cross_object_errors(entries: Mapping[str, Any]) -> Iterator[ConfigError]:
    """Yield conflicts and missing references between objects. Fields of the wrong type are skipped."""
    route_by_address: dict[tuple[str, str], str] = {}
    tenant_by_key: dict[str, str] = {}
    for key, value in entries.items():
        object_type, _, name = key.partition("/")
        if object_type == ROUTES:
            yield from _route_conflicts(name, value, route_by_address)
            for service in _service_names(value):
                if object_key(SERVICES, service) not in entries:
                    yield config_error(f"Routes {name}", "Service", f"no such service: {service[:40]!r}")
        elif object_type == TENANTS:
            yield from _tenant_conflicts(name, value, tenant_by_key)


def _route_conflicts(
    name: str, route: Mapping[str, Any], route_by_address: dict[tuple[str, str], str]
) -> Iterator[ConfigError]:
    host = route.get("Host")
    path_prefix = route.get("PathPrefix")
    if isinstance(host, str) and isinstance(path_prefix, str):
        first = route_by_address.setdefault((normalize_host(host), path_prefix), name)
        if first != name:
            yield config_error(f"Routes {name}", "PathPrefix", f"Routes {first} has this host and prefix too")


def _tenant_conflicts(
    name: str, tenant: Mapping[str, Any], tenant_by_key: dict[str, str]
) -> Iterator[ConfigError]:
    api_keys = tenant.get("ApiKeys")
    for api_key in api_keys if isinstance(api_keys, list) else []:
        if isinstance(api_key, str) and tenant_by_key.setdefault(api_key, name) != name:
            first = tenant_by_key[api_key]
            yield config_error(f"Tenants {name}", "ApiKeys", f"Tenants {first} has one of them too")


def _service_names(route: Mapping[str, Any]) -> set[str]:
    """Return the names of all services that a route refers to."""
    split = route.get("TrafficSplit")
    parts = split if isinstance(split, list) else []
    names = [route.get("Service"), *(part.get("Service") for part in parts if isinstance(part, dict))]
    return {name for name in names if isinstance(name, str)}
