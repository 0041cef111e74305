"""Renders responses that are not streamed. No sockets."""

from http import HTTPStatus

from ashlift.gatekeeper.jobs import Answer, Verdict
from ashlift.gatekeeper.net.front.request import BadRequestError

STATUS_BY_VERDICT = {Verdict.REFUSED: HTTPStatus.TOO_MANY_REQUESTS, Verdict.FAILED: HTTPStatus.BAD_GATEWAY}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def render(answer: Answer | HTTPStatus | BadRequestError, keep_alive: bool) -> bytes:
    """Render a response, with a Retry-After header where the gateway advises a time."""
    close_header = b"" if keep_alive else b"Connection: close\r\n"
    if isinstance(answer, Answer) and answer.verdict in (Verdict.SERVED, Verdict.PASSED):
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%b\r\n%b" % (
            len(answer.body),
            close_header,
            answer.body,
        )
    status, retry_after_ms = HTTPStatus.OK, 0.0
    if isinstance(answer, Answer):
        status, retry_after_ms = STATUS_BY_VERDICT[answer.verdict], answer.retry_after_ms
    elif isinstance(answer, BadRequestError):
        status, retry_after_ms = answer.status, answer.retry_after_ms
    else:
        status = answer
    if retry_after_ms > 0:
        close_header += b"Retry-After: %.3f\r\n" % (retry_after_ms / 1000)
    return b"HTTP/1.1 %d %b\r\nContent-Length: 0\r\n%b\r\n" % (status, status.phrase.encode(), close_header)
