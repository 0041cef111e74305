"""Clients that misbehave before the listeners of a run, beside its usual traffic.

Each draws one behaviour after the other, and stays connected for a while: bodies that stop short of their
end, in chunks or with a length; many headers; requests behind one another that are not read; connections
without a byte; resets.
"""

import contextlib
import random
from collections import Counter
from collections.abc import Callable
from typing import Final

import gevent
from gevent import socket

from ashlift.rpc.sockets import RESETTING_LINGER

Address = tuple[str, int]
CLIENTS: Final = 40
MAX_STAY_SECONDS: Final = 4.0
SEND_SECONDS: Final = 2.0
RESET_FRACTION: Final = 0.3
RECEIVE_BUFFER_BYTES: Final = 8 << 10
BODY_BYTES: Final = 300_000
CHUNK_BYTES: Final = 300
HEADERS: Final = 3000
PIPELINED_REQUESTS: Final = 2000
HEAD: Final = b"POST /misbehaving/ HTTP/1.1\r\nHost: uploads.example\r\nX-Time-Remaining: 60000\r\n"


def body_with_length() -> bytes:
    """A body without its last byte."""
    return HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES + bytes(BODY_BYTES - 1)


def body_in_chunks() -> bytes:
    """A body without its last chunk."""
    chunk = b"%x;a=b\r\n%b\r\n" % (CHUNK_BYTES, bytes(CHUNK_BYTES))
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * (BODY_BYTES // CHUNK_BYTES)


def endless_head() -> bytes:
    """Many short headers without an end."""
    return HEAD + b"a:b\r\n" * HEADERS


def pipelined_requests() -> bytes:
    """Requests behind one another."""
    return b"GET /misbehaving/ HTTP/1.1\r\nHost: uploads.example\r\n\r\n" * PIPELINED_REQUESTS


def nothing() -> bytes:
    """Not a byte."""
    return b""


BEHAVIOURS: Final[tuple[Callable[[], bytes], ...]] = (
    body_with_length,
    body_in_chunks,
    endless_head,
    pipelined_requests,
    nothing,
)


class MisbehavingClients:
    """The clients of some listeners; `results`: how many connections showed each behaviour."""

    def __init__(self, addresses: list[Address], seed: int) -> None:
        self.results: Counter[str] = Counter()
        self._addresses = addresses
        self._rng = random.Random(f"misbehaving {seed}")
        self._greenlets = [gevent.spawn(self._run) for _ in range(CLIENTS)]

    def stop(self) -> None:
        """Disconnect."""
        gevent.killall(self._greenlets)

    def _run(self) -> None:
        while True:
            behaviour = self._rng.choice(BEHAVIOURS)
            with contextlib.suppress(OSError), contextlib.closing(socket.socket()) as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                sock.settimeout(SEND_SECONDS)
                sock.connect(self._rng.choice(self._addresses))
                self.results[behaviour.__name__] += 1
                with contextlib.suppress(TimeoutError):
                    sock.sendall(behaviour())
                gevent.sleep(self._rng.uniform(0.0, MAX_STAY_SECONDS))
                if self._rng.random() < RESET_FRACTION:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETTING_LINGER)
            gevent.sleep(self._rng.uniform(0.0, 1.0))
