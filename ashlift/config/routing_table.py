"""A configuration indexed for lookups: routes by host and path prefix, tenants by API key."""

from collections.abc import Iterable, Mapping
from typing import Any, Final, NamedTuple, TypeVar

import attrs

from ashlift.config.object_schema import (
    LIMITS,
    ROUTES,
    SERVICES,
    TENANTS,
    ClientLimits,
    RouteSpecification,
    ServiceSpecification,
    TenantSpecification,
)
from ashlift.config.structuring import Strings, WeightedServices, structure
from ashlift.config.versions import VERSION_KEY

DEFAULT_LATENCY_TARGET_SECONDS: Final = 1.0  # for routes with neither a target latency nor a timeout
IDEMPOTENT: Final = "idempotent"  # the RouteType of routes whose requests may be retried
T = TypeVar("T")


class Route(NamedTuple):
    """One route. `traffic_split`: services with weights above 0. `timeout`, `latency_target`: s.

    `priority`: 0 is the highest. `home_regions`: the regions that may serve its requests; empty: all.
    `anonymous`: requests need no API key.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout: float | None
    latency_target: float
    priority: int
    traffic_split: WeightedServices
    max_attempts: int
    anonymous: bool
    home_regions: frozenset[str]

    def allows_region(self, region: str) -> bool:
        """Whether the route's requests may be served in `region`."""
        return not self.home_regions or region in self.home_regions


class Service(NamedTuple):
    """One service. `max_connections`: per worker; 0: unlimited. `warmup`: duration of slow start, s.

    `warmup_rate`: limit of requests per second to a worker in slow start, or infinity.
    """

    name: str
    health_check: str
    max_connections: int
    warmup: float
    warmup_rate: float


class Tenant(NamedTuple):
    """One tenant. `rate_limit`: requests per second; 0: unlimited. `burst_size`: requests.

    `priority`: overrides the route's unless None. `home_regions`: as for a route.
    """

    name: str
    api_keys: Strings
    rate_limit: float
    burst_size: float
    priority: int | None
    home_regions: frozenset[str]


def normalize_host(header: str) -> str:
    """Return a `Host` header as routes are indexed by it: in lower case, without the port."""
    host, colon, port = header.strip().lower().rpartition(":")
    return host if colon and (not port or port.isdigit()) else header.strip().lower()


class _HostRoutes(NamedTuple):
    """The routes of one host by path prefix, and the length of the longest prefix."""

    by_prefix: dict[str, Route]
    max_prefix_length: int


