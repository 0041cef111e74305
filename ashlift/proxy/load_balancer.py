"""Per-worker state and the ranking of workers for a request. No I/O.

`ashlift.proxy.worker_selection` decides whether a ranked worker may be used.
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

LATENCY_RATIO_GAIN: Final = 0.2  # weight of one sample in the moving average
LATENCY_RATIO_DECAY_SECONDS: Final = 8.0
MIN_LATENCY_RATIO: Final = 0.5
MAX_LATENCY_RATIO: Final = 5.0
MIN_LATENCY_SECONDS: Final = 0.001
FAILURE_BACKOFF_SECONDS: Final = 0.7  # after the first failure, doubled with each consecutive one
MAX_FAILURE_BACKOFF_SECONDS: Final = 5.0
MAX_BACKOFF_DOUBLINGS: Final = 3  # which reach the maximum
PEER_LOAD_GAIN: Final = 0.5  # weight of one report in the moving average of other proxies' load
PEER_LOAD_LIFETIME_SECONDS: Final = 1.5  # without a report
SPARE_CAPACITY_FRACTION: Final = 0.5  # of the capacity: with less load, a worker should accept requests
SLOW_ATTEMPT_FAILURE_WEIGHT: Final = 0.5  # of a cancelled attempt without a response; a failure weighs 1
EJECTIONS_CACHE_SECONDS: Final = 0.1
# Random choices per region. Load reports are delayed, so comparing all workers would make all proxies pick
# the same one.
CANDIDATES_PER_REGION: Final = 2

# Costs of a worker, in baseline latencies.
UTILIZATION_COST: Final = 0.5
RECENTLY_SENT_COST: Final = 0.3  # decays exponentially, with the baseline latency as time constant
DEFAULT_LATENCY_SECONDS: Final = 0.1
COST_JITTER: Final = 0.1
OTHER_ZONE_COST: Final = 0.15
# Costs that only determine the order: candidates before other workers of their region, cheaper regions first,
# ejected workers and those in backoff last.
NOT_A_CANDIDATE_COST: Final = 1e2
NEXT_REGION_COST: Final = 1e3
LAST_RESORT_COST: Final = 1e6


@dataclass(slots=True, eq=False)
class WorkerState:
    """The state of one worker as this proxy knows it. Times are monotonic, in seconds."""

    record: Worker
    in_flight: int = 0  # requests from this proxy
    peers_in_flight: float = 0.0  # requests from other proxies, moving average of the reports
    latency_ratio: float = 1.0  # response time relative to the baseline, moving average
    latency_updated_at: float = 0.0
    consecutive_failures: int = 0
    backoff_until: float = -math.inf
    warming_until: float = -math.inf  # end of the slow start after an evacuation of its zone
    last_sent_at: float = -math.inf


class LoadBalancer:
    """Tracks the state of all workers and ranks them. `regions`: region by zone."""

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
        self._peer_load_expires_at = math.inf
        self._ejected: dict[str, tuple[float, set[str]]] = {}  # by service: when computed, worker ids

    # ---- the cluster's state

    def set_workers(self, records: Iterable[Worker]) -> None:
        """Replace the list of workers; the state of workers in both lists is kept."""
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
        """Stop sending to `zones`; workers of zones no longer evacuated get a slow start."""
        for worker in self.workers.values():
            if worker.record.zone in self.evacuated_zones - zones:
                worker.warming_until = now + warming_seconds
        self.evacuated_zones = zones

    def in_flight(self) -> dict[str, int]:
        """This proxy's requests in flight, by worker."""
        return {worker_id: worker.in_flight for worker_id, worker in self.workers.items() if worker.in_flight}

    def update_peer_load(self, now: float, total: Mapping[str, int], own: Mapping[str, int]) -> None:
        """Update the load from other proxies: the `total` requests in flight less this proxy's `own`."""
        self._peer_load_expires_at = now + PEER_LOAD_LIFETIME_SECONDS
        for worker_id, worker in self.workers.items():
            reported = max(0, total.get(worker_id, 0) - own.get(worker_id, 0))
            worker.peers_in_flight += PEER_LOAD_GAIN * (reported - worker.peers_in_flight)

    def _forget_stale_peer_load(self, now: float) -> None:
        """Without reports the load of other proxies is unknown; the last known one must not refuse work."""
        if now < self._peer_load_expires_at:
            return
        self._peer_load_expires_at = math.inf
        for worker in self.workers.values():
            worker.peers_in_flight = 0.0

    def region_of(self, worker: WorkerState) -> str:
        """The region of a worker, empty if its zone is unknown."""
        return self._regions.get(worker.record.zone, "")

    # ---- ranking

    def expected_wait(self, worker: WorkerState) -> float:
        """The queueing delay of one more request at the worker, in units of one request's service time."""
        capacity = max(1, worker.record.capacity)
        return max(0.0, worker.in_flight + worker.peers_in_flight + 1 - capacity) / capacity

    def baseline_latency(self, route: Route) -> float:
        """The baseline latency of a route, in seconds."""
        return self.locality.baseline_latency(route)

    def eligible(
        self, service: str, allowed_regions: Collection[str], attempted: Collection[str]
    ) -> list[WorkerState]:
        """Workers of a service that a request may be sent to. `attempted`: ids of workers already tried."""
        return [
            worker
            for worker in self.by_service.get(service, ())
            if worker.record.ready
            and worker.record.zone not in self.evacuated_zones
            and worker.record.id not in attempted
            and (not allowed_regions or self.region_of(worker) in allowed_regions)
        ]

    def rank(self, now: float, workers: list[WorkerState], route: Route) -> list[WorkerState]:
        """Sort workers of one service, best first: by the cost of their region, then by their own cost."""
        if not workers:
            return []
        self._forget_stale_peer_load(now)
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
        """A cost for each region by its rank; the keys are in ranking order."""
        costs: dict[str, float] = {}
        for region, workers in by_region.items():
            mean_wait = sum([self.expected_wait(worker) for worker in workers]) / len(workers)
            costs[region] = self.locality.cost(now, service, region, route, mean_wait)
        ranked = self.locality.rank_regions(now, service, route.name, costs)
        return {region: position * NEXT_REGION_COST for position, region in enumerate(ranked)}

    def _draw_candidates(
        self, by_region: Mapping[str, list[WorkerState]], regions: list[str], ejected: set[str]
    ) -> set[str]:
        """Draw up to `CANDIDATES_PER_REGION` random workers of each region that are not ejected."""
        draw = self._rng.random
        candidates: set[str] = set()
        for region in regions:
            worker_ids = [worker.record.id for worker in by_region[region]]
            healthy = [worker_id for worker_id in worker_ids if worker_id not in ejected]
            healthy.sort(key=lambda _: draw())
            candidates.update(healthy[:CANDIDATES_PER_REGION])
        return candidates

    def _worker_cost(self, now: float, worker: WorkerState, baseline_latency: float) -> float:
        """The expected latency of a request at a worker, in baseline latencies, plus tie-breaking costs."""
        capacity = max(1, worker.record.capacity)
        decay = math.exp(-(now - worker.latency_updated_at) / LATENCY_RATIO_DECAY_SECONDS)
        ratio = max(MIN_LATENCY_RATIO, 1.0 + (worker.latency_ratio - 1.0) * decay)
        in_flight = worker.in_flight + worker.peers_in_flight
        cost = ratio * (1.0 + self.expected_wait(worker) + UTILIZATION_COST * in_flight / capacity)
        # With little traffic no worker has requests in flight; this spreads requests over the workers.
        since_sent = now - worker.last_sent_at
        cost += RECENTLY_SENT_COST * math.exp(-since_sent / (baseline_latency or DEFAULT_LATENCY_SECONDS))
        cost += COST_JITTER * self._rng.random()
        if worker.record.zone != self._zone:
            cost += OTHER_ZONE_COST
        return cost + LAST_RESORT_COST * (now < worker.backoff_until)

    def _ejected_workers(self, now: float, service: str) -> set[str]:
        """The workers of a service that outlier detection ejects; cached for `EJECTIONS_CACHE_SECONDS`."""
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

    # ---- results of attempts

    def attempt_started(self, now: float, worker: WorkerState) -> None:
        """Count an attempt in flight at the worker."""
        worker.in_flight += 1
        worker.last_sent_at = now

    def attempt_ended(self, worker: WorkerState) -> None:
        """Remove an attempt from those in flight at the worker."""
        worker.in_flight -= 1

    def record_response(
        self, now: float, worker: WorkerState, route: Route, elapsed: float, size_bytes: int
    ) -> None:
        """Record a response that took `elapsed` seconds; `size_bytes`: of request plus response."""
        ratio = elapsed / max(MIN_LATENCY_SECONDS, self.baseline_latency(route))
        worker.latency_ratio += LATENCY_RATIO_GAIN * (min(MAX_LATENCY_RATIO, ratio) - worker.latency_ratio)
        worker.latency_updated_at = now
        worker.consecutive_failures = 0
        worker.backoff_until = -math.inf
        self.outlier_detector.record_result(now, worker.record.id, 0.0)
        region = self.region_of(worker)
        self.locality.record_response(now, worker.record.service, region, route, elapsed, size_bytes)

    def record_connection_failure(self, now: float, worker: WorkerState) -> None:
        """Start or extend the backoff: a connection could not be established, broke, or timed out."""
        doublings = min(MAX_BACKOFF_DOUBLINGS, worker.consecutive_failures)
        backoff = FAILURE_BACKOFF_SECONDS * 2**doublings
        worker.backoff_until = now + min(MAX_FAILURE_BACKOFF_SECONDS, backoff)
        worker.consecutive_failures += 1
        self.record_outlier_failure(now, worker)

    def record_outlier_failure(self, now: float, worker: WorkerState, weight: float = 1.0) -> None:
        """Report a failure of the worker to outlier detection; `weight` is below 1 if it is uncertain."""
        self.outlier_detector.record_result(now, worker.record.id, weight)

    def record_slow_attempt(self, now: float, worker: WorkerState) -> None:
        """An attempt was cancelled after it had been without a response for longer than the hedge delay."""
        if self._has_capacity(worker):
            self.record_outlier_failure(now, worker, SLOW_ATTEMPT_FAILURE_WEIGHT)

    def record_refusal(self, now: float, worker: WorkerState) -> None:
        """The worker refused a request without running it: a failure if it should have capacity."""
        if self._has_capacity(worker):
            self.record_outlier_failure(now, worker)

    def record_overload(self, now: float, worker: WorkerState) -> None:
        """The worker is at its limit: raise its latency ratio, so that it ranks lower."""
        worker.latency_ratio = min(MAX_LATENCY_RATIO, worker.latency_ratio + 1.0)
        worker.latency_updated_at = now

    def _has_capacity(self, worker: WorkerState) -> bool:
        in_flight = worker.in_flight + worker.peers_in_flight
        return in_flight < SPARE_CAPACITY_FRACTION * worker.record.capacity
