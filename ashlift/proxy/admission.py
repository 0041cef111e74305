"""Admission of requests: matches the route, checks the API key, applies the tenant's quota. No I/O."""

import random
from dataclasses import dataclass, field
from typing import Final

from ashlift.config.routing_table import Route, Tenant
from ashlift.config.settings import Bounds
from ashlift.proxy import rejections
from ashlift.proxy.cluster_view import ClusterView
from ashlift.proxy.rejections import Rejection, RejectionReason
from ashlift.traffic.rate_limiter import RateLimiter
from ashlift.traffic.retry_budget import RetryBudget

# A configuration confirmed within this time counts as fresh: registries confirm it several times a second.
FRESH_CONFIGURATION_SECONDS: Final = 1.0
# Bounds of the time that a request without a matching route or API key waits for a confirmed configuration.
MAX_CONFIGURATION_WAIT_SECONDS: Final = 0.8
CONFIGURATION_WAIT_FRACTION: Final = 0.25  # of the time that the client will wait
REVOCATION_MARGIN_SECONDS: Final = 0.3  # part of the bound `Revoke` that is left for reaching the worker
START_UP_SECONDS: Final = 1.2  # expected time until the first configuration, for `Retry-After`
RESPONSE_MARGIN_SECONDS: Final = 0.02  # part of the client's timeout that is left for sending the response
INITIAL_SIZE_BYTES: Final = 500


@dataclass(slots=True, eq=False)
class AdmittedRequest:
    """An admitted request and the state of its attempts. Times are monotonic, in seconds."""

    route: Route
    tenant: Tenant | None
    service: str
    allowed_regions: frozenset[str]  # empty: any
    admitted_at: float
    deadline: float
    attempted_workers: list[str] = field(default_factory=list)  # ids
    attempts_in_flight: int = 0
    may_have_run: bool = False  # rules out a 503 and a refund
    retry_forbidden: bool = False  # by the result of an earlier attempt
    reached_worker: bool = False  # whether or not it was run there; further attempts need retry budget
    size_bytes: int = INITIAL_SIZE_BYTES  # head and body
    no_further_hedge: bool = False


def configuration_is_current(cluster: ClusterView, bounds: Bounds, now: float) -> bool:
    """Whether the configuration is recent enough to accept API keys: confirmed within the bound `Revoke`.

    A proxy that has lost all registries stops serving once this is false. Until then
    `ashlift.traffic.quota_sharing` limits how much of a quota it may use.
    """
    return cluster.configuration.age(now) <= bounds.revoke - REVOCATION_MARGIN_SECONDS


def allowed_regions(route: Route, tenant: Tenant | None) -> frozenset[str] | None:
    """The regions whose workers may get a request; empty: any. None: route and tenant have none in common."""
    regions = route.home_regions
    if tenant is None or not tenant.home_regions:
        return regions
    if not regions:
        return tenant.home_regions
    return (regions & tenant.home_regions) or None


