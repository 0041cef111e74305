"""What it costs to serve a request in a region: late responses against bytes on expensive links. Pure.

By service and region, the *lag* is how much longer responses take than usual: a decaying mean in seconds.
Costs are in units of a request's value: 1, or 2 for a request that must not be repeated.
"""

import math
import random
from collections.abc import Mapping
from typing import Final

from ashlift.config.routing_table import Route

LAG_GAIN: Final = 0.1  # weight of one response of the quickest route in a lag; less, the slower its route is
LAG_DECAY_SECONDS: Final = 2.0  # so that a region that was left is tried again
USUAL_LATENCY_GAIN: Final = 0.05  # weight of one response in a route's usual latency
LAGGING_USUAL_LATENCY_GAIN: Final = 0.005  # the same while the region lags
CALM_LAG: Final = 0.25  # usual latencies: with less lag, a region's responses count as usual ones
MIN_LATENCY_SECONDS: Final = 0.001  # floor of a usual latency, so that what is learnt cannot pass 0
WARM_UP_RESPONSES: Final = 30  # of a route count as usual, whatever the lag
MAX_LAG_LATENCIES: Final = 6.0  # usual latencies that one response lags at most
MAX_USUAL_LATENCIES: Final = 4  # of one response in the usual latency
INITIAL_LATENCY_FRACTION: Final = 1 / 4  # of the latency target, until there are responses
QUICKEST_ROUTE_GROWTH: Final = 1.01  # a response: so that a quickest route that got slow is forgotten
RISK_ONE_LATENCY: Final = 0.8  # latency targets: a mean latency at which responses are late half of the time
RISK_EXPONENT: Final = 4
QUEUEING_RISK_WEIGHT: Final = 1.0  # a request more delays the others there, too
NON_IDEMPOTENT_WEIGHT: Final = 2.0
SERVICE_LATENCY_GAIN: Final = 0.05
SIZE_GAIN: Final = 0.1
INITIAL_SIZE_BYTES: Final = 1500.0
CROSS_REGION_BYTE_COST: Final = 8e-5
CROSS_REGION_ROUND_TRIP_SECONDS: Final = 0.03  # until the lag of the region is known
# A region loses at most this fraction of its share in a second: all proxies see the same, 0.6 s late.
MAX_SHARE_SHIFT_PER_SECOND: Final = 0.5
MAX_SHIFT_INTERVAL_SECONDS: Final = 1.0  # a longer pause between two requests counts as this
MAX_REGION_SHARES: Final = 2000  # entries
COST_JITTER: Final = 0.02  # so that not all proxies turn to a region at once,
RISK_JITTER: Final = 0.3  # and a fraction of the risk


class RegionLag:
    """How much longer than usual responses took at `updated_at`, in seconds."""

    __slots__ = ("seconds", "updated_at")

    def __init__(self) -> None:
        self.seconds = 0.0
        self.updated_at = -math.inf

    def decayed(self, now: float) -> float:
        """The lag now, in seconds; negative while responses are quicker than usual."""
        if not self.seconds:
            return 0.0
        return self.seconds * math.exp(-(now - self.updated_at) / LAG_DECAY_SECONDS)


class RouteLatency:
    """What is usual for a route: seconds, and bytes of request and response."""

    __slots__ = ("responses", "seconds", "size_bytes")

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.responses = 0
        self.size_bytes: float = INITIAL_SIZE_BYTES


class RegionShares:
    """How requests of one kind were shared among the regions allowed for them at `updated_at`."""

    __slots__ = ("shares", "updated_at")

    def __init__(self, shares: dict[str, float], updated_at: float) -> None:
        self.shares = shares
        self.updated_at = updated_at


