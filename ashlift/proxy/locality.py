"""What it costs to serve a request in a region: answers that come late against bytes on dear lines.

Pure. Per service and region, the *lag* is how much longer answers take than usual (s), a mean that fades.
Costs are in worth: a request's own is 1, or 2 where it must not be repeated.
"""

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass

LAG_GAIN = 0.1  # weight of one answer of the quickest route in a lag; less, the slower its route is
LAG_FADE_S = 2.0  # in which a lag fades, so that a region that was left is tried again
USUAL_GAIN = 0.05  # weight of one answer in a route's usual latency
USUAL_LEAK = 0.005  # the same while the region lags
CALM = 0.25  # x usual: with less lag, a region's answers are usual ones
LEAST_S = 0.001  # a usual latency is never called less: what is learnt from quicker answers must not pass 0
FIRST = 30  # answers that count as usual, whatever the lag
EXCESS_MOST = 6.0  # x usual, the most that one answer lags
RISK_AT = 0.8  # x aim: a mean latency at which answers are late as often as not
RISK_POWER = 4
OTHERS = 1.0  # x its own risk: a request more delays the others there, too
WORK_GAIN = 0.05
SIZE_GAIN = 0.1
SIZE_FIRST = 1500.0  # bytes
FAR_BYTE, ZONE_BYTE = 8e-5, 1e-5  # worth of a byte between regions, between zones
FAR_S = 0.03  # way to another region and back, until its lag is known
DRIFT = 0.5  # of a region's share that may leave it in a second: all hear the same, 0.6 s late
DRIFT_MOST_S = 1.0  # a pause between two requests counts for no more
SHARES_MOST = 2000  # kept
NOISE = 0.02  # worth, and
WAVER = 0.3  # x a risk: so that not all turn at once


@dataclass(slots=True)
class RegionLag:
    """How long answers take beyond the usual, s, as of `at`."""

    s: float = 0.0
    at: float = -math.inf

    def now(self, now: float) -> float:
        return self.s * math.exp(-(now - self.at) / LAG_FADE_S) if self.s else 0.0


@dataclass(slots=True)
class RouteLatency:
    """What is usual for a route."""

    latency: float  # s
    answers: int = 0
    size: float = SIZE_FIRST  # bytes, request and answer


@dataclass(slots=True)
class RegionShares:
    """How requests of one kind are shared out over the regions that they may go to, as of `at`."""

    parts: dict[str, float]
    at: float


class LocalityRouting:
    def __init__(self, region: str, rng: random.Random) -> None:
        self._region, self._rng = region, rng
        self._lags: dict[tuple[str, str], RegionLag] = {}
        self._customs: dict[str, RouteLatency] = {}
        self._shares: dict[tuple[str, str, tuple[str, ...]], RegionShares] = {}
        self._work: dict[str, float] = {}  # s, usual latency of all answers of a service
        self._quickest: dict[str, float] = {}  # s, usual latency of the quickest route, by service

    def usual(self, route: str, aim: float) -> float:
        """The usual latency of a route's answers, s."""
        custom = self._customs.get(route)
        return custom.latency if custom is not None else aim / 4

    def lag(self, now: float, service: str, region: str) -> float:
        """s, never less than none."""
        lag = self._lags.get((service, region))
        return max(0.0, lag.now(now)) if lag is not None else 0.0

    def answered(
        self, now: float, service: str, region: str, route: str, aim: float, waited: float, size: int
    ) -> None:
        """Learn from an answer: `waited` s, `size` bytes both ways."""
        custom = self._customs.get(route)
        if custom is None:
            custom = self._customs[route] = RouteLatency(aim / 4)
        usual = custom.latency = max(LEAST_S, custom.latency)
        quickest = self._quickest[service] = min(usual, self._quickest.get(service, usual) * 1.01)
        lag = self._lags.setdefault((service, region), RegionLag())
        gain = LAG_GAIN * quickest / usual
        before = lag.now(now)
        lag.s, lag.at = before + gain * (min(EXCESS_MOST * usual, waited - usual) - before), now
        work = self._work.get(service, usual)
        self._work[service] = work + WORK_GAIN * (usual - work)
        custom.answers += 1
        custom.size += SIZE_GAIN * (size - custom.size)
        calm = custom.answers <= FIRST or lag.s < CALM * usual
        if region == self._region or custom.answers <= FIRST:
            gain = USUAL_GAIN if calm else USUAL_LEAK
            custom.latency = max(LEAST_S, usual + gain * (min(waited, 4 * usual) - usual))

    def cost(
        self, now: float, service: str, region: str, route: str, aim: float, repeatable: bool, wait: float
    ) -> float:
        """What one more request of a route costs there, in worth. `wait`: for so many others' work."""
        custom = self._customs.get(route)
        usual, size = (custom.latency, custom.size) if custom is not None else (aim / 4, SIZE_FIRST)
        lag = max(self.lag(now, service, region), wait * self._work.get(service, usual))
        cost = NOISE * self._rng.random()
        if region != self._region:
            lag = max(lag, FAR_S)
            cost += FAR_BYTE * size
        risk = min(1.0, ((usual + lag) / max(0.001, RISK_AT * aim)) ** RISK_POWER)
        risk *= 1 + WAVER * (2 * self._rng.random() - 1)
        return cost + OTHERS * risk * (1.0 if repeatable else 2.0)

    def ranked(self, now: float, service: str, route: str, costs: Mapping[str, float]) -> list[str]:
        """Regions by their `costs`, but the first is drawn: were all gatekeepers to turn to the cheapest at
        once, it would be full before they heard of it, and the next one after that. So shares drift to it."""
        cheap = sorted(costs, key=lambda region: costs[region])
        if len(cheap) < 2:
            return cheap
        key = service, route, tuple(sorted(costs))
        shares = self._shares.get(key)
        if shares is None:
            if len(self._shares) >= SHARES_MOST:
                self._shares.clear()
            at_home = self._region in costs
            first = {one: float(one == self._region) if at_home else 1 / len(cheap) for one in key[2]}
            shares = self._shares[key] = RegionShares(first, now)
        stays = math.exp(-DRIFT * min(DRIFT_MOST_S, now - shares.at))
        parts, shares.at = shares.parts, now
        for region in parts:
            parts[region] = parts[region] * stays + (1 - stays) * (region == cheap[0])
        drawn = self._rng.choices([*parts], [*parts.values()])[0]
        return [drawn, *(region for region in cheap if region != drawn)]
