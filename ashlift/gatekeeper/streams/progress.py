"""Detects a peer that stalls or is too slow, by the time for which the gatekeeper waited for it.

Time in which the other peer holds up the stream does not count: a node whose client reads slowly is not
stalled. Uses no clock: the caller records how long it waited.
"""

import math
from enum import Enum


class Lag(Enum):
    """How a peer fell behind."""

    STALLED = "stalled"  # no bytes for the stall limit
    SLOW = "slow"  # fewer bytes over the span than the minimum rate requires


class ProgressMonitor:
    """The progress of one peer in one direction. `least_rate`: bytes a second; 0: no minimum."""

    __slots__ = ("_bytes_moved", "_idle_ms", "_least_rate", "_rate_span_ms", "_stall_ms", "_waited_ms")

    def __init__(self, stall_ms: float, least_rate: float = 0.0, rate_span_ms: float = 10_000.0) -> None:
        self._stall_ms, self._least_rate, self._rate_span_ms = stall_ms, least_rate, rate_span_ms
        self._idle_ms = self._waited_ms = 0.0
        self._bytes_moved = 0

    def max_wait_ms(self) -> float:
        """Return how long to wait before the next `record_wait`, at least 1 ms."""
        rate_allowance_ms = self._rate_span_ms - self._waited_ms if self._least_rate > 0 else math.inf
        return max(1.0, min(self._stall_ms - self._idle_ms, rate_allowance_ms))

    def record_bytes(self, size: int) -> None:
        """Record that the peer has sent or received so many bytes."""
        if size > 0:
            self._idle_ms = 0.0
            self._bytes_moved += size

    def record_wait(self, ms: float) -> Lag | None:
        """Record a wait, after the bytes moved during it; returns how the peer fell behind, if it did."""
        self._idle_ms += ms
        self._waited_ms += ms
        if self._idle_ms >= self._stall_ms:
            return Lag.STALLED
        if self._least_rate > 0 and self._waited_ms >= self._rate_span_ms:
            too_slow = self._bytes_moved < self._least_rate * self._waited_ms / 1000
            self._waited_ms, self._bytes_moved = 0.0, 0
            return Lag.SLOW if too_slow else None
        return None
