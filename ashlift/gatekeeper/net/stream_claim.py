"""One claim whose bodies are passed on as they arrive: the node's side of a passage.

This greenlet writes the head and reads the answer; a second one carries the request's body meanwhile, so
that an answer that comes early is seen. Both end with the claim.
"""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import gevent
import httptools

from ashlift.gatekeeper.admission.interface import Result
from ashlift.gatekeeper.jobs import BodyBegun, Clock, Headed, Inbox
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.net.nodes import Cargo, Claim
from ashlift.gatekeeper.net.replies import HEAD_MOST, SpoiltAnswerError
from ashlift.gatekeeper.operations.statsd_metrics import RELAYED_COUNTER
from ashlift.gatekeeper.streams.faults import BrokenOffError, Fault
from ashlift.gatekeeper.streams.heads import (
    Body,
    Framing,
    FramingError,
    Head,
    Headers,
    answer_body,
    framing_line,
    lines,
    passing,
)
from ashlift.gatekeeper.streams.pace import Lag, Pace
from ashlift.gatekeeper.streams.passage import Opening, Passage
from ashlift.gatekeeper.streams.pipe import EndedError, Pipe
from ashlift.gatekeeper.streams.pump import LagError, Sink, Source

LAG = {Lag.STALLED: Fault.NODE_STALLED, Lag.SLOW: Fault.NODE_SLOW}
CHUNK_COST = 16  # bytes of framing for each byte of a body, beyond HEAD_MOST: tiny chunks, no more


class FaultError(Exception):
    """The claim fails; carries why."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.label)
        self.fault = fault


class StreamReply:
    """Reads one answer's head, and its body where a parser must find the end. 1xx answers are passed over."""

    def __init__(self, method: bytes, longest: int) -> None:
        self._method, self._longest = method, longest
        self.headers: Headers = []
        self.status = self.size = self._fed = 0
        self.body: Body | None = None  # once the head is whole
        self.done = self.keep = self.never_ran = self.too_long = False
        self._parts: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes | memoryview) -> None:
        """Raises SpoiltAnswerError."""
        self._fed += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, FramingError) as error:
            self.keep = False
            if not self.done:
                raise SpoiltAnswerError(str(error)) from None
        if not self.done and self._fed - self.size > HEAD_MOST + CHUNK_COST * self.size:
            raise SpoiltAnswerError("no end")

    def take(self) -> bytes:
        """What of the body has been read since this was last asked."""
        taken, self._parts = b"".join(self._parts), []
        return taken

    # httptools calls these

    def on_message_begin(self) -> None:
        if self.done:
            self.keep = False  # something came behind it
        else:
            self.headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.body is None and not self.done:  # no trailers
            self.headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if status < 200 or self.done:
            return
        self.status, self.body = status, answer_body(self._method, status, self.headers)
        self.never_ran = (b"x-never-ran", b"1") in self.headers
        self.keep = self._parser.should_keep_alive() and self.body.framing is not Framing.CLOSE
        self.too_long = self.body.length > self._longest
        if self.body.framing is Framing.NONE:
            self.done = True

    def on_body(self, body: bytes) -> None:
        if self.done:
            self.keep = False  # of a HEAD's answer that has a body all the same
            return
        self.size += len(body)
        self.too_long |= self.size > self._longest
        self._parts.append(body)

    def on_message_complete(self) -> None:
        if self.body is not None:
            self.done = True


