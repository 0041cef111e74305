"""What happens to a request: let in or turned away, which worker, once more or the end. Pure.

A turn says at once what a client gets. 429 and 503 promise that the request has not run and never will.
"""

import math
import random
from dataclasses import dataclass, field

from ashlift.config.routing_table import Route, Service, Tenant
from ashlift.config.settings import Settings
from ashlift.proxy.cluster_view import ClusterChange, ClusterView
from ashlift.proxy.load_balancer import LoadBalancer, WorkerState
from ashlift.proxy.upstream import AttemptOutcome, AttemptResult
from ashlift.traffic.rate_limiter import RateLimiter
from ashlift.traffic.retry_budget import RetryBudget
from ashlift.traffic.slow_start import SlowStartPacer, assigned_proxies

# with a proof younger than this, one from after a request's coming is soon there
FRESH_CONFIGURATION_SECONDS = 1.0
MAX_CONFIGURATION_WAIT_SECONDS, CONFIGURATION_WAIT_FRACTION = (
    0.8,
    0.25,
)  # s, x what its client will wait: what is not known is held so long for it
REVOCATION_MARGIN_SECONDS = 0.3  # of Revoke, for the way of the request to the worker
UNREADY_RETRY_AFTER_SECONDS = 0.4
START_UP_SECONDS = 1.2  # so long after its start a gatekeeper usually has all it needs
NO_WORKER_RETRY_AFTER_SECONDS = 0.15
OVERLOAD_RETRY_AFTER_SECONDS = 0.5
MAX_WAIT_FRACTION = 0.95  # x the time left that the highest rank waits for a worker; less by rank,
TENANT_PRIORITY_STEP, ROUTE_PRIORITY_STEP = 0.12, 0.02  # the tenant's before the route's
CONNECT_TIMEOUT_SAME_REGION_SECONDS, CONNECT_TIMEOUT_OTHER_REGION_SECONDS = 0.25, 0.4
SLOW_START_OWNERS = 2
WORKER_LEASE_HEARTBEATS = 3  # a worker's lease, in heartbeats
MAX_HEARTBEAT_AGE = 1.2  # x heartbeat: so old may be what a worker last told of its warmth
DEADLINE_EXCEEDED_STATUS = 504  # a worker's answer when the time is up: this tells nothing of it
RESPONSE_MARGIN_SECONDS = 0.02  # before a deadline, the answer must be on its way
HEDGE_AFTER_LATENCIES, HEDGE_BEFORE_TARGET_LATENCIES = (
    1.8,
    1.6,
)  # x usual latency: after so long a silence; so long before the aim


@dataclass(frozen=True, slots=True)
class Rejection:
    """The end of a request by our own word."""

    status: int
    cause: str
    retry_after: float | None = None  # s
    reconsider_until: float = (
        -math.inf
    )  # before this (steady time), news may say better: ask the gate again then


@dataclass(slots=True, eq=False)
class AdmittedRequest:
    """A request that has been let in."""

    route: Route
    tenant: Tenant | None
    service: str
    allowed_regions: frozenset[str]
    admitted_at: float
    deadline: float
    attempted_workers: list[str] = field(default_factory=list)
    attempts_in_flight: int = 0  # tries under way
    may_have_run: bool = False
    reached_worker: bool = False  # one of its tries reached a worker
    size_bytes: int = 500  # bytes of it, head and body
    no_further_hedge: bool = False  # no further try beside the one that is out


