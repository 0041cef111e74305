"""The workers as this proxy sees them, and their ranking for a request. Pure.

Whether a worker may be used at all is decided in `ashlift.proxy.worker_selection`.
"""

import math
import random
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from ashlift.config.routing_table import Route
from ashlift.proxy.locality import LocalityRouting
from ashlift.proxy.source_state import Worker
from ashlift.traffic.outlier_detection import OutlierDetector, WorkerLoad

LATENCY_RATIO_GAIN: Final = 0.2  # weight of one response in a worker's latency ratio
LATENCY_RATIO_DECAY_SECONDS: Final = 8.0
MIN_LATENCY_RATIO: Final = 0.5
MAX_LATENCY_RATIO: Final = 5.0
MIN_LATENCY_SECONDS: Final = 0.001
FAILURE_BACKOFF_SECONDS: Final = 0.7  # without attempts after a failure, doubled with each one in a row
MAX_FAILURE_BACKOFF_SECONDS: Final = 5.0
PEER_LOAD_GAIN: Final = 0.5  # weight of one report in the load from other proxies
SPARE_CAPACITY_FRACTION: Final = 0.5  # a worker with fewer requests in flight has capacity, as far as known
SILENCE_FAULT: Final = 0.5  # weight of a silence until another worker has responded, a failure being 1
EJECTIONS_CACHE_SECONDS: Final = 0.1
# Workers of a region drawn for a request, however many there are: loads are known late, and were all workers
# compared, all proxies would turn to the same one.
CANDIDATES_PER_REGION: Final = 2

# Costs of a worker, in usual latencies.
UTILIZATION_COST: Final = 0.5
RECENTLY_SENT_COST: Final = 0.3  # decays within a usual latency
DEFAULT_LATENCY_SECONDS: Final = 0.1
COST_JITTER: Final = 0.1
OTHER_ZONE_COST: Final = 0.15
# Costs that only rank: a worker that is no candidate goes after its region's candidates, a region after those
# that cost less, and a worker that fails after all others.
NOT_A_CANDIDATE_COST: Final = 1e2
NEXT_REGION_COST: Final = 1e3
LAST_RESORT_COST: Final = 1e6


@dataclass(slots=True, eq=False)
class WorkerState:
    """What this proxy knows of one worker. Times are steady, in seconds."""

    record: Worker
    in_flight: int = 0  # requests of this proxy
    peers_in_flight: float = 0.0  # requests of other proxies, as last reported
    latency_ratio: float = 1.0  # of its latency to the usual one
    latency_updated_at: float = 0.0
    consecutive_failures: int = 0
    backoff_until: float = -math.inf
    warming_until: float = -math.inf  # slow start after an evacuation, whatever its heartbeats say
    last_sent_at: float = -math.inf


