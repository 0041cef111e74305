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
from ashlift.gatekeeper.streams.faults import BrokenOffError, Fault
from ashlift.gatekeeper.streams.heads import ANSWER_HEADERS, REQUEST_HEADERS, Body, Framing, Head, passing
from ashlift.gatekeeper.streams.pace import Lag, Pace
from ashlift.gatekeeper.streams.passage import Desk, Opening, Terms
from ashlift.gatekeeper.streams.pipe import EndedError, Pipe
from ashlift.gatekeeper.streams.pump import LagError, Source

# A node that is slow but gives is not cut off: it may stall for longer than a client waits for a first byte.
TERMS = Terms(StreamClass(stall=4_000.0), REQUEST_HEADERS, ANSWER_HEADERS)
UNTIL_END = 1 << 62  # bytes wanted of a body that ends with its connection
LAG = {Lag.STALLED: Fault.NODE_STALLED, Lag.SLOW: Fault.NODE_SLOW}


def pass_on(
    attempt: Attempt,
    sock: object,
    response: HttpResponse,
    timer: object,
    desk: Desk,
    inbox: Inbox,
    metrics: Metrics,
) -> tuple[Result, bool]:
    """Pass the rest of a long answer on; the claim's result, and whether its connection may be used again.

    `reply` holds the head and what came of the body so far; `timer` is the claim's, which ends here: the
    body is timed by its pace. Without a place at the desk the claim fails: it may have run.
    """
    timer.close()  # type: ignore[attr-defined]
    passage = desk.take(TERMS, Body(Framing.NONE))
    if passage is None:
        metrics.add("spill.no_room")
        return Result.ERROR, False
    metrics.add("spill.begun")
    framing = Body(Framing.LENGTH, response.length) if response.length is not None else Body(Framing.CHUNKED)
    head = Head(200, passing(response.headers, TERMS.answer_headers), framing)
    answer = passage.begin_answer()
    inbox.put(ResponseStarted(attempt.job.number, attempt.index, Opening(head, passage)))
    try:
        _fill(sock, response, answer)
    except (BrokenOffError, LagError, MalformedResponseError, EndedError, OSError) as error:
        fault = _fault(error)
        metrics.add(f"spill.failed.{fault.label}")
        if isinstance(error, MalformedResponseError):
            metrics.add("claims.spoilt")
        answer.break_off(fault)
        return (Result.CANCELLED if attempt.cancelled else fault.value.result), False
    keep = (
        response.keep_alive if response.done else response.head_keep_alive
    )  # a body of known length went by the parser
    return Result.OK, keep and not response.ends_with_connection


def _fill(sock: object, response: HttpResponse, answer: Pipe) -> None:
    source = Source(sock, Pace(TERMS.set.stall, TERMS.set.least_rate, TERMS.set.rate_span))
    answer.put_copy(response.take_body())
    if response.length is not None and not response.done:
        source.fill(answer, response.length - response.size)
    elif response.chunked and not response.done:

        def read(view: memoryview) -> tuple[bytes, bool]:
            response.feed(view)
            return response.take_body(), response.done

        source.fill_parsed(answer, read)
    elif not response.done:
        with contextlib.suppress(EndedError):  # its end
            source.fill(answer, UNTIL_END)
    answer.end()


def _fault(error: BaseException) -> Fault:
    match error:
        case BrokenOffError():
            return error.fault
        case LagError():
            return LAG[error.lag]
        case MalformedResponseError():
            return Fault.NODE_SPOILT
    return Fault.NODE_RESET
