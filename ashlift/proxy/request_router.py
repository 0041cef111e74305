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

KNOWN_S = 1.0  # with a proof younger than this, one from after a request's coming is soon there
UNSURE_S, UNSURE_PART = 0.8, 0.25  # s, x what its client will wait: what is not known is held so long for it
FENCE_SPARE_S = 0.3  # of Revoke, for the way of the request to the worker
UNREADY_AGAIN_S = 0.4
START_S = 1.2  # so long after its start a gatekeeper usually has all it needs
BUSY_AGAIN_S = 0.15
CROWDED_AGAIN_S = 0.5
PATIENCE = 0.95  # x the time left that the highest rank waits for a worker; less by rank,
RANK_FIRST, RANK_NEXT = 0.12, 0.02  # the tenant's before the route's
DIAL_NEAR_S, DIAL_FAR_S = 0.25, 0.4
COLD_OWNERS = 2
BEATS = 3  # a worker's lease, in heartbeats
BEAT_LATE = 1.2  # x heartbeat: so old may be what a worker last told of its warmth
DEADLINE = 504  # a worker's answer when the time is up: this tells nothing of it
EDGE_S = 0.02  # before a deadline, the answer must be on its way
HEDGE_LEAST, HEDGE_BEFORE = 1.8, 1.6  # x usual latency: after so long a silence; so long before the aim


@dataclass(frozen=True, slots=True)
class Rejection:
    """The end of a request by our own word."""

    status: int
    cause: str
    again: float | None = None  # s
    until: float = -math.inf  # before this (steady time), news may say better: ask the gate again then


@dataclass(slots=True, eq=False)
class AdmittedRequest:
    """A request that has been let in."""

    route: Route
    tenant: Tenant | None
    service: str
    homes: frozenset[str]
    came: float
    deadline: float
    tried: list[str] = field(default_factory=list)
    out: int = 0  # tries under way
    may_run: bool = False
    arrived: bool = False  # one of its tries reached a worker
    size: int = 500  # bytes of it, head and body
    alone: bool = False  # no further try beside the one that is out


