"""Intervals between the calls of registries and proxies."""

from ward import test

from ashlift.registry.pacing import (
    BATCHING_DELAY_SECONDS,
    LONG_POLL_SECONDS,
    UNTHROTTLED_PEERS,
    UNTHROTTLED_SESSIONS,
    call_interval,
)

MAX_CALLS_PER_SECOND = 150


@test("few callers call without extra delay, and the call rate of many callers is bounded")
def _() -> None:
    assert call_interval(2, UNTHROTTLED_SESSIONS) <= BATCHING_DELAY_SECONDS
    assert call_interval(4, UNTHROTTLED_PEERS) <= BATCHING_DELAY_SECONDS
    for callers in range(1, 15):
        interval = max(BATCHING_DELAY_SECONDS, call_interval(callers, UNTHROTTLED_SESSIONS))
        assert callers <= MAX_CALLS_PER_SECOND * interval
    assert call_interval(400, UNTHROTTLED_SESSIONS) <= LONG_POLL_SECONDS
