"""The workers as this gatekeeper sees them, and the choice of one for a request. Pure."""

import math
import random
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from ashlift.config.routing_table import Route
from ashlift.proxy.locality import LocalityRouting
from ashlift.proxy.source_state import Worker
from ashlift.traffic.outlier_detection import OutlierDetector, WorkerLoad

LATENCY_RATIO_GAIN = 0.2  # weight of one answer in a worker's latency ratio
LATENCY_RATIO_DECAY_SECONDS = 8.0  # in which a judgement of a worker grows old
FAILURE_BACKOFF_SECONDS = 0.7  # a worker that failed is left out for so long, doubled each time
MAX_FAILURE_BACKOFF_SECONDS = 5.0
PEER_LOAD_GAIN = 0.5  # weight of one piece of news in what others have under way
OTHER_ZONE_COST = 0.15  # x usual latency: what another zone of the region costs more than one's own
NEXT_REGION_COST = 1e3  # a region goes after all those that cost less
# workers of a region are drawn for a request, whatever their number: news of them are old
CANDIDATES_PER_REGION = 2
NOT_A_CANDIDATE_COST = 1e2  # a worker that is not drawn goes after those of its region that are
EJECTIONS_CACHE_SECONDS = 0.1  # who is out is looked up again so often
SPARE_CAPACITY_FRACTION = 0.5  # x capacity: a worker with fewer requests has room, as far as known
SILENCE_FAULT = 0.5  # of a failure is a silence until another worker has answered
LAST_RESORT_COST = 1e6  # a worker that is left out goes after all others


@dataclass(slots=True, eq=False)
class WorkerState:
    """What is known here of one worker."""

    record: Worker
    in_flight: int = 0  # requests of ours there
    peers_in_flight: float = 0.0  # requests of other gatekeepers there, as last told
    latency_ratio: float = 1.0  # its latency x usual
    latency_updated_at: float = 0.0
    consecutive_failures: int = 0
    backoff_until: float = -math.inf
    warming_until: float = -math.inf  # after an evacuation, whatever its beats say
    last_sent_at: float = -math.inf  # when it was last sent something


