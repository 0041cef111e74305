"""Rate limiter of one proxy for all tenants: it admits or declines each request, without asking anybody.

Two decisions must both admit a request: suppression (`ashlift.traffic.suppression`), which keeps the admitted
rate of all proxies near the limit, and the sharing of the quota (`ashlift.traffic.quota_sharing`), which
keeps the rule QUOTA whatever other proxies do unheard. Both go by this proxy's own counts and by the totals
of all proxies (`ashlift.traffic.usage_totals`). What travels is the caller's to send and to fetch. Times are
seconds of the steady clock.

While a proxy is cut off, both sides see to the quota. It finds itself isolated (`UsageTotals.is_isolated`)
and admits within its own share alone (`QuotaSharing.isolated_share`, `has_isolated_room`). The others set a
share aside for it as long as it may go on (`ashlift.traffic.unreported_usage`). What it admitted is reported
by and by after it has returned (`TenantUsage.report_late`).
"""

import math
import random
from collections.abc import Container, Mapping
from typing import Final

from ashlift.traffic import suppression
from ashlift.traffic.quota_sharing import QuotaSharing
from ashlift.traffic.suppression import ObservedUsage
from ashlift.traffic.tenant_usage import QuotaBounds, TenantUsage
from ashlift.traffic.unreported_usage import SourceCoverage
from ashlift.traffic.usage_totals import TenantTotals, UsageTotals

UsageByTenant = dict[str, tuple[int, int]]  # total, declined: tuples, as they travel

MIN_RETRY_AFTER_SECONDS: Final = 0.3
MAX_RETRY_AFTER_SECONDS: Final = 3.0
# Retry-After is spread by chance from 0.75 to 1.25 of itself, so that clients do not come back together.
MIN_RETRY_AFTER_FACTOR: Final = 0.75
RETRY_AFTER_SPREAD: Final = 0.5


class RateLimiter:
    """All tenants' limits at one proxy. It starts isolated: with a share of each limit."""

    def __init__(self, rng: random.Random, bounds: QuotaBounds) -> None:
        self._random = rng
        self._bounds = bounds
        self._tenants: dict[str, TenantUsage] = {}
        self._totals = UsageTotals(bounds)
        self._sharing = QuotaSharing(rng, bounds, self._totals)
        self._latest_time = -math.inf  # that a caller gave

    # ---- configuration

    def set_quota(self, tenant_name: str, rate: float, burst: float) -> None:
        """Take a tenant's limit (requests a second, requests); a rate of 0 is none. Its counts stay."""
        if rate <= 0:
            self._tenants.pop(tenant_name, None)
            return
        self._tenants.setdefault(tenant_name, TenantUsage()).set_quota(rate, burst, self._bounds)

    def forget_tenant(self, tenant_name: str) -> None:
        """Drop a tenant that the configuration no longer has."""
        self._tenants.pop(tenant_name, None)

    def set_proxy_count(self, now: float, count: int, missing_since: float | None = None) -> None:
        """Take how many proxies may admit requests now.

        Those that have left may be partitioned off and go on admitting; `missing_since` is when they were
        last known, if that is before `now`.
        """
        self._totals.set_proxy_count(now, count, missing_since)

    # ---- requests

    def admit(self, now: float, tenant_name: str) -> float | None:
        """Count one request: None admits it, else it is declined with this Retry-After in seconds.

        This is called for every request of a client: a plain number tells the two apart without an object.
        """
        tenant = self._tenants.get(tenant_name)
        if tenant is None:
            return None
        self._latest_time = now
        without_totals = tenant.totals_since > now
        isolated = without_totals or self._totals.is_isolated(now)
        if isolated:
            share = self._sharing.isolated_share(tenant)
            observed = suppression.observe_local(now, tenant, share, self._bounds.quota_window)
        else:
            observed = suppression.observe_all(now, tenant, self._totals.reported_until)
        admitted = suppression.is_admitted(now, tenant, observed, self._random) and (
            self._sharing.has_isolated_room(now, tenant) if isolated else self._sharing.has_room(now, tenant)
        )
        tenant.window.record_local(now, 1.0, float(admitted))
        if without_totals or not isolated:  # else it is reported when totals are received again
            tenant.count_request(admitted)
        return None if admitted else self._retry_after(observed)

    def refund(self, now: float, tenant_name: str) -> None:
        """Count an admitted request as declined: it will never reach a worker."""
        tenant = self._tenants.get(tenant_name)
        if tenant is not None:
            tenant.refund(now)

    def _retry_after(self, observed: ObservedUsage) -> float:
        """Seconds in which the limit lets through what is over it, spread by chance."""
        seconds = max(observed.total - observed.soft_limit, 1.0) / observed.rate_limit
        bounded = min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
        return bounded * (MIN_RETRY_AFTER_FACTOR + RETRY_AFTER_SPREAD * self._random.random())

    # ---- reports of this proxy

    def take_new_counts(self) -> UsageByTenant:
        """Return the counts to report since the last call, by tenant: total, declined.

        Nothing is reported while isolated. What was admitted then is reported over several calls after it: at
        once it would look like a spike to the others.
        """
        if self._totals.is_isolated(self._latest_time):
            return {}
        counts: UsageByTenant = {}
        for name, tenant in self._tenants.items():
            new_counts = tenant.take_new_counts()
            if new_counts is not None:
                counts[name] = new_counts
        return counts

    def restore_counts(self, counts: Mapping[str, tuple[int, int]]) -> None:
        """Put back what `take_new_counts` returned: the call failed before it was sent."""
        for name, (total, declined) in counts.items():
            tenant = self._tenants.get(name)
            if tenant is not None:
                tenant.restore_counts(total, declined)

    def confirm_counts(self, counts: Mapping[str, tuple[int, int]]) -> None:
        """Take note that a source's totals contain these counts of this proxy, or may contain them."""
        for name, (total, declined) in counts.items():
            tenant = self._tenants.get(name)
            if tenant is not None:
                tenant.confirm_counts(total, declined)

    # ---- totals of all proxies

    def record_usage_totals(
        self,
        now: float,
        totals: Mapping[str, TenantTotals],
        coverage: Mapping[str, SourceCoverage] | None = None,
        started_at: Mapping[str, float] | None = None,
    ) -> None:
        """Take cumulative totals by source and tenant; only those that changed need be there.

        The first totals of a source are where it starts, not new requests, unless it was started lately
        (`started_at`, steady time) while totals were received. `coverage` tells how many proxies each source
        names.
        """
        self._latest_time = now
        self._totals.record(now, self._tenants, totals, coverage or {}, started_at or {})

    def retain_sources(self, now: float, alive: Container[str]) -> None:
        """Drop the totals of all sources but these and those that stalled of late."""
        self._totals.retain_sources(now, alive)

    def is_isolated(self, now: float) -> bool:
        """Return whether the last totals are so old that each tenant has only this proxy's share."""
        return self._totals.is_isolated(now)
