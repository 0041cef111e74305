"""Expiry of leases, corrected for pauses of this process. Does no I/O; times in seconds."""

from typing import Final

LEASE_HEARTBEATS: Final = 3  # lease of a worker, in heartbeat intervals
PAUSE_THRESHOLD_SECONDS: Final = 1.0  # a longer time between two ticks means that this process was paused


class LeaseClock:
    """Counts leases from their last renewal, or from the end of this process's last pause if that is later.

    Renewals that arrived during a pause have not been processed, so leases must not expire because of it.
    """

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.resumed_at = now
        self._last_tick_at = now

    def tick(self, now: float) -> bool:
        """Must be called several times a second; returns whether the process was paused before."""
        was_paused = now - self._last_tick_at > PAUSE_THRESHOLD_SECONDS
        self._last_tick_at = now
        if was_paused:
            self.resumed_at = now
        return was_paused

    def has_expired(self, renewed_at: float, lease_seconds: float, now: float) -> bool:
        """Whether a lease of `lease_seconds` renewed at `renewed_at` has expired."""
        return now - max(renewed_at, self.resumed_at) > lease_seconds
