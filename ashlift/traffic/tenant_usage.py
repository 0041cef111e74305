"""What the rate limiter holds of one tenant: its limits, its window, and counts on their way to the
registries.

The counts of this proxy travel in three steps: new (counted, not yet reported), reported (taken for a call),
and pending (confirmed, but not yet seen in the totals of a registry). Pending ones are subtracted from what
the totals show as new, or this proxy would take its own requests for those of others.
"""

import math
from typing import Final, Protocol

from ashlift.traffic.usage_window import UsageWindow

# Part of the quota that the guard of the rule QUOTA deals out: the rest is for what nobody has reported.
QUOTA_SAFETY_FACTOR: Final = 0.84
# After which confirmed counts that no totals have shown are taken for lost.
PENDING_REPORT_SECONDS: Final = 2.0
# Calls, a quarter of a second each, over which requests admitted in isolation are reported: at once they
# would look like a spike to the other proxies.
LATE_REPORT_CALLS: Final = 8
MIN_RETENTION_SECONDS: Final = 1.0  # the suppression factor looks at the last second


class QuotaBounds(Protocol):
    """The settings of the rule QUOTA."""

    @property
    def quota_window(self) -> float:
        """Length of the sliding window, seconds."""

    @property
    def quota_overrun(self) -> float:
        """Part of the quota by which it may be exceeded."""

    @property
    def quota_slack(self) -> float:
        """Requests in a window by which it may be exceeded beside that."""


class _PendingReport:
    """Counts of this proxy that a source has confirmed and not yet shown."""

    __slots__ = ("accepted", "expires_at", "total")

    def __init__(self, total: float, accepted: float) -> None:
        self.total = total
        self.accepted = accepted
        self.expires_at = math.inf


class TenantUsage:
    """Limits and usage of one tenant at one proxy."""

    def __init__(self) -> None:
        self.rate_limit = 0.0  # requests a second
        self.burst = 0.0  # requests
        self.window_seconds = 1.0
        self.guarded_quota = math.inf  # requests of all proxies in the rule's window
        self.retention_seconds = MIN_RETENTION_SECONDS
        self.window = UsageWindow()
        # When totals first told of the tenant, or could have; infinite before any were received.
        self.totals_since = math.inf
        # Accepted a second until the last totals before isolation, here and elsewhere, and when those came.
        self.local_rate_before = 0.0
        self.remote_rate_before = math.inf
        self.rates_known_at = -math.inf
        # Values that stand for a short time.
        self.suppression_factor = 0.0
        self.suppression_factor_until = -math.inf
        self.rounding = 0.0
        self.rounding_until = -math.inf
        self._new_total = 0
        self._new_declined = 0
        self._late_total = 0  # admitted in isolation and not yet reported,
        self._late_calls = 0  # and the calls left to report it with
        self._pending: list[_PendingReport] = []

    def set_quota(self, rate: float, burst: float, bounds: QuotaBounds) -> None:
        """Take the tenant's limits: requests a second, and requests at once (0: those of a second)."""
        self.rate_limit = rate
        self.burst = burst if burst > 0 else rate
        self.window_seconds = self.burst / rate
        quota = rate * bounds.quota_window + self.burst
        self.guarded_quota = QUOTA_SAFETY_FACTOR * (quota * (1 + bounds.quota_overrun) + bounds.quota_slack)
        self.retention_seconds = max(self.window_seconds, bounds.quota_window, MIN_RETENTION_SECONDS)
        self.suppression_factor_until = -math.inf

    # ---- counts of this proxy

    def count_request(self, admitted: bool) -> None:
        """Count one request for the next report."""
        self._new_total += 1
        self._new_declined += not admitted

    def refund(self, now: float) -> None:
        """Count an admitted request as declined after all."""
        self.window.record_local(now, 0.0, -1.0)
        self._new_declined += 1

    def report_late(self, total: int) -> None:
        """Report so many requests that were admitted in isolation by and by."""
        self._late_total = total
        self._late_calls = LATE_REPORT_CALLS

    def take_new_counts(self) -> tuple[int, int] | None:
        """Return total and declined since the last call, as they travel; None where there is nothing new."""
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
        """Put back what `take_new_counts` returned, as it was not sent."""
        self._new_total += total
        self._new_declined += declined

    def confirm_counts(self, total: int, declined: int) -> None:
        """Expect these counts of this proxy in the totals of a source."""
        self._pending.append(_PendingReport(float(total), float(total - declined)))

    # ---- counts of the others

    def record_remote(self, now: float, since: float, until: float, total: float, accepted: float) -> None:
        """Count what totals grew by, without this proxy's own counts, over the time it was made in."""
        remote_total, remote_accepted = self._without_pending(now, total, accepted)
        self.window.record_remote(since, until, self.retention_seconds, remote_total, remote_accepted)

    def _without_pending(self, now: float, total: float, accepted: float) -> tuple[float, float]:
        """Subtract pending counts that the totals may now contain; drop those that are used up or lost."""
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
