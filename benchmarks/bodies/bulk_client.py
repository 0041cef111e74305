"""Clients that read or send one long body. Plain sockets keep the cost of the client low."""

import socket
import time
from typing import Final

from attrs import frozen

from benchmarks.bodies.http_heads import encode_request_head, receive_response_head
from benchmarks.bodies.transfer_pace import MAX_STEP_BYTES, PAYLOAD, TransferPace

TIMEOUT_SECONDS: Final = 30  # per socket operation
SMALL_SEGMENT_BYTES: Final = 536  # loopback segments of 64 KiB would make progress too coarse
STREAM_PATH: Final = "/availability-report/x"


@frozen
class TransferResult:
    """The response status, the body bytes transferred, and the duration."""

    status: int
    moved_bytes: int
    seconds: float


def connect(address: str, receive_window: int = 0) -> socket.socket:
    """Open a connection; `receive_window` limits the unread bytes in the kernel, as for a slow receiver."""
    host, _, port = address.rpartition(":")
    connection = socket.socket()
    connection.settimeout(TIMEOUT_SECONDS)
    if receive_window:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_window)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SMALL_SEGMENT_BYTES)
    connection.connect((host, int(port)))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def download(
    address: str, body_bytes: int, bytes_per_second: float, receive_window: int, query: str = ""
) -> TransferResult:
    """Request a long body and read it at a rate (0: unlimited); `query` is passed to the node."""
    started_at = time.monotonic()
    pace = TransferPace(bytes_per_second)
    buffer = memoryview(bytearray(MAX_STEP_BYTES))
    with connect(address, receive_window) as connection:
        connection.sendall(encode_request_head("GET", f"{STREAM_PATH}?bytes={body_bytes}{query}"))
        head = receive_response_head(connection)
        pace.moved_bytes = len(head.rest)
        while pace.moved_bytes < body_bytes:
            received_bytes = connection.recv_into(buffer, pace.step_bytes(MAX_STEP_BYTES))
            if received_bytes == 0:
                break
            _pause(pace, received_bytes)
    return TransferResult(head.status, pace.moved_bytes, time.monotonic() - started_at)


def upload(address: str, body_bytes: int, bytes_per_second: float, query: str = "") -> TransferResult:
    """Send a long body at a rate (0: unlimited) and read the response."""
    started_at = time.monotonic()
    pace = TransferPace(bytes_per_second)
    with connect(address) as connection:
        length_header = f"Content-Length: {body_bytes}\r\n"
        connection.sendall(encode_request_head("POST", f"{STREAM_PATH}?{query}", length_header))
        while pace.moved_bytes < body_bytes:
            step_bytes = pace.step_bytes(body_bytes - pace.moved_bytes)
            connection.sendall(PAYLOAD[:step_bytes])
            _pause(pace, step_bytes)
        head = receive_response_head(connection)
    return TransferResult(head.status, pace.moved_bytes, time.monotonic() - started_at)


def _pause(pace: TransferPace, moved_bytes: int) -> None:
    seconds = pace.seconds_until_next(moved_bytes)
    if seconds:
        time.sleep(seconds)
