"""The HTTP server of the admin port: one request per connection, answered within a second even under load.

Each connection has its own greenlet. A request that is incomplete after READ_TIMEOUT_S gets 408, so that slow
clients do not occupy connections. Complete requests go to the owner's queue; without a response from the
owner within OWNER_TIMEOUT_S the answer is 503.
"""

import contextlib
import errno
import json
from http import HTTPStatus

import gevent
import httptools
from gevent import socket
from gevent.event import AsyncResult

from ashlift.gatekeeper.jobs import Command, Inbox
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.operations.admin_handler import JSON_TYPE, AdminResponse
from ashlift.gatekeeper.operations.admin_request import AdminRequest, RequestError, parse_request

READ_TIMEOUT_S = 0.5  # from accepting the connection to the end of the request
OWNER_TIMEOUT_S = 0.3
WRITE_TIMEOUT_S = 0.15  # short: a response fits into the socket's send buffer
READ_SIZE = 16384  # bytes
MAX_HEAD_BYTES = 8 * 1024  # request line and headers
MAX_BODY_BYTES = 64 * 1024  # bodies are read and ignored
MAX_CONNECTIONS = 24  # further ones are answered 503 without being read
BACKLOG = 64


class AdminServer:
    """Listens on the admin address and puts each request into the owner's queue."""

    def __init__(self, inbox: Inbox, metrics: Metrics) -> None:
        self._inbox, self._metrics = inbox, metrics
        self.open = 0

    def listen(self, address: tuple[str, int]) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
        return sock

    def run(self, listener: socket.socket) -> None:
        """Accepts connections until the listener is closed."""
        while True:
            try:
                sock, _ = listener.accept()
            except OSError as error:
                if error.errno == errno.EBADF:
                    return
                self._metrics.add("door.accept_failed")
                gevent.sleep(0.01)
                continue
            self._metrics.add("door.accepted")
            if self.open >= MAX_CONNECTIONS:
                self._metrics.add("door.full")
                gevent.spawn(
                    self._send_response,
                    sock,
                    _error_response(HTTPStatus.SERVICE_UNAVAILABLE, "the door is full"),
                )
                continue
            self.open += 1
            gevent.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        try:
            response = self._receive(sock)
            self._metrics.add(f"door.answered_{int(response.status)}")
            self._send_response(sock, response)
        finally:
            self.open -= 1

    def _receive(self, sock: socket.socket) -> AdminResponse:
        message = _RequestMessage()
        parser = httptools.HttpRequestParser(message)
        try:
            with gevent.Timeout(READ_TIMEOUT_S):
                while not message.complete:
                    data = sock.recv(READ_SIZE)
                    if not data:
                        return _error_response(HTTPStatus.BAD_REQUEST, "the call ended before it was whole")
                    parser.feed_data(data)
                    if message.expects_continue and not message.sent_continue:
                        message.sent_continue = True
                        sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        except gevent.Timeout:
            return _error_response(HTTPStatus.REQUEST_TIMEOUT, "the call was not whole in time")
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__
            if isinstance(cause, RequestError):
                return _error_response(cause.status, cause.reason)
            return _error_response(HTTPStatus.BAD_REQUEST, "not an HTTP/1.1 call")
        except OSError:
            return _error_response(HTTPStatus.BAD_REQUEST, "the call broke off")
        try:
            request = parse_request(parser.get_method(), message.target)
        except RequestError as error:
            return _error_response(error.status, error.reason, error.allow)
        return self._ask_owner(request)

    def _ask_owner(self, request: AdminRequest) -> AdminResponse:
        result: AsyncResult[AdminResponse] = AsyncResult()
        self._inbox.put(Command(request, result.set))
        try:
            response = result.get(timeout=OWNER_TIMEOUT_S)
        except gevent.Timeout:
            response = None
        if response is None:
            self._metrics.add("door.owner_late")
            return _error_response(HTTPStatus.SERVICE_UNAVAILABLE, "no word from the owner in time")
        return response

    def _send_response(self, sock: socket.socket, response: AdminResponse) -> None:
        """Writes the response and closes; unread bytes of the request are dropped."""
        allow = b"" if not response.allow else b"Allow: %b\r\n" % ", ".join(response.allow).encode()
        head = b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\n%bConnection: close\r\n\r\n" % (
            response.status,
            response.status.phrase.encode(),
            response.content_type.encode(),
            len(response.body),
            allow,
        )
        with contextlib.suppress(OSError, gevent.Timeout), gevent.Timeout(WRITE_TIMEOUT_S):
            sock.sendall(head + response.body)
            sock.shutdown(socket.SHUT_WR)
        sock.close()


def _error_response(status: HTTPStatus, reason: str, allow: tuple[str, ...] = ()) -> AdminResponse:
    return AdminResponse(status, json.dumps({"error": reason}).encode() + b"\n", JSON_TYPE, allow)


class _RequestMessage:
    """Collects the callbacks of httptools for one request."""

    def __init__(self) -> None:
        self.target = b""
        self.head_bytes = self.body_bytes = 0
        self.complete = self.expects_continue = self.sent_continue = False

    def on_url(self, url: bytes) -> None:
        self.target += url
        self._add_to_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._add_to_head(len(name) + len(value))
        if name.lower() == b"expect" and value.strip().lower() == b"100-continue":
            self.expects_continue = True

    def on_body(self, body: bytes) -> None:
        self.body_bytes += len(body)
        if self.body_bytes > MAX_BODY_BYTES:
            raise RequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the call's body is too long")

    def on_message_complete(self) -> None:
        self.complete = True

    def _add_to_head(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > MAX_HEAD_BYTES:
            raise RequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the call's head is too long")
