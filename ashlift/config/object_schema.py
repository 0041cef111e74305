"""The objects of the operator's configuration: their types, and the fields of each type's `Specification`.

The classes are the schema: `ashlift.config.validation` checks with them, `ashlift.config.routing_table` reads
stored objects with them. Each default stands here alone.
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
LIMITS: Final = "Limits"  # one object without a name

LOWEST_PRIORITY: Final = 9  # of a route without one; 0 is the highest


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
        """The services that the route sends to: its split, or the one that it names."""
        return self.traffic_split or (((self.service, 1.0),) if self.service else ())


@attrs.frozen(kw_only=True)
class ServiceSpecification:
    """How the workers of a service are checked and loaded."""

    health_check: str = "/"
    max_connections: NonNegativeInt = 0
    warmup: Seconds = 0.0
    warmup_rate_s: NonNegativeFloat = math.inf


@attrs.frozen(kw_only=True)
class TenantSpecification:
    """A tenant's keys, quota and priority."""

    api_keys: Strings = ()
    priority: NonNegativeInt | None = None
    rate_per_s: NonNegativeFloat = 0.0
    burst_size: NonNegativeFloat = 0.0
    home_regions: Strings = ()


@attrs.frozen(kw_only=True)
class ClientLimits:
    """What a client may send, and how long it may take for it or stay idle."""

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
    """The key of an object in the stored map: `Routes/NAME`, or `Limits`."""
    return LIMITS if object_type == LIMITS else f"{object_type}/{name}"
