"""Answers: what a worker said, checked; what we say ourselves. No sockets."""

from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final

from ashlift.gatekeeper.net.replies import Reply
from ashlift.proxy.request_reader import HOP_BY_HOP_HEADERS, Headers

ATTEMPT_ID_HEADER: Final = b"x-attempt-id"
SERVER_SEAL_HEADER: Final = b"x-server-seal"
NOT_RUN_STATUSES: Final = (
    408,
    429,
    503,
)  # to a client they say that it has not run and never will; so does 421


class WorkerResponse(Reply):
    """One answer of a worker, held whole."""

    @property
    def long(self) -> bool:
        return False

    def header(self, name: bytes) -> bytes | None:
        """The value of a header of the answer, None where there is none or several."""
        found = [value for key, value in self.headers if key == name]
        return found[0] if len(found) == 1 else None

    @property
    def not_run(self) -> bool:
        """The worker says that it has not run the request, and never will."""
        return self.status == 421 or any(key == b"x-not-executed" for key, _ in self.headers)

    def is_valid(self) -> bool:
        """Whether it may be passed on as the worker's own word: whole, a success with its seal, and no
        promise that the worker has not given (only X-Not-Executed says that a request has not run)."""
        if not self.done or self.to_close or not 200 <= self.status <= 599 or self.status in NOT_RUN_STATUSES:
            return False
        if self.status >= 300:
            return True
        return bool(self.header(SERVER_SEAL_HEADER)) and self.header(b"content-encoding") is None


@dataclass(slots=True)
class ClientResponse:
    """What a client gets."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    retry_after: float | None = None  # s, Retry-After
    cause: str = ""  # of our own answers, for the log


def relay(reply: WorkerResponse) -> ClientResponse:
    kept = [(name, value) for name, value in reply.headers if name not in HOP_BY_HOP_HEADERS]
    return ClientResponse(reply.status, kept, b"".join(reply.parts))


def render(answer: ClientResponse, keep: bool, bodiless: bool = False) -> bytes:
    """The bytes of an answer. `bodiless`: it answers a HEAD."""
    try:
        phrase = HTTPStatus(answer.status).phrase.encode()
    except ValueError:
        phrase = b"-"
    lines = [b"HTTP/1.1 %d %b" % (answer.status, phrase)]
    lines += [b"%b: %b" % header for header in answer.headers]
    if answer.status not in (204, 304):
        lines.append(b"Content-Length: %d" % len(answer.body))
    if answer.retry_after is not None:
        lines.append(b"Retry-After: %.3f" % answer.retry_after)
    if not keep:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if bodiless or answer.status in (204, 304) else head + answer.body
