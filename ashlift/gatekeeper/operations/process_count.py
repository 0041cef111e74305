"""Counts the processes that run as the same gatekeeper, more than one during an upgrade.

Each process that inherits its listening socket touches a liveness file, `ashlift-NAME.PID.alive` in the
temporary folder, every POLL_S; a file older than LIVENESS_TIMEOUT_S belongs to a process that has ended or
crashed. The gateway gets the count (`ProcessCountChanged`) and divides its shares of the ceilings by it.
"""

import contextlib
import os
import time
from collections.abc import Callable, Iterable
from pathlib import Path

import gevent

POLL_S = 0.2
LIVENESS_TIMEOUT_S = 1.0  # five missed touches


def count_alive(touched: Iterable[float], now: float) -> int:
    """How many files with these modification times (Unix s) are of live processes; 1 at least."""
    return max(1, sum(1 for at in touched if now - at < LIVENESS_TIMEOUT_S))


class LivenessFiles:
    """This process's liveness file and those of the other processes of its gatekeeper in `folder`."""

    def __init__(self, folder: Path, name: str) -> None:
        self._folder, self._prefix = folder, f"ashlift-{name}."
        self.path = folder / f"{self._prefix}{os.getpid()}.alive"

    def touch(self) -> None:
        """Raises OSError if the folder is not writable."""
        self.path.touch()

    def count(self) -> int:
        """Number of live processes of this gatekeeper, including this one."""
        touched = []
        with contextlib.suppress(OSError):
            for entry in os.scandir(self._folder):
                if entry.name.startswith(self._prefix) and entry.name.endswith(".alive"):
                    with contextlib.suppress(OSError):  # removed since the scan
                        touched.append(entry.stat().st_mtime)
        return count_alive(touched, time.time())

    def remove(self) -> None:
        with contextlib.suppress(OSError):
            self.path.unlink()

    def run(self, notify: Callable[[int], None]) -> None:
        """Touches the file and reports changes of the count, forever; 1 if the folder is not writable."""
        reported = 0
        while True:
            try:
                self.touch()
                count = self.count()
            except OSError:
                count = 1
            if count != reported:
                notify(count)
                reported = count
            gevent.sleep(POLL_S)
