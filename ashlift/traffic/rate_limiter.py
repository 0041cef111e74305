"""The limiter of one gatekeeper, for all tenants: Trypema's suppressed strategy in hybrid form, and a guard.

Per tenant, short buckets count requests and refusals, our own and (by the sums over all sources) the others'.
Accepted under the soft limit passes; else total at the hard limit is refused; else chance decides. News is
old by `NEWS_LAG`: what others did since is taken to go on, and to jump as ours does: clients spread evenly.

The guard holds the rule QUOTA whatever the regimes say: what is left of the tenant's bound is dealt out among
all gatekeepers, and each passes no more than its part in the time that nobody has heard of yet. Times are s.
"""

import math
import random
from collections.abc import Container, Mapping
from typing import NamedTuple, Protocol

from ashlift.gatekeeper.admission import Bucket, window
from ashlift.traffic.unreported_usage import (
    KEPT_FOR,
    MOST,
    SourceCoverage,
    UnreportedSpan,
    UnreportedUsage,
    UsageSource,
)

UsageByTenant = dict[str, tuple[int, int]]  # by tenant: total, declined

HARD_FACTOR = 12.0  # x soft limit: chance decides up to a spike of this size, so that all let in alike
CACHED = 0.1  # s that a suppression factor stands
NEWS_LAG = 0.4  # s, mean age of what is told: adds, swaps and pulls each take up to 0.25 s
BLIND_AFTER = 1.0  # s without sums
YOUNG_SOURCE = 2.0  # s that a source has run: all that it tells first came to it while we heard others
HOLE_AFTER = 0.6  # s in which no source told anything, after which a new one does not speak of that time
DOUBT = 3.0  # requests: added to both sides of a jump, as few requests speak for few others
JUMP_MOST = 10.0  # x, the largest jump taken for one
FEW = 2.0  # requests: added to what each passed, as few requests tell little of a gatekeeper's part
HOT = 1.5  # x the limit asked, from which a tenant is surely beyond it
SPIKE = 2.5  # x our share asked in the last second, from which a blind gatekeeper holds to
HOT_SHARE = 0.7  # x its share of the bound
UNKNOWN = 1.2  # x what was heard since, for the time before the first news
YOUNG_FOR = 1.2  # s after the first news in which the others' rate is not known well
AMPLE = 2.0  # x what the others are taken to have passed unheard
EVEN = 0.5  # of what is left is dealt evenly, the rest by use: a tenant's traffic need not be even
BLIND_EVEN = 0.25  # of a limit is dealt evenly among the blind, the rest by what each passed before
SAFETY = 0.84  # x the bound that the guard goes up to, about the quota: the rest is for what is unheard
ROUND_FOR = 1.0  # s that a draw for rounding a part stands
PENDING_FOR = 2.0  # s after which adds of ours that no source has shown are lost
LATE_SPAN = 3.0  # s ago, at most, that a source which had been silent is taken to speak of
LATE_CALLS = 8  # calls, a quarter of a second each, to tell of what passed unheard
ADVICE_LEAST, ADVICE_MOST = 0.3, 3.0  # s, Retry-After


class QuotaBounds(Protocol):
    """What the settings say of the rule QUOTA: s, a share, requests."""

    @property
    def quota_window(self) -> float: ...
    @property
    def quota_overrun(self) -> float: ...
    @property
    def quota_slack(self) -> float: ...


class _Tenant:
    """Counts and limits of one tenant. Buckets are in ms (`ashlift.gatekeeper.admission.window`)."""

    def __init__(self) -> None:
        self.rate, self.burst, self.length, self.bound = 0.0, 0.0, 1.0, math.inf
        self.buckets: dict[int, Bucket] = {}
        self.total = self.declined = 0  # fresh
        self.late = self.late_calls = 0  # passed while blind and not yet told, and calls left to tell it
        self.pending: list[list[float]] = []  # [until, total, accepted] confirmed, not yet shown
        self.since = math.inf  # when news first told of it, or could have
        self.before_at = -math.inf  # the last news before we went blind, and what passed a second until then:
        self.ours_before, self.far_before = 0.0, math.inf  # here, and elsewhere
        self.factor, self.factor_until = 0.0, -math.inf
        self.rounding, self.rounding_until = 0.0, -math.inf


