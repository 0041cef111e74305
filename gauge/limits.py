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
from typing import Protocol

from mintfront import window
from mintfront.state import Bucket

Counts = dict[str, tuple[int, int]]  # by tenant: total, declined

HARD_FACTOR = 12.0  # x soft limit: chance decides up to a spike of this size, so that all let in alike
CACHED = 0.1  # s that a suppression factor stands
NEWS_LAG = 0.4  # s, mean age of what is told: adds, swaps and pulls each take up to 0.25 s
BLIND_AFTER = 1.0  # s without sums
LOST_FOR = 4.0  # s that a gatekeeper gone from the members is taken to pass unheard: its fences end that
LOST_SINCE = 1.0  # s before it is missed that it may have passed unheard
DOUBT = 3.0  # requests: added to both sides of a jump, as few requests speak for few others
JUMP_MOST = 10.0  # x, the largest jump taken for one
EVEN = 0.5  # of what is left is dealt evenly, the rest by use: a tenant's traffic need not be even
SAFETY = 0.93  # x bound that the guard goes up to
ROUND_FOR = 1.0  # s that a draw for rounding a part stands
PENDING_FOR = 2.0  # s after which adds of ours that no source has shown are lost
ADVICE_LEAST, ADVICE_MOST = 0.3, 3.0  # s, Retry-After


class Bounds(Protocol):
    """What the settings say of the rule QUOTA: s, a share, requests."""

    @property
    def quota_window(self) -> float: ...
    @property
    def quota_overrun(self) -> float: ...
    @property
    def quota_slack(self) -> float: ...


class _Tenant:
    """Counts and limits of one tenant. Buckets are in ms (`mintfront.window`)."""

    def __init__(self) -> None:
        self.rate, self.burst, self.length, self.bound = 0.0, 0.0, 1.0, math.inf
        self.buckets: dict[int, Bucket] = {}
        self.total = self.declined = 0  # fresh
        self.pending: list[list[float]] = []  # [until, total, accepted] confirmed, not yet shown
        self.since = math.inf  # when news first told of it, or could have
        self.factor, self.factor_until = 0.0, -math.inf
        self.rounding, self.rounding_until = 0.0, -math.inf


class _Source:
    """The sums of one source as last told, and when (s)."""

    def __init__(self, now: float, sums: Mapping[str, tuple[int, int]]) -> None:
        self.at, self.sums = now, dict(sums)


