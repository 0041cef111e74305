"""The proxy's listener for clients. Tracks open connections, and closes idle ones while draining."""

import time
from collections.abc import Callable
from typing import Final

from gevent import socket
from gevent.server import StreamServer

from ashlift.config.object_schema import ClientLimits
from ashlift.proxy.client_connection import ClientConnection
from ashlift.proxy.request_handler import RequestHandler
from ashlift.rpc.addresses import Address
from ashlift.rpc.sockets import Listener, as_listening_socket, stop_listening

LISTEN_BACKLOG: Final = 1024


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

    def listen(self, listener: Listener) -> None:
        """Start accepting connections. Raises OSError if an address cannot be bound."""
        self._server = StreamServer(as_listening_socket(listener, LISTEN_BACKLOG), self._serve)
        self._server.start()

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
        connection = ClientConnection(sock, self.request_handler, self.limits, lambda: self.draining)
        self.connections.add(connection)
        try:
            connection.run()
        finally:
            self.connections.discard(connection)
