"""An attempt whose request and response bodies are forwarded as they arrive.

The greenlet of the attempt writes the head of the request and reads the response. A second one writes the
body meanwhile, so that a response sent before the end of the body is noticed. Both end with the attempt.
"""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import gevent
import httptools

from ashlift.gatekeeper.admission.interface import Result
from ashlift.gatekeeper.jobs import Clock, Inbox, RequestBodyStarted, ResponseStarted
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.net.http_response import MAX_HEAD_BYTES, MalformedResponseError
from ashlift.gatekeeper.net.nodes import Attempt, UpstreamRequest
from ashlift.gatekeeper.operations.statsd_metrics import RELAYED_COUNTER
from ashlift.gatekeeper.streams.faults import AbortedError, Fault
from ashlift.gatekeeper.streams.heads import (
    Body,
    Framing,
    FramingError,
    Head,
    Headers,
    framing_header,
    render_headers,
    response_body,
    select_headers,
)
from ashlift.gatekeeper.streams.pipe import Pipe, SourceEndedError
from ashlift.gatekeeper.streams.progress import Lag, ProgressMonitor
from ashlift.gatekeeper.streams.pump import LagError, Sink, Source
from ashlift.gatekeeper.streams.stream import Stream, StreamedResponse

FAULT_BY_LAG = {Lag.STALLED: Fault.NODE_STALLED, Lag.SLOW: Fault.NODE_SLOW}
MAX_FRAMING_RATIO = 16  # bytes of chunk framing per byte of the body; permits tiny chunks


