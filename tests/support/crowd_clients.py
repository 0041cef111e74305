"""Crowds of clients that misbehave: each sends what its behaviour yields, and then stays connected."""

import itertools
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, Final

import gevent
from gevent import socket

from ashlift.rpc.addresses import Address
from ashlift.rpc.sockets import RESETTING_LINGER

PIECE_BYTES: Final = 65536
PIECE: Final = bytes(range(256)) * (PIECE_BYTES // 256)
REQUEST_IDS: Final = itertools.count(1 << 32)
CONNECT_SECONDS: Final = 10.0
AGAIN_SECONDS: Final = 0.2  # between an end of a connection and the next one of the same client
RECEIVE_WINDOW_BYTES: Final = 8192  # of a client that does not read
REMAINING_MS: Final = 600_000

Behaviour = Callable[[], Iterator[bytes]]  # what one connection sends; may sleep between two parts


@dataclass
class Crowd:
    """Clients of one address.

    `connects_again`: also after its connection has been refused, reset or closed. `reads_bytes`: how many
    bytes each reads at once, 0 for none. `resets`: after what it sent, in place of staying connected.
    """

    address: Address
    count: int
    behaviour: Behaviour
    connects_again: bool = False
    reads_bytes: int = 0
    read_pause_seconds: float = 0.01
    resets: bool = False
    progress: list[int] = field(default_factory=list)
    responses: list[bytes] = field(default_factory=list)
    _greenlets: list[Any] = field(default_factory=list)
    _socks: set[Any] = field(default_factory=set)

    def start(self) -> None:
        """Connect all clients."""
        self.progress = [0] * self.count
        self._greenlets = [gevent.spawn(self._run, number) for number in range(self.count)]

    def close(self) -> None:
        """Disconnect all clients."""
        gevent.killall(self._greenlets)
        for sock in self._socks:
            sock.close()

    def _run(self, number: int) -> None:
        while True:
            sock = socket.socket()
            self._socks.add(sock)
            if not self.reads_bytes:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_WINDOW_BYTES)
            with suppress(OSError):
                sock.settimeout(CONNECT_SECONDS)
                sock.connect(self.address)
                sock.settimeout(None)
                reader = gevent.spawn(self._read, sock)
                self._send(sock, number)
                if self.resets:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETTING_LINGER)
                else:
                    reader.join()
                reader.kill()
            self._socks.discard(sock)
            sock.close()
            if not self.connects_again:
                return
            gevent.sleep(AGAIN_SECONDS)

    def _send(self, sock: socket.socket, number: int) -> None:
        for part in self.behaviour():
            sent = 0
            while sent < len(part):
                count = sock.send(part[sent:])
                sent += count
                self.progress[number] += count

    def _read(self, sock: socket.socket) -> None:
        """Read as slowly as told; without reading, wait for the end of the connection."""
        while not self.reads_bytes:
            gevent.sleep(1.0)
        with suppress(OSError):
            while data := sock.recv(self.reads_bytes):
                self.responses.append(data[:64])
                gevent.sleep(self.read_pause_seconds)


def head(framing: str, path: str = "/hold/0/crowd", method: str = "POST", extra: str = "") -> bytes:
    """The head of a request. `framing`: its Content-Length or Transfer-Encoding line."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: h.example",
        f"X-Attempt-Id: {next(REQUEST_IDS):016x}",
        f"X-Time-Remaining: {REMAINING_MS}",
        *([framing] if framing else []),
        *([extra] if extra else []),
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def with_length(size: int, missing: int = 1, path: str = "/hold/0/crowd") -> Behaviour:
    """A body with a length, without its last `missing` bytes."""

    def send() -> Iterator[bytes]:
        yield head(f"Content-Length: {size}", path)
        yield from _parts(size - missing)

    return send


def piece_by_piece(size: int, piece_bytes: int, pause_seconds: float) -> Behaviour:
    """A body with a length in small pieces, without its last byte."""

    def send() -> Iterator[bytes]:
        yield head(f"Content-Length: {size}")
        for at in range(0, size - 1, piece_bytes):
            yield PIECE[: min(piece_bytes, size - 1 - at)]
            gevent.sleep(pause_seconds)

    return send


def in_chunks(size: int, chunk_bytes: int, extension: bytes = b"", is_complete: bool = False) -> Behaviour:
    """A body in chunks, without the last one unless `is_complete`."""
    count = max(1, PIECE_BYTES // chunk_bytes)
    chunk = b"%x%b\r\n%b\r\n" % (chunk_bytes, extension, PIECE[:chunk_bytes])

    def send() -> Iterator[bytes]:
        yield head("Transfer-Encoding: chunked")
        for _ in range(0, size, count * chunk_bytes):
            yield chunk * count
        if is_complete:
            yield b"0\r\n\r\n"

    return send


def with_trailers(size: int, trailer_bytes: int) -> Behaviour:
    """A body in chunks whose trailers do not end."""

    def send() -> Iterator[bytes]:
        yield from in_chunks(size, PIECE_BYTES)()
        yield b"0\r\n"
        yield b"a:b\r\n" * (trailer_bytes // 5)

    return send


def tiny_headers(count: int, is_complete: bool = False) -> Behaviour:
    """A head of many headers of one letter."""

    def send() -> Iterator[bytes]:
        yield head("", method="GET")[:-2]
        yield b"a:b\r\n" * count
        if is_complete:
            yield b"\r\n"

    return send


def growing_head(pause_seconds: float) -> Behaviour:
    """A head that grows by a byte at a time and never ends."""

    def send() -> Iterator[bytes]:
        yield b"GET /look/0/x HTTP/1.1\r\nHost: h.example\r\nX-Long: "
        while True:
            yield b"a"
            gevent.sleep(pause_seconds)

    return send


def pipelined(count: int, path: str = "/look/0/crowd") -> Behaviour:
    """Many requests behind one another."""

    def send() -> Iterator[bytes]:
        for _ in range(0, count, 50):
            yield b"".join(head("", path, "GET") for _ in range(50))

    return send


def shortest_requests(count: int) -> Behaviour:
    """Many requests behind one another, each as short as a request can be."""

    def send() -> Iterator[bytes]:
        yield b"GET / HTTP/1.1\r\n\r\n" * count

    return send


def continue_expected(size: int) -> Behaviour:
    """A head that asks for 100 Continue, and nothing after it."""

    def send() -> Iterator[bytes]:
        yield head(f"Content-Length: {size}", extra="Expect: 100-continue")

    return send


def one_request(path: str = "/hold/0/crowd") -> Behaviour:
    """A complete request."""

    def send() -> Iterator[bytes]:
        yield head("Content-Length: 10", path) + bytes(10)

    return send


def raw(data: bytes, repeat: int = 1) -> Behaviour:
    """These bytes, several times."""

    def send() -> Iterator[bytes]:
        for _ in range(repeat):
            yield data

    return send


def nothing() -> Iterator[bytes]:
    """A connection on which nothing is sent."""
    return iter(())


def _parts(size: int) -> Iterator[bytes]:
    for at in range(0, size, PIECE_BYTES):
        yield PIECE[: min(PIECE_BYTES, size - at)]
