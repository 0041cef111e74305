"""What the rate limiter knows of the requests at all proxies: the totals of each source, as they are
received.

Each registry is a source: it adds up what proxies report to it, by tenant, and these totals reach every
proxy, directly or by other registries. They only grow; what they grew by is counted as requests of other
proxies, in the time in which it was made. A proxy that has received no totals for a second is isolated: it no
longer knows what the others admit (`ashlift.traffic.quota_sharing` says what it admits then). Times are
seconds of the steady clock.
"""

import math
from collections.abc import Container, Mapping
from typing import Final, NamedTuple

from ashlift.traffic.tenant_usage import QuotaBounds, TenantUsage
from ashlift.traffic.unreported_usage import (
    STALLED_SOURCE_KEPT_SECONDS,
    SourceCoverage,
    UnreportedSpan,
    UnreportedUsage,
    UsageSource,
    estimate_unreported,
)

TenantTotals = Mapping[
    str, tuple[int, int]
]  # by tenant: total, declined; tuples, as they come with every pull

# Mean age of what totals show as new: a report, an exchange of registries and a pull take up to 0.25 s each.
REPORT_LAG_SECONDS: Final = 0.4
ISOLATED_AFTER_SECONDS: Final = 1.0  # without totals
# A source that has run for less: all that it shows first was reported to it while we received totals.
YOUNG_SOURCE_SECONDS: Final = 2.0
# Without a change of any totals, after which a new source does not tell of that time.
GAP_AFTER_SECONDS: Final = 0.6
# After the first totals of a tenant: before it, the rate of the others is uncertain.
RATE_KNOWN_AFTER_SECONDS: Final = 1.2
MAX_LATE_PERIOD_SECONDS: Final = 3.0  # that a source which had stalled is taken to tell of, at most,
LATE_PERIOD_END_SECONDS: Final = 1.0  # up to so long ago: what is late is no spike of the last second


class _Reception(NamedTuple):
    """One reception of totals, and what preceded it."""

    now: float
    previous_at: float
    isolated_since: float
    after_gap: bool  # a new source stands for one that has lost what it knew

    @property
    def after_isolation(self) -> bool:
        return self.now > self.isolated_since


