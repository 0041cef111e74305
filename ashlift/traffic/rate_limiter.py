"""Rate limiter of one proxy for all tenants: admits or declines each request by local state alone.

A request must be admitted both by suppression (`ashlift.traffic.suppression`), which keeps the admitted rate
of all proxies near the limit, and by the quota's division (`ashlift.traffic.quota_sharing`), which keeps the
rule QUOTA whatever other proxies have not reported yet. Both use this proxy's counts and the totals of all
proxies (`ashlift.traffic.usage_totals`). Callers transmit reports and totals. Times are seconds of the
monotonic clock.

A proxy that receives no totals is isolated (`UsageTotals.is_isolated`) and admits no more than the share that
it has leased beforehand (`ashlift.traffic.quota_leases`). The other proxies reserve that share for it as long
as it may admit requests (`ashlift.traffic.unreported_usage`). After its return it reports what it admitted in
several parts (`TenantUsage.schedule_late_report`).
"""

import math
import random
from collections import Counter
from collections.abc import Collection, Container, Mapping
from enum import StrEnum
from typing import Final

from ashlift.traffic import suppression
from ashlift.traffic.quota_leases import LeaseState, TenantLeases
from ashlift.traffic.quota_sharing import QuotaSharing
from ashlift.traffic.suppression import ObservedUsage
from ashlift.traffic.tenant_usage import QuotaBounds, TenantUsage
from ashlift.traffic.unreported_usage import RecentUsage, SourceCoverage
from ashlift.traffic.usage_totals import TenantTotals, UsageTotals

# Position (term and revision), and share by proxy.
PublishedLeases = tuple[tuple[int, int], Mapping[str, int]]
UsageByTenant = dict[str, tuple[int, int]]  # total, declined; tuples, as in messages

MAX_REFUND_AGE_SECONDS: Final = 0.5
MIN_RETRY_AFTER_SECONDS: Final = 0.3
MAX_RETRY_AFTER_SECONDS: Final = 3.0
# Retry-After is multiplied by a random factor from 0.75 to 1.25, so that clients do not retry together.
MIN_RETRY_AFTER_FACTOR: Final = 0.75
RETRY_AFTER_SPREAD: Final = 0.5


class QuotaDecision(StrEnum):
    """What was decided about a unit of quota, and from which account: the totals or a lease."""

    ADMITTED_BY_TOTALS = "admitted_by_totals"
    ADMITTED_BY_LEASE = "admitted_by_lease"
    DECLINED = "declined"
    REFUNDED = "refunded"
    REPEAT_ADMITTED = "repeat_admitted"
    REPEAT_DECLINED = "repeat_declined"


