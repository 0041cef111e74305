"""Workers on real sockets: what a worker does is `simulation.worker.Worker`; here are its connections.

A worker listens at a loopback address of its own, takes requests as PROTOCOL.md says, and every arrival goes
into the history by the request's `X-Attempt-Id`. An id that no client sent, or another method, path or body
than the client's, is kept as a stray.
"""

import hashlib
from collections import deque
from typing import Any, cast

import gevent
import httptools
from gevent import socket
from gevent.server import StreamServer

from ashlift.lab.system.machine_layout import WORKER_PORT
from ashlift.proxy.attempts import AttemptOutcome, AttemptResult
from ashlift.simulation.event_loop import EventLoop
from ashlift.simulation.history import Arrival, History, Request, UnexpectedArrival
from ashlift.simulation.process import Network
from ashlift.simulation.worker import Worker
from ashlift.simulation.worker_attempts import WorkerAttempt
from ashlift.simulation.worker_pool import WorkerPool

BODY_BYTES = 200  # of an answer
LEFT_S = 30.0  # where a request does not say how long its client waits


def seal(worker: str, attempt: str, number: int) -> str:
    return hashlib.sha256(f"{worker}.{attempt}.{number}".encode()).hexdigest()[:24]


def print_of(seal_: str, body: bytes) -> str:
    """What must come to the client as the worker gave it: the seal, and a digest of the body."""
    return f"{seal_}.{hashlib.sha256(body).hexdigest()[:12]}"


class WireTry:
    """One request at a worker; it stands in for a `WorkerAttempt`."""

    def __init__(self, line: "Line", request: Request, tenant: str, attempt: str) -> None:
        self.line, self.request, self.tenant, self.attempt = line, request, tenant, attempt
        self.arrival: Arrival | None = None
        self.is_closed = False


