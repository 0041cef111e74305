"""One job's bodies, both ways, and the one fault that ends both; and the desk where all of them are known."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from gevent.event import Event

from ashlift.gatekeeper.settings.model import StreamClass, Streaming
from ashlift.gatekeeper.streams.faults import Fault
from ashlift.gatekeeper.streams.heads import REQUEST_HEADERS, RESPONSE_HEADERS, Body, Framing, Head, Headers
from ashlift.gatekeeper.streams.pipe import BufferPool, Pipe


@dataclass(frozen=True, slots=True)
class StreamPolicy:
    """A class's settings, ready for use."""

    settings: StreamClass
    request_headers: frozenset[bytes]
    answer_headers: frozenset[bytes]


class Stream:
    """What the front and the node adapter share of one streamed job.

    The front fills `upload`, the node adapter drains it; the node adapter fills `answer`, the front drains
    it. Neither touches the other's socket: `break_off` calls what each has hung up in `hooks`.
    """

    def __init__(self, registry: "StreamRegistry", policy: StreamPolicy, body: Body) -> None:
        self._registry, self.policy, self.body = registry, policy, body
        self.headers: Headers = []  # of the request, as far as they pass
        self.upload = Pipe(registry.pool) if body.framing is not Framing.NONE else None
        self.download: Pipe | None = None
        self.fault: Fault | None = None
        self.upload_wanted = Event()  # a claim stands: the body may come
        self.abort_callbacks: set[Callable[[], None]] = set()
        self._open = True

    def start_download(self) -> Pipe:
        self.download = Pipe(self._registry.pool)
        return self.download

    def stop_upload(self, fault: Fault) -> None:
        """The rest of the request's body is not wanted."""
        if self.upload is not None:
            self.upload.abort(fault)
        self.upload_wanted.set()

    def abort(self, fault: Fault) -> None:
        """End it all; the first fault counts."""
        if self.fault is None:
            self.fault = fault
        self.stop_upload(fault)
        if self.download is not None:
            self.download.abort(fault)
        for abort_callback in list(self.abort_callbacks):
            abort_callback()

    def close(self) -> None:
        """The job has ended, however it did: its place is free."""
        if self._open:
            self._open = False
            self.abort(Fault.FINISHED)
            self._registry.open_streams.discard(self)


@dataclass(frozen=True, slots=True)
class StreamedResponse:
    """An answer that begins: its head, and the passage in which its body comes."""

    head: Head
    stream: Stream

    def discard(self) -> None:
        """Nobody waits for it any more: its place is free."""
        self.stream.abort(Fault.WITHDRAWN)
        self.stream.close()


class StreamRegistry:
    """Gives out places for streams, as many as the settings allow."""

    def __init__(self, settings: Streaming, class_numbers: dict[bytes, int]) -> None:
        """`kinds` numbers the platform's classes; those that it does not name stay as they are."""
        self.settings = settings
        self.pool = BufferPool(settings.buffer_bytes, settings.stream_buffer_bytes, 2 * settings.most_streams)
        self.open_streams: set[Stream] = set()
        self.unknown_classes = [
            stream_class.name
            for stream_class in settings.classes
            if stream_class.name.encode() not in class_numbers
        ]
        self._policy = {
            stream_class.name.encode(): StreamPolicy(
                stream_class,
                REQUEST_HEADERS | {name.encode() for name in stream_class.request_headers},
                RESPONSE_HEADERS | {name.encode() for name in stream_class.answer_headers},
            )
            for stream_class in settings.classes
            if stream_class.name.encode() in class_numbers
        }

    def policy_for(self, target: bytes) -> StreamPolicy | None:
        """The terms of the class that a request's target names, if that class streams."""
        if not target.startswith(b"/"):
            return None
        return self._policy.get(target[1:].split(b"?", 1)[0].split(b"/", 1)[0])

    def open_stream(self, policy: StreamPolicy, body: Body) -> Stream | None:
        """A place for one more; None where all are taken."""
        if len(self.open_streams) >= self.settings.most_streams:
            return None
        stream = Stream(self, policy, body)
        self.open_streams.add(stream)
        return stream

    def retry_after_ms(self) -> float:
        """When to come back, spread so that those turned away together do not come back together."""
        return self.settings.retry_after * (1 + random.random())
