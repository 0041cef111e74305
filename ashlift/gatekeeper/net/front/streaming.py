"""A client connection that forwards request and response bodies as they arrive.

The reading greenlet puts the request body into the stream's upload pipe once an attempt is connected; the
writing greenlet writes the response body from its download pipe. A fault on either side ends the stream.
"""

import logging
import struct
from collections import deque
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from gevent import socket

from ashlift.gatekeeper import logs
from ashlift.gatekeeper.jobs import JobAbandoned, ResponseDelivered, Verdict
from ashlift.gatekeeper.net.front.connection import Connection, FrontContext
from ashlift.gatekeeper.net.front.reader import RequestReader
from ashlift.gatekeeper.net.front.rendering import CONTINUE
from ashlift.gatekeeper.net.front.request import BadRequestError, ClientRequest
from ashlift.gatekeeper.streams.faults import AbortedError, Fault
from ashlift.gatekeeper.streams.heads import Framing, select_headers
from ashlift.gatekeeper.streams.pipe import SourceEndedError
from ashlift.gatekeeper.streams.progress import Lag, ProgressMonitor
from ashlift.gatekeeper.streams.pump import LagError, Sink, Source
from ashlift.gatekeeper.streams.stream import StreamedResponse, StreamPolicy, StreamRegistry
from ashlift.rpc.sockets import peer_has_closed

if TYPE_CHECKING:
    from ashlift.gatekeeper.streams.stream import Stream

log = logging.getLogger("ashlift.streams")
RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER with which closing a socket resets the connection
FAULT_BY_STATUS = {HTTPStatus.REQUEST_ENTITY_TOO_LARGE: Fault.REQUEST_TOO_LONG}
FAULT_BY_LAG = {Lag.STALLED: Fault.CLIENT_STALLED, Lag.SLOW: Fault.CLIENT_SLOW}


def progress_monitor(policy: StreamPolicy) -> ProgressMonitor:
    """Create a monitor with the limits of a stream's class."""
    return ProgressMonitor(policy.settings.stall, policy.settings.least_rate, policy.settings.rate_span)


def forward_response(
    sock: socket.socket, http_minor: int, opening: StreamedResponse, keep_alive: bool
) -> Fault | None:
    """Write a response to the client as it arrives; returns the fault that cut it short, if any."""
    stream, head = opening.stream, opening.head
    data, framing = head.render(http_minor, keep_alive)
    sink = Sink(sock, progress_monitor(stream.policy))
    try:
        sink.write(data)
        if stream.download is not None:
            sink.drain(stream.download, framing is Framing.CHUNKED)
        return None
    except AbortedError as error:
        fault = error.fault
    except LagError as lag:
        fault = FAULT_BY_LAG[lag.lag]
    except OSError:
        fault = Fault.CLIENT_DISCONNECTED
    stream.abort(fault)
    _close_incomplete(sock, framing, fault)
    return fault


def _close_incomplete(sock: socket.socket, framing: Framing, fault: Fault) -> None:
    """End an incomplete response so that the client can tell.

    A connection whose end would end the body is reset, and so is one whose client does not read. In the other
    cases the length or the last chunk is missing.
    """
    try:
        if framing is Framing.CLOSE or fault in FAULT_BY_LAG.values():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()
        else:
            sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


