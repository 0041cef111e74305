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
from ashlift.gatekeeper.jobs import Delivered, Left, Verdict
from ashlift.gatekeeper.net.front.answers import CONTINUE
from ashlift.gatekeeper.net.front.asked import Asked, BadRequestError
from ashlift.gatekeeper.net.front.connection import Connection, Owner
from ashlift.gatekeeper.net.front.reader import RequestReader
from ashlift.gatekeeper.net.links import hung_up
from ashlift.gatekeeper.streams.faults import BrokenOffError, Fault
from ashlift.gatekeeper.streams.heads import Framing, passing
from ashlift.gatekeeper.streams.pace import Lag, Pace
from ashlift.gatekeeper.streams.passage import Desk, Opening, Terms
from ashlift.gatekeeper.streams.pipe import EndedError
from ashlift.gatekeeper.streams.pump import LagError, Sink, Source

if TYPE_CHECKING:
    from ashlift.gatekeeper.streams.passage import Passage

log = logging.getLogger("ashlift.streams")
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: what is closed then is reset
SPOILT = {HTTPStatus.REQUEST_ENTITY_TOO_LARGE: Fault.REQUEST_TOO_LONG}
LAG = {Lag.STALLED: Fault.CLIENT_STALLED, Lag.SLOW: Fault.CLIENT_SLOW}


def pace_of(terms: Terms) -> Pace:
    """One side's record by its class's settings."""
    return Pace(terms.set.stall, terms.set.least_rate, terms.set.rate_span)


def flow(sock: socket.socket, minor: int, opening: Opening, keep: bool) -> Fault | None:
    """Write an answer to a client of HTTP/1.`minor` as it comes; why it could not be written whole."""
    passage, head = opening.passage, opening.head
    data, framing = head.render(minor, keep)
    sink = Sink(sock, pace_of(passage.terms))
    try:
        sink.write(data)
        if passage.answer is not None:
            sink.drain(passage.answer, framing is Framing.CHUNKED)
        return None
    except BrokenOffError as broken:
        fault = broken.fault
    except LagError as lag:
        fault = LAG[lag.lag]
    except OSError:
        fault = Fault.CLIENT_LEFT
    passage.break_off(fault)
    _break_off(sock, framing, fault)
    return fault


def _break_off(sock: socket.socket, framing: Framing, fault: Fault) -> None:
    """Guards against a client that takes what came for the whole: a body whose end is the connection's is
    reset, as is one whose client takes nothing; the others lack their end visibly."""
    try:
        if framing is Framing.CLOSE or fault in LAG.values():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()
        else:
            sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