class StreamClaim:
    """One attempt to pass a job's bodies on. `timer` is the claim's, for all until its answer's head."""

    def __init__(
        self, claim: Claim, sock: Any, timer: Any, clock: Clock, inbox: Inbox, metrics: Metrics
    ) -> None:
        self._claim, self._sock, self._timer, self._clock = claim, sock, timer, clock
        self._inbox, self._metrics = inbox, metrics
        self._cargo: Cargo = claim.job.cargo
        assert self._cargo.passage is not None
        self._passage: Passage = self._cargo.passage
        self._began = clock.now()
        self._late: Any = None  # the timer of the answer's head behind an upload
        self._fault: Fault | None = None  # that another greenlet found

    def run(self, address: tuple[str, int], left_ms: float) -> tuple[Result, bool]:
        """Result, and whether the connection may be used again."""
        passage, carrier = self._passage, None
        hook = self._stop
        passage.hooks.add(hook)
        try:
            if passage.fault is not None:
                return Result.CANCELLED, False
            self._sock.sendall(self._head(address, left_ms))
            if passage.upload is None:
                self._claim.written = True
                self._metrics.add(RELAYED_COUNTER)
            else:
                carrier = gevent.spawn(self._carry, passage.upload)
            reply = StreamReply(self._cargo.method, passage.terms.set.longest)
            self._read_head(reply)
            return self._answer(reply)
        except BaseException as error:
            return self._failed(error), False
        finally:
            passage.hooks.discard(hook)
            if self._late is not None:
                self._late.close()
            if carrier is not None:
                carrier.kill()

    def _head(self, address: tuple[str, int], left_ms: float) -> bytes:
        cargo, passage = self._cargo, self._passage
        host = b"%b:%d" % (address[0].encode(), address[1])
        framing = framing_line(passage.body)
        if not framing and cargo.method not in (b"GET", b"HEAD"):
            framing = b"Content-Length: 0\r\n"
        return b"%b %b HTTP/1.1\r\nHost: %b\r\nX-Trace-Id: %b\r\nX-Expires-In: %.3f\r\n%b%b\r\n" % (
            cargo.method,
            cargo.target,
            host,
            cargo.trace,
            max(0.001, left_ms / 1000),
            lines(passage.headers),
            framing,
        )

    # ---- the request's body

    def _carry(self, upload: Pipe) -> None:
        """Pass the body on. Where the node takes no more, its answer may lie there: the reader sees to it."""
        terms = self._passage.terms.set
        sink = Sink(self._sock, Pace(terms.stall, terms.least_rate, terms.rate_span))
        self._passage.wanted.set()
        try:
            first = upload.get()
            if first is not None:
                # Ahead of the first byte: from here on the module knows that it cannot be sent again.
                self._inbox.put(BodyBegun(self._claim.job.number, self._claim.attempt))
                self._timer.close()  # an upload has its own limits
                upload.unget(first)
            sink.drain(upload, self._passage.body.framing is Framing.CHUNKED)
        except BrokenOffError as broken:
            if broken.fault is not Fault.EARLY_ANSWER:
                self._stop(broken.fault)
        except LagError as lag:
            self._stop(LAG[lag.lag])
        except OSError:
            pass
        else:
            self._claim.written = True
            self._metrics.add(RELAYED_COUNTER)
            self._timer.close()
            self._began = self._clock.now()
            self._late = self._clock.later(terms.head, self._stop, Fault.HEAD_LATE)

    def _stop(self, fault: Fault | None = None) -> None:
        """End the claim from another greenlet."""
        if self._fault is None:
            self._fault = fault or self._passage.fault
        self._claim.end()

    # ---- the answer

    def _read_head(self, reply: StreamReply) -> None:
        while reply.body is None:
            data = self._sock.recv(65536)
            if not data:
                raise EndedError
            reply.feed(data)
        self._timer.close()
        if self._late is not None:
            self._late.close()

    def _answer(self, reply: StreamReply) -> tuple[Result, bool]:
        claim, body, passage = self._claim, reply.body, self._passage
        assert body is not None
        claim.waited_ms = self._clock.now() - self._began
        early = passage.upload is not None and not claim.written
        if reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            never = reply.never_ran and reply.status in (503, 504)
            claim.cause = Fault.NODE_ERROR
            return (Result.OVERLOADED if never else Result.ERROR), reply.keep and reply.done and not early
        if body.framing is Framing.CLOSE:
            raise SpoiltAnswerError("an answer that does not say where it ends")
        if reply.too_long:
            # Another node would say the same: nothing is made again.
            self._inbox.put(BodyBegun(claim.job.number, claim.attempt))
            raise FaultError(Fault.ANSWER_TOO_LONG)
        if early:
            passage.stop_upload(Fault.EARLY_ANSWER)
        announced = next((v for n, v in reply.headers if n == b"content-length"), None)
        head = Head(
            reply.status,
            passing(reply.headers, passage.terms.answer_headers),
            body,
            announced if self._cargo.method == b"HEAD" else None,
        )
        answer = passage.begin_answer()
        opening = Opening(head, passage)
        self._inbox.put(Headed(claim.job.number, claim.attempt, opening))
        self._fill(reply, answer, body)
        return Result.OK, reply.keep and not early

    def _fill(self, reply: StreamReply, answer: Pipe, body: Body) -> None:
        terms = self._passage.terms.set
        source = Source(self._sock, Pace(terms.stall, terms.least_rate, terms.rate_span))
        answer.put_copy(reply.take())
        if body.framing is Framing.LENGTH and not reply.done:
            source.fill(answer, body.length - reply.size)
        elif body.framing is Framing.CHUNKED and not reply.done:
            source.fill_parsed(answer, self._parse(reply))
        answer.end()

    def _parse(self, reply: StreamReply) -> Callable[[memoryview], tuple[bytes, bool]]:
        def read(view: memoryview) -> tuple[bytes, bool]:
            reply.feed(view)
            if reply.too_long:
                raise FaultError(Fault.ANSWER_TOO_LONG)
            return reply.take(), reply.done

        return read

    def _failed(self, error: BaseException) -> Result:
        """Name what broke, break the answer off where it flows, and say what the module is told."""
        claim, fault = self._claim, self._fault
        if fault is None and claim.cancelled:
            fault = self._passage.fault or Fault.WITHDRAWN
        if fault is None:
            match error:
                case BrokenOffError() | FaultError():
                    fault = error.fault
                case LagError():
                    fault = LAG[error.lag]
                case SpoiltAnswerError():
                    fault = Fault.NODE_SPOILT
                    self._metrics.add("claims.spoilt")
                case EndedError() | OSError():
                    fault = Fault.NODE_RESET
                case gevent.Timeout() if error is self._timer:
                    fault = Fault.HEAD_LATE
                case _:
                    raise error
        claim.cause = fault
        if self._passage.answer is not None:
            self._passage.answer.break_off(fault)
        if claim.cancelled or fault.value.result is Result.CANCELLED:
            return Result.CANCELLED
        ran = claim.written or self._passage.answer is not None
        return fault.value.result if ran else Result.CONNECT_FAILED
