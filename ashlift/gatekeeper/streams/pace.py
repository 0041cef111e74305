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


class Pace:
    """One side's record. `stall` and `span` are ms, `least_rate` bytes a second (0: none is asked for)."""

    __slots__ = ("_idle", "_moved", "_rate", "_span", "_stall", "_waited")

    def __init__(self, stall: float, least_rate: float = 0.0, span: float = 10_000.0) -> None:
        self._stall, self._rate, self._span = stall, least_rate, span
        self._idle = self._waited = 0.0
        self._moved = 0

    def allowance(self) -> float:
        """For how many ms the side may be waited for until it must be judged; never below 1."""
        spare = self._span - self._waited if self._rate > 0 else math.inf
        return max(1.0, min(self._stall - self._idle, spare))

    def moved(self, size: int) -> None:
        """It has moved so many bytes."""
        if size > 0:
            self._idle = 0.0
            self._moved += size

    def waited(self, ms: float) -> Lag | None:
        """It was waited for; what it moved meanwhile is told before. How it fell behind, if it did."""
        self._idle += ms
        self._waited += ms
        if self._idle >= self._stall:
            return Lag.STALLED
        if self._rate > 0 and self._waited >= self._span:
            short = self._moved < self._rate * self._waited / 1000
            self._waited, self._moved = 0.0, 0
            return Lag.SLOW if short else None
        return None