class Limiter:
    """All tenants' limits at one gatekeeper. Its state begins blind: with a share of each limit."""

    def __init__(self, rng: random.Random, bounds: Bounds) -> None:
        self._random, self._bounds = rng, bounds
        self._tenants: dict[str, _Tenant] = {}
        self._sources: dict[str, _Source] = {}
        self._heard_at = -math.inf
        self._members, self._lost = 1, 0
        self._lost_at = -math.inf

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
        most = (rate * bounds.quota_window + burst) * (1 + bounds.quota_overrun) + bounds.quota_slack
        entry.bound = SAFETY * most
        entry.factor_until = -math.inf

    def forget(self, tenant: str) -> None:
        """Drop a tenant that no configuration holds any more."""
        self._tenants.pop(tenant, None)

    def set_members(self, now: float, count: int) -> None:
        """Take how many gatekeepers may pass requests now. Those gone may be cut off, and pass on."""
        if count < self._members:
            if now >= self._lost_at + LOST_FOR:
                self._lost, self._lost_at = 0, now
            self._lost += self._members - count
        elif count > self._members:
            self._lost = max(0, self._lost - (count - self._members))
        self._members = max(1, count)

    # ---- requests

    def admit(self, now: float, tenant: str) -> float | None:
        """Count one request: None lets it pass, else it is refused with this Retry-After (s)."""
        entry = self._tenants.get(tenant)
        if entry is None:
            return None
        blind = self.blind(now) or entry.since > now
        total, accepted, last = self._estimate(now, entry, blind)
        share = 1 / self._members if blind else 1.0
        soft = entry.burst * share
        passes = accepted < soft
        if not passes and total < HARD_FACTOR * soft:
            if now >= entry.factor_until:
                entry.factor = window.suppression(entry.rate * share, entry.length * 1000, total, last)
                entry.factor_until = now + CACHED
            passes = self._random.random() >= entry.factor
        passes = passes and self._room(now, entry, blind)
        window.record(entry.buckets, now * 1000, 1.0, float(passes))
        entry.total += 1
        entry.declined += not passes
        if passes:
            return None
        ahead = max(total - soft, 1.0) / (entry.rate * share)
        return min(ADVICE_MOST, max(ADVICE_LEAST, ahead)) * (0.75 + 0.5 * self._random.random())

    def give_back(self, now: float, tenant: str) -> None:
        """Count a request that was passed as declined: it will never reach a worker."""
        entry = self._tenants.get(tenant)
        if entry is not None:
            window.record(entry.buckets, now * 1000, 0.0, -1.0)
            entry.declined += 1

    # ---- sums

    def fresh(self) -> Counts:
        """What is to be added to the shared sums since the last call, by tenant: total, declined."""
        counts: Counts = {}
        for tenant, entry in self._tenants.items():
            if entry.total or entry.declined:
                counts[tenant] = (entry.total, entry.declined)
                entry.total = entry.declined = 0
        return counts

    def unsent(self, counts: Mapping[str, tuple[int, int]]) -> None:
        """Put back what `fresh` gave: the call failed before it was sent."""
        for tenant, (total, declined) in counts.items():
            entry = self._tenants.get(tenant)
            if entry is not None:
                entry.total += total
                entry.declined += declined

    def confirmed(self, counts: Mapping[str, tuple[int, int]]) -> None:
        """These adds of ours are in a source's sums: they are no news when the sums show them."""
        for tenant, (total, declined) in counts.items():
            entry = self._tenants.get(tenant)
            if entry is not None:
                entry.pending.append([math.inf, float(total), float(total - declined)])

    def heard(self, now: float, sums: Mapping[str, Mapping[str, tuple[int, int]]]) -> None:
        """Take cumulative sums by source and tenant; only what changed need be there. A new source tells
        nothing yet: it starts at what it says."""
        if now - self._heard_at > self._bounds.quota_window:
            for known in self._tenants.values():
                known.since = math.inf
        self._heard_at = now
        for known in self._tenants.values():
            known.since = min(known.since, now)
            window.trim(known.buckets, now * 1000 - self._kept(known))
        edge = (now - NEWS_LAG) * 1000
        for name, told in sums.items():
            source = self._sources.get(name)
            if source is None:
                self._sources[name] = _Source(now, told)
                continue
            since, source.at = (source.at - NEWS_LAG) * 1000, now
            for tenant, (total, declined) in told.items():
                old_total, old_declined = source.sums.get(tenant, (0, 0))
                source.sums[tenant] = (total, declined)
                if (entry := self._tenants.get(tenant)) is not None:
                    asked = total - old_total
                    news = _less_ours(now, entry, float(asked), float(asked - declined + old_declined))
                    window.spread(entry.buckets, since, edge, self._kept(entry), *news)

    def keep_sources(self, alive: Container[str]) -> None:
        """Drop the sums of all sources but these: one that comes back starts anew."""
        self._sources = {name: source for name, source in self._sources.items() if name in alive}

    def blind(self, now: float) -> bool:
        """Whether the last sums are so old that each tenant has only its share here."""
        return now - self._heard_at > BLIND_AFTER

    # ---- arithmetic

    def _kept(self, entry: _Tenant) -> float:
        """ms for which buckets are kept."""
        return 1000 * max(entry.length, self._bounds.quota_window, 1.0)

    def _estimate(self, now: float, entry: _Tenant, blind: bool) -> tuple[float, float, float]:
        """Requests in the window (total, accepted) and in the last second: ours alone where blind."""
        at, length = now * 1000, entry.length * 1000
        window.trim(entry.buckets, at - self._kept(entry))
        if blind:
            ours = _between(entry.buckets, at - length, math.inf)
            last = ours.total if length == 1000 else _between(entry.buckets, at - 1000, math.inf).total
            return ours.total, ours.accepted, last
        total, accepted, last = window.seen(entry.buckets, at, length)
        edge = (self._heard_at - NEWS_LAG) * 1000
        unheard = _between(entry.buckets, edge, math.inf)
        before = _between(entry.buckets, edge - 1000, edge)
        span = (at - edge) / 1000
        asked = before.far_total * _jump(unheard.total, before.total * span)
        passed = before.far_accepted * _jump(unheard.accepted, before.accepted * span)
        total += asked * min(span, entry.length)
        accepted += passed * min(span, entry.length)
        last += asked * min(span, 1.0)
        return total, accepted, last

    def _room(self, now: float, entry: _Tenant, blind: bool) -> bool:
        """The guard: whether our part of what is left of the bound holds one more request."""
        at, span = now * 1000, self._bounds.quota_window * 1000
        if now >= entry.rounding_until:
            entry.rounding, entry.rounding_until = self._random.random(), now + ROUND_FOR
        if blind:
            ours = _between(entry.buckets, at - span, math.inf).accepted
            return ours + 1 <= entry.bound / self._members + entry.rounding
        edge = (self._heard_at - NEWS_LAG) * 1000
        heard, unheard = _between(entry.buckets, at - span, edge), _between(entry.buckets, edge, math.inf)
        # What went on before the first news is not known: as much as the limit lets through.
        unknown = max(0.0, self._bounds.quota_window - (now - entry.since)) * entry.rate
        left = entry.bound - heard.accepted - heard.far_accepted - unknown - self._lost_use(now, entry)
        use = heard.accepted / max(1.0, heard.accepted + heard.far_accepted + unknown)
        part = left * (EVEN / self._members + (1 - EVEN) * use)
        return unheard.accepted + 1 <= part + entry.rounding

    def _lost_use(self, now: float, entry: _Tenant) -> float:
        """What gatekeepers that are missed may have passed unheard: as much as those in touch, each."""
        if not self._lost or now >= self._lost_at + LOST_FOR:
            return 0.0
        since = self._lost_at - LOST_SINCE
        known = _between(entry.buckets, since * 1000, math.inf)
        each = (known.accepted + known.far_accepted) / self._members
        most = entry.bound / (self._members + self._lost)
        return self._lost * min(each, most * (now - since) / self._bounds.quota_window)


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
    return min(JUMP_MOST, max(1.0, (got + DOUBT) / (expected + DOUBT)))


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
