"""The metrics endpoint of a program: `GET /metrics` on a separate port.

The port is an option of the program's command line, and must match `metrics` of the role in the deploy file.
If it cannot be bound, this is logged and the program runs without the endpoint.
"""

import contextlib
from collections.abc import Sequence
from typing import Final

import gevent
from gevent import socket
from gevent.server import StreamServer

from ashlift.errors import Failure, FailureReason
from ashlift.events import METRICS_UNAVAILABLE, WARNING, log_event
from ashlift.metrics import CONTENT_TYPE, MetricsRegistry
from ashlift.rpc.addresses import MAX_PORT, Address
from ashlift.rpc.connection_limit import ClosableSocket, ConnectionLimit
from ashlift.rpc.sockets import listen, send_all

METRICS_OPTION: Final = "--metrics-port"
METRICS_PATH: Final = "/metrics"
REQUEST_TIMEOUT_SECONDS: Final = 2.0
MAX_REQUEST_BYTES: Final = 8192
RECEIVE_BYTES: Final = 4096
LISTEN_BACKLOG: Final = 8
MAX_CONNECTIONS: Final = 8
END_OF_HEAD: Final = b"\r\n\r\n"


def metrics_port(arguments: Sequence[str]) -> int | None | Failure:
    """Return the port in a command line, None if the option is absent, or INVALID for a malformed port."""
    if METRICS_OPTION not in arguments:
        return None
    text = "".join(arguments[arguments.index(METRICS_OPTION) + 1 :][:1])
    if not text.isdigit() or not 0 < int(text) <= MAX_PORT:
        return Failure(FailureReason.INVALID, f"command line: {METRICS_OPTION}: no port: {text!r}")
    return int(text)


def serve_metrics(address: Address, metrics: MetricsRegistry) -> StreamServer | None:
    """Start the endpoint; return None if the address cannot be bound."""

    limit = ConnectionLimit(MAX_CONNECTIONS)

    def handle_connection(sock: socket.socket, _: Address) -> None:
        connection = ClosableSocket(sock)
        limit.admit(connection)
        with (
            contextlib.closing(sock),
            contextlib.suppress(OSError, gevent.Timeout),
            gevent.Timeout(REQUEST_TIMEOUT_SECONDS),
        ):
            send_all(sock, _response(_read_target(sock), metrics))
        limit.remove(connection)

    try:
        server = StreamServer(listen(address, LISTEN_BACKLOG), handle_connection, spawn=limit.new_pool())
        server.start()
    except OSError as error:
        log_event(METRICS_UNAVAILABLE, level=WARNING, error=error)
        return None
    return server


def _read_target(sock: socket.socket) -> str:
    """Read a request and return its target; empty unless it is a complete GET request."""
    head = b""
    while END_OF_HEAD not in head:
        data = sock.recv(RECEIVE_BYTES)
        if not data or len(head) > MAX_REQUEST_BYTES:
            return ""
        head += data
    words = head.split(b"\r\n", 1)[0].split()
    return words[1].decode("latin-1") if len(words) > 1 and words[0] == b"GET" else ""


def _response(target: str, metrics: MetricsRegistry) -> bytes:
    found = target.partition("?")[0] == METRICS_PATH
    body = metrics.render().encode() if found else b""
    status = "200 OK" if found else "404 Not Found"
    head = (
        f"HTTP/1.1 {status}\r\nContent-Type: {CONTENT_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body
