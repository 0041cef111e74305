"""Validates workers' responses, and renders the responses to clients. No I/O."""

from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final, Protocol

from ashlift.gatekeeper.net.http_response import MAX_HEAD_BYTES, HttpResponse, MalformedResponseError
from ashlift.proxy.rejections import Rejection, RejectionReason
from ashlift.proxy.request_reader import HOP_BY_HOP_HEADERS, Headers

ATTEMPT_ID_HEADER: Final = b"x-attempt-id"
SERVER_SEAL_HEADER: Final = b"x-server-seal"
NOT_EXECUTED_HEADER: Final = b"x-not-executed"
KEEP_ALIVE_HEADER: Final = b"keep-alive"
CONTENT_ENCODING_HEADER: Final = b"content-encoding"
MISDIRECTED_STATUS: Final = 421  # the request names another worker
# To a client these guarantee that the request has not run and never will, as 421 does.
NOT_RUN_STATUSES: Final = (408, 429, 503)
BODILESS_STATUSES: Final = (204, 304)
CHUNKED: Final = b"Transfer-Encoding: chunked"
MAX_FEED_BYTES: Final = 64 << 10  # that are parsed at once


class ResponseSource(Protocol):
    """Where the rest of a response comes from: `ashlift.proxy.response_stream.ResponseStream`."""

    def read(self) -> bytes:
        """The next part of the body, empty at its end."""

    def close(self) -> None:
        """End the response."""


class HeldMemory(Protocol):
    """The memory of a response: `ashlift.proxy.response_stream.ResponseMemory`."""

    def release(self) -> None:
        """The response is no longer held."""


class WorkerResponse(HttpResponse):
    """One response of a worker.

    `stream`: the rest of the body, if the response is relayed while it is received. `memory`: of the body.
    """

    def __init__(self) -> None:
        super().__init__()
        self.stream: ResponseSource | None = None
        self.memory: HeldMemory | None = None
        self._parsed_bytes = 0  # up to the last complete header or part of the body
        self._parsed_size = 0

    def discard(self) -> None:
        """End the response, and release its memory."""
        self.parts = []
        if self.stream is not None:
            self.stream.close()
        if self.memory is not None:
            self.memory.release()

    def _check_size(self) -> None:
        """Bodies may have any size, but not heads, trailers and other elements that the parser holds."""
        if self.size != self._parsed_size:
            self._parsed_size = self.size
            self._parsed_bytes = self.bytes_fed
        if self.bytes_fed - self._parsed_bytes > MAX_HEAD_BYTES + MAX_FEED_BYTES:
            raise MalformedResponseError("head or trailers over the size limit")

    def header(self, name: bytes) -> bytes | None:
        """The value of a header, None if it is missing or present more than once."""
        values = [value for key, value in self.headers if key == name]
        return values[0] if len(values) == 1 else None

    @property
    def not_run(self) -> bool:
        """Whether the worker guarantees that it has not run the request and never will."""
        if MISDIRECTED_STATUS in (self.status, self.head_status):
            return True
        return any(key == NOT_EXECUTED_HEADER for key, _ in self.headers)

    @property
    def can_be_streamed(self) -> bool:
        """Whether the part received so far may be relayed before the rest."""
        return self.head_complete and not self.done and self.is_relayable(self.head_status)

    def is_valid(self) -> bool:
        """Whether the response is complete and may be relayed."""
        return self.done and self.is_relayable(self.status)

    def is_relayable(self, status: int) -> bool:
        """Whether a response with this status and head may be relayed; a success must have X-Server-Seal.

        Statuses that tell a client that the request has not run are invalid, since from a worker only
        X-Not-Executed guarantees that.
        """
        if self.ends_with_connection or not 200 <= status <= 599 or status in NOT_RUN_STATUSES:
            return False
        if status >= 300:
            return True
        return bool(self.header(SERVER_SEAL_HEADER)) and self.header(CONTENT_ENCODING_HEADER) is None


@dataclass(slots=True)
class ClientResponse:
    """A response to a client. `retry_after`: seconds. `reason`: of a rejection, None if relayed.

    `parts`: of the body. `source`: the worker's response, whose memory is released with this one.
    """

    status: int
    headers: Headers = field(default_factory=list)
    parts: list[bytes] = field(default_factory=list)
    retry_after: float | None = None
    reason: RejectionReason | None = None
    source: WorkerResponse | None = None

    @property
    def stream(self) -> ResponseSource | None:
        """The rest of the body, if it is relayed while it is received."""
        return None if self.source is None else self.source.stream

    @property
    def body_bytes(self) -> int | None:
        """The size of the body; None if it is not known in advance."""
        if self.source is None or self.source.stream is None:
            return sum(map(len, self.parts))
        return self.source.length

    def release(self) -> None:
        """The response has been written, or is given up."""
        self.parts = []
        if self.source is not None:
            self.source.discard()


def relay(response: WorkerResponse) -> ClientResponse:
    """The response to the client for a worker's response, without hop-by-hop headers."""
    headers = [(name, value) for name, value in response.headers if name not in HOP_BY_HOP_HEADERS]
    parts = response.parts if response.stream is None else []
    return ClientResponse(response.status, headers, parts, source=response)


def rejection_response(rejection: Rejection) -> ClientResponse:
    """The response to the client for a rejection."""
    return ClientResponse(rejection.status, retry_after=rejection.retry_after, reason=rejection.reason)


def render(response: ClientResponse, keep_alive: bool) -> bytes:
    """Serialize a response that is not relayed, or is short."""
    head = render_head(response, keep_alive)
    return head + b"".join(response.parts) if response.parts and has_body(response.status) else head


def has_body(status: int) -> bool:
    """Whether a response with this status can have a body."""
    return status not in BODILESS_STATUSES


def render_head(response: ClientResponse, keep_alive: bool, accepts_chunks: bool = True) -> bytes:
    """Serialize the head of a response.

    A body of unknown size ends with the connection if the client does not accept chunks.
    """
    lines = [b"HTTP/1.1 %d %b" % (response.status, _reason_phrase(response.status))]
    lines += [b"%b: %b" % header for header in response.headers]
    if has_body(response.status):
        body_bytes = response.body_bytes
        if body_bytes is not None:
            lines.append(b"Content-Length: %d" % body_bytes)
        elif accepts_chunks:
            lines.append(CHUNKED)
    if response.retry_after is not None:
        lines.append(b"Retry-After: %.3f" % response.retry_after)
    if not keep_alive:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _reason_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"-"
