"""Whether one side of one direction keeps up: judged by the time for which it was waited for, and no other.

The clock of a side stands while the other side is what holds it up: nobody waits for it then. So a node whose
client reads slowly is not a stalled node. No clock of its own: the waits are told. Times are milliseconds.
"""

import math
from enum import Enum


class Lag(Enum):
    """How a side fell behind."""

    STALLED = "stalled"  # it moved nothing for the stall limit
    SLOW = "slow"  # it moved less than the least mean rate over the span


class ProgressMonitor:
    """One side's record. `stall` and `span` are ms, `least_rate` bytes a second (0: none is asked for)."""

    __slots__ = ("_bytes_moved", "_idle_ms", "_least_rate", "_rate_span_ms", "_stall_ms", "_waited_ms")

    def __init__(self, stall_ms: float, least_rate: float = 0.0, rate_span_ms: float = 10_000.0) -> None:
        self._stall_ms, self._least_rate, self._rate_span_ms = stall_ms, least_rate, rate_span_ms
        self._idle_ms = self._waited_ms = 0.0
        self._bytes_moved = 0

    def max_wait_ms(self) -> float:
        """For how many ms the side may be waited for until it must be judged; never below 1."""
        spare = self._rate_span_ms - self._waited_ms if self._least_rate > 0 else math.inf
        return max(1.0, min(self._stall_ms - self._idle_ms, spare))

    def record_bytes(self, size: int) -> None:
        """It has moved so many bytes."""
        if size > 0:
            self._idle_ms = 0.0
            self._bytes_moved += size

    def record_wait(self, ms: float) -> Lag | None:
        """It was waited for; what it moved meanwhile is told before. How it fell behind, if it did."""
        self._idle_ms += ms
        self._waited_ms += ms
        if self._idle_ms >= self._stall_ms:
            return Lag.STALLED
        if self._least_rate > 0 and self._waited_ms >= self._rate_span_ms:
            short = self._bytes_moved < self._least_rate * self._waited_ms / 1000
            self._waited_ms, self._bytes_moved = 0.0, 0
            return Lag.SLOW if short else None
        return None
