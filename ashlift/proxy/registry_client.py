"""The proxy's side of the RPC `pull`: builds the reports to a registry and applies the responses. No I/O.

`ashlift.proxy.registry_poller` makes the calls.
"""

import random
from typing import Any, Final, NamedTuple

from ashlift.config.settings import Settings
from ashlift.errors import Failure, FailureReason
from ashlift.proxy.pull_messages import Json, PullReport, PullResponse, UsageReport
from ashlift.proxy.registry_selection import RegistrySelection
from ashlift.proxy.request_router import RequestRouter
from ashlift.rpc.client import CONNECT_TIMEOUT_SECONDS
from ashlift.rpc.fragmentation import Reassembler
from ashlift.rpc.sources import OPERATOR_SOURCE

LONG_POLL_SECONDS: Final = 0.25  # how long a registry may hold a call while it has no changes
RESPONSE_TIMEOUT_SECONDS: Final = 0.6  # in addition to the long poll; then another registry is called
# Limit for a response of which bytes keep arriving, such as a complete configuration over a slow link.
MAX_RESPONSE_SECONDS: Final = 3.0
MAX_CONFIGURATION_AGE_SECONDS: Final = 1.5  # above this, another registry is called
# Short, so that an unreachable seed does not delay the start; doubled after each failed connection.
FIRST_CONNECT_TIMEOUT_SECONDS: Final = 0.15
URGENT_PULL_AGE_SECONDS: Final = 1.0  # configuration age above which the registry must respond immediately


class PullRequest(NamedTuple):
    """One call to a registry. `sent_at`: monotonic time. `connect_timeout`: seconds."""

    registry_ip: str
    sent_at: float
    report: PullReport
    connect_timeout: float

    @property
    def body(self) -> Json:
        """The body of the call."""
        return self.report.to_wire()


class RegistryClient:
    """Builds the calls to registries, and applies each response to the request router."""

    def __init__(
        self, settings: Settings, router: RequestRouter, incarnation: str, rng: random.Random
    ) -> None:
        self._settings = settings
        self._router = router
        self._incarnation = incarnation
        self._selection = RegistrySelection([host for host, _ in settings.seeds], rng)
        self._calls = 0
        self._reassembler = Reassembler()
        self._connect_timeout = FIRST_CONNECT_TIMEOUT_SECONDS
        self._transit_seconds = 0.0  # of the last call, both ways

    @property
    def seeds(self) -> list[str]:
        """IPs of the registries in the settings file."""
        return self._selection.seeds

    @seeds.setter
    def seeds(self, seeds: list[str]) -> None:
        self._selection.seeds = seeds

    def next_request(self, now: float) -> PullRequest | None:
        """The next call, to be made immediately; None: no registry is known."""
        registry_ip = self._selection.choose(now, self._router.cluster.configuration.core_machines)
        if registry_ip is None:
            return None
        self._calls += 1
        return PullRequest(registry_ip, now, self._report(now), self._connect_timeout)

    def _report(self, now: float) -> PullReport:
        router = self._router
        settings = self._settings
        configuration = router.cluster.configuration
        client_address = settings.bindings.front
        return PullReport(
            node=settings.node_name,
            incarnation=self._incarnation,
            zone=settings.zone,
            region=settings.region,
            client_address=f"{client_address[0]}:{client_address[1]}" if client_address else "",
            ready=router.is_ready(now),
            versions=router.cluster.versions(),
            wait=0.0 if configuration.routing_table is None else LONG_POLL_SECONDS,
            in_flight=router.load_balancer.in_flight(),
            failures=router.load_balancer.outlier_detector.failure_counts(now),
            requested_fragment=self._reassembler.wanted_fragment(),
            urgent=configuration.age(now) > URGENT_PULL_AGE_SECONDS,
            usage=UsageReport(self._calls, router.rate_limiter.take_new_counts(), self._transit_seconds),
            leases=router.rate_limiter.lease_states(now),
        )

    def handle_response(self, request: PullRequest, now: float, answer: Json | Failure) -> bool:
        """Apply the answer to `request`; returns False if the call failed and a pause must follow."""
        body = answer if isinstance(answer, Failure) else self._with_reassembled_update(answer)
        if isinstance(body, Failure):
            self._handle_failure(request, now, body)
            return False
        self._connect_timeout = FIRST_CONNECT_TIMEOUT_SECONDS
        self._router.rate_limiter.confirm_counts(request.report.usage.counts)
        response = PullResponse.from_wire(body)
        self._transit_seconds = max(0.0, now - request.sent_at - response.hold_seconds)
        self._selection.record_response(request.registry_ip, response.registries)
        change = self._router.cluster.apply(request.sent_at, now, response)
        self._router.apply_change(now, change)
        self._update_policies(request, now, response)
        if not response.newer_version_pending and self._is_stale(response):
            self._selection.record_stale(request.registry_ip, now)
        return True

    def _handle_failure(self, request: PullRequest, now: float, failure: Failure) -> None:
        counts = request.report.usage.counts
        if failure.reason == FailureReason.UNREACHABLE:
            self._router.rate_limiter.restore_counts(counts)
            self._connect_timeout = min(CONNECT_TIMEOUT_SECONDS, 2 * self._connect_timeout)
        else:
            # The registry may have added these counts; reporting them again would add them twice.
            self._router.rate_limiter.confirm_counts(counts)
        self._selection.record_failure(request.registry_ip, now)

    def _update_policies(self, request: PullRequest, now: float, response: PullResponse) -> None:
        """Update load balancing, outlier detection and rate limiting with the reports of all proxies."""
        cluster = self._router.cluster
        load_balancer = self._router.load_balancer
        report = request.report
        load_balancer.update_peer_load(now, cluster.in_flight(), report.in_flight)
        own_source = next(iter(response.alive), None)  # a registry lists itself first
        from_own_source = cluster.failure_totals(own_source) if own_source else {}
        load_balancer.outlier_detector.record_failure_totals(
            now, cluster.failure_totals(), from_own_source, report.failures
        )
        complete_until = None
        if response.usage_age is not None:
            # The age is as of the response, which left at `sent_at` plus the hold time, or later.
            reported_until = request.sent_at + response.hold_seconds - response.usage_age
            complete_until = min(reported_until, cluster.unreported_since())
        self._router.rate_limiter.record_usage_totals(
            now,
            cluster.usage_totals(),
            cluster.source_coverage(),
            cluster.registries_started_at(),
            complete_until,
            cluster.recent_usage(),
        )
        self._router.rate_limiter.set_silent_proxies(now, cluster.silent_proxies())
        self._router.rate_limiter.record_leases(now, request.sent_at, cluster.lease_tables())

    @staticmethod
    def _is_stale(response: PullResponse) -> bool:
        age = response.configuration_age
        return age is None or age > MAX_CONFIGURATION_AGE_SECONDS

    def _with_reassembled_update(self, body: Json) -> Json | Failure:
        """The body with the operator's update reassembled, or without it while fragments are missing.

        If `late` is set, a newer update exists, so the age does not apply to the configuration held here.
        """
        try:
            sources: dict[str, Any] = dict(body["sources"])
            late = bool(body.get("late"))
            if OPERATOR_SOURCE in sources:
                update = self._reassembler.add(sources.pop(OPERATOR_SOURCE))
                if update is not None:
                    sources[OPERATOR_SOURCE] = update
        except (LookupError, TypeError, ValueError) as error:
            return Failure(FailureReason.INVALID, f"pull: {error!r}")
        return {**body, "sources": sources, "late": late, "age": None if late else body.get("age")}
