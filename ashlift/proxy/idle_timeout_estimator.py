"""Estimates for how long idle connections to workers can safely be reused. No I/O.

Workers may close idle connections silently and earlier than announced. The next request on such a connection
is reset, and may have run. After one reset, only connections that were idle for a shorter time are reused.
The restriction ends earlier for idempotent requests, so that they probe longer idle times first.
"""

import math
from typing import Final

MIN_SUSPECT_IDLE_SECONDS: Final = 0.05  # resets after a shorter idle time have another cause
SAFE_IDLE_FRACTION: Final = 0.5  # of the idle time before a reset
MAX_RESET_DELAY_SECONDS: Final = 0.1  # a reset of a closed connection arrives within one round trip
IDEMPOTENT_ESTIMATE_LIFETIME_SECONDS: Final = 8.0  # after the last reset, for idempotent requests
ESTIMATE_LIFETIME_SECONDS: Final = 16.0  # after the last reset, for other requests


class IdleTimeoutEstimator:
    """Estimates the safe idle time from resets, over all workers, as resets of one worker are too rare."""

    def __init__(self) -> None:
        self._safe_idle_seconds = math.inf
        self._last_reset_at = -math.inf

    def record_reset(self, now: float, idle_seconds: float, elapsed: float) -> bool:
        """Record a connection that was reset or closed before any byte of a response.

        `idle_seconds`: how long it had been idle. `elapsed`: seconds since the request was sent. Returns
        whether the worker had probably closed it while it was idle.
        """
        if idle_seconds <= MIN_SUSPECT_IDLE_SECONDS or elapsed > MAX_RESET_DELAY_SECONDS:
            return False
        safe_idle_seconds = max(MIN_SUSPECT_IDLE_SECONDS, SAFE_IDLE_FRACTION * idle_seconds)
        if now - self._last_reset_at < ESTIMATE_LIFETIME_SECONDS:
            safe_idle_seconds = min(self._safe_idle_seconds, safe_idle_seconds)
        self._safe_idle_seconds = safe_idle_seconds
        self._last_reset_at = now
        return True

    def max_idle_seconds(self, now: float, idempotent: bool) -> float:
        """The maximum idle time of a connection to be reused now, in seconds."""
        lifetime_seconds = IDEMPOTENT_ESTIMATE_LIFETIME_SECONDS if idempotent else ESTIMATE_LIFETIME_SECONDS
        return self._safe_idle_seconds if now - self._last_reset_at < lifetime_seconds else math.inf
