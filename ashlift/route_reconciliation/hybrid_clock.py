"""A hybrid logical clock: timestamps that stay near wall-clock time and never go back when that is set.

No I/O: callers pass the wall-clock time and the monotonic time, both in seconds.
"""

from typing import Final, NamedTuple

MAX_DRIFT_MS: Final = 500  # of the wall clock relative to the monotonic clock since the process started
MAX_AHEAD_MS: Final = 10_000  # timestamps of other nodes that are further ahead do not advance this clock
MS_PER_SECOND: Final = 1000


class HybridTimestamp(NamedTuple):
    """Compares as a tuple: wall-clock time in ms, a counter within that ms, the node as tie-breaker."""

    wall_ms: int
    counter: int
    node: str


ZERO_TIMESTAMP: Final = HybridTimestamp(0, 0, "")


def advance_past(timestamp: HybridTimestamp, other: HybridTimestamp) -> HybridTimestamp:
    """Return `timestamp` if it is later than `other`, else the first later timestamp of its node."""
    if timestamp > other:
        return timestamp
    return HybridTimestamp(other.wall_ms, other.counter + 1, timestamp.node)


class HybridLogicalClock:
    """The clock of one process.

    Timestamps follow the wall clock within MAX_DRIFT_MS of its reading at the start plus the monotonic time
    since then, which bounds the effect of a jump of the wall clock.
    """

    def __init__(self, node: str, wall_time: float, monotonic_time: float) -> None:
        self.node = node
        self._start_wall_time = wall_time
        self._start_monotonic_time = monotonic_time
        self._last = ZERO_TIMESTAMP

    def observe(self, timestamp: HybridTimestamp, wall_time: float, monotonic_time: float) -> None:
        """Advance the clock past another node's timestamp, unless that is more than MAX_AHEAD_MS ahead."""
        if timestamp.wall_ms <= self._read_ms(wall_time, monotonic_time) + MAX_AHEAD_MS:
            self._last = max(self._last, timestamp)

    def next_timestamp(
        self, previous: HybridTimestamp, wall_time: float, monotonic_time: float
    ) -> HybridTimestamp:
        """Return a timestamp later than `previous`, that of the edit to be replaced.

        It is later than this clock's earlier timestamps too, except those that were moved past a `previous`
        far ahead: these do not advance the clock.
        """
        now = HybridTimestamp(self._read_ms(wall_time, monotonic_time), 0, self.node)
        self._last = advance_past(now, self._last)
        return advance_past(self._last, previous)

    def _read_ms(self, wall_time: float, monotonic_time: float) -> int:
        expected_ms = (self._start_wall_time + monotonic_time - self._start_monotonic_time) * MS_PER_SECOND
        wall_ms = wall_time * MS_PER_SECOND
        return int(min(expected_ms + MAX_DRIFT_MS, max(expected_ms - MAX_DRIFT_MS, wall_ms)))
