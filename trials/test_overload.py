"""Load shared between gatekeepers, and requests that leave a region whose workers are full. No sockets."""

import random

from ward import each, test

from jig.tables import Route
from lathe.crew import Crew
from lathe.ledger import Worker
from pegboard.records import Worker as Told
from pegboard.registry import Registry, Self

LOOK = Route(name="look", host="h", prefix="/", repeatable=True, timeout=3.0, aim=0.8, priority=2,
             split=(("board", 1),), attempts=2, anonymous=True, homes=frozenset())  # fmt: skip


def crew() -> Crew:
    made = Crew("z1", {"z1": "r1", "z2": "r2"}, random.Random(5))
    made.know(Worker(name, "board", zone, ("127.0.0.1", 9), 6, True, 1, 0.0)
              for name, zone in (("a1", "z1"), ("a2", "z1"), ("b1", "z2"), ("b2", "z2")))  # fmt: skip
    for at in range(60):
        made.answered(0.1 * at, made.views["a1"], LOOK, 0.2, 500)
    return made


def share_far(made: Crew, now: float) -> float:
    firsts = [made.order(now, made.open("board", (), ()), LOOK)[0].worker.zone for _ in range(200)]
    return firsts.count("z2") / len(firsts)


@test("crew: {under_way} under way at each near worker, as told: {least} to {most} go far")
def _(under_way: int = each(0, 6, 14, 24), least: float = each(0, 0, 0.2, 1), most: float = each(0, 0, 1, 1)):
    made = crew()
    for _ in range(8):
        made.heard({"a1": under_way, "a2": under_way}, {})
    assert least <= share_far(made, 6.0) <= most


@test("crew: a region whose answers are slow is left, and tried again when that has faded")
def _():
    made = crew()
    for at in range(40):
        made.answered(6.0 + 0.05 * at, made.views["a1"], LOOK, 1.0, 500)
    assert share_far(made, 8.0) > 0.9
    assert share_far(made, 18.0) == 0


@test("crew: what is ours of the requests told is not counted twice")
def _():
    made = crew()
    for _ in range(5):
        made.sent(6.0, made.views["a1"])
    for _ in range(8):
        made.heard({"a1": 5}, made.outs())
    assert made.views["a1"].others == 0


@test("registry: requests under way are summed over gatekeepers, told coarsely, and gone with their session")
def _():
    now = 100.0
    registry = Registry(Self("c", "1", "1.1.1.1", "z1", "r1", 80, 1.5), [], {"z1": "r1"}, now)
    registry.beat("w", Told("board", "1.1.1.2:9", "z1", 6, "ready", 1, 0.0, ""), now)

    def pull(node: str, out: int) -> object:
        body = {"node": node, "incarnation": "1", "zone": "z1", "region": "r1", "front": "", "ready": True}
        assert registry.pull({**body, "have": {}, "outs": {"w": out} if out else {}}, now) is None
        registry.pulled(node)
        return registry.own.values.get("o/w")

    assert [pull("e1", 1), pull("e2", 3), pull("e1", 2), pull("e1", 6), pull("e1", 0)] == [None, 4, 4, 9, 3]
    registry.tick(now + 0.5)
    for step in range(1, 20):
        now = 100.0 + 0.5 * step
        registry.tick(now)
    assert "o/w" not in registry.own.values
