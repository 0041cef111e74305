"""Streams: the two bodies of a job and the fault that ends both; the registry limits their number."""

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
    """Stream settings of a class, with all the headers that are forwarded."""

    settings: StreamClass
    request_headers: frozenset[bytes]
    answer_headers: frozenset[bytes]


class Stream:
    """The state of a streamed job that the front and the node adapter share.

    The front fills `upload` and drains `download`; the node adapter drains `upload` and fills `download`.
    Neither uses the socket of the other: `abort` calls the `abort_callbacks` of both.
    """

    def __init__(self, registry: "StreamRegistry", policy: StreamPolicy, body: Body) -> None:
        self._registry, self.policy, self.body = registry, policy, body
        self.headers: Headers = []  # of the request, that are forwarded
        self.upload = Pipe(registry.pool) if body.framing is not Framing.NONE else None
        self.download: Pipe | None = None
        self.fault: Fault | None = None
        self.upload_wanted = Event()  # an attempt is ready for the request body
        self.abort_callbacks: set[Callable[[], None]] = set()
        self._open = True

    def start_download(self) -> Pipe:
        self.download = Pipe(self._registry.pool)
        return self.download

    def stop_upload(self, fault: Fault) -> None:
        """Discard the rest of the request body."""
        if self.upload is not None:
            self.upload.abort(fault)
        self.upload_wanted.set()

    def abort(self, fault: Fault) -> None:
        """End both bodies. Only the first fault is kept."""
        if self.fault is None:
            self.fault = fault
        self.stop_upload(fault)
        if self.download is not None:
            self.download.abort(fault)
        for abort_callback in list(self.abort_callbacks):
            abort_callback()

    def close(self) -> None:
        """End the stream with its job, and remove it from the registry."""
        if self._open:
            self._open = False
            self.abort(Fault.FINISHED)
            self._registry.open_streams.discard(self)


@dataclass(frozen=True, slots=True)
class StreamedResponse:
    """A response whose head has arrived, and the stream that its body follows in."""

    head: Head
    stream: Stream

    def discard(self) -> None:
        """End the stream of a response that no client waits for."""
        self.stream.abort(Fault.WITHDRAWN)
        self.stream.close()


class StreamRegistry:
    """Opens streams, up to the number that the settings allow."""

    def __init__(self, settings: Streaming, class_numbers: dict[bytes, int]) -> None:
        """`class_numbers`: numbers of the known classes. Stream settings of other classes are ignored."""
        self.settings = settings
        self.pool = BufferPool(settings.buffer_bytes, settings.stream_buffer_bytes, 2 * settings.most_streams)
        self.open_streams: set[Stream] = set()
        self.unknown_classes = [
            stream_class.name
            for stream_class in settings.classes
            if stream_class.name.encode() not in class_numbers
        ]
        self._policies = {
            stream_class.name.encode(): StreamPolicy(
                stream_class,
                REQUEST_HEADERS | {name.encode() for name in stream_class.request_headers},
                RESPONSE_HEADERS | {name.encode() for name in stream_class.answer_headers},
            )
            for stream_class in settings.classes
            if stream_class.name.encode() in class_numbers
        }

    def policy_for(self, target: bytes) -> StreamPolicy | None:
        """Return the policy of the class named in a request target, or None if it is not streamed."""
        if not target.startswith(b"/"):
            return None
        return self._policies.get(target[1:].split(b"?", 1)[0].split(b"/", 1)[0])

    def open_stream(self, policy: StreamPolicy, body: Body) -> Stream | None:
        """Open a stream; None if the limit is reached."""
        if len(self.open_streams) >= self.settings.most_streams:
            return None
        stream = Stream(self, policy, body)
        self.open_streams.add(stream)
        return stream

    def retry_after_ms(self) -> float:
        """Return a time for Retry-After, with jitter so that rejected clients do not all retry at once."""
        return self.settings.retry_after * (1 + random.random())
