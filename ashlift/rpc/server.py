"""The server side of RPC: accepts connections and runs a handler for each request."""

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
from ashlift.rpc.sockets import RECEIVE_BYTES, configure_socket, send_all

Handler = Callable[[Any], Any]  # takes a request's body; returns the response's body or a Failure
ACCEPT_BACKLOG: Final = 256  # connections


def serve(address: Address, handlers: Mapping[str, Handler]) -> StreamServer:
    """Serve requests: `handlers[method](body)` in a greenlet of its own, returning a body or a Failure.

    The server is started. Raises OSError where the address cannot be bound.
    """

    def handle_connection(sock: socket.socket, _: Address) -> None:
        _ServerConnection(sock, handlers).run()

    server = StreamServer(address, handle_connection, backlog=ACCEPT_BACKLOG)
    server.start()
    return server


class _ServerConnection:
    """One accepted connection. Its requests run side by side; their responses are written one at a time.

    A handler goes on when its connection ends: its client cannot know whether the request was executed.
    """

    def __init__(self, sock: socket.socket, handlers: Mapping[str, Handler]) -> None:
        self._sock = sock
        self._handlers = handlers
        self._send_lock = Semaphore()
        self._last_number = 0

    def run(self) -> None:
        """Read requests until the connection ends or something else arrives on it."""
        decoder = FrameDecoder(REQUEST_CRC_SEED)
        try:
            configure_socket(self._sock)
            while data := self._sock.recv(RECEIVE_BYTES):
                for value in decoder.feed(data):
                    request = decode_request(value)
                    self._admit(request)
                    gevent.spawn(self._respond, request)
        except (OSError, ValueError):
            pass
        finally:
            self._sock.close()

    def _admit(self, request: Request) -> None:
        """Raises ValueError for a number that was used before: a request must not be executed twice."""
        if request.number <= self._last_number:
            raise ValueError("a call that has come before")
        self._last_number = request.number

    def _respond(self, request: Request) -> None:
        frame = self._execute(request)
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