class RateLimiter:
    """Limits of all tenants at one proxy, named `node`. It starts isolated, without a lease."""

    def __init__(self, rng: random.Random, bounds: QuotaBounds, node: str = "") -> None:
        self._random = rng
        self._bounds = bounds
        self._node = node
        self._tenants: dict[str, TenantUsage] = {}
        self._totals = UsageTotals(bounds)
        self._sharing = QuotaSharing(rng, bounds, self._totals)
        self._latest_time = -math.inf  # of the calls
        self.decisions: Counter[str] = Counter({decision.value: 0 for decision in QuotaDecision})

    # ---- configuration

    def set_quota(self, tenant_name: str, rate: float, burst: float) -> None:
        """Set a tenant's limit (requests a second, requests) and keep its counts; a rate of 0 is no limit."""
        if rate <= 0:
            self._tenants.pop(tenant_name, None)
            return
        tenant = self._tenants.get(tenant_name)
        if tenant is None:
            leases = TenantLeases(self._node, self._bounds.revoke)
            tenant = self._tenants[tenant_name] = TenantUsage(leases)
        tenant.set_quota(rate, burst, self._bounds)

    def forget_tenant(self, tenant_name: str) -> None:
        """Drop a tenant that is no longer configured."""
        self._tenants.pop(tenant_name, None)

    def set_proxies(self, now: float, names: Collection[str], missing_since: float | None = None) -> None:
        """Set which proxies may admit requests now.

        Those that have left may be partitioned and still admit requests; `missing_since` is when they were
        last known, if that is before `now`.
        """
        self._totals.set_proxies(now, names, missing_since)

    def set_silent_proxies(self, now: float, names: Collection[str]) -> None:
        """Set which proxies have not reported for a while, and may be partitioned."""
        self._totals.set_silent_proxies(now, names)

    # ---- leases

    def record_leases(self, now: float, sent_at: float, tables: Mapping[str, PublishedLeases]) -> None:
        """Record what all proxies have leased, by tenant, from the answer to a call sent at `sent_at`."""
        silent = self._totals.silent_proxies(now)
        for name, (position, shares) in tables.items():
            tenant = self._tenants.get(name)
            if tenant is not None:
                tenant.leases.record(sent_at, position, shares, silent)

    def leases_held(self, now: float) -> dict[str, int]:
        """The share of each tenant's quota that this proxy may spend when it is cut off, in thousandths."""
        return {name: tenant.leases.held(now) for name, tenant in self._tenants.items()}

    def lease_states(self, now: float) -> dict[str, LeaseState]:
        """What to report of this proxy's leases, by tenant, where it asks for one or hears of any."""
        states: dict[str, LeaseState] = {}
        is_isolated = self._totals.is_isolated(now)
        for name, tenant in self._tenants.items():
            if not is_isolated:
                self._sharing.review_lease(now, tenant)
            if tenant.leases.must_be_reported(now):
                states[name] = tenant.leases.state(now)
        return states

    # ---- requests

    def admit(self, now: float, tenant_name: str) -> float | None:
        """Count one request; return None if it is admitted, else its Retry-After in seconds.

        A plain number, as no object has to be allocated for each request.
        """
        tenant = self._tenants.get(tenant_name)
        if tenant is None:
            return None
        self._latest_time = now
        tenant.leases.record_use(now)
        without_totals = tenant.totals_since > now
        isolated = without_totals or self._totals.is_isolated(now)
        if isolated:
            share = self._sharing.isolated_share(now, tenant)
            observed = suppression.observe_local(now, tenant, share, self._bounds.quota_window)
        else:
            observed = suppression.observe_all(now, tenant, self._totals.reported_until)
        admitted = suppression.is_admitted(now, tenant, observed, self._random) and (
            self._sharing.has_isolated_room(now, tenant) if isolated else self._sharing.has_room(now, tenant)
        )
        tenant.window.record_local(now, 1.0, float(admitted))
        self._count_decision(admitted, isolated)
        if without_totals or not isolated:  # else it is reported after isolation
            tenant.count_request(admitted)
        return None if admitted else self._retry_after(observed)

    def admit_repeat(self, now: float, tenant_name: str) -> bool:
        """Count a further attempt of an admitted request that may have run; returns whether it is admitted.

        The rule counts what runs. Only the quota decides, as the client has not asked for more.
        """
        tenant = self._tenants.get(tenant_name)
        if tenant is None:
            return True
        self._latest_time = now
        without_totals = tenant.totals_since > now
        isolated = without_totals or self._totals.is_isolated(now)
        has_room = self._sharing.has_isolated_room if isolated else self._sharing.has_room
        if not has_room(now, tenant):
            self.decisions[QuotaDecision.REPEAT_DECLINED] += 1
            return False
        tenant.window.record_local(now, 1.0, 1.0)
        if without_totals or not isolated:  # else it is reported after isolation
            tenant.count_request(True)
        self.decisions[QuotaDecision.REPEAT_ADMITTED] += 1
        return True

    def refund(self, now: float, tenant_name: str, admitted_at: float) -> None:
        """Count a request that was admitted at `admitted_at` as declined, as no worker has run it.

        Not after `MAX_REFUND_AGE_SECONDS`: other proxies see a refund later than its admission, so the
        admission would leave their window before the refund.
        """
        tenant = self._tenants.get(tenant_name)
        if tenant is not None and now - admitted_at <= MAX_REFUND_AGE_SECONDS:
            tenant.refund(admitted_at)
            self.decisions[QuotaDecision.REFUNDED] += 1

    def _count_decision(self, admitted: bool, isolated: bool) -> None:
        if not admitted:
            self.decisions[QuotaDecision.DECLINED] += 1
        elif isolated:
            self.decisions[QuotaDecision.ADMITTED_BY_LEASE] += 1
        else:
            self.decisions[QuotaDecision.ADMITTED_BY_TOTALS] += 1

    def _retry_after(self, observed: ObservedUsage) -> float:
        """Seconds until the excess fits into the limit, times a random factor."""
        if observed.rate_limit <= 0:  # isolated without a lease
            return MAX_RETRY_AFTER_SECONDS
        seconds = max(observed.total - observed.soft_limit, 1.0) / observed.rate_limit
        bounded = min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
        return bounded * (MIN_RETRY_AFTER_FACTOR + RETRY_AFTER_SPREAD * self._random.random())

    # ---- reports of this proxy

    def take_new_counts(self) -> UsageByTenant:
        """Return the counts since the last call, by tenant: total, declined; nothing while isolated.

        Requests admitted in isolation are reported over several calls after it, as others would take them for
        a spike.
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
        """Put back counts that `take_new_counts` returned and that were not sent."""
        for name, (total, declined) in counts.items():
            tenant = self._tenants.get(name)
            if tenant is not None:
                tenant.restore_counts(total, declined)

    def confirm_counts(self, counts: Mapping[str, tuple[int, int]]) -> None:
        """Expect these counts of this proxy in a source's totals: they were sent."""
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
        complete_until: float | None = None,
        recent_usage: Mapping[str, RecentUsage] | None = None,
    ) -> None:
        """Record cumulative totals by source and tenant; unchanged ones may be left out.

        The first totals of a source are a baseline, not new requests, unless the source was started recently
        (`started_at`) while totals were received. `coverage` is how many proxies each source names. The
        totals include all that proxies admitted until `complete_until`, or if that is not known, until the
        usual age of totals before `now`. `recent_usage` is what new sources have reported lately.
        """
        self._latest_time = now
        self._totals.set_complete_until(now, complete_until)
        self._totals.record(now, self._tenants, totals, coverage or {}, started_at or {}, recent_usage or {})

    def retain_sources(self, now: float, alive: Container[str]) -> None:
        """Drop the totals of all other sources, except those that stalled recently."""
        self._totals.retain_sources(now, alive)

    def totals_ages(self) -> dict[str, float]:
        """Seconds for which requests of other proxies may have been missing in the totals, when received.

        Of the last totals, and the highest so far; nothing before the first totals.
        """
        return self._totals.ages

    def is_isolated(self, now: float) -> bool:
        """Return whether the last totals are too old, so that this proxy only uses its own shares."""
        return self._totals.is_isolated(now)
