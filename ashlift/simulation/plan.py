"""What a world is built of: the plan of a scenario, and what all worlds have in common."""

from typing import Final

from attrs import define, field, frozen

ZONES: Final = {"z1": "r1", "z2": "r2", "z3": "r3", "z4": "r1", "z5": "r2", "z6": "r3"}  # and their regions


@frozen
class PlannedRoute:
    """A route of the first configuration."""

    service: str
    idempotent: bool


ROUTES: Final = {
    "look": PlannedRoute("fleet", idempotent=True),
    "hold": PlannedRoute("desk", idempotent=False),
    "bill": PlannedRoute("bill", idempotent=False),
}


@define
class Plan:
    """What is built. The fields' names are the words of scenario files; times are in seconds.

    `core`, `edge`: machines; `rate`: requests a second of all clients; `workers`: of each service; `capacity`
    and `latency`: of a worker; `quota`: a tenant's rate limit; `late` 1: bytes held up by a blocked link
    arrive whenever it ends; `homes`: home regions of the route `bill`.
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
