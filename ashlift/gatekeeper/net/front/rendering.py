"""The bytes of answers that are whole. No sockets."""

from http import HTTPStatus

from ashlift.gatekeeper.jobs import Answer, Verdict
from ashlift.gatekeeper.net.front.request import BadRequestError

REASON = {Verdict.REFUSED: HTTPStatus.TOO_MANY_REQUESTS, Verdict.FAILED: HTTPStatus.BAD_GATEWAY}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def render(answer: Answer | HTTPStatus | BadRequestError, keep_alive: bool) -> bytes:
    """The bytes of one answer. A requeue notice says when to come back, as the module advises."""
    end = b"" if keep_alive else b"Connection: close\r\n"
    if isinstance(answer, Answer) and answer.verdict in (Verdict.SERVED, Verdict.PASSED):
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%b\r\n%b" % (len(answer.body), end, answer.body)
    status, again_ms = HTTPStatus.OK, 0.0
    if isinstance(answer, Answer):
        status, again_ms = REASON[answer.verdict], answer.retry_after_ms
    elif isinstance(answer, BadRequestError):
        status, again_ms = answer.status, answer.retry_after_ms
    else:
        status = answer
    if again_ms > 0:
        end += b"Retry-After: %.3f\r\n" % (again_ms / 1000)
    return b"HTTP/1.1 %d %b\r\nContent-Length: 0\r\n%b\r\n" % (status, status.phrase.encode(), end)
