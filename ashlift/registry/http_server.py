"""Outside calls: HTTP/1.1 on httptools, one greenlet a connection, bounded in size and time."""

import json
import time
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import parse_qs

import attrs
import gevent
import httptools
from gevent import socket
from gevent.server import StreamServer

from ashlift.rpc.addresses import Address
from ashlift.rpc.sockets import configure_socket

MAX_HEAD_BYTES = 32 << 10  # bytes of target and headers
MAX_BODY_BYTES = 64 << 10  # bytes, where a resource does not say otherwise
REQUEST_READ_TIMEOUT_SECONDS = 10.0  # s from a request's first byte to its last
IDLE_CONNECTION_TIMEOUT_SECONDS = 30.0  # s that a connection may wait for its next request
STALL_CHECK_INTERVAL_SECONDS = 0.1  # s between two signs that the process runs
STALL_THRESHOLD_SECONDS = 0.3  # s without one: it has stood still
STALL_RECOVERY_SECONDS = 0.3  # s after a stand in which what waited meanwhile is taken
STATUSES = {
    200: "OK",
    202: "Accepted",
    307: "Temporary Redirect",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    412: "Precondition Failed",
    413: "Content Too Large",
    422: "Unprocessable Content",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}


@attrs.define
class HttpRequest:
    """One call, read whole. `segments`: the path's, without the first; `headers` by lower-case name."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    not_written_before: float = attrs.field(
        default=0.0, eq=False
    )  # steady time before which it was not written

    @property
    def segments(self) -> list[str]:
        return self.path.split("/")[2:]


class StallDetector:
    """Whether the process has run without a stand, for what it finds in the kernel's buffers. Pure; s."""

    def __init__(self, now: float) -> None:
        self._beat = now
        self._still = (-STALL_RECOVERY_SECONDS, -STALL_RECOVERY_SECONDS)  # the last stand

    def beat(self, now: float) -> None:
        if now - self._beat > STALL_THRESHOLD_SECONDS:
            self._still = (self._beat, now)
        self._beat = now

    def earliest_write(self, now: float) -> float:
        """Since when a connection that is taken now may have waited for it."""
        self.beat(now)
        began, ended = self._still
        return began if now - ended < STALL_RECOVERY_SECONDS else now


@attrs.frozen
class HttpResponse:
    """A status and a JSON value; `retry_after` in s; `location`: where to send the call again."""

    status: int
    body: Any = attrs.field(factory=dict)
    retry_after: float | None = None
    location: str = ""

    def wire(self, close: bool) -> bytes:
        body = json.dumps(self.body, separators=(",", ":")).encode()
        head = f"HTTP/1.1 {self.status} {STATUSES.get(self.status, 'Status')}\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        if self.retry_after is not None:
            head += f"Retry-After: {self.retry_after:g}\r\n"
        if self.location:
            head += f"Location: {self.location}\r\n"
        if close:
            head += "Connection: close\r\n"
        return head.encode() + b"\r\n" + body


def error_response(status: int, why: str, retry_after: float | None = None) -> HttpResponse:
    return HttpResponse(status, {"error": why}, retry_after)


Take = Callable[[HttpRequest], HttpResponse]


class Resource:
    """Takes the calls of one resource: its methods `put`, `get`, ... are what may be called."""

    max_body_bytes = MAX_BODY_BYTES

    def take(self, request: HttpRequest) -> HttpResponse:
        method = getattr(self, request.method.lower(), None) if request.method in METHODS else None
        return method(request) if method else error_response(405, f"no {request.method} here")


METHODS = frozenset(("GET", "PUT", "PATCH", "POST", "DELETE"))


