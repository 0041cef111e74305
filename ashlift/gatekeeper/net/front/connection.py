"""The life of one client connection: this greenlet reads, a second one writes the answers in order."""

import contextlib
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Any, Protocol

import gevent
from gevent import socket
from gevent.event import Event
from gevent.queue import SimpleQueue

from ashlift.gatekeeper.config import RequestSchema
from ashlift.gatekeeper.jobs import Answer, Clock, Delivered, Inbox, Job, Left, Verdict
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.net.front.answers import CONTINUE, render
from ashlift.gatekeeper.net.front.asked import Asked, BadRequestError, job_of
from ashlift.gatekeeper.net.front.reader import RequestReader
from ashlift.gatekeeper.net.links import quiet
from ashlift.gatekeeper.operations.statsd_metrics import outcome_counter

WAITING_MOST = 4  # requests read ahead on one connection: clients send one at a time
SILENT_S = 2.2  # a connection on which nothing was ever asked ends then: its sender is owed a word within 3 s
HALF_S = 2.5  # a request's head must be whole so long after its first byte: a client may take 2 s over it
BODY_S = 2.5  # and its body so long after the head: 64 KiB at 64 kB/s, and room to spare
LINGER_MS = 1000.0  # the rest of a request that was answered unread is thrown away for so long
LINGER_MOST = 256 * 1024  # bytes, and up to so many
WRITE_S = 3.0  # a client that takes no bytes for so long is gone
SPARE_SILENT_MS = 100.0  # while places are short: clients that mean to ask do so once they are connected
SPARE_HALF_MS = 500.0  # and send their requests in one piece
Out = Answer | HTTPStatus | BadRequestError | bytes  # bytes: a word in between, which answers nothing


class Owner(Protocol):
    """What a connection needs of the front that accepted it."""

    names: RequestSchema
    ready: Callable[[], bool]
    clock: Clock
    inbox: Inbox
    metrics: Metrics
    closing: bool
    traces: set[bytes]
    idle: "dict[Any, None]"


