"""The object types of the operator's configuration, and the fields of each type's `Specification`.

These classes are the schema by which `ashlift.config.validation` checks objects and
`ashlift.config.routing_table` reads stored ones. All defaults are defined here.
"""

import math
from typing import Any, Final

import attrs

from ashlift.config.structuring import (
    NonNegativeFloat,
    NonNegativeInt,
    Seconds,
    Strings,
    WeightedServices,
)

ROUTES: Final = "Routes"
SERVICES: Final = "Services"
TENANTS: Final = "Tenants"
LIMITS: Final = "Limits"  # a single object, without a name

LOWEST_PRIORITY: Final = 9  # the default; 0 is the highest


@attrs.frozen(kw_only=True)
class RouteSpecification:
    """Which requests a route matches, and how they are forwarded."""

    host: str
    path_prefix: str
    route_type: str = ""
    timeout: Seconds | None = None
    target_latency: Seconds | None = None
    priority: NonNegativeInt = LOWEST_PRIORITY
    service: str | None = None
    traffic_split: WeightedServices = ()
    max_attempts: NonNegativeInt = 1
    anonymous: bool = False
    home_regions: Strings = ()

    @property
    def weighted_services(self) -> WeightedServices:
        """The route's services with their weights: its traffic split, or its only service."""
        return self.traffic_split or (((self.service, 1.0),) if self.service else ())


@attrs.frozen(kw_only=True)
class ServiceSpecification:
    """Health check, connection limit and slow start of a service's workers."""

    health_check: str = "/"
    max_connections: NonNegativeInt = 0
    warmup: Seconds = 0.0
    warmup_rate_s: NonNegativeFloat = math.inf


@attrs.frozen(kw_only=True)
class TenantSpecification:
    """A tenant's API keys, rate limit, priority and home regions."""

    api_keys: Strings = ()
    priority: NonNegativeInt | None = None
    rate_per_s: NonNegativeFloat = 0.0
    burst_size: NonNegativeFloat = 0.0
    home_regions: Strings = ()


@attrs.frozen(kw_only=True)
class ClientLimits:
    """Limits on the size of clients' requests, and timeouts of their connections."""

    max_header_bytes: NonNegativeInt = 16384
    max_body_bytes: NonNegativeInt = 64 << 20
    header_timeout: Seconds = 3.0
    idle_timeout: Seconds = 15.0


SPECIFICATIONS: Final[dict[str, type[Any]]] = {
    ROUTES: RouteSpecification,
    SERVICES: ServiceSpecification,
    TENANTS: TenantSpecification,
    LIMITS: ClientLimits,
}


def object_key(object_type: str, name: str) -> str:
    """Return the key of an object in the stored map: `Routes/NAME`, or `Limits`."""
    return LIMITS if object_type == LIMITS else f"{object_type}/{name}"
