"""Probabilistic suppression after Trypema's suppressed strategy, and the usage that it is based on.

`total` is the number of a tenant's requests in its window, `declined` the refused ones of them, and
`accepted = total - declined`. All requests are admitted while `accepted` is below the soft limit, none once
`total` reaches the hard limit; between them, each is declined with the probability of the suppression factor:

    soft_limit         = window_size_seconds * rate_limit
    hard_limit         = soft_limit * hard_limit_factor
    perceived_rate     = max(total / window_size_seconds, rate_in_last_1000ms)
    suppression_factor = 1 - rate_limit / perceived_rate

A proxy counts its own requests at once, and those of others when it receives totals.
"""

import random
from typing import Final, NamedTuple

from ashlift.gatekeeper.admission.window import suppression_factor
from ashlift.traffic.tenant_usage import TenantUsage
from ashlift.traffic.usage_window import MS_PER_SECOND

# Large, so that during a spike all proxies and clients are admitted with the same probability.
HARD_LIMIT_FACTOR: Final = 12.0
FACTOR_CACHE_SECONDS: Final = 0.1  # for which a suppression factor is kept
# Demand over the rate limit, above which a tenant is over its limit: below it, uneven traffic looks like a
# surge.
OVERLOAD_FACTOR: Final = 1.5


class ObservedUsage(NamedTuple):
    """Usage and limits of one tenant: of all proxies, or of this proxy and its share."""

    total: float  # requests in the window
    accepted: float  # requests in the window
    last_second_total: float  # requests
    soft_limit: float  # requests
    rate_limit: float  # requests a second
    window_seconds: float


def observe_local(
    now: float, tenant: TenantUsage, share: float, quota_window_seconds: float
) -> ObservedUsage:
    """Return the usage at this proxy and its share of the limit, for an isolated proxy.

    If totals have included the tenant before, the limit covers the window of the rule QUOTA.
    """
    window_seconds = tenant.window_seconds
    soft_limit = tenant.burst
    if tenant.totals_since <= now:
        window_seconds = max(window_seconds, quota_window_seconds)
        soft_limit = tenant.rate_limit * window_seconds + tenant.burst
    tenant.window.discard_old(now, tenant.retention_seconds)
    usage = tenant.window.sums_since(now - window_seconds)
    return ObservedUsage(
        usage.local_total,
        usage.local_accepted,
        tenant.window.sums_since(now - 1).local_total,
        soft_limit * share,
        tenant.rate_limit * share,
        window_seconds,
    )


def observe_all(now: float, tenant: TenantUsage, reported_until: float) -> ObservedUsage:
    """Return the usage at all proxies: as reported until `reported_until`, extrapolated since then.

    Above the limit, the others' rate is assumed to have risen like this proxy's, as clients spread evenly.
    """
    total, accepted, last_second_total = tenant.window.recent_usage(now, tenant.window_seconds)
    since_reported = tenant.window.sums_since(reported_until)
    before = tenant.window.sums_between(reported_until - 1, reported_until)
    remote_total_rate = before.remote_total
    remote_accepted_rate = before.remote_accepted
    unreported_seconds = now - reported_until
    if before.local_total + remote_total_rate > OVERLOAD_FACTOR * tenant.rate_limit:
        remote_to_local = before.remote_total / max(1.0, before.local_total)
        remote_total_rate = max(
            remote_total_rate, since_reported.local_total * remote_to_local / unreported_seconds
        )
        remote_accepted_rate = max(
            remote_accepted_rate, since_reported.local_accepted * remote_to_local / unreported_seconds
        )
    counted_seconds = min(unreported_seconds, tenant.window_seconds)
    return ObservedUsage(
        total + remote_total_rate * counted_seconds,
        accepted + remote_accepted_rate * counted_seconds,
        last_second_total + remote_total_rate * min(unreported_seconds, 1.0),
        tenant.burst,
        tenant.rate_limit,
        tenant.window_seconds,
    )


def is_admitted(now: float, tenant: TenantUsage, observed: ObservedUsage, rng: random.Random) -> bool:
    """Return whether the request is admitted; the suppression factor is kept for a short time."""
    if observed.accepted < observed.soft_limit:
        return True
    if observed.total >= HARD_LIMIT_FACTOR * observed.soft_limit:
        return False
    if now >= tenant.suppression_factor_until:
        tenant.suppression_factor = suppression_factor(
            observed.rate_limit,
            observed.window_seconds * MS_PER_SECOND,
            observed.total,
            observed.last_second_total,
        )
        tenant.suppression_factor_until = now + FACTOR_CACHE_SECONDS
    return rng.random() >= tenant.suppression_factor
