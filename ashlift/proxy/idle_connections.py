"""For how long a connection to a worker may have rested when it is used again. Pure.

Workers drop idle connections, some of them silently and earlier than they say: the next request there is
reset, and may have run for all that is known. One such reset tells of the others: a request that may not be
repeated then takes a younger connection or a new one. The first to try old ones again are those that may be.
"""

import math

LEAST_S = 0.05  # younger ones are not in doubt
PART = 0.5  # of the rest after which a connection was reset: so much is still sure
QUICK_S = 0.1  # a reset of what the far end had forgotten comes in one round trip
DOUBT_S, LONG_DOUBT_S = 8.0, 16.0  # for requests that may be repeated, and for others


class IdleConnectionAges:
    """What is known of the rest of connections, of all workers together: each one is seen too seldom."""

    def __init__(self) -> None:
        self._sure = math.inf
        self._at = -math.inf

    def broke(self, now: float, rested: float, waited: float) -> bool:
        """A connection that had rested `rested` s was reset or closed `waited` s after a request went there,
        without a byte of an answer; whether its rest was the cause, as far as can be told."""
        if rested <= LEAST_S or waited > QUICK_S:
            return False
        sure = max(LEAST_S, PART * rested)
        self._sure = min(self._sure, sure) if now - self._at < LONG_DOUBT_S else sure
        self._at = now
        return True

    def most(self, now: float, repeatable: bool) -> float:
        """s that a connection may have rested to be used now."""
        return self._sure if now - self._at < (DOUBT_S if repeatable else LONG_DOUBT_S) else math.inf
