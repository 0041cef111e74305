"""A client connection to the proxy under test."""

from collections.abc import Iterable
from contextlib import suppress

import gevent
from gevent import socket

from ashlift.rpc.addresses import Address
from tests.support.proxy_history import History, Request

ENOUGH_SECONDS = 5.0  # generous, for slow machines; no test waits for it to expire
TIMED_OUT = AssertionError("no response in time")


class StubClient:
    """One connection to the proxy. `expected_responses`: number of requests sent and not yet answered."""

    def __init__(self, history: History, address: Address) -> None:
        self.history = history
        self.sock = socket.create_connection(address)
        self.ended = False
        self.expected_responses = 0
        self._received = b""

    def send(self, *requests: Request, cuts: Iterable[int] = ()) -> None:
        """Send pipelined requests and read their responses.

        `cuts`: offsets at which the bytes are split into several writes.
        """
        data = b"".join(request.to_bytes() for request in requests)
        offsets = [0, *sorted(cut for cut in set(cuts) if 0 < cut < len(data)), len(data)]
        try:
            for begin, end in zip(offsets, offsets[1:], strict=False):
                self.sock.sendall(data[begin:end])
                if end < len(data):
                    gevent.idle()
        except OSError:
            self.ended = True
        self.expected_responses += len(requests)
        for request in requests:
            self.read_response(request)

    def _receive(self) -> bool:
        """Wait for more bytes; False if the connection has ended."""
        if self.ended:
            return False
        try:
            with gevent.Timeout(ENOUGH_SECONDS, TIMED_OUT):
                data = self.sock.recv(65536)
        except OSError:
            data = b""
        self._received += data
        self.ended = not data
        return bool(data)

    def read_response(self, request: Request) -> None:
        """Read the response to a request; if it ends early, the request stays unchanged."""
        while b"\r\n\r\n" not in self._received:
            if not self._receive():
                return
        head, _, rest = self._received.partition(b"\r\n\r\n")
        status_line, *lines = head.decode().split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        size = int(headers.get("content-length", "0"))
        while len(rest) < size:
            if not self._receive():
                return
            rest = self._received.partition(b"\r\n\r\n")[2]
        self._received = rest[size:]
        self.expected_responses -= 1
        request.status = int(status_line.split()[1])
        request.response_headers = headers
        request.response_body = rest[:size]
        if headers.get("connection") == "close":
            self.close()

    def hang_up(self) -> None:
        """Shut the connection down while another greenlet may be reading from it."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection; received bytes that belong to no request are recorded as unexpected."""
        self.ended = True
        self.sock.close()
        if self._received and not self.expected_responses:
            self.history.unexpected.append(f"a client received {self._received!r:.100}")
