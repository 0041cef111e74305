"""One job's bodies, both ways, and the one fault that ends both; and the desk where all of them are known."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from gevent.event import Event

from ashlift.gatekeeper.settings.model import StreamClass, Streaming
from ashlift.gatekeeper.streams.faults import Fault
from ashlift.gatekeeper.streams.heads import ANSWER_HEADERS, REQUEST_HEADERS, Body, Framing, Head, Headers
from ashlift.gatekeeper.streams.pipe import Pipe, Pool


@dataclass(frozen=True, slots=True)
class Terms:
    """A class's settings, ready for use."""

    set: StreamClass
    request_headers: frozenset[bytes]
    answer_headers: frozenset[bytes]


class Passage:
    """What the front and the node adapter share of one streamed job.

    The front fills `upload`, the node adapter drains it; the node adapter fills `answer`, the front drains
    it. Neither touches the other's socket: `break_off` calls what each has hung up in `hooks`.
    """

    def __init__(self, desk: "Desk", terms: Terms, body: Body) -> None:
        self._desk, self.terms, self.body = desk, terms, body
        self.headers: Headers = []  # of the request, as far as they pass
        self.upload = Pipe(desk.pool) if body.framing is not Framing.NONE else None
        self.answer: Pipe | None = None
        self.fault: Fault | None = None
        self.wanted = Event()  # a claim stands: the body may come
        self.hooks: set[Callable[[], None]] = set()
        self._open = True

    def begin_answer(self) -> Pipe:
        self.answer = Pipe(self._desk.pool)
        return self.answer

    def stop_upload(self, fault: Fault) -> None:
        """The rest of the request's body is not wanted."""
        if self.upload is not None:
            self.upload.break_off(fault)
        self.wanted.set()

    def break_off(self, fault: Fault) -> None:
        """End it all; the first fault counts."""
        if self.fault is None:
            self.fault = fault
        self.stop_upload(fault)
        if self.answer is not None:
            self.answer.break_off(fault)
        for hook in list(self.hooks):
            hook()

    def close(self) -> None:
        """The job has ended, however it did: its place is free."""
        if self._open:
            self._open = False
            self.break_off(Fault.ANSWERED)
            self._desk.open.discard(self)


@dataclass(frozen=True, slots=True)
class Opening:
    """An answer that begins: its head, and the passage in which its body comes."""

    head: Head
    passage: Passage

    def withdraw(self) -> None:
        """Nobody waits for it any more: its place is free."""
        self.passage.break_off(Fault.WITHDRAWN)
        self.passage.close()


class Desk:
    """Gives out places for streams, as many as the settings allow."""

    def __init__(self, settings: Streaming, kinds: dict[bytes, int]) -> None:
        """`kinds` numbers the platform's classes; those that it does not name stay as they are."""
        self.settings = settings
        self.pool = Pool(settings.buffer_bytes, settings.stream_buffer_bytes, 2 * settings.most_streams)
        self.open: set[Passage] = set()
        self.unknown = [one.name for one in settings.classes if one.name.encode() not in kinds]
        self._terms = {
            one.name.encode(): Terms(
                one,
                REQUEST_HEADERS | {name.encode() for name in one.request_headers},
                ANSWER_HEADERS | {name.encode() for name in one.answer_headers},
            )
            for one in settings.classes
            if one.name.encode() in kinds
        }

    def terms(self, target: bytes) -> Terms | None:
        """The terms of the class that a request's target names, if that class streams."""
        if not target.startswith(b"/"):
            return None
        return self._terms.get(target[1:].split(b"?", 1)[0].split(b"/", 1)[0])

    def take(self, terms: Terms, body: Body) -> Passage | None:
        """A place for one more; None where all are taken."""
        if len(self.open) >= self.settings.most_streams:
            return None
        passage = Passage(self, terms, body)
        self.open.add(passage)
        return passage

    def advice_ms(self) -> float:
        """When to come back, spread so that those turned away together do not come back together."""
        return self.settings.retry_after * (1 + random.random())