class LoadBalancer:
    """All workers, with what this proxy has learnt of them. `regions`: region by zone."""

    def __init__(self, zone: str, regions: dict[str, str], rng: random.Random) -> None:
        self._zone = zone
        self._regions = regions
        self._rng = rng
        self.workers: dict[str, WorkerState] = {}
        self.by_service: dict[str, list[WorkerState]] = {}
        self.locality = LocalityRouting(regions.get(zone, ""), rng)
        self.evacuated_zones: frozenset[str] = frozenset()
        self.outlier_detector = OutlierDetector()
        self.proxy_count = 1
        self._ejected: dict[str, tuple[float, set[str]]] = {}  # by service: when computed, worker ids

    # ---- the cluster's state

    def set_workers(self, records: Iterable[Worker]) -> None:
        """Replace the list of workers; what is known of those that stay is kept."""
        workers: dict[str, WorkerState] = {}
        self.by_service = {}
        for record in records:
            worker = self.workers.get(record.id)
            if worker is None:
                worker = WorkerState(record)
            worker.record = record
            workers[record.id] = worker
            self.by_service.setdefault(record.service, []).append(worker)
        self.workers = workers
        self.outlier_detector.retain_workers(workers)

    def evacuate(self, now: float, zones: frozenset[str], warming_seconds: float) -> None:
        """Send nothing to `zones` from now on; workers of zones taken back are in slow start for a while."""
        for worker in self.workers.values():
            if worker.record.zone in self.evacuated_zones - zones:
                worker.warming_until = now + warming_seconds
        self.evacuated_zones = zones

    def in_flight(self) -> dict[str, int]:
        """Requests of this proxy in flight, by worker."""
        return {worker_id: worker.in_flight for worker_id, worker in self.workers.items() if worker.in_flight}

    def update_peer_load(self, total: Mapping[str, int], own: Mapping[str, int]) -> None:
        """Learn the load of other proxies from the requests of all in flight, and this proxy's among them."""
        for worker_id, worker in self.workers.items():
            reported = max(0, total.get(worker_id, 0) - own.get(worker_id, 0))
            worker.peers_in_flight += PEER_LOAD_GAIN * (reported - worker.peers_in_flight)

    def region_of(self, worker: WorkerState) -> str:
        """The region of a worker, empty if its zone is not known."""
        return self._regions.get(worker.record.zone, "")

    # ---- the choice of a worker

    def expected_wait(self, worker: WorkerState) -> float:
        """How long one more request waits there until its work begins, in units of one request's work."""
        capacity = max(1, worker.record.capacity)
        return max(0.0, worker.in_flight + worker.peers_in_flight + 1 - capacity) / capacity

    def baseline_latency(self, route: Route) -> float:
        """The usual latency of a route's responses, in seconds."""
        return self.locality.baseline_latency(route)

    def eligible(
        self, service: str, allowed_regions: Collection[str], attempted: Collection[str]
    ) -> list[WorkerState]:
        """Workers of a service that a request may be sent to. `attempted`: ids that it was sent to before."""
        return [
            worker
            for worker in self.by_service.get(service, ())
            if worker.record.ready
            and worker.record.zone not in self.evacuated_zones
            and worker.record.id not in attempted
            and (not allowed_regions or self.region_of(worker) in allowed_regions)
        ]

    def rank(self, now: float, workers: list[WorkerState], route: Route) -> list[WorkerState]:
        """Workers of one service, best first: by the cost of their region, then by their expected latency."""
        if not workers:
            return []
        service = workers[0].record.service
        by_region: dict[str, list[WorkerState]] = {}
        for worker in workers:
            by_region.setdefault(self.region_of(worker), []).append(worker)
        region_costs = self._region_costs(now, service, by_region, route)
        baseline_latency = self.baseline_latency(route)
        ejected = self._ejected_workers(now, service)
        candidates = self._draw_candidates(by_region, list(region_costs), ejected)

        def cost(worker: WorkerState) -> float:
            worker_id = worker.record.id
            return (
                region_costs[self.region_of(worker)]
                + self._worker_cost(now, worker, baseline_latency)
                + NOT_A_CANDIDATE_COST * (worker_id not in candidates and worker_id not in ejected)
                + LAST_RESORT_COST * (worker_id in ejected)
            )

        return sorted(workers, key=cost)

    def _region_costs(
        self, now: float, service: str, by_region: Mapping[str, list[WorkerState]], route: Route
    ) -> dict[str, float]:
        """The cost that ranks each region, in that order."""
        costs: dict[str, float] = {}
        for region, workers in by_region.items():
            mean_wait = sum([self.expected_wait(worker) for worker in workers]) / len(workers)
            costs[region] = self.locality.cost(now, service, region, route, mean_wait)
        ranked = self.locality.rank_regions(now, service, route.name, costs)
        return {region: position * NEXT_REGION_COST for position, region in enumerate(ranked)}

    def _draw_candidates(
        self, by_region: Mapping[str, list[WorkerState]], regions: list[str], ejected: set[str]
    ) -> set[str]:
        """A few workers of each region, by chance."""
        draw = self._rng.random
        candidates: set[str] = set()
        for region in regions:
            worker_ids = [worker.record.id for worker in by_region[region]]
            healthy = [worker_id for worker_id in worker_ids if worker_id not in ejected]
            healthy.sort(key=lambda _: draw())
            candidates.update(healthy[:CANDIDATES_PER_REGION])
        return candidates

    def _worker_cost(self, now: float, worker: WorkerState, baseline_latency: float) -> float:
        """The expected latency of a request at a worker, in usual latencies, and small preferences."""
        capacity = max(1, worker.record.capacity)
        decay = math.exp(-(now - worker.latency_updated_at) / LATENCY_RATIO_DECAY_SECONDS)
        ratio = max(MIN_LATENCY_RATIO, 1.0 + (worker.latency_ratio - 1.0) * decay)
        in_flight = worker.in_flight + worker.peers_in_flight
        cost = ratio * (1.0 + self.expected_wait(worker) + UTILIZATION_COST * in_flight / capacity)
        # With little traffic nothing is in flight anywhere: the worker that was sent to last goes last.
        since_sent = now - worker.last_sent_at
        cost += RECENTLY_SENT_COST * math.exp(-since_sent / (baseline_latency or DEFAULT_LATENCY_SECONDS))
        cost += COST_JITTER * self._rng.random()
        if worker.record.zone != self._zone:
            cost += OTHER_ZONE_COST
        return cost + LAST_RESORT_COST * (now < worker.backoff_until)

    def _ejected_workers(self, now: float, service: str) -> set[str]:
        """The workers of a service that fail too often; computed a few times a second."""
        computed_at, ejected = self._ejected.get(service, (-math.inf, set[str]()))
        if now - computed_at < EJECTIONS_CACHE_SECONDS:
            return ejected
        ejected = set()
        if self.outlier_detector.suspects():
            for group in self._loads_by_region(service):
                ejected |= self.outlier_detector.ejected_workers(now, group, self.proxy_count)
        self._ejected[service] = now, ejected
        return ejected

    def _loads_by_region(self, service: str) -> Iterable[dict[str, WorkerLoad]]:
        groups: dict[str, dict[str, WorkerLoad]] = {}
        for worker in self.by_service.get(service, ()):
            record = worker.record
            if record.ready and record.zone not in self.evacuated_zones:
                in_flight = worker.in_flight + worker.peers_in_flight
                load = WorkerLoad(max(1, record.capacity), in_flight)
                groups.setdefault(self.region_of(worker), {})[record.id] = load
        return groups.values()

    # ---- what attempts say of workers

    def attempt_started(self, now: float, worker: WorkerState) -> None:
        """An attempt at the worker is in flight."""
        worker.in_flight += 1
        worker.last_sent_at = now

    def attempt_ended(self, worker: WorkerState) -> None:
        """An attempt at the worker is no longer in flight."""
        worker.in_flight -= 1

    def record_response(
        self, now: float, worker: WorkerState, route: Route, elapsed: float, size_bytes: int
    ) -> None:
        """Learn from a response that took `elapsed` seconds, and `size_bytes` with its request."""
        ratio = elapsed / max(MIN_LATENCY_SECONDS, self.baseline_latency(route))
        worker.latency_ratio += LATENCY_RATIO_GAIN * (min(MAX_LATENCY_RATIO, ratio) - worker.latency_ratio)
        worker.latency_updated_at = now
        worker.consecutive_failures = 0
        worker.backoff_until = -math.inf
        self.outlier_detector.record_result(now, worker.record.id, 0.0)
        region = self.region_of(worker)
        self.locality.record_response(now, worker.record.service, region, route, elapsed, size_bytes)

    def record_failure(self, now: float, worker: WorkerState) -> None:
        """No connection was established, or it broke, or timed out: the worker is avoided for a while."""
        backoff = FAILURE_BACKOFF_SECONDS * 2**worker.consecutive_failures
        worker.backoff_until = now + min(MAX_FAILURE_BACKOFF_SECONDS, backoff)
        worker.consecutive_failures += 1
        self.record_outlier_failure(now, worker)

    def record_outlier_failure(self, now: float, worker: WorkerState, weight: float = 1.0) -> None:
        """The worker responded with a failure, or (a smaller `weight`) seems to fail."""
        self.outlier_detector.record_result(now, worker.record.id, weight)

    def record_silence(self, now: float, worker: WorkerState) -> None:
        """Another worker responded to a request that this one had been sent long before."""
        if self._has_capacity(worker):
            self.record_outlier_failure(now, worker, SILENCE_FAULT)

    def record_refusal(self, now: float, worker: WorkerState) -> None:
        """The worker says that it has not run a request: a failure if it has capacity, as far as known."""
        if self._has_capacity(worker):
            self.record_outlier_failure(now, worker)

    def record_overload(self, now: float, worker: WorkerState) -> None:
        """The worker takes no more requests for now."""
        worker.latency_ratio = min(MAX_LATENCY_RATIO, worker.latency_ratio + 1.0)
        worker.latency_updated_at = now

    def _has_capacity(self, worker: WorkerState) -> bool:
        in_flight = worker.in_flight + worker.peers_in_flight
        return in_flight < SPARE_CAPACITY_FRACTION * worker.record.capacity
