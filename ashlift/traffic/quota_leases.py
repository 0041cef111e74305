"""The leases on shares of one tenant's quota, as one proxy knows them.

A lease is granted beforehand, and published to all proxies: a proxy that is cut off spends its own share of
what the last totals leave of the quota, and the others leave just that to it. Shares are thousandths of the
quota. Times are seconds of the monotonic clock.
"""

import math
from collections.abc import Collection, Mapping
from typing import Final, NamedTuple

FULL_QUOTA: Final = 1000
NO_POSITION: Final = (-1, 0)  # before the first table
REVIEW_SECONDS: Final = 1.0  # between two looks at the share to ask for
IDLE_SECONDS: Final = 30.0  # without a request, after which a lease is given back
# The share asked for stays as it is while the share used is near it, as each change is sent to all proxies.
MIN_RAISE_RATIO: Final = 1.5
MIN_RAISE: Final = 10
MAX_LOWER_RATIO: Final = 0.5


class LeaseState(NamedTuple):
    """The share that this proxy asks for, and the one that it holds by the table at `position`."""

    wanted: int
    held: int
    position: tuple[int, int]


class TenantLeases:
    """The leases of all proxies on the quota of one tenant. `node`: the name of this proxy."""

    __slots__ = (
        "_lifetime_seconds",
        "_node",
        "_renewed_at",
        "_reviewed_at",
        "_shares",
        "_position",
        "_used_at",
        "wanted",
    )

    def __init__(self, node: str, lifetime_seconds: float) -> None:
        """`lifetime_seconds`: for which this proxy holds to its lease without hearing of it."""
        self._node = node
        self._lifetime_seconds = lifetime_seconds
        self._shares: Mapping[str, int] = {}
        self._position = NO_POSITION
        self._renewed_at = -math.inf
        self._reviewed_at = -math.inf
        self._used_at = -math.inf
        self.wanted = 0

    def record(
        self, sent_at: float, position: tuple[int, int], shares: Mapping[str, int], silent: Collection[str]
    ) -> None:
        """Record a table of all leases; one that is older than the last is ignored.

        The lease lasts from `sent_at`, when the call was sent that is answered with it: this process may have
        been paused since.

        `silent`: proxies that may be cut off. Who grants may not know of them after a restart.
        """
        if position < self._position:
            return
        self._position = position
        self._renewed_at = max(self._renewed_at, sent_at)
        kept = {node: share for node, share in self._shares.items() if node in silent and node != self._node}
        if kept:
            shares = {**shares, **{node: max(share, shares.get(node, 0)) for node, share in kept.items()}}
        self._shares = shares

    def held(self, now: float) -> int:
        """The share that this proxy may spend when it is cut off."""
        if now - self._renewed_at > self._lifetime_seconds:
            return 0
        return self._shares.get(self._node, 0)

    def last_share(self, proxy_count: int) -> float:
        """The share of this proxy by the last table, whether or not its lease has ended.

        If it had none, an even part of what was not leased.
        """
        if self._node in self._shares:
            return self._shares[self._node]
        return max(0, FULL_QUOTA - sum(self._shares.values())) / max(1, proxy_count - len(self._shares))

    def must_be_reported(self, now: float) -> bool:
        """Whether this proxy asks for a share, or there are leases that it may hold one of."""
        return self.wanted > 0 or now - self._renewed_at <= self._lifetime_seconds

    def state(self, now: float) -> LeaseState:
        """What this proxy reports."""
        return LeaseState(self.wanted, self.held(now), self._position)

    def of(self, nodes: Collection[str]) -> float:
        """The shares of these proxies in sum, without that of this one, as a ratio of the quota."""
        return sum(self._shares.get(node, 0) for node in nodes if node != self._node) / FULL_QUOTA

    def record_use(self, now: float) -> None:
        """Record that there was a request at this proxy."""
        self._used_at = now

    def is_due_for_review(self, now: float) -> bool:
        """Whether the share to ask for must be looked at again; True once for each interval."""
        if now - self._reviewed_at < REVIEW_SECONDS:
            return False
        self._reviewed_at = now
        return True

    def review(self, now: float, used: float) -> None:
        """Update the share to ask for; `used`: this proxy's share of the use, as a ratio."""
        if now - self._used_at > IDLE_SECONDS:
            self.wanted = 0
            return
        share = int(FULL_QUOTA * used)
        needs_more = share > MIN_RAISE_RATIO * self.wanted + MIN_RAISE or not self.wanted
        needs_less = share < MAX_LOWER_RATIO * self.wanted - MIN_RAISE
        if needs_more or needs_less:
            self.wanted = share
