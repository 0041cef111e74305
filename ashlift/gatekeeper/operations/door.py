"""The operators' door: one call per connection, answered within a second, whatever the load.

Each connection has a greenlet and one deadline: a call that is not whole within READ_S gets 408, so that
callers who send nothing or half a call hold nothing up for long. A whole call goes to the owner's queue; if
no word comes within OWNER_S it is answered 503. Every answer ends its connection.
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
from ashlift.gatekeeper.operations.calls import Call, CallError, route
from ashlift.gatekeeper.operations.operator import JSON, Said

READ_S = 0.5  # from the accept to the end of a call
OWNER_S = 0.3  # for the owner's word
WRITE_S = 0.15  # to write an answer: it fits into any socket's buffer
HEAD_MOST = 8 * 1024  # bytes of request line and headers
BODY_MOST = 64 * 1024  # of a body, which is read and passed over
OPEN_MOST = 24  # connections at once; one more is answered 503 at once
BACKLOG = 64


class Door:
    """Listens on the operators' address and puts each call into the owner's queue."""

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
        """Accept for ever."""
        while True:
            try:
                sock, _ = listener.accept()
            except OSError as error:
                if error.errno == errno.EBADF:
                    return  # closed at the end
                self._metrics.add("door.accept_failed")
                gevent.sleep(0.01)
                continue
            self._metrics.add("door.accepted")
            if self.open >= OPEN_MOST:
                self._metrics.add("door.full")
                gevent.spawn(self._end, sock, _said(HTTPStatus.SERVICE_UNAVAILABLE, "the door is full"))
                continue
            self.open += 1
            gevent.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        try:
            said = self._answer(sock)
            self._metrics.add(f"door.answered_{int(said.status)}")
            self._end(sock, said)
        finally:
            self.open -= 1

    def _answer(self, sock: socket.socket) -> Said:
        call = _Call()
        parser = httptools.HttpRequestParser(call)
        try:
            with gevent.Timeout(READ_S):
                while not call.whole:
                    data = sock.recv(16384)
                    if not data:
                        return _said(HTTPStatus.BAD_REQUEST, "the call ended before it was whole")
                    parser.feed_data(data)
                    if call.continuing and not call.continued:
                        call.continued = True
                        sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        except gevent.Timeout:
            return _said(HTTPStatus.REQUEST_TIMEOUT, "the call was not whole in time")
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__
            if isinstance(cause, CallError):
                return _said(cause.status, cause.why)
            return _said(HTTPStatus.BAD_REQUEST, "not an HTTP/1.1 call")
        except OSError:
            return _said(HTTPStatus.BAD_REQUEST, "the call broke off")
        try:
            asked = route(parser.get_method(), call.target)
        except CallError as error:
            return _said(error.status, error.why, error.allow)
        return self._ask(asked)

    def _ask(self, asked: Call) -> Said:
        word: AsyncResult[Said] = AsyncResult()
        self._inbox.put(Command(asked, word.set))
        try:
            said = word.get(timeout=OWNER_S)
        except gevent.Timeout:
            said = None
        if said is None:
            self._metrics.add("door.owner_late")
            return _said(HTTPStatus.SERVICE_UNAVAILABLE, "no word from the owner in time")
        return said

    def _end(self, sock: socket.socket, said: Said) -> None:
        """Write the answer and close; the rest of what was sent is not read."""
        allow = b"" if not said.allow else b"Allow: %b\r\n" % ", ".join(said.allow).encode()
        head = b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\n%bConnection: close\r\n\r\n" % (
            said.status,
            said.status.phrase.encode(),
            said.kind.encode(),
            len(said.body),
            allow,
        )
        with contextlib.suppress(OSError, gevent.Timeout), gevent.Timeout(WRITE_S):
            sock.sendall(head + said.body)
            sock.shutdown(socket.SHUT_WR)
        sock.close()


def _said(status: HTTPStatus, why: str, allow: tuple[str, ...] = ()) -> Said:
    return Said(status, json.dumps({"error": why}).encode() + b"\n", JSON, allow)


class _Call:
    """What httptools gives of one call."""

    def __init__(self) -> None:
        self.target = b""
        self.head = self.body = 0
        self.whole = self.continuing = self.continued = False

    def on_url(self, url: bytes) -> None:
        self.target += url
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count(len(name) + len(value))
        if name.lower() == b"expect" and value.strip().lower() == b"100-continue":
            self.continuing = True

    def on_body(self, body: bytes) -> None:
        self.body += len(body)
        if self.body > BODY_MOST:
            raise CallError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the call's body is too long")

    def on_message_complete(self) -> None:
        self.whole = True

    def _count(self, more: int) -> None:
        self.head += more
        if self.head > HEAD_MOST:
            raise CallError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the call's head is too long")
