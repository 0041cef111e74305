"""The pool of connections to workers, and the exchange of a request and its response on one of them.

One exchange is one attempt; `ashlift.proxy.attempts` and `ashlift.proxy.request_router` evaluate its outcome.
"""

import time
from collections import deque
from dataclasses import dataclass
from typing import Final, NamedTuple

import gevent
from gevent import socket

from ashlift.gatekeeper.net.http_response import MalformedResponseError
from ashlift.memory.pool import MemoryPool
from ashlift.proxy.attempts import AttemptOutcome, AttemptResult
from ashlift.proxy.body_buffer import BodyBuffer
from ashlift.proxy.idle_timeout_estimator import IdleTimeoutEstimator
from ashlift.proxy.response_stream import ResponseMemory, ResponseStream
from ashlift.proxy.responses import ATTEMPT_ID_HEADER, KEEP_ALIVE_HEADER, WorkerResponse
from ashlift.rpc.addresses import Address
from ashlift.rpc.sockets import RECEIVE_BUFFER_BYTES, has_unread_input, limit_receive_buffer

MAX_IDLE_SECONDS: Final = 4.0
KEEP_ALIVE_MARGIN_SECONDS: Final = 1.0  # subtracted from the timeout in the worker's `Keep-Alive` header
MAX_IDLE_PER_WORKER: Final = 16
DEFAULT_MAX_CONNECTIONS: Final = 1000
# A worker may respond to a request of this size or more before it has read all of it.
MIN_EARLY_RESPONSE_REQUEST_BYTES: Final = 16 << 10


class WorkerRequest(NamedTuple):
    """A request to a worker. `time_left`, `connect_timeout`: seconds. `max_connections`: to this worker."""

    worker_id: str
    address: Address
    head: bytes
    body: BodyBuffer
    attempt_id: bytes
    idempotent: bool
    time_left: float
    connect_timeout: float
    max_connections: int


@dataclass(slots=True, eq=False)
class WorkerConnection:
    """A connection to a worker. Times are monotonic, in seconds.

    `idle_seconds`: how long it had been idle before the current exchange. `reusable_seconds`: how long it may
    stay idle after this exchange; with 0 it is closed. `may_be_reused`: nothing but the response is expected
    on it. `is_streaming`: the rest of a response is still being relayed after the end of the exchange.
    """

    sock: socket.socket
    address: Address
    usable_until: float = 0.0
    idle_since: float = 0.0
    idle_seconds: float = 0.0
    reusable_seconds: float = 0.0
    may_be_reused: bool = True
    is_streaming: bool = False


class Attempt:
    """An attempt in flight. `sent`: bytes of the request may have reached the worker."""

    def __init__(self) -> None:
        self.sock: socket.socket | None = None
        self.cancelled = False
        self.sent = False

    def cancel(self) -> None:
        """Close the connection, which ends the exchange immediately."""
        self.cancelled = True
        if self.sock is not None:
            self.sock.close()