class Admission:
    """Decides whether a request is forwarded. Has no state beyond that of the policies passed to it."""

    def __init__(
        self,
        cluster: ClusterView,
        rate_limiter: RateLimiter,
        retry_budget: RetryBudget,
        bounds: Bounds,
        rng: random.Random,
        started_at: float,
    ) -> None:
        self._cluster = cluster
        self._rate_limiter = rate_limiter
        self._retry_budget = retry_budget
        self._bounds = bounds
        self._rng = rng
        self._started_at = started_at

    def admit(
        self, now: float, host: str, path: str, key: str, remaining: float, received_at: float
    ) -> AdmittedRequest | Rejection:
        """Admit a request that was received completely at `received_at`.

        `key`: its API key. `remaining`: seconds that its client will still wait.
        """
        table = self._cluster.configuration.routing_table
        if table is None:
            return self._starting(now)
        route = table.find_route(host, path)
        if route is None:
            return self._unmatched(rejections.NO_ROUTE, now, remaining, received_at)
        tenant = None
        if table.has_tenants and not route.anonymous:
            tenant = table.find_tenant(key)
            if tenant is None:
                return self._unmatched(rejections.UNKNOWN_API_KEY, now, remaining, received_at)
            if not configuration_is_current(self._cluster, self._bounds, now):
                return rejections.NOT_READY
        return self._admit_matched(now, route, tenant, remaining)

    def refresh_allowed_regions(self, request: AdmittedRequest) -> bool:
        """Apply changes of home regions since the request was admitted; returns whether any region is left.

        For a route or tenant that has been removed, the state at admission applies.
        """
        table = self._cluster.configuration.routing_table
        assert table is not None, "no request is admitted without a configuration"
        route = table.routes.get(request.route.name, request.route)
        tenant = request.tenant
        if tenant is not None:
            tenant = table.tenants.get(tenant.name, tenant)
        regions = allowed_regions(route, tenant)
        request.allowed_regions = request.allowed_regions if regions is None else regions
        return regions is not None

    def admit_repeat(self, now: float, request: AdmittedRequest) -> bool:
        """Whether the tenant's quota admits a further attempt of a request that may have run."""
        return request.tenant is None or self._rate_limiter.admit_repeat(now, request.tenant.name)

    def refund(self, now: float, request: AdmittedRequest) -> None:
        """Return the request's unit of quota to its tenant, unless a worker may have run the request."""
        if request.tenant is not None and not request.may_have_run:
            self._rate_limiter.refund(now, request.tenant.name, request.admitted_at)

    def _admit_matched(
        self, now: float, route: Route, tenant: Tenant | None, remaining: float
    ) -> AdmittedRequest | Rejection:
        regions = allowed_regions(route, tenant)
        if regions is None:
            return rejections.NO_ALLOWED_REGION
        if tenant is not None:
            retry_after = self._rate_limiter.admit(now, tenant.name)
            if retry_after is not None:
                return Rejection(429, RejectionReason.QUOTA_EXCEEDED, retry_after)
        service = self._choose_service(route)
        deadline = now + min(remaining, route.timeout or remaining) - RESPONSE_MARGIN_SECONDS
        self._retry_budget.record_request(now, service)
        return AdmittedRequest(route, tenant, service, regions, now, deadline)

    def _choose_service(self, route: Route) -> str:
        """Draw a service from the route's traffic split, by weight."""
        if len(route.traffic_split) == 1:
            return route.traffic_split[0][0]
        names = [name for name, weight in route.traffic_split if weight > 0]
        weights = [weight for _, weight in route.traffic_split if weight > 0]
        return self._rng.choices(names, weights)[0]

    def _starting(self, now: float) -> Rejection:
        """The rejection while there is no configuration yet."""
        ready_in = self._started_at + START_UP_SECONDS - now
        retry_after = max(rejections.UNAVAILABLE_RETRY_AFTER_SECONDS, ready_in)
        return Rejection(503, RejectionReason.NOT_READY, retry_after)

    def _unmatched(self, rejection: Rejection, now: float, remaining: float, received_at: float) -> Rejection:
        """Reject a request whose route or API key is not in the configuration.

        `rejection` is returned only if the configuration was confirmed to be the newest after the request was
        received. An older one may lack a change that was acknowledged to the client before it sent the
        request.
        """
        if self._cluster.configuration.confirmed_at >= received_at:
            return rejection
        if self._cluster.configuration.age(now) > FRESH_CONFIGURATION_SECONDS:
            return rejections.NOT_READY
        max_wait = CONFIGURATION_WAIT_FRACTION * (remaining + now - received_at)
        reconsider_until = received_at + min(MAX_CONFIGURATION_WAIT_SECONDS, max_wait)
        retry_after = rejections.UNAVAILABLE_RETRY_AFTER_SECONDS
        return Rejection(503, RejectionReason.UNCONFIRMED, retry_after, reconsider_until)
