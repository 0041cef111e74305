"""A stand-in on loopback between two ends of a connection: it brings trouble about at any byte."""

import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from ashlift.rpc.addresses import Address

HOST = "127.0.0.1"
THERE, BACK = "there", "back"  # from who dialled, and to it
CUT, RESET, HOLD, HALVE, DOUBLE, AGAIN = "cut", "reset", "hold", "halve", "double", "again"
KINDS = (CUT, RESET, HOLD, HALVE, DOUBLE)
LINGER = struct.pack("ii", 1, 0)  # closed with a reset


@dataclass
class Trouble:
    """After `at` more bytes that way: an end (cut), a reset, nothing more until `release` (hold), nothing
    more, and a reset at `release` (halve), the bytes since it was armed once more (double), or what came
    with them and from there on once more at its end (again)."""

    way: str
    at: int
    kind: str
    seen: bytes = field(default=b"")


class Between:
    """Passes bytes between whoever connects to `address` and `far`. Trouble is for the connection that next
    has so many bytes to pass."""

    def __init__(self, far: Address) -> None:
        self.far = far
        self.troubles: dict[str, Trouble] = {}
        self.struck = 0  # troubles that came about
        self.strikes = Event()  # once one has, and what was to be passed on before it has been
        self.passed = {THERE: 0, BACK: 0}  # bytes
        self.opened = 0  # connections
        self._free = Event()
        self._socks: set[socket.socket] = set()
        self._server = StreamServer((HOST, 0), self._connection, backlog=64)
        self._server.start()
        self.address: Address = HOST, self._server.server_port or 0

    def arm(self, way: str, at: int, kind: str) -> None:
        self._free.clear()
        self.strikes.clear()
        self.troubles[way] = Trouble(way, at, kind)

    def release(self) -> None:
        """No trouble from now on; what was held goes on."""
        self.troubles.clear()
        self._free.set()

    def reset(self) -> None:
        """Every connection, now."""
        for sock in list(self._socks):
            _close(sock, True)

    def close(self) -> None:
        self._server.close()
        self.reset()

    def _connection(self, near: socket.socket, _: Address) -> None:
        self.opened += 1
        try:
            far = socket.create_connection(self.far)
        except OSError:
            return _close(near, True)
        self._socks |= {near, far}
        ends: tuple[Callable[[], None], ...] = (lambda: _close(near, False), lambda: _close(far, False))
        pumps = [gevent.spawn(self._pump, near, far, THERE), gevent.spawn(self._pump, far, near, BACK)]
        gevent.joinall(pumps)
        for end in ends:
            end()
        self._socks -= {near, far}

    def _pump(self, one: socket.socket, other: socket.socket, way: str) -> None:
        try:
            while data := one.recv(65536):
                self.passed[way] += len(data)
                trouble = self.troubles.get(way)
                if trouble is not None and len(data) >= trouble.at:
                    del self.troubles[way]
                    self.struck += 1
                    data = self._strike(trouble, data, one, other)
                elif trouble is not None:
                    trouble.at -= len(data)
                    trouble.seen += data
                other.sendall(data)
            other.shutdown(socket.SHUT_WR)
        except OSError:
            _close(one, True)
            _close(other, True)

    def _strike(self, trouble: Trouble, data: bytes, one: socket.socket, other: socket.socket) -> bytes:
        """What is still to be passed on. OSError: this connection is over."""
        head, rest = data[: trouble.at], data[trouble.at :]
        other.sendall(head)
        self.strikes.set()
        if trouble.kind == DOUBLE:
            return trouble.seen + head + rest
        if trouble.kind == HOLD:
            self._free.wait()
            return rest
        if trouble.kind == AGAIN:
            return rest + rest
        if trouble.kind == HALVE:
            reading = gevent.spawn(self._swallow, one)
            self._free.wait()
            reading.kill()
        for sock in (other, one):
            _close(sock, trouble.kind != CUT)
        raise OSError(trouble.kind)

    @staticmethod
    def _swallow(sock: socket.socket) -> None:
        with suppress(OSError):
            while sock.recv(65536):
                pass


def _close(sock: socket.socket, reset: bool) -> None:
    try:
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
        else:
            sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()
