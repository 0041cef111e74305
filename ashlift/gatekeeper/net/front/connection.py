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

from ashlift.gatekeeper.config import Names
from ashlift.gatekeeper.jobs import Answer, Clock, Inbox, Job, JobAbandoned, ResponseDelivered, Verdict
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.net.front.reader import RequestReader
from ashlift.gatekeeper.net.front.rendering import CONTINUE, render
from ashlift.gatekeeper.net.front.request import BadRequestError, ClientRequest, job_from_request
from ashlift.gatekeeper.net.socket_state import has_no_input
from ashlift.gatekeeper.operations.figures import answered

MAX_PIPELINED_REQUESTS = 4  # requests read ahead on one connection: clients send one at a time
FIRST_REQUEST_TIMEOUT_S = (
    2.2  # a connection on which nothing was ever asked ends then: its sender is owed a word within 3 s
)
HEAD_TIMEOUT_S = (
    2.5  # a request's head must be whole so long after its first byte: a client may take 2 s over it
)
BODY_TIMEOUT_S = 2.5  # and its body so long after the head: 64 KiB at 64 kB/s, and room to spare
LINGER_MS = 1000.0  # the rest of a request that was answered unread is thrown away for so long
MAX_LINGER_BYTES = 256 * 1024  # bytes, and up to so many
WRITE_TIMEOUT_S = 3.0  # a client that takes no bytes for so long is gone
MIN_SILENT_MS = 100.0  # while places are short: clients that mean to ask do so once they are connected
MIN_PARTIAL_REQUEST_MS = 500.0  # and send their requests in one piece
Response = Answer | HTTPStatus | BadRequestError | bytes  # bytes: a word in between, which answers nothing


class FrontContext(Protocol):
    """What a connection needs of the front that accepted it."""

    names: Names
    ready: Callable[[], bool]
    clock: Clock
    inbox: Inbox
    metrics: Metrics
    closing: bool
    trace_ids: set[bytes]
    idle: "dict[Any, None]"


