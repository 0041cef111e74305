"""Records client requests and worker executions, and checks the responses against them."""

import hashlib
import zlib
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from ashlift.proxy.request_reader import ClientRequest

NOT_RUN_STATUSES = (408, 421, 429, 503)  # these guarantee that the request was not executed


@dataclass
class Request:
    """A client's request and its response. `extra_head`: further header lines; `status` 0: no response."""

    id: str
    method: str
    path: str
    body: bytes
    idempotent: bool
    chunked: bool = False
    remaining_ms: int = 3000
    extra_head: bytes = b""
    status: int = 0
    response_headers: dict[str, str] = field(default_factory=dict)
    response_body: bytes = b""

    def to_bytes(self) -> bytes:
        """The encoded HTTP request."""
        lines = [
            f"{self.method} {self.path} HTTP/1.1",
            "Host: h.example",
            f"X-Attempt-Id: {self.id}",
            f"X-Time-Remaining: {self.remaining_ms}",
        ]
        body = self.body
        if self.chunked:
            lines.append("Transfer-Encoding: chunked")
            chunks = [body[offset : offset + 7] for offset in range(0, len(body), 7)]
            body = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n\r\n"
        elif self.body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n" + self.extra_head + b"\r\n" + body


def server_seal(request_id: str, body: bytes) -> str:
    """The X-Server-Seal header of a worker's response with this body."""
    return f"{request_id}.{zlib.crc32(body):08x}"


def expected_body(request_id: str, body: bytes) -> bytes:
    """The body of a worker's response to a request with this body."""
    return f"{request_id} {hashlib.sha256(body).hexdigest()[:16]}".encode()


class History:
    """What clients sent and received, and how often workers executed each request.

    `unexpected`: altered or unsent requests at workers, and unrequested bytes at clients.
    """

    def __init__(self) -> None:
        self.requests: dict[str, Request] = {}
        self.runs: Counter[str] = Counter()
        self.unexpected: list[str] = []

    def new_request(self, path: str, idempotent: bool, body: bytes = b"", **more: Any) -> Request:
        """Create a request with the next id."""
        request_id = f"{len(self.requests) + 1:08x}"
        method = "POST" if body else "GET"
        request = Request(request_id, method, path, body, idempotent, **more)
        self.requests[request_id] = request
        return request

    def record_run(self, received: ClientRequest) -> None:
        """Record that a worker executes a request."""
        request_id = received.header(b"x-attempt-id").decode()
        self.runs[request_id] += 1
        sent = self.requests.get(request_id)
        content = received.method.decode(), received.target.decode(), bytes(received.body)
        if sent is None or (sent.method, sent.path, sent.body) != content:
            self.unexpected.append(f"a worker ran {content!r:.100} with id {request_id}")

    def check(self) -> None:
        """Check that responses match their requests and that no non-idempotent request ran twice."""
        assert not self.unexpected, self.unexpected
        for request in self.requests.values():
            if 200 <= request.status < 300:
                self._check_success(request)
            if not request.idempotent:
                self._check_runs(request)

    def _check_success(self, request: Request) -> None:
        headers = request.response_headers
        body = request.response_body
        assert headers.get("x-attempt-id") == request.id, f"response to another request: {request!r:.300}"
        assert headers.get("x-server-seal") == server_seal(request.id, body), (
            f"wrong X-Server-Seal: {request!r:.300}"
        )
        assert body == expected_body(request.id, request.body), f"body of another response: {request!r:.300}"
        assert self.runs[request.id], f"success, but no worker executed it: {request!r:.300}"

    def _check_runs(self, request: Request) -> None:
        runs = self.runs[request.id]
        assert runs <= 1, f"non-idempotent request executed {runs} times: {request!r:.300}"
        assert not runs or request.status not in NOT_RUN_STATUSES, (
            f"executed, but rejected with {request.status}: {request!r:.300}"
        )
