"""Limits the large requests that are in progress at once. No I/O.

Their decoded values take many times their encoded size, so a request beyond the limit is refused before it is
decoded. It has had no effect then, and its caller may retry it.
"""

from collections.abc import Collection
from typing import Final

from ashlift.rpc.framing import MAX_FRAME_BYTES
from ashlift.rpc.messages import decode_request_header

MIN_LIMITED_BYTES: Final = 64 << 10


class LimitSlot:
    """The bytes in progress of one request."""

    def __init__(self, limit: "ConcurrencyLimit", size: int) -> None:
        self._limit = limit
        self._size = size
        limit.bytes_in_progress += size

    def release(self) -> None:
        """The request has ended."""
        self._limit.bytes_in_progress -= self._size
        self._size = 0


class ConcurrencyLimit:
    """Limits the requests of some methods by their encoded size, if that is `MIN_LIMITED_BYTES` or more."""

    def __init__(self, methods: Collection[str] = (), max_bytes: int = MAX_FRAME_BYTES) -> None:
        self.bytes_in_progress = 0
        self._methods = methods
        self._max_bytes = max_bytes

    def try_start(self, payload: bytes) -> LimitSlot | None:
        """A slot for the request with this payload, or None if it is to be refused.

        A request that runs alone may have any size. Raises ValueError if the payload is malformed.
        """
        size = len(payload)
        if not self._methods or size < MIN_LIMITED_BYTES:
            return LimitSlot(self, 0)
        if decode_request_header(payload).method not in self._methods:
            return LimitSlot(self, 0)
        if self.bytes_in_progress and self.bytes_in_progress + size > self._max_bytes:
            return None
        return LimitSlot(self, size)
