"""Connections to stand-ins for workers: requests are parsed, checked against what clients sent, and answered.

What a worker does with a request is `ashlift.simulation.worker.Worker`. Every arrival goes into the history
by the request's `X-Attempt-Id`. An id that no client sent, or another method, path or body than the client's,
is recorded as unexpected.
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
DEFAULT_TIME_REMAINING_SECONDS: Final = 30.0  # where a request does not say how long its client waits
MISDIRECTED_STATUS: Final = 421
NOT_EXECUTED_HEADERS: Final = {"X-Not-Executed": "1"}


class ServedRequest:
    """One request at a worker; it stands in for the simulator's `WorkerAttempt`."""

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
    """One connection to a worker: one request at a time, others wait. Its greenlet is the server's."""

    def __init__(self, servers: "WorkerServers", worker: Worker, sock: Any) -> None:
        self._servers = servers
        self._worker = worker
        self._sock = sock
        self._waiting: deque[ParsedRequest] = deque()
        self._current: ServedRequest | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._body = b""
        self._headers: dict[str, str] = {}

    def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while data := self._sock.recv(RECEIVE_BYTES):
                self._parser.feed_data(data)
                self._start_waiting()
        except (OSError, httptools.HttpParserError, httptools.HttpParserUpgrade):
            pass
        self.close()

    def close(self) -> None:
        """Close the connection; the worker stops the current request."""
        self._sock.close()
        self._servers.forget_connection(self._worker, self)
        if self._current is not None:
            self._current.is_closed = True
            self._worker.connection_closed(cast(WorkerAttempt, self._current))
            self._current = None

    # ---- callbacks of the parser
    def on_message_begin(self) -> None:
        """A request begins."""
        self._target = b""
        self._body = b""
        self._headers = {}

    def on_url(self, url: bytes) -> None:
        """A part of the target has come."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header has come."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_body(self, data: bytes) -> None:
        """A part of the body has come."""
        self._body += data

    def on_message_complete(self) -> None:
        """The request is complete."""
        content = RequestContent(self._parser.get_method(), self._target, self._body)
        self._waiting.append(ParsedRequest(content, self._headers))

    # ---- requests
    def _start_waiting(self) -> None:
        while self._waiting and self._current is None:
            self._start(self._waiting.popleft())

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
        self._hand_to_worker(served, parsed.headers)

    def _hand_to_worker(self, served: ServedRequest, headers: dict[str, str]) -> None:
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
        """Send the worker's answer, unless the request has ended; `ran`: the worker has run it."""
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
        self._start_waiting()

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