class ConnectionPool:
    """All connections to workers, by worker id, since a worker's address may be reused by another.

    `memory`: for the responses.
    """

    def __init__(self, memory: MemoryPool, max_connections: int = DEFAULT_MAX_CONNECTIONS) -> None:
        """`max_connections`: to all workers together."""
        self._memory = memory
        self._max_connections = max_connections
        self._total_count = 0
        self._idle: dict[str, deque[WorkerConnection]] = {}
        self._open_count: dict[str, int] = {}
        self._idle_timeout_estimator = IdleTimeoutEstimator()

    def exchange(self, attempt: Attempt, request: WorkerRequest) -> AttemptOutcome:
        """Send a request and read its response. Failures are returned as outcomes, not raised."""
        started_at = time.monotonic()
        connection: WorkerConnection | None = None
        timer = gevent.Timeout(request.time_left)
        timer.start()
        try:
            connection = self._acquire(request, started_at)
            if connection is None:
                return AttemptOutcome(AttemptResult.CONNECTION_LIMIT_REACHED)
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
            if connection is not None and not connection.is_streaming:
                self._release(request.worker_id, connection, attempt)

    def _send(
        self, attempt: Attempt, request: WorkerRequest, connection: WorkerConnection, started_at: float
    ) -> AttemptOutcome:
        if attempt.cancelled:  # while it was connecting
            connection.reusable_seconds = MAX_IDLE_SECONDS
            return AttemptOutcome(AttemptResult.NOT_RUN)
        attempt.sock = connection.sock
        attempt.sent = True
        is_large = len(request.head) + len(request.body) > MIN_EARLY_RESPONSE_REQUEST_BYTES
        _send_request(connection.sock, request, is_large)
        responded_early = is_large and has_unread_input(connection.sock)
        response = self._read_response(connection, request.attempt_id)
        if responded_early:
            connection.may_be_reused = False  # the worker may parse the rest of the request as a new one
        if response is not None:
            if response.done:
                connection.reusable_seconds = _reusable_seconds(connection, response)
            else:
                self._open_stream(attempt, request, connection, response, started_at)
        elapsed = time.monotonic() - started_at
        if response is None:
            return AttemptOutcome(AttemptResult.CONNECTION_LOST, None, elapsed)
        result = AttemptResult.NOT_RUN if response.not_run else AttemptResult.RESPONSE
        return AttemptOutcome(result, response, elapsed)

    def _read_response(self, connection: WorkerConnection, attempt_id: bytes) -> WorkerResponse | None:
        """The response to this attempt, or None if there is no valid one. Sets `may_be_reused`.

        A response that is not done is too long to be held.
        """
        memory = ResponseMemory(self._memory)
        response: WorkerResponse | None = None
        try:
            response = self._receive_response(connection, attempt_id, memory)
        finally:
            if response is None:
                memory.release()
            else:
                response.memory = memory
        return response

    @staticmethod
    def _receive_response(
        connection: WorkerConnection, attempt_id: bytes, memory: ResponseMemory
    ) -> WorkerResponse | None:
        """See `_read_response`.

        A response with another id is a duplicate response to an earlier request. It is skipped once, and the
        connection is not reused.
        """
        stray_response = False
        while True:
            response = WorkerResponse()
            while not response.done:
                data = connection.sock.recv(memory.first_receive_size(response.size))
                if not data:
                    return None
                response.feed(data)
                if not memory.hold(response):
                    break
            if response.header(ATTEMPT_ID_HEADER) == attempt_id:
                break
            if not response.done or not response.keep_alive or stray_response:
                return None
            stray_response = True
        if not (response.is_valid() or response.not_run or response.can_be_streamed):
            return None
        connection.may_be_reused = not stray_response
        return response

    def _open_stream(
        self,
        attempt: Attempt,
        request: WorkerRequest,
        connection: WorkerConnection,
        response: WorkerResponse,
        started_at: float,
    ) -> None:
        """Leave the connection to the relay of the response."""

        def finish() -> None:
            connection.is_streaming = False
            connection.reusable_seconds = _reusable_seconds(connection, response)
            self._release(request.worker_id, connection, attempt)

        assert isinstance(response.memory, ResponseMemory)
        connection.is_streaming = True
        response.status = response.head_status
        deadline = started_at + request.time_left
        response.stream = ResponseStream(response, response.memory, connection.sock, deadline, finish)

    def _was_idle_reset(self, connection: WorkerConnection | None, now: float, elapsed: float) -> bool:
        if connection is None:
            return False
        return self._idle_timeout_estimator.record_reset(now, connection.idle_seconds, elapsed)

    # ---- connections

    def _acquire(self, request: WorkerRequest, now: float) -> WorkerConnection | None:
        """An idle or new connection; None if the connection limit is reached. Raises OSError."""
        max_idle_seconds = self._idle_timeout_estimator.max_idle_seconds(now, request.idempotent)
        connection = self._take_idle(request.worker_id, request.address, max_idle_seconds)
        if connection is not None:
            connection.idle_seconds = now - connection.idle_since
            connection.reusable_seconds = 0.0
            return connection
        if self._open_count.get(request.worker_id, 0) >= request.max_connections:
            return None
        if self._total_count >= self._max_connections and not self._close_longest_idle():
            return None
        return self._connect(
            request.worker_id, request.address, min(request.connect_timeout, request.time_left)
        )

    def _take_idle(
        self, worker_id: str, address: Address, max_idle_seconds: float
    ) -> WorkerConnection | None:
        """The most recently used idle connection that can be reused; connections that cannot are closed.

        It must lead to `address`, since a worker may have restarted elsewhere, must have no unread input, and
        must not have been idle for longer than `max_idle_seconds`.
        """
        connections = self._idle.get(worker_id)
        now = time.monotonic()
        while connections:
            connection = connections.pop()
            usable = now < connection.usable_until and now - connection.idle_since <= max_idle_seconds
            if usable and connection.address == address and not has_unread_input(connection.sock):
                return connection
            self._close(worker_id, connection)
        return None

    def _connect(self, worker_id: str, address: Address, timeout: float) -> WorkerConnection:
        """Open a connection. Raises OSError if it fails or takes longer than `timeout` seconds."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        limit_receive_buffer(sock, RECEIVE_BUFFER_BYTES)
        self._total_count += 1
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
        """Return a connection to the pool, or close it."""
        if connection.reusable_seconds <= 0 or (attempt.cancelled and attempt.sent):
            self._close(worker_id, connection)
            return
        connection.idle_since = time.monotonic()
        connection.usable_until = connection.idle_since + connection.reusable_seconds
        connections = self._idle.setdefault(worker_id, deque())
        connections.append(connection)
        if len(connections) > MAX_IDLE_PER_WORKER:
            self._close(worker_id, connections.popleft())

    def _close(self, worker_id: str, connection: WorkerConnection) -> None:
        connection.sock.close()
        self._total_count -= 1
        open_count = self._open_count.get(worker_id, 1) - 1
        if open_count:
            self._open_count[worker_id] = open_count
        else:
            self._open_count.pop(worker_id, None)

    def _close_longest_idle(self) -> bool:
        """Close the connection that has been idle for longest, of all workers; False if there is none."""
        idle = [
            (connections[0].idle_since, worker_id)
            for worker_id, connections in self._idle.items()
            if connections
        ]
        if not idle:
            return False
        _, worker_id = min(idle)
        self._close(worker_id, self._idle[worker_id].popleft())
        return True

    def close_expired(self, worker_ids: set[str]) -> None:
        """Close connections that have been idle for too long, or whose worker is not in `worker_ids`."""
        now = time.monotonic()
        for worker_id, connections in list(self._idle.items()):
            while connections and (connections[0].usable_until <= now or worker_id not in worker_ids):
                self._close(worker_id, connections.popleft())
            if not connections:
                del self._idle[worker_id]


def _send_request(sock: socket.socket, request: WorkerRequest, is_large: bool) -> None:
    """Send a request: a small one in one write, a large one in parts, so that its body is not copied."""
    if not is_large:
        sock.sendall(request.head + bytes(request.body))
        return
    sock.sendall(request.head)
    for part in request.body.parts():
        sock.sendall(part)
        gevent.sleep(0)  # others have their turn, even if the worker reads without delay


def _failed(
    attempt: Attempt, result: AttemptResult, elapsed: float, idle_reset: bool = False
) -> AttemptOutcome:
    """The outcome of a failed exchange: `result`, or CONNECT_FAILED if nothing was sent."""
    if not attempt.sent:
        result = AttemptResult.CONNECT_FAILED
    return AttemptOutcome(result, None, elapsed, idle_reset)


def _reusable_seconds(connection: WorkerConnection, response: WorkerResponse) -> float:
    """How long the connection may stay idle after a response; 0: it is to be closed."""
    if not response.done or not response.keep_alive or not connection.may_be_reused:
        return 0.0
    return _keep_alive_seconds(response)


def _keep_alive_seconds(response: WorkerResponse) -> float:
    """How long the connection may stay idle, from the response's `Keep-Alive` header if there is one."""
    keep_alive = response.header(KEEP_ALIVE_HEADER) or b""
    timeout = keep_alive.partition(b"timeout=")[2].split(b",")[0].strip()
    if not timeout.isdigit():
        return MAX_IDLE_SECONDS
    return min(MAX_IDLE_SECONDS, int(timeout) - KEEP_ALIVE_MARGIN_SECONDS)