class _Seen(NamedTuple):
    """What the regimes go by: requests, and the limit that they are held against."""

    total: float
    accepted: float
    last: float  # in the last second
    soft: float
    rate: float  # a second
    length: float  # s, the window's


class RateLimiter:
    """All tenants' limits at one gatekeeper. It begins blind: with a share of each limit."""

    def __init__(self, rng: random.Random, bounds: QuotaBounds) -> None:
        self._random, self._bounds = rng, bounds
        self._tenants: dict[str, _Tenant] = {}
        self._sources: dict[str, UsageSource] = {}
        self._heard_at = self._told_at = -math.inf  # last sums, and last ones that told something
        self._now = -math.inf  # latest time told
        self._unheard = UnreportedUsage()
        self._spans: list[UnreportedSpan] = []

    # ---- what is in force

    def set_quota(self, tenant: str, rate: float, burst: float) -> None:
        """Take a tenant's limit (requests a second, requests); a rate of 0 is none. Counts stay."""
        if rate <= 0:
            self._tenants.pop(tenant, None)
            return
        entry = self._tenants.setdefault(tenant, _Tenant())
        burst = burst if burst > 0 else rate
        bounds = self._bounds
        entry.rate, entry.burst, entry.length = rate, burst, burst / rate
        quota = rate * bounds.quota_window + burst
        entry.bound = SAFETY * (quota * (1 + bounds.quota_overrun) + bounds.quota_slack)
        entry.factor_until = -math.inf

    def forget_tenant(self, tenant: str) -> None:
        """Drop a tenant that no configuration holds any more."""
        self._tenants.pop(tenant, None)

    def set_proxy_count(self, now: float, count: int, missed: float | None = None) -> None:
        """Take how many gatekeepers may pass requests now. Those gone may be cut off, and pass on; `missed`:
        since when (s), if that was before now."""
        self._unheard.set_proxy_count(now, count, missed)
        self._spans = self._unheard.spans(now, self._sources)

    # ---- requests

    def admit(self, now: float, tenant: str) -> float | None:
        """Count one request: None lets it pass, else it is refused with this Retry-After (s)."""
        entry = self._tenants.get(tenant)
        if entry is None:
            return None
        self._now = now
        blind = self.is_isolated(now) or entry.since > now
        seen = self._alone(now, entry) if blind else self._together(now, entry)
        passes = seen.accepted < seen.soft
        if not passes and seen.total < HARD_FACTOR * seen.soft:
            if now >= entry.factor_until:
                entry.factor = window.suppression(seen.rate, seen.length * 1000, seen.total, seen.last)
                entry.factor_until = now + CACHED
            passes = self._random.random() >= entry.factor
        passes = passes and (self._share_left(now, entry) if blind else self._room(now, entry))
        window.record(entry.buckets, now * 1000, 1.0, float(passes))
        if not blind or entry.since > now:  # else told of when it hears again
            entry.total += 1
            entry.declined += not passes
        if passes:
            return None
        ahead = max(seen.total - seen.soft, 1.0) / seen.rate
        return min(ADVICE_MOST, max(ADVICE_LEAST, ahead)) * (0.75 + 0.5 * self._random.random())

    def refund(self, now: float, tenant: str) -> None:
        """Count a request that was passed as declined: it will never reach a worker."""
        entry = self._tenants.get(tenant)
        if entry is not None:
            window.record(entry.buckets, now * 1000, 0.0, -1.0)
            entry.declined += 1

    # ---- sums

    def take_new_counts(self) -> UsageByTenant:
        """What is to be added to the shared sums since the last call, by tenant: total, declined. Nothing
        while blind; what came then is told by and by, or to the others it would look like a spike."""
        counts: UsageByTenant = {}
        for tenant, entry in self._tenants.items() if not self.is_isolated(self._now) else ():
            if entry.late_calls:
                told = entry.late // entry.late_calls
                entry.total += told
                entry.late, entry.late_calls = entry.late - told, entry.late_calls - 1
            if entry.total or entry.declined:
                counts[tenant] = (entry.total, entry.declined)
                entry.total = entry.declined = 0
        return counts

    def restore_counts(self, counts: Mapping[str, tuple[int, int]]) -> None:
        """Put back what `take_new_counts` gave: the call failed before it was sent."""
        for tenant, (total, declined) in counts.items():
            entry = self._tenants.get(tenant)
            if entry is not None:
                entry.total += total
                entry.declined += declined

    def confirm_counts(self, counts: Mapping[str, tuple[int, int]]) -> None:
        """These adds of ours are in a source's sums: they are no news when the sums show them."""
        for tenant, (total, declined) in counts.items():
            entry = self._tenants.get(tenant)
            if entry is not None:
                entry.pending.append([math.inf, float(total), float(total - declined)])

    def record_usage_totals(
        self,
        now: float,
        sums: Mapping[str, Mapping[str, tuple[int, int]]],
        behind: Mapping[str, SourceCoverage] | None = None,
        born: Mapping[str, float] | None = None,
    ) -> None:
        """Take cumulative sums by source and tenant; only what changed need be there. A new source tells
        nothing yet: it starts at what it says, or at nothing if it was `born` (steady time) while we heard
        others. `behind`: for how many gatekeepers each source speaks."""
        before, blind_since = self._heard_at, self._heard_at + BLIND_AFTER
        self._now = self._heard_at = now
        hole_since = self._told_at + HOLE_AFTER  # a new source then stands for one that has lost what it knew
        # Where all sources are new, all were blind like us, and take it into account.
        old = [name for name in sums if name in self._sources] if now > blind_since else []
        known = any(sums[name] != self._sources[name].sums for name in old)
        for entry in self._tenants.values():
            if now > blind_since:
                self._freeze(entry, before)
            window.trim(entry.buckets, now * 1000 - self._kept(entry))
            entry.since = min(entry.since, now)
            if now > blind_since > entry.since:
                first = max(blind_since, now - self._bounds.quota_window)
                entry.late = round(_between(entry.buckets, first * 1000, math.inf).accepted) if known else 0
                entry.late_calls = LATE_CALLS
        for name, stand in (behind or {}).items():
            if name in self._sources:
                self._sources[name].behind = stand
        for name, told in sums.items():
            source = self._sources.get(name)
            if source is None:
                hole, began = now > min(blind_since, hole_since), (born or {}).get(name, -math.inf)
                young = not hole and began > now - YOUNG_SOURCE
                source = self._sources[name] = UsageSource(
                    began if young else now, {} if young else dict(told)
                )
                for entry in self._tenants.values() if hole else ():
                    self._freeze(entry, self._told_at)
                    entry.since = now  # what came to this source meanwhile is not known
                if not young:
                    continue
                source.crowd = 0  # nothing was heard of it yet
            first = source.at if source.crowd == 0 else max(source.at, before)
            since, until, new, part = first - NEWS_LAG, now - NEWS_LAG, 0, 1.0
            if now > blind_since or source.missed(now):  # much at once, and perhaps of late, but no spike
                part = min(1.0, self._bounds.quota_window / (now - source.at))
                since, until = max(source.at - NEWS_LAG, until - LATE_SPAN), until - 1
            for tenant, counts in told.items():
                old_total, old_declined = source.sums.get(tenant, (0, 0))
                if counts == (old_total, old_declined):
                    continue
                source.sums[tenant], self._told_at = counts, now
                asked = counts[0] - old_total
                accepted = asked - counts[1] + old_declined
                new += accepted
                if tenant in self._tenants:
                    entry = self._tenants[tenant]
                    news = _less_ours(now, entry, part * asked, part * accepted)
                    window.spread(entry.buckets, since * 1000, until * 1000, self._kept(entry), *news)
            if new:
                source.told(now, new)
        self._spans = self._unheard.spans(now, self._sources)

    def retain_sources(self, now: float, alive: Container[str]) -> None:
        """Drop the sums of all sources but these and those that fell silent of late: one that comes back
        later starts anew."""
        kept = {name: one for name, one in self._sources.items() if name in alive or now < one.at + KEPT_FOR}
        self._sources = kept

    def is_isolated(self, now: float) -> bool:
        """Whether the last sums are so old that each tenant has only its share here."""
        return now - self._heard_at > BLIND_AFTER

    # ---- arithmetic

    def _kept(self, entry: _Tenant) -> float:
        """ms for which buckets are kept."""
        return 1000 * max(entry.length, self._bounds.quota_window, 1.0)

    def _freeze(self, entry: _Tenant, heard_at: float) -> None:
        """Keep what passed here and elsewhere up to the last news before we went blind, if that was known."""
        age = heard_at - entry.since
        if entry.before_at < heard_at and age > YOUNG_FOR:
            edge, span = heard_at - NEWS_LAG, min(self._bounds.quota_window, age)
            known = _between(entry.buckets, (edge - span) * 1000, edge * 1000)
            # What was given back later than it passed may take a span below nothing.
            ours, far = max(0.0, known.accepted), max(0.0, known.far_accepted) + self._hidden(heard_at, entry)
            entry.ours_before, entry.far_before = ours / span, far / span
            entry.before_at = heard_at

    def _blind_share(self, entry: _Tenant) -> float:
        """Our share of any limit while blind: partly even, partly by use before. Over all that is about one,
        and less where some have never heard."""
        self._freeze(entry, self._heard_at)
        members, doubt = self._unheard.members, FEW / self._bounds.quota_window
        use = (entry.ours_before + doubt) / (entry.ours_before + entry.far_before + doubt * members)
        return BLIND_EVEN / members + (1 - BLIND_EVEN) * use

    def _alone(self, now: float, entry: _Tenant) -> _Seen:
        """What the regimes see where nothing is heard: our own requests, and our share of the limit. A new
        tenant has that of its soft limit; one heard of, that of what the rule's window lets through."""
        length = entry.length
        soft = entry.burst
        if entry.since <= now:
            length = max(length, self._bounds.quota_window)
            soft = entry.rate * length + entry.burst
        share = self._blind_share(entry)
        window.trim(entry.buckets, now * 1000 - self._kept(entry))
        ours = _between(entry.buckets, (now - length) * 1000, math.inf)
        last = _between(entry.buckets, (now - 1) * 1000, math.inf).total
        return _Seen(ours.total, ours.accepted, last, soft * share, entry.rate * share, length)

    def _together(self, now: float, entry: _Tenant) -> _Seen:
        """What the regimes see of all gatekeepers: as heard, and since then as it went on."""
        total, accepted, last = window.seen(entry.buckets, now * 1000, entry.length * 1000)
        edge = self._heard_at - NEWS_LAG
        unheard = _between(entry.buckets, edge * 1000, math.inf)
        before = _between(entry.buckets, (edge - 1) * 1000, edge * 1000)
        asked, passed, span = before.far_total, before.far_accepted, now - edge
        if before.total + asked > HOT * entry.rate:  # else what is uneven would look like a jump
            ratio = before.far_total / max(1.0, before.total)
            asked = max(asked, unheard.total * ratio / span)
            passed = max(passed, unheard.accepted * ratio / span)
        total += asked * min(span, entry.length)
        accepted += passed * min(span, entry.length)
        last += asked * min(span, 1.0)
        return _Seen(total, accepted, last, entry.burst, entry.rate, entry.length)

    def _share_left(self, now: float, entry: _Tenant) -> bool:
        """The guard where nothing is heard: whether our share of the bound holds one more request."""
        span = self._bounds.quota_window
        ours = _between(entry.buckets, (now - span) * 1000, math.inf)
        last = _between(entry.buckets, (now - 1) * 1000, math.inf).total
        share = entry.bound * self._blind_share(entry)
        if (last - FEW) * span > SPIKE * share:  # those in touch may not know yet that nobody hears of us
            share *= HOT_SHARE
        return ours.accepted + 1 <= share + self._rounding(now, entry)

    def _room(self, now: float, entry: _Tenant) -> bool:
        """The guard: whether our part of what is left of the bound holds one more request."""
        edge, span = self._heard_at - NEWS_LAG, self._bounds.quota_window
        heard = _between(entry.buckets, (now - span) * 1000, edge * 1000)
        unheard = _between(entry.buckets, edge * 1000, math.inf)
        # What went on until the first news is not known: as much as since, or as before we were blind and as
        # it jumped here, or as the limit lets through.
        age, unknown = now - entry.since, 0.0
        hole = entry.since - max(now - span, entry.before_at - NEWS_LAG)
        if hole > 0:
            pace = UNKNOWN * entry.far_before * self._jumped(now, entry)
            if age > YOUNG_FOR:
                since = _between(entry.buckets, entry.since * 1000, edge * 1000)
                pace = UNKNOWN * (since.accepted + since.far_accepted) / age
            unknown = hole * min(entry.rate, pace)
        left = entry.bound - heard.accepted - heard.far_accepted - unknown - self._hidden(now, entry)
        # Where even twice what the others may have passed leaves room, nothing is dealt out: few are uneven.
        # But who has just begun to hear does not know them.
        before = _between(entry.buckets, (edge - 1) * 1000, edge * 1000)
        others = before.far_total * (now - edge) * _jump(unheard.total, before.total * (now - edge))
        if age > YOUNG_FOR and unheard.accepted + 1 + AMPLE * others <= left:
            return True
        members = self._unheard.members  # of what is not known, an even part may have been ours
        use = (heard.accepted + unknown / members) / max(1.0, heard.accepted + heard.far_accepted + unknown)
        part = left * (EVEN / members + (1 - EVEN) * use)
        return unheard.accepted + 1 <= part + self._rounding(now, entry)

    def _jumped(self, now: float, entry: _Tenant) -> float:
        """How much more a second was asked here since the last news before we were blind."""
        since = max(entry.before_at, now - self._bounds.quota_window)
        asked = _between(entry.buckets, since * 1000, math.inf).total
        return _jump(asked, entry.ours_before * (now - since))

    def _rounding(self, now: float, entry: _Tenant) -> float:
        """By chance up or down, or a share of less than one would be one everywhere, or none."""
        if now >= entry.rounding_until:
            entry.rounding, entry.rounding_until = self._random.random(), now + ROUND_FOR
        return entry.rounding

    def _hidden(self, now: float, entry: _Tenant) -> float:
        """What others may have passed unheard in the rule's window: as much for their share as those that are
        heard, and no more than their share of the bound."""
        span, use = self._bounds.quota_window, 0.0
        whole = sum(one.share for one in self._spans if not one.lost)
        for share, began, end, lost in self._spans:
            first, until = max(began, now - span), min(end, now)
            if first < until and lost:  # as much as in the second before
                usual = _between(entry.buckets, (began - 1) * 1000, began * 1000)
                use += (usual.accepted + usual.far_accepted) * share * (until - first)
            elif first < until:
                earlier = _between(entry.buckets, (now - span) * 1000, first * 1000)
                known = _between(entry.buckets, first * 1000, until * 1000)
                like = (known.accepted + known.far_accepted) * share / max(1 - MOST, 1 - whole)
                use += min(like, max(0.0, entry.bound - earlier.accepted - earlier.far_accepted) * share)
        return use


