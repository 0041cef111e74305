"""Decisions about a request: admission, worker selection, retries and hedging, final rejection. No I/O.

`ashlift.proxy.request_handler` carries the decisions out and owns sockets and greenlets. Admission is in
`ashlift.proxy.admission`, the ranking of workers in `ashlift.proxy.load_balancer`, per-worker limits in
`ashlift.proxy.worker_selection`, and the retry rules in `ashlift.proxy.attempts`.
"""

import math
import random
from typing import Final

from ashlift.config.settings import Settings
from ashlift.invariants import Invariant, monitor
from ashlift.proxy import rejections
from ashlift.proxy.admission import Admission, AdmittedRequest, configuration_is_current
from ashlift.proxy.attempts import ATTEMPT_RULES, AttemptOutcome, AttemptResult
from ashlift.proxy.cluster_view import ClusterView
from ashlift.proxy.load_balancer import LoadBalancer, WorkerState
from ashlift.proxy.rejections import Rejection
from ashlift.proxy.source_state import ClusterChange
from ashlift.proxy.worker_selection import WorkerSelection
from ashlift.traffic.rate_limiter import RateLimiter
from ashlift.traffic.retry_budget import RetryBudget

WORKER_LEASE_HEARTBEATS: Final = 3
MAX_HEARTBEAT_AGE: Final = 1.2  # in heartbeat intervals: how old a worker's last report may be
MIN_FAILURE_STATUS: Final = 500
DEADLINE_EXCEEDED_STATUS: Final = 504  # from a worker: says nothing about the worker's health
# Hedge delay, in baseline latencies: after admission, or before the latency target, whichever is later.
HEDGE_AFTER_LATENCIES: Final = 1.8
HEDGE_BEFORE_TARGET_LATENCIES: Final = 1.6


