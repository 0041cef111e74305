"""For how long a connection to a worker may have rested when it is used again. Pure.

Workers drop idle connections, some of them silently and earlier than they say: the next request there is
reset, and may have run for all that is known. One such reset tells of the others: a request that may not be
repeated then takes a younger connection or a new one. The first to try old ones again are those that may be.
"""

import math

MIN_DOUBTFUL_AGE_SECONDS = 0.05  # younger ones are not in doubt
SAFE_AGE_FRACTION = 0.5  # of the rest after which a connection was reset: so much is still sure
MAX_RESET_DELAY_SECONDS = 0.1  # a reset of what the far end had forgotten comes in one round trip
IDEMPOTENT_DOUBT_SECONDS, DOUBT_SECONDS = 8.0, 16.0  # for requests that may be repeated, and for others


class IdleConnectionAges:
    """What is known of the rest of connections, of all workers together: each one is seen too seldom."""

    def __init__(self) -> None:
        self._safe_age = math.inf
        self._last_reset_at = -math.inf

    def record_reset(self, now: float, rested: float, waited: float) -> bool:
        """A connection that had rested `rested` s was reset or closed `waited` s after a request went there,
        without a byte of an answer; whether its rest was the cause, as far as can be told."""
        if rested <= MIN_DOUBTFUL_AGE_SECONDS or waited > MAX_RESET_DELAY_SECONDS:
            return False
        sure = max(MIN_DOUBTFUL_AGE_SECONDS, SAFE_AGE_FRACTION * rested)
        self._safe_age = min(self._safe_age, sure) if now - self._last_reset_at < DOUBT_SECONDS else sure
        self._last_reset_at = now
        return True

    def max_idle(self, now: float, repeatable: bool) -> float:
        """s that a connection may have rested to be used now."""
        doubt_seconds = IDEMPOTENT_DOUBT_SECONDS if repeatable else DOUBT_SECONDS
        return self._safe_age if now - self._last_reset_at < doubt_seconds else math.inf
