"""Responses: a worker's, read and checked; and what a client gets. No sockets."""

from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final

from ashlift.gatekeeper.net.http_response import HttpResponse
from ashlift.proxy.rejections import RejectionReason
from ashlift.proxy.request_reader import HOP_BY_HOP_HEADERS, Headers

ATTEMPT_ID_HEADER: Final = b"x-attempt-id"
SERVER_SEAL_HEADER: Final = b"x-server-seal"
NOT_EXECUTED_HEADER: Final = b"x-not-executed"
KEEP_ALIVE_HEADER: Final = b"keep-alive"
CONTENT_ENCODING_HEADER: Final = b"content-encoding"
MISDIRECTED_STATUS: Final = 421  # the worker is not the one that the request names
# To a client these promise that the request has not run and never will, and so does 421.
NOT_RUN_STATUSES: Final = (408, 429, 503)
BODILESS_STATUSES: Final = (204, 304)


class WorkerResponse(HttpResponse):
    """One response of a worker, received completely."""

    @property
    def long(self) -> bool:
        """Whether the body is passed on in parts, as the base class asks: never here."""
        return False

    def header(self, name: bytes) -> bytes | None:
        """The value of a header, None if it is missing or stands more than once."""
        values = [value for key, value in self.headers if key == name]
        return values[0] if len(values) == 1 else None

    @property
    def not_run(self) -> bool:
        """Whether the worker says that it has not run the request, and never will."""
        if self.status == MISDIRECTED_STATUS:
            return True
        return any(key == NOT_EXECUTED_HEADER for key, _ in self.headers)

    def is_valid(self) -> bool:
        """Whether it may be relayed: complete, and a success only with its seal.

        A status that promises more than the worker has said is none: only X-Not-Executed says that a request
        has not run.
        """
        if (
            not self.done
            or self.ends_with_connection
            or not 200 <= self.status <= 599
            or self.status in NOT_RUN_STATUSES
        ):
            return False
        if self.status >= 300:
            return True
        return bool(self.header(SERVER_SEAL_HEADER)) and self.header(CONTENT_ENCODING_HEADER) is None


@dataclass(slots=True)
class ClientResponse:
    """What a client gets. `retry_after`: seconds. `reason`: of the proxy's own responses, None if relayed."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    retry_after: float | None = None
    reason: RejectionReason | None = None


def relay(response: WorkerResponse) -> ClientResponse:
    """A worker's response as it is passed on: without the headers of its connection."""
    headers = [(name, value) for name, value in response.headers if name not in HOP_BY_HOP_HEADERS]
    return ClientResponse(response.status, headers, b"".join(response.parts))


def render(response: ClientResponse, keep_alive: bool, is_head: bool = False) -> bytes:
    """The bytes of a response. `is_head`: to a HEAD request, which gets no body."""
    lines = [b"HTTP/1.1 %d %b" % (response.status, _reason_phrase(response.status))]
    lines += [b"%b: %b" % header for header in response.headers]
    has_body = response.status not in BODILESS_STATUSES
    if has_body:
        lines.append(b"Content-Length: %d" % len(response.body))
    if response.retry_after is not None:
        lines.append(b"Retry-After: %.3f" % response.retry_after)
    if not keep_alive:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head + response.body if has_body and not is_head else head


def _reason_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"-"
