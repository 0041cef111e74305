"""The file in `$TMPDIR` through which nodes out by hand pass to the process that follows, and back.

Two processes that run side by side during an upgrade share the folder: each writes what is out after every
change, and each looks for the other's writes every POLL_S. A write is atomic (a new file, then a rename), so
a reader sees the old file or the new one. What cannot be read is told in the log and ignored: a process
starts with nothing out then.
"""

import logging
import os
from collections.abc import Callable
from pathlib import Path

import gevent

from ashlift.gatekeeper import logs
from ashlift.gatekeeper.operations.handouts import StateError, decode, encode

log = logging.getLogger("ashlift.operations")
POLL_S = 0.2  # between looks at the file: the other process's changes hold here within so long


class HandStore:
    """Reads and writes the file at `path` for the gatekeeper `name`."""

    def __init__(self, path: Path, name: str) -> None:
        self.path, self._name = path, name
        self._seen: tuple[int, int, int] | None = None  # inode, size, time of the file last read or written

    def load(self) -> dict[str, float]:
        """What the file holds; nothing where it is missing, spoilt, of another format or gatekeeper."""
        try:
            with open(self.path, "rb") as file:
                self._seen = _mark(os.fstat(file.fileno()))
                data = file.read(1 << 20)
        except FileNotFoundError:
            return {}
        except OSError as error:
            logs.tell(log, logging.WARNING, "handouts.unread", path=str(self.path), what=str(error))
            return {}
        try:
            return decode(data, self._name)
        except StateError as error:
            logs.tell(log, logging.WARNING, "handouts.ignored", path=str(self.path), what=str(error))
            return {}

    def save(self, out: dict[str, float], now: float) -> None:
        """Write at once: a small file in a folder that is memory. A fault is told, not raised."""
        spare = self.path.with_name(f"{self.path.name}.{os.getpid()}.new")
        try:
            with open(spare, "wb") as file:
                file.write(encode(self._name, out, now))
                file.flush()  # else the mark is of an empty file, and the next look takes this write for news
                self._seen = _mark(os.fstat(file.fileno()))
            os.replace(spare, self.path)
        except OSError as error:
            logs.tell(log, logging.ERROR, "handouts.unwritten", path=str(self.path), what=str(error))

    def news(self) -> dict[str, float] | None:
        """What another process wrote since this one last read or wrote, if anything."""
        try:
            mark = _mark(os.stat(self.path))
        except OSError:
            return None
        if mark == self._seen:
            return None
        return self.load()

    def run(self, tell: Callable[[dict[str, float]], None]) -> None:
        """Look for news for ever; `tell` what there is."""
        while True:
            gevent.sleep(POLL_S)
            news = self.news()
            if news is not None:
                tell(news)


def _mark(stat: os.stat_result) -> tuple[int, int, int]:
    return stat.st_ino, stat.st_size, stat.st_mtime_ns
