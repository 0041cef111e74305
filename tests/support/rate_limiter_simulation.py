"""Simulates one scenario: clients, the rate limiters of all proxies, and the registries that sum usage."""

import math
import random
from dataclasses import dataclass, field

from ashlift.rpc.quota_leases import FULL_QUOTA
from ashlift.traffic.rate_limiter import RateLimiter, UsageByTenant
from ashlift.traffic.unreported_usage import SourceCoverage
from tests.support.rate_limiter_scenarios import (
    Event,
    Isolation,
    Kill,
    Outage,
    Overload,
    Partition,
    QuotaChange,
    Scenario,
)
from tests.support.simulated_lease_registries import SimulatedLeaseRegistries

TENANT = "t"
TICK_SECONDS = 0.02
PULL_SECONDS = 0.25
SESSION_LEASE_SECONDS = 2.0
SILENT_AFTER_SECONDS = 1.5  # the second, and the way over two registries
FENCING_SECONDS = 5.0  # a proxy admits nothing if its configuration is unconfirmed for longer
WARM_UP_SECONDS = 2.0  # until the proxies know each other
AFTERMATH_SECONDS = 3.0  # time after an overload that is not counted as calm


@dataclass(frozen=True)
class Bounds:
    """The bounds of the QUOTA rule."""

    quota_window: float = 5.0
    quota_overrun: float = 0.1
    quota_slack: float = 20.0
    revoke: float = 5.0


@dataclass
class Proxy:
    """One incarnation of a proxy, with its pending report and the totals that it knows."""

    name: str
    limiter: RateLimiter
    weight: float  # relative share of the clients' requests
    pull_at: float
    reported: UsageByTenant = field(default_factory=dict)
    known_totals: dict[str, UsageByTenant] = field(default_factory=dict)
    down_until: float = -1.0
    isolated_until: float = -1.0
    configuration_at: float = -math.inf  # when its configuration was last confirmed
    session_at: float = -math.inf  # when its session was last renewed


@dataclass
class Result:
    """Results of one run."""

    worst: float  # most requests admitted in a sliding window, relative to the rule's limit
    declined: float  # share of requests declined in calm periods
    overload_admitted: float  # rate admitted during overload, relative to the quota rate
    onset_admitted: float  # the same in the first second of an overload


def _poisson(rng: random.Random, mean: float) -> int:
    if mean <= 0:
        return 0
    limit = math.exp(-mean)
    count = 0
    product = rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count