@attrs.frozen
class RoutingTable:
    """One version of the configuration. Immutable; `updated` returns a copy that shares unchanged parts."""

    version: int
    routes: dict[str, Route]
    services: dict[str, Service]
    tenants: dict[str, Tenant]
    limits: ClientLimits
    _hosts: dict[str, _HostRoutes]
    _tenants_by_key: dict[str, Tenant]

    @classmethod
    def from_entries(cls, entries: Mapping[str, Any]) -> "RoutingTable":
        """Build the table of a stored map; keys that do not belong to the configuration are ignored."""
        return cls(0, {}, {}, {}, ClientLimits(), {}, {}).updated(entries, ())

    @property
    def has_tenants(self) -> bool:
        """Whether there are tenants; without any, no request needs an API key."""
        return bool(self.tenants)

    def updated(self, entries: Mapping[str, Any], removed_keys: Iterable[str]) -> "RoutingTable":
        """Return a table with `removed_keys` removed, and then `entries` set.

        Raises ValueError for an invalid entry. Entries are validated before they are stored.
        """
        update = _TableUpdate(self)
        for key in removed_keys:
            update.remove(key)
        for key, value in entries.items():
            update.set(key, value)
        return update.table()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix. `host`: a `Host` header."""
        routes = self._hosts.get(host) or self._hosts.get(normalize_host(host))
        if routes is None:
            return None
        end = path.rfind("/", 0, routes.max_prefix_length)
        while end >= 0:
            route = routes.by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_tenant(self, api_key: str) -> Tenant | None:
        """Return the tenant that has this API key."""
        return self._tenants_by_key.get(api_key)


class _TableUpdate:
    """Collects the changes from one table to the next; only changed hosts are indexed again."""

    def __init__(self, previous: RoutingTable) -> None:
        self._previous = previous
        self._version = previous.version
        self._limits = previous.limits
        self._routes = dict(previous.routes)
        self._services = dict(previous.services)
        self._tenants = dict(previous.tenants)
        self._changed_hosts: set[str] = set()

    def remove(self, key: str) -> None:
        object_type, _, name = key.partition("/")
        if object_type == ROUTES:
            route = self._routes.pop(name, None)
            if route is not None:
                self._changed_hosts.add(route.host)
        elif object_type == SERVICES:
            self._services.pop(name, None)
        elif object_type == TENANTS:
            self._tenants.pop(name, None)
        elif key == LIMITS:
            self._limits = ClientLimits()
        elif key == VERSION_KEY:
            self._version = 0

    def set(self, key: str, value: Any) -> None:
        object_type, _, name = key.partition("/")
        if object_type == ROUTES:
            self._set_route(_make_route(name, value))
        elif object_type == SERVICES:
            self._services[name] = _make_service(name, value)
        elif object_type == TENANTS:
            self._tenants[name] = _make_tenant(name, value)
        elif key == LIMITS:
            self._limits = _structured(ClientLimits, key, value)
        elif key == VERSION_KEY:
            self._version = int(value, 16)

    def _set_route(self, route: Route) -> None:
        previous = self._routes.get(route.name)
        if previous is not None:
            self._changed_hosts.add(previous.host)
        self._changed_hosts.add(route.host)
        self._routes[route.name] = route

    def table(self) -> RoutingTable:
        previous = self._previous
        hosts = previous._hosts
        if self._changed_hosts:
            hosts = _reindexed(hosts, self._routes, self._changed_hosts)
        tenants_by_key = previous._tenants_by_key
        if self._tenants != previous.tenants:
            tenants_by_key = {key: tenant for tenant in self._tenants.values() for key in tenant.api_keys}
        return RoutingTable(
            self._version, self._routes, self._services, self._tenants, self._limits, hosts, tenants_by_key
        )


def _reindexed(
    previous: dict[str, _HostRoutes], routes: dict[str, Route], changed_hosts: set[str]
) -> dict[str, _HostRoutes]:
    """Return `previous` with the entries of `changed_hosts` rebuilt."""
    by_host: dict[str, dict[str, Route]] = {host: {} for host in changed_hosts}
    for route in routes.values():
        if route.host in by_host:
            by_host[route.host][route.path_prefix] = route
    index = {host: host_routes for host, host_routes in previous.items() if host not in by_host}
    for host, by_prefix in by_host.items():
        if by_prefix:
            index[host] = _HostRoutes(by_prefix, max(map(len, by_prefix)))
    return index


def _make_route(name: str, value: Any) -> Route:
    specification = _structured(RouteSpecification, name, value)
    return Route(
        name=name,
        host=normalize_host(specification.host),
        path_prefix=specification.path_prefix,
        idempotent=specification.route_type == IDEMPOTENT,
        timeout=specification.timeout or None,
        latency_target=(
            specification.target_latency or specification.timeout or DEFAULT_LATENCY_TARGET_SECONDS
        ),
        priority=specification.priority,
        traffic_split=tuple(pair for pair in specification.weighted_services if pair[1] > 0),
        max_attempts=max(1, specification.max_attempts),
        anonymous=specification.anonymous,
        home_regions=frozenset(specification.home_regions),
    )


def _make_service(name: str, value: Any) -> Service:
    specification = _structured(ServiceSpecification, name, value)
    return Service(
        name=name,
        health_check=specification.health_check,
        max_connections=specification.max_connections,
        warmup=specification.warmup,
        warmup_rate=specification.warmup_rate_s,
    )


def _make_tenant(name: str, value: Any) -> Tenant:
    specification = _structured(TenantSpecification, name, value)
    return Tenant(
        name=name,
        api_keys=specification.api_keys,
        rate_limit=specification.rate_per_s,
        burst_size=specification.burst_size,
        priority=specification.priority,
        home_regions=frozenset(specification.home_regions),
    )


def _structured(cls: type[T], name: str, value: Any) -> T:
    result = structure(cls, value)
    if isinstance(result, list):
        raise ValueError(f"{name}: {'; '.join(map(str, result))}")
    return result
