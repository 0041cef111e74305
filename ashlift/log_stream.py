"""A text stream on a file descriptor whose writes neither block the process nor fail: for the log.

Whoever reads a program's log may stop reading, go away or have a full disk. What cannot be written is lost,
and counted.
"""

import contextlib
import io
import os
import select
import stat
import sys
from typing import Final

STANDARD_ERROR: Final = 2
STANDARD_DESCRIPTORS: Final = (0, 1, 2)


class LogStream(io.TextIOBase):
    """Writes each text at once, or loses it. `lost_texts`: how many were lost, wholly or in part."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = _new_poll(descriptor)
        self._ends_in_part_of_line = False
        self.lost_texts = 0

    def writable(self) -> bool:
        """Return True, as the interface of streams demands."""
        return True

    def write(self, text: str) -> int:
        """Write the text if that is possible without waiting; returns its length in any case."""
        data = text.encode(errors="backslashreplace")
        if self._ends_in_part_of_line:
            data = b"\n" + data
        remaining = self._write(data)
        if remaining:
            self.lost_texts += 1
        if len(remaining) < len(data):
            self._ends_in_part_of_line = bool(remaining)
        return len(text)

    def _write(self, data: bytes) -> bytes:
        """Write as much as is possible without waiting; returns the rest."""
        try:
            while data and self._has_room():
                data = data[os.write(self._descriptor, data[: select.PIPE_BUF]) :]
        except OSError:
            pass
        return data

    def _has_room(self) -> bool:
        """Whether a write of PIPE_BUF bytes will not block. True after an error, which the write returns."""
        return self._poll is None or bool(self._poll.poll(0))


def _new_poll(descriptor: int) -> "select.poll | None":
    """A poll for room to write; None for a regular file, which always has room or fails."""
    try:
        if stat.S_ISREG(os.fstat(descriptor).st_mode):
            return None
    except OSError:
        return None
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return poll


def open_missing_standard_descriptors() -> None:
    """Open the closed ones of descriptors 0 to 2 on the null device.

    A socket or data file that got one of these numbers would receive what is printed. Where the null device
    cannot be opened, they stay closed.
    """
    for number in STANDARD_DESCRIPTORS:
        try:
            os.fstat(number)
        except OSError:
            with contextlib.suppress(OSError):
                os.open(os.devnull, os.O_RDWR)  # gets the lowest free number, which is this one


def replace_standard_error() -> None:
    """Make `sys.stderr` and `sys.stdout` a LogStream on standard error."""
    sys.stderr = sys.stdout = LogStream(STANDARD_ERROR)


def lost_log_texts() -> int:
    """How many texts could not be written to standard error; 0 if it is no LogStream."""
    return sys.stderr.lost_texts if isinstance(sys.stderr, LogStream) else 0
