"""Estimate of requests that are in no totals: of proxies missing from the membership, and of proxies that
report to a source whose totals have stalled.

A missing proxy may be dead, or partitioned and active until its fencing time-out. The same holds for all
proxies that report to a registry on the other side of a partition. Both are recorded as a share of all
proxies during a time span. Proxies of a stalled source that another source names report there. Times are
seconds of the monotonic clock.
"""

import math
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from ashlift.traffic.usage_window import UsageWindow

REPORT_LEASE_SECONDS: Final = 2.5  # for which a proxy may have been silent before it is missing
# For which a partitioned proxy admits requests with its last configuration: the default of the bound `Revoke`
# (`ashlift.proxy.admission.configuration_is_current`). A different setting has no effect here.
FENCING_TIMEOUT_SECONDS: Final = 5.0
# Until proxies that have returned have reported what they admitted; they start after the delay.
RETURN_REPORT_SECONDS: Final = 3.0
RETURN_DELAY_SECONDS: Final = 1.0
# A source has stalled if its totals did not change for this time, in which so many requests were expected.
STALLED_AFTER_SECONDS: Final = 0.8
STALLED_MIN_REQUESTS: Final = 8.0
UNREPORTED_TAIL_SECONDS: Final = 0.5  # before the last change of a source, which its totals may not cover
STALLED_PROXIES_SECONDS: Final = 5.5  # for which proxies of a stalled source may admit requests
# After which a stalled source is dropped, and proxies that go missing may be those of the source.
SOURCE_DROPPED_AFTER_SECONDS: Final = 5.0
STALLED_SOURCE_KEPT_SECONDS: Final = 2 * STALLED_PROXIES_SECONDS  # for which a stalled source is kept
MAX_UNREPORTED_SHARE: Final = 0.9  # of all proxies: the estimate is based on the others
RATE_TIME_CONSTANT_SECONDS: Final = 2.0  # of the mean of a source's accepted rate
CLOCK_TOLERANCE_SECONDS: Final = 1e-3  # within which a source counts as changed now


class UnreportedSpan(NamedTuple):
    """A time span in which the requests of a share of all proxies may be in no totals."""

    share: float
    since: float
    until: float
    tail_only: bool = False  # the proxies report to another source: only their last reports are lost


class SourceCoverage(NamedTuple):
    """How many proxies a source names, and how many of those no other source names."""

    proxies: int
    exclusive_proxies: int


class UsageSource:
    """The totals of one source, when they last changed, and its accepted rate over all tenants."""

    def __init__(self, now: float, totals: dict[str, tuple[int, int]]) -> None:
        self.changed_at = now
        self.totals = totals  # by tenant: total, declined
        self.accepted_rate = 0.0  # requests a second
        self.share = 0.0  # of the accepted rate of all sources before it stalled
        self.coverage = SourceCoverage(1, 1)  # at least this proxy
        self.proxies_at_change = 1  # named by the source when it last changed

    def unreported_spans(self) -> list[UnreportedSpan]:
        """Return the spans of requests that may be missing while the source is stalled.

        Proxies that no other source names are missing completely. The others report to another source by now:
        only their last reports to this one are missing.
        """
        proxies = max(1, self.proxies_at_change)
        named, exclusive = self.coverage
        since = self.changed_at - UNREPORTED_TAIL_SECONDS
        hidden = UnreportedSpan(
            self.share * min(1.0, exclusive / proxies), since, self.changed_at + STALLED_PROXIES_SECONDS
        )
        moved = UnreportedSpan(
            self.share * min(1.0, (named - exclusive) / proxies),
            since,
            self.changed_at + UNREPORTED_TAIL_SECONDS,
            tail_only=True,
        )
        return [span for span in (hidden, moved) if span.share > 0]

    def is_stalled(self, now: float) -> bool:
        """Return whether a change is overdue, by the source's accepted rate."""
        return (
            now > self.changed_at + STALLED_AFTER_SECONDS
            and (now - self.changed_at) * self.accepted_rate > STALLED_MIN_REQUESTS
        )

    def record_change(self, now: float, accepted: int) -> None:
        """Record the growth of the source's totals over all tenants."""
        gain = 1 - math.exp(-(now - self.changed_at) / RATE_TIME_CONSTANT_SECONDS)
        if now > self.changed_at:
            self.accepted_rate += gain * (accepted / (now - self.changed_at) - self.accepted_rate)
        self.changed_at = now
        self.proxies_at_change = self.coverage.proxies