class StreamConnection(Connection):
    """One client connection; classes that do not stream are served as on any other."""

    def __init__(self, front: Owner, sock: socket.socket, desk: Desk) -> None:
        super().__init__(front, sock)
        self._desk, self.linger_most = desk, desk.settings.linger_bytes
        self._reader = RequestReader(self._begin_idle, self._arrived, desk.terms)
        self._uploads: deque[Asked] = deque()  # whose bodies are to be carried, in order
        self._overtime: Any = None
        self._began = 0.0

    # ---- a request's body

    def _step(self) -> bool:
        return self._carry(self._uploads.popleft()) if self._uploads else super()._step()

    def _arrived(self, asked: Asked) -> None:
        if asked.terms is not None and asked.framing is not None and asked.wrong is None:
            asked.passage = self._desk.take(asked.terms, asked.framing)
            if asked.passage is None:
                self._front.metrics.add("streams.turned_away")
                asked.wrong = BadRequestError(HTTPStatus.SERVICE_UNAVAILABLE, self._desk.advice_ms())
                if asked.framing.framing is not Framing.NONE:
                    # Guards against a body that is collected while its answer waits behind others.
                    asked.keep, self._deaf = False, True
            else:
                asked.passage.headers = passing([*asked.headers.items()], asked.terms.request_headers)
                if asked.framing.framing is not Framing.NONE:
                    self._uploads.append(asked)
        super()._arrived(asked)

    def _begin(self, asked: Asked) -> None:
        if asked.passage is not None:
            self._began = self._front.clock.now()
            total = asked.passage.terms.set.total
            if total > 0:
                self._overtime = self._front.clock.later(total, self._give_up, asked, Fault.OVERTIME)
        super()._begin(asked)

    def _carry(self, asked: Asked) -> bool:
        """Pass a request's body on, once it is wanted; whether to read on behind it."""
        passage = asked.passage
        assert passage is not None and passage.upload is not None and asked.framing is not None
        passage.wanted.wait()
        source = Source(self._sock, pace_of(passage.terms), partial(hung_up, self._sock))
        try:
            if passage.upload.fault is not None:
                raise BrokenOffError(passage.upload.fault)
            if not asked.size and b"expect" in asked.headers and not asked.whole:
                self._out.put((asked, CONTINUE))
            passage.upload.put_copy(self._lying(asked))
            if not asked.whole and asked.framing.framing is Framing.LENGTH:
                source.fill(passage.upload, asked.framing.length - asked.size)
                self._reader.pass_over()
            elif not asked.whole:
                source.fill_parsed(passage.upload, partial(self._parse, asked))
            passage.upload.end()
        except BrokenOffError:
            self._deaf |= not asked.whole  # answered, or about to be: the rest of the body is thrown away
        except LagError as lag:
            self._give_up(asked, LAG[lag.lag])
        except BadRequestError as bad:
            self._front.metrics.add(f"requests.bad_{int(bad.status)}")
            self._give_up(asked, SPOILT.get(bad.status, Fault.CLIENT_SPOILT))
        except (EndedError, OSError):
            return False
        return True

    def _lying(self, asked: Asked) -> bytes:
        """What of the body came with the head."""
        lying, asked.body = b"".join(asked.body), []
        return lying

    def _parse(self, asked: Asked, view: memoryview) -> tuple[bytes, bool]:
        """What of the bytes that came is this request's body, and whether that ends it."""
        try:
            self._reader.feed(view)
        except BadRequestError as bad:
            if not asked.whole:
                raise
            self._refuse(bad)  # what cannot be read came behind it
        return self._lying(asked), asked.whole

    # ---- an answer's body

    def _deliver(self, asked: Asked, answer: Any, keep: bool) -> bool:
        if asked.passage is None:
            return super()._deliver(asked, answer, keep)
        if getattr(answer, "opening", None) is None:
            fault = None
            if isinstance(answer, BadRequestError):
                fault = asked.passage.fault  # none: nothing failed, it could not be taken
            elif answer.verdict is Verdict.FAILED:
                fault = answer.cause or Fault.HEAD_LATE
                answer = self._word(fault)
            self._tell(asked, "failed" if fault is not None else "refused", fault)
            return super()._deliver(asked, answer, keep)
        # To a client of HTTP/1.0 a chunked body ends with the connection.
        keep = keep and not (asked.minor == 0 and answer.opening.head.body.framing is Framing.CHUNKED)
        fault = self._flow(asked, answer.opening, keep)
        if self._job is not None:
            self._front.inbox.put(Delivered(self._job, fault is None))
        if not self._gone:
            left = "left" if fault is Fault.CLIENT_LEFT else "failed"
            self._tell(asked, "served" if fault is None else left, fault)
        # The end may have been asked for while the answer flowed: nobody would close this connection then.
        return keep and fault is None and not self._may_end()

    def _flow(self, asked: Asked, opening: Opening, keep: bool) -> Fault | None:
        return flow(self._sock, asked.minor, opening, keep)

    # ---- ends

    def _give_up(self, asked: Asked, fault: Fault) -> None:
        """End a streamed job from this side, with one answer where none has begun."""
        job, passage = self._job, asked.passage
        self._deaf |= not asked.whole
        if passage is None or asked is not self._current or job is None:
            if passage is not None:
                passage.break_off(fault)
            return
        if job.flowing:
            return passage.break_off(fault)  # the writer sees it, and cuts
        self._front.inbox.put(Left(job))  # ahead of the claim's end: nothing is made again
        passage.break_off(fault)
        if fault.value.status is not None:
            self._out.put((asked, self._word(fault)))

    def _word(self, fault: Fault) -> BadRequestError:
        status = fault.value.status or HTTPStatus.BAD_GATEWAY
        return BadRequestError(status, self._desk.advice_ms() if fault is Fault.SHUTDOWN else 0.0)

    def cut(self) -> None:
        if self._current is not None and self._current.passage is not None:
            self._give_up(self._current, Fault.SHUTDOWN)

    def _left(self) -> None:
        current = self._current
        if current is not None and current.passage is not None:
            if self._job is not None:
                self._tell(current, "left", Fault.CLIENT_LEFT)
                self._shut(socket.SHUT_RDWR)  # wakes a writer that waits for the client
            current.passage.break_off(Fault.CLIENT_LEFT)
        super()._left()
        self._drop_waiting()

    def _drop_waiting(self) -> None:
        for asked in self._waiting:
            if asked.passage is not None:
                asked.passage.close()
        super()._drop_waiting()

    def _done(self) -> None:
        current = self._current
        super()._done()
        if current is not None and current.passage is not None:
            if self._overtime is not None:
                self._overtime.close()
                self._overtime = None
            current.passage.close()

    def _tell(self, asked: Asked, how: str, fault: Fault | None) -> None:
        """Each stream is counted once, and told of in one line."""
        passage: Passage | None = asked.passage
        assert passage is not None
        why = fault.label if fault is not None else "-"
        self._front.metrics.add(f"streams.failed.{why}" if how == "failed" else f"streams.{how}")
        logs.log_event(
            log,
            logging.INFO,
            "stream.ended",
            trace=asked.headers.get(b"x-trace-id", b"").decode("latin-1"),
            how=how,
            reason=why,
            up=passage.upload.got_bytes if passage.upload is not None else 0,
            down=passage.answer.got_bytes if passage.answer is not None else 0,
            ms=round(self._front.clock.now() - self._began),
        )
