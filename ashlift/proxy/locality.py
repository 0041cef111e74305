"""What it costs to serve a request in a region: answers that come late against bytes on dear lines.

Pure. Per service and region, the *lag* is how much longer answers take than usual (s), a mean that fades.
Costs are in worth: a request's own is 1, or 2 where it must not be repeated.
"""

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass

LAG_GAIN = 0.1  # weight of one answer of the quickest route in a lag; less, the slower its route is
LAG_DECAY_SECONDS = 2.0  # in which a lag fades, so that a region that was left is tried again
USUAL_LATENCY_GAIN = 0.05  # weight of one answer in a route's usual latency
LAGGING_USUAL_LATENCY_GAIN = 0.005  # the same while the region lags
CALM_LAG = 0.25  # x usual: with less lag, a region's answers are usual ones
# a usual latency is never called less: what is learnt from quicker answers must not pass 0
MIN_LATENCY_SECONDS = 0.001
WARM_UP_RESPONSES = 30  # answers that count as usual, whatever the lag
MAX_LAG_LATENCIES = 6.0  # x usual, the most that one answer lags
RISK_ONE_LATENCY = 0.8  # x aim: a mean latency at which answers are late as often as not
RISK_EXPONENT = 4
QUEUEING_RISK_WEIGHT = 1.0  # x its own risk: a request more delays the others there, too
SERVICE_LATENCY_GAIN = 0.05
SIZE_GAIN = 0.1
INITIAL_SIZE_BYTES = 1500.0  # bytes
CROSS_REGION_BYTE_COST, CROSS_ZONE_BYTE_COST = 8e-5, 1e-5  # worth of a byte between regions, between zones
CROSS_REGION_ROUND_TRIP_SECONDS = 0.03  # way to another region and back, until its lag is known
# of a region's share that may leave it in a second: all hear the same, 0.6 s late
MAX_SHARE_SHIFT_PER_SECOND = 0.5
MAX_SHIFT_INTERVAL_SECONDS = 1.0  # a pause between two requests counts for no more
MAX_REGION_SHARES = 2000  # kept
COST_JITTER = 0.02  # worth, and
RISK_JITTER = 0.3  # x a risk: so that not all turn at once


@dataclass(slots=True)
class RegionLag:
    """How long answers take beyond the usual, s, as of `at`."""

    seconds: float = 0.0
    updated_at: float = -math.inf

    def decayed(self, now: float) -> float:
        return self.seconds * math.exp(-(now - self.updated_at) / LAG_DECAY_SECONDS) if self.seconds else 0.0


@dataclass(slots=True)
class RouteLatency:
    """What is usual for a route."""

    seconds: float  # s
    responses: int = 0
    size_bytes: float = INITIAL_SIZE_BYTES  # bytes, request and answer


@dataclass(slots=True)
class RegionShares:
    """How requests of one kind are shared out over the regions that they may go to, as of `at`."""

    shares: dict[str, float]
    updated_at: float


class LocalityRouting:
    def __init__(self, region: str, rng: random.Random) -> None:
        self._region, self._rng = region, rng
        self._lags: dict[tuple[str, str], RegionLag] = {}
        self._route_latencies: dict[str, RouteLatency] = {}
        self._shares: dict[tuple[str, str, tuple[str, ...]], RegionShares] = {}
        self._service_latencies: dict[str, float] = {}  # s, usual latency of all answers of a service
        self._quickest_routes: dict[str, float] = {}  # s, usual latency of the quickest route, by service

    def usual_latency(self, route: str, aim: float) -> float:
        """The usual latency of a route's answers, s."""
        custom = self._route_latencies.get(route)
        return custom.seconds if custom is not None else aim / 4

    def lag(self, now: float, service: str, region: str) -> float:
        """s, never less than none."""
        lag = self._lags.get((service, region))
        return max(0.0, lag.decayed(now)) if lag is not None else 0.0

    def record_response(
        self, now: float, service: str, region: str, route: str, aim: float, waited: float, size: int
    ) -> None:
        """Learn from an answer: `waited` s, `size` bytes both ways."""
        custom = self._route_latencies.get(route)
        if custom is None:
            custom = self._route_latencies[route] = RouteLatency(aim / 4)
        usual = custom.seconds = max(MIN_LATENCY_SECONDS, custom.seconds)
        quickest = self._quickest_routes[service] = min(
            usual, self._quickest_routes.get(service, usual) * 1.01
        )
        lag = self._lags.setdefault((service, region), RegionLag())
        gain = LAG_GAIN * quickest / usual
        before = lag.decayed(now)
        lag.seconds, lag.updated_at = (
            before + gain * (min(MAX_LAG_LATENCIES * usual, waited - usual) - before),
            now,
        )
        work = self._service_latencies.get(service, usual)
        self._service_latencies[service] = work + SERVICE_LATENCY_GAIN * (usual - work)
        custom.responses += 1
        custom.size_bytes += SIZE_GAIN * (size - custom.size_bytes)
        calm = custom.responses <= WARM_UP_RESPONSES or lag.seconds < CALM_LAG * usual
        if region == self._region or custom.responses <= WARM_UP_RESPONSES:
            gain = USUAL_LATENCY_GAIN if calm else LAGGING_USUAL_LATENCY_GAIN
            custom.seconds = max(MIN_LATENCY_SECONDS, usual + gain * (min(waited, 4 * usual) - usual))

    def cost(
        self, now: float, service: str, region: str, route: str, aim: float, repeatable: bool, wait: float
    ) -> float:
        """What one more request of a route costs there, in worth. `wait`: for so many others' work."""
        custom = self._route_latencies.get(route)
        usual, size = (
            (custom.seconds, custom.size_bytes) if custom is not None else (aim / 4, INITIAL_SIZE_BYTES)
        )
        lag = max(self.lag(now, service, region), wait * self._service_latencies.get(service, usual))
        cost = COST_JITTER * self._rng.random()
        if region != self._region:
            lag = max(lag, CROSS_REGION_ROUND_TRIP_SECONDS)
            cost += CROSS_REGION_BYTE_COST * size
        risk = min(1.0, ((usual + lag) / max(0.001, RISK_ONE_LATENCY * aim)) ** RISK_EXPONENT)
        risk *= 1 + RISK_JITTER * (2 * self._rng.random() - 1)
        return cost + QUEUEING_RISK_WEIGHT * risk * (1.0 if repeatable else 2.0)

    def rank_regions(self, now: float, service: str, route: str, costs: Mapping[str, float]) -> list[str]:
        """Regions by their `costs`, but the first is drawn: were all gatekeepers to turn to the cheapest at
        once, it would be full before they heard of it, and the next one after that. So shares drift to it."""
        cheap = sorted(costs, key=lambda region: costs[region])
        if len(cheap) < 2:
            return cheap
        key = service, route, tuple(sorted(costs))
        shares = self._shares.get(key)
        if shares is None:
            if len(self._shares) >= MAX_REGION_SHARES:
                self._shares.clear()
            at_home = self._region in costs
            first = {one: float(one == self._region) if at_home else 1 / len(cheap) for one in key[2]}
            shares = self._shares[key] = RegionShares(first, now)
        stays = math.exp(
            -MAX_SHARE_SHIFT_PER_SECOND * min(MAX_SHIFT_INTERVAL_SECONDS, now - shares.updated_at)
        )
        parts, shares.updated_at = shares.shares, now
        for region in parts:
            parts[region] = parts[region] * stays + (1 - stays) * (region == cheap[0])
        drawn = self._rng.choices([*parts], [*parts.values()])[0]
        return [drawn, *(region for region in cheap if region != drawn)]
