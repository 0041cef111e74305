"""Cluster sizes: the design size, proportionally smaller ones, and resource limits of a proxy."""

from typing import Any, Final

from attrs import frozen


@frozen
class ClusterSize:
    """The number of objects of each kind in a cluster.

    `request_rate`: requests per second of all clients.
    """

    proxies: int
    workers: int
    services: int
    routes: int
    tenants: int
    request_rate: float

    def scaled_to(self, proxies: int) -> "ClusterSize":
        """The size with `proxies` proxies and all other counts in proportion, at least one of each kind."""
        ratio = proxies / self.proxies

        def scaled(count: int) -> int:
            return max(1, round(count * ratio))

        return ClusterSize(
            proxies=proxies,
            workers=scaled(self.workers),
            services=scaled(self.services),
            routes=scaled(self.routes),
            tenants=scaled(self.tenants),
            request_rate=self.request_rate * ratio,
        )

    def to_json(self) -> dict[str, Any]:
        """The size under the keys of docs/capacity/scale.json."""
        return {
            "gatekeepers": self.proxies,
            "workers": self.workers,
            "services": self.services,
            "routes": self.routes,
            "tenants": self.tenants,
            "rate": self.request_rate,
        }

    @classmethod
    def from_json(cls, keys: dict[str, Any]) -> "ClusterSize":
        """Parse the output of `to_json`."""
        return cls(
            proxies=keys["gatekeepers"],
            workers=keys["workers"],
            services=keys["services"],
            routes=keys["routes"],
            tenants=keys["tenants"],
            request_rate=keys["rate"],
        )


TARGET_SIZE: Final = ClusterSize(
    proxies=1700, workers=19_000, services=900, routes=5_900, tenants=120_000, request_rate=180_000.0
)
MEASURED_PROXY_COUNTS: Final = (30, 100, 300, 1000, 1700)
REGIONS: Final = 11
ZONES: Final = 32
CORE_MACHINES: Final = 6

# Resource limits of the control plane on the machine of one proxy.
MAX_PROXY_CPU_CORES: Final = 0.015
MAX_PROXY_MEMORY_MB: Final = 256
MAX_PROXY_BYTES_PER_SECOND: Final = 21_000


def zone_name(number: int) -> str:
    """The name of the zone with this number."""
    return f"z{number:02d}"


def region_name(number: int) -> str:
    """The name of the region with this number."""
    return f"r{number:02d}"


def regions_by_zone(regions: int = REGIONS) -> dict[str, str]:
    """The region of each zone; zones are assigned to regions round robin."""
    return {zone_name(number): region_name(number % regions) for number in range(ZONES)}
