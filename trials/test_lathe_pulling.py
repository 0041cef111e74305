"""Which registry a gatekeeper pulls from: the nearest, as their own answers order them."""

import random
from typing import Any

from ward import test

from jig.settings import Settings, parse
from lathe.gate import Gate
from lathe.pulling import AVOID_S, Pulling

from workbench.faults import UNANSWERED, Fault

NEAR, NEXT, FAR = "10.1.0.1", "10.2.0.1", "10.3.0.1"
TEXT = f"""NodeName = "edge-1"
Ip = "10.1.0.9"
Zone = "a"
Region = "r"
InternalPortRange = [7600, 7615]
SeedNodes = ["{FAR}:80", "{NEXT}:80", "{NEAR}:80"]
"""


def _pulling(seed: int) -> Pulling:
    settings = parse(TEXT)
    assert isinstance(settings, Settings)
    rng = random.Random(seed)
    return Pulling(settings, Gate(settings, rng, 0.0), "0", rng)


def _answer(*controls: str) -> dict[str, Any]:
    return {"sources": {}, "alive": [], "age": 0.1, "held": 0.0, "controls": [*controls], "members": 1}


def _play(pulling: Pulling, now: float, answer: dict[str, Any] | Fault) -> str:
    pull = pulling.begin(now)
    assert pull is not None
    pulling.ended(pull, now, answer)
    return pull.ip


@test("the nearest is pulled from; without it the next one, until that one names the nearest first again")
def _() -> None:
    for seed in range(8):
        pulling, near = _pulling(seed), _answer(NEAR, NEXT, FAR)
        _play(pulling, 0.0, near)
        assert _play(pulling, 0.1, near) == NEAR
        assert _play(pulling, 0.2, Fault(UNANSWERED)) == NEAR
        assert _play(pulling, 0.3, near) == NEXT
        lost = _answer(NEXT, FAR, NEAR)  # the others do not hear it either
        assert _play(pulling, 0.4, lost) == NEXT
        assert _play(pulling, 0.3 + 2 * AVOID_S, lost) == NEXT
        assert _play(pulling, 0.4 + 2 * AVOID_S, near) == NEXT
        assert _play(pulling, 0.5 + 2 * AVOID_S, near) == NEAR


@test("one whose proof is old is left for the next")
def _() -> None:
    pulling, old = _pulling(1), _answer(NEAR, NEXT, FAR)
    _play(pulling, 0.0, old)
    old["age"] = 2.0
    assert _play(pulling, 0.1, old) == NEAR
    assert _play(pulling, 0.2, _answer(NEAR, NEXT, FAR)) == NEXT