class RequestRouter:
    def __init__(self, settings: Settings, rng: random.Random, now: float) -> None:
        self.settings, self.timing_bounds, self._rng = settings, settings.bounds, rng
        self.cluster = ClusterView(WORKER_LEASE_HEARTBEATS * settings.heartbeat)
        self.load_balancer = LoadBalancer(settings.zone, settings.zones, rng)
        self.rate_limiter = RateLimiter(rng, settings.bounds)
        self.retry_budget = RetryBudget(settings.bounds)
        self.slow_start = SlowStartPacer()
        self.draining = False
        self._since = now
        self._quotas: dict[str, Tenant] = {}

    # ---- news

    def apply_change(self, now: float, change: ClusterChange) -> None:
        """Bring everything in line with the ledger."""
        ledger = self.cluster
        table = ledger.routing_table
        if change.config and table is not None:
            quotas = table.tenants
            for name in set(self._quotas) - set(quotas):
                self.rate_limiter.forget_tenant(name)
            for tenant in quotas.values():
                self.rate_limiter.set_quota(tenant.name, tenant.rate_limit, tenant.burst_size)
            self._quotas = quotas
            if ledger.evacuated_zones != self.load_balancer.evacuated_zones:
                warmup = max((service.warmup for service in table.services.values()), default=0.0)
                self.load_balancer.evacuate(
                    now, ledger.evacuated_zones, warmup + MAX_HEARTBEAT_AGE * self.settings.heartbeat
                )
        if change.workers:
            self.load_balancer.set_workers(ledger.workers.values())
            self.slow_start.retain_workers(ledger.workers)
        self.rate_limiter.retain_sources(now, ledger.sources)
        if change.proxies:
            self.load_balancer.proxy_count = max(1, len(ledger.proxies))
            self.rate_limiter.set_proxy_count(now, max(1, len(ledger.proxies)), ledger.departed_since)

    def is_ready(self, now: float) -> bool:
        """Whether clients may be sent here."""
        return not self.draining and self.cluster.routing_table is not None and self._fresh(now)

    def _fresh(self, now: float) -> bool:
        return self.cluster.configuration_age(now) <= self.timing_bounds.revoke - REVOCATION_MARGIN_SECONDS

    # ---- a request

    def admit(
        self, now: float, host: str, path: str, key: str, remaining: float, came: float | None = None
    ) -> AdmittedRequest | Rejection:
        """Let a request in that came whole at `came` (now). `remaining`: s that its client will wait.

        What is not known is called so only by a configuration that was the newest after the request came: an
        older proof may be from before an acknowledgement that its client knows of."""
        table, came = self.cluster.routing_table, now if came is None else came
        unready = Rejection(503, "unready", UNREADY_RETRY_AFTER_SECONDS)
        if table is None:
            return Rejection(
                503, "unready", max(UNREADY_RETRY_AFTER_SECONDS, self._since + START_UP_SECONDS - now)
            )
        known, unsure = self.cluster.confirmed_at >= came, unready
        if self.cluster.configuration_age(now) <= FRESH_CONFIGURATION_SECONDS:
            until = came + min(
                MAX_CONFIGURATION_WAIT_SECONDS, CONFIGURATION_WAIT_FRACTION * (remaining + now - came)
            )
            unsure = Rejection(503, "unsure", UNREADY_RETRY_AFTER_SECONDS, until)
        route = table.find_route(host, path)
        if route is None:
            return Rejection(404, "route") if known else unsure
        tenant = None
        if table.has_tenants and not route.anonymous:
            tenant = table.find_tenant(key)
            if tenant is None:
                return Rejection(401, "key") if known else unsure
            if not self._fresh(now):
                return unready
        homes = route.home_regions
        if tenant is not None and tenant.home_regions:
            homes = homes & tenant.home_regions if homes else tenant.home_regions
            if not homes:
                return Rejection(503, "homes", 1.0)
        if tenant is not None:
            again = self.rate_limiter.admit(now, tenant.name)
            if again is not None:
                return Rejection(429, "quota", again)
        service = self._service(route)
        deadline = now + min(remaining, route.timeout or remaining) - RESPONSE_MARGIN_SECONDS
        self.retry_budget.record_request(now, service)
        return AdmittedRequest(route, tenant, service, homes, now, deadline)

    def _service(self, route: Route) -> str:
        if len(route.traffic_split) == 1:
            return route.traffic_split[0][0]
        names = [name for name, weight in route.traffic_split if weight > 0]
        return self._rng.choices(names, [weight for _, weight in route.traffic_split if weight > 0])[0]

    def choose_worker(self, now: float, live: AdmittedRequest, further: bool) -> WorkerState | Rejection:
        """The worker for the next try. A `further` one (beside or after another) is paid from the budget,
        unless no worker has been reached yet."""
        turn = self._give_up(live)
        if live.deadline <= now:
            return turn
        spent = len(live.attempted_workers) >= live.route.max_attempts
        if further and (spent or (live.may_have_run and not live.route.idempotent)):
            return turn
        members = max(1, len(self.cluster.proxies))
        if further:
            live.no_further_hedge = True  # beside what is out now, nothing more is tried unless this one is
        paid = live.reached_worker or live.attempts_in_flight > 0
        if paid and not self.retry_budget.can_retry(now, live.service, members):
            return turn
        views = self.load_balancer.eligible(live.service, live.allowed_regions, live.attempted_workers)
        for view in self.load_balancer.rank(now, views, live.route):
            if self._may(now, view):
                if not further and self._crowded(now, live, view):
                    return Rejection(503, "crowded", OVERLOAD_RETRY_AFTER_SECONDS)
                if paid:
                    self.retry_budget.record_retry(now, live.service)
                self.load_balancer.attempt_started(now, view)
                live.attempted_workers.append(view.worker.id)
                live.attempts_in_flight += 1
                return view
        return turn

    def _may(self, now: float, view: WorkerState) -> bool:
        """A cold worker gets little, from few."""
        cold = max(view.warming_until, view.worker.warm_at)
        service = self._known(view)
        if view.in_flight >= self.max_connections(view):
            return False  # each try has a connection: none is left, and asking again would not end
        if now >= cold or service is None or service.warmup_rate <= 0:
            return view.in_flight < 2 * max(1, view.worker.capacity) + 2
        if self.settings.node_name not in assigned_proxies(
            view.worker.id, self.cluster.proxies, SLOW_START_OWNERS
        ):
            return False
        sure = self.cluster.configuration_age(now) <= FRESH_CONFIGURATION_SECONDS
        if not sure or not self.slow_start.can_send(
            now, view.worker.id, service.warmup_rate, 1 / SLOW_START_OWNERS
        ):
            return False
        self.slow_start.record_sent(now, view.worker.id)
        return True

    def _crowded(self, now: float, live: AdmittedRequest, view: WorkerState) -> bool:
        """Whether it would wait there for most of the time that it has: what ranks low gives way first."""
        first = live.tenant.priority if live.tenant is not None and live.tenant.priority is not None else 0
        patience = (
            MAX_WAIT_FRACTION
            - TENANT_PRIORITY_STEP * min(4, first)
            - ROUTE_PRIORITY_STEP * min(5, live.route.priority)
        )
        expected = self.load_balancer.usual_latency(live.route) * (
            1.0 + self.load_balancer.expected_wait(view)
        )
        return expected > patience * (live.deadline - now)

    def _known(self, view: WorkerState) -> Service | None:
        table = self.cluster.routing_table
        return table.services.get(view.worker.service) if table is not None else None

    def max_connections(self, view: WorkerState) -> int:
        """How many connections to a worker are ours."""
        service = self._known(view)
        most = service.max_connections if service is not None and service.max_connections else 64
        return max(2, int(0.9 * most / max(1, len(self.cluster.proxies))))

    def connect_timeout(self, view: WorkerState) -> float:
        return (
            CONNECT_TIMEOUT_SAME_REGION_SECONDS
            if self.load_balancer.region_of(view) == self.settings.region
            else CONNECT_TIMEOUT_OTHER_REGION_SECONDS
        )

    def hedge_time(self, live: AdmittedRequest) -> float | None:
        """When a silent try of a repeatable request gets another beside it (steady time); None: never."""
        if (
            not live.route.idempotent
            or live.no_further_hedge
            or len(live.attempted_workers) >= live.route.max_attempts
        ):
            return None
        usual = self.load_balancer.usual_latency(live.route)
        at = live.admitted_at + max(
            HEDGE_AFTER_LATENCIES * usual, live.route.latency_target - HEDGE_BEFORE_TARGET_LATENCIES * usual
        )
        return at if at + usual < live.deadline else None

    def hedge_is_due(self, now: float, live: AdmittedRequest) -> bool:
        at = self.hedge_time(live)
        return at is not None and now >= at

    def final_rejection(self, live: AdmittedRequest) -> Rejection:
        """No further try now."""
        return self._give_up(live)

    def record_outcome(
        self, now: float, live: AdmittedRequest, view: WorkerState, outcome: AttemptOutcome, cancelled: bool
    ) -> bool:
        """Learn from a try that ended; whether its answer is the request's answer."""
        live.attempts_in_flight -= 1
        self.load_balancer.attempt_ended(view)
        match outcome.result:
            case AttemptResult.RESPONSE:
                live.reached_worker = live.may_have_run = True
                reply = outcome.response
                assert reply is not None
                if reply.status < 500:
                    self.load_balancer.record_response(
                        now, view, live.route, outcome.elapsed, live.size_bytes + reply.size
                    )
                    return True
                if reply.status != DEADLINE_EXCEEDED_STATUS:
                    self.load_balancer.record_fault(now, view)
                return not live.route.idempotent or len(live.attempted_workers) >= live.route.max_attempts
            case AttemptResult.NOT_RUN:
                self.load_balancer.record_overload(now, view)
                if outcome.response is not None:
                    live.reached_worker = True
                    self.load_balancer.record_refusal(now, view)
            case AttemptResult.CONNECT_FAILED:
                self.load_balancer.record_failure(now, view)
            case AttemptResult.CONNECTION_LOST | AttemptResult.TIMED_OUT:
                live.reached_worker = live.may_have_run = True
                if not cancelled and not outcome.idle_reset:
                    self.load_balancer.record_failure(now, view)
                elif cancelled and outcome.elapsed > HEDGE_AFTER_LATENCIES * self.load_balancer.usual_latency(
                    live.route
                ):
                    self.load_balancer.record_silence(now, view)
            case AttemptResult.NO_CONNECTION_FREE:
                live.attempted_workers.remove(view.worker.id)
                self.load_balancer.record_overload(now, view)
        return False

    def _give_up(self, live: AdmittedRequest) -> Rejection:
        """What the client gets when there is no further try: a promise only where it holds."""
        if live.may_have_run or live.attempts_in_flight:
            return Rejection(504, "unanswered")
        return Rejection(503, "no worker", NO_WORKER_RETRY_AFTER_SECONDS)

    def refund_admission(self, now: float, live: AdmittedRequest) -> None:
        """It was let in, and no worker has had it: its unit is free again."""
        if live.tenant is not None and not live.may_have_run:
            self.rate_limiter.refund(now, live.tenant.name)
