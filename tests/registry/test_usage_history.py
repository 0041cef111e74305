"""What a registry knows of usage that proxies cannot: of incarnations that have ended, and before a start."""

from typing import Any

from ward import test

from ashlift.registry.identity import RegistryIdentity
from ashlift.registry.registry import Registry
from tests.support.registry_wire import ANY_PROXY, begin_pull, pull_response


def _registry(now: float) -> Registry:
    return Registry(RegistryIdentity("a", "ab", "a", "z1", "r1", 8200, 1.5), ["a"], {"z1": "r1"}, now)


def _pull(
    registry: Registry, now: float, number: int, counts: tuple[int, int], incarnation: str = "1"
) -> dict[str, Any]:
    body = ANY_PROXY | {
        "node": "edge-1",
        "incarnation": incarnation,
        "have": {},
        "zone": "z1",
        "region": "r1",
    }
    body["adds"] = {"number": number, "counts": {"t": [*counts]}}
    begin_pull(registry, body, now)
    answer: dict[str, Any] = pull_response(registry, body, now, now)["sources"]["a#ab"]
    registry.sessions.end_pull("edge-1")
    return answer


# Guards against: a proxy that is killed takes what it admitted after its last report with it.
@test("usage of an ended incarnation: another report as large as its last one is counted, once")
def _() -> None:
    registry = _registry(100.0)
    _pull(registry, 100.0, 1, (50, 10))
    assert _pull(registry, 100.25, 2, (9, 2))["set"]["c/t"] == [59, 12]
    restarted = _pull(registry, 100.5, 1, (1, 0), "2")
    assert restarted["set"]["c/t"] == [59 + 7 + 1, 12]
    assert _pull(registry, 100.75, 2, (1, 0), "2")["set"]["c/t"] == [68, 12]


@test("usage of an ended incarnation: it is counted when its session expires as well")
def _() -> None:
    registry = _registry(100.0)
    for step in range(20):
        registry.tick(100.0 + 0.25 * step)
        if step == 2:
            _pull(registry, 100.5, 1, (9, 2))
    assert registry.local_source.values["c/t"] == [16, 2]


@test("recent usage: a snapshot has what was accepted in the window, or since the registry started")
def _() -> None:
    registry = _registry(100.0)
    recent: list[Any] = []
    for step in range(60):  # of 0.25 s, each with 3 requests, of which 1 is declined
        now = 100.0 + 0.25 * step
        recent.append(_pull(registry, now, step + 1, (3, 1))["recent"])
        registry.tick(now)
    assert recent[8] == [2.0, {"t": 18}]
    seconds, accepted = recent[-1]
    assert 5.0 <= seconds <= 5.5
    assert accepted["t"] == 2 * round(seconds / 0.25)