class LoadBalancer:
    """All workers. `zone`, `regions` (zone to region): where this gatekeeper stands."""

    def __init__(self, zone: str, regions: dict[str, str], rng: random.Random) -> None:
        self._zone, self._regions, self._rng = zone, regions, rng
        self._region = regions.get(zone, "")
        self.workers: dict[str, WorkerState] = {}
        self.by_service: dict[str, list[WorkerState]] = {}
        self.locality = LocalityRouting(self._region, rng)
        self.evacuated_zones: frozenset[str] = frozenset()
        self.outlier_detector, self.proxy_count = OutlierDetector(), 1
        self._ejected: dict[str, tuple[float, set[str]]] = {}  # by service: when it was looked up, who is out

    def set_workers(self, workers: Iterable[Worker]) -> None:
        """Take the list as it is now."""
        views: dict[str, WorkerState] = {}
        self.by_service = {}
        for worker in workers:
            view = self.workers.get(worker.id)
            if view is None:
                view = WorkerState(worker)
            view.record = worker
            views[worker.id] = view
            self.by_service.setdefault(worker.service, []).append(view)
        self.workers = views
        self.outlier_detector.retain_workers(views)

    def evacuate(self, now: float, zones: frozenset[str], cold_s: float) -> None:
        """Zones that get nothing from now on; the workers of zones taken back count as cold for `cold_s`."""
        for view in self.workers.values():
            if view.record.zone in self.evacuated_zones - zones:
                view.warming_until = now + cold_s
        self.evacuated_zones = zones

    def in_flight(self) -> dict[str, int]:
        """Our requests under way, by worker."""
        return {key: view.in_flight for key, view in self.workers.items() if view.in_flight}

    def update_peer_load(self, outs: Mapping[str, int], ours: Mapping[str, int]) -> None:
        """Take the requests of all under way, by worker, and what was ours of them."""
        for key, view in self.workers.items():
            view.peers_in_flight += PEER_LOAD_GAIN * (
                max(0, outs.get(key, 0) - ours.get(key, 0)) - view.peers_in_flight
            )

    def expected_wait(self, view: WorkerState) -> float:
        """What a request more waits for there until its work begins, x the work of one."""
        capacity = max(1, view.record.capacity)
        return max(0.0, view.in_flight + view.peers_in_flight + 1 - capacity) / capacity

    def region_of(self, view: WorkerState) -> str:
        return self._regions.get(view.record.zone, "")

    def usual_latency(self, route: Route) -> float:
        """The usual latency of a route's answers, s."""
        return self.locality.usual_latency(route.name, route.latency_target)

    def eligible(self, service: str, homes: Collection[str], tried: Collection[str]) -> list[WorkerState]:
        """The workers that a request may be sent to."""
        return [
            view
            for view in self.by_service.get(service, ())
            if view.record.ready
            and view.record.zone not in self.evacuated_zones
            and view.record.id not in tried
            and (not homes or self.region_of(view) in homes)
        ]

    def rank(self, now: float, views: list[WorkerState], route: Route) -> list[WorkerState]:
        """Best first: a region that costs little; there by the time until its answer, as far as known."""
        usual, costs, service = self.usual_latency(route), dict[str, float](), ""
        if views:
            service = views[0].record.service
            waits: dict[str, list[float]] = {}
            for view in views:
                waits.setdefault(self.region_of(view), []).append(self.expected_wait(view))
            for region, each in waits.items():
                costs[region] = self.locality.cost(
                    now,
                    service,
                    region,
                    route.name,
                    route.latency_target,
                    route.idempotent,
                    sum(each) / len(each),
                )
        regions = self.locality.rank_regions(now, service, route.name, costs)
        ranks = {region: at * NEXT_REGION_COST for at, region in enumerate(regions)}
        # All hear the same of the others, and late: were all looked at, everybody would turn to the same one.
        random, left_out = self._rng.random, set[str]()
        bad = self._ejected_workers(now, service)
        for region in ranks:
            ids = [view.record.id for view in views if self.region_of(view) == region]
            ids = [one for one in ids if one not in bad]
            ids.sort(key=lambda _: random())
            left_out.update(ids[CANDIDATES_PER_REGION:])
        return sorted(
            views,
            key=lambda view: (
                ranks[self.region_of(view)]
                + self._worker_cost(now, view, usual)
                + NOT_A_CANDIDATE_COST * (view.record.id in left_out)
                + LAST_RESORT_COST * (view.record.id in bad)
            ),
        )

    def _ejected_workers(self, now: float, service: str) -> set[str]:
        """The workers of a service that fail too often; they go after all others."""
        at, found = self._ejected.get(service, (-math.inf, set[str]()))
        if now - at < EJECTIONS_CACHE_SECONDS:
            return found
        found, doubts = set[str](), self.outlier_detector.suspects()
        if doubts:
            groups: dict[str, dict[str, WorkerLoad]] = {}
            for view in self.by_service.get(service, ()):
                if view.record.ready and view.record.zone not in self.evacuated_zones:
                    group = groups.setdefault(self.region_of(view), {})
                    group[view.record.id] = WorkerLoad(
                        max(1, view.record.capacity), view.in_flight + view.peers_in_flight
                    )
            for group in groups.values():
                found |= self.outlier_detector.ejected_workers(now, group, self.proxy_count)
        self._ejected[service] = now, found
        return found

    def _worker_cost(self, now: float, view: WorkerState, usual: float) -> float:
        capacity = max(1, view.record.capacity)
        ratio = max(
            0.5,
            1.0
            + (view.latency_ratio - 1.0)
            * math.exp(-(now - view.latency_updated_at) / LATENCY_RATIO_DECAY_SECONDS),
        )
        cost = ratio * (
            1.0 + self.expected_wait(view) + 0.5 * (view.in_flight + view.peers_in_flight) / capacity
        )
        # In thin traffic nothing is out anywhere: whoever was sent something just now goes last.
        cost += 0.3 * math.exp(-(now - view.last_sent_at) / (usual or 0.1))
        cost += 0.1 * self._rng.random()
        if view.record.zone != self._zone:
            cost += OTHER_ZONE_COST
        return cost + LAST_RESORT_COST * (now < view.backoff_until)

    def attempt_started(self, now: float, view: WorkerState) -> None:
        view.in_flight += 1
        view.last_sent_at = now

    def attempt_ended(self, view: WorkerState) -> None:
        view.in_flight -= 1

    def record_response(self, now: float, view: WorkerState, route: Route, waited: float, size: int) -> None:
        """Learn from an answer that took `waited` s and `size` bytes both ways."""
        usual = self.usual_latency(route)
        view.latency_ratio += LATENCY_RATIO_GAIN * (min(5.0, waited / max(0.001, usual)) - view.latency_ratio)
        view.latency_updated_at, view.consecutive_failures, view.backoff_until = now, 0, -math.inf
        self.outlier_detector.record_result(now, view.record.id, 0.0)
        service, region = view.record.service, self.region_of(view)
        self.locality.record_response(now, service, region, route.name, route.latency_target, waited, size)

    def record_failure(self, now: float, view: WorkerState) -> None:
        """Leave it out for a while: after a connection that did not come up, a reset, a silence."""
        view.backoff_until = now + min(
            MAX_FAILURE_BACKOFF_SECONDS, FAILURE_BACKOFF_SECONDS * 2**view.consecutive_failures
        )
        view.consecutive_failures += 1
        self.record_fault(now, view)

    def record_fault(self, now: float, view: WorkerState, fault: float = 1.0) -> None:
        """It answered with a failure, or (a smaller `fault`) seems to."""
        self.outlier_detector.record_result(now, view.record.id, fault)

    def record_silence(self, now: float, view: WorkerState) -> None:
        """Another worker answered a request that it had been given long before."""
        if self._has_capacity(view):
            self.record_fault(now, view, SILENCE_FAULT)

    def _has_capacity(self, view: WorkerState) -> bool:
        return view.in_flight + view.peers_in_flight < SPARE_CAPACITY_FRACTION * view.record.capacity

    def record_refusal(self, now: float, view: WorkerState) -> None:
        """It says that it has not run a request: with room, as far as known, that is a failure."""
        if self._has_capacity(view):
            self.record_fault(now, view)

    def record_overload(self, now: float, view: WorkerState) -> None:
        """It takes no more now."""
        view.latency_ratio = min(5.0, view.latency_ratio + 1.0)
        view.latency_updated_at = now