class FaultError(Exception):
    """The attempt fails; carries the fault."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.label)
        self.fault = fault


class StreamedResponseReader:
    """Parses the head of a response, and its body if that is chunked. 1xx responses are skipped."""

    def __init__(self, method: bytes, longest: int) -> None:
        self._method, self._longest = method, longest
        self.headers: Headers = []
        self.status = self.size = self._bytes_fed = 0
        self.body: Body | None = None  # set when the head is complete
        self.done = self.keep_alive = self.never_ran = self.exceeds_limit = False
        self._parts: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes | memoryview) -> None:
        """Parse input; raises MalformedResponseError."""
        self._bytes_fed += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, FramingError) as error:
            self.keep_alive = False
            if not self.done:
                raise MalformedResponseError(str(error)) from None
        if not self.done and self._bytes_fed - self.size > MAX_HEAD_BYTES + MAX_FRAMING_RATIO * self.size:
            raise MalformedResponseError("response head or framing over the size limit")

    def take_body(self) -> bytes:
        """Return the part of the body read since the last call."""
        taken, self._parts = b"".join(self._parts), []
        return taken

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        if self.done:
            self.keep_alive = False  # another message follows
        else:
            self.headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.body is None and not self.done:  # ignores trailers
            self.headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if status < 200 or self.done:
            return
        self.status, self.body = status, response_body(self._method, status, self.headers)
        self.never_ran = (b"x-never-ran", b"1") in self.headers
        self.keep_alive = self._parser.should_keep_alive() and self.body.framing is not Framing.CLOSE
        self.exceeds_limit = self.body.length > self._longest
        if self.body.framing is Framing.NONE:
            self.done = True

    def on_body(self, body: bytes) -> None:
        if self.done:
            self.keep_alive = False  # the response to a HEAD request has a body, wrongly
            return
        self.size += len(body)
        self.exceeds_limit |= self.size > self._longest
        self._parts.append(body)

    def on_message_complete(self) -> None:
        if self.body is not None:
            self.done = True


class StreamAttempt:
    """One attempt at a streamed job. `timer`: that of the attempt, which ends with the response head."""

    def __init__(
        self, attempt: Attempt, sock: Any, timer: Any, clock: Clock, inbox: Inbox, metrics: Metrics
    ) -> None:
        self._attempt, self._sock, self._timer, self._clock = attempt, sock, timer, clock
        self._inbox, self._metrics = inbox, metrics
        self._upstream_request: UpstreamRequest = attempt.job.upstream_request
        assert self._upstream_request.stream is not None
        self._stream: Stream = self._upstream_request.stream
        self._started_at = clock.now()
        self._head_timer: Any = None  # limits the wait for the response after an upload
        self._fault: Fault | None = None  # set by another greenlet

    def run(self, address: tuple[str, int], time_left_ms: float) -> tuple[Result, bool]:
        """Run the attempt; returns its result, and whether the connection can be reused."""
        stream, sender = self._stream, None
        abort_callback = self._fail
        stream.abort_callbacks.add(abort_callback)
        try:
            if stream.fault is not None:
                return Result.CANCELLED, False
            self._sock.sendall(self._render_head(address, time_left_ms))
            if stream.upload is None:
                self._attempt.written = True
                self._metrics.add(RELAYED_COUNTER)
            else:
                sender = gevent.spawn(self._send_body, stream.upload)
            response = StreamedResponseReader(self._upstream_request.method, stream.policy.settings.longest)
            self._read_head(response)
            return self._forward_response(response)
        except BaseException as error:
            return self._classify_failure(error), False
        finally:
            stream.abort_callbacks.discard(abort_callback)
            if self._head_timer is not None:
                self._head_timer.close()
            if sender is not None:
                sender.kill()

    def _render_head(self, address: tuple[str, int], time_left_ms: float) -> bytes:
        upstream_request, stream = self._upstream_request, self._stream
        host = b"%b:%d" % (address[0].encode(), address[1])
        framing = framing_header(stream.body)
        if not framing and upstream_request.method not in (b"GET", b"HEAD"):
            framing = b"Content-Length: 0\r\n"
        return b"%b %b HTTP/1.1\r\nHost: %b\r\nX-Trace-Id: %b\r\nX-Expires-In: %.3f\r\n%b%b\r\n" % (
            upstream_request.method,
            upstream_request.target,
            host,
            upstream_request.trace_id,
            max(0.001, time_left_ms / 1000),
            render_headers(stream.headers),
            framing,
        )

    # ---- request body

    def _send_body(self, upload: Pipe) -> None:
        """Write the body. If the node stops reading it, the reading greenlet may find an early response."""
        policy = self._stream.policy.settings
        sink = Sink(self._sock, ProgressMonitor(policy.stall, policy.least_rate, policy.rate_span))
        self._stream.upload_wanted.set()
        try:
            first = upload.get()
            if first is not None:
                # Before the first byte is sent: from here on the gateway does not retry the request.
                self._inbox.put(RequestBodyStarted(self._attempt.job.number, self._attempt.index))
                self._timer.close()  # uploads have limits of their own
                upload.push_front(first)
            sink.drain(upload, self._stream.body.framing is Framing.CHUNKED)
        except AbortedError as error:
            if error.fault is not Fault.EARLY_RESPONSE:
                self._fail(error.fault)
        except LagError as lag:
            self._fail(FAULT_BY_LAG[lag.lag])
        except OSError:
            pass
        else:
            self._attempt.written = True
            self._metrics.add(RELAYED_COUNTER)
            self._timer.close()
            self._started_at = self._clock.now()
            self._head_timer = self._clock.call_later(policy.head, self._fail, Fault.HEAD_TIMEOUT)

    def _fail(self, fault: Fault | None = None) -> None:
        """End the attempt from another greenlet."""
        if self._fault is None:
            self._fault = fault or self._stream.fault
        self._attempt.close()

    # ---- response

    def _read_head(self, response: StreamedResponseReader) -> None:
        while response.body is None:
            data = self._sock.recv(65536)
            if not data:
                raise SourceEndedError
            response.feed(data)
        self._timer.close()
        if self._head_timer is not None:
            self._head_timer.close()

    def _forward_response(self, response: StreamedResponseReader) -> tuple[Result, bool]:
        attempt, body, stream = self._attempt, response.body, self._stream
        assert body is not None
        attempt.elapsed_ms = self._clock.now() - self._started_at
        responded_early = stream.upload is not None and not attempt.written
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            never_ran = response.never_ran and response.status in (503, 504)
            attempt.cause = Fault.NODE_ERROR
            return (
                Result.OVERLOADED if never_ran else Result.ERROR
            ), response.keep_alive and response.done and not responded_early
        if body.framing is Framing.CLOSE:
            raise MalformedResponseError("response without a length")
        if response.exceeds_limit:
            # Not retried: the response of another node would be as long.
            self._inbox.put(RequestBodyStarted(attempt.job.number, attempt.index))
            raise FaultError(Fault.RESPONSE_TOO_LONG)
        if responded_early:
            stream.stop_upload(Fault.EARLY_RESPONSE)
        content_length = next((v for n, v in response.headers if n == b"content-length"), None)
        head = Head(
            response.status,
            select_headers(response.headers, stream.policy.answer_headers),
            body,
            content_length if self._upstream_request.method == b"HEAD" else None,
        )
        download = stream.start_download()
        opening = StreamedResponse(head, stream)
        self._inbox.put(ResponseStarted(attempt.job.number, attempt.index, opening))
        self._fill(response, download, body)
        return Result.OK, response.keep_alive and not responded_early

    def _fill(self, response: StreamedResponseReader, download: Pipe, body: Body) -> None:
        policy = self._stream.policy.settings
        source = Source(self._sock, ProgressMonitor(policy.stall, policy.least_rate, policy.rate_span))
        download.put_copy(response.take_body())
        if body.framing is Framing.LENGTH and not response.done:
            source.fill(download, body.length - response.size)
        elif body.framing is Framing.CHUNKED and not response.done:
            source.fill_parsed(download, self._parse(response))
        download.end()

    def _parse(self, response: StreamedResponseReader) -> Callable[[memoryview], tuple[bytes, bool]]:
        def read(view: memoryview) -> tuple[bytes, bool]:
            response.feed(view)
            if response.exceeds_limit:
                raise FaultError(Fault.RESPONSE_TOO_LONG)
            return response.take_body(), response.done

        return read

    def _classify_failure(self, error: BaseException) -> Result:
        """Determine the fault, abort the response if it is being forwarded, and return the result."""
        attempt, fault = self._attempt, self._fault
        if fault is None and attempt.cancelled:
            fault = self._stream.fault or Fault.WITHDRAWN
        if fault is None:
            match error:
                case AbortedError() | FaultError():
                    fault = error.fault
                case LagError():
                    fault = FAULT_BY_LAG[error.lag]
                case MalformedResponseError():
                    fault = Fault.NODE_MALFORMED
                    self._metrics.add("claims.spoilt")
                case SourceEndedError() | OSError():
                    fault = Fault.NODE_RESET
                case gevent.Timeout() if error is self._timer:
                    fault = Fault.HEAD_TIMEOUT
                case _:
                    raise error
        attempt.cause = fault
        if self._stream.download is not None:
            self._stream.download.abort(fault)
        if attempt.cancelled or fault.value.result is Result.CANCELLED:
            return Result.CANCELLED
        may_have_run = attempt.written or self._stream.download is not None
        return fault.value.result if may_have_run else Result.CONNECT_FAILED
