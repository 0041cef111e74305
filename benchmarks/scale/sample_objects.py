"""Sample objects of a cluster of a size: its configuration, a change of it, and its workers."""

import random
from typing import Any, Final

from benchmarks.scale.sizes import ZONES, ClusterSize, zone_name
from benchmarks.scale.tenant_distribution import tenant_name

API_KEY_LETTERS: Final = "abcdefghijklmnopqrstuvwxyz0123456789"
API_KEY_LENGTH: Final = 20
API_KEYS_PER_TENANT: Final = 2
HOSTS: Final = 97
ROUTE_TIMEOUT_MS: Final = 2000
WORKER_CAPACITY: Final = 6


def route_name(number: int) -> str:
    """The name of the route with this number."""
    return f"r{number:05d}"


def service_name(number: int) -> str:
    """The name of the service with this number."""
    return f"s{number:04d}"


def worker_address(number: int) -> str:
    """The address of a worker, at which nothing listens."""
    return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080"


def worker_id(number: int, incarnation: int = 0) -> str:
    """The id of a worker."""
    return f"w{number:05d}-{incarnation:06x}"


def build_configuration(size: ClusterSize, version: int = 1) -> dict[str, Any]:
    """The body of `PUT /config` for a cluster of this size."""
    objects = [
        _config_object("Routes", route_name(number), _route(number, size.services))
        for number in range(size.routes)
    ]
    objects += [
        _config_object("Services", service_name(number), _service()) for number in range(size.services)
    ]
    objects += [
        _config_object("Tenants", tenant_name(rank), _tenant(rank)) for rank in range(1, size.tenants + 1)
    ]
    return {"ConfigVersion": f"{version:08x}", "Objects": objects}


def build_route_change(size: ClusterSize, version: int) -> dict[str, Any]:
    """The body of `PATCH /config` that changes the timeout of one route."""
    number = version % size.routes
    specification = {**_route(number, size.services), "Timeout": f"{ROUTE_TIMEOUT_MS + version}ms"}
    changed_route = _config_object("Routes", route_name(number), specification)
    return {"ConfigVersion": f"{version:08x}", "Upsert": {"Objects": [changed_route]}}


def worker_record(number: int, size: ClusterSize) -> dict[str, Any]:
    """A worker's record in the version vectors of registries."""
    return {
        "service": service_name(number % size.services),
        "address": worker_address(number),
        "zone": zone_name(number % ZONES),
        "capacity": WORKER_CAPACITY,
        "state": "ready",
        "seq": 1,
        "warm": 0.0,
        "version": "00000001",
    }


def heartbeat_body(
    address: str, service: str, zone: str, sequence: int = 1, warmup_left_ms: int = 0
) -> dict[str, Any]:
    """The body of a worker's heartbeat (`PUT /instances/ID`)."""
    return {
        "Address": address,
        "NodeInfo": {
            "Service": service,
            "ConfigVersion": "00000001",
            "Zone": zone,
            "Capacity": WORKER_CAPACITY,
        },
        "Status": {"State": "ready", "CallSeq": sequence, "WarmupLeft": f"{warmup_left_ms}ms"},
    }


def _config_object(object_type: str, name: str, specification: dict[str, Any]) -> dict[str, Any]:
    return {"ObjectType": object_type, "Metadata": {"Name": name}, "Specification": specification}


def _route(number: int, services: int) -> dict[str, Any]:
    return {
        "Host": f"h{number % HOSTS:02d}.example",
        "PathPrefix": f"/p{number:05d}/",
        "RouteType": "idempotent" if number % 2 else "non_idempotent",
        "Timeout": f"{ROUTE_TIMEOUT_MS}ms",
        "TargetLatency": "500ms",
        "Priority": number % 3,
        "Service": service_name(number % services),
        "MaxAttempts": 2,
        "Anonymous": False,
        "HomeRegions": [],
    }


def _tenant(rank: int) -> dict[str, Any]:
    rng = random.Random(rank)  # random API keys compress as badly as real ones
    api_keys = ["".join(rng.choices(API_KEY_LETTERS, k=API_KEY_LENGTH)) for _ in range(API_KEYS_PER_TENANT)]
    return {"ApiKeys": api_keys, "Priority": rank % 3, "RatePerS": 70, "BurstSize": 70, "HomeRegions": []}


def _service() -> dict[str, Any]:
    return {
        "HealthCheck": "/health",
        "MaxConnections": 560,
        "Protocol": "h1",
        "Tls": False,
        "Warmup": "3s",
        "WarmupRateS": 5.3,
    }
