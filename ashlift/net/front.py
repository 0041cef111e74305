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
from gevent.queue import SimpleQueue

from ashlift.config import Names, customer_name
from ashlift.jobs import Answer, Clock, Inbox, Job, Left, Verdict
from ashlift.metrics import Metrics
from ashlift.net.links import quiet
from ashlift.net.nodes import Cargo

HEAD_MOST = 16 * 1024  # bytes of request line and headers
BODY_MOST = 64 * 1024
WAITING_MOST = 4  # requests read ahead on one connection: clients send one at a time
SILENT_S = 2.2  # a connection on which nothing was ever asked ends then: its sender is owed a word within 3 s
HALF_S = 2.0  # a request that has begun must be whole by then
LINGER_MS = 1000.0  # the rest of a request that was answered unread is thrown away for so long
LINGER_MOST = 256 * 1024  # bytes, and up to so many
WRITE_S = 3.0  # a client that takes no bytes for so long is gone
FULL_S = 0.02  # when all places are taken by jobs, one is looked for so often
SPARE_SILENT_MS = 100.0  # while places are short: clients that mean to ask do so once they are connected
SPARE_HALF_MS = 500.0  # and send their requests in one piece
BACKLOG = 1024
# Headers that mean something here: repeated, nobody can tell which one holds.
ONCE = {b"x-qos", b"api-plan", b"api-customer", b"api-terms", b"x-trace-id", b"x-expires-in", b"x-second-try"}


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

    def __init__(self, names: Names, most: int, idle_most: int, ready: Callable[[], bool], clock: Clock,
                 inbox: Inbox, metrics: Metrics) -> None:  # fmt: skip
        self.names, self.ready, self.clock, self.inbox, self.metrics = names, ready, clock, inbox, metrics
        self.closing = False
        self.traces: set[bytes] = set()  # of open jobs
        self.idle: dict[_Connection, None] = {}  # connections that are owed nothing, the longest idle first
        self._most, self._idle_most = most, idle_most
        self._freed = Event()
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
        """Accept for ever, within the bound of connections."""
        while True:
            if len(self.idle) > self._idle_most:
                # Guards against clients that are kept from asking by others who only stay: all that clients
                # hold counts towards what they may hold.
                self._put_one_out()
            while self.open >= self._most:
                self._put_one_out()
                self._freed.clear()
                self._freed.wait(FULL_S)
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
            gevent.spawn(self._serve, connection)

    def _put_one_out(self) -> None:
        """Guards against places held by those who ask nothing while others wait: the longest idle connection
        ends, if there is one that may."""
        now = self.clock.now()
        spare = next((connection for connection in self.idle if connection.spare(now)), None)
        if spare is not None:
            self.metrics.add("clients.put_out")
            spare.put_out()

    def _serve(self, connection: "_Connection") -> None:
        try:
            connection.read()
        finally:
            self._connections.discard(connection)
            self.idle.pop(connection, None)
            self._freed.set()

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
            start = int(terms.get(b"first", 0))
        except (ValueError, KeyError):
            raise BadRequestError(HTTPStatus.BAD_REQUEST) from None
        in_set = 1 <= spread <= names.group_size and 0 <= start < names.group_size
        if not (0 <= patience < 1e9 and 0 < units <= names.max_units and in_set):
            raise BadRequestError(HTTPStatus.BAD_REQUEST)
        if trace in self.traces:
            # Guards against a second copy at the nodes while the first is out.
            raise BadRequestError(HTTPStatus.CONFLICT)
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
        self._thrown = 0  # bytes that came since
        self._answered = False  # anything, yet
        self._since = front.clock.now()  # when it began to be idle, or the request that is being read began
        front.idle[self] = None
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
                self._done()
            self._out.put(None)
            writer.join()
            if self._linger is not None:
                self._linger.close()
            self._sock.close()

    def _take(self) -> bool:
        """Read once; whether to go on. One who never asks, or asks drop by drop, does not hold a place."""
        if self._asked is not None:
            most = HALF_S
        elif self._answered or self._current is not None:
            most = None
        else:
            most = SILENT_S
        left = None if most is None else max(0.001, most - (self._front.clock.now() - self._since) / 1000)
        try:
            with gevent.Timeout(left):
                data = self._sock.recv(65536)
        except gevent.Timeout:
            if self._asked is None:
                self._front.metrics.add("clients.silent")
                return False
            # Behind what is still owed here: guards against an answer lost with the connection.
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)
            return True
        if not data:
            return False
        if self._deaf:
            self._thrown += len(data)
            return self._thrown <= LINGER_MOST or self._current is not None
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
        self._front.idle.pop(self, None)
        self._arrived(_Asked(wrong=status, keep=False))

    # httptools calls these

    def on_message_begin(self) -> None:
        self._asked = _Asked()
        self._begin_idle()

    def on_url(self, url: bytes) -> None:
        assert self._asked is not None
        self._asked.target += url
        if len(self._asked.target) > HEAD_MOST:
            raise BadRequestError(HTTPStatus.REQUEST_URI_TOO_LONG)

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self._asked is not None
        name = name.lower()
        if name in self._asked.headers and name in ONCE:
            raise BadRequestError(HTTPStatus.BAD_REQUEST)
        self._asked.headers[name] = value.strip()
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
        self._front.idle.pop(self, None)
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
                self._front.traces.add(self._job.cargo.trace)
                self._front.inbox.put(self._job)

    def _next(self) -> None:
        if self._waiting:
            asked = self._waiting.popleft()
            self._room.set()
            self._arrived(asked)

    def _done(self) -> None:
        if self._job is not None:
            self._front.traces.discard(self._job.cargo.trace)
        self._current = self._job = None

    # ---- idle

    def _begin_idle(self) -> None:
        """From now on, unless an answer is owed here, this connection is the youngest of the idle ones."""
        self._since = self._front.clock.now()
        self._front.idle.pop(self, None)
        if self._current is None and not self._deaf:
            self._front.idle[self] = None

    def spare(self, now: float) -> bool:
        """Whether this idle connection may end to make room. Nothing must lie unread on it: the client has
        asked then. A first request that is cut off has failed, so those who may be about to ask have time."""
        young = 0.0 if self._answered else SPARE_SILENT_MS
        least = young if self._asked is None else SPARE_HALF_MS
        return now - self._since >= least and quiet(self._sock)

    def put_out(self) -> None:
        self._front.idle.pop(self, None)
        self._shut(socket.SHUT_RDWR)

    def rest(self) -> None:
        """End the connection if nothing is asked on it: its reader then sees the end."""
        if self._current is None and self._asked is None and quiet(self._sock):
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
            self._done()
            self._answered = True
            if self._gone:
                continue  # nothing read ahead is begun for a client that has left
            if not keep:
                self._waiting.clear()  # what was read ahead is not begun
                self._room.set()
                return self._end()
            self._next()
            if self._current is None:
                self._begin_idle()


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
