"""Requests that no totals can show: of the time before the first totals, and before the registries lost them.

Each such time is a span of the tenant (`UnknownSpan`). What other proxies admitted in it is estimated by
their rate before it, or if that is not known, by the rate since. Times are seconds of the monotonic clock,
quantities are requests.
"""

import math
from typing import Final

from ashlift.traffic.tenant_usage import QuotaBounds, TenantUsage, UnknownSpan
from ashlift.traffic.usage_totals import UsageTotals

HOT_FACTOR: Final = 2.0  # demand over the rate limit, above which nothing unknown is assumed to be unused
# For which the demand is counted: since the first totals, within these bounds, and for the longest of them.
MIN_DEMAND_SECONDS: Final = 0.25
MAX_DEMAND_SECONDS: Final = 1.0
PRIOR_REQUESTS: Final = 4.0  # of the demand, so that a few requests do not make a tenant hot
# Added to expected and seen requests, so that a few requests are no surge.
SURGE_PRIOR_REQUESTS: Final = 3.0
MAX_SURGE_FACTOR: Final = 10.0
RATE_KNOWN_SECONDS: Final = 0.6  # of complete totals, from which on a tenant's rate is known
UNKNOWN_USAGE_FACTOR: Final = 1.2  # on the known rate


class UnknownUsage:
    """Estimates the requests of other proxies in spans without totals."""

    def __init__(self, bounds: QuotaBounds, totals: UsageTotals) -> None:
        self._bounds = bounds
        self._totals = totals

    def estimate(self, now: float, tenant: TenantUsage) -> float:
        """Requests that all proxies may have admitted in such spans of the rule's window."""
        window_since = now - self._bounds.quota_window
        tenant.forget_unknown_before(window_since)
        if not tenant.unknown_spans:
            return 0.0
        if not self.is_rate_known(tenant) and self._may_be_used_up(now, tenant):
            return tenant.enforced_quota
        return sum(
            (span.until - max(window_since, span.since)) * self._rate(now, tenant, span)
            for span in tenant.unknown_spans
        )

    def _may_be_used_up(self, now: float, tenant: TenantUsage) -> bool:
        """Whether a tenant that asks for far more than its rate may have got all of its quota unseen."""
        return self._totals.all_sources_are_young(now) and self.is_hot(now, tenant)

    def _rate(self, now: float, tenant: TenantUsage, span: UnknownSpan) -> float:
        """Requests a second in the span.

        Limited by the tenant's rate limit, or, if it asks for far more and all registries have just
        restarted, by the whole quota.
        """
        is_hot = self.is_hot(now, tenant)
        highest_rate = tenant.rate_limit
        if self._may_be_used_up(now, tenant):
            highest_rate = tenant.enforced_quota / self._bounds.quota_window
        elif span.remote_rate == math.inf and self.is_rate_known(tenant):
            return min(highest_rate, UNKNOWN_USAGE_FACTOR * self._known_rate(tenant))
        surge = self._local_surge(now, tenant, span) if is_hot else 1.0
        return min(highest_rate, UNKNOWN_USAGE_FACTOR * span.remote_rate * surge)

    def is_rate_known(self, tenant: TenantUsage) -> bool:
        """Whether the totals are complete for some time since the tenant's first ones."""
        return self._totals.complete_until - tenant.totals_since > RATE_KNOWN_SECONDS

    def _known_rate(self, tenant: TenantUsage) -> float:
        """Accepted requests a second at all proxies since the first totals."""
        complete_until = self._totals.complete_until
        known = tenant.window.sums_between(tenant.totals_since, complete_until)
        return (known.local_accepted + known.remote_accepted) / (complete_until - tenant.totals_since)

    def is_hot(self, now: float, tenant: TenantUsage) -> bool:
        """Whether the tenant asks for far more than its rate, if other proxies are asked as much."""
        since_totals = max(MIN_DEMAND_SECONDS, now - tenant.totals_since)
        return any(
            self._asks_for_too_much(now, tenant, seconds)
            for seconds in (min(MAX_DEMAND_SECONDS, since_totals), MAX_DEMAND_SECONDS)
        )

    def _asks_for_too_much(self, now: float, tenant: TenantUsage, seconds: float) -> bool:
        asked = tenant.window.sums_since(now - seconds).local_total - PRIOR_REQUESTS
        return asked * self._totals.proxy_count > HOT_FACTOR * tenant.rate_limit * seconds

    def _local_surge(self, now: float, tenant: TenantUsage, span: UnknownSpan) -> float:
        """Requests at this proxy since the span began over those expected by its rate before."""
        since = max(span.since, now - self._bounds.quota_window)
        asked = tenant.window.sums_since(since).local_total
        return surge_factor(asked, span.local_rate * (now - since))


def surge_factor(seen: float, expected: float) -> float:
    """Return seen over expected requests: at least 1, and near 1 for few requests."""
    ratio = (seen + SURGE_PRIOR_REQUESTS) / (max(0.0, expected) + SURGE_PRIOR_REQUESTS)
    return min(MAX_SURGE_FACTOR, max(1.0, ratio))
