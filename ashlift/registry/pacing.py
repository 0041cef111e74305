"""How often registries and proxies call each other, and how long calls are held open. Pure; seconds.

A call waits for changes (long poll), so that they arrive without delay. Each change would wake all callers:
the more there are, the further apart their calls are.
"""

from typing import Final

LONG_POLL_SECONDS: Final = 0.25  # a call is held open for so long at most
MIN_LONG_POLL_SECONDS: Final = 0.05  # and so long at least if nothing changed, so that no caller spins
BATCHING_DELAY_SECONDS: Final = 0.02  # changes within it are sent together
UNTHROTTLED_SESSIONS: Final = 2  # up to so many proxies receive every change without delay
UNTHROTTLED_PEERS: Final = 3  # up to so many registries are asked again without delay
INTERVAL_PER_CALLER_SECONDS: Final = 0.02
MAX_CALL_INTERVAL_SECONDS: Final = 0.25
INITIAL_BACKOFF_SECONDS: Final = 0.1  # after a call that failed
MAX_BACKOFF_SECONDS: Final = 1.0

# A worker that leaves waits so long for its acknowledgement: two calls to the others, each held open, an
# interval between them, and the way. It gives a call up after 1 s.
LEAVE_CONFIRMATION_SECONDS: Final = 0.8
LEAVE_CONFIRMATION_POLL_SECONDS: Final = 0.02


def call_interval(callers: int, unthrottled: int) -> float:
    """How far apart the calls of one caller are at least while there are many changes."""
    return min(MAX_CALL_INTERVAL_SECONDS, INTERVAL_PER_CALLER_SECONDS * max(0, callers - unthrottled))


def pull_deadline(received_at: float, wait_seconds: float, min_wait_seconds: float) -> float:
    """When a pull is answered at the latest, whose proxy would wait for so long."""
    return received_at + min(LONG_POLL_SECONDS, max(min_wait_seconds, wait_seconds))


def next_backoff(backoff_seconds: float) -> float:
    """The delay after a further failure."""
    return min(2 * backoff_seconds, MAX_BACKOFF_SECONDS)
