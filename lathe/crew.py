"""The workers as this gatekeeper sees them, and the choice of one for a request. Pure."""

import math
import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from lathe.ledger import Worker

GAIN = 0.2  # weight of one answer in a worker's latency ratio
USUAL_GAIN = 0.05  # weight of one answer in a route's usual latency
FADE_S = 8.0  # in which a judgement of a worker grows old
SHUN_S = 0.7  # a worker that failed is left out for so long, doubled each time
SHUN_MOST_S = 5.0
NEAR_ZONE = 0.15  # x usual latency: what another zone of the region costs more than one's own
FAR_REGION = 1.6  # x usual latency: bytes between regions are dear, and so is their way
LAST_RESORT = 1e6  # a worker that is left out goes after all others


@dataclass(slots=True, eq=False)
class View:
    """What is known here of one worker."""

    worker: Worker
    out: int = 0  # requests of ours there
    ratio: float = 1.0  # its latency x usual
    judged: float = 0.0
    fails: int = 0
    shunned_until: float = -math.inf
    cold_until: float = -math.inf  # after an evacuation, whatever its beats say
    last: float = -math.inf  # when it was last sent something


class Crew:
    """All workers. `zone`, `regions` (zone to region): where this gatekeeper stands."""

    def __init__(self, zone: str, regions: dict[str, str], rng: random.Random) -> None:
        self._zone, self._regions, self._rng = zone, regions, rng
        self._region = regions.get(zone, "")
        self.views: dict[str, View] = {}
        self.by_service: dict[str, list[View]] = {}
        self._usual: dict[str, float] = {}  # s, by route
        self.evacuated: frozenset[str] = frozenset()

    def know(self, workers: Iterable[Worker]) -> None:
        """Take the list as it is now."""
        views: dict[str, View] = {}
        self.by_service = {}
        for worker in workers:
            view = self.views.get(worker.id)
            if view is None:
                view = View(worker)
            view.worker = worker
            views[worker.id] = view
            self.by_service.setdefault(worker.service, []).append(view)
        self.views = views

    def evacuate(self, now: float, zones: frozenset[str], cold_s: float) -> None:
        """Zones that get nothing from now on; the workers of zones taken back count as cold for `cold_s`."""
        for view in self.views.values():
            if view.worker.zone in self.evacuated - zones:
                view.cold_until = now + cold_s
        self.evacuated = zones

    def region(self, view: View) -> str:
        return self._regions.get(view.worker.zone, "")

    def usual(self, route: str, aim: float) -> float:
        """The usual latency of a route's answers, s."""
        return self._usual.get(route, aim / 4)

    def open(self, service: str, homes: Collection[str], tried: Collection[str]) -> list[View]:
        """The workers that a request may be sent to."""
        return [
            view
            for view in self.by_service.get(service, ())
            if view.worker.ready
            and view.worker.zone not in self.evacuated
            and view.worker.id not in tried
            and (not homes or self.region(view) in homes)
        ]

    def order(self, now: float, views: list[View], usual: float) -> list[View]:
        """Best first: by the time until its answer, as far as it is known here, and what the way costs."""
        return sorted(views, key=lambda view: self._cost(now, view, usual))

    def _cost(self, now: float, view: View, usual: float) -> float:
        capacity = max(1, view.worker.capacity)
        ratio = max(0.5, 1.0 + (view.ratio - 1.0) * math.exp(-(now - view.judged) / FADE_S))
        waiting = max(0, view.out + 1 - capacity) / capacity
        cost = ratio * (1.0 + waiting + 0.5 * view.out / capacity)
        # In thin traffic nothing is out anywhere: whoever was sent something just now goes last.
        cost += 0.3 * math.exp(-(now - view.last) / (usual or 0.1))
        cost += 0.1 * self._rng.random()
        if view.worker.zone != self._zone:
            cost += NEAR_ZONE if self.region(view) == self._region else FAR_REGION
        return cost + LAST_RESORT * (now < view.shunned_until)

    def sent(self, now: float, view: View) -> None:
        view.out += 1
        view.last = now

    def back(self, view: View) -> None:
        view.out -= 1

    def answered(self, now: float, view: View, route: str, aim: float, waited: float) -> None:
        usual = self.usual(route, aim)
        view.ratio += GAIN * (min(5.0, waited / max(0.001, usual)) - view.ratio)
        view.judged, view.fails, view.shunned_until = now, 0, -math.inf
        self._usual[route] = usual + USUAL_GAIN * (waited - usual)

    def failed(self, now: float, view: View) -> None:
        """Leave it out for a while: after a connection that did not come up, a reset, a silence."""
        view.shunned_until = now + min(SHUN_MOST_S, SHUN_S * 2**view.fails)
        view.fails += 1

    def busy(self, now: float, view: View) -> None:
        """It turned a request away."""
        view.ratio = min(5.0, view.ratio + 1.0)
        view.judged = now
