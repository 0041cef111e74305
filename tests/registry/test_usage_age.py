"""The age of usage totals, as registries report it to each other and to proxies."""

from typing import Any

from ward import test

from ashlift.registry.identity import RegistryIdentity
from ashlift.registry.peer_registries import UNREPORTED_USAGE_AGE_SECONDS
from ashlift.registry.registry import Registry
from tests.support.registry_wire import (
    ANY_PROXY,
    begin_pull,
    pull_response,
    receive_swap_response,
    swap_response,
)


def _registry(ip: str, now: float) -> Registry:
    return Registry(RegistryIdentity(ip, "ab", ip, "z1", "r1", 8200, 1.5), ["a", "b"], {"z1": "r1"}, now)


def _pull(registry: Registry, node: str, now: float, transit_seconds: float = 0.0) -> dict[str, Any]:
    body = ANY_PROXY | {"node": node, "have": {}, "zone": "z1", "region": "r1"}
    body["adds"] = {"number": now, "counts": {"t": [1, 0]}, "age": transit_seconds}
    begin_pull(registry, body, now)
    answer = pull_response(registry, body, now, now)
    registry.sessions.end_pull(node)
    return answer


@test("usage age: totals are as old as the oldest report of a proxy, with the time that it was on its way")
def _() -> None:
    registry = _registry("a", 100.0)
    _pull(registry, "edge-1", 101.0, 0.25)
    assert _pull(registry, "edge-2", 101.5)["lag"] == 0.75
    assert _pull(registry, "edge-1", 101.75)["lag"] == 0.25


@test("usage age: a proxy that is silent does not count, as others reserve its lease")
def _() -> None:
    registry = _registry("a", 100.0)
    _pull(registry, "edge-1", 101.0)
    _pull(registry, "edge-2", 101.75)
    for step in range(10):
        registry.tick(100.0 + 0.25 * step)
    assert _pull(registry, "edge-2", 102.3)["lag"] == 0.0


@test("usage age: it counts from the sending of an exchange, less the time for which the call was held")
def _() -> None:
    registry, peer = _registry("a", 100.0), _registry("b", 100.0)
    _pull(peer, "edge-1", 101.0)
    answer = swap_response(peer, ["", 0, "a"], 101.5)
    receive_swap_response(registry, "b", answer, 101.25, 101.75)
    assert _pull(registry, "edge-2", 102.0)["lag"] == 1.25


@test("usage age: a peer of an older release, which does not report it, has the usual age")
def _() -> None:
    registry, peer = _registry("a", 100.0), _registry("b", 100.0)
    _pull(peer, "edge-1", 101.0)
    answer = swap_response(peer, ["", 0, "a"], 101.5)
    del answer[1]["a/"]
    receive_swap_response(registry, "b", answer, 101.5, 101.5)
    assert _pull(registry, "edge-2", 101.75)["lag"] == 0.25 + UNREPORTED_USAGE_AGE_SECONDS
