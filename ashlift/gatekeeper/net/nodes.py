"""Attempts at execute nodes: one HTTP exchange each, over a pool of persistent connections."""

import errno
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import gevent
from gevent import socket

from ashlift.gatekeeper.admission.interface import Result
from ashlift.gatekeeper.jobs import AttemptFinished, Clock, Inbox, Job
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.net.http_response import HttpResponse, MalformedResponseError
from ashlift.gatekeeper.net.machine_list import MachineList
from ashlift.gatekeeper.net.socket_state import has_no_input
from ashlift.gatekeeper.operations.statsd_metrics import RELAYED_COUNTER

if TYPE_CHECKING:
    from ashlift.gatekeeper.streams.stream import Stream, StreamRegistry

MAX_IDLE_PER_NODE = 64  # connections
SWEEP_INTERVAL_S = 1.0
# Idle connections are closed well before the node would close them: after this part of its idle timeout.
IDLE_TIMEOUT_FRACTION = 0.6


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """The part of a client's request that is sent to an execute node unchanged."""

    method: bytes
    target: bytes
    trace_id: bytes
    body: bytes = b""
    stream: "Stream | None" = None  # set if the bodies are forwarded as they arrive


# Name and address: a connection to a node that is gone is not used for a new node at the same address.
Endpoint = tuple[str, tuple[str, int]]