class RequestRouter:
    """Decides about requests, based on this proxy's view of the cluster. Times are monotonic, in seconds."""

    def __init__(self, settings: Settings, rng: random.Random, now: float) -> None:
        self.settings = settings
        self.bounds = settings.bounds
        self.cluster = ClusterView(WORKER_LEASE_HEARTBEATS * settings.heartbeat)
        self.load_balancer = LoadBalancer(settings.zone, settings.zones, rng)
        self.rate_limiter = RateLimiter(rng, settings.bounds, settings.node_name)
        self.retry_budget = RetryBudget(settings.bounds)
        self.selection = WorkerSelection(settings, self.cluster, self.load_balancer)
        self._admission = Admission(
            self.cluster, self.rate_limiter, self.retry_budget, settings.bounds, rng, now
        )
        self.draining = False
        self._quota_tenants: set[str] = set()

    # ---- the cluster's state

    def apply_change(self, now: float, change: ClusterChange) -> None:
        """Update load balancer, rate limiter and slow start from the cluster view after `change`."""
        if change.config:
            self._apply_configuration(now)
        if change.workers:
            self.load_balancer.set_workers(self.cluster.workers.values())
            self.selection.slow_start.retain_workers(self.cluster.workers)
        self.rate_limiter.retain_sources(now, self.cluster.sources)
        if change.proxies:
            proxy_count = max(1, len(self.cluster.proxies))
            self.load_balancer.proxy_count = proxy_count
            self.rate_limiter.set_proxies(now, self.cluster.proxies, self.cluster.departed_since)

    def _apply_configuration(self, now: float) -> None:
        table = self.cluster.configuration.routing_table
        if table is None:
            return
        for name in self._quota_tenants - table.tenants.keys():
            self.rate_limiter.forget_tenant(name)
        for tenant in table.tenants.values():
            self.rate_limiter.set_quota(tenant.name, tenant.rate_limit, tenant.burst_size)
        self._quota_tenants = set(table.tenants)
        if self.cluster.configuration.evacuated_zones != self.load_balancer.evacuated_zones:
            warmup = max((service.warmup for service in table.services.values()), default=0.0)
            warming = warmup + MAX_HEARTBEAT_AGE * self.settings.heartbeat
            self.load_balancer.evacuate(now, self.cluster.configuration.evacuated_zones, warming)

    def is_ready(self, now: float) -> bool:
        """Whether this proxy may receive client traffic."""
        if self.draining or self.cluster.configuration.routing_table is None:
            return False
        return configuration_is_current(self.cluster, self.bounds, now)

    # ---- one request

    def admit(
        self,
        now: float,
        host: str,
        path: str,
        key: str,
        remaining: float,
        received_at: float | None = None,
    ) -> AdmittedRequest | Rejection:
        """Admit or reject a request that was received completely at `received_at` (default: now)."""
        received_at = now if received_at is None else received_at
        return self._admission.admit(now, host, path, key, remaining, received_at)

    def refund_admission(self, now: float, request: AdmittedRequest) -> None:
        """Return the request's unit of quota to its tenant, unless a worker may have run the request."""
        self._admission.refund(now, request)

    def choose_worker(self, now: float, request: AdmittedRequest, retry: bool) -> WorkerState | Rejection:
        """Choose the worker for the next attempt and record the attempt as started.

        `retry`: the attempt is a retry or a hedged request. It consumes retry budget if an earlier attempt
        reached a worker or is still in flight.
        """
        if request.deadline <= now or (retry and not self._may_retry(request)):
            return self.final_rejection(request)
        if retry:
            # No hedged request follows this attempt, whether or not it starts.
            request.no_further_hedge = True
            if not self._admission.refresh_allowed_regions(request):
                return self.final_rejection(request)
        needs_retry_budget = request.reached_worker or request.attempts_in_flight > 0
        proxy_count = max(1, len(self.cluster.proxies))
        if needs_retry_budget and not self.retry_budget.can_retry(now, request.service, proxy_count):
            return self.final_rejection(request)
        worker = self._first_available(now, request, retry)
        if isinstance(worker, Rejection):
            return worker
        may_run_twice = request.may_have_run or request.attempts_in_flight > 0
        if may_run_twice and not self._admission.admit_repeat(now, request):
            return self.final_rejection(request)
        if needs_retry_budget:
            self.retry_budget.record_retry(now, request.service)
        self.load_balancer.attempt_started(now, worker)
        request.attempted_workers.append(worker.record.id)
        request.attempts_in_flight += 1
        return worker

    def _first_available(self, now: float, request: AdmittedRequest, retry: bool) -> WorkerState | Rejection:
        """The best worker that may get the request; a retry may queue at a worker for as long as it takes."""
        eligible = self.load_balancer.eligible(
            request.service, request.allowed_regions, request.attempted_workers
        )
        max_wait = math.inf if retry else self.selection.max_expected_wait(now, request)
        has_slot_share: bool | None = None  # computed when it is needed
        for worker in self.load_balancer.rank(now, eligible, request.route):
            if not self.may_send(request, worker):
                continue
            if self.load_balancer.expected_wait(worker) > max_wait:
                if has_slot_share is None:
                    has_slot_share = self.selection.has_slot_share(eligible)
                if not has_slot_share:
                    continue
            if self.selection.reserve(now, worker):
                return worker
        return self.final_rejection(request) if has_slot_share is None else rejections.OVERLOADED

    def may_send(self, request: AdmittedRequest, worker: WorkerState) -> bool:
        """Check the invariant that a request is only sent to workers in its allowed regions.

        Checked when a worker is chosen, and again right before the request is sent.
        """
        region = self.load_balancer.region_of(worker)
        return monitor.check(
            not request.allowed_regions or region in request.allowed_regions,
            Invariant.ATTEMPT_REGION,
            route=request.route.name,
            worker=worker.record.id,
            region=region,
        )

    @staticmethod
    def _may_retry(request: AdmittedRequest) -> bool:
        attempts_left = len(request.attempted_workers) < request.route.max_attempts
        return attempts_left and not request.retry_forbidden

    def hedge_time(self, request: AdmittedRequest) -> float | None:
        """When to send a hedged request if there is no response yet; None: never."""
        route = request.route
        attempts_used = len(request.attempted_workers) >= route.max_attempts
        if not route.idempotent or request.no_further_hedge or attempts_used:
            return None
        baseline_latency = self.load_balancer.baseline_latency(route)
        before_target = route.latency_target - HEDGE_BEFORE_TARGET_LATENCIES * baseline_latency
        delay = max(HEDGE_AFTER_LATENCIES * baseline_latency, before_target)
        hedge_at = request.admitted_at + delay
        return hedge_at if hedge_at + baseline_latency < request.deadline else None

    def hedge_is_due(self, now: float, request: AdmittedRequest) -> bool:
        """Whether a hedged request is to be sent now."""
        hedge_at = self.hedge_time(request)
        return hedge_at is not None and now >= hedge_at

    def record_outcome(
        self,
        now: float,
        request: AdmittedRequest,
        worker: WorkerState,
        outcome: AttemptOutcome,
        cancelled: bool,
    ) -> bool:
        """Record the end of an attempt; returns whether its response is the final one for the request.

        `cancelled`: the proxy cancelled the attempt, because another attempt got a response or the client
        disconnected.
        """
        request.attempts_in_flight -= 1
        self.load_balancer.attempt_ended(worker)
        rule = ATTEMPT_RULES[outcome.result]
        if rule.may_have_run:
            request.reached_worker = True
            request.may_have_run = True
        if not rule.allows_retry(request.route.idempotent):
            request.retry_forbidden = True
        match outcome.result:
            case AttemptResult.RESPONSE:
                return self._record_response(now, request, worker, outcome)
            case AttemptResult.NOT_RUN:
                self.load_balancer.record_overload(now, worker)
                if outcome.response is not None:
                    request.reached_worker = True
                    self.load_balancer.record_refusal(now, worker)
            case AttemptResult.CONNECT_FAILED:
                self.load_balancer.record_connection_failure(now, worker)
            case AttemptResult.CONNECTION_LOST | AttemptResult.TIMED_OUT:
                self._record_no_response(now, request, worker, outcome, cancelled)
            case AttemptResult.CONNECTION_LIMIT_REACHED:
                request.attempted_workers.remove(worker.record.id)
                self.load_balancer.record_overload(now, worker)
        return False

    def _record_response(
        self, now: float, request: AdmittedRequest, worker: WorkerState, outcome: AttemptOutcome
    ) -> bool:
        """Record a worker's response; returns whether it is final: a success, or no retry is allowed."""
        response = outcome.response
        assert response is not None
        if response.status < MIN_FAILURE_STATUS:
            size_bytes = request.size_bytes + response.size
            self.load_balancer.record_response(now, worker, request.route, outcome.elapsed, size_bytes)
            return True
        if response.status != DEADLINE_EXCEEDED_STATUS:
            self.load_balancer.record_outlier_failure(now, worker)
        return not self._may_retry(request)

    def _record_no_response(
        self,
        now: float,
        request: AdmittedRequest,
        worker: WorkerState,
        outcome: AttemptOutcome,
        cancelled: bool,
    ) -> None:
        if cancelled:
            baseline_latency = self.load_balancer.baseline_latency(request.route)
            if outcome.elapsed > HEDGE_AFTER_LATENCIES * baseline_latency:
                self.load_balancer.record_slow_attempt(now, worker)
        elif not outcome.idle_reset:
            self.load_balancer.record_connection_failure(now, worker)

    @staticmethod
    def final_rejection(request: AdmittedRequest) -> Rejection:
        """The rejection when no attempt follows: a 503 only if the request has certainly not run."""
        if request.may_have_run or request.attempts_in_flight:
            return rejections.OUTCOME_UNKNOWN
        return rejections.NO_WORKER

    # ---- limits per worker

    def max_connections(self, worker: WorkerState) -> int:
        """The maximum number of connections from this proxy to a worker."""
        return self.selection.max_connections(worker)

    def connect_timeout(self, worker: WorkerState) -> float:
        """The timeout for connecting to a worker, in seconds."""
        return self.selection.connect_timeout(worker)