class RequestParser:
    """The parser's callbacks: whole requests come to `done`; `wrong` is the answer to one that cannot be."""

    def __init__(self, max_body_bytes: Callable[[str], int]) -> None:
        self.done: list[tuple[HttpRequest, bool]] = []
        self.wrong: HttpResponse | None = None
        self.under_way = self.expects = False
        self._body_most = max_body_bytes
        self.parser = httptools.HttpRequestParser(self)

    def on_message_begin(self) -> None:
        self.under_way, self.expects = True, False
        self._url, self._body, self._headers = b"", bytearray(), dict[str, str]()
        self._size, self._most = 0, 0

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._count(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")
        self._count(name + value)

    def _count(self, data: bytes) -> None:
        self._size += len(data) + 4
        if self._size > MAX_HEAD_BYTES:
            self.wrong = error_response(431, f"more than {MAX_HEAD_BYTES} bytes of headers")

    def on_headers_complete(self) -> None:
        self._path, _, self._query = self._url.decode("latin-1").partition("?")
        self._most = self._body_most(self._path)
        length = self._headers.get("content-length", "0")
        if length.isdigit() and int(length) > self._most:
            self.wrong = error_response(413, f"more than {self._most} bytes")
        self.expects = self._headers.get("expect", "").lower() == "100-continue"

    def on_body(self, data: bytes) -> None:
        self.expects = False
        if len(self._body) + len(data) > self._most:
            self.wrong = error_response(413, f"more than {self._most} bytes")
        else:
            self._body += data

    def on_message_complete(self) -> None:
        self.under_way = self.expects = False
        query = {key: values[-1] for key, values in parse_qs(self._query).items()}
        method = self.parser.get_method().decode("latin-1")
        request = HttpRequest(method, self._path, query, self._headers, bytes(self._body))
        self.done.append((request, self.parser.should_keep_alive()))

    def feed(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.wrong = self.wrong or error_response(400, f"not HTTP: {error}")


class HttpServer:
    """Listens at one address; `resources` by the first segment of the path."""

    def __init__(self, address: Address, resources: Mapping[str, Resource]) -> None:
        self._resources = resources
        self._open: dict[socket.socket, bool] = {}  # connection -> whether a call is at work on it
        self.is_shutting_down = False
        self._awake = StallDetector(time.monotonic())
        self._server = StreamServer(address, self._connection, backlog=1024)
        self._server.reuse_addr = 1  # type: ignore[misc]

    def start(self) -> None:
        """Raises OSError where the address cannot be had."""
        self._server.start()
        gevent.spawn(self._beats)

    def _beats(self) -> None:
        while not self.is_shutting_down:
            self._awake.beat(time.monotonic())
            gevent.sleep(STALL_CHECK_INTERVAL_SECONDS)

    def shut_down(self) -> None:
        """Take no connection and no call more; what is at work is answered."""
        self.is_shutting_down = True
        self._server.close()
        for sock, busy in list(self._open.items()):
            if not busy:
                sock.close()

    @property
    def busy(self) -> bool:
        return any(self._open.values())

    def _resource(self, path: str) -> Resource | None:
        return self._resources.get(path.partition("/")[2].partition("/")[0])

    def _body_most(self, path: str) -> int:
        resource = self._resource(path)
        return resource.max_body_bytes if resource else MAX_BODY_BYTES

    def _answer(self, request: HttpRequest) -> HttpResponse:
        resource = self._resource(request.path)
        return resource.take(request) if resource else error_response(404, f"nothing at {request.path[:100]}")

    def _connection(self, sock: socket.socket, _: Address) -> None:
        self._open[sock] = False
        try:
            configure_socket(sock)
            self._serve(sock)
        except OSError:
            pass
        finally:
            del self._open[sock]
            sock.close()

    def _serve(self, sock: socket.socket) -> None:
        reading, began = RequestParser(self._body_most), 0.0
        since = self._awake.earliest_write(
            time.monotonic()
        )  # nobody writes a call before the connection is there
        while not self.is_shutting_down:
            left = (
                began + REQUEST_READ_TIMEOUT_SECONDS - time.monotonic()
                if reading.under_way
                else IDLE_CONNECTION_TIMEOUT_SECONDS
            )
            sock.settimeout(max(0.01, left))
            try:
                data = sock.recv(65536)
            except TimeoutError:
                if reading.under_way:
                    self._refuse(
                        sock, error_response(408, f"not whole within {REQUEST_READ_TIMEOUT_SECONDS:g} s")
                    )
                return
            if not data:
                return
            if not reading.under_way:
                began = time.monotonic()
            reading.feed(data)
            self._open[sock] = True
            for request, keep in reading.done:
                request.not_written_before = since
                answer = self._answer(request)
                keep = keep and not self.is_shutting_down
                sock.settimeout(REQUEST_READ_TIMEOUT_SECONDS)
                answered = time.monotonic()
                sock.sendall(answer.wire(not keep))
                if not keep:
                    return
            self._open[sock] = False
            if reading.done:
                since = answered  # the next call is written after this one's answer
            reading.done.clear()
            if reading.wrong:
                return self._refuse(sock, reading.wrong)
            if reading.expects:
                reading.expects = False
                sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")

    @staticmethod
    def _refuse(sock: socket.socket, answer: HttpResponse) -> None:
        """Answer and end; what still comes is read for a moment, or closing would reset the answer."""
        sock.settimeout(0.5)
        sock.sendall(answer.wire(True))
        sock.shutdown(socket.SHUT_WR)
        until = time.monotonic() + 0.5
        while time.monotonic() < until and sock.recv(65536):
            pass
