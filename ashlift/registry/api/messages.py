"""Requests and responses of the HTTP API, independent of connections. Times in seconds."""

import json
from typing import Any, Final, NamedTuple

REASON_PHRASES: Final = {
    200: "OK",
    202: "Accepted",
    307: "Temporary Redirect",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    412: "Precondition Failed",
    413: "Content Too Large",
    422: "Unprocessable Content",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}


class HttpRequest(NamedTuple):
    """A complete request; header names are lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    not_written_before: float = 0.0  # earliest monotonic time at which the client can have sent it

    @property
    def segments(self) -> list[str]:
        """Path segments after the resource name."""
        return self.path.split("/")[2:]


class HttpResponse(NamedTuple):
    """A status and a JSON body; `location`: target of a redirect."""

    status: int
    body: Any
    retry_after_seconds: float | None = None
    location: str = ""

    def encode(self, close: bool) -> bytes:
        """The encoded response; `close`: the connection closes after it."""
        body = json.dumps(self.body, separators=(",", ":")).encode()
        reason_phrase = REASON_PHRASES.get(self.status, "Status")
        head = [f"HTTP/1.1 {self.status} {reason_phrase}", "Content-Type: application/json"]
        head.append(f"Content-Length: {len(body)}")
        if self.retry_after_seconds is not None:
            head.append(f"Retry-After: {self.retry_after_seconds:g}")
        if self.location:
            head.append(f"Location: {self.location}")
        if close:
            head.append("Connection: close")
        return "\r\n".join([*head, "", ""]).encode() + body


def error_response(status: int, error: str, retry_after_seconds: float | None = None) -> HttpResponse:
    """A response with an error message."""
    return HttpResponse(status, {"error": error}, retry_after_seconds)


NO_MEMORY: Final = error_response(503, "others take the memory", retry_after_seconds=0.5)
