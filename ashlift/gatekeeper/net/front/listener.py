"""Accepts client connections up to a limit, and closes idle ones to make room."""

import contextlib
import errno
from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
from gevent import socket
from gevent.event import Event

from ashlift.gatekeeper.config import RequestSchema
from ashlift.gatekeeper.jobs import Clock, Inbox
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.net.front.connection import Connection

if TYPE_CHECKING:
    from ashlift.gatekeeper.streams.stream import StreamRegistry

RETRY_INTERVAL_S = 0.02  # between attempts to find an idle connection while the limit is reached
BACKLOG = 1024


def adopt_listener(descriptor: int) -> socket.socket:
    """Return the listening socket of an inherited descriptor; OSError if it is not an IPv4 TCP listener."""
    sock = socket.socket(fileno=descriptor)
    try:
        kind = sock.getsockopt(socket.SOL_SOCKET, socket.SO_TYPE)
        listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        if sock.family != socket.AF_INET or kind != socket.SOCK_STREAM or not listening:
            raise OSError(errno.ENOTSOCK, f"descriptor {descriptor} is no listening TCP socket of IPv4")
    except OSError:
        sock.detach()  # leave the descriptor open
        raise
    return sock


class Front:
    """Accepts client connections and owns them. `stream_registry` is None if streaming is disabled."""

    def __init__(
        self,
        names: RequestSchema,
        max_connections: int,
        max_idle: int,
        ready: Callable[[], bool],
        clock: Clock,
        inbox: Inbox,
        metrics: Metrics,
        stream_registry: "StreamRegistry | None" = None,
    ) -> None:
        self.names, self.ready, self.clock, self.inbox, self.metrics = names, ready, clock, inbox, metrics
        self.closing = False
        self.trace_ids: set[bytes] = set()  # of open jobs
        self.idle: dict[Connection, None] = {}  # without a request, the longest idle first
        self._max_connections, self._max_idle = max_connections, max_idle
        self._slot_freed = Event()
        self._connections: set[Connection] = set()
        self._create_connection: Callable[[socket.socket], Connection] = lambda sock: Connection(self, sock)
        if stream_registry is not None:  # loaded only if streaming is enabled
            from ashlift.gatekeeper.net.front.streaming import StreamConnection

            registry = stream_registry
            self._create_connection = lambda sock: StreamConnection(self, sock, registry)

    @property
    def open_count(self) -> int:
        return len(self._connections)

    def listen(self, address: tuple[str, int], inherited: int | None = None) -> socket.socket:
        """Bind and listen, or use the listening socket `inherited`, which a successor process may share.

        Raises OSError if `inherited` is not a listening TCP socket.
        """
        if inherited is not None:
            return adopt_listener(inherited)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
        return sock

    def run(self, listener: socket.socket) -> None:
        """Accept connections up to the limit, until the listener is closed."""
        while True:
            if len(self.idle) > self._max_idle:
                # Idle connections must not use up the limit.
                self._evict_idle_connection()
            while self.open_count >= self._max_connections:
                self._evict_idle_connection()
                self._slot_freed.clear()
                self._slot_freed.wait(RETRY_INTERVAL_S)
            try:
                sock, _ = listener.accept()
            except OSError as error:
                if error.errno == errno.EBADF:
                    return  # the listener was closed
                self.metrics.add("clients.accept_failed")
                gevent.sleep(0.01)  # out of file descriptors
                continue
            self._accept(sock)

    def accept_backlog(self, listener: socket.socket) -> None:
        """Serve the connections in the backlog, which closing the listener would reset."""
        listener.settimeout(0.0)
        with contextlib.suppress(OSError):  # there are no more
            while True:
                sock, _ = listener.accept()
                self._accept(sock)

    def _accept(self, sock: socket.socket) -> None:
        self.metrics.add("clients.accepted")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = self._create_connection(sock)
        self._connections.add(connection)
        gevent.spawn(self._serve, connection)

    def _evict_idle_connection(self) -> None:
        """Close the longest idle connection that can be evicted, if any."""
        now = self.clock.now()
        evictable = next((connection for connection in self.idle if connection.can_evict(now)), None)
        if evictable is not None:
            self.metrics.add("clients.put_out")
            evictable.evict()

    def _serve(self, connection: Connection) -> None:
        try:
            connection.read()
        finally:
            self._connections.discard(connection)
            self.idle.pop(connection, None)
            self._slot_freed.set()

    def standby(self, on: bool) -> None:
        """Start or end a drain: connections close after their response, and idle ones at once."""
        self.closing = on
        if on:
            self.close_idle()

    def close(self) -> None:
        """Close idle connections, and the others after their response."""
        self.closing = True
        self.close_idle()

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def abort_streams(self) -> None:
        """End the streams that outlasted the drain, so that their clients see that they are incomplete."""
        for connection in list(self._connections):
            connection.abort_streams()
