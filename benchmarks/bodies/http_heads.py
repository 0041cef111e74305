"""Encodes and parses HTTP heads in the platform's format, independently of the measured parser."""

import itertools
import os
from typing import Any, Final

from attrs import frozen

RECEIVE_BYTES: Final = 65536
END_OF_HEAD: Final = b"\r\n\r\n"
_request_numbers = itertools.count()


@frozen
class MessageHead:
    """The first line of a message, its headers in lower case, and the body bytes received with them."""

    first_line: str
    headers: dict[str, str]
    rest: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first_line.split(" ")[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def content_length(self) -> int:
        """The length of the body."""
        return int(self.headers.get("content-length", 0))


def encode_request_head(method: str, target: str, additional_headers: str = "") -> bytes:
    """The head of a request; the first part of the path is its category."""
    category = target.split("?")[0].split("/")[1]
    trace_id = f"t{os.getpid()}-{next(_request_numbers)}"
    return (
        f"{method} {target} HTTP/1.1\r\nHost: bench\r\nX-Trace-Id: {trace_id}\r\n"
        f"X-Qos: {category}\r\nApi-Plan: basic\r\nApi-Customer: 07\r\nX-Expires-In: 30\r\n"
        f"{additional_headers}\r\n"
    ).encode()


def receive_head(connection: Any) -> MessageHead | None:
    """Read a head from a plain or gevent socket; None if the connection ends before it is complete."""
    data = b""
    while END_OF_HEAD not in data:
        received = connection.recv(RECEIVE_BYTES)
        if not received:
            return None
        data += received
    head, _, rest = data.partition(END_OF_HEAD)
    first_line, *header_lines = head.decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in header_lines)
    return MessageHead(first_line, headers, rest)


def receive_response_head(connection: Any) -> MessageHead:
    """Read the head of a response; raises ConnectionError if the connection ends before it is complete."""
    head = receive_head(connection)
    if head is None:
        raise ConnectionError("the connection ended within the head of a response")
    return head
