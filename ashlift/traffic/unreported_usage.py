"""Requests that are in no totals: of proxies missing from the membership, and of proxies that report to a
source whose totals have stalled.

A missing proxy may be dead, or partitioned and active until its fencing time-out. The same holds for all
proxies that report to a registry on the other side of a partition. What they may spend has been leased to
them beforehand (`ashlift.traffic.quota_leases`), and is reserved for them here. Proxies of a stalled source
that another source names report there. Times are seconds of the monotonic clock.
"""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from ashlift.traffic.quota_leases import TenantLeases
from ashlift.traffic.tenant_usage import QuotaBounds
from ashlift.traffic.usage_window import UsageWindow

REPORT_LEASE_SECONDS: Final = 2.5  # for which a proxy may have been silent before it is missing
SILENCE_SECONDS: Final = 1.5  # the same before it is known to be silent
# Until proxies that have returned have reported what they admitted; they start after the delay.
RETURN_REPORT_SECONDS: Final = 3.0
RETURN_DELAY_SECONDS: Final = 1.0
# A source has stalled if its totals did not change for this time, in which so many requests were expected.
STALLED_AFTER_SECONDS: Final = 0.8
STALLED_MIN_REQUESTS: Final = 8.0
UNREPORTED_TAIL_SECONDS: Final = 0.5  # before the last change of a source, which its totals may not cover
STALLED_PROXIES_SECONDS: Final = 5.5  # for which proxies of a stalled source may admit requests
STALLED_SOURCE_KEPT_SECONDS: Final = 2 * STALLED_PROXIES_SECONDS  # for which a stalled source is kept
RATE_TIME_CONSTANT_SECONDS: Final = 2.0  # of the mean of a source's accepted rate
MIN_REST_RATIO: Final = 0.05  # of a quota, as the part that proxies in contact have leased
# A proxy that is cut off spends its share of a window's quota evenly, except for a burst of so many seconds.
SPENDING_BURST_SECONDS: Final = 1.5
SPAN_STEP_SECONDS: Final = 0.5  # to which spans are widened: each costs two sums for a request
CLOCK_TOLERANCE_SECONDS: Final = 1e-3  # within which a source counts as changed now


class UnreportedSpan(NamedTuple):
    """A time span in which the requests of some proxies may be in no totals.

    `proxies`: those that spend their leases, as far as they have not reported it by now (`weight`, a ratio).
    `tail_share`: the share of all proxies that report to another source by now, so that only their last
    reports are lost.
    """

    since: float
    until: float
    proxies: frozenset[str] = frozenset()
    weight: float = 1.0
    tail_share: float = 0.0


class SourceCoverage(NamedTuple):
    """The proxies that a source names, and those of them that no other source names."""

    proxies: frozenset[str]
    exclusive_proxies: frozenset[str]


NO_COVERAGE: Final = SourceCoverage(frozenset(), frozenset())


class RecentUsage(NamedTuple):
    """Accepted requests by tenant that a source has reported in the last `seconds`."""

    seconds: float
    accepted: Mapping[str, int]


NO_RECENT_USAGE: Final = RecentUsage(0.0, {})


class UsageSource:
    """The totals of one source, when they last changed, and its accepted rate over all tenants.

    `recent_usage`: before the first totals.
    """

    def __init__(
        self,
        now: float,
        totals: dict[str, tuple[int, int]],
        recent_usage: RecentUsage = NO_RECENT_USAGE,
    ) -> None:
        self.known_since = now - recent_usage.seconds
        self._first_totals = dict(totals)
        self._recent_accepted = recent_usage.accepted
        self.changed_at = now
        self.totals = totals  # by tenant: total, declined
        self.accepted_rate = 0.0  # requests a second
        self.share = 0.0  # of the accepted rate of all sources before it stalled
        self.coverage = NO_COVERAGE
        self.proxies_at_change = 1  # named by the source when it last changed

    def accepted_since_known(self, tenant_name: str) -> int:
        """The tenant's accepted requests that are in the totals, since `known_since`."""
        first_total, first_declined = self._first_totals.get(tenant_name, (0, 0))
        total, declined = self.totals.get(tenant_name, (0, 0))
        recent = self._recent_accepted.get(tenant_name, 0)
        return recent + (total - declined) - (first_total - first_declined)

    def unreported_spans(self) -> list[UnreportedSpan]:
        """Return the spans of requests that may be missing while the source is stalled.

        Proxies that no other source names are missing completely. The others report to another source by now:
        only their last reports to this one are missing.
        """
        named, exclusive = self.coverage
        since = self.changed_at - UNREPORTED_TAIL_SECONDS
        spans = []
        if exclusive:
            spans.append(UnreportedSpan(since, self.changed_at + STALLED_PROXIES_SECONDS, exclusive))
        moved = min(1.0, (len(named) - len(exclusive)) / max(1, self.proxies_at_change))
        if moved * self.share > 0:
            until = self.changed_at + UNREPORTED_TAIL_SECONDS
            spans.append(UnreportedSpan(since, until, tail_share=moved * self.share))
        return spans

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
        self.proxies_at_change = max(1, len(self.coverage.proxies))


class _MissingProxy(NamedTuple):
    """When a proxy that is missing may have admitted requests unreported, and when it returned, if it has."""

    since: float
    until: float
    returned_at: float = math.inf


