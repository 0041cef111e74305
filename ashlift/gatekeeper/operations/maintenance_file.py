"""The file in the temporary folder by which processes of a gatekeeper share the nodes in maintenance.

A restarted process reads it at start. During an upgrade two processes run side by side: each writes the file
after every change and polls it for changes by the other. Writes are atomic (a new file, then a rename). A
file that cannot be read or decoded is logged and ignored.
"""

import logging
import os
from collections.abc import Callable
from pathlib import Path

import gevent

from ashlift.gatekeeper import logs
from ashlift.gatekeeper.operations.maintenance import MaintenanceFileError, decode, encode

log = logging.getLogger("ashlift.operations")
POLL_S = 0.2


class MaintenanceFile:
    """Reads and writes the file at `path` for the gatekeeper `name`."""

    def __init__(self, path: Path, name: str) -> None:
        self.path, self._name = path, name
        self._known_version: tuple[int, int, int] | None = None  # that this process last read or wrote

    def load(self) -> dict[str, float]:
        """The nodes in maintenance; none if the file is missing, unreadable or of another gatekeeper."""
        try:
            with open(self.path, "rb") as file:
                self._known_version = _version(os.fstat(file.fileno()))
                data = file.read(1 << 20)
        except FileNotFoundError:
            return {}
        except OSError as error:
            logs.log_event(log, logging.WARNING, "handouts.unread", path=str(self.path), what=str(error))
            return {}
        try:
            return decode(data, self._name)
        except MaintenanceFileError as error:
            logs.log_event(log, logging.WARNING, "handouts.ignored", path=str(self.path), what=str(error))
            return {}

    def save(self, nodes: dict[str, float], now: float) -> None:
        """Writes the file synchronously: it is small and the folder is in memory. Errors are only logged."""
        temporary = self.path.with_name(f"{self.path.name}.{os.getpid()}.new")
        try:
            with open(temporary, "wb") as file:
                file.write(encode(self._name, nodes, now))
                file.flush()  # before fstat: otherwise the next poll takes this write for another process's
                self._known_version = _version(os.fstat(file.fileno()))
            os.replace(temporary, self.path)
        except OSError as error:
            logs.log_event(log, logging.ERROR, "handouts.unwritten", path=str(self.path), what=str(error))

    def load_if_changed(self) -> dict[str, float] | None:
        """The nodes in maintenance if another process has written the file; otherwise None."""
        try:
            version = _version(os.stat(self.path))
        except OSError:
            return None
        if version == self._known_version:
            return None
        return self.load()

    def run(self, notify: Callable[[dict[str, float]], None]) -> None:
        """Polls the file forever; passes what other processes write to `notify`."""
        while True:
            gevent.sleep(POLL_S)
            changed = self.load_if_changed()
            if changed is not None:
                notify(changed)


def _version(stat: os.stat_result) -> tuple[int, int, int]:
    return stat.st_ino, stat.st_size, stat.st_mtime_ns
