"""The HTTP/1.1 server of the API, with one greenlet per connection. Owns the sockets."""

import time
from collections.abc import Mapping
from typing import Final

import gevent
from gevent import socket
from gevent.server import StreamServer

from ashlift.config.settings import MachineLimits
from ashlift.registry.api.connection import ApiConnection
from ashlift.registry.api.messages import HttpRequest, HttpResponse, error_response
from ashlift.registry.api.pause_detector import CHECK_INTERVAL_SECONDS, PauseDetector
from ashlift.registry.api.request_memory import ApiMemory
from ashlift.registry.api.resource import DEFAULT_MAX_BODY_BYTES, Resource
from ashlift.rpc.addresses import Address
from ashlift.rpc.sockets import Listener, as_listening_socket, stop_listening

LISTEN_BACKLOG: Final = 1024


class HttpServer:
    """Serves the connections of one listener."""

    def __init__(
        self, listener: Listener, resources: Mapping[str, Resource], memory: ApiMemory | None = None
    ) -> None:
        """`resources`: by the first segment of the path. `memory`: for requests.

        Raises OSError if an address cannot be bound.
        """
        self.memory = memory or ApiMemory(MachineLimits())
        self.connection_limit = self.memory.connection_limit
        self._resources = resources
        self._connections: set[ApiConnection] = set()
        self.is_shutting_down = False
        self._pause_detector = PauseDetector(time.monotonic())
        self._server = StreamServer(
            as_listening_socket(listener, LISTEN_BACKLOG),
            self._serve_connection,
            spawn=self.connection_limit.new_pool(),
        )

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()
        gevent.spawn(self._check_for_pauses)

    def shut_down(self) -> None:
        """Stop accepting connections; accepted ones are still served."""
        self.is_shutting_down = True
        stop_listening(self._server)
        self.close_idle_connections()

    def close_idle_connections(self) -> None:
        """Close the connections on which no request is being received or processed."""
        now = time.monotonic()
        for connection in list(self._connections):
            connection.close_if_idle(now)

    @property
    def has_connections(self) -> bool:
        """Whether any client is connected."""
        return bool(self._connections)

    def respond(self, request: HttpRequest) -> HttpResponse:
        """The response to a request; may block."""
        resource = self._resource_at(request.path)
        if resource is None:
            return error_response(404, f"nothing at {request.path[:100]}")
        return resource.handle(request)

    def max_body_bytes(self, path: str) -> int:
        """Maximum body size of requests for that path."""
        resource = self._resource_at(path)
        return resource.max_body_bytes if resource else DEFAULT_MAX_BODY_BYTES

    def earliest_send_time(self, now: float) -> float:
        """Monotonic time before which no request on a connection accepted at `now` was sent."""
        return self._pause_detector.earliest_send_time(now)

    def _check_for_pauses(self) -> None:
        while not self.is_shutting_down:
            self._pause_detector.check(time.monotonic())
            gevent.sleep(CHECK_INTERVAL_SECONDS)

    def _resource_at(self, path: str) -> Resource | None:
        return self._resources.get(path.partition("/")[2].partition("/")[0])

    def _serve_connection(self, sock: socket.socket, _: Address) -> None:
        connection = ApiConnection(sock, self)
        if not self.connection_limit.admit(connection):
            sock.close()
            return
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)
            self.connection_limit.remove(connection)
