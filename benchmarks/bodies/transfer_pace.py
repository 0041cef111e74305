"""Rate limiting of transfers: bytes are moved in small steps, twenty per second."""

import time
from typing import Final

MAX_STEP_BYTES: Final = 256 << 10
MIN_STEP_BYTES: Final = 512
STEPS_PER_SECOND: Final = 20
PAYLOAD: Final = memoryview(bytes(range(256)) * (MAX_STEP_BYTES // 256))


class TransferPace:
    """Limits the rate of one transfer, which starts at construction; a rate of 0 is unlimited."""

    def __init__(self, bytes_per_second: float) -> None:
        self.moved_bytes = 0
        self._bytes_per_second = bytes_per_second
        self._started_at = time.monotonic()

    def step_bytes(self, remaining_bytes: int) -> int:
        """The number of bytes to move next."""
        if self._bytes_per_second <= 0:
            return min(remaining_bytes, MAX_STEP_BYTES)
        paced_bytes = max(MIN_STEP_BYTES, int(self._bytes_per_second / STEPS_PER_SECOND))
        return min(remaining_bytes, MAX_STEP_BYTES, paced_bytes)

    def seconds_until_next(self, moved_bytes: int) -> float:
        """Count moved bytes and return the seconds to wait before the next step."""
        self.moved_bytes += moved_bytes
        if self._bytes_per_second <= 0:
            return 0.0
        due_at = self._started_at + self.moved_bytes / self._bytes_per_second
        return max(0.0, due_at - time.monotonic())