class UsageTotals:
    """The totals of all sources, and how far they can be relied on."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self.sources: dict[str, UsageSource] = {}
        self.received_at = -math.inf
        self._changed_at = -math.inf
        self._unreported = UnreportedUsage()
        self._unreported_spans: list[UnreportedSpan] = []

    @property
    def proxy_count(self) -> int:
        """Proxies that may admit requests now, at least 1."""
        return self._unreported.proxy_count

    @property
    def reported_until(self) -> float:
        """The time up to which the totals tell of the requests at other proxies, on average."""
        return self.received_at - REPORT_LAG_SECONDS

    def is_isolated(self, now: float) -> bool:
        """Return whether the last totals are too old to go by."""
        return now - self.received_at > ISOLATED_AFTER_SECONDS

    def set_proxy_count(self, now: float, count: int, missing_since: float | None = None) -> None:
        """Take how many proxies may admit requests now (see `UnreportedUsage.set_proxy_count`)."""
        self._unreported.set_proxy_count(now, count, missing_since)
        self._unreported_spans = self._unreported.spans(now, self.sources)

    def retain_sources(self, now: float, alive: Container[str]) -> None:
        """Drop all sources but these and those stalled of late: one that comes back later starts anew."""
        self.sources = {
            name: source
            for name, source in self.sources.items()
            if name in alive or now < source.changed_at + STALLED_SOURCE_KEPT_SECONDS
        }

    def estimate_unreported(self, now: float, tenant: TenantUsage) -> float:
        """Estimate the tenant's requests that other proxies admitted unreported in the rule's window."""
        return estimate_unreported(
            now, tenant.window, self._unreported_spans, self._bounds.quota_window, tenant.guarded_quota
        )

    def remember_rates(self, tenant: TenantUsage, received_at: float) -> None:
        """Keep what was admitted a second, here and elsewhere, up to the last totals before isolation.

        Nothing is kept where those totals did not tell of the tenant for long enough, or it is kept already.
        """
        known_seconds = received_at - tenant.totals_since
        if tenant.rates_known_at >= received_at or known_seconds <= RATE_KNOWN_AFTER_SECONDS:
            return
        until = received_at - REPORT_LAG_SECONDS
        span_seconds = min(self._bounds.quota_window, known_seconds)
        usage = tenant.window.sums_between(until - span_seconds, until)
        # A refund counts when it is made: where no requests were admitted at that time, the sum is below
        # zero.
        local_accepted = max(0.0, usage.local_accepted)
        remote_accepted = max(0.0, usage.remote_accepted) + self.estimate_unreported(received_at, tenant)
        tenant.local_rate_before = local_accepted / span_seconds
        tenant.remote_rate_before = remote_accepted / span_seconds
        tenant.rates_known_at = received_at

    # ---- reception

    def record(
        self,
        now: float,
        tenants: Mapping[str, TenantUsage],
        totals: Mapping[str, TenantTotals],
        coverage: Mapping[str, SourceCoverage],
        started_at: Mapping[str, float],
    ) -> None:
        """Take totals by source and tenant (see `RateLimiter.record_usage_totals`)."""
        isolated_since = self.received_at + ISOLATED_AFTER_SECONDS
        gap_since = min(isolated_since, self._changed_at + GAP_AFTER_SECONDS)
        reception = _Reception(now, self.received_at, isolated_since, now > gap_since)
        self.received_at = now
        self._prepare_tenants(reception, tenants, totals)
        for name, source_coverage in coverage.items():
            if name in self.sources:
                self.sources[name].coverage = source_coverage
        for name, source_totals in totals.items():
            source = self.sources.get(name)
            if source is None:
                source = self._add_source(reception, name, source_totals, started_at.get(name, -math.inf))
                if source is None:
                    self._begin_anew(reception, tenants)
                    continue
            self._record_source(reception, source, source_totals, tenants)
        self._unreported_spans = self._unreported.spans(now, self.sources)

    def _prepare_tenants(
        self,
        reception: _Reception,
        tenants: Mapping[str, TenantUsage],
        totals: Mapping[str, TenantTotals],
    ) -> None:
        """Bring all tenants up to date; after isolation, have what was admitted in it reported late."""
        now = reception.now
        report_late = reception.after_isolation and self._known_source_changed(totals)
        for tenant in tenants.values():
            if reception.after_isolation:
                self.remember_rates(tenant, reception.previous_at)
            tenant.window.discard_old(now, tenant.retention_seconds)
            tenant.totals_since = min(tenant.totals_since, now)
            if now > reception.isolated_since > tenant.totals_since:
                since = max(reception.isolated_since, now - self._bounds.quota_window)
                admitted = tenant.window.sums_since(since).local_accepted
                tenant.report_late(round(admitted) if report_late else 0)

    def _known_source_changed(self, totals: Mapping[str, TenantTotals]) -> bool:
        """Whether other proxies were in touch; where all sources are new, all were isolated alike."""
        return any(
            name in self.sources and source_totals != self.sources[name].totals
            for name, source_totals in totals.items()
        )

    def _add_source(
        self, reception: _Reception, name: str, totals: TenantTotals, started_at: float
    ) -> UsageSource | None:
        """Add a new source; returned is one whose totals were all reported while we received totals."""
        now = reception.now
        if reception.after_gap or started_at <= now - YOUNG_SOURCE_SECONDS:
            self.sources[name] = UsageSource(now, dict(totals))
            return None
        source = self.sources[name] = UsageSource(started_at, {})
        source.proxies_at_change = 0  # no proxy's reports were seen of it
        return source

    def _begin_anew(self, reception: _Reception, tenants: Mapping[str, TenantUsage]) -> None:
        """After a gap, what was reported to a new source in the meantime is not known."""
        if not reception.after_gap:
            return
        for tenant in tenants.values():
            self.remember_rates(tenant, self._changed_at)
            tenant.totals_since = reception.now

    def _record_source(
        self,
        reception: _Reception,
        source: UsageSource,
        totals: TenantTotals,
        tenants: Mapping[str, TenantUsage],
    ) -> None:
        """Count what the totals of one source grew by."""
        now = reception.now
        since, until, counted_ratio = self._period_of(reception, source)
        all_accepted = 0
        for name, counts in totals.items():
            old_total, old_declined = source.totals.get(name, (0, 0))
            if counts == (old_total, old_declined):
                continue
            source.totals[name] = counts
            self._changed_at = now
            total = counts[0] - old_total
            accepted = total - counts[1] + old_declined
            all_accepted += accepted
            tenant = tenants.get(name)
            if tenant is not None:
                tenant.record_remote(now, since, until, counted_ratio * total, counted_ratio * accepted)
        if all_accepted:
            source.record_change(now, all_accepted)

    def _period_of(self, reception: _Reception, source: UsageSource) -> tuple[float, float, float]:
        """When the growth of a source's totals was made, and the part of it that is in the rule's window."""
        now = reception.now
        until = now - REPORT_LAG_SECONDS
        if reception.after_isolation or source.is_stalled(now):  # much at once, and perhaps of late
            counted_ratio = min(1.0, self._bounds.quota_window / (now - source.changed_at))
            since = max(source.changed_at - REPORT_LAG_SECONDS, until - MAX_LATE_PERIOD_SECONDS)
            return since, until - LATE_PERIOD_END_SECONDS, counted_ratio
        since = source.changed_at
        if source.proxies_at_change:
            since = max(since, reception.previous_at)
        return since - REPORT_LAG_SECONDS, until, 1.0
