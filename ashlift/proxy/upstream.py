"""Connections to workers: kept, checked before each use, and closed when anything on them is in doubt.

One exchange with a worker is one attempt; what its outcome means is decided in `ashlift.proxy.attempts` and
`ashlift.proxy.request_router`.
"""

import time
from collections import deque
from dataclasses import dataclass
from typing import Final, NamedTuple

import gevent
from gevent import socket

from ashlift.gatekeeper.net.http_response import MalformedResponseError
from ashlift.proxy.attempts import AttemptOutcome, AttemptResult
from ashlift.proxy.idle_connections import IdleConnectionAges
from ashlift.proxy.responses import ATTEMPT_ID_HEADER, KEEP_ALIVE_HEADER, WorkerResponse
from ashlift.rpc.addresses import Address
from ashlift.rpc.sockets import has_unread_input

# An idle connection is used again for so long, or for what `Keep-Alive` says less a margin.
MAX_IDLE_SECONDS: Final = 4.0
KEEP_ALIVE_MARGIN_SECONDS: Final = 1.0
MAX_IDLE_PER_WORKER: Final = 16
# A request of so many bytes may be answered before all of it has been read.
MIN_EARLY_RESPONSE_REQUEST_BYTES: Final = 16 << 10
RECEIVE_BYTES: Final = 65536


class WorkerRequest(NamedTuple):
    """One exchange to be made. `time_left`, `connect_timeout`: seconds. `max_connections`: to this worker."""

    worker_id: str
    address: Address
    payload: bytes
    attempt_id: bytes
    idempotent: bool
    time_left: float
    connect_timeout: float
    max_connections: int


@dataclass(slots=True, eq=False)
class WorkerConnection:
    """A connection to a worker. Times are steady, in seconds.

    `idle_seconds`: how long it had been idle when it was taken for the current exchange. `reusable_for`: for
    how long it may be used again after it; 0: it is closed.
    """

    sock: socket.socket
    address: Address
    usable_until: float = 0.0
    idle_since: float = 0.0
    idle_seconds: float = 0.0
    reusable_for: float = 0.0


class Attempt:
    """An attempt in flight. `sent`: bytes of the request may have reached the worker."""

    def __init__(self) -> None:
        self.sock: socket.socket | None = None
        self.cancelled = False
        self.sent = False

    def cancel(self) -> None:
        """Close its connection; the exchange ends at once."""
        self.cancelled = True
        if self.sock is not None:
            self.sock.close()


