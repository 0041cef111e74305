"""Where the operator's configuration allows clients of a host to be sent. Pure.

A route's home regions are a bound, and the directory's wish for more than one proxy is not: whoever chooses
proxies asks here first which regions are allowed at all.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final

import attrs

from ashlift.config.object_schema import ROUTES, TENANTS
from ashlift.config.routing_table import normalize_host

ROUTE_PREFIX: Final = f"{ROUTES}/"
TENANT_PREFIX: Final = f"{TENANTS}/"


@attrs.frozen
class RegionPolicy:
    """Which regions besides their own the clients of a host may be sent to.

    `allowed_regions`: None stands for all. `only_from_empty_region`: not while any proxy of the client's own
    region is ready. The client's own region is always allowed.
    """

    allowed_regions: frozenset[str] | None
    only_if_client_region_empty: bool

    def allows(self, region: str, client_region: str) -> bool:
        """Whether a client of `own_region` may be sent to a proxy of `region`."""
        return region == client_region or self.allowed_regions is None or region in self.allowed_regions


# Of a host that the configuration does not hold, or while it is not known: its routes may have any homes.
CLIENT_REGION_ONLY: Final = RegionPolicy(frozenset(), only_if_client_region_empty=True)


@attrs.frozen
class _HostRoutes:
    """What the routes of one host say. `home_regions`: of each route that has some."""

    home_regions: tuple[frozenset[str], ...]
    needs_api_key: bool


class HomeRegions:
    """The policy of each host, worked out again after a change of the configuration.

    `entries`: the stored map as it is now; `version`: rises with each change of it.
    """

    def __init__(self, entries: Callable[[], Mapping[str, Any]], version: Callable[[], int]) -> None:
        self._entries = entries
        self._version = version
        self._read_version = 0  # of a configuration that is not there yet
        self._policies: dict[str, RegionPolicy] = {}  # by host
        self._shared_home_regions: dict[str, frozenset[str]] = {}  # by host, of those that have homed routes

    def shared_home_regions(self, host: str) -> frozenset[str] | None:
        """The regions that are home of all routes of a host that have homes; None: it has no such route.

        For the check of what `policy` led to: worked out from the entries, and not from the policies.
        """
        self._read_if_changed()
        return self._shared_home_regions.get(normalize_host(host))

    def policy(self, host: str) -> RegionPolicy:
        """The policy of a host, as a `Host` header names it."""
        self._read_if_changed()
        return self._policies.get(normalize_host(host), CLIENT_REGION_ONLY)

    def _read_if_changed(self) -> None:
        if self._read_version != self._version():
            self._read_version = self._version()
            self._policies = _read_policies(self._entries())
            self._shared_home_regions = _read_shared_home_regions(self._entries())


def _read_shared_home_regions(entries: Mapping[str, Any]) -> dict[str, frozenset[str]]:
    shared: dict[str, frozenset[str]] = {}
    for key, specification in entries.items():
        if key.startswith(ROUTE_PREFIX) and specification.get("HomeRegions"):
            host = normalize_host(specification["Host"])
            home_regions = frozenset(specification["HomeRegions"])
            shared[host] = shared.get(host, home_regions) & home_regions
    return shared


def _read_policies(entries: Mapping[str, Any]) -> dict[str, RegionPolicy]:
    tenants_have_home_regions = any(
        specification.get("HomeRegions")
        for key, specification in entries.items()
        if key.startswith(TENANT_PREFIX)
    )
    by_host: dict[str, list[Mapping[str, Any]]] = {}
    for key, specification in entries.items():
        if key.startswith(ROUTE_PREFIX):
            by_host.setdefault(normalize_host(specification["Host"]), []).append(specification)
    return {
        host: _policy(_host_routes(routes), tenants_have_home_regions) for host, routes in by_host.items()
    }


def _host_routes(specifications: Iterable[Mapping[str, Any]]) -> _HostRoutes:
    specifications = list(specifications)
    home_regions = [frozenset(specification.get("HomeRegions") or ()) for specification in specifications]
    needs_api_key = any(not specification.get("Anonymous") for specification in specifications)
    return _HostRoutes(tuple(regions for regions in home_regions if regions), needs_api_key)


def _policy(routes: _HostRoutes, tenants_have_home_regions: bool) -> RegionPolicy:
    """A look-up names a host and no path: what it answers has to suit all routes of the host.

    It names no tenant either. Where tenants have home regions, a client may belong to one of them, so it is
    kept in its own region while that has a proxy.
    """
    stays = tenants_have_home_regions and routes.needs_api_key
    if not routes.home_regions:
        return RegionPolicy(None, only_if_client_region_empty=stays)
    shared = frozenset.intersection(*routes.home_regions)
    return RegionPolicy(shared, only_if_client_region_empty=stays)