class StreamConnection(Connection):
    """A client connection with streaming enabled; other classes are served as by Connection."""

    def __init__(self, front: FrontContext, sock: socket.socket, registry: StreamRegistry) -> None:
        super().__init__(front, sock)
        self._registry, self.max_linger_bytes = registry, registry.settings.linger_bytes
        self._reader = RequestReader(self._mark_idle, self._on_request, registry.policy_for)
        self._uploads: deque[ClientRequest] = deque()  # with bodies to forward, in order
        self._total_timer: Any = None
        self._started_at = 0.0

    # ---- request bodies

    def _read_once(self) -> bool:
        return self._forward_upload(self._uploads.popleft()) if self._uploads else super()._read_once()

    def _on_request(self, request: ClientRequest) -> None:
        if request.policy is not None and request.framing is not None and request.error is None:
            request.stream = self._registry.open_stream(request.policy, request.framing)
            if request.stream is None:
                self._front.metrics.add("streams.turned_away")
                request.error = BadRequestError(
                    HTTPStatus.SERVICE_UNAVAILABLE, self._registry.retry_after_ms()
                )
                if request.framing.framing is not Framing.NONE:
                    # Do not buffer the body while the error waits behind other responses.
                    request.keep_alive, self._discarding_input = False, True
            else:
                request.stream.headers = select_headers(
                    [*request.headers.items()], request.policy.request_headers
                )
                if request.framing.framing is not Framing.NONE:
                    self._uploads.append(request)
        super()._on_request(request)

    def _process(self, request: ClientRequest) -> None:
        if request.stream is not None:
            self._started_at = self._front.clock.now()
            total = request.stream.policy.settings.total
            if total > 0:
                self._total_timer = self._front.clock.call_later(
                    total, self._abort_job, request, Fault.TOTAL_TIMEOUT
                )
        super()._process(request)

    def _forward_upload(self, request: ClientRequest) -> bool:
        """Forward a request body once an attempt is ready for it; returns whether to read on after it."""
        stream = request.stream
        assert stream is not None and stream.upload is not None and request.framing is not None
        stream.upload_wanted.wait()
        source = Source(self._sock, progress_monitor(stream.policy), partial(peer_has_closed, self._sock))
        try:
            if stream.upload.fault is not None:
                raise AbortedError(stream.upload.fault)
            if not request.size and b"expect" in request.headers and not request.body_complete:
                self._responses.put((request, CONTINUE))
            stream.upload.put_copy(self._take_buffered_body(request))
            if not request.body_complete and request.framing.framing is Framing.LENGTH:
                source.fill(stream.upload, request.framing.length - request.size)
                self._reader.skip_body()
            elif not request.body_complete:
                source.fill_parsed(stream.upload, partial(self._parse, request))
            stream.upload.end()
        except AbortedError:
            # The request has been answered, or is about to be: discard the rest of its body.
            self._discarding_input |= not request.body_complete
        except LagError as lag:
            self._abort_job(request, FAULT_BY_LAG[lag.lag])
        except BadRequestError as bad:
            self._front.metrics.add(f"requests.bad_{int(bad.status)}")
            self._abort_job(request, FAULT_BY_STATUS.get(bad.status, Fault.CLIENT_MALFORMED))
        except (SourceEndedError, OSError):
            return False
        return True

    def _take_buffered_body(self, request: ClientRequest) -> bytes:
        """Return and clear the part of the body that has been parsed but not forwarded."""
        body, request.body = b"".join(request.body), []
        return body

    def _parse(self, request: ClientRequest, view: memoryview) -> tuple[bytes, bool]:
        """Parse input; returns the part that is body of this request, and whether the body is complete."""
        try:
            self._reader.feed(view)
        except BadRequestError as bad:
            if not request.body_complete:
                raise
            self._reject(bad)  # invalid input after the body
        return self._take_buffered_body(request), request.body_complete

    # ---- response bodies

    def _deliver(self, request: ClientRequest, answer: Any, keep_alive: bool) -> bool:
        if request.stream is None:
            return super()._deliver(request, answer, keep_alive)
        if getattr(answer, "opening", None) is None:
            fault = None
            if isinstance(answer, BadRequestError):
                fault = request.stream.fault  # None: the request was refused
            elif answer.verdict is Verdict.FAILED:
                fault = answer.cause or Fault.HEAD_TIMEOUT
                answer = self._error_response(fault)
            self._record_end(request, "failed" if fault is not None else "refused", fault)
            return super()._deliver(request, answer, keep_alive)
        # To an HTTP/1.0 client, a body of unknown length ends with the connection.
        keep_alive = keep_alive and not (
            request.http_minor == 0 and answer.opening.head.body.framing is Framing.CHUNKED
        )
        fault = self._forward_response(request, answer.opening, keep_alive)
        if self._job is not None:
            self._front.inbox.put(ResponseDelivered(self._job, fault is None))
        if not self._disconnected:
            outcome = "left" if fault is Fault.CLIENT_DISCONNECTED else "failed"
            self._record_end(request, "served" if fault is None else outcome, fault)
        # A drain may have begun in the meantime, and did not close this connection.
        return keep_alive and fault is None and not self._can_close()

    def _forward_response(
        self, request: ClientRequest, opening: StreamedResponse, keep_alive: bool
    ) -> Fault | None:
        return forward_response(self._sock, request.http_minor, opening, keep_alive)

    # ---- end of a stream

    def _abort_job(self, request: ClientRequest, fault: Fault) -> None:
        """End a streamed job, with an error response unless a response has begun."""
        job, stream = self._job, request.stream
        self._discarding_input |= not request.body_complete
        if stream is None or request is not self._current or job is None:
            if stream is not None:
                stream.abort(fault)
            return
        if job.response_started:
            return stream.abort(fault)  # the writer closes the connection
        self._front.inbox.put(JobAbandoned(job))  # before the attempt ends, so that it is not retried
        stream.abort(fault)
        if fault.value.status is not None:
            self._responses.put((request, self._error_response(fault)))

    def _error_response(self, fault: Fault) -> BadRequestError:
        status = fault.value.status or HTTPStatus.BAD_GATEWAY
        return BadRequestError(status, self._registry.retry_after_ms() if fault is Fault.SHUTDOWN else 0.0)

    def abort_streams(self) -> None:
        if self._current is not None and self._current.stream is not None:
            self._abort_job(self._current, Fault.SHUTDOWN)

    def _on_disconnect(self) -> None:
        current = self._current
        if current is not None and current.stream is not None:
            if self._job is not None:
                self._record_end(current, "left", Fault.CLIENT_DISCONNECTED)
                self._shut(socket.SHUT_RDWR)  # wakes a writer that waits for the client
            current.stream.abort(Fault.CLIENT_DISCONNECTED)
        super()._on_disconnect()
        self._drop_pipelined()

    def _drop_pipelined(self) -> None:
        for request in self._pipelined:
            if request.stream is not None:
                request.stream.close()
        super()._drop_pipelined()

    def _finish_request(self) -> None:
        current = self._current
        super()._finish_request()
        if current is not None and current.stream is not None:
            if self._total_timer is not None:
                self._total_timer.close()
                self._total_timer = None
            current.stream.close()

    def _record_end(self, request: ClientRequest, how: str, fault: Fault | None) -> None:
        """Count the end of a stream, and log it."""
        stream: Stream | None = request.stream
        assert stream is not None
        why = fault.label if fault is not None else "-"
        self._front.metrics.add(f"streams.failed.{why}" if how == "failed" else f"streams.{how}")
        logs.log_event(
            log,
            logging.INFO,
            "stream.ended",
            trace=request.headers.get(b"x-trace-id", b"").decode("latin-1"),
            how=how,
            reason=why,
            up=stream.upload.got_bytes if stream.upload is not None else 0,
            down=stream.download.got_bytes if stream.download is not None else 0,
            ms=round(self._front.clock.now() - self._started_at),
        )
