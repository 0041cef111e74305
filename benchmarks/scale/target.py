"""The size that is designed for, smaller ones in proportion, and what fills them: configurations, tenants
asked."""

import math
import random
from typing import Any

from attrs import frozen


@frozen
class Size:
    """What there is of each kind. `rate`: requests a second of all."""

    gatekeepers: int
    workers: int
    services: int
    routes: int
    tenants: int
    rate: float

    def part(self, gatekeepers: int) -> "Size":
        """The same with fewer gatekeepers, all else in proportion."""
        share = gatekeepers / self.gatekeepers

        def of(count: int) -> int:
            return max(1, round(count * share))

        return Size(
            gatekeepers,
            of(self.workers),
            of(self.services),
            of(self.routes),
            of(self.tenants),
            self.rate * share,
        )


TARGET = Size(1700, 19_000, 900, 5_900, 120_000, 180_000.0)
REGIONS, ZONES, CORE = 11, 32, 6  # CORE: machines set aside for control
CHANGES_DAY, RESTARTS_DAY, FAILS_DAY = 1900, 7500, 40
IN_FORCE_S = 11.0  # a change everywhere
GATEKEEPER_CORE, GATEKEEPER_MB, GATEKEEPER_BYTES = (
    0.015,
    256,
    21_000,
)  # cores, MB, bytes a second, for control
LETTERS = "abcdefghijklmnopqrstuvwxyz0123456789"
SIZES = (30, 100, 300, 1000, 1700)


def zones(regions: int = REGIONS) -> dict[str, str]:
    """zone -> region."""
    return {f"z{number:02d}": f"r{number % regions:02d}" for number in range(ZONES)}


def tenant(rank: int) -> str:
    return f"t{rank:06d}"


def drawn(tenants: int, chance: random.Random) -> int:
    """A tenant's rank, from 1: the first asks most, others by 1 / rank (no figure of the users: assumed)."""
    return min(tenants, int((tenants + 1) ** chance.random()))


def distinct(tenants: int, requests: float) -> float:
    """How many tenants are among so many requests, in the mean."""
    whole = math.log(tenants + 1)
    found = 0.0
    low = 1
    while low <= tenants:  # ranks in steps that grow, each taken alike
        high = min(tenants + 1, low + max(1, low // 50))
        each = math.log(high / low) / whole / (high - low)
        found += (high - low) * -math.expm1(-requests * each)
        low = high
    return found


def _route(number: int, services: int) -> dict[str, Any]:
    return {
        "Host": f"h{number % 97:02d}.example",
        "PathPrefix": f"/p{number:05d}/",
        "RouteType": "idempotent" if number % 2 else "non_idempotent",
        "Timeout": "2000ms",
        "TargetLatency": "500ms",
        "Priority": number % 3,
        "Service": f"s{number % services:04d}",
        "MaxAttempts": 2,
        "Anonymous": False,
        "HomeRegions": [],
    }


def _tenant(rank: int) -> dict[str, Any]:
    drawn_keys = random.Random(rank)  # of letters by chance, as keys are: they hardly compress
    keys = ["".join(drawn_keys.choices(LETTERS, k=20)) for _ in range(2)]
    return {"ApiKeys": keys, "Priority": rank % 3, "RatePerS": 70, "BurstSize": 70, "HomeRegions": []}


def _service() -> dict[str, Any]:
    return {
        "HealthCheck": "/health",
        "MaxConnections": 560,
        "Protocol": "h1",
        "Tls": False,
        "Warmup": "3s",
        "WarmupRateS": 5.3,
    }


def configuration(size: Size, version: int = 1) -> dict[str, Any]:
    """The body of `PUT /config`, objects as the users' pages show them."""
    objects = [("Routes", f"r{number:05d}", _route(number, size.services)) for number in range(size.routes)]
    objects += [("Services", f"s{number:04d}", _service()) for number in range(size.services)]
    objects += [("Tenants", tenant(rank), _tenant(rank)) for rank in range(1, size.tenants + 1)]
    made = [
        {"ObjectType": kind, "Metadata": {"Name": name}, "Specification": value}
        for kind, name, value in objects
    ]
    return {"ConfigVersion": f"{version:08x}", "Objects": made}


def change(size: Size, version: int) -> dict[str, Any]:
    """The body of `PATCH /config` that moves one route."""
    number = version % size.routes
    value = {**_route(number, size.services), "Timeout": f"{2000 + version}ms"}
    one = {"ObjectType": "Routes", "Metadata": {"Name": f"r{number:05d}"}, "Specification": value}
    return {"ConfigVersion": f"{version:08x}", "Upsert": {"Objects": [one]}}


def worker_record(number: int, size: Size) -> dict[str, Any]:
    """A worker as registries tell it."""
    zone = f"z{number % ZONES:02d}"
    return {
        "service": f"s{number % size.services:04d}",
        "address": worker_address(number),
        "zone": zone,
        "capacity": 6,
        "state": "ready",
        "seq": 1,
        "warm": 0.0,
        "version": "00000001",
    }


def worker_address(number: int) -> str:
    return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080"


def worker_id(number: int, life: int = 0) -> str:
    return f"w{number:05d}-{life:06x}"
