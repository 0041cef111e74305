"""Totals of the requests at all proxies, by source, as the rate limiter receives them.

Each registry is a source: it sums the reports of its proxies by tenant, and every proxy receives these
totals, directly or through other registries. Totals only grow. Their growth is counted as requests of other
proxies in the time that it covers. A proxy that has received no totals for a second is isolated
(`ashlift.traffic.quota_sharing` defines what it admits then). Times are seconds of the monotonic clock.
"""

import math
from collections.abc import Collection, Container, Mapping
from typing import Final, NamedTuple

from ashlift.traffic.tenant_usage import QuotaBounds, TenantUsage
from ashlift.traffic.unreported_usage import (
    NO_RECENT_USAGE,
    STALLED_SOURCE_KEPT_SECONDS,
    QuotaWindow,
    RecentUsage,
    SourceCoverage,
    UnreportedSpan,
    UnreportedUsage,
    UsageSource,
    estimate_unreported,
)

# By tenant: total, declined.
TenantTotals = Mapping[str, tuple[int, int]]

# Mean age of the growth of totals: a report, an exchange of registries and a pull take up to 0.25 s each.
REPORT_LAG_SECONDS: Final = 0.4
# Mean age of the growth of totals over that of its oldest part: proxies report at any time within it.
MEAN_AGE_RATIO: Final = 0.5
ISOLATED_AFTER_SECONDS: Final = 1.0  # without totals
# Age of a source below which all of its first totals were reported while this proxy received totals.
YOUNG_SOURCE_SECONDS: Final = 2.0
# Without a change of any totals, after which the first totals of a new source are only a baseline.
GAP_AFTER_SECONDS: Final = 0.6
# After a tenant's first totals, until the rate of other proxies is known.
RATE_KNOWN_AFTER_SECONDS: Final = 1.2
MAX_LATE_PERIOD_SECONDS: Final = 3.0  # covered by the growth of a stalled source, at most
# The late period ends this long ago, so that late totals do not appear as a spike of the last second.
LATE_PERIOD_END_SECONDS: Final = 1.0


class _Reception(NamedTuple):
    """One reception of totals, and the time since the one before."""

    now: float
    previous_at: float
    isolated_since: float
    after_gap: bool  # no totals had changed for a while: a new source may replace one that lost its counts

    @property
    def after_isolation(self) -> bool:
        return self.now > self.isolated_since


