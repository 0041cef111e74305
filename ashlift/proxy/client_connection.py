"""One client's connection: requests read within the limits, responses written in order."""

import contextlib
import time
from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent import socket

from ashlift.config.object_schema import ClientLimits
from ashlift.events import WARNING, log_event
from ashlift.gatekeeper.net.socket_state import peer_has_closed
from ashlift.invariants import Invariant, monitor
from ashlift.proxy import events
from ashlift.proxy.request_handler import RequestContext, RequestHandler
from ashlift.proxy.request_ledger import RequestEnd
from ashlift.proxy.request_reader import ClientRequest, RequestReader
from ashlift.proxy.responses import ClientResponse, render
from ashlift.proxy.shutdown import FIRST_REQUEST_SECONDS
from ashlift.rpc.sockets import close_after_last_response, has_unread_input, send_all

WRITE_TIMEOUT_SECONDS: Final = 5.0  # a client that accepts no bytes for so long is gone
BODY_TIMEOUT_SECONDS: Final = 10.0  # between two parts of a body
MIN_TIMEOUT_SECONDS: Final = 0.001
LINGER_SECONDS: Final = 1.0  # for a client to read its last response and to close, too
HANG_UP_CHECK_SECONDS: Final = 0.05  # while the client's next request is already waiting to be read
RECEIVE_BYTES: Final = 65536
REQUEST_TIMEOUT_STATUS: Final = 408
UNAVAILABLE_STATUS: Final = 503
CONTINUE_RESPONSE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
HEAD_METHOD: Final = b"HEAD"
_READABLE: Final = 1  # event of libev


