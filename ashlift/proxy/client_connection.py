"""One client's connection: requests read within the limits, responses written in order."""

import contextlib
import time
from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent import socket

from ashlift.config.object_schema import ClientLimits
from ashlift.events import WARNING, log_event
from ashlift.gatekeeper.net.links import hung_up
from ashlift.proxy import events
from ashlift.proxy.request_handler import RequestContext, RequestHandler
from ashlift.proxy.request_ledger import RequestEnd
from ashlift.proxy.request_reader import ClientRequest, RequestReader
from ashlift.proxy.responses import ClientResponse, render

WRITE_TIMEOUT_SECONDS: Final = 5.0  # a client that accepts no bytes for so long is gone
BODY_TIMEOUT_SECONDS: Final = 10.0  # between two parts of a body
MIN_TIMEOUT_SECONDS: Final = 0.001
LINGER_SECONDS: Final = 1.0  # so that a client whose request was rejected sees the response before the end
HANG_UP_CHECK_SECONDS: Final = 0.05  # while the client's next request is already waiting to be read
RECEIVE_BYTES: Final = 65536
REQUEST_TIMEOUT_STATUS: Final = 408
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
        self._in_request = False
        self._last_attempt_id = b""
        self._is_closed_here = False
        self._client_gone = False

    def run(self) -> None:
        """Serve requests one after the other."""
        with contextlib.suppress(OSError, gevent.Timeout):
            while self._serve_request():
                pass

    def close_if_idle(self) -> None:
        """End the connection if no request is being received or processed."""
        if not self._in_request and self._reader.current is None:
            self._is_closed_here = True
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RD)

    def _serve_request(self) -> bool:
        """One request; whether the connection goes on."""
        limits = self._limits()
        self._reader.limits = limits
        request = self._read_request(limits)
        if request is None:
            return False
        self._in_request = True
        self._request_handler.ledger.request_received()
        end = RequestEnd.WRITE_FAILED
        try:
            response = self._handle(request)
            if response is None:
                end = self._unanswered_end()
                return False
            keep_alive = request.keep_alive and not self._is_draining()
            self._write(render(response, keep_alive, request.method == HEAD_METHOD))
            end = RequestEnd.ANSWERED
            return keep_alive
        finally:
            self._in_request = False
            self._record_end(end)

    def _unanswered_end(self) -> RequestEnd:
        """Why there is no response to the request that was processed last."""
        if self._is_closed_here:
            return RequestEnd.CLOSED_HERE
        return RequestEnd.CLIENT_GONE if self._client_gone else RequestEnd.REPEATED

    def _record_end(self, end: RequestEnd) -> None:
        self._request_handler.ledger.request_ended(end)
        if end is not RequestEnd.ANSWERED and self._is_draining():
            log_event(events.REQUEST_UNANSWERED, level=WARNING, reason=end.value)

    # ---- reading

    def _read_request(self, limits: ClientLimits) -> ClientRequest | None:
        """The next request; None: there is none, and the connection ends."""
        reader = self._reader
        if reader.complete and hung_up(self._sock):
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
        self._write(render(ClientResponse(status), keep_alive=False))
        with contextlib.suppress(OSError, gevent.Timeout), gevent.Timeout(LINGER_SECONDS):
            self._sock.shutdown(socket.SHUT_WR)
            while self._sock.recv(RECEIVE_BYTES):
                pass

    def _write(self, data: bytes) -> None:
        with gevent.Timeout(WRITE_TIMEOUT_SECONDS):
            self._sock.sendall(data)


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
        if hung_up(self._sock):
            self._context.client_gone = True
            self._context.wake.set()
        elif self._timer is None:
            self._timer = self._loop.timer(HANG_UP_CHECK_SECONDS, HANG_UP_CHECK_SECONDS)
            self._timer.start(self._check)
