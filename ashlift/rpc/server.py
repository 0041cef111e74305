"""The server side of RPC: accepts connections and runs a handler for each request."""

import time
from collections.abc import Callable, Mapping
from typing import Any, Final

import gevent
from gevent import socket
from gevent.lock import Semaphore
from gevent.server import StreamServer

from ashlift.errors import Failure, FailureReason
from ashlift.rpc.addresses import Address
from ashlift.rpc.framing import REQUEST_CRC_SEED, FrameDecoder
from ashlift.rpc.messages import Request, decode_request, encode_response
from ashlift.rpc.sockets import (
    RECEIVE_BYTES,
    configure_socket,
    has_unread_input,
    send_all,
    stop_listening,
)

Handler = Callable[[Any], Any]  # takes a request's body; returns the response's body or a Failure
ACCEPT_BACKLOG: Final = 256  # connections
FIRST_CALL_SECONDS: Final = 0.2  # for which a new connection may wait for its first call at the end
SHUTDOWN_CHECK_SECONDS: Final = 0.01


class RpcServer(StreamServer):
    """Listens at one address. `handlers`: by method."""

    def __init__(self, address: Address, handlers: Mapping[str, Handler]) -> None:
        super().__init__(address, self._serve_connection, backlog=ACCEPT_BACKLOG)
        self._handlers = handlers
        self._connections: set[_ServerConnection] = set()
        self.is_shutting_down = False

    @property
    def calls_in_progress(self) -> int:
        """How many requests have been read whose responses have not been written."""
        return sum(connection.calls_in_progress for connection in self._connections)

    def shut_down(self, timeout: float) -> None:
        """Accept no more connections; end each when its calls are answered, all after `timeout` s."""
        self.is_shutting_down = True
        stop_listening(self)
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            gevent.sleep(SHUTDOWN_CHECK_SECONDS)  # first, as connections just accepted have not begun yet
            for connection in list(self._connections):
                connection.close_if_idle()
            if not self._connections:
                return

    def _serve_connection(self, sock: socket.socket, _: Address) -> None:
        connection = _ServerConnection(sock, self._handlers, lambda: self.is_shutting_down)
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)


def serve(address: Address, handlers: Mapping[str, Handler]) -> RpcServer:
    """Serve requests: `handlers[method](body)` in a greenlet of its own, returning a body or a Failure.

    The server is started. Raises OSError where the address cannot be bound.
    """
    server = RpcServer(address, handlers)
    server.start()
    return server


class _ServerConnection:
    """One accepted connection. Its requests run side by side; their responses are written one at a time.

    A handler goes on when its connection ends: its client cannot know whether the request was executed.
    """

    def __init__(
        self, sock: socket.socket, handlers: Mapping[str, Handler], is_shutting_down: Callable[[], bool]
    ) -> None:
        """`is_shutting_down`: whether the connection ends with its last call in progress."""
        self.calls_in_progress = 0
        self._is_shutting_down = is_shutting_down
        self._sock = sock
        self._handlers = handlers
        self._decoder = FrameDecoder(REQUEST_CRC_SEED)
        self._accepted_at = time.monotonic()
        self._send_lock = Semaphore()
        self._last_number = 0

    def run(self) -> None:
        """Read requests until the connection ends or something else arrives on it."""
        try:
            configure_socket(self._sock)
            while data := self._sock.recv(RECEIVE_BYTES):
                for value in self._decoder.feed(data):
                    request = decode_request(value)
                    self._admit(request)
                    self.calls_in_progress += 1
                    gevent.spawn(self._respond, request)
        except (OSError, ValueError):
            pass
        finally:
            self._sock.close()

    def close_if_idle(self) -> None:
        """End the connection if no call is in progress and nothing of one has arrived."""
        if self.calls_in_progress or self._decoder.has_partial_frame:
            return
        is_new = not self._last_number and time.monotonic() < self._accepted_at + FIRST_CALL_SECONDS
        if not is_new and not has_unread_input(self._sock):
            self._sock.close()

    def _admit(self, request: Request) -> None:
        """Raises ValueError for a number that was used before: a request must not be executed twice."""
        if request.number <= self._last_number:
            raise ValueError("a call that has come before")
        self._last_number = request.number

    def _respond(self, request: Request) -> None:
        try:
            self._send(self._execute(request))
        finally:
            self.calls_in_progress -= 1
            if self._is_shutting_down():
                self.close_if_idle()  # at once: its peer would ask again, and wait in vain

    def _send(self, frame: bytes) -> None:
        with self._send_lock:
            try:
                send_all(self._sock, frame)
            except OSError:
                self._sock.close()  # a part of the response may have been sent
            except BaseException:
                self._sock.close()
                raise

    def _execute(self, request: Request) -> bytes:
        """The response's frame."""
        handler = self._handlers.get(request.method)
        result = handler(request.body) if handler else Failure(FailureReason.NOT_FOUND, request.method)
        try:
            return encode_response(request.number, result)
        except ValueError as error:
            too_large = Failure(FailureReason.INVALID, f"{request.method}: {error}")
            return encode_response(request.number, too_large)
