"""Reads complete HTTP messages from a gevent socket with the parser that the proxy uses."""

from typing import Any, Final

import httptools
from gevent import socket

ATTEMPT_HEADER: Final = b"x-attempt-id"
RECEIVE_BYTES: Final = 65536


class HttpMessage:
    """One complete request or response; `raw`: the received bytes."""

    def __init__(self, *, is_response: bool) -> None:
        self.attempt_id = b""
        self.raw = bytearray()
        self._is_complete = False
        parser_type = httptools.HttpResponseParser if is_response else httptools.HttpRequestParser
        self._parser: Any = parser_type(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        if name.lower() == ATTEMPT_HEADER:
            self.attempt_id = value

    def on_message_complete(self) -> None:
        """Called by the parser."""
        self._is_complete = True

    def read(self, connection: socket.socket) -> bool:
        """Read until the message is complete; returns False if the connection ends first."""
        while not self._is_complete:
            data = connection.recv(RECEIVE_BYTES)
            if not data:
                return False
            self.raw += data
            self._parser.feed_data(data)
        return True


def disable_nagle(connection: socket.socket) -> None:
    """Disable Nagle's algorithm, so that small writes are sent immediately."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def parse_address(address: str) -> tuple[str, int]:
    """Parse `HOST:PORT`."""
    host, _, port = address.rpartition(":")
    return host, int(port)
