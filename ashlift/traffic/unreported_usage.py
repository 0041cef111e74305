"""Who may pass requests that nobody hears of: gatekeepers gone from the members, and sources gone silent.

A gatekeeper that is missed may be dead, or cut off and still at work until its fences stop it; so may all
those behind a registry on the far side of a cut. Both count as a share of all gatekeepers for a span of time.

A source that tells nothing more need not hide anything: it may say itself that its gatekeepers have gone, or
others name them too. What it hides is its share, as far as nobody else names its gatekeepers. Times are s.
"""

import math
from typing import NamedTuple

LEASE = 2.5  # s before it is missed that a gatekeeper may have gone unheard
FENCED = 5.0  # s that one cut off passes requests, counted from the last news of it
BACK_FOR = 3.0  # s in which those that are back tell of what they passed: they begin a second after
SILENT_AFTER = 0.8  # s, and
SILENT_COUNTS = 8.0  # requests that a source should have told of by now, without any change of it
UNTOLD = 0.5  # s before its last change from which it has not told all
SILENT_FOR = 5.5  # s that those behind it may go on
DROPPED = 5.0  # s of its silence after which a source's own gatekeepers may be gone with it; others before
KEPT_FOR = 2 * SILENT_FOR  # s that a silent source is thought of
MOST = 0.9  # share of all that is taken to be unheard, at most
FLOW_FOR = 2.0  # s, time constant of a source's flow


class UnreportedSpan(NamedTuple):
    """A share of all gatekeepers that may have passed requests unheard from `first` to `until` (s). `lost`:
    they are heard by now, and only what they told last is lost."""

    share: float
    first: float
    until: float
    lost: bool = False


class SourceCoverage(NamedTuple):
    """How many gatekeepers a source names, and how many of those no other source names."""

    named: int
    alone: int


class UsageSource:
    """The sums of one source as last told, when, and its flow (accepted a second, all tenants)."""

    def __init__(self, now: float, sums: dict[str, tuple[int, int]]) -> None:
        self.at, self.sums, self.flow, self.share = now, sums, 0.0, 0.0
        self.behind = SourceCoverage(1, 1)  # it
        self.crowd = 1  # gatekeepers behind it when it last told something

    def hides(self) -> list[UnreportedSpan]:
        """What it may hide while it is silent: those whom nobody else names; of the others, what it was told
        just before and after it told us last."""
        crowd, named, alone = max(1, self.crowd), *self.behind
        first = self.at - UNTOLD
        hidden = UnreportedSpan(self.share * min(1.0, alone / crowd), first, self.at + SILENT_FOR)
        moved = UnreportedSpan(
            self.share * min(1.0, (named - alone) / crowd), first, self.at + UNTOLD, lost=True
        )
        return [span for span in (hidden, moved) if span.share > 0]

    def missed(self, now: float) -> bool:
        """Whether it should have told something by now, as busy as it was."""
        return now > self.at + SILENT_AFTER and (now - self.at) * self.flow > SILENT_COUNTS

    def told(self, now: float, accepted: int) -> None:
        """Count what it told anew, at once for all tenants."""
        gain = 1 - math.exp(-(now - self.at) / FLOW_FOR)
        if now > self.at:
            self.flow += gain * (accepted / (now - self.at) - self.flow)
        self.at, self.crowd = now, self.behind.named


class UnreportedUsage:
    """Members and sources, as far as they may hide requests."""

    def __init__(self) -> None:
        self.members = 1  # that may pass requests now
        self._silent: list[UnreportedSpan] = []
        self._lost = self._back = 0
        self._lost_at = self._back_at = -math.inf

    def set_proxy_count(self, now: float, count: int, missed: float | None = None) -> None:
        """Take how many there are, at least 1. Those gone are missed (since `missed`, if that was earlier),
        unless a silent source hides them; those back tell by and by."""
        if now >= self._lost_at - LEASE + FENCED + BACK_FOR:
            self._lost = self._back = 0
        if count < self.members:
            if not self._lost:
                self._lost_at = now if missed is None else min(now, missed)
            hidden = sum(one.share for one in self._silent if not one.lost and now > one.first + DROPPED)
            hidden *= self.members
            self._lost += max(0, self.members - count - math.ceil(hidden))
        elif count > self.members:
            back = min(self._lost, count - self.members)
            self._lost, self._back, self._back_at = self._lost - back, self._back + back, now
        self.members = max(1, count)

    def spans(self, now: float, sources: dict[str, UsageSource]) -> list[UnreportedSpan]:
        """All that may hide requests passed of late."""
        spans: list[UnreportedSpan] = []
        first, until = self._lost_at - LEASE, self._lost_at - LEASE + FENCED
        if self._lost:
            spans.append(UnreportedSpan(self._lost / (self.members + self._lost), first, until))
        coming = self._back * min(1.0, max(0.0, self._back_at + BACK_FOR - now) / (BACK_FOR - 1))
        if coming:
            # Members once more, but not while they were away.
            spans.append(
                UnreportedSpan(coming / (self.members + self._lost), first, min(until, self._back_at))
            )
        # One that was started anew has a new name, and its gatekeepers tell others meanwhile.
        lives = {name.partition("#")[0]: source for name, source in sources.items()}
        flow = sum(source.flow for source in lives.values())
        self._silent = []
        for source in lives.values():
            if now <= source.at + 1e-3:
                source.share = source.flow / max(1.0, flow)  # what it had before it fell silent
                continue
            if source.missed(now) and now < source.at + KEPT_FOR:
                self._silent += source.hides()
        return spans + self._silent