def _between(buckets: Mapping[int, Bucket], since: float, until: float) -> Bucket:
    """The sum of all buckets that end after `since` and not after `until` (ms)."""
    first = since // window.BUCKET_MS
    last = until // window.BUCKET_MS if until < math.inf else math.inf
    sums = Bucket()
    for at, bucket in buckets.items():
        if first <= at < last:
            sums.total += bucket.total
            sums.accepted += bucket.accepted
            sums.far_total += bucket.far_total
            sums.far_accepted += bucket.far_accepted
    return sums


def _jump(got: float, expected: float) -> float:
    """How much more than expected came here, doubtful where few came; never less than one."""
    return min(JUMP_MOST, max(1.0, (got + DOUBT) / (max(0.0, expected) + DOUBT)))


def _less_ours(now: float, entry: _Tenant, total: float, accepted: float) -> tuple[float, float]:
    """News without the adds of ours that it may hold; adds that nobody showed in time are let go."""
    for add in entry.pending:
        add[0] = min(add[0], now + PENDING_FOR)
        if now < add[0]:
            took_total, took_accepted = min(total, add[1]), min(accepted, add[2])
            total, accepted = total - took_total, accepted - took_accepted
            add[1:] = add[1] - took_total, add[2] - took_accepted
    entry.pending = [add for add in entry.pending if now < add[0] and (add[1] > 0 or add[2] > 0)]
    return max(0.0, total), max(0.0, accepted)