class ConnectionPool:
    """All connections to workers of this process, by the worker's id: its address may pass to another."""

    def __init__(self) -> None:
        self._idle: dict[str, deque[WorkerConnection]] = {}
        self._open_count: dict[str, int] = {}
        self._idle_ages = IdleConnectionAges()

    def exchange(self, attempt: Attempt, request: WorkerRequest) -> AttemptOutcome:
        """Send a request and read its response. Every failure is an outcome."""
        started_at = time.monotonic()
        connection: WorkerConnection | None = None
        timer = gevent.Timeout(request.time_left)
        timer.start()
        try:
            connection = self._acquire(request, started_at)
            if connection is None:
                return AttemptOutcome(AttemptResult.NO_CONNECTION_FREE)
            return self._send(attempt, request, connection, started_at)
        except gevent.Timeout as timeout:
            if timeout is not timer:
                raise
            return _failed(attempt, AttemptResult.TIMED_OUT, time.monotonic() - started_at)
        except (OSError, MalformedResponseError) as error:
            now = time.monotonic()
            elapsed = now - started_at
            is_reset = isinstance(error, ConnectionError) and connection is not None
            idle_reset = is_reset and self._was_idle_reset(connection, now, elapsed)
            return _failed(attempt, AttemptResult.CONNECTION_LOST, elapsed, idle_reset)
        finally:
            timer.close()
            attempt.sock = None
            if connection is not None:
                self._release(request.worker_id, connection, attempt)

    def _send(
        self, attempt: Attempt, request: WorkerRequest, connection: WorkerConnection, started_at: float
    ) -> AttemptOutcome:
        if attempt.cancelled:  # while it was connecting
            connection.reusable_for = MAX_IDLE_SECONDS
            return AttemptOutcome(AttemptResult.NOT_RUN)
        attempt.sock = connection.sock
        attempt.sent = True
        connection.sock.sendall(request.payload)
        is_large = len(request.payload) > MIN_EARLY_RESPONSE_REQUEST_BYTES
        responded_early = is_large and has_unread_input(connection.sock)
        response = self._read_response(connection, request.attempt_id)
        if responded_early:
            connection.reusable_for = 0.0  # the worker may take the rest of the request for another one
        elapsed = time.monotonic() - started_at
        if response is None:
            return AttemptOutcome(AttemptResult.CONNECTION_LOST, None, elapsed)
        result = AttemptResult.NOT_RUN if response.not_run else AttemptResult.RESPONSE
        return AttemptOutcome(result, response, elapsed)

    @staticmethod
    def _read_response(connection: WorkerConnection, attempt_id: bytes) -> WorkerResponse | None:
        """The valid response with this attempt's id, or None. Says how long the connection may be reused.

        A response with another id is a second one of an earlier request: ours may follow it, but then the
        connection is not used again.
        """
        stray_response = False
        while True:
            response = WorkerResponse()
            while not response.done:
                data = connection.sock.recv(RECEIVE_BYTES)
                if not data:
                    return None
                response.feed(data)
            if response.header(ATTEMPT_ID_HEADER) == attempt_id:
                break
            if not response.keep_alive or stray_response:
                return None
            stray_response = True
        if not (response.is_valid() or response.not_run):
            return None
        if not stray_response and response.keep_alive and not response.ends_with_connection:
            connection.reusable_for = _keep_alive_seconds(response)
        return response

    def _was_idle_reset(self, connection: WorkerConnection | None, now: float, elapsed: float) -> bool:
        if connection is None:
            return False
        return self._idle_ages.record_reset(now, connection.idle_seconds, elapsed)

    # ---- connections

    def _acquire(self, request: WorkerRequest, now: float) -> WorkerConnection | None:
        """An idle connection, or a new one; None: there are as many as there may be. Raises OSError."""
        max_idle = self._idle_ages.max_idle(now, request.idempotent)
        connection = self._take_idle(request.worker_id, request.address, max_idle)
        if connection is not None:
            connection.idle_seconds = now - connection.idle_since
            connection.reusable_for = 0.0
            return connection
        if self._open_count.get(request.worker_id, 0) >= request.max_connections:
            return None
        return self._connect(
            request.worker_id, request.address, min(request.connect_timeout, request.time_left)
        )

    def _take_idle(self, worker_id: str, address: Address, max_idle: float) -> WorkerConnection | None:
        """The connection used last that may still be used.

        It leads to `address`, which a worker that restarts under its id may have changed; nothing unread is
        on it; and it has been idle for at most `max_idle` seconds.
        """
        connections = self._idle.get(worker_id)
        now = time.monotonic()
        while connections:
            connection = connections.pop()
            usable = now < connection.usable_until and now - connection.idle_since <= max_idle
            if usable and connection.address == address and not has_unread_input(connection.sock):
                return connection
            self._close(worker_id, connection)
        return None

    def _connect(self, worker_id: str, address: Address, timeout: float) -> WorkerConnection:
        """A new connection. Raises OSError if it is not established in time."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._open_count[worker_id] = self._open_count.get(worker_id, 0) + 1
        connection = WorkerConnection(sock, address)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with gevent.Timeout(timeout, OSError("connect timed out")):
                sock.connect(address)
        except BaseException:
            self._close(worker_id, connection)
            raise
        return connection

    def _release(self, worker_id: str, connection: WorkerConnection, attempt: Attempt) -> None:
        """Keep a connection for the next exchange, or close it."""
        if connection.reusable_for <= 0 or (attempt.cancelled and attempt.sent):
            self._close(worker_id, connection)
            return
        connection.idle_since = time.monotonic()
        connection.usable_until = connection.idle_since + connection.reusable_for
        connections = self._idle.setdefault(worker_id, deque())
        connections.append(connection)
        if len(connections) > MAX_IDLE_PER_WORKER:
            self._close(worker_id, connections.popleft())

    def _close(self, worker_id: str, connection: WorkerConnection) -> None:
        connection.sock.close()
        open_count = self._open_count.get(worker_id, 1) - 1
        if open_count:
            self._open_count[worker_id] = open_count
        else:
            self._open_count.pop(worker_id, None)

    def close_expired(self, worker_ids: set[str]) -> None:
        """Close connections that have been idle for too long, or whose worker is none of `worker_ids`."""
        now = time.monotonic()
        for worker_id, connections in list(self._idle.items()):
            while connections and (connections[0].usable_until <= now or worker_id not in worker_ids):
                self._close(worker_id, connections.popleft())
            if not connections:
                del self._idle[worker_id]


def _failed(
    attempt: Attempt, result: AttemptResult, elapsed: float, idle_reset: bool = False
) -> AttemptOutcome:
    """The outcome of an exchange that broke off: before anything was sent, no connection was established."""
    if not attempt.sent:
        result = AttemptResult.CONNECT_FAILED
    return AttemptOutcome(result, None, elapsed, idle_reset)


def _keep_alive_seconds(response: WorkerResponse) -> float:
    """For how long the connection may be used again, by the response's `Keep-Alive` header if it has one."""
    keep_alive = response.header(KEEP_ALIVE_HEADER) or b""
    timeout = keep_alive.partition(b"timeout=")[2].split(b",")[0].strip()
    if not timeout.isdigit():
        return MAX_IDLE_SECONDS
    return min(MAX_IDLE_SECONDS, int(timeout) - KEEP_ALIVE_MARGIN_SECONDS)
