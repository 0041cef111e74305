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

WRITE_S = 5.0  # a client that takes no bytes for so long is gone
BODY_S = 10.0  # between two pieces of a body
LOOK_S = 0.05  # between looks whether a client is gone that has sent its next request already
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ProxyServer:
    """Listens for clients, and knows every open connection."""

    def __init__(self, desk: RequestHandler, limits: Callable[[], ClientLimits]) -> None:
        self.desk, self.limits = desk, limits
        self.leaving = False
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
            connection.rest()


class ClientConnection:
    def __init__(self, front: ProxyServer, sock: socket.socket) -> None:
        self._front, self._sock = front, sock
        self._reader = RequestReader()
        self._busy = False
        self._last = b""  # id of the newest request

    def run(self) -> None:
        with contextlib.suppress(OSError, gevent.Timeout):
            while self._step():
                pass

    def rest(self) -> None:
        """End it if nothing is asked on it."""
        if not self._busy and self._reader.asked is None:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RD)

    def _step(self) -> bool:
        """One request; whether the connection goes on."""
        self._reader.limits = limits = self._front.limits()
        asked = self._read(limits)
        if asked is None:
            return False
        self._busy = True
        try:
            answer = self._handle(asked)
            if answer is None:
                return False
            keep = asked.keep and not self._front.leaving
            self._write(render(answer, keep, asked.method == b"HEAD"))
            return keep
        finally:
            self._busy = False

    def _read(self, limits: ClientLimits) -> ClientRequest | None:
        reader, told = self._reader, False
        if reader.done and hung_up(self._sock):
            return None  # it came together with the one before it, and nobody waits for it any more
        since = time.monotonic()
        while not reader.done:
            if reader.bad:
                self._refuse(reader.bad)
                return None
            asked = reader.asked
            if asked is None:
                most = limits.idle_timeout - (time.monotonic() - since)
            elif not asked.headed:
                most = limits.header_timeout - (time.monotonic() - since)
            else:
                most = BODY_S
            if asked is not None and asked.headed and not told and not asked.size:
                told = True
                if asked.expects:
                    self._write(CONTINUE)
            timer = gevent.Timeout(max(0.001, most))
            timer.start()
            try:
                data = self._sock.recv(65536)
            except gevent.Timeout as over:
                if over is not timer:
                    raise
                if asked is not None:
                    self._refuse(408)
                return None
            finally:
                timer.close()
            if not data:
                return None
            if reader.asked is None:
                since = time.monotonic()
            reader.feed(data)
        return reader.done.pop(0)

    def _handle(self, asked: ClientRequest) -> ClientResponse | None:
        """The answer, or None where there is none to give: its client has gone, as a rule."""
        case = RequestContext(self._last)
        loop = gevent.get_hub().loop
        watcher, again = loop.io(self._sock.fileno(), 1), None

        def look() -> None:
            nonlocal again
            watcher.stop()
            if hung_up(self._sock):
                case.gone = True
                case.woken.set()
            elif again is None:  # its next request: whether it is still there is to be seen by looking
                again = loop.timer(LOOK_S, LOOK_S)
                again.start(look)

        watcher.start(look)
        try:
            return self._front.desk.handle(asked, case)
        finally:
            self._last = case.attempt
            watcher.stop()
            watcher.close()
            if again is not None:
                again.stop()
                again.close()

    def _refuse(self, status: int) -> None:
        """Answer what cannot be read, and let its sender see the answer before the end."""
        self._write(render(ClientResponse(status), False))
        with contextlib.suppress(OSError, gevent.Timeout), gevent.Timeout(1.0):
            self._sock.shutdown(socket.SHUT_WR)
            while self._sock.recv(65536):
                pass

    def _write(self, data: bytes) -> None:
        with gevent.Timeout(WRITE_S):
            self._sock.sendall(data)


def serve_readiness(address: Address, ready: Callable[[], bool]) -> StreamServer:
    """`GET /readiness`: 200 or 503. Started; raises OSError where the address cannot be had."""

    def serve(sock: socket.socket, _: Address) -> None:
        reader = RequestReader()
        try:
            with gevent.Timeout(5.0):
                while not reader.done:
                    data = sock.recv(4096)
                    if not data:
                        return
                    reader.feed(data)
                    if reader.bad:
                        return
                path = reader.done[0].target.partition(b"?")[0]
                status = 404 if path != b"/readiness" else 200 if ready() else 503
                sock.sendall(render(ClientResponse(status), False))
        except (OSError, gevent.Timeout):
            pass
        finally:
            sock.close()

    server = StreamServer(address, serve, backlog=64)
    server.start()
    return server
