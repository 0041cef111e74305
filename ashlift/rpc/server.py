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
from ashlift.rpc.concurrency_limit import ConcurrencyLimit, LimitSlot
from ashlift.rpc.connection_limit import ConnectionLimit
from ashlift.rpc.framing import REQUEST_CRC_SEED, FrameDecoder, decode_payload
from ashlift.rpc.messages import Request, decode_request, encode_response, refused_request
from ashlift.rpc.partial_frames import PartialFrames
from ashlift.rpc.sockets import (
    RECEIVE_BYTES,
    Listener,
    as_listening_socket,
    configure_socket,
    has_unread_input,
    limit_receive_buffer,
    send_all,
    stop_listening,
)

Handler = Callable[[Any], Any]  # takes a request's body; returns the response's body or a Failure
ACCEPT_BACKLOG: Final = 256  # connections
DEFAULT_MAX_CONNECTIONS: Final = 1000
RECEIVE_BUFFER_BYTES: Final = 64 << 10  # larger than for clients: frames cross regions
# How long a new connection may wait for its first request at shutdown.
FIRST_REQUEST_GRACE_SECONDS: Final = 0.2
SHUTDOWN_POLL_SECONDS: Final = 0.01


class RpcServer(StreamServer):
    """Serves one listener. `handlers`: by method. `limit`: of concurrent large requests."""

    def __init__(
        self,
        listener: Listener,
        handlers: Mapping[str, Handler],
        limit: ConcurrencyLimit | None = None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        listening_socket = as_listening_socket(listener, ACCEPT_BACKLOG)
        limit_receive_buffer(listening_socket, RECEIVE_BUFFER_BYTES)
        self._connection_limit = ConnectionLimit(max_connections)
        super().__init__(listening_socket, self._serve_connection, spawn=self._connection_limit.new_pool())
        self._partial_frames = PartialFrames()
        self._handlers = handlers
        self._limit = limit or ConcurrencyLimit()
        self._connections: set[_ServerConnection] = set()
        self.is_shutting_down = False

    @property
    def requests_in_progress(self) -> int:
        """The number of requests that have been read and whose responses have not been written."""
        return sum(connection.requests_in_progress for connection in self._connections)

    def shut_down(self, timeout: float) -> None:
        """Stop accepting connections, and close each one once it is idle.

        Returns when all are closed, or after `timeout` s, with the remaining ones open.
        """
        self.is_shutting_down = True
        stop_listening(self)
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            gevent.sleep(SHUTDOWN_POLL_SECONDS)  # lets the greenlets of connections just accepted start
            for connection in list(self._connections):
                connection.close_if_idle()
            if not self._connections:
                return

    def _serve_connection(self, sock: socket.socket, _: Address) -> None:
        connection = _ServerConnection(
            sock, self._handlers, lambda: self.is_shutting_down, self._limit, self._partial_frames
        )
        if not self._connection_limit.admit(connection):
            sock.close()
            return
        connection.on_progress = self._connection_limit.set_waiting
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)
            self._connection_limit.remove(connection)
            self._partial_frames.remove(connection)


def serve(
    listener: Listener,
    handlers: Mapping[str, Handler],
    limit: ConcurrencyLimit | None = None,
    max_connections: int = DEFAULT_MAX_CONNECTIONS,
) -> RpcServer:
    """Start a server that runs `handlers[method](body)` in a greenlet for each request.

    A handler returns a body or a Failure. Raises OSError if an address cannot be bound.
    """
    server = RpcServer(listener, handlers, limit, max_connections)
    server.start()
    return server


class _ServerConnection:
    """One accepted connection. Its requests run concurrently; their responses are written one at a time.

    A handler runs to completion even if its connection closes: the client cannot know how far it got.
    """

    def __init__(
        self,
        sock: socket.socket,
        handlers: Mapping[str, Handler],
        is_shutting_down: Callable[[], bool],
        limit: ConcurrencyLimit,
        partial_frames: PartialFrames,
    ) -> None:
        """`is_shutting_down`: whether to close the connection once no request is in progress."""
        self.on_progress: Callable[[_ServerConnection], None] = lambda _: None
        self._partial_frames = partial_frames
        self.requests_in_progress = 0
        self._is_shutting_down = is_shutting_down
        self._sock = sock
        self._handlers = handlers
        self._limit = limit
        self._decoder = FrameDecoder(REQUEST_CRC_SEED)
        self._accepted_at = time.monotonic()
        self._send_lock = Semaphore()
        self._last_number = 0

    def run(self) -> None:
        """Read requests until the connection ends or anything but a valid request arrives."""
        try:
            configure_socket(self._sock)
            while data := self._sock.recv(RECEIVE_BYTES):
                self._start_requests(data)
                self._partial_frames.update(self, self._decoder.partial_bytes)
                del data
                if self._decoder.has_partial_frame:
                    gevent.sleep(0)  # others have their turn, even if this peer sends without a pause
        except (OSError, ValueError):
            pass
        finally:
            self._sock.close()

    def _start_requests(self, data: bytes) -> None:
        """Start all requests that `data` completes. Raises ValueError if it is not valid.

        A function of its own, so that no local variable keeps a large request until the next one arrives.
        """
        for payload in self._decoder.feed_payloads(data):
            slot = self._limit.try_start(payload)
            request = refused_request(payload) if slot is None else decode_request(decode_payload(payload))
            self._check_number(request)
            self.on_progress(self)
            self.requests_in_progress += 1
            gevent.spawn(self._respond, request, slot)

    def evict(self) -> None:
        """Close the connection. Requests in progress are still executed; their callers may retry them."""
        self._decoder.discard()
        self._sock.close()

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress and no part of another has arrived."""
        if self.requests_in_progress or self._decoder.has_partial_frame:
            return
        is_new = not self._last_number and time.monotonic() < self._accepted_at + FIRST_REQUEST_GRACE_SECONDS
        if not is_new and not has_unread_input(self._sock):
            self._sock.close()

    def _check_number(self, request: Request) -> None:
        """Raise ValueError for a number that is not above all before: no request may be executed twice."""
        if request.number <= self._last_number:
            raise ValueError(f"request number {request.number} after {self._last_number}")
        self._last_number = request.number

    def _respond(self, request: Request, slot: LimitSlot | None) -> None:
        try:
            self._send(self._execute(request, slot))
        finally:
            if slot is not None:
                slot.release()
            self.requests_in_progress -= 1
            if self._is_shutting_down():
                self.close_if_idle()  # now, before the peer sends a request that would not be answered

    def _send(self, frame: bytes) -> None:
        with self._send_lock:
            try:
                send_all(self._sock, frame)
            except OSError:
                self._sock.close()  # a part of the response may have been sent
            except BaseException:
                self._sock.close()
                raise

    def _execute(self, request: Request, slot: LimitSlot | None) -> bytes:
        """Run the request's handler and encode the response. `slot`: None if the request is refused."""
        handler = self._handlers.get(request.method)
        if slot is None:
            result: Any = Failure(FailureReason.UNAVAILABLE, f"{request.method}: too many bytes in progress")
        elif handler is None:
            result = Failure(FailureReason.NOT_FOUND, request.method)
        else:
            result = handler(request.body)
        try:
            return encode_response(request.number, result)
        except ValueError as error:
            too_large = Failure(FailureReason.INVALID, f"{request.method}: {error}")
            return encode_response(request.number, too_large)
