"""What a registry knows of usage that proxies cannot know: of the time before their start."""

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
