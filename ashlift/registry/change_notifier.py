"""Wakes the greenlets of long polls when something changes."""

import time
from collections.abc import Callable

from gevent.event import Event


class ChangeNotifier:
    """`is_shutting_down`: waits return immediately."""

    def __init__(self, change_count: Callable[[], int]) -> None:
        """`change_count`: returns a number that increases with every change."""
        self._change_count = change_count
        self._notified_count = change_count()
        self._event = Event()
        self.is_shutting_down = False

    def notify_if_changed(self) -> None:
        """Wake all waiting greenlets if there was a change since the last notification."""
        if self._notified_count != self._change_count() or self.is_shutting_down:
            self._notified_count = self._change_count()
            event, self._event = self._event, Event()
            event.set()

    def shut_down(self) -> None:
        """Wake all waiting greenlets, and make every later wait return immediately."""
        self.is_shutting_down = True
        self.notify_if_changed()

    def wait_for_change(self, deadline: float) -> bool:
        """Wait for a change; returns False at the deadline (monotonic time) or at shutdown."""
        timeout = deadline - time.monotonic()
        if self.is_shutting_down or timeout <= 0:
            return False
        return bool(self._event.wait(timeout)) and not self.is_shutting_down
