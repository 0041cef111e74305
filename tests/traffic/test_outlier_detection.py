"""Outlier detection with many proxies: detectors, load balancers and load reports in one process."""

import random
from collections import deque

from ward import each, test

from ashlift.config.routing_table import Route
from ashlift.proxy.load_balancer import LoadBalancer
from ashlift.proxy.source_state import Worker
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
REPORT_DELAY_PULLS = 3  # of 0.25 s each: the age of the totals that proxies receive
STEP_SECONDS = 0.01
PULL_STEPS = 25
WORKERS = [f"{zone}-{number}" for zone in REGIONS for number in range(8)]
FAILING_WORKER = "z1-3"


class Cluster:
    """24 workers of 6 slots in three regions, each with 6 requests a second, and the load balancers."""

    def __init__(self, proxies: int, reports_shared: bool) -> None:
        self.rng = random.Random(4)
        self.reports_shared = reports_shared
        self.step = 0
        self.balancers = [
            LoadBalancer(f"z{number % 3 + 1}", REGIONS, random.Random(number)) for number in range(proxies)
        ]
        for balancer in self.balancers:
            balancer.proxy_count = proxies
            balancer.set_workers(
                Worker(worker_id, "desk", worker_id[:2], ("127.0.0.1", 9), 6, True, 1, 0.0)
                for worker_id in WORKERS
            )
        self.source = ReplicatedSource()
        self.reports = LoadReports(self.source, lambda _: 6)
        self.totals = deque([dict[str, list[int]]()] * REPORT_DELAY_PULLS)
        self.sent: list[tuple[float, str]] = []  # time and worker of each request
        self.failure_rates: dict[str, float] = {}  # by worker
        self.faulty_proxies: set[int] = set()  # all of their requests fail

    def run(self, until: float) -> None:
        while (now := self.step * STEP_SECONDS) < until:
            self.step += 1
            for _ in range(2 if self.rng.random() < 0.44 else 1):
                self._send_request(now)
            if self.step % PULL_STEPS == 0 and self.reports_shared:
                self._pull(now)

    def _send_request(self, now: float) -> None:
        number = self.rng.randrange(len(self.balancers))
        balancer = self.balancers[number]
        worker = balancer.rank(now, balancer.eligible("desk", (), ()), HOLD)[0]
        worker_id = worker.record.id
        self.sent.append((now, worker_id))
        if number in self.faulty_proxies or self.rng.random() < self.failure_rates.get(worker_id, 0.0):
            balancer.record_outlier_failure(now, worker)
        else:
            balancer.record_response(now, worker, HOLD, 0.1, 500)

    def _pull(self, now: float) -> None:
        """Each proxy reports, and receives delayed totals."""
        for number, balancer in enumerate(self.balancers):
            detector = balancer.outlier_detector
            counts = detector.failure_counts(now)
            report = LoadReport({}, {key: (failures, runs) for key, (failures, runs) in counts.items()})
            self.reports.update(f"e{number}", report)
            totals = {key: FailureTotals(*values) for key, values in self.totals[0].items()}
            detector.record_failure_totals(now, totals, {}, counts)
        self.totals.append({key[2:]: value for key, value in self.source.values.items()})
        self.totals.popleft()

    def share(self, worker_id: str, since: float, until: float) -> float:
        """A worker's requests over the mean of all workers."""
        sent = [sent_to for at, sent_to in self.sent if since <= at < until]
        return len(WORKERS) * sent.count(worker_id) / max(1, len(sent))

    def ejected_after(self, worker_id: str, since: float, until: float) -> float | None:
        """Seconds until the first two seconds in which a worker gets less than a tenth of its share."""
        for step in range(int((until - since - 2) / 0.1)):
            if self.share(worker_id, since + 0.1 * step, since + 0.1 * step + 2) < 0.1:
                return round(0.1 * step, 1)
        return None


@test("a worker that fails 30% of its requests is ejected within {max_seconds} s ({proxies} proxies)")
def _(proxies: int = each(10, 80), max_seconds: float = each(9.0, 4.5)) -> None:
    cluster = Cluster(proxies, reports_shared=True)
    cluster.run(4.0)
    cluster.failure_rates = {FAILING_WORKER: 0.3}
    cluster.run(14.0)
    ejected_after = cluster.ejected_after(FAILING_WORKER, 4.0, 14.0)
    assert ejected_after is not None
    assert ejected_after <= max_seconds, ejected_after
    same_zone = [worker_id for worker_id in WORKERS if worker_id[:2] == "z1" and worker_id != FAILING_WORKER]
    assert all(cluster.share(worker_id, 4.0, 14.0) > 0.5 for worker_id in same_zone)


@test("without the reports of others, 80 proxies do not eject it in any useful time")
def _() -> None:
    cluster = Cluster(80, reports_shared=False)
    cluster.failure_rates = {FAILING_WORKER: 0.3}
    cluster.run(10.0)
    assert cluster.share(FAILING_WORKER, 0.0, 10.0) > 0.5


@test("a proxy all of whose requests fail takes no worker from the others")
def _() -> None:
    cluster = Cluster(10, reports_shared=True)
    cluster.faulty_proxies = {3}
    cluster.run(8.0)
    ejected = [balancer._ejected_workers(8.0, "desk") for balancer in cluster.balancers]
    assert len(ejected[3]) <= 6
    assert not any(ejected[number] for number in range(10) if number != 3)


@test("where all workers of a region fail, a fifth of them is ejected; none where the rest would be full")
def _() -> None:
    detector = OutlierDetector()
    for number in range(8):
        for _ in range(6):
            detector.record_result(10.0, f"w{number}", 1.0)
    half_idle = {f"w{number}": WorkerLoad(6, 2.0) for number in range(8)}
    nearly_full = {f"w{number}": WorkerLoad(6, 4.5) for number in range(8)}
    assert len(detector.ejected_workers(10.0, half_idle, 5)) == 2
    assert not detector.ejected_workers(10.1, nearly_full, 5)


@test("an ejected worker comes back, and is ejected for twice as long when it fails again")
def _() -> None:
    detector = OutlierDetector()
    group = {f"w{number}": WorkerLoad(6, 0.0) for number in range(5)}
    was_ejected = []
    for step in range(2000):
        now = 0.01 * step
        ejected = detector.ejected_workers(now, group, 5)
        was_ejected.append("w1" in ejected)
        if step % 10 == 0 and not ejected:
            detector.record_result(now, "w1", 1.0)
    ejections = "".join("x" if one else "." for one in was_ejected).split(".")
    lengths = [len(ejection) for ejection in ejections if ejection]
    assert 480 < lengths[0] < 520, lengths
    assert 980 < lengths[1] < 1020, lengths
