"""A client connection: one greenlet reads requests, a second one writes the responses in order."""

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
from ashlift.gatekeeper.jobs import Answer, Clock, Inbox, Job, JobAbandoned, ResponseDelivered, Verdict
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.net.front.reader import RequestReader
from ashlift.gatekeeper.net.front.rendering import CONTINUE, render
from ashlift.gatekeeper.net.front.request import BadRequestError, ClientRequest, job_from_request
from ashlift.gatekeeper.net.socket_state import has_no_input
from ashlift.gatekeeper.operations.statsd_metrics import outcome_counter

MAX_PIPELINED_REQUESTS = 4  # read ahead on one connection
FIRST_REQUEST_TIMEOUT_S = 2.2  # clients must see an end within 3 s
HEAD_TIMEOUT_S = 2.5  # from the first byte of a request; clients may take 2 s
BODY_TIMEOUT_S = 2.5  # from the end of the head; 64 KiB at 64 kB/s take 1 s
LINGER_MS = 1000.0  # for which unread input is discarded before the connection is closed
MAX_LINGER_BYTES = 256 * 1024
WRITE_TIMEOUT_S = 3.0
MIN_SILENT_MS = 100.0  # a connection without a request is not evicted before
MIN_PARTIAL_REQUEST_MS = 500.0  # a connection with an incomplete request is not evicted before
Response = Answer | HTTPStatus | BadRequestError | bytes  # bytes: an interim response


class FrontContext(Protocol):
    """The parts of the front that its connections use."""

    names: RequestSchema
    ready: Callable[[], bool]
    clock: Clock
    inbox: Inbox
    metrics: Metrics
    closing: bool
    trace_ids: set[bytes]
    idle: "dict[Any, None]"


