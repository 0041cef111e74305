"""What a configuration says, ready for use: routes by host and prefix, tenants by key, services, limits.

The shapes of the operator's objects stand here: `ashlift.config.operator_config` checks with them.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Any, Final, TypeVar

import attrs

from ashlift.config.structuring import Amount, Count, Flaw, Seconds, Texts, Weights, structure

LAST_RANK: Final = 9  # of a route that tells no priority (0 is highest)
T = TypeVar("T")


@attrs.frozen(kw_only=True)
class RouteShape:
    host: str
    path_prefix: str
    route_type: str = ""
    timeout: Seconds | None = None
    target_latency: Seconds | None = None
    priority: Count = LAST_RANK
    service: str | None = None
    traffic_split: Weights = ()
    max_attempts: Count = 1
    anonymous: bool = False
    home_regions: Texts = ()


@attrs.frozen(kw_only=True)
class ServiceShape:
    health_check: str = "/"
    max_connections: Count = 0
    warmup: Seconds = 0.0
    warmup_rate_s: Amount = math.inf


@attrs.frozen(kw_only=True)
class TenantShape:
    api_keys: Texts = ()
    priority: Count | None = None
    rate_per_s: Amount = 0.0
    burst_size: Amount = 0.0
    home_regions: Texts = ()


@attrs.frozen(kw_only=True)
class Limits:
    """What a client may send, and how long it may take or stay idle: bytes, s."""

    max_header_bytes: Count = 16384
    max_body_bytes: Count = 64 << 20
    header_timeout: Seconds = 3.0
    idle_timeout: Seconds = 15.0


SHAPES: Final[dict[str, type[Any]]] = {
    "Routes": RouteShape,
    "Services": ServiceShape,
    "Tenants": TenantShape,
    "Limits": Limits,
}


@attrs.frozen
class Route:
    """`split`: services with weights above 0; `aim`, `timeout`: s; `homes`: regions, empty = any will do."""

    name: str
    host: str
    prefix: str
    repeatable: bool
    timeout: float | None
    aim: float
    priority: int
    split: Weights
    attempts: int
    anonymous: bool
    homes: frozenset[str]


@attrs.frozen
class Service:
    """`max_connections`: of one worker, 0 = not told; `warmup`: s; `warmup_rate`: a second, or inf."""

    name: str
    health_check: str
    max_connections: int
    warmup: float
    warmup_rate: float


@attrs.frozen
class Tenant:
    """`rate`: requests a second, 0 = no limit; `burst`: on top; `priority`: None = that of the route."""

    name: str
    keys: Texts
    rate: float
    burst: float
    priority: int | None
    homes: frozenset[str]


def host_of(header: str) -> str:
    """A `Host` header in the form routes are kept by: small letters, without a port."""
    host, colon, port = header.strip().lower().rpartition(":")
    return host if colon and (not port or port.isdigit()) else header.strip().lower()


def split_of(shape: RouteShape) -> Weights:
    return shape.traffic_split or (((shape.service, 1.0),) if shape.service else ())


def _route(name: str, value: Any) -> Route:
    shape = _sound(RouteShape, name, value)
    split = tuple(pair for pair in split_of(shape) if pair[1] > 0)
    aim = shape.target_latency or shape.timeout or 1.0
    return Route(
        name,
        host_of(shape.host),
        shape.path_prefix,
        shape.route_type == "idempotent",
        shape.timeout or None,
        aim,
        shape.priority,
        split,
        max(1, shape.max_attempts),
        shape.anonymous,
        frozenset(shape.home_regions),
    )


def _service(name: str, value: Any) -> Service:
    shape = _sound(ServiceShape, name, value)
    return Service(name, shape.health_check, shape.max_connections, shape.warmup, shape.warmup_rate_s)


def _tenant(name: str, value: Any) -> Tenant:
    shape = _sound(TenantShape, name, value)
    homes = frozenset(shape.home_regions)
    return Tenant(name, shape.api_keys, shape.rate_per_s, shape.burst_size, shape.priority, homes)


def _sound(cls: type[T], name: str, value: Any) -> T:
    found: T | list[Flaw] = structure(cls, value)
    if isinstance(found, list):
        raise ValueError(f"{name}: {found}")  # it was checked before it was stored
    return found


@attrs.frozen
class _Host:
    """The routes of one host by prefix, and the length of the longest."""

    by_prefix: dict[str, Route]
    longest: int


@attrs.frozen
class Table:
    """A configuration in force. Never changed: `updated` makes another, which shares what is the same."""

    version: int
    routes: dict[str, Route]
    services: dict[str, Service]
    tenants: dict[str, Tenant]
    limits: Limits
    _hosts: dict[str, _Host]
    _keys: dict[str, Tenant]

    @classmethod
    def build(cls, entries: Mapping[str, Any]) -> "Table":
        """Of a map as it is stored; keys that are no part of a configuration are passed over."""
        return cls(0, {}, {}, {}, Limits(), {}, {}).updated(entries, ())

    @property
    def has_tenants(self) -> bool:
        return bool(self.tenants)

    def updated(self, entries: Mapping[str, Any], gone: Iterable[str]) -> "Table":
        """With `entries` set and the keys in `gone` taken out. ValueError: an entry that cannot be right."""
        version, limits = self.version, self.limits
        routes, services, tenants = dict(self.routes), dict(self.services), dict(self.tenants)
        hosts: set[str] = set()
        for key in gone:
            kind, _, name = key.partition("/")
            if kind == "Routes" and (old := routes.pop(name, None)):
                hosts.add(old.host)
            elif kind == "Services":
                services.pop(name, None)
            elif kind == "Tenants":
                tenants.pop(name, None)
            elif key == "Limits":
                limits = Limits()
            elif key == "Version":
                version = 0
        for key, value in entries.items():
            kind, _, name = key.partition("/")
            if kind == "Routes":
                route, old = _route(name, value), routes.get(name)
                routes[name] = route
                hosts |= {route.host} if old is None else {route.host, old.host}
            elif kind == "Services":
                services[name] = _service(name, value)
            elif kind == "Tenants":
                tenants[name] = _tenant(name, value)
            elif key == "Limits":
                limits = _sound(Limits, key, value)
            elif key == "Version":
                version = int(value, 16)
        by_host, keys = self._hosts, self._keys
        if hosts:
            by_host = _indexed(by_host, routes, hosts)
        if tenants != self.tenants:
            keys = {key: tenant for tenant in tenants.values() for key in tenant.keys}
        return Table(version, routes, services, tenants, limits, by_host, keys)

    def route(self, host: str, path: str) -> Route | None:
        """The route of that host (a `Host` header) whose prefix begins the path and is longest."""
        found = self._hosts.get(host) or self._hosts.get(host_of(host))
        if found is None:
            return None
        end = path.rfind("/", 0, found.longest)
        while end >= 0:
            route = found.by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def tenant_of(self, key: str) -> Tenant | None:
        return self._keys.get(key)


def _indexed(old: dict[str, _Host], routes: dict[str, Route], hosts: set[str]) -> dict[str, _Host]:
    """`old` with the index of `hosts` made anew."""
    fresh: dict[str, dict[str, Route]] = {host: {} for host in hosts}
    for route in routes.values():
        if route.host in fresh:
            fresh[route.host][route.prefix] = route
    made = {host: found for host, found in old.items() if host not in fresh}
    for host, found in fresh.items():
        if found:
            made[host] = _Host(found, max(map(len, found)))
    return made
