"""A client connection on which bodies are passed on as they arrive, both ways.

The reader's greenlet fills a request's body into its passage once a claim stands, the writer's drains the
answer's. Each side is timed where it is waited for; whatever ends a passage ends both.
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
from ashlift.gatekeeper.net.socket_state import peer_has_closed
from ashlift.gatekeeper.streams.faults import AbortedError, Fault
from ashlift.gatekeeper.streams.heads import Framing, select_headers
from ashlift.gatekeeper.streams.pipe import SourceEndedError
from ashlift.gatekeeper.streams.progress import Lag, ProgressMonitor
from ashlift.gatekeeper.streams.pump import LagError, Sink, Source
from ashlift.gatekeeper.streams.stream import StreamedResponse, StreamPolicy, StreamRegistry

if TYPE_CHECKING:
    from ashlift.gatekeeper.streams.stream import Stream

log = logging.getLogger("ashlift.streams")
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: what is closed then is reset
FAULT_BY_STATUS = {HTTPStatus.REQUEST_ENTITY_TOO_LARGE: Fault.REQUEST_TOO_LONG}
FAULT_BY_LAG = {Lag.STALLED: Fault.CLIENT_STALLED, Lag.SLOW: Fault.CLIENT_SLOW}


def progress_monitor(policy: StreamPolicy) -> ProgressMonitor:
    """One side's record by its class's settings."""
    return ProgressMonitor(policy.settings.stall, policy.settings.least_rate, policy.settings.rate_span)


def forward_response(
    sock: socket.socket, http_minor: int, opening: StreamedResponse, keep_alive: bool
) -> Fault | None:
    """Write an answer to a client of HTTP/1.`minor` as it comes; why it could not be written whole."""
    stream, head = opening.stream, opening.head
    data, framing = head.render(http_minor, keep_alive)
    sink = Sink(sock, progress_monitor(stream.policy))
    try:
        sink.write(data)
        if stream.download is not None:
            sink.drain(stream.download, framing is Framing.CHUNKED)
        return None
    except AbortedError as broken:
        fault = broken.fault
    except LagError as lag:
        fault = FAULT_BY_LAG[lag.lag]
    except OSError:
        fault = Fault.CLIENT_DISCONNECTED
    stream.abort(fault)
    _close_incomplete(sock, framing, fault)
    return fault


def _close_incomplete(sock: socket.socket, framing: Framing, fault: Fault) -> None:
    """Guards against a client that takes what came for the whole: a body whose end is the connection's is
    reset, as is one whose client takes nothing; the others lack their end visibly."""
    try:
        if framing is Framing.CLOSE or fault in FAULT_BY_LAG.values():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()
        else:
            sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


class StreamConnection(Connection):
    """One client connection; classes that do not stream are served as on any other."""

    def __init__(self, front: FrontContext, sock: socket.socket, registry: StreamRegistry) -> None:
        super().__init__(front, sock)
        self._registry, self.max_linger_bytes = registry, registry.settings.linger_bytes
        self._reader = RequestReader(self._mark_idle, self._on_request, registry.policy_for)
        self._uploads: deque[ClientRequest] = deque()  # whose bodies are to be carried, in order
        self._total_timer: Any = None
        self._started_at = 0.0

    # ---- a request's body

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
                    # Guards against a body that is collected while its answer waits behind others.
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
        """Pass a request's body on, once it is wanted; whether to read on behind it."""
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
            self._discarding_input |= (
                not request.body_complete
            )  # answered, or about to be: the rest of the body is thrown away
        except LagError as lag:
            self._abort_job(request, FAULT_BY_LAG[lag.lag])
        except BadRequestError as bad:
            self._front.metrics.add(f"requests.bad_{int(bad.status)}")
            self._abort_job(request, FAULT_BY_STATUS.get(bad.status, Fault.CLIENT_MALFORMED))
        except (SourceEndedError, OSError):
            return False
        return True

    def _take_buffered_body(self, request: ClientRequest) -> bytes:
        """What of the body came with the head."""
        lying, request.body = b"".join(request.body), []
        return lying

    def _parse(self, request: ClientRequest, view: memoryview) -> tuple[bytes, bool]:
        """What of the bytes that came is this request's body, and whether that ends it."""
        try:
            self._reader.feed(view)
        except BadRequestError as bad:
            if not request.body_complete:
                raise
            self._reject(bad)  # what cannot be read came behind it
        return self._take_buffered_body(request), request.body_complete

    # ---- an answer's body

    def _deliver(self, request: ClientRequest, answer: Any, keep_alive: bool) -> bool:
        if request.stream is None:
            return super()._deliver(request, answer, keep_alive)
        if getattr(answer, "opening", None) is None:
            fault = None
            if isinstance(answer, BadRequestError):
                fault = request.stream.fault  # none: nothing failed, it could not be taken
            elif answer.verdict is Verdict.FAILED:
                fault = answer.cause or Fault.HEAD_TIMEOUT
                answer = self._error_response(fault)
            self._record_end(request, "failed" if fault is not None else "refused", fault)
            return super()._deliver(request, answer, keep_alive)
        # To a client of HTTP/1.0 a chunked body ends with the connection.
        keep_alive = keep_alive and not (
            request.http_minor == 0 and answer.opening.head.body.framing is Framing.CHUNKED
        )
        fault = self._forward_response(request, answer.opening, keep_alive)
        if self._job is not None:
            self._front.inbox.put(ResponseDelivered(self._job, fault is None))
        if not self._disconnected:
            left = "left" if fault is Fault.CLIENT_DISCONNECTED else "failed"
            self._record_end(request, "served" if fault is None else left, fault)
        # The end may have been asked for while the answer flowed: nobody would close this connection then.
        return keep_alive and fault is None and not self._can_close()

    def _forward_response(
        self, request: ClientRequest, opening: StreamedResponse, keep_alive: bool
    ) -> Fault | None:
        return forward_response(self._sock, request.http_minor, opening, keep_alive)

    # ---- ends

    def _abort_job(self, request: ClientRequest, fault: Fault) -> None:
        """End a streamed job from this side, with one answer where none has begun."""
        job, stream = self._job, request.stream
        self._discarding_input |= not request.body_complete
        if stream is None or request is not self._current or job is None:
            if stream is not None:
                stream.abort(fault)
            return
        if job.response_started:
            return stream.abort(fault)  # the writer sees it, and cuts
        self._front.inbox.put(JobAbandoned(job))  # ahead of the claim's end: nothing is made again
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
        """Each stream is counted once, and told of in one line."""
        stream: Stream | None = request.stream
        assert stream is not None
        why = fault.label if fault is not None else "-"
        self._front.metrics.add(f"streams.failed.{why}" if how == "failed" else f"streams.{how}")
        logs.tell(
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
