"""Workers judged by all gatekeepers together: the real jury, crew and tallies, told late, without sockets."""

import random
from collections import deque

from ward import each, test

from ashlift.config.routing_table import Route
from ashlift.proxy.cluster_view import Worker
from ashlift.proxy.load_balancer import LoadBalancer
from ashlift.registry.load_reports import LoadReports
from ashlift.registry.messages import LoadReport
from ashlift.registry.replicated_source import ReplicatedSource
from ashlift.traffic.outlier_detection import FailureTotals, OutlierDetector, WorkerLoad

HOLD = Route(
    name="hold",
    host="h",
    path_prefix="/",
    idempotent=False,
    timeout=3.0,
    latency_target=0.8,
    priority=2,
    traffic_split=(("desk", 1),),
    max_attempts=2,
    anonymous=True,
    home_regions=frozenset(),
)
REGIONS = {"z1": "r1", "z2": "r2", "z3": "r3"}
LATE = 3  # pulls of 0.25 s: so old are the sums that are heard
STEP, PULL = 0.01, 25


class Yard:
    """24 workers of 6 slots in three regions, 6 requests a second each; the crews of all gatekeepers."""

    def __init__(self, gatekeepers: int, together: bool) -> None:
        self.rng, self.together, self.step = random.Random(4), together, 0
        ids = [f"{zone}-{number}" for zone in REGIONS for number in range(8)]
        self.crews = [LoadBalancer(f"z{at % 3 + 1}", REGIONS, random.Random(at)) for at in range(gatekeepers)]
        for crew in self.crews:
            crew.proxy_count = gatekeepers
            crew.set_workers(Worker(one, "desk", one[:2], ("127.0.0.1", 9), 6, True, 1, 0.0) for one in ids)
        self.tallies = LoadReports(source := ReplicatedSource(), lambda _: 6)
        self.source, self.sums = source, deque([dict[str, list[int]]()] * LATE)
        self.sent: list[tuple[float, str]] = []
        self.failing: dict[str, float] = {}
        self.erring: set[int] = set()  # gatekeepers whose requests all fail

    def run(self, until: float) -> None:
        while (now := self.step * STEP) < until:
            self.step += 1
            for _ in range(2 if self.rng.random() < 0.44 else 1):
                at = self.rng.randrange(len(self.crews))
                crew = self.crews[at]
                view = crew.rank(now, crew.eligible("desk", (), ()), HOLD)[0]
                self.sent.append((now, view.worker.id))
                if at in self.erring or self.rng.random() < self.failing.get(view.worker.id, 0.0):
                    crew.record_fault(now, view)
                else:
                    crew.record_response(now, view, HOLD, 0.1, 500)
            if self.step % PULL == 0 and self.together:
                self._pull(now)

    def _pull(self, now: float) -> None:
        for at, crew in enumerate(self.crews):
            faults = crew.outlier_detector.failure_counts(now)
            self.tallies.update(
                f"e{at}", LoadReport({}, {key: (one[0], one[1]) for key, one in faults.items()})
            )
            found = {key: FailureTotals(*one) for key, one in self.sums[0].items()}
            crew.outlier_detector.record_failure_totals(now, found, {}, faults)
        self.sums.append({key[2:]: value for key, value in self.source.values.items()})
        self.sums.popleft()

    def share(self, worker: str, since: float, until: float) -> float:
        """x the mean of a worker's requests."""
        within = [one for at, one in self.sent if since <= at < until]
        return 24 * within.count(worker) / max(1, len(within))

    def shed(self, worker: str, since: float, until: float) -> float | None:
        """s from `since` until two seconds begin in which it gets under a tenth of its share."""
        for step in range(int((until - since - 2) / 0.1)):
            if self.share(worker, since + 0.1 * step, since + 0.1 * step + 2) < 0.1:
                return round(0.1 * step, 1)
        return None


@test("a worker that fails 30% of its requests is left within {most} s ({gatekeepers} gatekeepers)")
def _(gatekeepers: int = each(10, 80), most: float = each(9.0, 4.5)) -> None:
    yard = Yard(gatekeepers, True)
    yard.run(4.0)
    yard.failing = {"z1-3": 0.3}
    yard.run(14.0)
    after = yard.shed("z1-3", 4.0, 14.0)
    assert after is not None and after <= most, after
    assert all(yard.share(f"z1-{one}", 4.0, 14.0) > 0.5 for one in (0, 1, 2, 4, 5, 6, 7))


@test("alone, 80 gatekeepers leave it in no time that counts")
def _() -> None:
    yard = Yard(80, False)
    yard.failing = {"z1-3": 0.3}
    yard.run(10.0)
    assert yard.share("z1-3", 0.0, 10.0) > 0.5


@test("a gatekeeper all of whose requests fail takes no worker from the others")
def _() -> None:
    yard = Yard(10, True)
    yard.erring = {3}
    yard.run(8.0)
    out = [crew._ejected_workers(8.0, "desk") for crew in yard.crews]
    assert len(out[3]) <= 6 and not any(out[at] for at in range(10) if at != 3)


@test("where all workers of a region fail, a fifth of them is out; none where the rest would be full")
def _() -> None:
    jury = OutlierDetector()
    for at in range(8):
        for _ in range(6):
            jury.record_result(10.0, f"w{at}", 1.0)
    assert len(jury.ejected_workers(10.0, {f"w{at}": WorkerLoad(6, 2.0) for at in range(8)}, 5)) == 2
    assert not jury.ejected_workers(10.1, {f"w{at}": WorkerLoad(6, 4.5) for at in range(8)}, 5)


@test("a worker that was out comes back, and is out for twice as long when it fails again")
def _() -> None:
    jury, group = OutlierDetector(), {f"w{at}": WorkerLoad(6, 0.0) for at in range(5)}
    times = []
    for at in range(2000):
        now = 0.01 * at
        found = jury.ejected_workers(now, group, 5)
        times.append("w1" in found)
        if at % 10 == 0 and not found:
            jury.record_result(now, "w1", 1.0)
    spells = "".join("x" if one else "." for one in times).split(".")
    held = [len(one) for one in spells if one]
    assert 480 < held[0] < 520 and 980 < held[1] < 1020, held
