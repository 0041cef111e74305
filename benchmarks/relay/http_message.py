"""Complete HTTP messages, read from a gevent socket with the parser that the proxy uses."""

from typing import Any, Final

import httptools
from gevent import socket

ATTEMPT_HEADER: Final = b"x-attempt-id"
RECEIVE_BYTES: Final = 65536


class HttpMessage:
    """One complete request or response; `raw`: its bytes as they arrived."""

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
        """Read until it is complete; returns False if the connection ends before."""
        while not self._is_complete:
            data = connection.recv(RECEIVE_BYTES)
            if not data:
                return False
            self.raw += data
            self._parser.feed_data(data)
        return True


def disable_delay(connection: socket.socket) -> None:
    """Let small writes leave at once."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def parse_address(address: str) -> tuple[str, int]:
    """The host and port of `HOST:PORT`."""
    host, _, port = address.rpartition(":")
    return host, int(port)
