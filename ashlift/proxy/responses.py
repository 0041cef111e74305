"""Validates workers' responses, and renders the responses to clients. No I/O."""

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
MISDIRECTED_STATUS: Final = 421  # the request names another worker
# To a client these guarantee that the request has not run and never will, as 421 does.
NOT_RUN_STATUSES: Final = (408, 429, 503)
BODILESS_STATUSES: Final = (204, 304)


class WorkerResponse(HttpResponse):
    """One response of a worker."""

    @property
    def long(self) -> bool:
        """Whether the body is streamed, as the base class asks; never for the proxy."""
        return False

    def header(self, name: bytes) -> bytes | None:
        """The value of a header, None if it is missing or present more than once."""
        values = [value for key, value in self.headers if key == name]
        return values[0] if len(values) == 1 else None

    @property
    def not_run(self) -> bool:
        """Whether the worker guarantees that it has not run the request and never will."""
        if self.status == MISDIRECTED_STATUS:
            return True
        return any(key == NOT_EXECUTED_HEADER for key, _ in self.headers)

    def is_valid(self) -> bool:
        """Whether the response may be relayed: it must be complete, and a success must have X-Server-Seal.

        Statuses that tell a client that the request has not run are invalid, since from a worker only
        X-Not-Executed guarantees that.
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
    """A response to a client. `retry_after`: seconds. `reason`: of a rejection, None if relayed."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    retry_after: float | None = None
    reason: RejectionReason | None = None


def relay(response: WorkerResponse) -> ClientResponse:
    """The response to the client for a worker's response, without hop-by-hop headers."""
    headers = [(name, value) for name, value in response.headers if name not in HOP_BY_HOP_HEADERS]
    return ClientResponse(response.status, headers, b"".join(response.parts))


def render(response: ClientResponse, keep_alive: bool, is_head: bool = False) -> bytes:
    """Serialize a response. `is_head`: to a HEAD request, so without the body."""
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