class ClientConnection:
    """Serves one connection until the client leaves or the proxy drains."""

    def __init__(
        self,
        sock: socket.socket,
        request_handler: RequestHandler,
        limits: Callable[[], ClientLimits],
        is_draining: Callable[[], bool],
    ) -> None:
        self._sock = sock
        self._request_handler = request_handler
        self._limits = limits
        self._is_draining = is_draining
        self._reader = RequestReader()
        self._accepted_at = time.monotonic()
        self._has_served = False  # a request, so that the next one may come at any time or never
        self._in_request = False
        self._is_ending = False  # its last response has been written, or is being written
        self._is_closed_here = False
        self._client_gone = False
        self._last_attempt_id = b""

    def run(self) -> None:
        """Serve requests one after the other, and close the connection."""
        try:
            with contextlib.suppress(OSError, gevent.Timeout):
                while self._serve_request():
                    pass
                if self._is_ending:
                    close_after_last_response(self._sock, LINGER_SECONDS)
        finally:
            self._sock.close()
            self._drop_pipelined_requests()

    def close_if_idle(self, now: float) -> None:
        """End the connection if nothing of a request has arrived and nothing is owed. `now`: steady time.

        A connection without a request yet has some time for it: its client has just been accepted.
        """
        if self._in_request or self._is_ending or self._reader.current is not None:
            return
        may_be_about_to_send = not self._has_served and now < self._accepted_at + FIRST_REQUEST_SECONDS
        if may_be_about_to_send or has_unread_input(self._sock):
            return
        self._is_closed_here = True
        self._sock.close()

    def refuse_partial_request(self) -> None:
        """The process is about to end: tell a client that is still sending that its request has not run."""
        if self._in_request or self._is_ending or self._reader.current is None:
            return
        self._is_ending = True
        response = render(ClientResponse(UNAVAILABLE_STATUS), keep_alive=False)
        with contextlib.suppress(OSError):
            self._sock._sock.send(response)  # type: ignore[attr-defined]  # the plain socket does not wait
            self._sock.shutdown(socket.SHUT_WR)

    def _serve_request(self) -> bool:
        """One request; whether the connection goes on."""
        limits = self._limits()
        self._reader.limits = limits
        request = self._read_request(limits)
        if request is None or self._is_ending:
            return False
        self._in_request = self._has_served = True
        self._request_handler.ledger.request_received()
        end = RequestEnd.WRITE_FAILED
        try:
            response = self._handle(request)
            if response is None:
                end = self._unanswered_end()
                return False
            keep_alive = request.keep_alive and not self._ends_with_next_response()
            self._is_ending = not keep_alive
            self._write(render(response, keep_alive, request.method == HEAD_METHOD))
            end = RequestEnd.ANSWERED
            return keep_alive
        finally:
            self._in_request = False
            self._record_end(end)

    def _ends_with_next_response(self) -> bool:
        """Whether the proxy drains and the client has sent nothing behind the request being answered."""
        if not self._is_draining():
            return False
        reader = self._reader
        return not (reader.complete or reader.current or has_unread_input(self._sock))

    def _unanswered_end(self) -> RequestEnd:
        """Why there is no response to the request that was processed last."""
        if self._is_closed_here:
            return RequestEnd.CLOSED_HERE
        return RequestEnd.CLIENT_GONE if self._client_gone else RequestEnd.REPEATED

    def _record_end(self, end: RequestEnd) -> None:
        self._request_handler.ledger.request_ended(end)
        if end is RequestEnd.ANSWERED:
            return
        if self._is_draining():
            log_event(events.REQUEST_UNANSWERED, level=WARNING, reason=end.value)
        monitor.holds(end is not RequestEnd.CLOSED_HERE, Invariant.REQUEST_ANSWERED, end=end.value)

    def _drop_pipelined_requests(self) -> None:
        """Count requests that were read behind one that ended the connection."""
        for _ in self._reader.complete:
            self._request_handler.ledger.request_received()
            self._record_end(RequestEnd.PIPELINED)

    # ---- reading

    def _read_request(self, limits: ClientLimits) -> ClientRequest | None:
        """The next request; None: there is none, and the connection ends."""
        reader = self._reader
        if reader.complete and peer_has_closed(self._sock):
            return None  # it was sent together with the one before, and nobody waits for it any more
        waiting_since = time.monotonic()
        continue_sent = False
        while not reader.complete:
            if reader.error_status:
                self._reject(reader.error_status)
                return None
            if not continue_sent and self._expects_continue():
                self._write(CONTINUE_RESPONSE)
                continue_sent = True
            data = self._receive(self._receive_timeout(limits, waiting_since))
            if not data:
                return None
            if reader.current is None:
                waiting_since = time.monotonic()
            reader.feed(data)
        return reader.complete.pop(0)

    def _expects_continue(self) -> bool:
        request = self._reader.current
        if request is None or not request.head_complete or request.body_bytes:
            return False
        return request.expects_continue

    def _receive_timeout(self, limits: ClientLimits, waiting_since: float) -> float:
        """Seconds that the next bytes may take."""
        request = self._reader.current
        if request is not None and request.head_complete:
            return BODY_TIMEOUT_SECONDS
        timeout = limits.idle_timeout if request is None else limits.header_timeout
        return max(MIN_TIMEOUT_SECONDS, timeout - (time.monotonic() - waiting_since))

    def _receive(self, timeout_seconds: float) -> bytes:
        """The next bytes; none at the end, or when they took too long."""
        timer = gevent.Timeout(timeout_seconds)
        timer.start()
        try:
            return self._sock.recv(RECEIVE_BYTES)
        except gevent.Timeout as timeout:
            if timeout is not timer:
                raise
        finally:
            timer.close()
        if has_unread_input(self._sock):  # found in the same turn of the event loop as the timer
            return self._sock.recv(RECEIVE_BYTES)
        if self._reader.current is not None:
            self._reject(REQUEST_TIMEOUT_STATUS)
        return b""

    # ---- processing and writing

    def _handle(self, request: ClientRequest) -> ClientResponse | None:
        """The response, or None if there is none to give: as a rule since the client has gone."""
        context = RequestContext(self._last_attempt_id)
        watcher = _HangUpWatcher(self._sock, context)
        try:
            return self._request_handler.handle(request, context)
        finally:
            self._last_attempt_id = context.attempt_id
            self._client_gone = context.client_gone
            watcher.close()

    def _reject(self, status: int) -> None:
        """Respond to what cannot be read, and end the connection."""
        self._is_ending = True
        self._write(render(ClientResponse(status), keep_alive=False))

    def _write(self, data: bytes) -> None:
        send_all(self._sock, data, WRITE_TIMEOUT_SECONDS)


class _HangUpWatcher:
    """Tells a request's context when its client closes the connection.

    Bytes that arrive may be the client's next request, which is not read now. Whether the client is still
    there is then checked at intervals.
    """

    def __init__(self, sock: socket.socket, context: RequestContext) -> None:
        self._sock = sock
        self._context = context
        self._loop = gevent.get_hub().loop
        self._timer: Any = None
        self._readable = self._loop.io(sock.fileno(), _READABLE)
        self._readable.start(self._check)

    def close(self) -> None:
        """Watch no longer."""
        self._readable.stop()
        self._readable.close()
        if self._timer is not None:
            self._timer.stop()
            self._timer.close()

    def _check(self) -> None:
        self._readable.stop()
        if peer_has_closed(self._sock):
            self._context.client_gone = True
            self._context.wake.set()
        elif self._timer is None:
            self._timer = self._loop.timer(HANG_UP_CHECK_SECONDS, HANG_UP_CHECK_SECONDS)
            self._timer.start(self._check)
