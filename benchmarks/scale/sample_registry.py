"""A registry with the records of a whole cluster of a size, and the pulls that proxies send to it.

It is one of `CORE_MACHINES` registries: each worker and each proxy reports to one of them, and the usage of a
tenant is reported to all. The other registries are represented only by their responses.
"""

import json
from collections.abc import Mapping
from typing import Any, Final

from ashlift.errors import Failure
from ashlift.registry import codec
from ashlift.registry.api.heartbeat_body import parse_heartbeat
from ashlift.registry.identity import RegistryIdentity
from ashlift.registry.messages import PullRequest
from ashlift.registry.registry import Registry
from ashlift.registry.worker_instances import HeartbeatOutcome
from ashlift.rpc.sources import OPERATOR_SOURCE
from benchmarks.scale.sample_objects import heartbeat_body, worker_id, worker_record
from benchmarks.scale.sizes import (
    CORE_MACHINES,
    REGIONS,
    ZONES,
    ClusterSize,
    region_name,
    regions_by_zone,
    zone_name,
)
from benchmarks.scale.tenant_distribution import tenant_name

NOW: Final = 1000.0  # monotonic time of all measurements in seconds
PULL_INTERVAL_SECONDS: Final = 0.25
OWN_IP: Final = "10.9.0.1"
Json = dict[str, Any]


def build_registry(size: ClusterSize, configuration: Mapping[str, Any]) -> Registry:
    """The first registry, with the records of all registries and the operator's configuration."""
    identity = RegistryIdentity("core-0", "00000000", OWN_IP, zone_name(0), region_name(0), 8200, 1.5)
    registry = Registry(identity, [OWN_IP], regions_by_zone(), NOW - 60)
    records_by_registry = [_records_of_registry(size, number) for number in range(CORE_MACHINES)]
    for number, records in enumerate(records_by_registry[1:], 1):
        _receive_peer_records(registry, number, records)
    for number in range(0, size.workers, CORE_MACHINES):
        heartbeat = parse_heartbeat(encode_heartbeat(size, number), NOW)
        assert not isinstance(heartbeat, Failure), heartbeat
        outcome = registry.instances.record_heartbeat(worker_id(number), heartbeat, NOW)
        assert outcome is HeartbeatOutcome.RECORDED
    for number in range(0, size.proxies, CORE_MACHINES):
        receive_pull(registry, pull_body(number, {}, {}))
    registry.local_source.merge(
        registry.local_source.version + 1,
        {key: value for key, value in records_by_registry[0].items() if key.startswith("c/")},
        (),
    )
    registry.operator_config.receive_watch_response(
        {"index": 1, "set": dict(configuration), "gone": [], "full": True, "age": 0.1}, NOW
    )
    return registry


def encode_heartbeat(size: ClusterSize, number: int) -> bytes:
    """The body of the first heartbeat of a worker."""
    record = worker_record(number, size)
    return json.dumps(heartbeat_body(record["address"], record["service"], record["zone"])).encode()


def pull_body(
    number: int, known_versions: Mapping[str, int], counts: Mapping[str, Any], sequence: int = 1
) -> Json:
    """The body of a proxy's `pull` RPC with its known versions and usage counts."""
    zone = number % ZONES
    return {
        "node": f"edge-{number}",
        "incarnation": f"{number:08x}",
        "zone": zone_name(zone),
        "region": region_name(zone % REGIONS),
        "front": proxy_address(number),
        "ready": True,
        "have": dict(known_versions),
        "wait": PULL_INTERVAL_SECONDS,
        "outs": {},
        "faults": {},
        "packs": True,
        "eager": False,
        "adds": {"number": sequence, "counts": dict(counts)},
    }


def proxy_address(number: int) -> str:
    """The address of a proxy, at which nothing listens."""
    return f"10.200.{number >> 8}.{number & 255}:8206"


def decode_pull(body: Json) -> PullRequest:
    """Decode the body of a pull."""
    request = codec.decode_pull_request(body)
    assert not isinstance(request, Failure), request
    return request


def receive_pull(registry: Registry, body: Json) -> None:
    """Begin and end a pull at the registry, without its response."""
    registry.sessions.begin_pull(decode_pull(body), NOW)
    registry.sessions.end_pull(body["node"])


def pull_response(registry: Registry, body: Json) -> Json:
    """The registry's response to a pull in wire format."""
    return codec.encode_pull_response(registry.pull_response(decode_pull(body), NOW, NOW), NOW)


def known_versions(registry: Registry) -> dict[str, int]:
    """The version vector of an up-to-date proxy."""
    versions = {name: source.version for name, source in registry.sources()}
    return {**versions, OPERATOR_SOURCE: registry.operator_config.version}


def _records_of_registry(size: ClusterSize, number: int) -> Json:
    """The records of one registry as a source: its workers, its proxies' sessions and all tenants' usage."""
    records: Json = {}
    for worker in range(number, size.workers, CORE_MACHINES):
        records[f"w/{worker_id(worker)}"] = worker_record(worker, size)
    for proxy in range(number, size.proxies, CORE_MACHINES):
        zone = proxy % ZONES
        records[f"g/edge-{proxy}"] = {
            "front": proxy_address(proxy),
            "zone": zone_name(zone),
            "region": region_name(zone % REGIONS),
            "ready": True,
        }
    for rank in range(1, size.tenants + 1):
        records[f"c/{tenant_name(rank)}"] = [rank * 7, 1]
    return records


def _receive_peer_records(registry: Registry, number: int, records: Json) -> None:
    body = [
        len(records),
        records,
        [],
        f"core-{number}",
        f"{number:08x}",
        zone_name(number),
        region_name(number),
        60.0,
    ]
    response = codec.decode_swap_response(body, NOW)
    assert not isinstance(response, Failure), response
    registry.receive_swap_response(f"10.9.0.{number + 1}", response, NOW)
