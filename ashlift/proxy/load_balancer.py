"""The workers as this gatekeeper sees them, and the choice of one for a request. Pure."""

import math
import random
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from ashlift.config.routing_table import Route
from ashlift.proxy.cluster_view import Worker
from ashlift.proxy.locality import LocalityRouting
from ashlift.traffic.outlier_detection import OutlierDetector, WorkerLoad

GAIN = 0.2  # weight of one answer in a worker's latency ratio
FADE_S = 8.0  # in which a judgement of a worker grows old
SHUN_S = 0.7  # a worker that failed is left out for so long, doubled each time
SHUN_MOST_S = 5.0
OTHERS_GAIN = 0.5  # weight of one piece of news in what others have under way
NEAR_ZONE = 0.15  # x usual latency: what another zone of the region costs more than one's own
NEXT_REGION = 1e3  # a region goes after all those that cost less
LOOKED_AT = 2  # workers of a region are drawn for a request, whatever their number: news of them are old
LOOKED_PAST = 1e2  # a worker that is not drawn goes after those of its region that are
OUT_KEPT_S = 0.1  # who is out is looked up again so often
HALF_FULL = 0.5  # x capacity: a worker with fewer requests has room, as far as known
SILENT = 0.5  # of a failure is a silence until another worker has answered
LAST_RESORT = 1e6  # a worker that is left out goes after all others


@dataclass(slots=True, eq=False)
class WorkerState:
    """What is known here of one worker."""

    worker: Worker
    out: int = 0  # requests of ours there
    others: float = 0.0  # requests of other gatekeepers there, as last told
    ratio: float = 1.0  # its latency x usual
    judged: float = 0.0
    fails: int = 0
    shunned_until: float = -math.inf
    cold_until: float = -math.inf  # after an evacuation, whatever its beats say
    last: float = -math.inf  # when it was last sent something


