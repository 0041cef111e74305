"""Decides which heartbeats may be from a worker whose departure is not known here. Does no I/O."""

import math
from collections.abc import Callable, Collection
from typing import Final

from ashlift.registry.lease_clock import LeaseClock
from ashlift.registry.peer_registries import PeerRegistries

CACHE_SECONDS: Final = 0.05  # short against the 0.25 s between exchanges with a peer


class HeartbeatTrust:
    """The time since which heartbeats are trusted, computed from the registries in contact."""

    def __init__(
        self, peers: PeerRegistries, clock: LeaseClock, core_members: Callable[[], Collection[str]]
    ) -> None:
        """`core_members`: returns the IPs of the core members."""
        self._peers = peers
        self._clock = clock
        self._core_members = core_members
        self._since = -math.inf
        self._computed_at = -math.inf

    def since(self, now: float) -> float:
        """A heartbeat sent earlier may be from a worker whose departure is not known here."""
        if not 0.0 <= now - self._computed_at < CACHE_SECONDS:
            self._since = self._compute(now)
            self._computed_at = now
        return self._since

    def _compute(self, now: float) -> float:
        """A departure acknowledged since then is held by a registry that is in contact.

        An isolated registry trusts every heartbeat, for the proxies that are isolated with it.
        """
        core_members = self._core_members()
        running_since = self._peers.majority_running_since(core_members, now)
        if running_since is not None:
            return running_since
        return -math.inf if self._peers.is_isolated(core_members, now) else self._clock.resumed_at
