"""Limits the open connections of a listener, so that callers which hold them cannot lock out others.

At the limit, a new connection takes the place of the one that has made no progress for longest: an idle one,
one whose request is still incomplete, or one whose peer does not read its response. Connections whose request
is being processed are kept.
"""

from typing import Final, Protocol

from gevent import socket
from gevent.pool import Pool

RESERVED_DESCRIPTORS: Final = 200  # of `FileDescriptors`: for files outside the data directory
CONNECTION_BYTES: Final = 42_000  # objects, the first bytes of a request, and a full receive buffer
MAX_CONNECTIONS_FRACTION: Final = 0.3  # of the memory
BYTES_PER_MB: Final = 1_000_000
MIN_CONNECTIONS: Final = 16
MAX_UNADMITTED: Final = 32  # accepted connections of a listener whose greenlets have not started or ended yet


class Evictable(Protocol):
    """A connection that can be closed to make room for another."""

    def evict(self) -> None:
        """Close it; a request that was received in part has not run."""


class ClosableSocket:
    """A connection of which nothing but the socket is known."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    def evict(self) -> None:
        """Close it."""
        self._sock.close()


class ConnectionLimit:
    """The open connections of one listener, `max_connections` at most. `evictions`: how many were closed."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.evictions = 0
        self._open: set[Evictable] = set()
        self._evictable: dict[Evictable, None] = {}  # the one without progress for longest comes first

    def new_pool(self) -> Pool:
        """The greenlets of a listener; while it is full, none is accepted that could not be admitted yet."""
        return Pool(self.max_connections + MAX_UNADMITTED)

    def admit(self, connection: Evictable) -> bool:
        """Add a new connection, in place of another one at the limit; False if all others are busy."""
        if len(self._open) >= self.max_connections and not self._evict_one():
            return False
        self._open.add(connection)
        self._evictable[connection] = None
        return True

    def set_busy(self, connection: Evictable) -> None:
        """The request of the connection is being processed."""
        self._evictable.pop(connection, None)

    def set_waiting(self, connection: Evictable) -> None:
        """The connection has made progress, and waits for its peer again."""
        if connection in self._open:
            self._evictable.pop(connection, None)
            self._evictable[connection] = None

    def remove(self, connection: Evictable) -> None:
        """The connection is closed."""
        self._open.discard(connection)
        self._evictable.pop(connection, None)

    def _evict_one(self) -> bool:
        victim = next(iter(self._evictable), None)
        if victim is None:
            return False
        self.remove(victim)
        self.evictions += 1
        victim.evict()
        return True


def usable_descriptors(file_descriptors: int) -> int:
    """How many descriptors sockets and data files may take together."""
    return max(MIN_CONNECTIONS, file_descriptors - RESERVED_DESCRIPTORS)


def affordable_connections(file_descriptors: int, memory_mb: float) -> int:
    """How many connections a process can have open, by its descriptors and its memory."""
    by_memory = int(MAX_CONNECTIONS_FRACTION * memory_mb * BYTES_PER_MB / CONNECTION_BYTES)
    return max(MIN_CONNECTIONS, min(usable_descriptors(file_descriptors), by_memory))
