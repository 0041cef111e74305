"""An HTTP/1.1 exchange, on a new or on an existing connection."""

import time
from collections.abc import Callable
from typing import Final

import gevent
from gevent import socket

from ashlift.errors import Failure, FailureReason
from ashlift.gatekeeper.net.http_response import HttpResponse, MalformedResponseError

Address = tuple[str, int]
MIN_TIMEOUT_SECONDS: Final = 0.001
RECEIVE_BYTES: Final = 65536
TIMED_OUT: Final = "late"  # detail of a Failure
CLOSED: Final = "closed"


def exchange(
    address: Address,
    head: bytes,
    body: bytes,
    timeout: float,
    on_sent: Callable[[], None] | None = None,
    connect_timeout: float | None = None,
    held_seconds: float = 0.0,
) -> HttpResponse | Failure:
    """Send a request on a new connection and return its answer; `on_sent` is called once it is written.

    `timeout`: seconds for the whole exchange; `connect_timeout`: seconds to connect; `held_seconds`: how much
    later the request is written than the connection was opened, as if it had been retransmitted. Failures:
    UNREACHABLE if the connection could not be opened; OUTCOME_UNKNOWN with detail TIMED_OUT after a timeout;
    OUTCOME_UNKNOWN with another detail if the connection ended without a complete answer.
    """
    deadline = time.monotonic() + timeout
    sock = connect(address, min(timeout, connect_timeout or timeout))
    if isinstance(sock, Failure):
        return sock
    try:
        if held_seconds:
            gevent.sleep(held_seconds)
        return exchange_on(sock, head + body, deadline, on_sent)
    finally:
        sock.close()


def connect(address: Address, timeout: float) -> socket.socket | Failure:
    """Return a new connection, or the Failure UNREACHABLE. `timeout`: seconds."""
    try:
        sock = socket.create_connection(address, timeout=timeout)
    except OSError as error:
        return Failure(FailureReason.UNREACHABLE, str(error))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def exchange_on(
    sock: socket.socket, request: bytes, deadline: float, on_sent: Callable[[], None] | None = None
) -> HttpResponse | Failure:
    """Send a request on an open connection and return its answer, or the Failure OUTCOME_UNKNOWN.

    `deadline`: on the monotonic clock.
    """
    try:
        sock.settimeout(_remaining(deadline))
        sock.sendall(request)
        if on_sent is not None:
            on_sent()
        return _receive(sock, deadline)
    except TimeoutError:
        return Failure(FailureReason.OUTCOME_UNKNOWN, TIMED_OUT)
    except (OSError, MalformedResponseError) as error:
        return Failure(FailureReason.OUTCOME_UNKNOWN, str(error))


def _receive(sock: socket.socket, deadline: float) -> HttpResponse | Failure:
    reply = HttpResponse()
    while not reply.done:
        sock.settimeout(_remaining(deadline))
        data = sock.recv(RECEIVE_BYTES)
        if not data:
            return reply if reply.connection_ended() else Failure(FailureReason.OUTCOME_UNKNOWN, CLOSED)
        reply.feed(data)
    return reply


def _remaining(deadline: float) -> float:
    return max(MIN_TIMEOUT_SECONDS, deadline - time.monotonic())


def request_head(method: str, target: str, host: str, body: bytes, **headers: str) -> bytes:
    """Return the head of a request; names of `headers` have `_` for `-`."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body or method in ("PUT", "PATCH", "POST"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