class Connection:
    """One client connection on which nothing is streamed."""

    linger_most = LINGER_MOST

    def __init__(self, front: Owner, sock: socket.socket) -> None:
        self._front, self._sock = front, sock
        self._reader = RequestReader(self._begin_idle, self._arrived, None)
        self._waiting: deque[Asked] = deque()  # read ahead
        self._current: Asked | None = None  # being answered
        self._job: Job | None = None
        self._out: SimpleQueue[tuple[Asked, Out] | None] = SimpleQueue()
        self._gone = False
        self._deaf = False  # a request could not be read: nothing more is taken in here
        self._thrown = 0  # bytes that came since
        self._answered = False  # anything, yet
        self._since = front.clock.now()  # when it began to be idle, or the request that is being read began
        front.idle[self] = None
        self._linger: Any = None  # the timer that ends a connection which is deaf
        self._flowing: Any = None  # the Opening of an answer that passes on as it comes
        self._headed_at: float | None = None  # when the head of the request that is being read was whole
        self._room = Event()
        self._room.set()

    # ---- reading

    def read(self) -> None:
        """Read until the end of the connection."""
        writer = gevent.spawn(self._write)
        try:
            while self._step():
                self._room.wait()
        except (OSError, gevent.Timeout):
            pass
        finally:
            self._gone = True
            self._left()
            self._out.put(None)
            writer.join()
            if self._linger is not None:
                self._linger.close()
            self._sock.close()

    def _left(self) -> None:
        """The client is gone: what is open here is not wanted any more."""
        if self._flowing is not None:
            self._flowing.withdraw()  # wakes the writer, and the node's side ends
        if self._job is not None:
            self._front.metrics.add("clients.left")
            self._front.inbox.put(Left(self._job))
            self._done()

    def _step(self) -> bool:
        """Read once; whether to go on. One who never asks, or asks drop by drop, does not hold a place."""
        since = self._since
        if self._reader.asked is not None and not self._deaf:
            most: float | None = HALF_S if self._headed_at is None else BODY_S
            since = since if self._headed_at is None else self._headed_at
        elif self._answered or self._current is not None:
            most = None
        else:
            most = SILENT_S
        left = None if most is None else max(0.001, most - (self._front.clock.now() - since) / 1000)
        try:
            with gevent.Timeout(left):
                data = self._sock.recv(65536)
        except gevent.Timeout:
            if not quiet(self._sock):
                return True  # something came in the same turn of the event loop as the time-out
            if self._reader.asked is None:
                self._front.metrics.add("clients.silent")
                return False
            # Behind what is still owed here: guards against an answer lost with the connection.
            self._refuse(BadRequestError(HTTPStatus.REQUEST_TIMEOUT))
            return True
        if not data:
            return False
        if self._deaf:
            self._thrown += len(data)
            return self._thrown <= self.linger_most or self._current is not None
        try:
            self._reader.feed(data)
        except BadRequestError as bad:
            self._refuse(bad)
            return True
        asked = self._reader.asked
        if asked is not None and asked.headed and self._headed_at is None:
            self._headed_at = self._front.clock.now()
            self._go_on(asked)
        return True

    def _go_on(self, asked: Asked) -> None:
        """Guards against a client that waits for leave to send its body: `100 Continue`, where nothing of the
        body has come and nothing is owed here before it. A streamed body is asked for once a claim stands."""
        expects = asked.headers.get(b"expect", b"").lower() == b"100-continue"
        if expects and asked.terms is None and not asked.size and self._current is None and not self._waiting:
            self._send(CONTINUE)

    def _refuse(self, bad: BadRequestError) -> None:
        """Answer what cannot be read once all before it is answered, and end; nothing after it is read."""
        self._front.metrics.add(f"requests.bad_{int(bad.status)}")
        self._reader.asked = None
        self._deaf = True
        self._arrived(Asked(wrong=bad, keep=False))

    # ---- one request after another

    def _arrived(self, asked: Asked) -> None:
        self._front.idle.pop(self, None)
        # The loop noted when it woke: what this request lay unread since then is off the client's patience.
        unread = max(0.0, time.time() - gevent.get_hub().loop.now())
        asked.came_ms = self._front.clock.now() - 1000 * unread
        if self._current is not None:
            self._waiting.append(asked)
            if len(self._waiting) >= WAITING_MOST:
                self._room.clear()
            return
        self._begin(asked)

    def _begin(self, asked: Asked) -> None:
        front, self._current = self._front, asked
        if asked.wrong is not None:
            self._out.put((asked, asked.wrong))
        elif asked.target == b"/up":
            self._out.put((asked, HTTPStatus.OK if front.ready() else HTTPStatus.SERVICE_UNAVAILABLE))
        else:
            try:
                self._job = job_of(asked, front.names, front.traces, partial(self._reply, asked))
            except BadRequestError as bad:
                front.metrics.add(f"requests.bad_{int(bad.status)}")
                kind = asked.headers.get(b"x-qos", b"")
                if kind in front.names.classes:  # failed, as its client sees it
                    front.metrics.add(outcome_counter(Verdict.FAILED, kind.decode("latin-1")))
                self._out.put((asked, bad))
            else:
                front.traces.add(self._job.cargo.trace)
                front.inbox.put(self._job)

    def _reply(self, asked: Asked, answer: Answer) -> None:
        self._out.put((asked, answer))

    def _next(self) -> None:
        if self._waiting:
            asked = self._waiting.popleft()
            self._room.set()
            self._begin(asked)

    def _drop_waiting(self) -> None:
        """What was read ahead is not begun."""
        self._waiting.clear()
        self._room.set()

    def _done(self) -> None:
        if self._job is not None:
            self._front.traces.discard(self._job.cargo.trace)
        self._current = self._job = None

    # ---- idle

    def _begin_idle(self) -> None:
        """From now on, unless an answer is owed here, this connection is the youngest of the idle ones."""
        self._since, self._headed_at = self._front.clock.now(), None
        self._front.idle.pop(self, None)
        if self._current is None and not self._deaf:
            self._front.idle[self] = None

    def spare(self, now: float) -> bool:
        """Whether this idle connection may end to make room. Nothing must lie unread on it: the client has
        asked then. A first request that is cut off has failed, so those who may be about to ask have time."""
        young = 0.0 if self._answered else SPARE_SILENT_MS
        least = young if self._reader.asked is None else SPARE_HALF_MS
        return now - self._since >= least and quiet(self._sock)

    def put_out(self) -> None:
        """End it to make room."""
        self._front.idle.pop(self, None)
        self._shut(socket.SHUT_RDWR)

    def rest(self) -> None:
        """End the connection if nothing is asked on it: its reader then sees the end.

        One that was accepted just now is about to ask: it has a moment for that.
        """
        if self._current is not None or self._reader.asked is not None or not quiet(self._sock):
            return
        if self._answered or self._front.clock.now() - self._since >= SPARE_SILENT_MS:
            self._shut(socket.SHUT_RDWR)

    def cut(self) -> None:
        """The program ends: what goes on for longer than its drain ends here. Nothing does that is not
        streamed."""

    def _end(self) -> None:
        """Guards against an answer that its client never sees: to close while the rest of a large request,
        or another request, comes in would reset the connection, so that is read and thrown away for a while.
        Guards against a request that is begun after the last answer, and dropped with the connection."""
        self._deaf = True
        self._shut(socket.SHUT_WR)
        self._linger = self._front.clock.later(LINGER_MS, self._shut, socket.SHUT_RDWR)

    def _may_end(self) -> bool:
        """Whether the front closes and nothing more has been asked here."""
        return self._front.closing and not self._waiting and quiet(self._sock)

    def _shut(self, how: int) -> None:
        with contextlib.suppress(OSError):
            self._sock.shutdown(how)

    # ---- writing

    def _write(self) -> None:
        while (item := self._out.get()) is not None:
            asked, answer = item
            if self._gone or asked is not self._current:
                if getattr(answer, "opening", None) is not None:
                    answer.opening.withdraw()  # type: ignore[union-attr]  # nobody takes it
                continue  # it has its answer
            if isinstance(answer, bytes):
                self._send(answer)
                continue
            keep = asked.keep and asked.whole and not self._may_end()
            keep = self._deliver(asked, answer, keep)
            self._deaf |= not asked.whole  # the rest of its body is nobody's request
            self._done()
            self._answered = True
            if self._gone:
                continue  # nothing read ahead is begun for a client that has left
            if not keep:
                self._drop_waiting()
                return self._end()
            self._next()
            if self._current is None:
                self._begin_idle()
                if self._front.closing:  # a drain began while the answer was on its way
                    self.rest()

    def _deliver(self, asked: Asked, answer: Any, keep: bool) -> bool:
        """Write an answer; whether the connection goes on."""
        opening = getattr(answer, "opening", None)
        if opening is not None:
            return self._pass(asked, opening, keep)
        return self._send(render(answer, keep)) and keep

    def _pass(self, asked: Asked, opening: Any, keep: bool) -> bool:
        """Write an answer that was too long to hold as it comes (`net/spill.py`); whether to go on."""
        from ashlift.gatekeeper.net.front.streaming import flow
        from ashlift.gatekeeper.streams.heads import Framing

        # To a client of HTTP/1.0 a chunked body ends with the connection.
        keep = keep and not (asked.minor == 0 and opening.head.body.framing is Framing.CHUNKED)
        self._flowing = opening
        try:
            fault = flow(self._sock, asked.minor, opening, keep)
        finally:
            self._flowing = None
            opening.passage.close()
        if self._job is not None:
            self._front.inbox.put(Delivered(self._job, fault is None))
        self._front.metrics.add("spill.served" if fault is None else f"spill.cut.{fault.label}")
        return keep and fault is None and not self._may_end()

    def _send(self, data: bytes) -> bool:
        try:
            with gevent.Timeout(WRITE_S):
                self._sock.sendall(data)
        except (OSError, gevent.Timeout):
            self._front.metrics.add("clients.unwritable")
            return False
        return True
