"""The settings file of a running program: read at the start, and again when it has changed."""

import time
import zlib
from collections.abc import Callable
from typing import Final

from ashlift.config.settings import Settings, parse_settings
from ashlift.errors import Failure, FailureReason

# A file that is being written when the program starts is complete by then.
START_WAIT_SECONDS: Final = 1.0
START_RETRY_SECONDS: Final = 0.05


class SettingsFile:
    """The file at `path`. Its checksum is that of the text read last, so no change in between is missed."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._checksum: int | None = None

    def read(self) -> Settings | list[Failure]:
        """Return the settings, or all errors of the file."""
        text = self._read_bytes()
        self._checksum = _checksum(text)
        if isinstance(text, Failure):
            return [text]
        try:
            return parse_settings(text.decode(), self._path)
        except ValueError as error:
            return [self._unreadable(error)]

    def read_at_start(self, sleep: Callable[[float], None] = time.sleep) -> Settings | list[Failure]:
        """As `read`, but an invalid file is read again for a while: it may just be written."""
        deadline = time.monotonic() + START_WAIT_SECONDS
        result = self.read()
        while isinstance(result, list) and time.monotonic() < deadline:
            sleep(START_RETRY_SECONDS)
            result = self.read()
        return result

    def has_changed(self) -> bool:
        """Whether the file differs from what was read last."""
        return _checksum(self._read_bytes()) != self._checksum

    def _read_bytes(self) -> bytes | Failure:
        try:
            with open(self._path, "rb") as file:
                return file.read()
        except OSError as error:
            return self._unreadable(error)

    def _unreadable(self, error: Exception) -> Failure:
        return Failure(FailureReason.INVALID, f"{self._path}: cannot be read: {error}")


def _checksum(text: bytes | Failure) -> int | None:
    return zlib.crc32(text) if isinstance(text, bytes) else None
