"""The execute node behind the gatekeeper: reads and sends bodies at rates given in the query.

Keys of the query: `bytes`, the length of the response body; `rate` and `take`, the rates of sending and
reading in bytes per second; `delay`, seconds before the response; `stall`, `head` (before the head) or the
number of body bytes after which the node stops sending.
"""

from typing import Final
from urllib.parse import parse_qs, urlsplit

import gevent
from gevent import socket

from benchmarks.bodies.http_heads import MessageHead, receive_head
from benchmarks.bodies.transfer_pace import MAX_STEP_BYTES, PAYLOAD, TransferPace

DEFAULT_BODY_BYTES: Final = 5
STALL_SECONDS: Final = 3600
STALL_BEFORE_HEAD: Final = "head"


def serve_requests(connection: socket.socket, _address: object) -> None:
    """Serve the requests of one connection until it ends."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    buffer = memoryview(bytearray(MAX_STEP_BYTES))
    try:
        while (request := receive_head(connection)) is not None:
            query = {key: values[0] for key, values in parse_qs(urlsplit(request.target).query).items()}
            if not _receive_body(connection, request, float(query.get("take", 0)), buffer):
                return
            _send_response(connection, query)
    except OSError:
        pass  # some measurements close the connection early


def _receive_body(
    connection: socket.socket, request: MessageHead, bytes_per_second: float, buffer: memoryview
) -> bool:
    """Read the body of a request; returns False if the connection ends before it is complete."""
    pace = TransferPace(bytes_per_second)
    remaining_bytes = request.content_length - len(request.rest)
    while remaining_bytes > 0:
        received_bytes = connection.recv_into(buffer, pace.step_bytes(remaining_bytes))
        if received_bytes == 0:
            return False
        remaining_bytes -= received_bytes
        _pause(pace, received_bytes)
    return True


def _send_response(connection: socket.socket, query: dict[str, str]) -> None:
    gevent.sleep(float(query.get("delay", 0)))
    stall = query.get("stall")
    if stall == STALL_BEFORE_HEAD:
        gevent.sleep(STALL_SECONDS)
        return
    body_bytes = int(query.get("bytes", DEFAULT_BODY_BYTES))
    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: x/y\r\nContent-Length: %d\r\n\r\n" % body_bytes)
    pace = TransferPace(float(query.get("rate", 0)))
    bytes_to_send = body_bytes if stall is None else int(stall)
    while pace.moved_bytes < bytes_to_send:
        step_bytes = pace.step_bytes(bytes_to_send - pace.moved_bytes)
        connection.sendall(PAYLOAD[:step_bytes])
        _pause(pace, step_bytes)
    if stall is not None:
        gevent.sleep(STALL_SECONDS)


def _pause(pace: TransferPace, moved_bytes: int) -> None:
    """Wait until the next bytes are due; with an unlimited rate this does not yield to other greenlets."""
    seconds = pace.seconds_until_next(moved_bytes)
    if seconds:
        gevent.sleep(seconds)
