"""Limits the incomplete frames that a server holds for all its connections. No I/O.

A peer of ours sends a frame without a pause, so the frame that began first is the one that is given up.
"""

from typing import Final

from ashlift.rpc.connection_limit import Evictable
from ashlift.rpc.framing import MAX_FRAME_BYTES

MAX_PARTIAL_BYTES: Final = 2 * MAX_FRAME_BYTES
MIN_COUNTED_BYTES: Final = 64 << 10  # a smaller part is covered by the allowance for a connection


class PartialFrames:
    """The incomplete frames of one server; those of `MIN_COUNTED_BYTES` or more are counted."""

    def __init__(self, max_bytes: int = MAX_PARTIAL_BYTES) -> None:
        self.held_bytes = 0
        self._max_bytes = max_bytes
        self._held: dict[Evictable, int] = {}  # the frame that began first comes first

    def update(self, connection: Evictable, partial_bytes: int) -> None:
        """Set what a connection holds, and evict those whose frames began first if it is too much."""
        if partial_bytes < MIN_COUNTED_BYTES:
            self.remove(connection)
            return
        self.held_bytes += partial_bytes - self._held.get(connection, 0)
        self._held[connection] = partial_bytes
        while self.held_bytes > self._max_bytes:
            oldest = next(iter(self._held))
            self.remove(oldest)
            oldest.evict()

    def remove(self, connection: Evictable) -> None:
        """The connection holds nothing any more."""
        self.held_bytes -= self._held.pop(connection, 0)
