"""The platform's front: client connections, HTTP in, jobs to the owner's queue, answers back."""

import contextlib
import errno
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import gevent
import httptools
from gevent import socket
from gevent.event import Event
from gevent.pool import Pool
from gevent.queue import SimpleQueue

from ashlift.config import Names, customer_name
from ashlift.jobs import Answer, Clock, Inbox, Job, Left, Verdict
from ashlift.metrics import Metrics
from ashlift.net.nodes import Cargo

HEAD_MOST = 16 * 1024  # bytes of request line and headers
BODY_MOST = 64 * 1024
WAITING_MOST = 4  # requests read ahead on one connection: clients send one at a time
HALF_S = 10.0  # a request that has begun must be whole by then
LINGER_MS = 1000.0  # the rest of a request that was answered unread is thrown away for so long
WRITE_S = 5.0  # a client that takes no bytes for so long is gone
BACKLOG = 1024


@dataclass(slots=True)
class _Asked:
    """One request as it comes off the wire; `wrong` is the status that its sender gets instead."""

    target: bytes = b""
    method: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: list[bytes] = field(default_factory=list)
    size: int = 0  # of the body
    head: int = 0  # of the headers
    keep: bool = True
    came_ms: float = 0.0
    wrong: HTTPStatus | None = None


class BadRequestError(Exception):
    """What a client sent cannot be taken; carries the status to answer with."""

    def __init__(self, status: HTTPStatus) -> None:
        super().__init__(status)
        self.status = status


class Front:
    """Listens, and knows every open client connection."""

    def __init__(self, names: Names, most: int, ready: Callable[[], bool], clock: Clock, inbox: Inbox,
                 metrics: Metrics) -> None:  # fmt: skip
        self.names, self.ready, self.clock, self.inbox, self.metrics = names, ready, clock, inbox, metrics
        self.closing = False
        self._pool = Pool(most)
        self._connections: set[_Connection] = set()

    @property
    def open(self) -> int:
        return len(self._connections)

    def listen(self, address: tuple[str, int]) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
        return sock

    def run(self, listener: socket.socket) -> None:
        """Accept for ever. The pool bounds the connections: beyond it they wait in the backlog."""
        while True:
            self._pool.wait_available()
            try:
                sock, _ = listener.accept()
            except OSError as error:
                if error.errno == errno.EBADF:
                    return  # closed at the end
                self.metrics.add("clients.accept_failed")
                gevent.sleep(0.01)  # out of descriptors: some come free soon
                continue
            self.metrics.add("clients.accepted")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = _Connection(self, sock)
            self._connections.add(connection)
            self._pool.spawn(self._serve, connection)

    def _serve(self, connection: "_Connection") -> None:
        try:
            connection.read()
        finally:
            self._connections.discard(connection)

    def close(self) -> None:
        """From now on connections end between requests: those at rest now, the others with their answer."""
        self.closing = True
        for connection in list(self._connections):
            connection.rest()

    def job(self, asked: _Asked, reply: Callable[[Answer], None]) -> Job:
        """What a request asks of the core; raises BadRequestError."""
        names, headers = self.names, asked.headers
        kind = names.classes.get(headers.get(b"x-qos", b""))
        first = asked.target.split(b"?", 1)[0].split(b"/", 2)[1:2]
        if not first or first[0] not in names.classes:
            raise BadRequestError(HTTPStatus.NOT_FOUND)
        plan, trace = names.plans.get(headers.get(b"api-plan", b"")), headers.get(b"x-trace-id", b"")
        if kind is None or names.classes[first[0]] != kind or plan is None or not trace:
            raise BadRequestError(HTTPStatus.BAD_REQUEST)
        try:
            customer = customer_name(headers[b"api-customer"].decode())
            patience = float(headers[b"x-expires-in"]) * 1000
            listed = headers.get(b"api-terms", b"").split(b",")
            terms = dict(part.strip().split(b"=", 1) for part in listed if part)
            units, spread = float(terms.get(b"units", 1)), int(terms.get(b"spread", 1))
        except (ValueError, KeyError):
            raise BadRequestError(HTTPStatus.BAD_REQUEST) from None
        if not (0 <= patience < 1e9 and 0 < units <= names.max_units and 1 <= spread <= names.group_size):
            raise BadRequestError(HTTPStatus.BAD_REQUEST)
        cargo = Cargo(asked.method, asked.target, trace, b"".join(asked.body))
        return Job(kind, plan, customer, patience, asked.came_ms, reply, cargo, units, spread,
                   retry=headers.get(b"x-second-try") == b"1")  # fmt: skip


