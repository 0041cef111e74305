"""Clients that send large bodies to the proxies of a run, beside its usual traffic.

Their requests have no route, so that no worker gets them: a proxy receives each one and rejects it.
"""

import contextlib
import random
from collections import Counter
from collections.abc import Iterator
from typing import Final

import gevent
from gevent import socket

Address = tuple[str, int]
CLIENTS: Final = 3
MIN_BODY_BYTES: Final = 64 << 10
MAX_BODY_BYTES: Final = 64 << 20
PIECE: Final = bytes(64 << 10)
CHUNK: Final = b"%x\r\n%b\r\n" % (len(PIECE), PIECE)
LAST_CHUNK: Final = b"0\r\n\r\n"
SLOW_FRACTION: Final = 0.3  # of the requests
SLOW_PAUSE_SECONDS: Final = 0.01  # between two pieces
MAX_PAUSE_SECONDS: Final = 1.0  # between two requests of a client
REMAINING_MS: Final = 5000
TIMEOUT_SECONDS: Final = 8.0
NO_RESPONSE: Final = "none"
TIMED_OUT: Final = OSError("no response in time")


class LargeUploads:
    """The clients; `results`: how many requests ended with each status."""

    def __init__(self, proxies: list[Address], seed: int) -> None:
        self.results: Counter[str] = Counter()
        self._proxies = proxies
        self._rng = random.Random(f"uploads {seed}")
        self._greenlets = [gevent.spawn(self._run) for _ in range(CLIENTS)]

    def stop(self) -> None:
        """Send no more."""
        gevent.killall(self._greenlets)

    def _run(self) -> None:
        while True:
            status = NO_RESPONSE
            with contextlib.suppress(OSError), gevent.Timeout(TIMEOUT_SECONDS, TIMED_OUT):
                status = self._upload(self._rng.choice(self._proxies))
            self.results[status] += 1
            gevent.sleep(self._rng.uniform(0.0, MAX_PAUSE_SECONDS))

    def _upload(self, address: Address) -> str:
        """Send one body; returns the status of the response. Raises OSError."""
        pieces = self._rng.choice((MIN_BODY_BYTES, MAX_BODY_BYTES // 8, MAX_BODY_BYTES)) // len(PIECE)
        is_chunked = self._rng.random() < 0.5
        pause = SLOW_PAUSE_SECONDS if self._rng.random() < SLOW_FRACTION else 0.0
        with contextlib.closing(socket.create_connection(address)) as sock:
            sender = gevent.spawn(self._send, sock, self._head(pieces, is_chunked), pieces, is_chunked, pause)
            try:
                line: bytes = sock.recv(4096).partition(b"\r\n")[0]
            finally:
                sender.kill()
        return line.split()[1].decode() if line.startswith(b"HTTP/1.1 ") else NO_RESPONSE

    def _head(self, pieces: int, is_chunked: bool) -> bytes:
        size = pieces * len(PIECE)
        lines = [
            "POST /large-upload/ HTTP/1.1",
            "Host: uploads.example",
            f"X-Attempt-Id: {self._rng.getrandbits(64):016x}",
            f"X-Time-Remaining: {REMAINING_MS}",
            "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {size}",
        ]
        return "\r\n".join([*lines, "", ""]).encode()

    @staticmethod
    def _send(sock: socket.socket, head: bytes, pieces: int, is_chunked: bool, pause: float) -> None:
        with contextlib.suppress(OSError):
            sock.sendall(head)
            for piece in _framed(pieces, is_chunked):
                sock.sendall(piece)
                gevent.sleep(pause)


def _framed(pieces: int, is_chunked: bool) -> Iterator[bytes]:
    for _ in range(pieces):
        yield CHUNK if is_chunked else PIECE
    if is_chunked:
        yield LAST_CHUNK
