"""Serves one client connection: reads requests within the limits, and writes the responses in order."""

import contextlib
import time
from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent import socket

from ashlift.config.object_schema import ClientLimits
from ashlift.events import WARNING, log_event
from ashlift.invariants import Invariant, monitor
from ashlift.memory.pool import MemoryPool
from ashlift.proxy import events
from ashlift.proxy.rejections import NO_MEMORY, OVERLOADED
from ashlift.proxy.request_counters import RequestEnd
from ashlift.proxy.request_handler import RequestContext, RequestHandler
from ashlift.proxy.request_reader import ClientRequest
from ashlift.proxy.request_receiver import RequestReceiver
from ashlift.proxy.response_writer import ResponseWriter
from ashlift.proxy.responses import ClientResponse, rejection_response, render
from ashlift.proxy.shutdown import FIRST_REQUEST_SECONDS
from ashlift.rpc.connection_limit import ConnectionLimit
from ashlift.rpc.sockets import (
    close_after_last_response,
    has_unread_input,
    peer_has_closed,
    reset_connection,
    send_all,
)
from ashlift.rpc.transfer_deadline import TransferDeadline

WRITE_TIMEOUT_SECONDS: Final = 5.0  # without progress
LINGER_SECONDS: Final = 1.0  # for the client to read its last response and close the connection
UNREAD_BODY_LINGER_SECONDS: Final = 5.0  # while it still sends the body of a refused request
DISCONNECT_CHECK_SECONDS: Final = 0.05  # interval of the checks while there is unread input
UNAVAILABLE_STATUS: Final = 503
_READABLE: Final = 1  # event of libev


