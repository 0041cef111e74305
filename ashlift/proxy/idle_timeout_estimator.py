"""For how long a connection to a worker may have been idle when it is used again. Pure.

Workers drop idle connections, some of them silently and earlier than they announce: the next request there
is reset, and may have run for all that is known. One such reset is taken as a sign of others: a request that
is not idempotent then uses a younger connection or a new one, until idempotent requests have tried old ones.
"""

import math
from typing import Final

MIN_DOUBTED_AGE_SECONDS: Final = 0.05  # younger connections are never in doubt
SAFE_AGE_FRACTION: Final = 0.5  # of the age at which a connection was reset
MAX_RESET_DELAY_SECONDS: Final = 0.1  # a worker that has dropped the connection resets within one round trip
IDEMPOTENT_DOUBT_SECONDS: Final = 8.0  # so long old connections are avoided for idempotent requests,
DOUBT_SECONDS: Final = 16.0  # and so long for others


class IdleTimeoutEstimator:
    """What resets say of idle connections, over all workers: of each worker there are too few."""

    def __init__(self) -> None:
        self._safe_age = math.inf
        self._last_reset_at = -math.inf

    def record_reset(self, now: float, idle_seconds: float, elapsed: float) -> bool:
        """A connection was reset or closed without a byte of a response; whether its age was the cause.

        `idle_seconds`: how long it had been idle. `elapsed`: seconds since the request was sent.
        """
        if idle_seconds <= MIN_DOUBTED_AGE_SECONDS or elapsed > MAX_RESET_DELAY_SECONDS:
            return False
        safe_age = max(MIN_DOUBTED_AGE_SECONDS, SAFE_AGE_FRACTION * idle_seconds)
        if now - self._last_reset_at < DOUBT_SECONDS:
            safe_age = min(self._safe_age, safe_age)
        self._safe_age = safe_age
        self._last_reset_at = now
        return True

    def max_idle_seconds(self, now: float, idempotent: bool) -> float:
        """Seconds that a connection may have been idle to be used now."""
        doubt_seconds = IDEMPOTENT_DOUBT_SECONDS if idempotent else DOUBT_SECONDS
        return self._safe_age if now - self._last_reset_at < doubt_seconds else math.inf
