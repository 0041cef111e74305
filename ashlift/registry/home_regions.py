"""The regions in which the operator's configuration allows clients of a host to use proxies. Does no I/O.

Home regions are a strict limit: proxies outside them are not used even if too few are ready inside.
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
    """The regions whose proxies the clients of a host may use; their own region is always allowed.

    `allowed_regions`: None means all regions. `only_if_client_region_empty`: other regions are allowed only
    while no proxy in the client's region is ready.
    """

    allowed_regions: frozenset[str] | None
    only_if_client_region_empty: bool

    def allows(self, region: str, client_region: str) -> bool:
        """Whether a client in `client_region` may use a proxy in `region`."""
        return region == client_region or self.allowed_regions is None or region in self.allowed_regions


# For hosts missing from the configuration held here, whose routes may have any home regions.
CLIENT_REGION_ONLY: Final = RegionPolicy(frozenset(), only_if_client_region_empty=True)


@attrs.frozen
class _HostRoutes:
    """Settings of all routes of one host. `home_regions`: those of each route that has any."""

    home_regions: tuple[frozenset[str], ...]
    needs_api_key: bool


class HomeRegions:
    """The policy of each host, recomputed when the configuration changes.

    `entries`: returns the current configuration entries; `version`: increases with each change of them.
    """

    def __init__(self, entries: Callable[[], Mapping[str, Any]], version: Callable[[], int]) -> None:
        self._entries = entries
        self._version = version
        self._read_version = 0  # no configuration has been read
        self._policies: dict[str, RegionPolicy] = {}  # by host
        self._shared_home_regions: dict[str, frozenset[str]] = {}  # by host, of routes with home regions

    def shared_home_regions(self, host: str) -> frozenset[str] | None:
        """The intersection of the home regions of a host's routes; None if no route has home regions.

        Used to check lookup results, so it is computed from the entries independently of `policy`.
        """
        self._read_if_changed()
        return self._shared_home_regions.get(normalize_host(host))

    def policy(self, host: str) -> RegionPolicy:
        """The policy of the host named by a `Host` header."""
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
    """A lookup names only the host, so its result must be allowed by all routes of the host.

    The tenant is not known either. If tenants have home regions, the client may belong to one of them, so it
    stays in its region while a proxy there is ready.
    """
    stays = tenants_have_home_regions and routes.needs_api_key
    if not routes.home_regions:
        return RegionPolicy(None, only_if_client_region_empty=stays)
    shared = frozenset.intersection(*routes.home_regions)
    return RegionPolicy(shared, only_if_client_region_empty=stays)
