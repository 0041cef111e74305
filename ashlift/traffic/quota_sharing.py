"""Shares of a tenant's quota between proxies, which keep the rule QUOTA whatever suppression admits.

Suppression (`ashlift.traffic.suppression`) uses totals that are up to a second old. This module bounds what
all proxies together can admit until the next totals: the remaining quota is divided among the proxies, partly
evenly and partly by their use, and each admits no more than its part. An isolated proxy admits its leased
share (`ashlift.traffic.quota_leases`) of what the last totals left; the others leave just that to it
(`ashlift.traffic.unreported_usage`).

Times are seconds of the monotonic clock, quantities are requests.
"""

import math
import random
from typing import Final

from ashlift.traffic.quota_leases import FULL_QUOTA
from ashlift.traffic.tenant_usage import QuotaBounds, TenantUsage
from ashlift.traffic.unknown_usage import UnknownUsage, surge_factor
from ashlift.traffic.unreported_usage import SPENDING_BURST_SECONDS
from ashlift.traffic.usage_totals import UsageTotals
from ashlift.traffic.usage_window import UsageSums

# Part of the remaining quota that is divided evenly; the rest is divided by use.
EVEN_SPLIT_RATIO: Final = 0.5
LEASED_EVEN_SPLIT_RATIO: Final = 0.25  # the same for the share that a proxy asks to lease
LEASED_RATIO: Final = 0.95  # of what the proxies use, so that who uses more finds room
# Demand of the last second over the lease, above which an isolated proxy spends only a part of its lease:
# connected proxies may not have noticed yet that its reports are missing.
SPIKE_FACTOR: Final = 2.5
SPIKE_SHARE_FACTOR: Final = 0.7
# Until the others have noticed that a proxy is cut off; it spends its lease evenly until then.
DETECTION_SECONDS: Final = 2.5
INITIAL_BURST_SECONDS: Final = 0.5
# Added to each proxy's admitted requests, so that a few requests do not decide the division.
PRIOR_REQUESTS: Final = 2.0
# Remaining quota over the estimate for other proxies since the last totals, above which it is not divided.
AMPLE_QUOTA_FACTOR: Final = 2.0
ROUNDING_SECONDS: Final = 1.0  # for which a random rounding is kept


