"""Intervals and long-poll times of the calls between registries and proxies. Does no I/O; times in seconds.

A call waits for changes (long poll), so that they arrive without delay. Every change ends all waiting calls,
so the interval between the calls of one caller grows with the number of callers.
"""

from typing import Final

LONG_POLL_SECONDS: Final = 0.25  # maximum
MIN_LONG_POLL_SECONDS: Final = 0.05  # minimum without a change, so that callers do not busy-loop
BATCHING_DELAY_SECONDS: Final = 0.02  # changes within this time are sent together
UNTHROTTLED_SESSIONS: Final = 2  # up to this number, proxies receive every change without delay
UNTHROTTLED_PEERS: Final = 3  # up to this number, peers are called again without delay
INTERVAL_PER_CALLER_SECONDS: Final = 0.02
MAX_CALL_INTERVAL_SECONDS: Final = 0.25
INITIAL_BACKOFF_SECONDS: Final = 0.1  # after a call that failed
MAX_BACKOFF_SECONDS: Final = 1.0

# How long the acknowledgement of a leaving worker may wait: two long polls of the peers with an interval
# between them, and network latency. The worker's call times out after 1 s.
LEAVE_CONFIRMATION_SECONDS: Final = 0.8
LEAVE_CONFIRMATION_POLL_SECONDS: Final = 0.02


def call_interval(callers: int, unthrottled: int) -> float:
    """Minimum interval between the calls of one caller."""
    return min(MAX_CALL_INTERVAL_SECONDS, INTERVAL_PER_CALLER_SECONDS * max(0, callers - unthrottled))


def pull_deadline(received_at: float, wait_seconds: float, min_wait_seconds: float) -> float:
    """Latest response time of a pull whose proxy asked to wait for `wait_seconds`."""
    return received_at + min(LONG_POLL_SECONDS, max(min_wait_seconds, wait_seconds))


def next_backoff(backoff_seconds: float) -> float:
    """The backoff after another failure."""
    return min(2 * backoff_seconds, MAX_BACKOFF_SECONDS)
