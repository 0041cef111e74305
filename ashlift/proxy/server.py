"""The proxy's listener for clients. Knows every open connection, and ends the idle ones when it drains."""

import time
from collections.abc import Callable
from typing import Final

from gevent import socket
from gevent.server import StreamServer

from ashlift.config.object_schema import ClientLimits
from ashlift.proxy.client_connection import ClientConnection
from ashlift.proxy.request_handler import RequestHandler
from ashlift.rpc.addresses import Address
from ashlift.rpc.sockets import stop_listening

LISTEN_BACKLOG: Final = 1024


class ProxyServer:
    """Accepts clients, a greenlet each. `limits`: those of the configuration in force.

    `draining`: a connection ends with its next response, unless its client has sent more by then.
    """

    def __init__(self, request_handler: RequestHandler, limits: Callable[[], ClientLimits]) -> None:
        self.request_handler = request_handler
        self.limits = limits
        self.draining = False
        self.connections: set[ClientConnection] = set()
        self._server: StreamServer | None = None

    def listen(self, address: Address) -> None:
        """Accept clients from now on. Raises OSError if the address cannot be bound."""
        self._server = StreamServer(address, self._serve, backlog=LISTEN_BACKLOG)
        self._server.start()

    def stop_accepting(self) -> None:
        """Serve what the kernel has accepted, accept no more connections, and end the idle ones."""
        self.draining = True
        if self._server is not None:
            stop_listening(self._server)
        self.close_idle_connections()

    def close_idle_connections(self) -> None:
        """End the connections on which nothing has arrived and nothing is owed."""
        now = time.monotonic()
        for connection in list(self.connections):
            connection.close_if_idle(now)

    def refuse_partial_requests(self) -> None:
        """Answer requests of which only a part has arrived, and end their connections."""
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
