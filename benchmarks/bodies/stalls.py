"""Measures stalled transfers: each must end with a response or a reset within its limit plus one second."""

import time
from typing import Any, Final

from benchmarks.bodies.bulk_client import STREAM_PATH, connect
from benchmarks.bodies.gatekeeper_process import RESPONSE_HEAD_SECONDS, STALL_SECONDS, running_gatekeeper
from benchmarks.bodies.http_heads import RECEIVE_BYTES, encode_request_head, receive_response_head

BODY_BYTES: Final = 1 << 20
MARGIN_SECONDS: Final = 1
UPLOAD_BYTES: Final = 1_000_000
SENT_UPLOAD_BYTES: Final = 9999
UNREAD_BODY_BYTES: Final = 64 << 20
UNREAD_WINDOW_BYTES: Final = 4096
UNREAD_SECONDS: Final = 2.9  # longer than STALL_SECONDS
REQUEST_TIMEOUT_STATUS: Final = 408


def measure_stalls(node_address: str) -> dict[str, Any]:
    """The duration of each stalled transfer, and whether it ended as required."""
    with running_gatekeeper(node_address) as gatekeeper:
        address = gatekeeper.address
        return {
            "node stalls before the head": _stall_of_node(address, "head", RESPONSE_HEAD_SECONDS),
            "node stalls halfway": _stall_of_node(address, BODY_BYTES // 2, STALL_SECONDS),
            "node stalls one byte before the end": _stall_of_node(address, BODY_BYTES - 1, STALL_SECONDS),
            "client stalls while it writes": _stall_of_writer(address),
            "client stalls while it reads": _stall_of_reader(address),
        }


def _stall_of_node(address: str, stall: int | str, limit_seconds: float) -> dict[str, Any]:
    started_at = time.monotonic()
    with connect(address) as connection:
        target = f"{STREAM_PATH}?bytes={BODY_BYTES}&stall={stall}"
        connection.sendall(encode_request_head("GET", target))
        head = receive_response_head(connection)
        received_bytes = len(head.rest)
        while head.status == 200 and received_bytes < BODY_BYTES:
            data = connection.recv(RECEIVE_BYTES)
            if not data:
                break
            received_bytes += len(data)
    seconds = time.monotonic() - started_at
    return {
        "status": head.status,
        "got": received_bytes,
        "s": round(seconds, 2),
        "holds": seconds < limit_seconds + MARGIN_SECONDS and received_bytes < BODY_BYTES,
    }


def _stall_of_writer(address: str) -> dict[str, Any]:
    started_at = time.monotonic()
    with connect(address) as connection:
        length_header = f"Content-Length: {UPLOAD_BYTES}\r\n"
        head = encode_request_head("POST", f"{STREAM_PATH}?", length_header)
        connection.sendall(head + b"x" * SENT_UPLOAD_BYTES)
        status = receive_response_head(connection).status
    seconds = time.monotonic() - started_at
    return {
        "status": status,
        "s": round(seconds, 2),
        "holds": status == REQUEST_TIMEOUT_STATUS and seconds < STALL_SECONDS + MARGIN_SECONDS,
    }


def _stall_of_reader(address: str) -> dict[str, Any]:
    started_at = time.monotonic()
    with connect(address, UNREAD_WINDOW_BYTES) as connection:
        connection.sendall(encode_request_head("GET", f"{STREAM_PATH}?bytes={UNREAD_BODY_BYTES}"))
        time.sleep(UNREAD_SECONDS)
        was_reset = False
        try:
            while connection.recv(RECEIVE_BYTES):
                pass
        except ConnectionError:
            was_reset = True
    return {
        "ended": "reset" if was_reset else "end",
        "s": round(time.monotonic() - started_at, 2),
        "holds": was_reset,
    }
