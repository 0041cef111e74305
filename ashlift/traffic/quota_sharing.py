"""How the quota of a tenant is shared between proxies, so that the rule QUOTA holds whatever suppression
admits.

Suppression (`ashlift.traffic.suppression`) goes by totals that are up to a second old; the guard of this
module bounds what all proxies together can admit in the meantime. What is left of the quota is dealt out
among all proxies, partly evenly and partly by use, and each admits no more than its part since the last
totals. A proxy that is isolated has a share of the whole quota, likewise partly even and partly by use
before.

Times are seconds of the steady clock, quantities are requests.
"""

import random
from typing import Final

from ashlift.traffic.tenant_usage import QuotaBounds, TenantUsage
from ashlift.traffic.usage_totals import RATE_KNOWN_AFTER_SECONDS, REPORT_LAG_SECONDS, UsageTotals
from ashlift.traffic.usage_window import UsageSums

# Part that is dealt out evenly, the rest by use: a tenant's traffic need not be even over proxies.
EVEN_RATIO: Final = 0.5
ISOLATED_EVEN_RATIO: Final = 0.25  # the same among isolated proxies, of the whole quota
# Added to what each proxy admitted: few requests tell little of a proxy's part.
PRIOR_REQUESTS: Final = 2.0
# Added to both sides of a jump: few requests here tell little of those elsewhere.
JUMP_PRIOR_REQUESTS: Final = 3.0
MAX_JUMP_FACTOR: Final = 10.0
# Times its share that an isolated proxy was asked in the last second, from which it takes less than its
# share: proxies in touch may not know yet that it reports nothing.
SPIKE_FACTOR: Final = 2.5
SPIKE_SHARE_FACTOR: Final = 0.7
UNKNOWN_USAGE_FACTOR: Final = 1.2  # times the known rate, for the time before the first totals
# Times what other proxies are taken to have admitted since the last totals: with so much left, nothing is
# dealt out.
AMPLE_FACTOR: Final = 2.0
ROUNDING_CACHE_SECONDS: Final = 1.0  # that a draw for rounding a part stands


class QuotaSharing:
    """Decides whether this proxy's part of a quota holds one more request."""

    def __init__(self, rng: random.Random, bounds: QuotaBounds, totals: UsageTotals) -> None:
        self._random = rng
        self._bounds = bounds
        self._totals = totals

    # ---- isolated

    def isolated_share(self, tenant: TenantUsage) -> float:
        """Return this proxy's share of any limit while isolated, between 0 and 1.

        The shares of all proxies add up to about 1, and to less where some have never received totals.
        """
        self._totals.remember_rates(tenant, self._totals.received_at)
        proxy_count = self._totals.proxy_count
        prior_rate = PRIOR_REQUESTS / self._bounds.quota_window
        local_rate = tenant.local_rate_before
        use_ratio = (local_rate + prior_rate) / (
            local_rate + tenant.remote_rate_before + prior_rate * proxy_count
        )
        return ISOLATED_EVEN_RATIO / proxy_count + (1 - ISOLATED_EVEN_RATIO) * use_ratio

    def has_isolated_room(self, now: float, tenant: TenantUsage) -> bool:
        """Return whether this proxy's share of the whole quota holds one more request."""
        window_seconds = self._bounds.quota_window
        admitted = tenant.window.sums_since(now - window_seconds).local_accepted
        last_second = tenant.window.sums_since(now - 1).local_total
        share = tenant.guarded_quota * self.isolated_share(tenant)
        if (last_second - PRIOR_REQUESTS) * window_seconds > SPIKE_FACTOR * share:
            share *= SPIKE_SHARE_FACTOR
        return admitted + 1 <= share + self._rounding(now, tenant)

    # ---- with totals

    def has_room(self, now: float, tenant: TenantUsage) -> bool:
        """Return whether this proxy's part of what is left of the quota holds one more request."""
        reported_until = self._totals.reported_until
        reported = tenant.window.sums_between(now - self._bounds.quota_window, reported_until)
        since_reported = tenant.window.sums_since(reported_until)
        unknown = self._unknown_usage(now, tenant)
        left = (
            tenant.guarded_quota
            - reported.local_accepted
            - reported.remote_accepted
            - unknown
            - self._totals.estimate_unreported(now, tenant)
        )
        if self._is_ample(now, tenant, since_reported, left):
            return True
        proxy_count = self._totals.proxy_count
        # Of what is not known, an even part may have been admitted here.
        use_ratio = (reported.local_accepted + unknown / proxy_count) / max(
            1.0, reported.local_accepted + reported.remote_accepted + unknown
        )
        part = left * (EVEN_RATIO / proxy_count + (1 - EVEN_RATIO) * use_ratio)
        return since_reported.local_accepted + 1 <= part + self._rounding(now, tenant)

    def _is_ample(self, now: float, tenant: TenantUsage, since_reported: UsageSums, left: float) -> bool:
        """Whether so much is left that nothing need be dealt out, as dealing few requests out is uneven.

        A proxy that has just begun to receive totals does not know the others' rate.
        """
        if now - tenant.totals_since <= RATE_KNOWN_AFTER_SECONDS:
            return False
        reported_until = self._totals.reported_until
        unreported_seconds = now - reported_until
        before = tenant.window.sums_between(reported_until - 1, reported_until)
        jump = jump_factor(since_reported.local_total, before.local_total * unreported_seconds)
        remote_requests = before.remote_total * unreported_seconds * jump
        return since_reported.local_accepted + 1 + AMPLE_FACTOR * remote_requests <= left

    def _unknown_usage(self, now: float, tenant: TenantUsage) -> float:
        """Requests that all proxies may have admitted in the rule's window before the first totals.

        Taken are the rate since then, or, as long as that is not known well, the others' rate before
        isolation with the jump seen here; at most what the limit lets through.
        """
        known_until = tenant.rates_known_at - REPORT_LAG_SECONDS
        unknown_seconds = tenant.totals_since - max(now - self._bounds.quota_window, known_until)
        if unknown_seconds <= 0:
            return 0.0
        known_seconds = now - tenant.totals_since
        if known_seconds > RATE_KNOWN_AFTER_SECONDS:
            known = tenant.window.sums_between(tenant.totals_since, self._totals.reported_until)
            rate = UNKNOWN_USAGE_FACTOR * (known.local_accepted + known.remote_accepted) / known_seconds
        else:
            rate = UNKNOWN_USAGE_FACTOR * tenant.remote_rate_before * self._jump_here(now, tenant)
        return unknown_seconds * min(tenant.rate_limit, rate)

    def _jump_here(self, now: float, tenant: TenantUsage) -> float:
        """How many times more a second was asked here than before isolation."""
        since = max(tenant.rates_known_at, now - self._bounds.quota_window)
        asked = tenant.window.sums_since(since).local_total
        return jump_factor(asked, tenant.local_rate_before * (now - since))

    def _rounding(self, now: float, tenant: TenantUsage) -> float:
        """Up to one request more, by chance: else a part below one would be none at every proxy."""
        if now >= tenant.rounding_until:
            tenant.rounding = self._random.random()
            tenant.rounding_until = now + ROUNDING_CACHE_SECONDS
        return tenant.rounding


def jump_factor(seen: float, expected: float) -> float:
    """Return how many times more requests came than expected: at least 1, and near 1 where few came."""
    ratio = (seen + JUMP_PRIOR_REQUESTS) / (max(0.0, expected) + JUMP_PRIOR_REQUESTS)
    return min(MAX_JUMP_FACTOR, max(1.0, ratio))
