"""Cost of serving a request in a region: the risk of a late response plus cross-region traffic. No I/O.

The baseline latency of a route is a moving average of its response times. The excess latency of a service in
a region is the moving average of how far its response times exceed the baseline; it decays over time. A cost
of 1 equals a late response to an idempotent request.
"""

import math
import random
from collections.abc import Mapping
from typing import Final

from ashlift.config.routing_table import Route

# A gain is the weight of one sample in a moving average.
EXCESS_LATENCY_GAIN: Final = 0.1  # for the fastest route; proportionally less for slower ones
EXCESS_LATENCY_DECAY_SECONDS: Final = 2.0  # lets a region that gets no requests be tried again
BASELINE_LATENCY_GAIN: Final = 0.05
DEGRADED_BASELINE_LATENCY_GAIN: Final = 0.005  # while the excess latency of the region is high
MAX_NORMAL_EXCESS_FRACTION: Final = 0.25  # of the baseline; a higher excess latency counts as degraded
MIN_LATENCY_SECONDS: Final = 0.001  # lower bound of a baseline, which keeps it positive
INITIAL_RESPONSES: Final = 30  # of a route, which set its baseline whatever the excess latency
MAX_EXCESS_BASELINES: Final = 6.0  # bound of one sample of the excess latency, in baselines
MAX_SAMPLE_BASELINES: Final = 4  # bound of one sample of the baseline, in baselines
INITIAL_LATENCY_FRACTION: Final = 1 / 4  # of the latency target: the baseline before the first response
FASTEST_ROUTE_GROWTH: Final = 1.01  # per response, so that the minimum follows a route that became slower
MAX_RISK_TARGET_FRACTION: Final = 0.8  # of the latency target: the latency at which the risk reaches 1
RISK_EXPONENT: Final = 4
QUEUEING_RISK_WEIGHT: Final = 1.0  # one more request also delays those queued in the region
NON_IDEMPOTENT_WEIGHT: Final = 2.0
SERVICE_LATENCY_GAIN: Final = 0.05
SIZE_GAIN: Final = 0.1
INITIAL_SIZE_BYTES: Final = 1500.0
CROSS_REGION_BYTE_COST: Final = 8e-5
CROSS_REGION_ROUND_TRIP_SECONDS: Final = 0.03  # lower bound of the excess latency of another region
# All proxies act on the same load reports, 0.6 s old; a faster shift would overload the next region.
MAX_SHARE_SHIFT_PER_SECOND: Final = 0.5
MAX_SHIFT_INTERVAL_SECONDS: Final = 1.0
MAX_REGION_SHARES: Final = 2000  # entries
# Random parts of a cost keep the proxies from all switching to a region at once.
COST_JITTER: Final = 0.02
RISK_JITTER: Final = 0.3  # as a fraction of the risk


class ExcessLatency:
    """Moving average, at `updated_at`, of how far response times exceed the baseline, in seconds."""

    __slots__ = ("seconds", "updated_at")

    def __init__(self) -> None:
        self.seconds = 0.0
        self.updated_at = -math.inf

    def decayed(self, now: float) -> float:
        """The excess latency now, in seconds; negative while responses are faster than the baseline."""
        if not self.seconds:
            return 0.0
        return self.seconds * math.exp(-(now - self.updated_at) / EXCESS_LATENCY_DECAY_SECONDS)


class RouteStatistics:
    """Moving averages for a route: the baseline latency, and the size of request plus response."""

    __slots__ = ("responses", "seconds", "size_bytes")

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.responses = 0
        self.size_bytes: float = INITIAL_SIZE_BYTES


class RegionShares:
    """The fraction of requests sent to each allowed region, as of `updated_at`."""

    __slots__ = ("shares", "updated_at")

    def __init__(self, shares: dict[str, float], updated_at: float) -> None:
        self.shares = shares
        self.updated_at = updated_at


