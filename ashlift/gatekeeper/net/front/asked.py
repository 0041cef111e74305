"""One request as it comes off the wire, and the job that it makes."""

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING

from ashlift.gatekeeper.config import RequestSchema, normalize_customer
from ashlift.gatekeeper.jobs import Answer, Job
from ashlift.gatekeeper.net.nodes import Cargo

if TYPE_CHECKING:
    from ashlift.gatekeeper.streams.heads import Body
    from ashlift.gatekeeper.streams.passage import Passage, Terms

# Headers that mean something here: repeated, nobody can tell which one holds.
ONCE = {b"x-qos", b"api-plan", b"api-customer", b"api-terms", b"x-trace-id", b"x-expires-in", b"x-second-try"}


class BadRequestError(Exception):
    """What a client sent cannot be taken; carries the status to answer with, and when to come back."""

    def __init__(self, status: HTTPStatus, retry_after_ms: float = 0.0) -> None:
        super().__init__(status)
        self.status, self.retry_after_ms = status, retry_after_ms


@dataclass(slots=True, eq=False)
class Asked:
    """One request; `wrong` is what its sender gets instead of an answer.

    A streamed one is told of when its head is whole, any other when its body is: `whole` says so.
    """

    target: bytes = b""
    method: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: list[bytes] = field(default_factory=list)  # what has come, or of a streamed one what lies here
    size: int = 0  # of the body so far
    head: int = 0  # of the headers
    minor: int = 1  # of HTTP/1.x
    keep: bool = True
    whole: bool = False
    headed: bool = False
    came_ms: float = 0.0
    wrong: BadRequestError | None = None
    terms: "Terms | None" = None  # of a class that streams
    framing: "Body | None" = None
    passage: "Passage | None" = None


def job_of(asked: Asked, names: RequestSchema, traces: set[bytes], reply: Callable[[Answer], None]) -> Job:
    """What a request asks of the core; raises BadRequestError. `traces` are those of open jobs."""
    headers = asked.headers
    kind = names.classes.get(headers.get(b"x-qos", b""))
    first = asked.target.split(b"?", 1)[0].split(b"/", 2)[1:2]
    if not first or first[0] not in names.classes:
        raise BadRequestError(HTTPStatus.NOT_FOUND)
    plan, trace = names.plans.get(headers.get(b"api-plan", b"")), headers.get(b"x-trace-id", b"")
    if kind is None or names.classes[first[0]] != kind or plan is None or not trace:
        raise BadRequestError(HTTPStatus.BAD_REQUEST)
    try:
        customer = normalize_customer(headers[b"api-customer"].decode())
        patience = float(headers[b"x-expires-in"]) * 1000
        listed = headers.get(b"api-terms", b"").split(b",")
        terms = dict(part.strip().split(b"=", 1) for part in listed if part)
        units, spread = float(terms.get(b"units", 1)), int(terms.get(b"spread", 1))
        start = int(terms.get(b"first", 0))
    except (ValueError, KeyError):
        raise BadRequestError(HTTPStatus.BAD_REQUEST) from None
    in_set = 1 <= spread <= names.gateway_count and 0 <= start < names.gateway_count
    if not (0 <= patience < 1e9 and 0 < units <= names.max_units and in_set):
        raise BadRequestError(HTTPStatus.BAD_REQUEST)
    if trace in traces:
        # Guards against a second copy at the nodes while the first is out.
        raise BadRequestError(HTTPStatus.CONFLICT)
    passage = asked.passage
    if passage is not None:  # so long for the answer's head; an upload before it has its own limits
        patience = min(patience, passage.terms.set.head)
    body = b"".join(asked.body) if passage is None else b""
    cargo = Cargo(asked.method, asked.target, trace, body, passage)
    return Job(
        kind,
        plan,
        customer,
        patience,
        asked.came_ms,
        reply,
        cargo,
        units,
        spread,
        retry=headers.get(b"x-second-try") == b"1",
        streamed=passage is not None,
    )
