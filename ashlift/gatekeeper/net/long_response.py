"""Forwards a node's response that is too long to buffer as it arrives, for classes that are not streamed.

Loaded with the first such response. The greenlet of the attempt opens a stream, reports the head to the
owner (ResponseStarted: the final answer of the job, after which nothing is retried) and fills the download
pipe, which the client's connection drains. A response that ends with its connection is sent to the client
in chunks, so that its end can be recognized.
"""

import contextlib

from ashlift.gatekeeper.admission.interface import Result
from ashlift.gatekeeper.jobs import Inbox, ResponseStarted
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.net.http_response import HttpResponse, MalformedResponseError
from ashlift.gatekeeper.net.nodes import Attempt
from ashlift.gatekeeper.settings.model import StreamClass
from ashlift.gatekeeper.streams.faults import AbortedError, Fault
from ashlift.gatekeeper.streams.heads import (
    REQUEST_HEADERS,
    RESPONSE_HEADERS,
    Body,
    Framing,
    Head,
    select_headers,
)
from ashlift.gatekeeper.streams.pipe import Pipe, SourceEndedError
from ashlift.gatekeeper.streams.progress import Lag, ProgressMonitor
from ashlift.gatekeeper.streams.pump import LagError, Source
from ashlift.gatekeeper.streams.stream import StreamedResponse, StreamPolicy, StreamRegistry

# The stall limit is longer than clients wait for the first byte: a slow node is not cut off.
LONG_RESPONSE_POLICY = StreamPolicy(StreamClass(stall=4_000.0), REQUEST_HEADERS, RESPONSE_HEADERS)
UNTIL_CLOSE = 1 << 62  # bytes to read of a body that ends with its connection
FAULT_BY_LAG = {Lag.STALLED: Fault.NODE_STALLED, Lag.SLOW: Fault.NODE_SLOW}


def forward_long_response(
    attempt: Attempt,
    sock: object,
    response: HttpResponse,
    timer: object,
    registry: StreamRegistry,
    inbox: Inbox,
    metrics: Metrics,
) -> tuple[Result, bool]:
    """Forward a long response; returns the result of the attempt, and whether its connection can be reused.

    `response` holds the head and the body so far. `timer`, that of the attempt, is stopped:
    from here on only stalls are timed. The attempt fails, and may have run, if no stream can be opened.
    """
    timer.close()  # type: ignore[attr-defined]
    stream = registry.open_stream(LONG_RESPONSE_POLICY, Body(Framing.NONE))
    if stream is None:
        metrics.add("spill.no_room")
        return Result.ERROR, False
    metrics.add("spill.begun")
    framing = Body(Framing.LENGTH, response.length) if response.length is not None else Body(Framing.CHUNKED)
    head = Head(200, select_headers(response.headers, LONG_RESPONSE_POLICY.answer_headers), framing)
    download = stream.start_download()
    inbox.put(ResponseStarted(attempt.job.number, attempt.index, StreamedResponse(head, stream)))
    try:
        _fill(sock, response, download)
    except (AbortedError, LagError, MalformedResponseError, SourceEndedError, OSError) as error:
        fault = _fault(error)
        metrics.add(f"spill.failed.{fault.label}")
        if isinstance(error, MalformedResponseError):
            metrics.add("claims.spoilt")
        download.abort(fault)
        return (Result.CANCELLED if attempt.cancelled else fault.value.result), False
    # A body of known length was not read by the parser, which is then not done.
    reusable = response.keep_alive if response.done else response.head_keep_alive
    return Result.OK, reusable and not response.ends_with_connection


def _fill(sock: object, response: HttpResponse, download: Pipe) -> None:
    source = Source(
        sock,
        ProgressMonitor(
            LONG_RESPONSE_POLICY.settings.stall,
            LONG_RESPONSE_POLICY.settings.least_rate,
            LONG_RESPONSE_POLICY.settings.rate_span,
        ),
    )
    download.put_copy(response.take_body())
    if response.length is not None and not response.done:
        source.fill(download, response.length - response.size)
    elif response.chunked and not response.done:

        def read(view: memoryview) -> tuple[bytes, bool]:
            response.feed(view)
            return response.take_body(), response.done

        source.fill_parsed(download, read)
    elif not response.done:
        with contextlib.suppress(SourceEndedError):  # the end of the body
            source.fill(download, UNTIL_CLOSE)
    download.end()


def _fault(error: BaseException) -> Fault:
    match error:
        case AbortedError():
            return error.fault
        case LagError():
            return FAULT_BY_LAG[error.lag]
        case MalformedResponseError():
            return Fault.NODE_MALFORMED
    return Fault.NODE_RESET
