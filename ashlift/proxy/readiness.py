"""The readiness endpoint: `GET /readiness` returns 200 while this proxy accepts client traffic, else 503."""

import contextlib
from collections.abc import Callable
from typing import Final

import gevent
from gevent import socket
from gevent.server import StreamServer

from ashlift.config.object_schema import ClientLimits
from ashlift.proxy.request_reader import ClientRequest, RequestReader
from ashlift.proxy.responses import ClientResponse, render
from ashlift.rpc.addresses import Address
from ashlift.rpc.connection_limit import ClosableSocket, ConnectionLimit

READINESS_PATH: Final = b"/readiness"
REQUEST_TIMEOUT_SECONDS: Final = 5.0
LISTEN_BACKLOG: Final = 64
MAX_CONNECTIONS: Final = 24
RECEIVE_BYTES: Final = 4096


def serve_readiness(listener: socket.socket, is_ready: Callable[[], bool]) -> StreamServer:
    """Start the server on a listening socket."""

    limit = ConnectionLimit(MAX_CONNECTIONS)

    def serve(sock: socket.socket, _: Address) -> None:
        connection = ClosableSocket(sock)
        limit.admit(connection)
        try:
            with contextlib.suppress(OSError, gevent.Timeout), gevent.Timeout(REQUEST_TIMEOUT_SECONDS):
                _respond(sock, is_ready)
        finally:
            limit.remove(connection)
            sock.close()

    server = StreamServer(listener, serve, spawn=limit.new_pool())
    server.start()
    return server


def _respond(sock: socket.socket, is_ready: Callable[[], bool]) -> None:
    request = _read_request(sock)
    if request is None:
        return
    status = 404
    if request.target.partition(b"?")[0] == READINESS_PATH:
        status = 200 if is_ready() else 503
    sock.sendall(render(ClientResponse(status), keep_alive=False))


def _read_request(sock: socket.socket) -> ClientRequest | None:
    reader = RequestReader()
    reader.limits = ClientLimits(max_body_bytes=0)
    while not reader.complete:
        data = sock.recv(RECEIVE_BYTES)
        if not data:
            return None
        reader.feed(data)
        if reader.error_status:
            return None
    return reader.complete[0]
