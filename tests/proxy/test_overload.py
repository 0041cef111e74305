"""Load shared between gatekeepers, and requests that leave a region whose workers are full. No sockets."""

import random

from ward import each, test

from ashlift.config.routing_table import Route
from ashlift.errors import Failure
from ashlift.proxy.load_balancer import LoadBalancer
from ashlift.proxy.source_state import Worker
from ashlift.registry import codec
from ashlift.registry.identity import RegistryIdentity
from ashlift.registry.records import WorkerRecord as Told
from ashlift.registry.records import WorkerState
from ashlift.registry.registry import Registry

LOOK = Route(
    name="look",
    host="h",
    path_prefix="/",
    idempotent=True,
    timeout=3.0,
    latency_target=0.8,
    priority=2,
    traffic_split=(("board", 1),),
    max_attempts=2,
    anonymous=True,
    home_regions=frozenset(),
)


def crew() -> LoadBalancer:
    made = LoadBalancer("z1", {"z1": "r1", "z2": "r2"}, random.Random(5))
    made.set_workers(
        Worker(name, "board", zone, ("127.0.0.1", 9), 6, True, 1, 0.0)
        for name, zone in (("a1", "z1"), ("a2", "z1"), ("b1", "z2"), ("b2", "z2"))
    )
    for at in range(60):
        made.record_response(0.1 * at, made.workers["a1"], LOOK, 0.2, 500)
    return made


def share_far(made: LoadBalancer, now: float, for_s: float = 1.0) -> float:
    """Of 200 requests within `for_s`."""
    firsts = [
        made.rank(now + for_s * at / 200, made.eligible("board", (), ()), LOOK)[0].record.zone
        for at in range(200)
    ]
    return firsts.count("z2") / len(firsts)


@test("crew: {under_way} under way at each near worker, as told: {least} to {most} go far")
def _(under_way: int = each(0, 6, 14, 24), least: float = each(0, 0, 0.2, 1), most: float = each(0, 0, 1, 1)):
    made = crew()
    for _ in range(8):
        made.update_peer_load({"a1": under_way, "a2": under_way}, {})
    share_far(made, 6.0, 8.0)
    assert least * 0.95 <= share_far(made, 14.0) <= most


@test("crew: a region whose answers are slow is left, and tried again when that has faded")
def _():
    made = crew()
    share_far(made, 6.0)
    shares = []
    for at in range(80):
        made.record_response(7.0 + 0.05 * at, made.workers["a1"], LOOK, 1.0, 500)
        shares.append(share_far(made, 7.0 + 0.05 * at, 0.05))
    assert shares[20] < 0.5 and sum(shares[-5:]) / 5 > 0.75
    share_far(made, 18.0, 16.0)
    assert share_far(made, 34.0) < 0.15


def herd(gatekeepers: int, until: float) -> list[int]:
    """Requests under way at each step of 0.1 s: three regions of 16 workers with 2 slots, 0.1 s of work, half
    of it taken up; from 4 to 6 s one in two of the first region's stands still. All hear 0.6 s late."""
    rng, steps, now = random.Random(3), int(round(until / 0.01)), 0.0
    regions = {f"z{number}": f"r{number}" for number in range(3)}
    ids = [f"{zone}-{number}" for zone in regions for number in range(16)]
    crews = [LoadBalancer(f"z{number % 3}", regions, random.Random(number)) for number in range(gatekeepers)]
    for one in crews:
        one.set_workers(Worker(name, "board", name[:2], ("127.0.0.1", 9), 2, True, 1, 0.0) for name in ids)
    queues: dict[str, list[tuple[int, float, float]]] = {name: [] for name in ids}  # whose, since, work left
    told: list[dict[str, int]] = []
    totals = []
    for step in range(steps):
        now = 0.01 * step
        for _ in range(5 if rng.random() < 0.8 else 4):  # 480 a second
            crew = rng.randrange(gatekeepers)
            view = crews[crew].rank(now, crews[crew].eligible("board", (), ()), LOOK)[0]
            crews[crew].attempt_started(now, view)
            queues[view.record.id].append((crew, now, rng.uniform(0.05, 0.15)))
        for name, queue in queues.items():
            if 4 <= now < 6 and name[:2] == "z0" and name[-1] in "02468":
                continue
            for crew, since, left in queue[:2]:
                queue.remove((crew, since, left))
                if left > 0.01:
                    queue.insert(0, (crew, since, left - 0.01))
                    continue
                view = crews[crew].workers[name]
                crews[crew].attempt_ended(view)
                crews[crew].record_response(now, view, LOOK, now - since, 1500)
        if step % 10 == 0:
            told.append({name: len(queue) for name, queue in queues.items()})
            totals.append(sum(told[-1].values()))
        if step % 30 == 0 and len(told) > 6:
            for one in crews:
                one.update_peer_load(told[-6], {})
    return totals


@test("a region that stood still for 2 s does not set off a herd that goes round ({gatekeepers} gatekeepers)")
def _(gatekeepers: int = each(10, 77)):
    totals = herd(gatekeepers, 16.0)
    assert max(totals[40:70]) > 2 * max(totals[20:40])  # it was a blow
    assert sum(totals[-40:]) / 40 < 1.3 * sum(totals[:40]) / 40


@test("crew: what is ours of the requests told is not counted twice")
def _():
    made = crew()
    for _ in range(5):
        made.attempt_started(6.0, made.workers["a1"])
    for _ in range(8):
        made.update_peer_load({"a1": 5}, made.in_flight())
    assert made.workers["a1"].peers_in_flight == 0


@test("registry: requests under way are summed over gatekeepers, told coarsely, and gone with their session")
def _():
    now = 100.0
    registry = Registry(RegistryIdentity("c", "1", "1.1.1.1", "z1", "r1", 80, 1.5), [], {"z1": "r1"}, now)
    registry.instances.record_heartbeat(
        "w", Told("board", "1.1.1.2:9", "z1", 6, WorkerState.READY, 1, 0.0, ""), now
    )

    def pull(node: str, out: int) -> object:
        body = {"node": node, "incarnation": "1", "zone": "z1", "region": "r1", "front": "", "ready": True}
        request = codec.decode_pull_request({**body, "have": {}, "outs": {"w": out} if out else {}})
        assert not isinstance(request, Failure), request
        registry.sessions.begin_pull(request, now)
        registry.sessions.end_pull(node)
        return registry.own_source.values.get("o/w")

    assert [pull("e1", 1), pull("e2", 3), pull("e1", 2), pull("e1", 6), pull("e1", 0)] == [None, 4, 4, 9, 3]
    registry.tick(now + 0.5)
    for step in range(1, 20):
        now = 100.0 + 0.5 * step
        registry.tick(now)
    assert "o/w" not in registry.own_source.values


@test("crew: answers that come in no time leave a usual latency above nothing, and workers can be chosen")
def _() -> None:
    made = crew()
    for at in range(2000):
        made.record_response(6.0 + at / 1000, made.workers["a1"], LOOK, 0.0002, 500)
    made.attempt_started(8.0, made.workers["a1"])
    assert 0 < made.usual_latency(LOOK) < 0.002
    assert len(made.rank(12.0, made.eligible("board", (), ()), LOOK)) == 4
