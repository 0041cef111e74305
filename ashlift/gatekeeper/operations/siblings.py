"""Processes of one gatekeeper that run side by side during an upgrade, as their marks in `$TMPDIR` tell.

Each process that inherits its listening socket keeps a mark, `ashlift-NAME.PID.alive`, and touches it
every POLL_S; a mark that has not been touched for ALIVE_S is of a process that is gone, however it ended.
The module is told how many there are (`ProcessCountChanged`) whenever that changes, and splits its shares of
ceilings between them.
"""

import contextlib
import os
import time
from collections.abc import Callable, Iterable
from pathlib import Path

import gevent

POLL_S = 0.2
ALIVE_S = 1.0  # five touches missed


def alive(touched: Iterable[float], now: float) -> int:
    """How many marks, touched at these Unix times in seconds, are of processes that run: one at least."""
    return max(1, sum(1 for at in touched if now - at < ALIVE_S))


class Marks:
    """This process's mark among those of its gatekeeper in `folder`."""

    def __init__(self, folder: Path, name: str) -> None:
        self._folder, self._prefix = folder, f"ashlift-{name}."
        self.path = folder / f"{self._prefix}{os.getpid()}.alive"

    def touch(self) -> None:
        """Raises OSError where the folder cannot be written."""
        self.path.touch()

    def count(self) -> int:
        """Processes of this gatekeeper that run now, this one included."""
        touched = []
        with contextlib.suppress(OSError):
            for entry in os.scandir(self._folder):
                if entry.name.startswith(self._prefix) and entry.name.endswith(".alive"):
                    with contextlib.suppress(OSError):  # one that ends meanwhile
                        touched.append(entry.stat().st_mtime)
        return alive(touched, time.time())

    def remove(self) -> None:
        with contextlib.suppress(OSError):
            self.path.unlink()

    def run(self, tell: Callable[[int], None]) -> None:
        """Touch, look and tell a change, for ever. A folder that cannot be written is told as one process."""
        told = 0
        while True:
            try:
                self.touch()
                parts = self.count()
            except OSError:
                parts = 1
            if parts != told:
                tell(parts)
                told = parts
            gevent.sleep(POLL_S)
