"""State of one tenant in the rate limiter: its limits, its window, and counts not yet in the totals.

Counts of this proxy are new (not yet reported), then reported, then pending (confirmed, but not yet in the
totals of a registry). Pending counts are subtracted from the growth of totals, which includes this proxy's
own requests.
"""

import math
from typing import Final, NamedTuple, Protocol

from ashlift.traffic.quota_leases import TenantLeases
from ashlift.traffic.usage_window import UsageWindow

# Part of the quota that is divided among proxies; the rest allows for unreported requests.
QUOTA_SAFETY_FACTOR: Final = 0.84
# After which confirmed counts that are in no totals are considered lost.
PENDING_REPORT_SECONDS: Final = 2.0
# Reports, one each 0.25 s, over which requests admitted in isolation are spread: others would take them for
# a spike.
LATE_REPORT_CALLS: Final = 8
MIN_RETENTION_SECONDS: Final = 1.0  # the suppression factor uses the last second


class QuotaBounds(Protocol):
    """The settings of the rule QUOTA."""

    @property
    def quota_window(self) -> float:
        """Length of the sliding window, seconds."""

    @property
    def quota_overrun(self) -> float:
        """Ratio by which the quota may be exceeded."""

    @property
    def quota_slack(self) -> float:
        """Requests in a window by which the quota may be exceeded in addition."""

    @property
    def revoke(self) -> float:
        """Seconds for which a proxy that is cut off serves with its last configuration, at most."""


class _PendingReport:
    """Counts of this proxy that a source has confirmed, but not yet included in its totals."""

    __slots__ = ("accepted", "expires_at", "total")

    def __init__(self, total: float, accepted: float) -> None:
        self.total = total
        self.accepted = accepted
        self.expires_at = math.inf


class UnknownSpan(NamedTuple):
    """A time for which no totals show the requests of other proxies.

    Accepted requests a second before it: at this proxy, and at the others (infinite if not known).
    """

    since: float
    until: float
    local_rate: float
    remote_rate: float


class TenantUsage:
    """Limits and usage of one tenant at one proxy."""

    def __init__(self, leases: TenantLeases) -> None:
        self.leases = leases
        self.rate_limit = 0.0  # requests a second
        self.burst = 0.0  # requests
        self.window_seconds = 1.0
        self.enforced_quota = math.inf  # requests of all proxies in the rule's window
        self.retention_seconds = MIN_RETENTION_SECONDS
        self.window = UsageWindow()
        # First totals that could include the tenant; infinite before any were received.
        self.totals_since = math.inf
        self.unknown_spans: list[UnknownSpan] = []
        # Accepted requests a second before isolation, and the time of the last totals before it.
        self.local_rate_before = 0.0
        self.remote_rate_before = math.inf
        self.rates_known_at = -math.inf
        # Random or computed values that are kept for a short time.
        self.suppression_factor = 0.0
        self.suppression_factor_until = -math.inf
        self.rounding = 0.0
        self.rounding_until = -math.inf
        self._new_total = 0
        self._new_declined = 0
        self._late_total = 0  # admitted in isolation and not yet reported
        self._late_calls = 0  # reports that are left for it
        self._pending: list[_PendingReport] = []

    def set_quota(self, rate: float, burst: float, bounds: QuotaBounds) -> None:
        """Set the limits: requests a second, and burst in requests (0: those of a second)."""
        self.rate_limit = rate
        self.burst = burst if burst > 0 else rate
        self.window_seconds = self.burst / rate
        quota = rate * bounds.quota_window + self.burst
        self.enforced_quota = QUOTA_SAFETY_FACTOR * (quota * (1 + bounds.quota_overrun) + bounds.quota_slack)
        self.retention_seconds = max(self.window_seconds, bounds.quota_window, MIN_RETENTION_SECONDS)
        self.suppression_factor_until = -math.inf

    # ---- time without totals

    def begin_totals(self, now: float, known_until: float) -> None:
        """Begin to observe the others by new totals; of the time since `known_until` nothing is known."""
        self.totals_since = now
        self.unknown_spans.append(
            UnknownSpan(known_until, now, self.local_rate_before, self.remote_rate_before)
        )

    def forget_unknown_before(self, since: float) -> None:
        """Drop the spans without totals that ended by then."""
        if self.unknown_spans and self.unknown_spans[0].until <= since:
            self.unknown_spans = [span for span in self.unknown_spans if span.until > since]

    # ---- counts of this proxy

    def count_request(self, admitted: bool) -> None:
        """Count one request for the next report."""
        self._new_total += 1
        self._new_declined += not admitted

    def refund(self, admitted_at: float) -> None:
        """Count a request that was admitted at that time as declined after all."""
        self.window.record_local(admitted_at, 0.0, -1.0)
        self._new_declined += 1

    def schedule_late_report(self, total: int) -> None:
        """Spread the report of requests that were admitted in isolation over the next calls."""
        self._late_total = total
        self._late_calls = LATE_REPORT_CALLS

    def take_new_counts(self) -> tuple[int, int] | None:
        """Return total and declined since the last call, or None if there is nothing new."""
        if self._late_calls:
            late_part = self._late_total // self._late_calls
            self._new_total += late_part
            self._late_total -= late_part
            self._late_calls -= 1
        if not self._new_total and not self._new_declined:
            return None
        counts = (self._new_total, self._new_declined)
        self._new_total = self._new_declined = 0
        return counts

    def restore_counts(self, total: int, declined: int) -> None:
        """Put back counts that `take_new_counts` returned and that were not sent."""
        self._new_total += total
        self._new_declined += declined

    def confirm_counts(self, total: int, declined: int) -> None:
        """Expect these counts of this proxy in the totals of a source."""
        self._pending.append(_PendingReport(float(total), float(total - declined)))

    # ---- counts of the others

    def record_remote(self, now: float, since: float, until: float, total: float, accepted: float) -> None:
        """Count the growth of totals without this proxy's own counts, spread over the given time."""
        remote_total, remote_accepted = self._without_pending(now, total, accepted)
        self.window.record_remote(since, until, self.retention_seconds, remote_total, remote_accepted)

    def _without_pending(self, now: float, total: float, accepted: float) -> tuple[float, float]:
        """Subtract pending counts from the growth of totals; drop those that are used up or lost."""
        for report in self._pending:
            report.expires_at = min(report.expires_at, now + PENDING_REPORT_SECONDS)
            if now < report.expires_at:
                own_total = min(total, report.total)
                own_accepted = min(accepted, report.accepted)
                total -= own_total
                accepted -= own_accepted
                report.total -= own_total
                report.accepted -= own_accepted
        self._pending = [
            report
            for report in self._pending
            if now < report.expires_at and (report.total > 0 or report.accepted > 0)
        ]
        return max(0.0, total), max(0.0, accepted)
