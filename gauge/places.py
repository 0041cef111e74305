"""The choice of a worker: the better of two drawn by weight, near before far. Pure; times are ms."""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

SPILL = 0.85  # of a worker's capacity out here or more: it counts as full, and the next ring is looked at
FULL = 1.0  # x capacity out here: taken only when all are so
SLOW_MOST = 6.0  # x usual latency, most that one worker is held to be slower
QUEUE = 0.5  # x of the work out at a worker that a request waits for: slots are served side by side


@dataclass(slots=True)
class Candidate:
    """One worker as this gatekeeper sees it; the proxy keeps one a worker and changes it in place."""

    id: str
    zone: str
    region: str
    capacity: float  # requests at the same time, this gatekeeper's part of them
    out: int = 0  # requests out there from here
    ratio: float = 1.0  # its latency x the usual of its service, a moving mean
    penalised_until: float = -math.inf  # after failures


@dataclass(frozen=True, slots=True)
class Here:
    """Where this gatekeeper stands, and the round trips from it (ms)."""

    zone: str
    region: str
    zone_trip: float = 2.0  # to another zone of the region
    region_trip: float = 40.0  # to another region


def expected(one: Candidate, here: Here, work: float, trip: float) -> float:
    """Expected time (ms) of a request of `work` ms there, the trip included."""
    ratio = min(SLOW_MOST, max(0.2, one.ratio))
    return trip + work * ratio * (1 + QUEUE * one.out / max(0.1, one.capacity))


def choose(rng: random.Random, now: float, candidates: Sequence[Candidate], here: Here, work: float,
           avoid: Sequence[str] = ()) -> Candidate | None:  # fmt: skip
    """A worker for one request, or None where there is none.

    Rings are looked at from the near to the far: the own region, its zones told apart by the trip, then the
    others. A ring whose drawn workers are full or penalised gives way to the next, at last to all.
    """
    near = [one for one in candidates if one.region == here.region and one.id not in avoid]
    far = [one for one in candidates if one.region != here.region and one.id not in avoid]
    best: Candidate | None = None
    best_cost = math.inf
    for ring in (near, far):
        for one in _two(rng, now, ring):
            trip = 0.0 if one.zone == here.zone else here.zone_trip
            trip = here.region_trip if one.region != here.region else trip
            cost = expected(one, here, work, trip)
            if now < one.penalised_until:
                cost += 1e9
            elif one.out >= FULL * one.capacity:
                cost += 1e6 * one.out / max(0.1, one.capacity)
            if cost < best_cost:
                best, best_cost = one, cost
        if best is not None and now >= best.penalised_until and best.out < SPILL * best.capacity:
            return best
    if best is None or best_cost < 1e6:
        return best
    # Two draws may both be bad by chance: look at all before giving a bad one a request.
    good = [one for one in near + far if now >= one.penalised_until and one.out < one.capacity]
    return min(good, key=lambda one: one.out / max(0.1, one.capacity)) if good else best


def _two(rng: random.Random, now: float, ring: Sequence[Candidate]) -> list[Candidate]:
    """Two different ones by capacity, those penalised only where there are no others."""
    able = [one for one in ring if now >= one.penalised_until] or list(ring)
    if len(able) <= 2:
        return able if rng.random() < 0.5 else able[::-1]
    first = rng.choices(able, [one.capacity for one in able])[0]
    second = rng.choices(able, [one.capacity for one in able])[0]
    while second is first:
        second = rng.choice(able)
    return [first, second]