class Line:
    """One connection to a worker, one request at a time."""

    def __init__(self, yard: "WireWorkerPool", worker: Worker, sock: Any) -> None:
        self.yard, self.worker, self.sock = yard, worker, sock
        self.waiting: deque[tuple[bytes, bytes, dict[str, str], bytes]] = deque()
        self.out: WireTry | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target, self._body, self._headers = b"", b"", dict[str, str]()

    def run(self) -> None:
        try:
            while data := self.sock.recv(65536):
                self._parser.feed_data(data)
                self.go()
        except (OSError, httptools.HttpParserError, httptools.HttpParserUpgrade):
            pass
        self.close()

    def close(self) -> None:
        self.sock.close()
        self.yard.lines.get(self.worker.id, set()).discard(self)
        if self.out is not None:
            self.out.is_closed = True
            self.worker.connection_closed(cast(WorkerAttempt, self.out))
            self.out = None

    def on_message_begin(self) -> None:
        self._target, self._body, self._headers = b"", b"", {}

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        self.waiting.append((self._parser.get_method(), self._target, self._headers, self._body))

    def go(self) -> None:
        """Begin the next request, if none is at work."""
        while self.waiting and self.out is None:
            self._begin(*self.waiting.popleft())

    def _begin(self, method: bytes, target: bytes, headers: dict[str, str], body: bytes) -> None:
        worker, attempt = self.worker, headers.get("x-attempt-id", "")
        if target == b"/health":
            well = worker.state == "ready"
            return self.write(200 if well else 503, b"", {"X-Instance-Id": worker.id})
        if not attempt:
            return self.write(400, b"", {"X-Not-Executed": "1"})
        request = self.yard.sent.get(attempt)
        if request is None or asked(request) != (method, target, body):
            what = f"{method.decode()} {target.decode('latin-1')} of id {attempt}"
            self.yard.history.unexpected_arrivals.append(
                UnexpectedArrival(self.yard.loop.now, worker.id, what)
            )
            return self.write(400, b"", {"X-Not-Executed": "1"})
        one = self.out = WireTry(self, request, headers.get("x-tenant", ""), attempt)
        wanted = headers.get("x-target-instance", worker.id)
        if wanted != worker.id:
            self.yard.record_arrival(worker, cast(WorkerAttempt, one), False, 421)
            return self.answer(one, 421, False)
        left = headers.get("x-time-remaining", "")
        worker.receive(cast(WorkerAttempt, one), float(left) / 1000 if left.isdigit() else LEFT_S)

    def answer(self, one: WireTry, status: int, ran: bool) -> None:
        if one.is_closed or one is not self.out:
            return
        self.out = None
        headers = {"X-Attempt-Id": one.attempt}
        body = b""
        if ran:
            headers["X-Server-Seal"] = seal(self.worker.id, one.attempt, len(one.request.arrivals))
            body = (headers["X-Server-Seal"].encode() * (BODY_BYTES // 24 + 1))[:BODY_BYTES]
        else:
            headers["X-Not-Executed"] = "1"
        if one.arrival is not None:
            one.arrival.status = status
            one.arrival.seal = print_of(headers.get("X-Server-Seal", ""), body)
        self.write(status, body, headers)
        self.go()

    def write(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        leaving = self.worker.state != "ready"
        if leaving:
            headers["Connection"] = "close"
        lines = [f"HTTP/1.1 {status} -", *(f"{name}: {value}" for name, value in headers.items())]
        lines.append(f"Content-Length: {len(body)}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        try:
            self.sock.sendall(data)
            if leaving:
                self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()


def asked(request: Request) -> tuple[bytes, bytes, bytes]:
    """Method, target and body of a request of these clients."""
    body = b"" if request.idempotent else f"request {request.id}".encode()
    return b"POST" if body else b"GET", request.path.encode(), body


class WireWorkerPool(WorkerPool):
    """All workers with their sockets; `sent`: the requests of all clients by attempt id."""

    def __init__(
        self,
        loop: EventLoop,
        net: Network,
        history: History,
        registries: list[str],
        heartbeat_interval: float,
        drain_seconds: float,
        net_number: int,
    ) -> None:
        super().__init__(loop, net, history, registries, heartbeat_interval, drain_seconds)
        self.sent: dict[str, Request] = {}
        self.lines: dict[str, set[Line]] = {}  # by worker
        self._net = net_number
        self._servers: dict[str, StreamServer] = {}

    def allocate_address(self) -> str:
        self.address_count += 1
        high, low = divmod(self.address_count, 250)
        return f"127.{self._net}.{10 + high}.{low + 1}:{WORKER_PORT}"

    def add(
        self,
        service: str,
        zone: str,
        region: str,
        capacity: int,
        latency: float,
        warmup_seconds: float,
        address: str | None = None,
    ) -> Worker:
        worker = super().add(service, zone, region, capacity, latency, warmup_seconds, address)
        host, _, port = worker.address.rpartition(":")
        lines = self.lines[worker.id] = set()

        def serve(sock: Any, _: Any) -> None:
            line = Line(self, worker, sock)
            lines.add(line)
            line.run()

        server = self._servers[worker.id] = StreamServer((host, int(port)), serve)
        server.start()
        return worker

    def release_address(self, worker: Worker) -> None:
        super().release_address(worker)
        server = self._servers.pop(worker.id, None)
        if server is not None:
            server.close()
        for line in list(self.lines.pop(worker.id, ())):
            line.close()

    def record_arrival(
        self, worker: Worker, attempt: WorkerAttempt, ran: bool, rejection_status: int = 0
    ) -> None:
        wire = cast(WireTry, attempt)
        made = Arrival(
            self.loop.now, worker.id, worker.service, wire.tenant, wire.request.proxy, ran, rejection_status
        )
        wire.arrival = made
        wire.request.arrivals.append(made)

    def send_answer(self, worker: Worker, attempt: WorkerAttempt, outcome: AttemptOutcome) -> None:
        wire = cast(WireTry, attempt)
        if outcome.result is AttemptResult.CONNECTION_LOST or outcome.response is None:
            gevent.spawn(wire.line.close)
        else:
            wire.line.answer(wire, outcome.response.status, outcome.result is AttemptResult.RESPONSE)

    def stop(self) -> None:
        for worker in list(self.workers.values()):
            self.release_address(worker)
