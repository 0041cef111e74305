"""Clients' connections: requests read within the limits, answers written in order. Readiness beside it."""

import contextlib
import time
from collections.abc import Callable

import gevent
from gevent import socket
from gevent.server import StreamServer

from ashlift.config.object_schema import ClientLimits
from ashlift.gatekeeper.net.links import hung_up
from ashlift.proxy.request_handler import RequestContext, RequestHandler
from ashlift.proxy.request_reader import ClientRequest, RequestReader
from ashlift.proxy.responses import ClientResponse, render
from ashlift.rpc.addresses import Address

WRITE_TIMEOUT_SECONDS = 5.0  # a client that takes no bytes for so long is gone
BODY_TIMEOUT_SECONDS = 10.0  # between two pieces of a body
HANG_UP_CHECK_SECONDS = 0.05  # between looks whether a client is gone that has sent its next request already
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ProxyServer:
    """Listens for clients, and knows every open connection."""

    def __init__(self, desk: RequestHandler, limits: Callable[[], ClientLimits]) -> None:
        self.request_handler, self.limits = desk, limits
        self.draining = False
        self.connections: set[ClientConnection] = set()
        self._server: StreamServer | None = None

    def listen(self, address: Address) -> None:
        """Raises OSError where the address cannot be had."""
        self._server = StreamServer(address, self._serve, backlog=1024)
        self._server.start()

    def _serve(self, sock: socket.socket, _: Address) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ClientConnection(self, sock)
        self.connections.add(connection)
        try:
            connection.run()
        finally:
            self.connections.discard(connection)
            sock.close()

    def close(self) -> None:
        """Take no more connections, and end those that are owed nothing."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close_if_idle()


class ClientConnection:
    def __init__(self, front: ProxyServer, sock: socket.socket) -> None:
        self._proxy_server, self._sock = front, sock
        self._reader = RequestReader()
        self._in_request = False
        self._last_attempt_id = b""  # id of the newest request

    def run(self) -> None:
        with contextlib.suppress(OSError, gevent.Timeout):
            while self._serve_request():
                pass

    def close_if_idle(self) -> None:
        """End it if nothing is asked on it."""
        if not self._in_request and self._reader.current is None:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RD)

    def _serve_request(self) -> bool:
        """One request; whether the connection goes on."""
        self._reader.limits = limits = self._proxy_server.limits()
        asked = self._read_request(limits)
        if asked is None:
            return False
        self._in_request = True
        try:
            answer = self._handle(asked)
            if answer is None:
                return False
            keep = asked.keep_alive and not self._proxy_server.draining
            self._write(render(answer, keep, asked.method == b"HEAD"))
            return keep
        finally:
            self._in_request = False

    def _read_request(self, limits: ClientLimits) -> ClientRequest | None:
        reader, told = self._reader, False
        if reader.complete and hung_up(self._sock):
            return None  # it came together with the one before it, and nobody waits for it any more
        since = time.monotonic()
        while not reader.complete:
            if reader.error_status:
                self._reject(reader.error_status)
                return None
            asked = reader.current
            if asked is None:
                most = limits.idle_timeout - (time.monotonic() - since)
            elif not asked.head_complete:
                most = limits.header_timeout - (time.monotonic() - since)
            else:
                most = BODY_TIMEOUT_SECONDS
            if asked is not None and asked.head_complete and not told and not asked.body_bytes:
                told = True
                if asked.expects_continue:
                    self._write(CONTINUE_RESPONSE)
            timer = gevent.Timeout(max(0.001, most))
            timer.start()
            try:
                data = self._sock.recv(65536)
            except gevent.Timeout as over:
                if over is not timer:
                    raise
                if asked is not None:
                    self._reject(408)
                return None
            finally:
                timer.close()
            if not data:
                return None
            if reader.current is None:
                since = time.monotonic()
            reader.feed(data)
        return reader.complete.pop(0)

    def _handle(self, asked: ClientRequest) -> ClientResponse | None:
        """The answer, or None where there is none to give: its client has gone, as a rule."""
        case = RequestContext(self._last_attempt_id)
        loop = gevent.get_hub().loop
        watcher, again = loop.io(self._sock.fileno(), 1), None

        def look() -> None:
            nonlocal again
            watcher.stop()
            if hung_up(self._sock):
                case.client_gone = True
                case.wake.set()
            elif again is None:  # its next request: whether it is still there is to be seen by looking
                again = loop.timer(HANG_UP_CHECK_SECONDS, HANG_UP_CHECK_SECONDS)
                again.start(look)

        watcher.start(look)
        try:
            return self._proxy_server.request_handler.handle(asked, case)
        finally:
            self._last_attempt_id = case.attempt_id
            watcher.stop()
            watcher.close()
            if again is not None:
                again.stop()
                again.close()

    def _reject(self, status: int) -> None:
        """Answer what cannot be read, and let its sender see the answer before the end."""
        self._write(render(ClientResponse(status), False))
        with contextlib.suppress(OSError, gevent.Timeout), gevent.Timeout(1.0):
            self._sock.shutdown(socket.SHUT_WR)
            while self._sock.recv(65536):
                pass

    def _write(self, data: bytes) -> None:
        with gevent.Timeout(WRITE_TIMEOUT_SECONDS):
            self._sock.sendall(data)


def serve_readiness(address: Address, ready: Callable[[], bool]) -> StreamServer:
    """`GET /readiness`: 200 or 503. Started; raises OSError where the address cannot be had."""

    def serve(sock: socket.socket, _: Address) -> None:
        reader = RequestReader()
        try:
            with gevent.Timeout(5.0):
                while not reader.complete:
                    data = sock.recv(4096)
                    if not data:
                        return
                    reader.feed(data)
                    if reader.error_status:
                        return
                path = reader.complete[0].target.partition(b"?")[0]
                status = 404 if path != b"/readiness" else 200 if ready() else 503
                sock.sendall(render(ClientResponse(status), False))
        except (OSError, gevent.Timeout):
            pass
        finally:
            sock.close()

    server = StreamServer(address, serve, backlog=64)
    server.start()
    return server
