"""Lookups: caching, and logging of shortages."""

import time
from typing import Any

from ward import test

from ashlift.events import EventType
from ashlift.registry.api import lookup
from ashlift.registry.api.lookup import LookupResource
from ashlift.registry.api.messages import HttpRequest
from ashlift.registry.endpoint_directory import MAX_CACHED_LOOKUPS, LookupResult
from ashlift.registry.events import READY_PROXIES_SHORT
from ashlift.registry.identity import RegistryIdentity
from ashlift.registry.locality import Locality
from ashlift.registry.registry import Registry
from tests.support.patching import replaced
from tests.support.registry_wire import begin_pull

LOCALITY = Locality("z", "r")
IDENTITY = RegistryIdentity("core-1", "0", "10.0.0.1", "z", "r", 80, 1.5)
PULL: dict[str, Any] = {"incarnation": "0", "zone": "z", "region": "r", "ready": True, "have": {}}


@test("lookup results are cached per locality for at most 0.1 s")
def _() -> None:
    registry = Registry(IDENTITY, ["10.0.0.1"], {"z": "r"}, 0.0)
    for number in range(3):
        begin_pull(registry, {**PULL, "node": f"edge-{number}", "front": f"10.1.0.{number}:80"}, 5.0)
    first = registry.lookup("app", LOCALITY, 5.0)
    assert isinstance(first, LookupResult)
    assert len(first.addresses) == 3
    begin_pull(registry, {**PULL, "node": "edge-1", "front": "10.1.0.1:80", "leaving": True}, 5.05)
    assert registry.lookup("app", LOCALITY, 5.05) is first
    later = registry.lookup("app", LOCALITY, 5.11)
    assert isinstance(later, LookupResult)
    assert sorted(later.addresses) == ["10.1.0.0:80", "10.1.0.2:80"]
    for number in range(1000):
        registry.lookup("app", Locality(f"z{number}", "r"), 5.11)
    assert len(registry.directory.cache) <= MAX_CACHED_LOOKUPS


@test("a shortage of ready proxies is logged once at its start and end, and never for unknown zones")
def _() -> None:
    now = time.monotonic()
    registry = Registry(IDENTITY, ["10.0.0.1"], {"z": "r"}, now - 60)
    resource = LookupResource(registry)
    logged: list[tuple[EventType, dict[str, Any]]] = []

    def log_event(event: EventType, **fields: Any) -> None:
        logged.append((event, fields))

    def look_up(zone: str) -> int:
        registry.directory.cache.clear()
        request = HttpRequest("GET", "/lookup", {"Name": "app", "Zone": zone}, {}, b"", time.monotonic())
        return resource.handle(request).status

    with replaced(lookup, log_event=log_event):
        assert look_up("z") == 503
        begin_pull(registry, {**PULL, "node": "edge-1", "front": "10.1.0.1:80"}, now)
        assert [look_up("z"), look_up("z"), look_up("elsewhere")] == [200, 200, 503]
        begin_pull(registry, {**PULL, "node": "edge-2", "front": "10.1.0.2:80"}, now)
        assert look_up("z") == 200
    assert [event for event, _ in logged] == [READY_PROXIES_SHORT] * 2
    assert [fields["ready"] for _, fields in logged] == [0, 2]
    assert {fields["region"] for _, fields in logged} == {"r"}  # known by the zone
