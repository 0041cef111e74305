"""The deadline of a transfer that only goes on while its peer keeps a minimum rate. No I/O.

A time-out that any byte renews does not end a peer that sends or reads a byte at a time.
"""

from typing import Final

MIN_BYTES_PER_SECOND: Final = 8 << 10
GRACE_SECONDS: Final = 20.0


class TransferDeadline:
    """`started_at`: monotonic time, in seconds."""

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at

    def at(self, transferred_bytes: int) -> float:
        """Monotonic time by which more than `transferred_bytes` must have been transferred."""
        return self._started_at + GRACE_SECONDS + transferred_bytes / MIN_BYTES_PER_SECOND