class ClientConnection:
    """Serves one connection until the client closes it or the proxy drains."""

    def __init__(
        self,
        sock: socket.socket,
        request_handler: RequestHandler,
        limits: Callable[[], ClientLimits],
        is_draining: Callable[[], bool],
        connection_limit: ConnectionLimit | None = None,
    ) -> None:
        """`connection_limit`: that this connection has been admitted to, if there is one."""
        self._connection_limit = connection_limit or ConnectionLimit(1)
        self._sock = sock
        self._request_handler = request_handler
        self._limits = limits
        self._is_draining = is_draining
        self._receiver = RequestReceiver(sock, request_handler.memory.requests, self._write_interim)
        self._reader = self._receiver.reader
        self._accepted_at = time.monotonic()
        self._has_received_request = False
        self._in_request = False
        self._is_last_response = False  # the last response has been written, or is being written
        self._closed_by_proxy = False
        self._client_disconnected = False
        self._last_attempt_id = b""
        self._write_deadline = TransferDeadline(self._accepted_at)
        self._written_bytes = 0

    def run(self) -> None:
        """Serve requests in order, then close the connection."""
        try:
            with contextlib.suppress(OSError, gevent.Timeout):
                while self._serve_request():
                    pass
                if self._is_last_response:
                    linger_seconds = self._linger_seconds()
                    self._receiver.discard()
                    close_after_last_response(self._sock, linger_seconds)
        finally:
            self._receiver.discard()
            self._sock.close()
            self._drop_pipelined_requests()

    def close_if_idle(self, now: float) -> None:
        """Close the connection if no request is being received or processed. `now`: monotonic time.

        A new connection is kept open for `FIRST_REQUEST_SECONDS`, so that its first request can arrive.
        """
        if self._in_request or self._is_last_response or self._reader.current is not None:
            return
        awaits_first_request = (
            not self._has_received_request and now < self._accepted_at + FIRST_REQUEST_SECONDS
        )
        if awaits_first_request or has_unread_input(self._sock):
            return
        self._closed_by_proxy = True
        self._sock.close()

    def refuse_partial_request(self) -> None:
        """Respond with 503 to a client that is still sending its request, as the process is about to exit."""
        if self._in_request or self._is_last_response or self._reader.current is None:
            return
        self._is_last_response = True
        self._send_refusal(ClientResponse(UNAVAILABLE_STATUS))
        self._receiver.stop()

    def refuse(self) -> None:
        """Respond with 503 to a new connection, and close it: all others are busy."""
        self._send_refusal(rejection_response(OVERLOADED))
        self._sock.close()

    def evict(self) -> None:
        """Close the connection at once to free what it holds; a request that is being received gets a 503."""
        self._connection_limit.remove(self)
        if not self._in_request and not self._is_last_response and self._reader.current is not None:
            self._send_refusal(rejection_response(NO_MEMORY))
        self._is_last_response = True
        self._receiver.stop()
        self._receiver.discard()
        self._sock.close()

    def stalled_bytes(self, pool: MemoryPool, since: float) -> int:
        """What an incomplete request holds of a pool without progress since then, while it may go on."""
        receiver = self._receiver
        if self._in_request or receiver.is_waiting_for_memory or receiver.last_progress_at > since:
            return 0
        held_bytes = receiver.memory.held_bytes(pool)
        return 0 if not held_bytes or has_unread_input(self._sock) else held_bytes

    def _send_refusal(self, response: ClientResponse) -> None:
        """Send as much of a response as the kernel takes, without waiting."""
        with contextlib.suppress(OSError):
            self._sock._sock.send(render(response, keep_alive=False))  # type: ignore[attr-defined]
            self._sock.shutdown(socket.SHUT_WR)

    def _serve_request(self) -> bool:
        """Serve one request; returns whether the connection stays open."""
        request = self._receiver.receive(self._limits())
        if request is None or self._is_last_response:
            return False
        if isinstance(request, ClientResponse):
            self._refuse(request)
            return False
        self._in_request = self._has_received_request = True
        self._connection_limit.set_busy(self)
        self._request_handler.request_counters.record_received()
        end = RequestEnd.WRITE_FAILED
        try:
            response = self._handle(request)
            if response is None:
                end = self._unanswered_end()
                return False
            self._connection_limit.set_waiting(self)
            keep_alive = request.keep_alive and not self._ends_with_next_response()
            self._is_last_response = not keep_alive
            end = self._respond(response, keep_alive, request)
            return keep_alive and end is RequestEnd.ANSWERED
        finally:
            self._in_request = False
            self._connection_limit.set_waiting(self)
            self._record_end(end)

    def _ends_with_next_response(self) -> bool:
        """Whether the proxy is draining and the client has not sent a further request."""
        if not self._is_draining():
            return False
        reader = self._reader
        return not (reader.has_pipelined or reader.current or has_unread_input(self._sock))

    def _unanswered_end(self) -> RequestEnd:
        """Why the last request got no response."""
        if self._closed_by_proxy:
            return RequestEnd.CLOSED_BY_PROXY
        return RequestEnd.CLIENT_GONE if self._client_disconnected else RequestEnd.DUPLICATE_ID

    def _record_end(self, end: RequestEnd) -> None:
        self._request_handler.request_counters.record_end(end)
        if end is RequestEnd.ANSWERED:
            return
        if self._is_draining():
            log_event(events.REQUEST_UNANSWERED, level=WARNING, reason=end.value)
        monitor.check(end is not RequestEnd.CLOSED_BY_PROXY, Invariant.REQUEST_ANSWERED, end=end.value)

    def _drop_pipelined_requests(self) -> None:
        """Count requests that were read after the last one served on the connection."""
        reader = self._reader
        reader.parse_next()
        while reader.complete:
            reader.complete.pop()
            self._request_handler.request_counters.record_received()
            self._record_end(RequestEnd.PIPELINED)
            reader.parse_next()

    # ---- processing and writing

    def _handle(self, request: ClientRequest) -> ClientResponse | None:
        """The response, or None if there is none, usually because the client disconnected."""
        context = RequestContext(self._last_attempt_id)
        watcher = _DisconnectWatcher(self._sock, context)
        try:
            return self._request_handler.handle(request, context)
        finally:
            self._last_attempt_id = context.attempt_id
            self._client_disconnected = context.client_disconnected
            watcher.close()
            request.body.clear()
            self._receiver.memory.release()

    def _respond(self, response: ClientResponse, keep_alive: bool, request: ClientRequest) -> RequestEnd:
        """Write the response to a request; how the request ended."""
        self._write_deadline = TransferDeadline(time.monotonic())
        self._written_bytes = 0
        try:
            if ResponseWriter(self._write, request).write(response, keep_alive):
                return RequestEnd.ANSWERED
        finally:
            response.release()
        self._is_last_response = False
        reset_connection(self._sock)  # so that the response does not look complete
        return RequestEnd.WORKER_BROKE_OFF

    def _refuse(self, response: ClientResponse) -> None:
        """Respond to a malformed or incomplete request, and close the connection."""
        self._is_last_response = True
        self._write_deadline = TransferDeadline(time.monotonic())
        if response.reason is not None:
            self._request_handler.count_response(response)
        self._write(render(response, keep_alive=False))

    def _linger_seconds(self) -> float:
        """How long to discard input after the last response: longer while a body is being sent."""
        return LINGER_SECONDS if self._reader.current is None else UNREAD_BODY_LINGER_SECONDS

    def _write_interim(self, data: bytes) -> None:
        send_all(self._sock, data, WRITE_TIMEOUT_SECONDS)

    def _write(self, data: bytes) -> None:
        """Write a part of a response. Raises OSError if the client does not keep a minimum rate."""
        seconds = self._write_deadline.at(self._written_bytes + len(data)) - time.monotonic()
        with gevent.Timeout(max(0.0, seconds), OSError("the client reads too slowly")):
            send_all(self._sock, data, WRITE_TIMEOUT_SECONDS)
        self._written_bytes += len(data)


class _DisconnectWatcher:
    """Sets `client_disconnected` in a request's context when the client closes the connection.

    If the socket becomes readable because of a pipelined request, which is not read yet, the connection is
    checked at intervals instead.
    """

    def __init__(self, sock: socket.socket, context: RequestContext) -> None:
        self._sock = sock
        self._context = context
        self._loop = gevent.get_hub().loop
        self._timer: Any = None
        self._readable = self._loop.io(sock.fileno(), _READABLE)
        self._readable.start(self._check)

    def close(self) -> None:
        """Stop watching."""
        self._readable.stop()
        self._readable.close()
        if self._timer is not None:
            self._timer.stop()
            self._timer.close()

    def _check(self) -> None:
        self._readable.stop()
        if peer_has_closed(self._sock):
            self._context.client_disconnected = True
            self._context.wake.set()
        elif self._timer is None:
            self._timer = self._loop.timer(DISCONNECT_CHECK_SECONDS, DISCONNECT_CHECK_SECONDS)
            self._timer.start(self._check)
