"""Builds the forwarded request: which client headers are read, dropped and added. No I/O."""

from typing import Final, NamedTuple

from ashlift.proxy.admission import AdmittedRequest
from ashlift.proxy.request_reader import (
    BAD_REQUEST_STATUS,
    CONNECTION_HEADER,
    HOP_BY_HOP_HEADERS,
    BadRequestError,
    ClientRequest,
)
from ashlift.proxy.responses import ATTEMPT_ID_HEADER

HOST_HEADER: Final = b"host"
AUTHORIZATION_HEADER: Final = b"authorization"
TIME_REMAINING_HEADER: Final = b"x-time-remaining"
CONSUMED_HEADERS: Final = HOP_BY_HOP_HEADERS | {
    AUTHORIZATION_HEADER,
    TIME_REMAINING_HEADER,
    b"x-target-instance",
    b"x-tenant",
}
BEARER_SCHEME: Final = "bearer"
MAX_REMAINING_SECONDS: Final = 3600.0
MIN_REMAINING_SECONDS: Final = 0.001


class RoutingHeaders(NamedTuple):
    """The values from a request's head that admission needs.

    `remaining`: seconds that the client will still wait, now that the request has been received.
    """

    attempt_id: bytes
    host: str
    path: str
    api_key: str
    remaining: float


def client_timeout(request: ClientRequest) -> float:
    """How long the client waits from the beginning of its request, in seconds.

    Raises BadRequestError if the header is malformed.
    """
    remaining_ms = request.header(TIME_REMAINING_HEADER)
    try:
        timeout = float(remaining_ms) / 1000 if remaining_ms else MAX_REMAINING_SECONDS
    except ValueError:
        raise BadRequestError(BAD_REQUEST_STATUS) from None
    if not 0 < timeout <= MAX_REMAINING_SECONDS:
        raise BadRequestError(BAD_REQUEST_STATUS)
    return timeout


def routing_headers(request: ClientRequest) -> RoutingHeaders:
    """Parse the headers that admission needs. Raises BadRequestError if they are malformed."""
    attempt_id = request.header(ATTEMPT_ID_HEADER)
    remaining = client_timeout(request)
    try:
        path = request.target.decode("ascii").partition("?")[0]
        host = request.header(HOST_HEADER).decode("ascii")
        scheme, _, key = request.header(AUTHORIZATION_HEADER).decode("ascii").partition(" ")
    except ValueError:
        raise BadRequestError(BAD_REQUEST_STATUS) from None
    if not attempt_id or not path.startswith("/"):
        raise BadRequestError(BAD_REQUEST_STATUS)
    remaining = max(MIN_REMAINING_SECONDS, remaining - request.receive_seconds)
    api_key = key.strip() if scheme.lower() == BEARER_SCHEME else ""
    return RoutingHeaders(attempt_id, host, path, api_key, remaining)


def forwarded_head(client_request: ClientRequest, admitted: AdmittedRequest) -> bytes:
    """The part of the head that is common to all attempts."""
    connection_options = client_request.header_list(CONNECTION_HEADER).split(b",")
    hop_by_hop = {option.strip().lower() for option in connection_options}
    lines = [b"%b %b HTTP/1.1" % (client_request.method, client_request.target)]
    lines += [
        b"%b: %b" % (name, value)
        for name, value in client_request.headers
        if (lower := name.lower()) not in CONSUMED_HEADERS and lower not in hop_by_hop
    ]
    if admitted.tenant is not None:
        lines.append(b"X-Tenant: " + admitted.tenant.name.encode())
    if client_request.has_body:
        lines.append(b"Content-Length: %d" % client_request.body_bytes)
    return b"\r\n".join(lines)


def attempt_head(common_head: bytes, worker_id: str, remaining: float) -> bytes:
    """The head of one attempt. `remaining`: seconds until the deadline."""
    return b"%b\r\nX-Time-Remaining: %d\r\nX-Target-Instance: %b\r\n\r\n" % (
        common_head,
        max(1, int(remaining * 1000)),
        worker_id.encode(),
    )
