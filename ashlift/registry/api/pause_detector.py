"""Detects pauses of the process, during which connections wait in kernel buffers. Does no I/O."""

from typing import Final

CHECK_INTERVAL_SECONDS: Final = 0.1  # between checks
PAUSE_THRESHOLD_SECONDS: Final = 0.3  # a longer time between checks means that the process was paused
PAUSE_RECOVERY_SECONDS: Final = 0.3  # after a pause, in which the waiting connections are accepted


class PauseDetector:
    """Remembers the last pause of the process."""

    def __init__(self, now: float) -> None:
        self._last_check_at = now
        self._paused_since = -PAUSE_RECOVERY_SECONDS
        self._resumed_at = -PAUSE_RECOVERY_SECONDS

    def check(self, now: float) -> None:
        """Must be called every `CHECK_INTERVAL_SECONDS`."""
        if now - self._last_check_at > PAUSE_THRESHOLD_SECONDS:
            self._paused_since = self._last_check_at
            self._resumed_at = now
        self._last_check_at = now

    def earliest_send_time(self, now: float) -> float:
        """Earliest time at which data on a connection accepted now can have been sent."""
        self.check(now)
        has_recovered = now - self._resumed_at >= PAUSE_RECOVERY_SECONDS
        return now if has_recovered else self._paused_since
