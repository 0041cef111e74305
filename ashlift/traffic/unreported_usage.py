"""Which proxies may admit requests that no totals contain: those missing from the membership, and those
behind a source whose totals have stalled.

A missing proxy may be dead, or partitioned off and at work until its fencing time-out; so may all proxies
that report to a registry on the far side of a partition. Both are held as a share of all proxies for a span
of time.

A stalled source need not hide anything: it may say itself that its proxies have gone, or other sources may
name them. What it hides is its share, as far as no other source names its proxies. The limiter owns the
state; times are seconds of the steady clock.
"""

import math
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from ashlift.traffic.usage_window import UsageWindow

LEASE_SECONDS: Final = 2.5  # before it is missed that the reports of a proxy may have ended
# That a partitioned proxy admits requests, from its last configuration. The default of the bound `Revoke`,
# which ends it (`ashlift.proxy.admission.configuration_is_current`); it does not follow that setting.
FENCED_AFTER_SECONDS: Final = 5.0
# In which proxies that have returned report what they admitted; they begin a second after their return.
RETURN_REPORT_SECONDS: Final = 3.0
RETURN_DELAY_SECONDS: Final = 1.0
# A source has stalled that has not changed for so long, and in which it should have reported so many
# requests.
STALLED_AFTER_SECONDS: Final = 0.8
STALLED_MIN_REQUESTS: Final = 8.0
UNREPORTED_TAIL_SECONDS: Final = 0.5  # before its last change, of which it has not reported all
STALLED_PROXIES_SECONDS: Final = 5.5  # that proxies behind a stalled source may go on
# After which a stalled source is dropped and its own proxies may be missing with it; those missing before are
# others.
SOURCE_DROPPED_AFTER_SECONDS: Final = 5.0
STALLED_SOURCE_KEPT_SECONDS: Final = 2 * STALLED_PROXIES_SECONDS  # that a stalled source counts
MAX_UNREPORTED_SHARE: Final = 0.9  # of all proxies: above it, the rest would say too little of them
RATE_TIME_CONSTANT_SECONDS: Final = 2.0  # of a source's accepted rate
CLOCK_TOLERANCE_SECONDS: Final = 1e-3  # a source that changed just now has not stalled


class UnreportedSpan(NamedTuple):
    """A share of all proxies whose requests between two times may be in no totals."""

    share: float
    since: float
    until: float
    only_tail: bool = False  # the proxies report again, and only what they had not reported before is lost


class SourceCoverage(NamedTuple):
    """How many proxies a source names, and how many of those no other source names."""

    proxies: int
    exclusive_proxies: int


