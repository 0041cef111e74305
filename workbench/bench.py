"""Calls between our processes: frames of cbor2 over TCP, many calls at a time on one connection.

A frame is a length (4 bytes, big-endian) and one cbor2 value: a call `[number, method, body]`, an answer
`[number, body]`, a fault `[number, null, reason, detail]`.
"""

import struct
import time
from collections.abc import Callable, Mapping
from typing import Any

import cbor2
import gevent
from gevent import socket
from gevent.event import AsyncResult
from gevent.lock import Semaphore
from gevent.server import StreamServer

from workbench.faults import INVALID, UNANSWERED, UNKNOWN, UNREACHED, Fault

Address = tuple[str, int]
Handler = Callable[[Any], Any]
FRAME_MOST = 8 << 20  # bytes: a whole configuration of thousands of routes
DIAL_S = 0.5
MORE_S = 0.3  # a call with patience goes on while bytes come at least so often
SILENT_MS = 2000  # TCP_USER_TIMEOUT: bytes that nobody confirms for so long end the connection
_LENGTH = struct.Struct(">I")


def parse_address(text: str) -> Address:
    """`HOST:PORT` as a pair; raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f"no address: {text}")
    return host, int(port)


def tune(sock: socket.socket) -> None:
    """No waiting to fill packets, and an end to connections whose other side is gone without a word."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_MS)


def pack(value: Any) -> bytes:
    data = cbor2.dumps(value)
    return _LENGTH.pack(len(data)) + data


class Frames:
    """Cuts bytes into frames. ValueError: too long, or no cbor2."""

    def __init__(self) -> None:
        self._held = bytearray()

    def feed(self, data: bytes) -> list[Any]:
        self._held += data
        found = []
        while len(self._held) >= 4:
            (size,) = _LENGTH.unpack_from(self._held)
            if size > FRAME_MOST:
                raise ValueError(f"a frame of {size} bytes")
            if len(self._held) < 4 + size:
                break
            try:
                found.append(cbor2.loads(bytes(self._held[4 : 4 + size])))
            except cbor2.CBORDecodeError as error:
                raise ValueError(str(error)) from None
            del self._held[: 4 + size]
        return found


class Patience:
    """How long an answer is waited for beyond its time-out: while bytes come, and not past `until` (s)."""

    def __init__(self, until: float) -> None:
        self.until = until
        self.received = 0  # bytes on the connection when the wait began

    def more(self, now: float, received: int) -> float:
        """s to wait on; 0: give up."""
        return max(0.0, min(MORE_S, self.until - now)) if received > self.received else 0.0


class Caller:
    """The way to one other process: one connection, made when needed, made anew after it broke."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self._sock: socket.socket | None = None
        self._number = 0
        self._waiting: dict[int, AsyncResult[Any]] = {}
        self._dialling = Semaphore()
        self._received = 0  # bytes

    def call(self, method: str, body: Any, timeout: float, most: float = 0.0, dial: float = DIAL_S) -> Any:
        """The answer's body, or a Fault; never raises for what the network does.

        `timeout`: s, dialling included, which itself may take `dial`; while bytes come, up to `most` s in
        all: a large answer on a narrow line must not be given up and asked for again.
        """
        timer = gevent.Timeout(timeout)
        timer.start()
        number, sent, patience = 0, False, Patience(time.monotonic() + most)
        try:
            with self._dialling:
                sock = self._sock or self._dial(dial)
                self._number += 1
                number = self._number
                waiting = self._waiting[number] = AsyncResult()
                sent = True
                sock.sendall(pack([number, method, body]))
            while True:
                patience.received = self._received
                try:
                    return waiting.get()
                except gevent.Timeout as over:
                    more = patience.more(time.monotonic(), self._received)
                    if over is not timer or not more:
                        raise
                    timer = gevent.Timeout(more)
                    timer.start()
        except gevent.Timeout as over:
            if over is not timer:
                raise
            return Fault(UNANSWERED if sent else UNREACHED, f"{method}: {timeout:g} s")
        except OSError as error:
            self.close()
            return Fault(UNANSWERED if sent else UNREACHED, str(error))
        finally:
            timer.close()
            self._waiting.pop(number, None)

    def _dial(self, within: float) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            tune(sock)
            with gevent.Timeout(within, OSError("no connection came up")):
                sock.connect(self.address)
        except BaseException:
            sock.close()
            raise
        self._sock = sock
        gevent.spawn(self._read, sock)
        return sock

    def _read(self, sock: socket.socket) -> None:
        frames = Frames()
        try:
            while data := sock.recv(65536):
                self._received += len(data)
                for frame in frames.feed(data):
                    waiting = self._waiting.pop(frame[0], None)
                    if waiting is not None:
                        waiting.set(frame[1] if len(frame) == 2 else Fault(frame[2], frame[3]))
        except (OSError, ValueError, LookupError, TypeError):
            pass
        if self._sock is sock:
            self.close()

    def close(self) -> None:
        sock, self._sock = self._sock, None
        if sock is not None:
            sock.close()
        waiting, self._waiting = self._waiting, {}
        for one in waiting.values():
            one.set(Fault(UNANSWERED, "the connection broke"))


class Callers:
    """One Caller for each address."""

    def __init__(self) -> None:
        self._callers: dict[Address, Caller] = {}

    def to(self, address: Address) -> Caller:
        caller = self._callers.get(address)
        if caller is None:
            caller = self._callers[address] = Caller(address)
        return caller

    def keep(self, addresses: set[Address]) -> None:
        """Close the ways to all others."""
        for gone in set(self._callers) - addresses:
            self._callers.pop(gone).close()


def serve(address: Address, handlers: Mapping[str, Handler]) -> StreamServer:
    """Take calls: `handlers[method](body)` in a greenlet of its own, giving a body or a Fault.

    Started; raises OSError where the address cannot be had.
    """

    def one(sock: socket.socket, writing: Semaphore, frame: Any) -> None:
        try:
            number, method, body = frame
        except (TypeError, ValueError):
            return sock.close()
        handler = handlers.get(method)
        answer = handler(body) if handler else Fault(UNKNOWN, str(method))
        reply = [number, answer]
        if isinstance(answer, Fault):
            reply = [number, None, answer.reason, answer.detail]
        try:
            with writing:
                sock.sendall(pack(reply))
        except OSError:
            sock.close()

    def connection(sock: socket.socket, _: Address) -> None:
        frames, writing = Frames(), Semaphore()
        try:
            tune(sock)
            while data := sock.recv(65536):
                for frame in frames.feed(data):
                    gevent.spawn(one, sock, writing, frame)
        except (OSError, ValueError):
            pass
        finally:
            sock.close()

    server = StreamServer(address, connection, backlog=256)
    server.start()
    return server


__all__ = ["INVALID", "Address", "Caller", "Callers", "Fault", "Frames", "parse_address", "serve", "tune"]