@dataclass(slots=True, eq=False)
class NodeConnection:
    """A connection to an execute node."""

    sock: socket.socket
    endpoint: Endpoint
    idle_at: float = 0.0


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to have a job served by an execute node."""

    job: Job
    index: int  # among the attempts of the job, from 0
    server: str
    timeout_ms: float
    sock: socket.socket | None = None
    cancelled: bool = False
    written: bool = False  # the request, completely
    elapsed_ms: float | None = None  # until the head of a streamed response arrived
    started_at: float = 0.0  # ms
    cause: Any = None  # why it failed: a streams.faults.Fault, if known

    def close(self) -> None:
        """Close the connection, which wakes the greenlets that wait for it."""
        if self.sock is not None:
            self.sock.close()


@dataclass(slots=True)
class Limits:
    """Limits of the connections to nodes."""

    connect_timeout_ms: float
    node_idle_timeout_ms: float
    max_connections: int  # to all nodes together


class NodePool:
    """Runs each attempt in a greenlet of its own, and owns all connections to nodes.

    `long_response_bytes` limits the buffers of long responses if there is no `stream_registry`.
    """

    def __init__(
        self,
        machines: MachineList,
        limits: Limits,
        clock: Clock,
        inbox: Inbox,
        metrics: Metrics,
        stream_registry: "StreamRegistry | None" = None,
        long_response_bytes: int = 8 << 20,
    ) -> None:
        self._machines, self._limits, self._clock = machines, limits, clock
        self._inbox, self._metrics = inbox, metrics
        self._idle: dict[Endpoint, deque[NodeConnection]] = {}
        self._open_count = 0
        self._attempts: dict[tuple[int, int], Attempt] = {}
        self.stream_registry = stream_registry  # None: created for the first long response
        self._long_response_bytes = long_response_bytes

    def _long_response_registry(self) -> "StreamRegistry":
        if self.stream_registry is None:
            from ashlift.gatekeeper.settings.model import Streaming
            from ashlift.gatekeeper.streams.stream import StreamRegistry

            budget_bytes = self._long_response_bytes
            self.stream_registry = StreamRegistry(
                Streaming(
                    enabled=True,
                    buffer_bytes=budget_bytes,
                    stream_buffer_bytes=min(256 << 10, budget_bytes // 8),
                ),
                {},
            )
        return self.stream_registry

    def start(self, job: Job, attempt_index: int, server: str, timeout_ms: float) -> None:
        attempt = Attempt(job, attempt_index, server, timeout_ms)
        self._attempts[job.number, attempt_index] = attempt
        gevent.spawn(self._run, attempt)

    def cancel(self, number: int, attempt_index: int) -> None:
        """Close the connection of an attempt before returning, so that no two attempts of a job overlap."""
        attempt = self._attempts.get((number, attempt_index))
        if attempt is not None:
            attempt.cancelled = True
            attempt.close()

    def _run(self, attempt: Attempt) -> None:
        started_at = attempt.started_at = self._clock.now()
        body = b""
        try:
            result, body = self._exchange(attempt)
        except Exception as error:  # an error in one attempt must not affect others
            if attempt.cancelled:
                result = Result.CANCELLED
            elif isinstance(error, (OSError, gevent.Timeout)):
                result = Result.RESET if attempt.written else Result.CONNECT_FAILED
            elif isinstance(error, MalformedResponseError):
                self._metrics.add("claims.spoilt")
                result = Result.RESET
            else:
                self._metrics.add("claims.faults")
                result = Result.RESET
        finally:
            del self._attempts[attempt.job.number, attempt.index]
        elapsed_ms = self._clock.now() - started_at if attempt.elapsed_ms is None else attempt.elapsed_ms
        number = attempt.job.number
        self._inbox.put(
            AttemptFinished(number, attempt.index, attempt.server, result, elapsed_ms, body, attempt.cause)
        )

    def _exchange(self, attempt: Attempt) -> tuple[Result, bytes]:
        machine = self._machines.ready(attempt.server)
        if attempt.cancelled:
            return Result.CANCELLED, b""
        if machine is None or (attempt.timeout_ms < 0):
            return Result.NOT_SENT, b""
        timer = gevent.Timeout(attempt.timeout_ms / 1000 if attempt.timeout_ms > 0 else None)
        timer.start()
        connection: NodeConnection | None = None
        reusable = False
        started_at = self._clock.now()
        try:
            connection = self._take_idle((attempt.server, machine.address)) or self._connect(
                attempt, machine.address
            )
            if connection is None:
                return Result.NOT_SENT, b""
            attempt.sock = connection.sock
            # Checked again before the first byte: the node may have started to drain during the connect.
            current_machine = self._machines.ready(attempt.server)
            if current_machine is None or current_machine.address != machine.address:
                self._metrics.add("claims.withdrawn")
                reusable = True
                return Result.NOT_SENT, b""
            time_left_ms = attempt.timeout_ms - (self._clock.now() - started_at)
            if attempt.job.upstream_request.stream is not None:
                # Loaded only if streaming is enabled.
                from ashlift.gatekeeper.net.stream_attempt import StreamAttempt

                streaming = StreamAttempt(
                    attempt, connection.sock, timer, self._clock, self._inbox, self._metrics
                )
                result, reusable = streaming.run(machine.address, time_left_ms)
                return result, b""
            connection.sock.sendall(self._render_request(attempt, machine.address, time_left_ms))
            attempt.written = True
            self._metrics.add(RELAYED_COUNTER)
            result, body, reusable = self._read_response(attempt, connection.sock, timer)
            return result, body
        except gevent.Timeout as timeout:
            if timeout is not timer:
                raise
            return (Result.TIMEOUT if attempt.written else Result.CONNECT_FAILED), b""
        finally:
            timer.close()
            attempt.sock = None
            if connection is not None:
                self._keep_idle(connection) if reusable and not attempt.cancelled else self._close(connection)

    def _render_request(self, attempt: Attempt, address: tuple[str, int], time_left_ms: float) -> bytes:
        upstream_request: UpstreamRequest = attempt.job.upstream_request
        length = (
            b"Content-Length: %d\r\n" % len(upstream_request.body)
            if upstream_request.body or upstream_request.method != b"GET"
            else b""
        )
        return b"%b %b HTTP/1.1\r\nHost: %b:%d\r\nX-Trace-Id: %b\r\nX-Expires-In: %.3f\r\n%b\r\n%b" % (
            upstream_request.method,
            upstream_request.target,
            address[0].encode(),
            address[1],
            upstream_request.trace_id,
            max(0.001, time_left_ms / 1000),
            length,
            upstream_request.body,
        )

    def _read_response(
        self, attempt: Attempt, sock: socket.socket, timer: gevent.Timeout
    ) -> tuple[Result, bytes, bool]:
        """Return the result, the body, and whether the connection can be reused.

        A response too long to buffer is forwarded as it arrives, and its body is not returned.
        """
        response = HttpResponse()
        while not response.done:
            data = sock.recv(65536)
            if not data:
                if response.connection_ended():
                    break
                return Result.RESET, b"", False
            response.feed(data)
            if response.too_long_to_buffer:
                # Loaded with the first long response.
                from ashlift.gatekeeper.net.long_response import forward_long_response

                # Measured to the head, so that long responses do not make a node look slow.
                attempt.elapsed_ms = self._clock.now() - attempt.started_at
                registry = self._long_response_registry()
                result, reusable = forward_long_response(
                    attempt, sock, response, timer, registry, self._inbox, self._metrics
                )
                return result, b"", reusable
        if response.status == 200:
            return Result.OK, b"".join(response.parts), response.keep_alive
        if response.status in (503, 504) and response.never_ran:
            return Result.OVERLOADED, b"", response.keep_alive
        return Result.ERROR, b"", response.keep_alive

    # ---- connections

    def _take_idle(self, endpoint: Endpoint) -> NodeConnection | None:
        """Return the most recently used idle connection that is still open, or None.

        Guards against writing to a connection that the node has closed: that would be a reset, after which it
        is unknown whether the job has run. A closed connection has input: the end of the stream or an error.
        """
        connections = self._idle.get(endpoint)
        while connections:
            connection = connections.pop()
            if (
                self._clock.now() - connection.idle_at
                < IDLE_TIMEOUT_FRACTION * self._limits.node_idle_timeout_ms
                and has_no_input(connection.sock)
            ):
                return connection
            self._close(connection)
        return None

    def _connect(self, attempt: Attempt, address: tuple[str, int]) -> NodeConnection | None:
        if self._open_count >= self._limits.max_connections and not self._close_oldest_idle():
            self._metrics.add("nodes.no_room")
            return None
        self._open_count += 1
        self._metrics.add("nodes.dialled")
        sock = attempt.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection = NodeConnection(sock, (attempt.server, address))
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with gevent.Timeout(self._limits.connect_timeout_ms / 1000, OSError(errno.ETIMEDOUT, "dial")):
                sock.connect(address)
        except BaseException:
            self._close(connection)
            raise
        return connection

    def _close_oldest_idle(self) -> bool:
        idle = [connections for connections in self._idle.values() if connections]
        if not idle:
            return False
        self._close(min(idle, key=lambda connections: connections[0].idle_at).popleft())
        return True

    def _keep_idle(self, connection: NodeConnection) -> None:
        connections = self._idle.setdefault(connection.endpoint, deque())
        connection.idle_at = self._clock.now()
        connections.append(connection)
        if len(connections) > MAX_IDLE_PER_NODE:
            self._close(connections.popleft())

    def _close(self, connection: NodeConnection) -> None:
        self._open_count -= 1
        connection.sock.close()

    def close_stale_connections(self) -> None:
        """Close connections that have been idle for long, and those to nodes not on the machine list."""
        current = {(name, machine.address) for name, machine in self._machines.machines.items()}
        for endpoint, connections in list(self._idle.items()):
            min_idle_at = self._clock.now() - IDLE_TIMEOUT_FRACTION * self._limits.node_idle_timeout_ms
            while connections and (connections[0].idle_at < min_idle_at or endpoint not in current):
                self._close(connections.popleft())
            if not connections:
                del self._idle[endpoint]

    def run(self) -> None:
        """Close stale connections periodically, forever."""
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            self.close_stale_connections()
