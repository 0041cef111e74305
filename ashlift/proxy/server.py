"""The proxy's listener for clients. Tracks open connections, and closes idle ones while draining."""

import time
from collections.abc import Callable
from typing import Final

import gevent
from gevent import socket
from gevent.server import StreamServer

from ashlift.config.object_schema import ClientLimits
from ashlift.memory.pool import MemoryPool
from ashlift.proxy.client_connection import ClientConnection
from ashlift.proxy.request_handler import RequestHandler
from ashlift.rpc.addresses import Address
from ashlift.rpc.connection_limit import ConnectionLimit
from ashlift.rpc.sockets import Listener, as_listening_socket, limit_send_buffer, stop_listening

LISTEN_BACKLOG: Final = 1024
SEND_BUFFER_BYTES: Final = 64 << 10  # of the kernel, for each client
STALL_CHECK_SECONDS: Final = 0.25
STALL_SECONDS: Final = 1.0  # without a byte, while others wait for the memory that the request holds
FREED_FRACTION: Final = 0.25  # of a pool, at each check


class ProxyServer:
    """Accepts connections and serves each in a greenlet. `limits`: those of the current configuration.

    `draining`: connections are closed after the next response, unless the client has sent a further request.
    """

    def __init__(self, request_handler: RequestHandler, limits: Callable[[], ClientLimits]) -> None:
        self.request_handler = request_handler
        self.limits = limits
        self.draining = False
        self.connections: set[ClientConnection] = set()
        self._server: StreamServer | None = None
        self.connection_limit = ConnectionLimit(request_handler.memory.max_client_connections)

    def listen(self, listener: Listener) -> None:
        """Start accepting connections. Raises OSError if an address cannot be bound."""
        listening_socket = as_listening_socket(listener, LISTEN_BACKLOG)
        limit_send_buffer(listening_socket, SEND_BUFFER_BYTES)
        self._server = StreamServer(listening_socket, self._serve, spawn=self.connection_limit.new_pool())
        self._server.start()
        gevent.spawn(self._give_up_stalled_requests)

    def stop_accepting(self) -> None:
        """Accept what is in the kernel's backlog, stop listening, and close idle connections."""
        self.draining = True
        if self._server is not None:
            stop_listening(self._server)
        self.close_idle_connections()

    def close_idle_connections(self) -> None:
        """Close the connections on which no request is being received or processed."""
        now = time.monotonic()
        for connection in list(self.connections):
            connection.close_if_idle(now)

    def refuse_partial_requests(self) -> None:
        """Reject the requests that have been received only in part, and close their connections."""
        for connection in list(self.connections):
            connection.refuse_partial_request()

    def _serve(self, sock: socket.socket, _: Address) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        limit = self.connection_limit
        connection = ClientConnection(sock, self.request_handler, self.limits, lambda: self.draining, limit)
        if not limit.admit(connection):
            connection.refuse()
            return
        self.connections.add(connection)
        try:
            connection.run()
        finally:
            self.connections.discard(connection)
            limit.remove(connection)

    def _give_up_stalled_requests(self) -> None:
        """While requests wait for memory, give up those that hold some and have stopped arriving."""
        while True:
            gevent.sleep(STALL_CHECK_SECONDS)
            for pool in self.request_handler.memory.requests:
                if pool.has_waiting:
                    self._give_up_stalled(pool)

    def _give_up_stalled(self, pool: MemoryPool) -> None:
        """Free the largest part of a pool that is held without progress."""
        stalled_since = time.monotonic() - STALL_SECONDS
        stalled = [one for one in self.connections if one.stalled_bytes(pool, stalled_since)]
        stalled.sort(key=lambda one: one.stalled_bytes(pool, stalled_since), reverse=True)
        freed_bytes = 0
        for connection in stalled:
            if freed_bytes >= FREED_FRACTION * pool.capacity_bytes:
                return
            freed_bytes += connection.stalled_bytes(pool, stalled_since)
            connection.evict()