class Connection:
    """A client connection whose requests are read completely before they are answered."""

    max_linger_bytes = MAX_LINGER_BYTES

    def __init__(self, front: FrontContext, sock: socket.socket) -> None:
        self._front, self._sock = front, sock
        self._reader = RequestReader(self._mark_idle, self._on_request, None)
        self._pipelined: deque[ClientRequest] = deque()
        self._current: ClientRequest | None = None  # being answered
        self._job: Job | None = None
        self._responses: SimpleQueue[tuple[ClientRequest, Response] | None] = SimpleQueue()
        self._disconnected = False
        self._discarding_input = False  # no further request is read
        self._discarded_bytes = 0
        self._has_answered = False  # any request
        # When the connection became idle, or the request that is being read began.
        self._phase_started_at = front.clock.now()
        front.idle[self] = None
        self._linger_timer: Any = None  # closes the connection
        self._streamed_response: Any = None  # the StreamedResponse that is being forwarded
        self._head_complete_at: float | None = None  # of the request that is being read
        self._queue_not_full = Event()
        self._queue_not_full.set()

    # ---- reading

    def read(self) -> None:
        """Read requests until the connection ends."""
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
        """Abandon the job of a client that has disconnected."""
        if self._streamed_response is not None:
            self._streamed_response.discard()  # wakes the writer and ends the attempt
        if self._job is not None:
            self._front.metrics.add("clients.left")
            self._front.inbox.put(JobAbandoned(self._job))
            self._finish_request()

    def _read_once(self) -> bool:
        """Read once; returns whether to read on. A client that sends nothing, or slowly, times out."""
        started_at = self._phase_started_at
        if self._reader.request is not None and not self._discarding_input:
            timeout_s: float | None = HEAD_TIMEOUT_S if self._head_complete_at is None else BODY_TIMEOUT_S
            started_at = started_at if self._head_complete_at is None else self._head_complete_at
        elif self._has_answered or self._current is not None:
            timeout_s = None
        else:
            timeout_s = FIRST_REQUEST_TIMEOUT_S
        remaining_s = (
            None
            if timeout_s is None
            else max(0.001, timeout_s - (self._front.clock.now() - started_at) / 1000)
        )
        try:
            with gevent.Timeout(remaining_s):
                data = self._sock.recv(65536)
        except gevent.Timeout:
            if not has_no_input(self._sock):
                return True  # input arrived in the same iteration of the event loop as the timeout
            if self._reader.request is None:
                self._front.metrics.add("clients.silent")
                return False
            # Queued behind the responses due on this connection, which must not be lost.
            self._reject(BadRequestError(HTTPStatus.REQUEST_TIMEOUT))
            return True
        if not data:
            return False
        if self._discarding_input:
            self._discarded_bytes += len(data)
            return self._discarded_bytes <= self.max_linger_bytes or self._current is not None
        try:
            self._reader.feed(data)
        except BadRequestError as error:
            self._reject(error)
            return True
        request = self._reader.request
        if request is not None and request.head_complete and self._head_complete_at is None:
            self._head_complete_at = self._front.clock.now()
            self._send_continue(request)
        return True

    def _send_continue(self, request: ClientRequest) -> None:
        """Send `100 Continue` to a client that waits for it, if no other response is due first.

        For a streamed body it is sent once an attempt is connected.
        """
        expects = request.headers.get(b"expect", b"").lower() == b"100-continue"
        if (
            expects
            and request.policy is None
            and not request.size
            and self._current is None
            and not self._pipelined
        ):
            self._send(CONTINUE)

    def _reject(self, error: BadRequestError) -> None:
        """Queue an error response behind the responses due, after which the connection is closed."""
        self._front.metrics.add(f"requests.bad_{int(error.status)}")
        self._reader.request = None
        self._discarding_input = True
        self._on_request(ClientRequest(error=error, keep_alive=False))

    # ---- requests, one at a time

    def _on_request(self, request: ClientRequest) -> None:
        self._front.idle.pop(self, None)
        # The client's timeout includes the time for which the request was unread, since the loop woke up.
        unread_s = max(0.0, time.time() - gevent.get_hub().loop.now())
        request.received_ms = self._front.clock.now() - 1000 * unread_s
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
            except BadRequestError as error:
                front.metrics.add(f"requests.bad_{int(error.status)}")
                class_name = request.headers.get(b"x-qos", b"")
                if class_name in front.names.classes:  # a failure to the client
                    front.metrics.add(outcome_counter(Verdict.FAILED, class_name.decode("latin-1")))
                self._responses.put((request, error))
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
        """Drop the requests that were read ahead."""
        self._pipelined.clear()
        self._queue_not_full.set()

    def _finish_request(self) -> None:
        if self._job is not None:
            self._front.trace_ids.discard(self._job.upstream_request.trace_id)
        self._current = self._job = None

    # ---- idle

    def _mark_idle(self) -> None:
        """Put this connection last among the idle ones, unless a response is due on it."""
        self._phase_started_at, self._head_complete_at = self._front.clock.now(), None
        self._front.idle.pop(self, None)
        if self._current is None and not self._discarding_input:
            self._front.idle[self] = None

    def can_evict(self, now: float) -> bool:
        """Whether this idle connection may be closed to make room.

        Not while it has unread input, nor right after it was accepted: a request is about to arrive then.
        """
        min_silent_ms = 0.0 if self._has_answered else MIN_SILENT_MS
        min_idle_ms = min_silent_ms if self._reader.request is None else MIN_PARTIAL_REQUEST_MS
        return now - self._phase_started_at >= min_idle_ms and has_no_input(self._sock)

    def evict(self) -> None:
        """Close this idle connection to make room."""
        self._front.idle.pop(self, None)
        self._shut(socket.SHUT_RDWR)

    def close_if_idle(self) -> None:
        """Close the connection if it has no request and was not accepted just now."""
        if self._current is not None or self._reader.request is not None or not has_no_input(self._sock):
            return
        if self._has_answered or self._front.clock.now() - self._phase_started_at >= MIN_SILENT_MS:
            self._shut(socket.SHUT_RDWR)

    def abort_streams(self) -> None:
        """End the streams that outlast the drain at shutdown. There are none on this kind of connection."""

    def _start_lingering(self) -> None:
        """Close the connection for writing, and discard input for a while.

        Closing a connection with unread input resets it, and the client may lose the last response.
        """
        self._discarding_input = True
        self._shut(socket.SHUT_WR)
        self._linger_timer = self._front.clock.call_later(LINGER_MS, self._shut, socket.SHUT_RDWR)

    def _can_close(self) -> bool:
        """Whether the front is closing and no further request has arrived."""
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
                    answer.opening.discard()  # type: ignore[union-attr]
                continue  # the request has been answered
            if isinstance(answer, bytes):
                self._send(answer)
                continue
            keep_alive = request.keep_alive and request.body_complete and not self._can_close()
            keep_alive = self._deliver(request, answer, keep_alive)
            self._discarding_input |= not request.body_complete  # the rest of its body is no request
            self._finish_request()
            self._has_answered = True
            if self._disconnected:
                continue
            if not keep_alive:
                self._drop_pipelined()
                return self._start_lingering()
            self._process_next()
            if self._current is None:
                self._mark_idle()
                if self._front.closing:  # since the response was begun
                    self.close_if_idle()

    def _deliver(self, request: ClientRequest, answer: Any, keep_alive: bool) -> bool:
        """Write a response; returns whether the connection stays open."""
        opening = getattr(answer, "opening", None)
        if opening is not None:
            return self._forward_long_response(request, opening, keep_alive)
        return self._send(render(answer, keep_alive)) and keep_alive

    def _forward_long_response(self, request: ClientRequest, opening: Any, keep_alive: bool) -> bool:
        """Forward a response too long to buffer; returns whether the connection stays open."""
        from ashlift.gatekeeper.net.front.streaming import forward_response
        from ashlift.gatekeeper.streams.heads import Framing

        # To an HTTP/1.0 client, a body of unknown length ends with the connection.
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