class RequestRouter:
    def __init__(self, settings: Settings, rng: random.Random, now: float) -> None:
        self.settings, self.bounds, self._rng = settings, settings.bounds, rng
        self.ledger = ClusterView(BEATS * settings.heartbeat)
        self.crew = LoadBalancer(settings.zone, settings.zones, rng)
        self.limiter = RateLimiter(rng, settings.bounds)
        self.retries = RetryBudget(settings.bounds)
        self.pace = SlowStartPacer()
        self.leaving = False
        self._since = now
        self._quotas: dict[str, Tenant] = {}

    # ---- news

    def news(self, now: float, change: ClusterChange) -> None:
        """Bring everything in line with the ledger."""
        ledger = self.ledger
        table = ledger.table
        if change.config and table is not None:
            quotas = table.tenants
            for name in set(self._quotas) - set(quotas):
                self.limiter.forget_tenant(name)
            for tenant in quotas.values():
                self.limiter.set_quota(tenant.name, tenant.rate_limit, tenant.burst_size)
            self._quotas = quotas
            if ledger.evacuated != self.crew.evacuated:
                warmup = max((service.warmup for service in table.services.values()), default=0.0)
                self.crew.evacuate(now, ledger.evacuated, warmup + BEAT_LATE * self.settings.heartbeat)
        if change.workers:
            self.crew.know(ledger.workers.values())
            self.pace.retain_workers(ledger.workers)
        self.limiter.retain_sources(now, ledger.sources)
        if change.members:
            self.crew.members = max(1, len(ledger.members))
            self.limiter.set_proxy_count(now, max(1, len(ledger.members)), ledger.missed)

    def ready(self, now: float) -> bool:
        """Whether clients may be sent here."""
        return not self.leaving and self.ledger.table is not None and self._fresh(now)

    def _fresh(self, now: float) -> bool:
        return self.ledger.age(now) <= self.bounds.revoke - FENCE_SPARE_S

    # ---- a request

    def arrive(
        self, now: float, host: str, path: str, key: str, remaining: float, came: float | None = None
    ) -> AdmittedRequest | Rejection:
        """Let a request in that came whole at `came` (now). `remaining`: s that its client will wait.

        What is not known is called so only by a configuration that was the newest after the request came: an
        older proof may be from before an acknowledgement that its client knows of."""
        table, came = self.ledger.table, now if came is None else came
        unready = Rejection(503, "unready", UNREADY_AGAIN_S)
        if table is None:
            return Rejection(503, "unready", max(UNREADY_AGAIN_S, self._since + START_S - now))
        known, unsure = self.ledger.proven >= came, unready
        if self.ledger.age(now) <= KNOWN_S:
            until = came + min(UNSURE_S, UNSURE_PART * (remaining + now - came))
            unsure = Rejection(503, "unsure", UNREADY_AGAIN_S, until)
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
            again = self.limiter.admit(now, tenant.name)
            if again is not None:
                return Rejection(429, "quota", again)
        service = self._service(route)
        deadline = now + min(remaining, route.timeout or remaining) - EDGE_S
        self.retries.record_request(now, service)
        return AdmittedRequest(route, tenant, service, homes, now, deadline)

    def _service(self, route: Route) -> str:
        if len(route.traffic_split) == 1:
            return route.traffic_split[0][0]
        names = [name for name, weight in route.traffic_split if weight > 0]
        return self._rng.choices(names, [weight for _, weight in route.traffic_split if weight > 0])[0]

    def pick(self, now: float, live: AdmittedRequest, further: bool) -> WorkerState | Rejection:
        """The worker for the next try. A `further` one (beside or after another) is paid from the budget,
        unless no worker has been reached yet."""
        turn = self._give_up(live)
        if live.deadline <= now:
            return turn
        spent = len(live.tried) >= live.route.max_attempts
        if further and (spent or (live.may_run and not live.route.idempotent)):
            return turn
        members = max(1, len(self.ledger.members))
        if further:
            live.alone = True  # beside what is out now, nothing more is tried unless this one is
        paid = live.arrived or live.out > 0
        if paid and not self.retries.can_retry(now, live.service, members):
            return turn
        views = self.crew.open(live.service, live.homes, live.tried)
        for view in self.crew.order(now, views, live.route):
            if self._may(now, view):
                if not further and self._crowded(now, live, view):
                    return Rejection(503, "crowded", CROWDED_AGAIN_S)
                if paid:
                    self.retries.record_retry(now, live.service)
                self.crew.sent(now, view)
                live.tried.append(view.worker.id)
                live.out += 1
                return view
        return turn

    def _may(self, now: float, view: WorkerState) -> bool:
        """A cold worker gets little, from few."""
        cold = max(view.cold_until, view.worker.warm_at)
        service = self._known(view)
        if view.out >= self.connections(view):
            return False  # each try has a connection: none is left, and asking again would not end
        if now >= cold or service is None or service.warmup_rate <= 0:
            return view.out < 2 * max(1, view.worker.capacity) + 2
        if self.settings.node_name not in assigned_proxies(view.worker.id, self.ledger.members, COLD_OWNERS):
            return False
        sure = self.ledger.age(now) <= KNOWN_S
        if not sure or not self.pace.can_send(now, view.worker.id, service.warmup_rate, 1 / COLD_OWNERS):
            return False
        self.pace.record_sent(now, view.worker.id)
        return True

    def _crowded(self, now: float, live: AdmittedRequest, view: WorkerState) -> bool:
        """Whether it would wait there for most of the time that it has: what ranks low gives way first."""
        first = live.tenant.priority if live.tenant is not None and live.tenant.priority is not None else 0
        patience = PATIENCE - RANK_FIRST * min(4, first) - RANK_NEXT * min(5, live.route.priority)
        expected = self.crew.usual(live.route) * (1.0 + self.crew.wait(view))
        return expected > patience * (live.deadline - now)

    def _known(self, view: WorkerState) -> Service | None:
        table = self.ledger.table
        return table.services.get(view.worker.service) if table is not None else None

    def connections(self, view: WorkerState) -> int:
        """How many connections to a worker are ours."""
        service = self._known(view)
        most = service.max_connections if service is not None and service.max_connections else 64
        return max(2, int(0.9 * most / max(1, len(self.ledger.members))))

    def dial(self, view: WorkerState) -> float:
        return DIAL_NEAR_S if self.crew.region(view) == self.settings.region else DIAL_FAR_S

    def hedge(self, live: AdmittedRequest) -> float | None:
        """When a silent try of a repeatable request gets another beside it (steady time); None: never."""
        if not live.route.idempotent or live.alone or len(live.tried) >= live.route.max_attempts:
            return None
        usual = self.crew.usual(live.route)
        at = live.came + max(HEDGE_LEAST * usual, live.route.latency_target - HEDGE_BEFORE * usual)
        return at if at + usual < live.deadline else None

    def hedges(self, now: float, live: AdmittedRequest) -> bool:
        at = self.hedge(live)
        return at is not None and now >= at

    def stay(self, live: AdmittedRequest) -> Rejection:
        """No further try now."""
        return self._give_up(live)

    def ended(
        self, now: float, live: AdmittedRequest, view: WorkerState, outcome: AttemptOutcome, cancelled: bool
    ) -> bool:
        """Learn from a try that ended; whether its answer is the request's answer."""
        live.out -= 1
        self.crew.back(view)
        match outcome.ended:
            case AttemptResult.ANSWERED:
                live.arrived = live.may_run = True
                reply = outcome.reply
                assert reply is not None
                if reply.status < 500:
                    self.crew.answered(now, view, live.route, outcome.waited, live.size + reply.size)
                    return True
                if reply.status != DEADLINE:
                    self.crew.erred(now, view)
                return not live.route.idempotent or len(live.tried) >= live.route.max_attempts
            case AttemptResult.NOT_RUN:
                self.crew.busy(now, view)
                if outcome.reply is not None:
                    live.arrived = True
                    self.crew.refused(now, view)
            case AttemptResult.UNREACHED:
                self.crew.failed(now, view)
            case AttemptResult.LOST | AttemptResult.LATE:
                live.arrived = live.may_run = True
                if not cancelled and not outcome.rested:
                    self.crew.failed(now, view)
                elif cancelled and outcome.waited > HEDGE_LEAST * self.crew.usual(live.route):
                    self.crew.silent(now, view)
            case AttemptResult.FULL:
                live.tried.remove(view.worker.id)
                self.crew.busy(now, view)
        return False

    def _give_up(self, live: AdmittedRequest) -> Rejection:
        """What the client gets when there is no further try: a promise only where it holds."""
        if live.may_run or live.out:
            return Rejection(504, "unanswered")
        return Rejection(503, "no worker", BUSY_AGAIN_S)

    def never_ran(self, now: float, live: AdmittedRequest) -> None:
        """It was let in, and no worker has had it: its unit is free again."""
        if live.tenant is not None and not live.may_run:
            self.limiter.refund(now, live.tenant.name)
