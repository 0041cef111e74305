"""Sizes of a cluster: the size designed for, smaller ones in proportion, limits of a proxy. Pure."""

from typing import Any, Final

from attrs import frozen


@frozen
class ClusterSize:
    """How many objects of each kind a cluster has.

    `request_rate`: requests of all clients together, a second.
    """

    proxies: int
    workers: int
    services: int
    routes: int
    tenants: int
    request_rate: float

    def scaled_to(self, proxies: int) -> "ClusterSize":
        """The size with so many proxies and everything else in proportion, one of each kind at least."""
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
        """The size that `to_json` wrote."""
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

# What control may take of the machine of one proxy.
MAX_PROXY_CPU_CORES: Final = 0.015
MAX_PROXY_MEMORY_MB: Final = 256
MAX_PROXY_BYTES_PER_SECOND: Final = 21_000


def zone_name(number: int) -> str:
    """The name of a zone."""
    return f"z{number:02d}"


def region_name(number: int) -> str:
    """The name of a region."""
    return f"r{number:02d}"


def regions_by_zone(regions: int = REGIONS) -> dict[str, str]:
    """The region of each zone: zones are dealt to the regions in turn."""
    return {zone_name(number): region_name(number % regions) for number in range(ZONES)}
