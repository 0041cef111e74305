"""The plan of a world, and the zones and routes that all worlds have in common."""

from typing import Final

from attrs import define, field, frozen

ZONES: Final = {"z1": "r1", "z2": "r2", "z3": "r3", "z4": "r1", "z5": "r2", "z6": "r3"}  # zone: region


@frozen
class PlannedRoute:
    """A route of the first configuration: its service, and whether its requests are idempotent."""

    service: str
    idempotent: bool


ROUTES: Final = {
    "look": PlannedRoute("fleet", idempotent=True),
    "hold": PlannedRoute("desk", idempotent=False),
    "bill": PlannedRoute("bill", idempotent=False),
}


@define
class Plan:
    """The plan of a world. Field names are words of scenario files; times are in seconds.

    `core`, `edge`: number of machines; `rate`: requests a second of all clients; `workers`: per service;
    `capacity` and `latency`: of a worker; `quota`: a tenant's rate limit; `loss`: share of lost messages;
    `late` 1: messages on a blocked link arrive even after their sender has closed the connection;
    `homes`: home regions of the route `bill`.
    """

    core: int = 5
    edge: int = 11
    seed: int = 1
    rate: float = 60.0
    workers: int = 6
    capacity: int = 4
    latency: float = 0.15
    tenants: int = 4
    quota: float = 200.0
    warmup: float = 3.0
    warmup_rate: float = 5.0
    loss: float = 0.0
    late: int = 0
    until: float = 20.0
    homes: list[str] = field(factory=list)