class LocalityRouting:
    """Tracks latencies by route and region, and ranks regions. `region`: the proxy's own."""

    def __init__(self, region: str, rng: random.Random) -> None:
        self._region = region
        self._rng = rng
        self._excess_latencies: dict[tuple[str, str], ExcessLatency] = {}  # by service and region
        self._route_statistics: dict[str, RouteStatistics] = {}
        self._shares: dict[tuple[str, str, tuple[str, ...]], RegionShares] = {}
        self._service_latencies: dict[str, float] = {}  # seconds, mean of its routes' baselines
        self._fastest_route_latencies: dict[str, float] = {}  # seconds, by service

    def baseline_latency(self, route: Route) -> float:
        """The baseline latency of a route, in seconds."""
        known = self._route_statistics.get(route.name)
        return known.seconds if known is not None else route.latency_target * INITIAL_LATENCY_FRACTION

    def excess_latency(self, now: float, service: str, region: str) -> float:
        """The excess latency of a service in a region, in seconds, at least 0."""
        excess_latency = self._excess_latencies.get((service, region))
        return max(0.0, excess_latency.decayed(now)) if excess_latency is not None else 0.0

    def record_response(
        self, now: float, service: str, region: str, route: Route, elapsed: float, size_bytes: int
    ) -> None:
        """Record a response that took `elapsed` seconds; `size_bytes`: of request plus response."""
        statistics = self._route_statistics.get(route.name)
        if statistics is None:
            statistics = RouteStatistics(route.latency_target * INITIAL_LATENCY_FRACTION)
            self._route_statistics[route.name] = statistics
        baseline = max(MIN_LATENCY_SECONDS, statistics.seconds)
        statistics.seconds = baseline
        excess = self._record_excess_latency(now, service, region, baseline, elapsed)
        service_latency = self._service_latencies.get(service, baseline)
        self._service_latencies[service] = service_latency + SERVICE_LATENCY_GAIN * (
            baseline - service_latency
        )
        statistics.responses += 1
        statistics.size_bytes += SIZE_GAIN * (size_bytes - statistics.size_bytes)
        is_initial = statistics.responses <= INITIAL_RESPONSES
        if region == self._region or is_initial:
            is_normal = is_initial or excess < MAX_NORMAL_EXCESS_FRACTION * baseline
            gain = BASELINE_LATENCY_GAIN if is_normal else DEGRADED_BASELINE_LATENCY_GAIN
            updated = baseline + gain * (min(elapsed, MAX_SAMPLE_BASELINES * baseline) - baseline)
            statistics.seconds = max(MIN_LATENCY_SECONDS, updated)

    def _record_excess_latency(
        self, now: float, service: str, region: str, baseline: float, elapsed: float
    ) -> float:
        """Add a response to the excess latency of its region; returns the new value in seconds."""
        fastest = min(baseline, self._fastest_route_latencies.get(service, baseline) * FASTEST_ROUTE_GROWTH)
        self._fastest_route_latencies[service] = fastest
        excess = self._excess_latencies.setdefault((service, region), ExcessLatency())
        gain = EXCESS_LATENCY_GAIN * fastest / baseline
        before = excess.decayed(now)
        excess.seconds = before + gain * (min(MAX_EXCESS_BASELINES * baseline, elapsed - baseline) - before)
        excess.updated_at = now
        return excess.seconds

    def cost(self, now: float, service: str, region: str, route: Route, expected_wait: float) -> float:
        """Cost of sending one more request of a route to a region.

        `expected_wait`: the queueing delay there, in units of one request's service time.
        """
        known = self._route_statistics.get(route.name)
        baseline = known.seconds if known is not None else route.latency_target * INITIAL_LATENCY_FRACTION
        size_bytes = known.size_bytes if known is not None else INITIAL_SIZE_BYTES
        queueing = expected_wait * self._service_latencies.get(service, baseline)
        excess = max(self.excess_latency(now, service, region), queueing)
        cost = COST_JITTER * self._rng.random()
        if region != self._region:
            excess = max(excess, CROSS_REGION_ROUND_TRIP_SECONDS)
            cost += CROSS_REGION_BYTE_COST * size_bytes
        max_risk_latency = max(0.001, MAX_RISK_TARGET_FRACTION * route.latency_target)
        risk = min(1.0, ((baseline + excess) / max_risk_latency) ** RISK_EXPONENT)
        risk *= 1 + RISK_JITTER * (2 * self._rng.random() - 1)
        return cost + QUEUEING_RISK_WEIGHT * risk * (1.0 if route.idempotent else NON_IDEMPOTENT_WEIGHT)

    def rank_regions(self, now: float, service: str, route: str, costs: Mapping[str, float]) -> list[str]:
        """Regions by cost, except that the first is drawn at random by shares that shift to the cheapest.

        If all proxies switched to the cheapest region at once, they would overload it before the load reports
        showed it, and then overload the next one.
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
        """The whole share to the proxy's own region, or equal shares if that region is not allowed."""
        if len(self._shares) >= MAX_REGION_SHARES:
            self._shares.clear()
        regions = key[2]
        if self._region in regions:
            shares = {region: float(region == self._region) for region in regions}
        else:
            shares = {region: 1 / len(regions) for region in regions}
        known = self._shares[key] = RegionShares(shares, now)
        return known
