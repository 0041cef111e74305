"""The memory of requests that are received in parts. No I/O.

A request of up to `UNCOUNTED_REQUEST_BYTES` is not counted: a program allows for as much for each connection.
Larger requests are counted, medium and large ones separately, so that large ones which wait for memory leave
room for all others.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from ashlift.memory.pool import MemoryPool, MemoryShare

UNCOUNTED_REQUEST_BYTES: Final = 4096
MAX_MEDIUM_BYTES: Final = 1 << 20
MAX_MEDIUM_CHUNKED_BYTES: Final = 64 << 10  # of a request whose size is not known in advance
RECEIVE_BYTES: Final = 64 << 10  # of a counted request, at once
RECEIVE_CHUNKED_BYTES: Final = 16 << 10  # less, since small chunks take long to parse


class RequestPools(NamedTuple):
    """The memory of a program for requests, by their size."""

    medium: MemoryPool
    large: MemoryPool


class RequestTooLargeError(Exception):
    """The request is larger than all the memory for requests."""


class MemoryClass(NamedTuple):
    """Which pool a request belongs to, and the most that it may need there, in bytes."""

    is_medium: bool
    max_bytes: int


class RequestSize(NamedTuple):
    """The size of a request that is being received, in bytes.

    `total_bytes`: None while it is not known, in the head and for a chunked body. `limit_bytes`: the maximum
    size of any request.
    """

    received_bytes: int
    total_bytes: int | None
    limit_bytes: int

    def next_bytes(self) -> int:
        """How much of the request to receive in total before memory is reserved again.

        It is doubled at most, so that a request that arrives slowly holds little more than it has sent.
        """
        received_bytes = self.received_bytes
        if self.total_bytes is not None:
            return min(received_bytes + min(received_bytes, RECEIVE_BYTES), self.total_bytes)
        next_bytes = received_bytes + min(received_bytes, RECEIVE_CHUNKED_BYTES)
        if received_bytes < MAX_MEDIUM_CHUNKED_BYTES:
            return min(next_bytes, MAX_MEDIUM_CHUNKED_BYTES)
        return next_bytes

    def memory_class(self, wanted_bytes: int) -> MemoryClass:
        """The class of the request when it holds `wanted_bytes`."""
        if self.total_bytes is not None:
            return MemoryClass(self.total_bytes <= MAX_MEDIUM_BYTES, self.total_bytes)
        if wanted_bytes <= MAX_MEDIUM_CHUNKED_BYTES:
            return MemoryClass(True, MAX_MEDIUM_CHUNKED_BYTES)
        return MemoryClass(False, self.limit_bytes)


class RequestMemory:
    """The memory of the request that one connection receives or processes; one at a time.

    `_share` is what the request holds, `_wanted_share` what it needs next: the same one, or one of another
    size that replaces it.
    """

    def __init__(self, pools: RequestPools) -> None:
        self._pools = pools
        self._pool = self._wanted_pool = pools.medium
        self._share: MemoryShare | None = None
        self._wanted_share: MemoryShare | None = None
        self._wanted_bytes = 0

    def try_reserve(self, size: RequestSize) -> int:
        """How many bytes of the request may be received next; 0: none until other messages are released.

        Raises RequestTooLargeError for a request that the memory could never hold.
        """
        received_bytes = size.received_bytes
        if received_bytes < UNCOUNTED_REQUEST_BYTES:
            return UNCOUNTED_REQUEST_BYTES - received_bytes
        wanted_bytes = size.next_bytes()
        share = self._share_for(size, wanted_bytes)
        wanted_bytes = min(wanted_bytes, share.max_bytes)
        if wanted_bytes <= received_bytes:
            raise RequestTooLargeError
        self._wanted_bytes = wanted_bytes
        if not self._wanted_pool.try_grow(share, wanted_bytes):
            return 0
        if share is not self._share:
            self._release_share()
            self._pool = self._wanted_pool
            self._share = share
        return wanted_bytes - received_bytes

    def start_waiting(self, wake: Callable[[], object]) -> None:
        """Call `wake` whenever the last `try_reserve` may succeed when it is repeated."""
        assert self._wanted_share is not None
        self._wanted_pool.start_waiting(self._wanted_share, self._wanted_bytes, wake)

    def stop_waiting(self) -> None:
        """End the wait."""
        assert self._wanted_share is not None
        self._wanted_pool.stop_waiting(self._wanted_share)

    def held_bytes(self, pool: MemoryPool) -> int:
        """What the request holds of a pool."""
        return self._share.held_bytes if self._share is not None and self._pool is pool else 0

    def request_complete(self, received_bytes: int) -> None:
        """The request has been received completely."""
        if self._share is not None:
            self._pool.complete(self._share, received_bytes)

    def release(self) -> None:
        """The request is no longer held."""
        self._wanted_share = None
        self._release_share()

    def _release_share(self) -> None:
        if self._share is not None:
            self._pool.release(self._share)
            self._share = None

    def _share_for(self, size: RequestSize, wanted_bytes: int) -> MemoryShare:
        """The share that is to hold the request: the present one, or one for requests of its size."""
        wanted = size.memory_class(wanted_bytes)
        pool = self._pools.medium if wanted.is_medium else self._pools.large
        share = self._wanted_share
        if share is None or pool is not self._wanted_pool or share.max_bytes < pool.fitting(wanted.max_bytes):
            self._wanted_pool = pool
            share = self._wanted_share = pool.open(wanted.max_bytes)
        return share