class QuotaSharing:
    """Decides whether this proxy's part of a quota has room for one more request."""

    def __init__(self, rng: random.Random, bounds: QuotaBounds, totals: UsageTotals) -> None:
        self._random = rng
        self._bounds = bounds
        self._totals = totals
        self._unknown_usage = UnknownUsage(bounds, totals)

    # ---- isolated

    def review_lease(self, now: float, tenant: TenantUsage) -> None:
        """Update the share of the quota that this proxy asks to lease, by its use."""
        if not tenant.leases.is_due_for_review(now):
            return
        self._totals.remember_rates(tenant, self._totals.received_at)
        proxy_count = self._totals.proxy_count
        prior_rate = PRIOR_REQUESTS / self._bounds.quota_window
        local_rate = tenant.local_rate_before
        use_ratio = (local_rate + prior_rate) / (
            local_rate + tenant.remote_rate_before + prior_rate * proxy_count
        )
        even_part = LEASED_EVEN_SPLIT_RATIO / proxy_count
        tenant.leases.review(now, LEASED_RATIO * (even_part + (1 - LEASED_EVEN_SPLIT_RATIO) * use_ratio))

    def isolated_share(self, now: float, tenant: TenantUsage) -> float:
        """Return this proxy's share of any limit while isolated, between 0 and 1."""
        return tenant.leases.held(now) / FULL_QUOTA

    def has_isolated_room(self, now: float, tenant: TenantUsage) -> bool:
        """Return whether this proxy's leased share has room for one more request.

        The others reckon with the same share of the same rest, spent evenly except for a burst; so no
        rounding is added.
        """
        complete, later = self._sums(now, tenant)
        left = max(0.0, tenant.enforced_quota - _known_usage(complete, later))
        share = self.isolated_share(now, tenant)
        since_reported = now - self._totals.reported_until
        left *= min(1.0, (since_reported + INITIAL_BURST_SECONDS) / DETECTION_SECONDS)
        last_second = tenant.window.sums_since(now - 1)
        asked = (last_second.local_total - PRIOR_REQUESTS) * self._bounds.quota_window
        if asked > SPIKE_FACTOR * share * tenant.enforced_quota:
            share *= SPIKE_SHARE_FACTOR
        paced = tenant.enforced_quota * (1 + SPENDING_BURST_SECONDS) / self._bounds.quota_window
        return later.local_accepted + 1 <= share * left and last_second.local_accepted + 1 <= max(
            1.0, share * paced
        )

    # ---- with totals

    def has_room(self, now: float, tenant: TenantUsage) -> bool:
        """Return whether this proxy's part of the remaining quota has room for one more request."""
        complete, later = self._sums(now, tenant)
        unknown = self._unknown_usage.estimate(now, tenant)
        left = (
            tenant.enforced_quota
            - _known_usage(complete, later)
            - unknown
            - self._totals.estimate_unreported(now, tenant)
        )
        if self._has_ample_quota(now, tenant, later, left):
            return True
        if not self._is_within_last_lease(now, tenant, complete, later):
            return False
        proxy_count = self._totals.proxy_count
        # The unknown usage is assumed to be spread evenly over the proxies.
        use_ratio = (complete.local_accepted + unknown / proxy_count) / max(
            1.0, complete.local_accepted + complete.remote_accepted + unknown
        )
        part = left * (EVEN_SPLIT_RATIO / proxy_count + (1 - EVEN_SPLIT_RATIO) * use_ratio)
        return later.local_accepted + 1 <= part + self._rounding(now, tenant)

    def _is_within_last_lease(
        self, now: float, tenant: TenantUsage, complete: UsageSums, later: UsageSums
    ) -> bool:
        """Whether one more request fits into the share leased last, while all registries are new.

        They know only a part of what was admitted within the rule's window, as the account that granted the
        leases has ended; the shares of all proxies do not exceed the quota in sum.
        """
        if not self._totals.all_sources_are_young(now):
            return True
        share = tenant.leases.last_share(self._totals.proxy_count)
        admitted = complete.local_accepted + later.local_accepted
        return admitted + 1 <= tenant.enforced_quota * share / FULL_QUOTA

    def _sums(self, now: float, tenant: TenantUsage) -> tuple[UsageSums, UsageSums]:
        """The usage in the rule's window while the totals are complete, and later.

        What this proxy has admitted later counts against its part: the others may have admitted as much of
        theirs, as their totals may miss it.
        """
        since = now - self._bounds.quota_window
        complete_until = max(since, self._totals.complete_until)
        return (
            tenant.window.sums_between(since, complete_until),
            tenant.window.sums_since(complete_until),
        )

    def _has_ample_quota(self, now: float, tenant: TenantUsage, later: UsageSums, left: float) -> bool:
        """Whether the remaining quota need not be divided, which is inexact for few requests.

        False as long as the other proxies' rate is not known, and if the tenant asks for far more than its
        rate.
        """
        complete_until = self._totals.complete_until
        unreported_seconds = now - complete_until
        if self._unknown_usage.is_rate_known(tenant):
            before = tenant.window.sums_between(complete_until - 1, complete_until)
            local_rate, remote_rate = before.local_total, before.remote_total
        elif tenant.remote_rate_before < math.inf:
            local_rate, remote_rate = tenant.local_rate_before, tenant.remote_rate_before
        else:
            return False
        if self._unknown_usage.is_hot(now, tenant):
            return False
        surge = surge_factor(later.local_total, local_rate * unreported_seconds)
        remote_requests = remote_rate * unreported_seconds * surge
        return later.local_accepted + 1 + AMPLE_QUOTA_FACTOR * remote_requests <= left

    def _rounding(self, now: float, tenant: TenantUsage) -> float:
        """A random part of a request, so that parts below one request are not rounded to 0 at all proxies."""
        if now >= tenant.rounding_until:
            tenant.rounding = self._random.random()
            tenant.rounding_until = now + ROUNDING_SECONDS
        return tenant.rounding


def _known_usage(complete: UsageSums, later: UsageSums) -> float:
    """Requests in the rule's window that are not this proxy's part of the rest."""
    return complete.local_accepted + complete.remote_accepted + later.remote_accepted