class UsageTotals:
    """The totals of all sources, and whether they are current."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self.sources: dict[str, UsageSource] = {}
        self.received_at = -math.inf
        self.complete_until = -math.inf  # requests of other proxies until then are in the totals
        self.ages: dict[str, float] = {}  # at reception: the last one, and the highest
        # Mean age of the growth of totals, at the last reception and the one before.
        self._lag = self._previous_lag = REPORT_LAG_SECONDS
        self._changed_at = -math.inf
        self._oldest_start = -math.inf  # of the registries of the sources
        self._unreported = UnreportedUsage(bounds)
        self._unreported_spans: list[UnreportedSpan] = []

    @property
    def proxy_count(self) -> int:
        """Proxies that may admit requests now, at least 1."""
        return self._unreported.proxy_count

    @property
    def reported_until(self) -> float:
        """The time up to which the totals cover the requests of other proxies, on average."""
        return self.received_at - self._lag

    def set_complete_until(self, now: float, complete_until: float | None) -> None:
        """Set the time up to which the totals that are received now include all requests."""
        if complete_until is None:
            complete_until = now - 2 * REPORT_LAG_SECONDS
        self.complete_until = min(now, complete_until)
        age = now - self.complete_until
        self._previous_lag = self._lag
        self._lag = max(REPORT_LAG_SECONDS, MEAN_AGE_RATIO * age)
        self.ages = {"last": age, "highest": max(age, self.ages.get("highest", 0.0))}

    def is_isolated(self, now: float) -> bool:
        """Return whether the last totals are too old to be used."""
        return now - self.received_at > ISOLATED_AFTER_SECONDS

    def set_proxies(self, now: float, names: Collection[str], missing_since: float | None = None) -> None:
        """Set which proxies may admit requests now (see `UnreportedUsage.set_proxies`)."""
        self._unreported.set_proxies(now, names, missing_since)
        self._unreported_spans = self._unreported.spans(now, self.sources)

    def set_silent_proxies(self, now: float, names: Collection[str]) -> None:
        """Set which proxies have not reported for a while (see `UnreportedUsage.set_silent_proxies`)."""
        self._unreported.set_silent_proxies(now, names)
        self._unreported_spans = self._unreported.spans(now, self.sources)

    def silent_proxies(self, now: float) -> set[str]:
        """Proxies that may admit requests which are in no totals, or may have done so lately."""
        return self._unreported.silent_proxies(now)

    def all_sources_are_young(self, now: float) -> bool:
        """Whether the registries of all sources have started within the rule's window."""
        return self._oldest_start > now - self._bounds.quota_window

    def retain_sources(self, now: float, alive: Container[str]) -> None:
        """Drop all other sources, except recently stalled ones; a source that returns later is a new one."""
        self.sources = {
            name: source
            for name, source in self.sources.items()
            if name in alive or now < source.changed_at + STALLED_SOURCE_KEPT_SECONDS
        }

    def estimate_unreported(self, now: float, tenant: TenantUsage) -> float:
        """Estimate the tenant's unreported requests at other proxies in the rule's window."""
        if not self._unreported_spans:
            return 0.0
        since = now - self._bounds.quota_window
        window = QuotaWindow(tenant.window, since, tenant.totals_since, tenant.enforced_quota)
        return estimate_unreported(now, window, self._unreported_spans, tenant.leases)

    def remember_rates(self, tenant: TenantUsage, received_at: float) -> None:
        """Store the local and remote accepted rates before the last totals, for use in isolation.

        Nothing is stored if the totals included the tenant for too short a time, or if it is stored already.
        """
        known_seconds = received_at - tenant.totals_since
        if tenant.rates_known_at >= received_at or known_seconds <= RATE_KNOWN_AFTER_SECONDS:
            return
        until = received_at - REPORT_LAG_SECONDS
        span_seconds = min(self._bounds.quota_window, known_seconds)
        usage = tenant.window.sums_between(until - span_seconds, until)
        # Refunds count when they are made: the sums may be below 0.
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
        recent_usage: Mapping[str, RecentUsage],
    ) -> None:
        """Record totals by source and tenant (see `RateLimiter.record_usage_totals`)."""
        isolated_since = self.received_at + ISOLATED_AFTER_SECONDS
        gap_since = min(isolated_since, self._changed_at + GAP_AFTER_SECONDS)
        reception = _Reception(now, self.received_at, isolated_since, now > gap_since)
        self.received_at = now
        self._oldest_start = min(started_at.values(), default=-math.inf)
        self._prepare_tenants(reception, tenants, totals)
        for name, source_coverage in coverage.items():
            if name in self.sources:
                self.sources[name].coverage = source_coverage
        for name, source_totals in totals.items():
            source = self.sources.get(name)
            if source is None:
                source = self._add_source(reception, name, source_totals, started_at.get(name, -math.inf))
                if source is None:
                    self._restart_after_gap(reception, tenants)
                    self._set_recent_usage(reception, name, recent_usage.get(name, NO_RECENT_USAGE), tenants)
                    continue
            self._record_source(reception, source, source_totals, tenants)
        if self._changed_at == -math.inf:
            self._changed_at = now
        for name, tenant in tenants.items():
            if tenant.totals_since > now:
                self._begin_tenant(reception, name, tenant)
        self._unreported_spans = self._unreported.spans(now, self.sources)

    def _prepare_tenants(
        self,
        reception: _Reception,
        tenants: Mapping[str, TenantUsage],
        totals: Mapping[str, TenantTotals],
    ) -> None:
        """Update all tenants; after isolation, schedule the report of the requests admitted in it."""
        now = reception.now
        schedule_late_report = reception.after_isolation and self._known_source_changed(totals)
        for tenant in tenants.values():
            if reception.after_isolation:
                self.remember_rates(tenant, reception.previous_at)
            tenant.window.discard_old(now, tenant.retention_seconds)
            if now > reception.isolated_since > tenant.totals_since:
                since = max(reception.isolated_since, now - self._bounds.quota_window)
                admitted = tenant.window.sums_since(since).local_accepted
                tenant.schedule_late_report(round(admitted) if schedule_late_report else 0)

    def _known_source_changed(self, totals: Mapping[str, TenantTotals]) -> bool:
        """Whether other proxies were connected; if all sources are new, all proxies were isolated."""
        return any(
            name in self.sources and source_totals != self.sources[name].totals
            for name, source_totals in totals.items()
        )

    def _add_source(
        self, reception: _Reception, name: str, totals: TenantTotals, started_at: float
    ) -> UsageSource | None:
        """Add a new source; return it if all of its totals are new requests, None if they are a baseline."""
        now = reception.now
        if reception.after_gap or started_at <= now - YOUNG_SOURCE_SECONDS:
            self.sources[name] = UsageSource(now, dict(totals))
            return None
        source = self.sources[name] = UsageSource(started_at, {})
        source.proxies_at_change = 0  # it has not changed yet
        return source

    def _restart_after_gap(self, reception: _Reception, tenants: Mapping[str, TenantUsage]) -> None:
        """After a gap, start to observe all tenants anew: reports to a new source in the gap are unknown."""
        if not reception.after_gap:
            return
        for tenant in tenants.values():
            self.remember_rates(tenant, self._changed_at)
            if tenant.totals_since < reception.now:  # else the tenant is new
                known_until = max(tenant.totals_since, self._changed_at - REPORT_LAG_SECONDS)
                tenant.begin_totals(reception.now, known_until)

    def _set_recent_usage(
        self,
        reception: _Reception,
        name: str,
        recent_usage: RecentUsage,
        tenants: Mapping[str, TenantUsage],
    ) -> None:
        """Count what a new source had reported lately before its first totals here."""
        now = reception.now
        self.sources[name] = UsageSource(now, self.sources[name].totals, recent_usage)
        for tenant_name, accepted in recent_usage.accepted.items():
            tenant = tenants.get(tenant_name)
            if tenant is not None and tenant.totals_since <= now:
                tenant.record_remote(now, now - recent_usage.seconds, now - self._lag, accepted, accepted)

    def _begin_tenant(self, reception: _Reception, name: str, tenant: TenantUsage) -> None:
        """Begin to observe a tenant: of what was before the sources are known nothing is known."""
        now = reception.now
        known_since = max((source.known_since for source in self.sources.values()), default=now)
        known_since = max(known_since, now - self._bounds.quota_window)
        tenant.begin_totals(known_since, -math.inf)
        for source in self.sources.values():
            accepted = source.accepted_since_known(name)
            until = max(source.known_since, now - self._lag)
            tenant.record_remote(now, source.known_since, until, accepted, accepted)

    def _record_source(
        self,
        reception: _Reception,
        source: UsageSource,
        totals: TenantTotals,
        tenants: Mapping[str, TenantUsage],
    ) -> None:
        """Count the growth of one source's totals."""
        now = reception.now
        since, until, counted_ratio = self._growth_period(reception, source)
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
            if tenant is not None and tenant.totals_since <= now:
                tenant.record_remote(now, since, until, counted_ratio * total, counted_ratio * accepted)
        if all_accepted:
            source.record_change(now, all_accepted)

    def _growth_period(self, reception: _Reception, source: UsageSource) -> tuple[float, float, float]:
        """Start and end of the time that the growth covers, and its part in the rule's window."""
        now = reception.now
        until = now - self._lag
        if reception.after_isolation or source.is_stalled(now):  # the growth of a longer time
            counted_ratio = min(1.0, self._bounds.quota_window / (now - source.changed_at))
            since = max(source.changed_at - self._previous_lag, until - MAX_LATE_PERIOD_SECONDS)
            return since, until - LATE_PERIOD_END_SECONDS, counted_ratio
        since = source.changed_at
        if source.proxies_at_change:
            since = max(since, reception.previous_at)
        return min(since - self._previous_lag, until), until, 1.0