class UnreportedUsage:
    """Number of proxies, and the spans in which some of them may admit requests unreported."""

    def __init__(self) -> None:
        self.proxy_count = 1  # that may admit requests now
        self._stalled: list[UnreportedSpan] = []
        self._missing = 0
        self._returned = 0
        self._missing_since = -math.inf
        self._returned_at = -math.inf

    def set_proxy_count(self, now: float, count: int, missing_since: float | None = None) -> None:
        """Set the number of proxies, at least 1.

        Proxies that have left are missing (since `missing_since`, if that was earlier), unless they report to
        a stalled source. Proxies that return report gradually what they admitted.
        """
        if (
            now
            >= self._missing_since - REPORT_LEASE_SECONDS + FENCING_TIMEOUT_SECONDS + RETURN_REPORT_SECONDS
        ):
            self._missing = self._returned = 0
        if count < self.proxy_count:
            if not self._missing:
                self._missing_since = now if missing_since is None else min(now, missing_since)
            behind_stalled = self._dropped_source_share(now) * self.proxy_count
            self._missing += max(0, self.proxy_count - count - math.ceil(behind_stalled))
        elif count > self.proxy_count:
            returned = min(self._missing, count - self.proxy_count)
            self._missing -= returned
            self._returned += returned
            self._returned_at = now
        self.proxy_count = max(1, count)

    def spans(self, now: float, sources: Mapping[str, UsageSource]) -> list[UnreportedSpan]:
        """Return all recent spans in which proxies may have admitted requests unreported."""
        self._stalled = self._stalled_spans(now, sources)
        return self._missing_spans(now) + self._stalled

    def _dropped_source_share(self, now: float) -> float:
        """Share of all proxies that report to stalled sources which are dropped by now."""
        return sum(
            span.share
            for span in self._stalled
            if not span.tail_only and now > span.since + SOURCE_DROPPED_AFTER_SECONDS
        )

    def _missing_spans(self, now: float) -> list[UnreportedSpan]:
        spans: list[UnreportedSpan] = []
        since = self._missing_since - REPORT_LEASE_SECONDS
        until = self._missing_since - REPORT_LEASE_SECONDS + FENCING_TIMEOUT_SECONDS
        known_proxies = self.proxy_count + self._missing
        if self._missing:
            spans.append(UnreportedSpan(self._missing / known_proxies, since, until))
        left_to_report = max(0.0, self._returned_at + RETURN_REPORT_SECONDS - now)
        reporting = self._returned * min(1.0, left_to_report / (RETURN_REPORT_SECONDS - RETURN_DELAY_SECONDS))
        if reporting:
            # Limited to the time when they were not in the membership.
            spans.append(UnreportedSpan(reporting / known_proxies, since, min(until, self._returned_at)))
        return spans

    @staticmethod
    def _stalled_spans(now: float, sources: Mapping[str, UsageSource]) -> list[UnreportedSpan]:
        """Return the spans of stalled sources; updates the shares of the others."""
        # A restarted registry is a new source: only its newest incarnation counts.
        newest = {name.partition("#")[0]: source for name, source in sources.items()}
        accepted_rate = sum(source.accepted_rate for source in newest.values())
        spans: list[UnreportedSpan] = []
        for source in newest.values():
            if now <= source.changed_at + CLOCK_TOLERANCE_SECONDS:
                source.share = source.accepted_rate / max(1.0, accepted_rate)
            elif source.is_stalled(now) and now < source.changed_at + STALLED_SOURCE_KEPT_SECONDS:
                spans += source.unreported_spans()
        return spans


def estimate_unreported(
    now: float,
    window: UsageWindow,
    spans: Sequence[UnreportedSpan],
    quota_window_seconds: float,
    enforced_quota: float,
) -> float:
    """Estimate the requests that other proxies admitted unreported in the rule's window.

    Proxies in a span are assumed to admit as much as reporting ones in proportion to their share, and no more
    than their share of the remaining quota.
    """
    unreported = 0.0
    if not spans:
        return unreported
    window_start = now - quota_window_seconds
    hidden_share = sum(span.share for span in spans if not span.tail_only)
    reporting_share = max(1 - MAX_UNREPORTED_SHARE, 1 - hidden_share)
    for share, span_since, span_until, tail_only in spans:
        since = max(span_since, window_start)
        until = min(span_until, now)
        if since >= until:
            continue
        if tail_only:  # at the rate of the second before
            usual = window.sums_between(span_since - 1, span_since)
            unreported += (usual.local_accepted + usual.remote_accepted) * share * (until - since)
            continue
        earlier = window.sums_between(window_start, since)
        reported = window.sums_between(since, until)
        like_reporting = (reported.local_accepted + reported.remote_accepted) * share / reporting_share
        left_of_quota = max(0.0, enforced_quota - earlier.local_accepted - earlier.remote_accepted)
        unreported += min(like_reporting, left_of_quota * share)
    return unreported
