"""HTTP connections to simulated workers: parses requests, checks them against those sent, and answers.

`ashlift.simulation.worker.Worker` decides the outcome of a request. Every arrival is recorded in the history
under its `X-Attempt-Id`. An unknown id, or a method, path or body that differs from the client's, is recorded
as an unexpected arrival.
"""

from collections import deque
from typing import TYPE_CHECKING, Any, Final, cast

import attrs
import httptools
from gevent import socket

from ashlift.lab.system.request_content import (
    RequestContent,
    answer_body,
    answer_fingerprint,
    answer_seal,
    content_of,
)
from ashlift.simulation.history import Arrival, Request, UnexpectedArrival
from ashlift.simulation.worker import Worker
from ashlift.simulation.worker_attempts import WorkerAttempt

if TYPE_CHECKING:
    from ashlift.lab.system.worker_servers import WorkerServers

RECEIVE_BYTES: Final = 65536
HEALTH_TARGET: Final = b"/health"
DEFAULT_TIME_REMAINING_SECONDS: Final = 30.0  # for a request without X-Time-Remaining
MISDIRECTED_STATUS: Final = 421
NOT_EXECUTED_HEADERS: Final = {"X-Not-Executed": "1"}


class ServedRequest:
    """A request at a worker, passed to it in place of the simulator's `WorkerAttempt`."""

    def __init__(
        self, connection: "WorkerConnection", request: Request, tenant: str, attempt_id: str
    ) -> None:
        self.connection = connection
        self.request = request
        self.tenant = tenant
        self.attempt_id = attempt_id
        self.arrival: Arrival | None = None
        self.is_closed = False


@attrs.frozen
class ParsedRequest:
    """A complete request; names of `headers` are in lower case."""

    content: RequestContent
    headers: dict[str, str]


class WorkerConnection:
    """A connection to a worker, served by a greenlet of its server; pipelined requests are queued."""

    def __init__(self, servers: "WorkerServers", worker: Worker, sock: Any) -> None:
        self._servers = servers
        self._worker = worker
        self._sock = sock
        self._queued: deque[ParsedRequest] = deque()
        self._current: ServedRequest | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._body = b""
        self._headers: dict[str, str] = {}

    def run(self) -> None:
        """Serve requests until the connection is closed."""
        try:
            while data := self._sock.recv(RECEIVE_BYTES):
                self._parser.feed_data(data)
                self._start_queued()
        except (OSError, httptools.HttpParserError, httptools.HttpParserUpgrade):
            pass
        self.close()

    def close(self) -> None:
        """Close the connection; the worker stops the current request."""
        self._sock.close()
        self._servers.remove_connection(self._worker, self)
        if self._current is not None:
            self._current.is_closed = True
            self._worker.connection_closed(cast(WorkerAttempt, self._current))
            self._current = None

    # ---- callbacks of the parser
    def on_message_begin(self) -> None:
        """Reset the state of the parser callbacks for a new request."""
        self._target = b""
        self._body = b""
        self._headers = {}

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._body += data

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        content = RequestContent(self._parser.get_method(), self._target, self._body)
        self._queued.append(ParsedRequest(content, self._headers))

    # ---- requests
    def _start_queued(self) -> None:
        while self._queued and self._current is None:
            self._start(self._queued.popleft())

    def _start(self, parsed: ParsedRequest) -> None:
        if parsed.content.target == HEALTH_TARGET:
            status = 200 if self._worker.state == "ready" else 503
            self._write(status, b"", {"X-Instance-Id": self._worker.id})
            return
        attempt_id = parsed.headers.get("x-attempt-id", "")
        if not attempt_id:
            self._write(400, b"", dict(NOT_EXECUTED_HEADERS))
            return
        request = self._servers.sent_requests.get(attempt_id)
        if request is None or content_of(request) != parsed.content:
            self._record_unexpected(parsed.content, attempt_id)
            self._write(400, b"", dict(NOT_EXECUTED_HEADERS))
            return
        served = ServedRequest(self, request, parsed.headers.get("x-tenant", ""), attempt_id)
        self._current = served
        self._dispatch(served, parsed.headers)

    def _dispatch(self, served: ServedRequest, headers: dict[str, str]) -> None:
        worker = self._worker
        attempt = cast(WorkerAttempt, served)
        if headers.get("x-target-instance", worker.id) != worker.id:
            self._servers.record_arrival(worker, attempt, False, MISDIRECTED_STATUS)
            self.answer(served, MISDIRECTED_STATUS, False)
            return
        remaining = headers.get("x-time-remaining", "")
        seconds = float(remaining) / 1000 if remaining.isdigit() else DEFAULT_TIME_REMAINING_SECONDS
        worker.receive(attempt, seconds)

    def _record_unexpected(self, content: RequestContent, attempt_id: str) -> None:
        text = f"{content.method.decode()} {content.target.decode('latin-1')} of id {attempt_id}"
        arrival = UnexpectedArrival(self._servers.loop.now, self._worker.id, text)
        self._servers.history.unexpected_arrivals.append(arrival)

    def answer(self, served: ServedRequest, status: int, ran: bool) -> None:
        """Send the answer of the worker unless the request has ended; `ran`: the worker has executed it."""
        if served.is_closed or served is not self._current:
            return
        self._current = None
        headers = {"X-Attempt-Id": served.attempt_id}
        body = b""
        seal = ""
        if ran:
            seal = answer_seal(self._worker.id, served.attempt_id, len(served.request.arrivals))
            headers["X-Server-Seal"] = seal
            body = answer_body(seal)
        else:
            headers.update(NOT_EXECUTED_HEADERS)
        if served.arrival is not None:
            served.arrival.status = status
            served.arrival.seal = answer_fingerprint(seal, body)
        self._write(status, body, headers)
        self._start_queued()

    def _write(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        is_draining = self._worker.state != "ready"
        if is_draining:
            headers["Connection"] = "close"
        lines = [f"HTTP/1.1 {status} -", *(f"{name}: {value}" for name, value in headers.items())]
        lines.append(f"Content-Length: {len(body)}")
        try:
            self._sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            if is_draining:
                self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