class _Connection:
    """One client connection: this greenlet reads, a second one writes the answers in order."""

    def __init__(self, front: Front, sock: socket.socket) -> None:
        self._front, self._sock = front, sock
        self._parser = httptools.HttpRequestParser(self)
        self._asked: _Asked | None = None  # being read
        self._head = 0
        self._waiting: deque[_Asked] = deque()  # read ahead
        self._current: _Asked | None = None  # being answered
        self._job: Job | None = None
        self._out: SimpleQueue[Answer | HTTPStatus | None] = SimpleQueue()
        self._gone = False
        self._deaf = False  # a request could not be read: nothing more is taken in here
        self._linger: Any = None  # the timer that ends a connection which is deaf
        self._room = Event()
        self._room.set()

    # ---- reading

    def read(self) -> None:
        writer = gevent.spawn(self._write)
        try:
            while self._take():
                self._room.wait()
        except (OSError, gevent.Timeout):
            pass
        finally:
            self._gone = True
            if self._job is not None:
                self._front.metrics.add("clients.left")
                self._front.inbox.put(Left(self._job))
            self._out.put(None)
            writer.join()
            if self._linger is not None:
                self._linger.close()
            self._sock.close()

    def _take(self) -> bool:
        """Read once; whether to go on."""
        if self._asked is None:
            data = self._sock.recv(65536)
        else:
            # From its first byte on: one that comes in drop by drop does not hold its place for ever.
            with gevent.Timeout(max(0.001, HALF_S - (self._front.clock.now() - self._asked.came_ms) / 1000)):
                data = self._sock.recv(65536)
        if not data:
            return False
        if self._deaf:
            return True
        try:
            self._head += len(data)
            self._parser.feed_data(data)
            if self._asked is not None and self._head - self._asked.size > HEAD_MOST:
                raise BadRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        except BadRequestError as bad:
            self._refuse(bad.status)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # A callback's own BadRequestError comes wrapped by the parser.
            cause = error.__context__
            self._refuse(cause.status if isinstance(cause, BadRequestError) else HTTPStatus.BAD_REQUEST)
        return True

    def _refuse(self, status: HTTPStatus) -> None:
        """Answer what cannot be read once all before it is answered, and end; nothing after it is read."""
        self._front.metrics.add(f"requests.bad_{int(status)}")
        self._asked = None
        self._deaf = True
        self._arrived(_Asked(wrong=status, keep=False))

    # httptools calls these

    def on_message_begin(self) -> None:
        self._asked = _Asked(came_ms=self._front.clock.now())

    def on_url(self, url: bytes) -> None:
        assert self._asked is not None
        self._asked.target += url
        if len(self._asked.target) > HEAD_MOST:
            raise BadRequestError(HTTPStatus.REQUEST_URI_TOO_LONG)

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self._asked is not None
        self._asked.headers[name.lower()] = value.strip()
        self._asked.head += len(name) + len(value)
        if self._asked.head > HEAD_MOST:
            raise BadRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_body(self, body: bytes) -> None:
        assert self._asked is not None
        self._asked.body.append(body)
        self._asked.size += len(body)
        if self._asked.size > BODY_MOST:
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        asked, self._asked = self._asked, None
        assert asked is not None
        asked.method, asked.keep = self._parser.get_method(), self._parser.should_keep_alive()
        # The loop noted when it woke: what this request lay unread since then is off the client's patience.
        unread = max(0.0, time.time() - gevent.get_hub().loop.now())
        asked.came_ms = self._front.clock.now() - 1000 * unread
        self._head = 0
        self._arrived(asked)

    # ---- one request after another

    def _arrived(self, asked: _Asked) -> None:
        if self._current is not None:
            self._waiting.append(asked)
            if len(self._waiting) >= WAITING_MOST:
                self._room.clear()
            return
        self._current = asked
        if asked.wrong is not None:
            self._out.put(asked.wrong)
        elif asked.target == b"/up":
            self._out.put(HTTPStatus.OK if self._front.ready() else HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            try:
                self._job = self._front.job(asked, self._out.put)
            except BadRequestError as bad:
                self._front.metrics.add(f"requests.bad_{int(bad.status)}")
                self._out.put(bad.status)
            else:
                self._front.inbox.put(self._job)

    def _next(self) -> None:
        if self._waiting:
            asked = self._waiting.popleft()
            self._room.set()
            self._arrived(asked)

    def rest(self) -> None:
        """End the connection if nothing is asked on it: its reader then sees the end."""
        if self._current is None and self._asked is None:
            self._end()

    def _end(self) -> None:
        """Guards against an error answer that its client never sees: to close while the rest of an oversized
        request comes in would reset the connection, so that rest is read and thrown away for a while."""
        if self._deaf:
            self._shut(socket.SHUT_WR)
            self._linger = self._front.clock.later(LINGER_MS, self._shut, socket.SHUT_RDWR)
        else:
            self._shut(socket.SHUT_RDWR)

    def _shut(self, how: int) -> None:
        with contextlib.suppress(OSError):
            self._sock.shutdown(how)

    # ---- writing

    def _write(self) -> None:
        while (answer := self._out.get()) is not None:
            if self._gone:
                continue
            assert self._current is not None
            keep = self._current.keep and not (self._front.closing and not self._waiting)
            try:
                with gevent.Timeout(WRITE_S):
                    self._sock.sendall(render(answer, keep))
            except (OSError, gevent.Timeout):
                self._front.metrics.add("clients.unwritable")
                keep = False
            self._current = self._job = None
            if not keep:
                self._waiting.clear()  # what was read ahead is not begun
                self._room.set()
                return self._end()
            self._next()


REASON = {Verdict.REFUSED: HTTPStatus.TOO_MANY_REQUESTS, Verdict.FAILED: HTTPStatus.BAD_GATEWAY}


def render(answer: Answer | HTTPStatus, keep: bool) -> bytes:
    """The bytes of one answer. A requeue notice says when to come back, as the module advises."""
    end = b"" if keep else b"Connection: close\r\n"
    if isinstance(answer, Answer) and answer.verdict in (Verdict.SERVED, Verdict.PASSED):
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%b\r\n%b" % (len(answer.body), end, answer.body)
    status = REASON[answer.verdict] if isinstance(answer, Answer) else answer
    if isinstance(answer, Answer) and answer.retry_after_ms > 0:
        end += b"Retry-After: %.3f\r\n" % (answer.retry_after_ms / 1000)
    return b"HTTP/1.1 %d %b\r\nContent-Length: 0\r\n%b\r\n" % (status, status.phrase.encode(), end)