class RateLimiterSimulation:
    """One scenario with one seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._rng = random.Random(seed)
        self._scenario = scenario
        self._rate, self._burst = scenario.settings["quota"]
        skew = scenario.value("skew")
        registries = int(scenario.value("registries", 3))
        # Usage totals by source, as known to each registry.
        self._registries = self._empty_registries(registries, 0)
        self._incarnation = 0  # of the registries
        bounds = Bounds()
        self._leases = SimulatedLeaseRegistries(registries, bounds.revoke, bounds.quota_window)
        # The time up to which the totals of each source are complete, as known to each registry.
        self._complete_until = [[0.0] * registries for _ in range(registries)]
        self._exchange_at = [self._rng.random() * PULL_SECONDS for _ in range(registries)]
        self._proxies = [
            self._start_proxy(0.0, f"e{number}", self._rng.gammavariate(1 / skew, skew) if skew else 1.0)
            for number in range(int(scenario.value("proxies")))
        ]
        self._admitted_times: list[float] = []
        self._worst_before = 0.0  # under earlier quotas
        self._outage_until = 0.0
        self._calm_requests = 0
        self._calm_declined = 0
        self._overload_admitted = 0
        self._overload_seconds = 0.0
        self._onset_admitted = 0

    def run(self) -> Result:
        now = 0.0
        while now < self._scenario.value("seconds"):
            self._exchange_totals(now)
            for event in self._scenario.events:
                if event.at <= now < event.at + TICK_SECONDS:
                    self._apply(now, event)
            for number, proxy in enumerate(self._proxies):
                if now >= max(proxy.down_until, proxy.isolated_until, proxy.pull_at, self._outage_until):
                    self._pull(now, number, proxy)
            self._send_requests(now)
            self._check_leases(now)
            now += TICK_SECONDS
        return Result(
            max(self._worst_before, self._worst_window()),
            self._calm_declined / max(1, self._calm_requests),
            self._overload_admitted / max(1.0, self._overload_seconds * self._rate),
            self._onset_admitted / self._rate,
        )

    def _check_leases(self, now: float) -> None:
        """Check the invariant that what all proxies hold does not exceed the quota in sum."""
        held = sum(proxy.limiter.leases_held(now)[TENANT] for proxy in self._proxies)
        assert held <= FULL_QUOTA, f"{held} thousandths of the quota are leased at {now:.2f}"

    @staticmethod
    def _empty_registries(count: int, incarnation: int) -> list[dict[str, UsageByTenant]]:
        return [{f"p{number}#{incarnation}": {} for number in range(count)} for _ in range(count)]

    def _start_proxy(self, now: float, name: str, weight: float) -> Proxy:
        limiter = RateLimiter(random.Random(self._rng.random()), Bounds(), name)
        limiter.set_quota(TENANT, self._rate, self._burst)
        limiter.set_proxies(now, [f"e{number}" for number in range(int(self._scenario.value("proxies")))])
        return Proxy(name, limiter, weight, now + self._rng.random() * PULL_SECONDS)

    # ---- events

    def _apply(self, now: float, event: Event) -> None:
        live = [proxy for proxy in self._proxies if now >= proxy.down_until]
        match event:
            case Isolation():
                for proxy in self._rng.sample(live, int(event.proxies)):
                    proxy.isolated_until = now + event.seconds
            case Outage():
                self._outage_until = now + event.seconds
                self._incarnation += 1
                self._registries = self._empty_registries(len(self._registries), self._incarnation)
                self._leases.restart()
            case Kill():
                for proxy in self._rng.sample(live, int(event.share * len(live))):
                    self._restart_proxy(now, proxy, event.downtime_seconds)
            case QuotaChange():
                self._worst_before = self._worst_window()
                self._admitted_times = []
                self._rate, self._burst = event.rate, event.burst
                for proxy in self._proxies:
                    proxy.limiter.set_quota(TENANT, self._rate, self._burst)
            case Overload() | Partition():
                pass  # queried by time where they apply

    def _restart_proxy(self, now: float, proxy: Proxy, downtime_seconds: float) -> None:
        successor = self._start_proxy(now, proxy.name, proxy.weight)
        proxy.limiter = successor.limiter
        proxy.known_totals = {}
        proxy.reported = {}
        proxy.down_until = now + downtime_seconds * (0.7 + 0.6 * self._rng.random())
        proxy.pull_at = proxy.down_until + successor.pull_at - now
        proxy.configuration_at = -math.inf

    # ---- registries

    def _exchange_totals(self, now: float) -> None:
        for number, totals in enumerate(self._registries):
            if now < self._exchange_at[number]:
                continue
            self._exchange_at[number] = now + PULL_SECONDS + 0.04 * self._rng.random()
            for other, other_totals in enumerate(self._registries):
                if not self._are_partitioned(now, number, other):
                    source = f"p{other}#{self._incarnation}"
                    totals[source] = dict(other_totals[source])
                    self._complete_until[number][other] = self._reported_until(now, other)
            granting = len(self._registries) - 1
            self._leases.exchange(now, number, not self._are_partitioned(now, number, granting))

    def _pull(self, now: float, number: int, proxy: Proxy) -> None:
        """Process the response to the last pull and send the next, whose report is applied immediately."""
        index = number % len(self._registries)
        totals, source = self._registries[index], f"p{index}#{self._incarnation}"
        proxy.limiter.confirm_counts(proxy.reported)
        changed = {
            name: {t: s for t, s in sums.items() if proxy.known_totals.get(name, {}).get(t) != s}
            for name, sums in totals.items()
            if name not in proxy.known_totals or proxy.known_totals[name] != sums
        }
        known = [other for other in range(len(self._proxies)) if self._knows_session(now, number, other)]
        proxy.limiter.set_proxies(now, [self._proxies[other].name for other in known])
        silent = [
            self._proxies[other].name
            for other in known
            if now - max(self._outage_until, self._proxies[other].session_at) > SILENT_AFTER_SECONDS
            and not self._are_partitioned(now, number, other)
        ]
        proxy.limiter.set_silent_proxies(now, silent)
        complete_until = [self._reported_until(now, index)]
        for other, until in enumerate(self._complete_until[index]):
            if other != index and not self._are_partitioned(now, index, other):
                complete_until.append(until)
        proxy.limiter.record_usage_totals(
            now, changed, self._coverage(totals, known), complete_until=min(complete_until)
        )
        states = proxy.limiter.lease_states(now)
        proxy.limiter.record_leases(now, now, self._leases.pull(now, index, proxy.name, states))
        proxy.known_totals = {name: dict(sums) for name, sums in totals.items()}
        proxy.configuration_at = proxy.session_at = now
        proxy.reported = proxy.limiter.take_new_counts()
        other_tenant = {"other": (self._rng.randint(2, 6), 0)}
        for tenant, (total, declined) in {**proxy.reported, **other_tenant}.items():
            old_total, old_declined = totals[source].get(tenant, (0, 0))
            totals[source][tenant] = (old_total + total, old_declined + declined)
        proxy.pull_at = now + PULL_SECONDS + 0.02 + 0.03 * self._rng.random()

    def _reported_until(self, now: float, registry: int) -> float:
        """The time up to which all proxies of a registry have reported, without those that are silent."""
        reported = [
            proxy.session_at
            for number, proxy in enumerate(self._proxies)
            if number % len(self._registries) == registry and now - proxy.session_at <= SILENT_AFTER_SECONDS
        ]
        return min(reported, default=now)

    def _coverage(self, totals: dict[str, UsageByTenant], known: list[int]) -> dict[str, SourceCoverage]:
        """The proxies that each source names: each reports to one registry."""
        coverage = {}
        for source in totals:
            registry = int(source.removeprefix("p").partition("#")[0])
            named = frozenset(
                self._proxies[number].name for number in known if number % len(self._registries) == registry
            )
            coverage[source] = SourceCoverage(named, named)
        return coverage

    def _knows_session(self, now: float, number: int, other: int) -> bool:
        """Whether the membership that one proxy receives contains the other."""
        partitioned = self._are_partitioned(now, number, other)
        if partitioned and self._are_partitioned(now - FENCING_SECONDS, number, other):
            return False  # the registry has dropped the source of the other proxy
        renewed_at = max(self._outage_until, self._proxies[other].session_at)
        return partitioned or now - renewed_at <= SESSION_LEASE_SECONDS

    def _are_partitioned(self, now: float, number: int, other: int) -> bool:
        """Whether a partition separates the registries of two proxies."""
        registries = len(self._registries)
        return any(
            (number % registries < event.registries) != (other % registries < event.registries)
            for event in self._scenario.events
            if isinstance(event, Partition) and event.lasts(now)
        )

    def _is_fenced(self, now: float, number: int, proxy: Proxy) -> bool:
        """Whether no majority of the core has confirmed the proxy's configuration for FENCING_SECONDS."""
        registries = len(self._registries)
        in_minority = any(
            event.at + FENCING_SECONDS <= now < event.at + event.seconds
            and (number % registries < event.registries) == (event.registries * 2 < registries)
            for event in self._scenario.events
            if isinstance(event, Partition)
        )
        return in_minority or (now - proxy.configuration_at > FENCING_SECONDS and now >= WARM_UP_SECONDS)

    # ---- clients

    def _send_requests(self, now: float) -> None:
        overload = self._overload(now)
        is_calm = self._is_calm(now)
        is_onset = overload is not None and now < overload.at + 1
        batch = int(self._scenario.value("batch", 1))
        live = [
            proxy
            for number, proxy in enumerate(self._proxies)
            if now >= proxy.down_until and not self._is_fenced(now, number, proxy)
        ]
        weights = sum(proxy.weight for proxy in live)
        rate = self._offered_rate(now, overload)
        for proxy in live:
            mean_batches = rate * TICK_SECONDS * proxy.weight / weights / (1 + batch) * 2
            for _ in range(_poisson(self._rng, mean_batches)):
                for _ in range(self._rng.randint(1, batch)):
                    admitted = proxy.limiter.admit(now, TENANT) is None
                    if admitted:
                        self._admitted_times.append(now)
                    self._calm_requests += is_calm
                    self._calm_declined += is_calm and not admitted
                    self._overload_admitted += overload is not None and admitted
                    self._onset_admitted += is_onset and admitted
        self._overload_seconds += TICK_SECONDS * (overload is not None)

    def _offered_rate(self, now: float, overload: Overload | None) -> float:
        share, period_seconds = self._scenario.settings.get("wave", [0.0, 1.0])
        rate = self._scenario.value("usual_rate")
        rate *= 1 + share * math.sin(2 * math.pi * now / period_seconds)
        return rate * overload.factor if overload is not None else rate

    def _overload(self, now: float) -> Overload | None:
        for event in self._scenario.events:
            if isinstance(event, Overload) and event.at <= now < event.at + event.seconds:
                return event
        return None

    def _is_calm(self, now: float) -> bool:
        for event in self._scenario.events:
            if isinstance(event, Overload):
                end = event.at + event.seconds + AFTERMATH_SECONDS
            elif isinstance(event, QuotaChange):
                end = math.inf
            else:
                continue
            if event.at - 0.1 <= now < end:
                return False
        return now > WARM_UP_SECONDS

    def _worst_window(self) -> float:
        """Most requests admitted in a window since the last quota change, relative to the limit."""
        bounds = Bounds()
        allowed = self._rate * bounds.quota_window + self._burst
        allowed = allowed * (1 + bounds.quota_overrun) + bounds.quota_slack
        first = worst = 0
        for number, time in enumerate(self._admitted_times):
            while self._admitted_times[first] < time - bounds.quota_window:
                first += 1
            worst = max(worst, number - first + 1)
        return worst / allowed
