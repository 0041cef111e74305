"""Whether the process was paused, so that what it finds in the kernel's buffers may be old. Pure."""

from typing import Final

CHECK_INTERVAL_SECONDS: Final = 0.1  # between two checks
PAUSE_THRESHOLD_SECONDS: Final = 0.3  # without a check for so long, the process was paused
PAUSE_RECOVERY_SECONDS: Final = 0.3  # after a stall, in which what waited meanwhile is accepted


class PauseDetector:
    """Remembers the last pause of the process."""

    def __init__(self, now: float) -> None:
        self._last_check_at = now
        self._paused_since = -PAUSE_RECOVERY_SECONDS
        self._resumed_at = -PAUSE_RECOVERY_SECONDS

    def check(self, now: float) -> None:
        """To be called every `CHECK_INTERVAL_SECONDS`."""
        if now - self._last_check_at > PAUSE_THRESHOLD_SECONDS:
            self._paused_since = self._last_check_at
            self._resumed_at = now
        self._last_check_at = now

    def earliest_send_time(self, now: float) -> float:
        """Since when a connection that is accepted now may have waited for it."""
        self.check(now)
        has_recovered = now - self._resumed_at >= PAUSE_RECOVERY_SECONDS
        return now if has_recovered else self._paused_since