class LoadBalancer:
    """All workers. `zone`, `regions` (zone to region): where this gatekeeper stands."""

    def __init__(self, zone: str, regions: dict[str, str], rng: random.Random) -> None:
        self._zone, self._regions, self._rng = zone, regions, rng
        self._region = regions.get(zone, "")
        self.views: dict[str, WorkerState] = {}
        self.by_service: dict[str, list[WorkerState]] = {}
        self.spill = LocalityRouting(self._region, rng)
        self.evacuated: frozenset[str] = frozenset()
        self.jury, self.members = OutlierDetector(), 1
        self._out: dict[str, tuple[float, set[str]]] = {}  # by service: when it was looked up, who is out

    def know(self, workers: Iterable[Worker]) -> None:
        """Take the list as it is now."""
        views: dict[str, WorkerState] = {}
        self.by_service = {}
        for worker in workers:
            view = self.views.get(worker.id)
            if view is None:
                view = WorkerState(worker)
            view.worker = worker
            views[worker.id] = view
            self.by_service.setdefault(worker.service, []).append(view)
        self.views = views
        self.jury.retain_workers(views)

    def evacuate(self, now: float, zones: frozenset[str], cold_s: float) -> None:
        """Zones that get nothing from now on; the workers of zones taken back count as cold for `cold_s`."""
        for view in self.views.values():
            if view.worker.zone in self.evacuated - zones:
                view.cold_until = now + cold_s
        self.evacuated = zones

    def outs(self) -> dict[str, int]:
        """Our requests under way, by worker."""
        return {key: view.out for key, view in self.views.items() if view.out}

    def heard(self, outs: Mapping[str, int], ours: Mapping[str, int]) -> None:
        """Take the requests of all under way, by worker, and what was ours of them."""
        for key, view in self.views.items():
            view.others += OTHERS_GAIN * (max(0, outs.get(key, 0) - ours.get(key, 0)) - view.others)

    def wait(self, view: WorkerState) -> float:
        """What a request more waits for there until its work begins, x the work of one."""
        capacity = max(1, view.worker.capacity)
        return max(0.0, view.out + view.others + 1 - capacity) / capacity

    def region(self, view: WorkerState) -> str:
        return self._regions.get(view.worker.zone, "")

    def usual(self, route: Route) -> float:
        """The usual latency of a route's answers, s."""
        return self.spill.usual(route.name, route.latency_target)

    def open(self, service: str, homes: Collection[str], tried: Collection[str]) -> list[WorkerState]:
        """The workers that a request may be sent to."""
        return [
            view
            for view in self.by_service.get(service, ())
            if view.worker.ready
            and view.worker.zone not in self.evacuated
            and view.worker.id not in tried
            and (not homes or self.region(view) in homes)
        ]

    def order(self, now: float, views: list[WorkerState], route: Route) -> list[WorkerState]:
        """Best first: a region that costs little; there by the time until its answer, as far as known."""
        usual, costs, service = self.usual(route), dict[str, float](), ""
        if views:
            service = views[0].worker.service
            waits: dict[str, list[float]] = {}
            for view in views:
                waits.setdefault(self.region(view), []).append(self.wait(view))
            for region, each in waits.items():
                costs[region] = self.spill.cost(
                    now,
                    service,
                    region,
                    route.name,
                    route.latency_target,
                    route.idempotent,
                    sum(each) / len(each),
                )
        regions = self.spill.ranked(now, service, route.name, costs)
        ranks = {region: at * NEXT_REGION for at, region in enumerate(regions)}
        # All hear the same of the others, and late: were all looked at, everybody would turn to the same one.
        random, left_out = self._rng.random, set[str]()
        bad = self._bad(now, service)
        for region in ranks:
            ids = [view.worker.id for view in views if self.region(view) == region]
            ids = [one for one in ids if one not in bad]
            ids.sort(key=lambda _: random())
            left_out.update(ids[LOOKED_AT:])
        return sorted(
            views,
            key=lambda view: (
                ranks[self.region(view)]
                + self._cost(now, view, usual)
                + LOOKED_PAST * (view.worker.id in left_out)
                + LAST_RESORT * (view.worker.id in bad)
            ),
        )

    def _bad(self, now: float, service: str) -> set[str]:
        """The workers of a service that fail too often; they go after all others."""
        at, found = self._out.get(service, (-math.inf, set[str]()))
        if now - at < OUT_KEPT_S:
            return found
        found, doubts = set[str](), self.jury.suspects()
        if doubts:
            groups: dict[str, dict[str, WorkerLoad]] = {}
            for view in self.by_service.get(service, ()):
                if view.worker.ready and view.worker.zone not in self.evacuated:
                    group = groups.setdefault(self.region(view), {})
                    group[view.worker.id] = WorkerLoad(max(1, view.worker.capacity), view.out + view.others)
            for group in groups.values():
                found |= self.jury.ejected_workers(now, group, self.members)
        self._out[service] = now, found
        return found

    def _cost(self, now: float, view: WorkerState, usual: float) -> float:
        capacity = max(1, view.worker.capacity)
        ratio = max(0.5, 1.0 + (view.ratio - 1.0) * math.exp(-(now - view.judged) / FADE_S))
        cost = ratio * (1.0 + self.wait(view) + 0.5 * (view.out + view.others) / capacity)
        # In thin traffic nothing is out anywhere: whoever was sent something just now goes last.
        cost += 0.3 * math.exp(-(now - view.last) / (usual or 0.1))
        cost += 0.1 * self._rng.random()
        if view.worker.zone != self._zone:
            cost += NEAR_ZONE
        return cost + LAST_RESORT * (now < view.shunned_until)

    def sent(self, now: float, view: WorkerState) -> None:
        view.out += 1
        view.last = now

    def back(self, view: WorkerState) -> None:
        view.out -= 1

    def answered(self, now: float, view: WorkerState, route: Route, waited: float, size: int) -> None:
        """Learn from an answer that took `waited` s and `size` bytes both ways."""
        usual = self.usual(route)
        view.ratio += GAIN * (min(5.0, waited / max(0.001, usual)) - view.ratio)
        view.judged, view.fails, view.shunned_until = now, 0, -math.inf
        self.jury.record_result(now, view.worker.id, 0.0)
        service, region = view.worker.service, self.region(view)
        self.spill.answered(now, service, region, route.name, route.latency_target, waited, size)

    def failed(self, now: float, view: WorkerState) -> None:
        """Leave it out for a while: after a connection that did not come up, a reset, a silence."""
        view.shunned_until = now + min(SHUN_MOST_S, SHUN_S * 2**view.fails)
        view.fails += 1
        self.erred(now, view)

    def erred(self, now: float, view: WorkerState, fault: float = 1.0) -> None:
        """It answered with a failure, or (a smaller `fault`) seems to."""
        self.jury.record_result(now, view.worker.id, fault)

    def silent(self, now: float, view: WorkerState) -> None:
        """Another worker answered a request that it had been given long before."""
        if self._room(view):
            self.erred(now, view, SILENT)

    def _room(self, view: WorkerState) -> bool:
        return view.out + view.others < HALF_FULL * view.worker.capacity

    def refused(self, now: float, view: WorkerState) -> None:
        """It says that it has not run a request: with room, as far as known, that is a failure."""
        if self._room(view):
            self.erred(now, view)

    def busy(self, now: float, view: WorkerState) -> None:
        """It takes no more now."""
        view.ratio = min(5.0, view.ratio + 1.0)
        view.judged = now