class UnreportedUsage:
    """The proxies, and the spans in which some of them may admit requests unreported."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._proxies: frozenset[str] = frozenset()
        self._missing: dict[str, _MissingProxy] = {}
        self._silent: set[str] = set()  # since before they are missing from the membership
        self._hidden: dict[str, UnreportedSpan] = {}  # proxies behind stalled sources

    @property
    def proxy_count(self) -> int:
        """Proxies that may admit requests now, at least 1."""
        return max(1, len(self._proxies))

    def set_proxies(self, now: float, names: Collection[str], missing_since: float | None = None) -> None:
        """Set which proxies may admit requests.

        Proxies that have left are missing (since `missing_since`, if that was earlier, or since their source
        stalled). Proxies that return report gradually what they admitted.
        """
        proxies = frozenset(names)
        gone_at = now if missing_since is None else min(now, missing_since)
        missing = self._missing_since(gone_at - REPORT_LEASE_SECONDS)
        for name in self._proxies - proxies - self._silent:
            hidden = self._hidden.get(name)
            if hidden is None:
                self._missing[name] = missing
            else:
                self._missing[name] = _MissingProxy(hidden.since, hidden.until)
        self._record_returns(now, (proxies - self._proxies) & self._missing.keys())
        self._silent -= proxies - self._proxies
        self._proxies = proxies

    def set_silent_proxies(self, now: float, names: Collection[str]) -> None:
        """Set which of the proxies have not reported for a while.

        They are missing from then on, also when they leave the membership.
        """
        missing = self._missing_since(now - SILENCE_SECONDS)
        for name in names:
            if name not in self._silent:
                self._silent.add(name)
                self._missing[name] = missing
        back = {name for name in self._silent if name not in names and name in self._proxies}
        self._record_returns(now, back & self._missing.keys())
        self._silent -= back

    def _missing_since(self, since: float) -> _MissingProxy:
        """A proxy that may have been cut off then; the span is widened, so that several share one."""
        start = SPAN_STEP_SECONDS * math.floor(since / SPAN_STEP_SECONDS)
        return _MissingProxy(start, start + SPAN_STEP_SECONDS + self._bounds.revoke)

    def _record_returns(self, now: float, names: Iterable[str]) -> None:
        for name in names:
            if self._missing[name].returned_at == math.inf:
                self._missing[name] = self._missing[name]._replace(returned_at=now)

    def silent_proxies(self, now: float) -> set[str]:
        """The proxies that are missing, or behind a stalled source."""
        self._forget_missing(now)
        return self._missing.keys() | self._hidden.keys()

    def spans(self, now: float, sources: Mapping[str, UsageSource]) -> list[UnreportedSpan]:
        """Return all recent spans in which proxies may have admitted requests unreported."""
        self._forget_missing(now)
        stalled = _stalled_spans(now, sources)
        self._hidden = {name: span for span in stalled for name in span.proxies}
        return [*self._missing_spans(now), *stalled]

    def _forget_missing(self, now: float) -> None:
        """Forget proxies whose requests have left the rule's window, and those that have reported them."""
        self._missing = {
            name: missing
            for name, missing in self._missing.items()
            if now < missing.until + self._bounds.quota_window
            and now < missing.returned_at + RETURN_REPORT_SECONDS
        }
        self._silent &= self._missing.keys()

    def _missing_spans(self, now: float) -> Iterable[UnreportedSpan]:
        by_span: dict[_MissingProxy, set[str]] = {}
        for name, missing in self._missing.items():
            if name not in self._hidden:
                by_span.setdefault(missing, set()).add(name)
        for missing, names in by_span.items():
            # Limited to the time when they were not in the membership.
            until = min(missing.until, missing.returned_at)
            left_to_report = missing.returned_at + RETURN_REPORT_SECONDS - now
            weight = min(1.0, left_to_report / (RETURN_REPORT_SECONDS - RETURN_DELAY_SECONDS))
            yield UnreportedSpan(missing.since, until, frozenset(names), weight)


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


class QuotaWindow(NamedTuple):
    """The usage of a tenant, the start of the rule's window, and the quota in it.

    `known_since`: of the first totals; what was before is estimated for all proxies together.
    """

    usage: UsageWindow
    since: float
    known_since: float
    quota: float


def estimate_unreported(
    now: float, window: QuotaWindow, spans: Sequence[UnreportedSpan], leases: TenantLeases
) -> float:
    """The requests to leave to proxies that may have admitted them unreported in the rule's window.

    A proxy that is cut off spends at most its leased share of what was left of the quota when it last
    reported (`QuotaSharing.has_isolated_room`). Of the rest, the other proxies have used a part so far;
    leaving the same part of the lease keeps the sum within the quota, and does not hold back a tenant that is
    far below it.
    """
    unreported = 0.0
    silent = frozenset[str]().union(*(span.proxies for span in spans))
    rest = max(MIN_REST_RATIO, 1.0 - leases.of(silent))
    for span in spans:
        since = max(span.since, window.since, window.known_since)
        until = min(span.until, now)
        if since >= until:
            continue
        if span.tail_share:  # at the rate of the second before
            usual = window.usage.sums_between(span.since - 1, span.since)
            accepted = usual.local_accepted + usual.remote_accepted
            unreported += accepted * span.tail_share * (until - since)
            continue
        share = leases.of(span.proxies)
        if share:
            earlier = window.usage.sums_between(window.since, since)
            left = max(0.0, window.quota - earlier.local_accepted - earlier.remote_accepted)
            used = window.usage.sums_since(since)
            like_others = (used.local_accepted + used.remote_accepted) * share / rest
            in_window = min(1.0, (until - window.since + SPENDING_BURST_SECONDS) / (now - window.since))
            unreported += span.weight * min(like_others, in_window * share * left)
    return unreported
