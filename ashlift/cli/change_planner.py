"""Plans a change of the configuration: what becomes of recorded requests before and after it. Pure."""

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from enum import StrEnum

from attrs import define, frozen

from ashlift.config.routing_table import RoutingTable


@frozen
class RecordedRequest:
    """One request of a record. `at` is in seconds; `key` is its tenant's API key, or empty."""

    at: float
    host: str
    path: str
    key: str = ""


class OutcomeKind(StrEnum):
    """What becomes of a request."""

    FORWARDED = "forwarded"
    REJECTED = "rejected"
    NO_ROUTE = "unknown"


@frozen(order=True)
class Outcome:
    """What becomes of a request, and the services that it may go to, or why it is rejected."""

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

    route: str  # of the old configuration, else of the new one; host and path where there is none
    before: Outcome
    after: Outcome


@define
class TokenBucket:
    """A tenant's quota as the operator states it: `rate` a second, and `burst` more at once."""

    rate: float
    burst: float
    tokens: float = 0.0
    updated_at: float = -math.inf

    def take(self, now: float) -> bool:
        """Return whether a request is inside the quota, and count it if so."""
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
    """Return the number of requests by route and by what becomes of them before and after the change.

    Requests that are not affected are counted too, with two outcomes alike.
    """
    ordered = sorted(requests, key=lambda request: request.at)
    counts: dict[RouteOutcomes, int] = defaultdict(int)
    outcomes = zip(ordered, _outcomes(old, ordered), _outcomes(new, ordered), strict=True)
    for request, before, after in outcomes:
        route = old.find_route(request.host, request.path) or new.find_route(request.host, request.path)
        name = route.name if route else f"{request.host}{request.path}"
        counts[RouteOutcomes(name, before, after)] += 1
    return dict(counts)


def _outcomes(table: RoutingTable, requests: Iterable[RecordedRequest]) -> Iterator[Outcome]:
    """The outcome of each request, in order of time."""
    buckets: dict[str, TokenBucket] = {}  # by tenant
    for request in requests:
        yield _outcome(table, request, buckets)


def _outcome(table: RoutingTable, request: RecordedRequest, buckets: dict[str, TokenBucket]) -> Outcome:
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
