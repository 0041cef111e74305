"""A hybrid logical clock: timestamps near the time of day that never go back, whatever the time of day does.

Pure: callers pass the time of day and the steady time, both in seconds.
"""

from typing import Final, NamedTuple

MAX_DRIFT_MS: Final = 500  # of the time of day from the steady clock, within one run of the process
MAX_AHEAD_MS: Final = 10_000  # a timestamp further ahead of this clock than that does not advance it
MS_PER_SECOND: Final = 1000


class HybridTimestamp(NamedTuple):
    """Ordered as a tuple: the time of day in ms, a counter within the ms, and the node as the tie-break."""

    wall_ms: int
    counter: int
    node: str


NEVER: Final = HybridTimestamp(0, 0, "")


def later_than(timestamp: HybridTimestamp, other: HybridTimestamp) -> HybridTimestamp:
    """`timestamp` if it is later than `other`, else the first one of its node that is."""
    if timestamp > other:
        return timestamp
    return HybridTimestamp(other.wall_ms, other.counter + 1, timestamp.node)


class HybridLogicalClock:
    """The clock of one node, from its start on.

    The time of day is followed at most MAX_DRIFT_MS away from its first reading plus the steady time since
    then: a jump of the time of day moves timestamps by no more.
    """

    def __init__(self, node: str, wall_time: float, steady_time: float) -> None:
        self.node = node
        self._start_wall_time = wall_time
        self._start_steady_time = steady_time
        self._last = NEVER

    def observe(self, timestamp: HybridTimestamp, wall_time: float, steady_time: float) -> None:
        """Take another node's timestamp: later ones of this clock are above it, unless it is far ahead."""
        if timestamp.wall_ms <= self._read_ms(wall_time, steady_time) + MAX_AHEAD_MS:
            self._last = max(self._last, timestamp)

    def next_timestamp(
        self, previous: HybridTimestamp, wall_time: float, steady_time: float
    ) -> HybridTimestamp:
        """A new timestamp, above all of this clock and above `previous`, of the edit that is replaced."""
        now = HybridTimestamp(self._read_ms(wall_time, steady_time), 0, self.node)
        self._last = later_than(now, self._last)
        return later_than(self._last, previous)

    def _read_ms(self, wall_time: float, steady_time: float) -> int:
        expected_ms = (self._start_wall_time + steady_time - self._start_steady_time) * MS_PER_SECOND
        wall_ms = wall_time * MS_PER_SECOND
        return int(min(expected_ms + MAX_DRIFT_MS, max(expected_ms - MAX_DRIFT_MS, wall_ms)))
