"""The client process of a round: sends requests on several connections, one at a time on each."""

import time
from typing import Final

import gevent
from gevent import socket

from benchmarks.relay.http_message import HttpMessage, disable_nagle, parse_address

CONNECTIONS: Final = 8
REQUEST: Final = (
    b"GET /look/2f HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %016x\r\nX-Time-Remaining: 3000\r\n"
    b"Authorization: Bearer k1\r\nAccept: */*\r\n\r\n"
)


def send_requests(address: str, requests: int) -> None:
    """Send `requests` requests; print the number served and the elapsed seconds."""
    numbers = iter(range(1, requests + 1))
    served = 0

    def send_sequentially() -> None:
        nonlocal served
        connection = socket.create_connection(parse_address(address))
        disable_nagle(connection)
        for number in numbers:
            connection.sendall(REQUEST % number)
            response = HttpMessage(is_response=True)
            if not response.read(connection):
                return
            is_ok = response.raw.startswith(b"HTTP/1.1 200")
            served += is_ok and response.attempt_id == b"%016x" % number

    started_at = time.monotonic()
    gevent.joinall([gevent.spawn(send_sequentially) for _ in range(CONNECTIONS)], raise_error=True)
    print(served, time.monotonic() - started_at, flush=True)