class UsageSource:
    """The totals of one source, when they last changed, and its accepted rate over all tenants."""

    def __init__(self, now: float, totals: dict[str, tuple[int, int]]) -> None:
        self.changed_at = now
        self.totals = totals  # by tenant: total, declined; tuples, as they come with every pull
        self.accepted_rate = 0.0  # requests a second
        self.share = 0.0  # of the accepted rate of all sources, before it stalled
        self.coverage = SourceCoverage(1, 1)  # as it names at least the proxy that hears of it
        self.proxies_at_change = 1  # that it named when it last changed

    def unreported_spans(self) -> list[UnreportedSpan]:
        """Return what the source may hide while it is stalled.

        That is all of the proxies that no other source names; and of the others what they reported to it
        around its last change, before they turned to another source.
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
            only_tail=True,
        )
        return [span for span in (hidden, moved) if span.share > 0]

    def is_stalled(self, now: float) -> bool:
        """Return whether it should have changed by now, by its accepted rate."""
        return (
            now > self.changed_at + STALLED_AFTER_SECONDS
            and (now - self.changed_at) * self.accepted_rate > STALLED_MIN_REQUESTS
        )

    def record_change(self, now: float, accepted: int) -> None:
        """Count what its totals grew by, once for all tenants."""
        gain = 1 - math.exp(-(now - self.changed_at) / RATE_TIME_CONSTANT_SECONDS)
        if now > self.changed_at:
            self.accepted_rate += gain * (accepted / (now - self.changed_at) - self.accepted_rate)
        self.changed_at = now
        self.proxies_at_change = self.coverage.proxies


class UnreportedUsage:
    """The proxies that may admit requests, and the shares of them that may do so unreported."""

    def __init__(self) -> None:
        self.proxy_count = 1  # that may admit requests now
        self._stalled: list[UnreportedSpan] = []
        self._missing = 0
        self._returned = 0
        self._missing_since = -math.inf
        self._returned_at = -math.inf

    def set_proxy_count(self, now: float, count: int, missing_since: float | None = None) -> None:
        """Take how many proxies there are, at least 1.

        Those that have left are missing (since `missing_since`, if that was earlier), unless they are behind
        a stalled source; those that come back report what they admitted by and by.
        """
        if now >= self._missing_since - LEASE_SECONDS + FENCED_AFTER_SECONDS + RETURN_REPORT_SECONDS:
            self._missing = self._returned = 0
        if count < self.proxy_count:
            if not self._missing:
                self._missing_since = now if missing_since is None else min(now, missing_since)
            behind_stalled = self._share_behind_dropped(now) * self.proxy_count
            self._missing += max(0, self.proxy_count - count - math.ceil(behind_stalled))
        elif count > self.proxy_count:
            returned = min(self._missing, count - self.proxy_count)
            self._missing -= returned
            self._returned += returned
            self._returned_at = now
        self.proxy_count = max(1, count)

    def spans(self, now: float, sources: Mapping[str, UsageSource]) -> list[UnreportedSpan]:
        """Return all spans of late in which proxies may have admitted requests unreported."""
        self._stalled = self._stalled_spans(now, sources)
        return self._missing_spans(now) + self._stalled

    def _share_behind_dropped(self, now: float) -> float:
        """The share of all proxies behind sources that stalled so long ago that they are dropped."""
        return sum(
            span.share
            for span in self._stalled
            if not span.only_tail and now > span.since + SOURCE_DROPPED_AFTER_SECONDS
        )

    def _missing_spans(self, now: float) -> list[UnreportedSpan]:
        spans: list[UnreportedSpan] = []
        since = self._missing_since - LEASE_SECONDS
        until = self._missing_since - LEASE_SECONDS + FENCED_AFTER_SECONDS
        known_proxies = self.proxy_count + self._missing
        if self._missing:
            spans.append(UnreportedSpan(self._missing / known_proxies, since, until))
        left_to_report = max(0.0, self._returned_at + RETURN_REPORT_SECONDS - now)
        reporting = self._returned * min(1.0, left_to_report / (RETURN_REPORT_SECONDS - RETURN_DELAY_SECONDS))
        if reporting:
            # They are in the membership again, but were not while they were away.
            spans.append(UnreportedSpan(reporting / known_proxies, since, min(until, self._returned_at)))
        return spans

    @staticmethod
    def _stalled_spans(now: float, sources: Mapping[str, UsageSource]) -> list[UnreportedSpan]:
        """What stalled sources may hide; keeps the shares of the others up to date."""
        # A registry that has restarted is a new source, and its proxies report to others meanwhile: only the
        # newest incarnation counts.
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
    guarded_quota: float,
) -> float:
    """Estimate the requests that other proxies admitted unreported in the rule's window.

    Proxies in a span are taken to admit, for their share, as much as those that report, and no more than
    their share of what is left of the quota.
    """
    unreported = 0.0
    if not spans:
        return unreported
    window_start = now - quota_window_seconds
    hidden_share = sum(span.share for span in spans if not span.only_tail)
    reporting_share = max(1 - MAX_UNREPORTED_SHARE, 1 - hidden_share)
    for share, span_since, span_until, only_tail in spans:
        since = max(span_since, window_start)
        until = min(span_until, now)
        if since >= until:
            continue
        if only_tail:  # as much as in the second before
            usual = window.sums_between(span_since - 1, span_since)
            unreported += (usual.local_accepted + usual.remote_accepted) * share * (until - since)
            continue
        earlier = window.sums_between(window_start, since)
        reported = window.sums_between(since, until)
        like_reporting = (reported.local_accepted + reported.remote_accepted) * share / reporting_share
        left_of_quota = max(0.0, guarded_quota - earlier.local_accepted - earlier.remote_accepted)
        unreported += min(like_reporting, left_of_quota * share)
    return unreported
