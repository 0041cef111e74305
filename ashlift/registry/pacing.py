"""How often registries and proxies call each other, and how long calls are held open. Pure; seconds.

A call waits for changes (long poll), so that they are told at once. Where many call, each change would wake
all of them: the more callers, the further apart their calls are.
"""

from typing import Final

LONG_POLL_SECONDS: Final = 0.25  # a call is held open for so long at most
MIN_LONG_POLL_SECONDS: Final = 0.05  # and so long at least where nothing is new: no caller must spin
BATCHING_DELAY_SECONDS: Final = 0.02  # changes that come together are told together
UNTHROTTLED_SESSIONS: Final = 2  # proxies that are told every change at once
UNTHROTTLED_PEERS: Final = 3  # registries that are asked again at once
INTERVAL_PER_CALLER_SECONDS: Final = 0.02
MAX_CALL_INTERVAL_SECONDS: Final = 0.25
INITIAL_BACKOFF_SECONDS: Final = 0.1  # after a call that failed
MAX_BACKOFF_SECONDS: Final = 1.0


def call_interval(callers: int, unthrottled: int) -> float:
    """How far apart the calls of one caller are at least while there are many changes."""
    return min(MAX_CALL_INTERVAL_SECONDS, INTERVAL_PER_CALLER_SECONDS * max(0, callers - unthrottled))


def pull_deadline(received_at: float, wait_seconds: float, min_wait_seconds: float) -> float:
    """When a pull is answered at the latest, whose proxy would wait for so long."""
    return received_at + min(LONG_POLL_SECONDS, max(min_wait_seconds, wait_seconds))


def next_backoff(backoff_seconds: float) -> float:
    """The delay after a further failure."""
    return min(2 * backoff_seconds, MAX_BACKOFF_SECONDS)
