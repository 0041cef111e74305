"""The worker and the plain relay: servers that print their address and run until stopped."""

from collections.abc import Callable
from typing import Any, Final

from gevent import socket
from gevent.server import StreamServer

from benchmarks.relay.http_message import HttpMessage, disable_nagle, parse_address

ANY_LOOPBACK_PORT: Final = ("127.0.0.1", 0)
BACKLOG: Final = 256
RESPONSE_BODY: Final = b"x" * 600


def serve_worker() -> None:
    """Respond to each request with a small body."""

    def serve(connection: socket.socket, _address: Any) -> None:
        disable_nagle(connection)
        while (request := HttpMessage(is_response=False)).read(connection):
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Seal: s\r\n"
                b"Content-Length: %d\r\n\r\n%b" % (request.attempt_id, len(RESPONSE_BODY), RESPONSE_BODY)
            )

    _serve_forever(serve)


def serve_relay(worker_address: str) -> None:
    """Forward complete requests and responses over persistent connections to the worker."""
    idle_connections: list[socket.socket] = []

    def serve(client: socket.socket, _address: Any) -> None:
        disable_nagle(client)
        while (request := HttpMessage(is_response=False)).read(client):
            if idle_connections:
                worker = idle_connections.pop()
            else:
                worker = socket.create_connection(parse_address(worker_address))
            disable_nagle(worker)
            worker.sendall(request.raw)
            response = HttpMessage(is_response=True)
            if not response.read(worker):
                raise ConnectionError("the worker closed the connection before its response was complete")
            idle_connections.append(worker)
            client.sendall(response.raw)

    _serve_forever(serve)


def _serve_forever(serve: Callable[[socket.socket, Any], None]) -> None:
    server = StreamServer(ANY_LOOPBACK_PORT, serve, backlog=BACKLOG)
    server.start()
    print(f"127.0.0.1:{server.server_port}", flush=True)
    server.serve_forever()