class Connection:
    """One client connection on which nothing is streamed."""

    max_linger_bytes = MAX_LINGER_BYTES

    def __init__(self, front: FrontContext, sock: socket.socket) -> None:
        self._front, self._sock = front, sock
        self._reader = RequestReader(self._mark_idle, self._on_request, None)
        self._pipelined: deque[ClientRequest] = deque()  # read ahead
        self._current: ClientRequest | None = None  # being answered
        self._job: Job | None = None
        self._responses: SimpleQueue[tuple[ClientRequest, Response] | None] = SimpleQueue()
        self._disconnected = False
        self._discarding_input = False  # a request could not be read: nothing more is taken in here
        self._discarded_bytes = 0  # bytes that came since
        self._has_answered = False  # anything, yet
        self._phase_started_at = (
            front.clock.now()
        )  # when it began to be idle, or the request that is being read began
        front.idle[self] = None
        self._linger_timer: Any = None  # the timer that ends a connection which is deaf
        self._streamed_response: Any = None  # the Opening of an answer that passes on as it comes
        self._head_complete_at: float | None = (
            None  # when the head of the request that is being read was whole
        )
        self._queue_not_full = Event()
        self._queue_not_full.set()

    # ---- reading

    def read(self) -> None:
        """Read until the end of the connection."""
        writer = gevent.spawn(self._write)
        try:
            while self._read_once():
                self._queue_not_full.wait()
        except (OSError, gevent.Timeout):
            pass
        finally:
            self._disconnected = True
            self._on_disconnect()
            self._responses.put(None)
            writer.join()
            if self._linger_timer is not None:
                self._linger_timer.close()
            self._sock.close()

    def _on_disconnect(self) -> None:
        """The client is gone: what is open here is not wanted any more."""
        if self._streamed_response is not None:
            self._streamed_response.discard()  # wakes the writer, and the node's side ends
        if self._job is not None:
            self._front.metrics.add("clients.left")
            self._front.inbox.put(JobAbandoned(self._job))
            self._finish_request()

    def _read_once(self) -> bool:
        """Read once; whether to go on. One who never asks, or asks drop by drop, does not hold a place."""
        since = self._phase_started_at
        if self._reader.request is not None and not self._discarding_input:
            most: float | None = HEAD_TIMEOUT_S if self._head_complete_at is None else BODY_TIMEOUT_S
            since = since if self._head_complete_at is None else self._head_complete_at
        elif self._has_answered or self._current is not None:
            most = None
        else:
            most = FIRST_REQUEST_TIMEOUT_S
        left = None if most is None else max(0.001, most - (self._front.clock.now() - since) / 1000)
        try:
            with gevent.Timeout(left):
                data = self._sock.recv(65536)
        except gevent.Timeout:
            if not has_no_input(self._sock):
                return True  # something came in the same turn of the event loop as the time-out
            if self._reader.request is None:
                self._front.metrics.add("clients.silent")
                return False
            # Behind what is still owed here: guards against an answer lost with the connection.
            self._reject(BadRequestError(HTTPStatus.REQUEST_TIMEOUT))
            return True
        if not data:
            return False
        if self._discarding_input:
            self._discarded_bytes += len(data)
            return self._discarded_bytes <= self.max_linger_bytes or self._current is not None
        try:
            self._reader.feed(data)
        except BadRequestError as bad:
            self._reject(bad)
            return True
        request = self._reader.request
        if request is not None and request.head_complete and self._head_complete_at is None:
            self._head_complete_at = self._front.clock.now()
            self._send_continue(request)
        return True

    def _send_continue(self, request: ClientRequest) -> None:
        """Guards against a client that waits for leave to send its body: `100 Continue`, where nothing of the
        body has come and nothing is owed here before it. A streamed body is asked for once a claim stands."""
        expects = request.headers.get(b"expect", b"").lower() == b"100-continue"
        if (
            expects
            and request.policy is None
            and not request.size
            and self._current is None
            and not self._pipelined
        ):
            self._send(CONTINUE)

    def _reject(self, bad: BadRequestError) -> None:
        """Answer what cannot be read once all before it is answered, and end; nothing after it is read."""
        self._front.metrics.add(f"requests.bad_{int(bad.status)}")
        self._reader.request = None
        self._discarding_input = True
        self._on_request(ClientRequest(error=bad, keep_alive=False))

    # ---- one request after another

    def _on_request(self, request: ClientRequest) -> None:
        self._front.idle.pop(self, None)
        # The loop noted when it woke: what this request lay unread since then is off the client's patience.
        unread = max(0.0, time.time() - gevent.get_hub().loop.now())
        request.received_ms = self._front.clock.now() - 1000 * unread
        if self._current is not None:
            self._pipelined.append(request)
            if len(self._pipelined) >= MAX_PIPELINED_REQUESTS:
                self._queue_not_full.clear()
            return
        self._process(request)

    def _process(self, request: ClientRequest) -> None:
        front, self._current = self._front, request
        if request.error is not None:
            self._responses.put((request, request.error))
        elif request.target == b"/up":
            self._responses.put((request, HTTPStatus.OK if front.ready() else HTTPStatus.SERVICE_UNAVAILABLE))
        else:
            try:
                self._job = job_from_request(
                    request, front.names, front.trace_ids, partial(self._reply, request)
                )
            except BadRequestError as bad:
                front.metrics.add(f"requests.bad_{int(bad.status)}")
                kind = request.headers.get(b"x-qos", b"")
                if kind in front.names.classes:  # failed, as its client sees it
                    front.metrics.add(answered(Verdict.FAILED, kind.decode("latin-1")))
                self._responses.put((request, bad))
            else:
                front.trace_ids.add(self._job.upstream_request.trace_id)
                front.inbox.put(self._job)

    def _reply(self, request: ClientRequest, answer: Answer) -> None:
        self._responses.put((request, answer))

    def _process_next(self) -> None:
        if self._pipelined:
            request = self._pipelined.popleft()
            self._queue_not_full.set()
            self._process(request)

    def _drop_pipelined(self) -> None:
        """What was read ahead is not begun."""
        self._pipelined.clear()
        self._queue_not_full.set()

    def _finish_request(self) -> None:
        if self._job is not None:
            self._front.trace_ids.discard(self._job.upstream_request.trace_id)
        self._current = self._job = None

    # ---- idle

    def _mark_idle(self) -> None:
        """From now on, unless an answer is owed here, this connection is the youngest of the idle ones."""
        self._phase_started_at, self._head_complete_at = self._front.clock.now(), None
        self._front.idle.pop(self, None)
        if self._current is None and not self._discarding_input:
            self._front.idle[self] = None

    def can_evict(self, now: float) -> bool:
        """Whether this idle connection may end to make room. Nothing must lie unread on it: the client has
        asked then. A first request that is cut off has failed, so those who may be about to ask have time."""
        young = 0.0 if self._has_answered else MIN_SILENT_MS
        least = young if self._reader.request is None else MIN_PARTIAL_REQUEST_MS
        return now - self._phase_started_at >= least and has_no_input(self._sock)

    def evict(self) -> None:
        """End it to make room."""
        self._front.idle.pop(self, None)
        self._shut(socket.SHUT_RDWR)

    def close_if_idle(self) -> None:
        """End the connection if nothing is asked on it: its reader then sees the end.

        One that was accepted just now is about to ask: it has a moment for that.
        """
        if self._current is not None or self._reader.request is not None or not has_no_input(self._sock):
            return
        if self._has_answered or self._front.clock.now() - self._phase_started_at >= MIN_SILENT_MS:
            self._shut(socket.SHUT_RDWR)

    def abort_streams(self) -> None:
        """The program ends: what goes on for longer than its drain ends here. Nothing does that is not
        streamed."""

    def _start_lingering(self) -> None:
        """Guards against an answer that its client never sees: to close while the rest of a large request,
        or another request, comes in would reset the connection, so that is read and thrown away for a while.
        Guards against a request that is begun after the last answer, and dropped with the connection."""
        self._discarding_input = True
        self._shut(socket.SHUT_WR)
        self._linger_timer = self._front.clock.call_later(LINGER_MS, self._shut, socket.SHUT_RDWR)

    def _can_close(self) -> bool:
        """Whether the front closes and nothing more has been asked here."""
        return self._front.closing and not self._pipelined and has_no_input(self._sock)

    def _shut(self, how: int) -> None:
        with contextlib.suppress(OSError):
            self._sock.shutdown(how)

    # ---- writing

    def _write(self) -> None:
        while (item := self._responses.get()) is not None:
            request, answer = item
            if self._disconnected or request is not self._current:
                if getattr(answer, "opening", None) is not None:
                    answer.opening.discard()  # type: ignore[union-attr]  # nobody takes it
                continue  # it has its answer
            if isinstance(answer, bytes):
                self._send(answer)
                continue
            keep_alive = request.keep_alive and request.body_complete and not self._can_close()
            keep_alive = self._deliver(request, answer, keep_alive)
            self._discarding_input |= not request.body_complete  # the rest of its body is nobody's request
            self._finish_request()
            self._has_answered = True
            if self._disconnected:
                continue  # nothing read ahead is begun for a client that has left
            if not keep_alive:
                self._drop_pipelined()
                return self._start_lingering()
            self._process_next()
            if self._current is None:
                self._mark_idle()
                if self._front.closing:  # a drain began while the answer was on its way
                    self.close_if_idle()

    def _deliver(self, request: ClientRequest, answer: Any, keep_alive: bool) -> bool:
        """Write an answer; whether the connection goes on."""
        opening = getattr(answer, "opening", None)
        if opening is not None:
            return self._forward_long_response(request, opening, keep_alive)
        return self._send(render(answer, keep_alive)) and keep_alive

    def _forward_long_response(self, request: ClientRequest, opening: Any, keep_alive: bool) -> bool:
        """Write an answer that was too long to hold as it comes (`net/spill.py`); whether to go on."""
        from ashlift.gatekeeper.net.front.streaming import forward_response
        from ashlift.gatekeeper.streams.heads import Framing

        # To a client of HTTP/1.0 a chunked body ends with the connection.
        keep_alive = keep_alive and not (
            request.http_minor == 0 and opening.head.body.framing is Framing.CHUNKED
        )
        self._streamed_response = opening
        try:
            fault = forward_response(self._sock, request.http_minor, opening, keep_alive)
        finally:
            self._streamed_response = None
            opening.stream.close()
        if self._job is not None:
            self._front.inbox.put(ResponseDelivered(self._job, fault is None))
        self._front.metrics.add("spill.served" if fault is None else f"spill.cut.{fault.label}")
        return keep_alive and fault is None and not self._can_close()

    def _send(self, data: bytes) -> bool:
        try:
            with gevent.Timeout(WRITE_TIMEOUT_S):
                self._sock.sendall(data)
        except (OSError, gevent.Timeout):
            self._front.metrics.add("clients.unwritable")
            return False
        return True
