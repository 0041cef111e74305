"""When leases expire, although this process may have been paused in between. Pure; times in seconds."""

from typing import Final

PAUSE_THRESHOLD_SECONDS: Final = 1.0  # without a tick: it was this process that paused, not the others


class LeaseClock:
    """Counts leases from their last renewal, or from the end of this process's last standstill if later."""

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.resumed_at = now
        self._last_tick_at = now

    def tick(self, now: float) -> bool:
        """Call this several times a second. True: the process was paused since the last call."""
        was_paused = now - self._last_tick_at > PAUSE_THRESHOLD_SECONDS
        self._last_tick_at = now
        if was_paused:
            self.resumed_at = now
        return was_paused

    def has_expired(self, renewed_at: float, lease_seconds: float, now: float) -> bool:
        """Whether a lease of that length has run out that was renewed at that time."""
        return now - max(renewed_at, self.resumed_at) > lease_seconds
