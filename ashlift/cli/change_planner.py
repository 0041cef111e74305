"""Predicts how a configuration change affects recorded requests. Performs no I/O."""

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from enum import StrEnum

from attrs import define, frozen

from ashlift.config.routing_table import RoutingTable


@frozen
class RecordedRequest:
    """A recorded request; `at` is its time in seconds, `key` the tenant's API key or empty."""

    at: float
    host: str
    path: str
    key: str = ""


class OutcomeKind(StrEnum):
    """How a request is handled."""

    FORWARDED = "forwarded"
    REJECTED = "rejected"
    NO_ROUTE = "unknown"


@frozen(order=True)
class Outcome:
    """How a request is handled: `details` are the possible services, or the reason for a rejection."""

    kind: OutcomeKind
    details: tuple[str, ...] = ()

    def describe(self) -> str:
        """Return the outcome as text."""
        if self.kind is OutcomeKind.FORWARDED:
            return f"forwarded to {', '.join(self.details)}"
        return ": ".join((self.kind, *self.details))


@frozen(order=True)
class RouteOutcomes:
    """The outcomes of a request under the old and the new configuration."""

    route: str  # in the old, else in the new configuration; without a route, host and path
    before: Outcome
    after: Outcome


@define
class TokenBucket:
    """Rate limit of one tenant: `rate` requests per second, with a burst allowance on top.

    The bucket starts full and holds `rate + burst` tokens.
    """

    rate: float
    burst: float
    tokens: float = 0.0
    updated_at: float = -math.inf

    def take(self, now: float) -> bool:
        """Take one token for a request; return False if none is left."""
        if not self.rate:
            return True
        self.tokens = min(self.burst + self.rate, self.tokens + (now - self.updated_at) * self.rate)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def compare_outcomes(
    old: RoutingTable, new: RoutingTable, requests: Sequence[RecordedRequest]
) -> Mapping[RouteOutcomes, int]:
    """Count requests by route and by their outcomes before and after the change.

    Unaffected requests are counted too: their two outcomes are equal.
    """
    ordered = sorted(requests, key=lambda request: request.at)
    counts: dict[RouteOutcomes, int] = defaultdict(int)
    outcomes = zip(ordered, _predict_outcomes(old, ordered), _predict_outcomes(new, ordered), strict=True)
    for request, before, after in outcomes:
        route = old.find_route(request.host, request.path) or new.find_route(request.host, request.path)
        name = route.name if route else f"{request.host}{request.path}"
        counts[RouteOutcomes(name, before, after)] += 1
    return dict(counts)


def _predict_outcomes(table: RoutingTable, requests: Iterable[RecordedRequest]) -> Iterator[Outcome]:
    """Yield the outcome of each request; the requests must be ordered by time."""
    buckets: dict[str, TokenBucket] = {}  # by tenant
    for request in requests:
        yield _predict_outcome(table, request, buckets)


def _predict_outcome(
    table: RoutingTable, request: RecordedRequest, buckets: dict[str, TokenBucket]
) -> Outcome:
    route = table.find_route(request.host, request.path)
    if route is None:
        return Outcome(OutcomeKind.NO_ROUTE)
    tenant = table.find_tenant(request.key)
    if table.has_tenants and not route.anonymous and tenant is None:
        return Outcome(OutcomeKind.REJECTED, ("key",))
    if tenant is not None and not route.anonymous:
        bucket = buckets.setdefault(tenant.name, TokenBucket(tenant.rate_limit, tenant.burst_size))
        if not bucket.take(request.at):
            return Outcome(OutcomeKind.REJECTED, ("quota",))
    services = tuple(f"{service} {weight:g}" for service, weight in route.traffic_split)
    return Outcome(OutcomeKind.FORWARDED, services)
