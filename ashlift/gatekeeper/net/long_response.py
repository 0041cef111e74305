"""A node's answer on the platform's path that is too long to hold: passed on as it comes.

Loaded with the first such answer. The claim's greenlet takes a place at the desk, tells the owner of the
head (`Headed`, as a streamed claim does: from then on the job has its one answer and nothing is made again)
and fills the body into the place's pipe, which the client's connection drains at its own pace. An answer
that ends with its connection goes to the client in chunks, so that its end can be told.
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

# A node that is slow but gives is not cut off: it may stall for longer than a client waits for a first byte.
LONG_RESPONSE_POLICY = StreamPolicy(StreamClass(stall=4_000.0), REQUEST_HEADERS, RESPONSE_HEADERS)
UNTIL_CLOSE = 1 << 62  # bytes wanted of a body that ends with its connection
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
    """Pass the rest of a long answer on; the claim's result, and whether its connection may be used again.

    `reply` holds the head and what came of the body so far; `timer` is the claim's, which ends here: the
    body is timed by its pace. Without a place at the desk the claim fails: it may have run.
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
    keep = (
        response.keep_alive if response.done else response.head_keep_alive
    )  # a body of known length went by the parser
    return Result.OK, keep and not response.ends_with_connection


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
        with contextlib.suppress(SourceEndedError):  # its end
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