class LocalityRouting:
    """Learns latencies by route and region, and ranks regions. `region`: the proxy's own."""

    def __init__(self, region: str, rng: random.Random) -> None:
        self._region = region
        self._rng = rng
        self._lags: dict[tuple[str, str], RegionLag] = {}  # by service and region
        self._route_latencies: dict[str, RouteLatency] = {}
        self._shares: dict[tuple[str, str, tuple[str, ...]], RegionShares] = {}
        self._service_latencies: dict[str, float] = {}  # s, of all responses of a service
        self._quickest_routes: dict[str, float] = {}  # s, usual latency of a service's quickest route

    def usual_latency(self, route: Route) -> float:
        """The usual latency of a route's responses, in seconds."""
        known = self._route_latencies.get(route.name)
        return known.seconds if known is not None else route.latency_target * INITIAL_LATENCY_FRACTION

    def lag(self, now: float, service: str, region: str) -> float:
        """The lag of a service in a region, in seconds, at least 0."""
        lag = self._lags.get((service, region))
        return max(0.0, lag.decayed(now)) if lag is not None else 0.0

    def record_response(
        self, now: float, service: str, region: str, route: Route, elapsed: float, size_bytes: int
    ) -> None:
        """Learn from a response that took `elapsed` seconds, and `size_bytes` with its request."""
        latency = self._route_latencies.get(route.name)
        if latency is None:
            latency = RouteLatency(route.latency_target * INITIAL_LATENCY_FRACTION)
            self._route_latencies[route.name] = latency
        usual = max(MIN_LATENCY_SECONDS, latency.seconds)
        latency.seconds = usual
        lag = self._record_lag(now, service, region, usual, elapsed)
        service_latency = self._service_latencies.get(service, usual)
        self._service_latencies[service] = service_latency + SERVICE_LATENCY_GAIN * (usual - service_latency)
        latency.responses += 1
        latency.size_bytes += SIZE_GAIN * (size_bytes - latency.size_bytes)
        is_warming_up = latency.responses <= WARM_UP_RESPONSES
        if region == self._region or is_warming_up:
            is_calm = is_warming_up or lag < CALM_LAG * usual
            gain = USUAL_LATENCY_GAIN if is_calm else LAGGING_USUAL_LATENCY_GAIN
            learnt = usual + gain * (min(elapsed, MAX_USUAL_LATENCIES * usual) - usual)
            latency.seconds = max(MIN_LATENCY_SECONDS, learnt)

    def _record_lag(self, now: float, service: str, region: str, usual: float, elapsed: float) -> float:
        """Add a response to the lag of its region; the lag after it."""
        quickest = min(usual, self._quickest_routes.get(service, usual) * QUICKEST_ROUTE_GROWTH)
        self._quickest_routes[service] = quickest
        lag = self._lags.setdefault((service, region), RegionLag())
        gain = LAG_GAIN * quickest / usual
        before = lag.decayed(now)
        lag.seconds = before + gain * (min(MAX_LAG_LATENCIES * usual, elapsed - usual) - before)
        lag.updated_at = now
        return lag.seconds

    def cost(self, now: float, service: str, region: str, route: Route, expected_wait: float) -> float:
        """What one more request of a route costs in a region.

        `expected_wait`: until its work begins there, in units of one request's work.
        """
        known = self._route_latencies.get(route.name)
        usual = known.seconds if known is not None else route.latency_target * INITIAL_LATENCY_FRACTION
        size_bytes = known.size_bytes if known is not None else INITIAL_SIZE_BYTES
        queueing = expected_wait * self._service_latencies.get(service, usual)
        lag = max(self.lag(now, service, region), queueing)
        cost = COST_JITTER * self._rng.random()
        if region != self._region:
            lag = max(lag, CROSS_REGION_ROUND_TRIP_SECONDS)
            cost += CROSS_REGION_BYTE_COST * size_bytes
        risk_one = max(0.001, RISK_ONE_LATENCY * route.latency_target)
        risk = min(1.0, ((usual + lag) / risk_one) ** RISK_EXPONENT)
        risk *= 1 + RISK_JITTER * (2 * self._rng.random() - 1)
        return cost + QUEUEING_RISK_WEIGHT * risk * (1.0 if route.idempotent else NON_IDEMPOTENT_WEIGHT)

    def rank_regions(self, now: float, service: str, route: str, costs: Mapping[str, float]) -> list[str]:
        """Regions by their costs, except that the first one is drawn by shares that shift to the cheapest.

        Were all proxies to turn to the cheapest at once, it would be full before they heard of it, and the
        next one after that.
        """
        by_cost = sorted(costs, key=lambda region: costs[region])
        if len(by_cost) < 2:
            return by_cost
        shares = self._shifted_shares(now, (service, route, tuple(sorted(costs))), by_cost[0])
        first = self._rng.choices([*shares], [*shares.values()])[0]
        return [first, *(region for region in by_cost if region != first)]

    def _shifted_shares(
        self, now: float, key: tuple[str, str, tuple[str, ...]], cheapest: str
    ) -> dict[str, float]:
        known = self._shares.get(key)
        if known is None:
            known = self._initial_shares(now, key)
        interval = min(MAX_SHIFT_INTERVAL_SECONDS, now - known.updated_at)
        kept = math.exp(-MAX_SHARE_SHIFT_PER_SECOND * interval)
        known.updated_at = now
        shares = known.shares
        for region in shares:
            shares[region] = shares[region] * kept + (1 - kept) * (region == cheapest)
        return shares

    def _initial_shares(self, now: float, key: tuple[str, str, tuple[str, ...]]) -> RegionShares:
        """All to the own region, or an equal share to each where that is not allowed."""
        if len(self._shares) >= MAX_REGION_SHARES:
            self._shares.clear()
        regions = key[2]
        if self._region in regions:
            shares = {region: float(region == self._region) for region in regions}
        else:
            shares = {region: 1 / len(regions) for region in regions}
        known = self._shares[key] = RegionShares(shares, now)
        return known
