"""A client's HTTP request, and the job made from it."""

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING

from ashlift.gatekeeper.config import RequestSchema, normalize_customer
from ashlift.gatekeeper.jobs import Answer, Job
from ashlift.gatekeeper.net.nodes import UpstreamRequest

if TYPE_CHECKING:
    from ashlift.gatekeeper.streams.heads import Body
    from ashlift.gatekeeper.streams.stream import Stream, StreamPolicy

# Headers that may not be repeated.
SINGLE_VALUE_HEADERS = {
    b"x-qos",
    b"api-plan",
    b"api-customer",
    b"api-terms",
    b"x-trace-id",
    b"x-expires-in",
    b"x-second-try",
}


class BadRequestError(Exception):
    """An invalid request; carries the status of the response, and after what time to retry."""

    def __init__(self, status: HTTPStatus, retry_after_ms: float = 0.0) -> None:
        super().__init__(status)
        self.status, self.retry_after_ms = status, retry_after_ms


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One request; `error` is the response to one that is invalid.

    The reader passes on a streamed request when its head is complete, any other when its body is.
    """

    target: bytes = b""
    method: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: list[bytes] = field(default_factory=list)  # received and, if streamed, not yet forwarded
    size: int = 0  # bytes of the body received so far
    header_bytes: int = 0
    http_minor: int = 1  # x of HTTP/1.x
    keep_alive: bool = True
    body_complete: bool = False
    head_complete: bool = False
    received_ms: float = 0.0
    error: BadRequestError | None = None
    policy: "StreamPolicy | None" = None  # set if the class of the request is streamed
    framing: "Body | None" = None
    stream: "Stream | None" = None


def job_from_request(
    request: ClientRequest, names: RequestSchema, trace_ids: set[bytes], reply: Callable[[Answer], None]
) -> Job:
    """Make a job from a request; raises BadRequestError. `trace_ids`: those of open jobs."""
    headers = request.headers
    request_class = names.classes.get(headers.get(b"x-qos", b""))
    class_segment = request.target.split(b"?", 1)[0].split(b"/", 2)[1:2]
    if not class_segment or class_segment[0] not in names.classes:
        raise BadRequestError(HTTPStatus.NOT_FOUND)
    plan, trace_id = names.plans.get(headers.get(b"api-plan", b"")), headers.get(b"x-trace-id", b"")
    if (
        request_class is None
        or names.classes[class_segment[0]] != request_class
        or plan is None
        or not trace_id
    ):
        raise BadRequestError(HTTPStatus.BAD_REQUEST)
    try:
        customer = normalize_customer(headers[b"api-customer"].decode())
        time_left_ms = float(headers[b"x-expires-in"]) * 1000
        terms_parts = headers.get(b"api-terms", b"").split(b",")
        terms = dict(part.strip().split(b"=", 1) for part in terms_parts if part)
        units, spread = float(terms.get(b"units", 1)), int(terms.get(b"spread", 1))
        start = int(terms.get(b"first", 0))
    except (ValueError, KeyError):
        raise BadRequestError(HTTPStatus.BAD_REQUEST) from None
    spread_valid = 1 <= spread <= names.gateway_count and 0 <= start < names.gateway_count
    if not (0 <= time_left_ms < 1e9 and 0 < units <= names.max_units and spread_valid):
        raise BadRequestError(HTTPStatus.BAD_REQUEST)
    if trace_id in trace_ids:
        # Guards against running a request twice at the same time.
        raise BadRequestError(HTTPStatus.CONFLICT)
    stream = request.stream
    if stream is not None:  # the time limit is for the head of the response: the upload has its own
        time_left_ms = min(time_left_ms, stream.policy.settings.head)
    body = b"".join(request.body) if stream is None else b""
    upstream_request = UpstreamRequest(request.method, request.target, trace_id, body, stream)
    return Job(
        request_class,
        plan,
        customer,
        time_left_ms,
        request.received_ms,
        reply,
        upstream_request,
        units,
        spread,
        retry=headers.get(b"x-second-try") == b"1",
        streamed=stream is not None,
    )
