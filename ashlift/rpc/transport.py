"""Calls between our processes: frames of cbor2 over TCP, many calls at a time on one connection.

A frame is a length, a check (4 bytes each, big-endian) and one cbor2 value: a call `[number, method, body]`,
an answer `[number, body]`, a fault `[number, null, reason, detail]`. The check is the CRC-32 of the value's
bytes, begun from another figure for calls than for answers: what was put together of two frames, or comes
back to its sender, does not pass. Whoever gives up in the middle of writing a frame ends the connection, and
so does whoever reads one that does not pass; its calls are then in doubt, and the next goes on a new one.
"""

import struct
import time
import zlib
from collections.abc import Callable, Mapping
from typing import Any

import cbor2
import gevent
from gevent import socket
from gevent.event import AsyncResult
from gevent.lock import Semaphore
from gevent.server import StreamServer

from ashlift.errors import Failure, FailureReason

Address = tuple[str, int]
Handler = Callable[[Any], Any]
FRAME_MOST = 8 << 20  # bytes: a whole configuration of thousands of routes
DIAL_S = 0.5
MORE_S = 0.3  # a call with patience goes on while bytes come at least so often
SILENT_MS = 2000  # TCP_USER_TIMEOUT: bytes that nobody confirms for so long end the connection
SILENT_S = SILENT_MS / 1000  # a write of which the other side takes nothing for so long is given up
ALIVE = {  # s of rest, s between probes, probes: so ends a connection on which nobody is there any more
    socket.TCP_KEEPIDLE: 10,
    socket.TCP_KEEPINTVL: 5,
    socket.TCP_KEEPCNT: 3,
}
CALLS, ANSWERS = zlib.crc32(b"call"), zlib.crc32(b"answer")  # what the checks of either direction begin from
_HEAD = struct.Struct(">II")


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
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in ALIVE.items():
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def pack(way: int, value: Any) -> bytes:
    """A frame; `way`: CALLS or ANSWERS. ValueError: it is larger than any that is read."""
    data = cbor2.dumps(value)
    if len(data) > FRAME_MOST:
        raise ValueError(f"a frame of {len(data)} bytes, {FRAME_MOST} at most")
    return _HEAD.pack(len(data), zlib.crc32(data, way)) + data


def write(sock: socket.socket, data: bytes, silent: float = SILENT_S) -> None:
    """Write all of it. OSError: the connection broke, or the other side took nothing for `silent` s. Left by
    an error, whatever it is, part of `data` may have gone: nothing else may be written there any more."""
    view = memoryview(data)
    while view:
        with gevent.Timeout(silent, OSError("the other side takes nothing")):
            view = view[sock.send(view) :]


class Frames:
    """Cuts bytes into frames; `way`: CALLS or ANSWERS. ValueError: too long, a check that fails, no cbor2."""

    def __init__(self, way: int) -> None:
        self._way, self._held = way, bytearray()

    def feed(self, data: bytes) -> list[Any]:
        self._held += data
        found = []
        while len(self._held) >= _HEAD.size:
            size, check = _HEAD.unpack_from(self._held)
            if size > FRAME_MOST:
                raise ValueError(f"a frame of {size} bytes")
            end = _HEAD.size + size
            if len(self._held) < end:
                break
            value = bytes(self._held[_HEAD.size : end])
            if zlib.crc32(value, self._way) != check:
                raise ValueError("a frame whose check fails")
            try:
                found.append(cbor2.loads(value))
            except cbor2.CBORDecodeError as error:
                raise ValueError(str(error)) from None
            del self._held[:end]
        return found


class Patience:
    """How long an answer is waited for beyond its time-out: while bytes come, and not past `until` (s)."""

    def __init__(self, until: float) -> None:
        self.until = until
        self.received = 0  # bytes on the connection when the wait began

    def more(self, now: float, received: int) -> float:
        """s to wait on; 0: give up."""
        return max(0.0, min(MORE_S, self.until - now)) if received > self.received else 0.0


class Line:
    """One connection to another process, and the calls that wait on it: none of them outlives it."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.waiting: dict[int, AsyncResult[Any]] = {}
        self.received = 0  # bytes

    def end(self) -> None:
        """Its calls are in doubt from now on."""
        self.sock.close()
        waiting, self.waiting = self.waiting, {}
        for one in waiting.values():
            one.set(Failure(FailureReason.OUTCOME_UNKNOWN, "the connection broke"))


class Caller:
    """The way to one other process: one connection, made when needed, made anew after it broke. Numbers of
    calls rise over all its connections: an answer can only belong to a call on the connection it came on."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self._line: Line | None = None
        self._number = 0
        self._turn = Semaphore()  # who dials or writes

    def call(self, method: str, body: Any, timeout: float, most: float = 0.0, dial: float = DIAL_S) -> Any:
        """The answer's body, or a Failure; never raises for what the network does.

        UNREACHABLE: nothing was sent. OUTCOME_UNKNOWN: it may have been done, or be done later. INVALID: too
        large.
        `timeout`: s, dialling included, which itself may take `dial`; while bytes come, up to `most` s in
        all: a large answer on a narrow line must not be given up and asked for again.
        """
        timer = gevent.Timeout(timeout)
        timer.start()
        line, number, patience = None, 0, Patience(time.monotonic() + most)
        try:
            with self._turn:
                number = self._number + 1
                frame = pack(CALLS, [number, method, body])
                line, self._number = self._line or self._dial(dial), number
                waiting = line.waiting[number] = AsyncResult()
                try:
                    write(line.sock, frame)
                except BaseException:
                    self._end(line)  # half a frame may be out
                    raise
            while True:
                patience.received = line.received
                try:
                    return waiting.get()
                except gevent.Timeout as over:
                    more = patience.more(time.monotonic(), line.received)
                    if over is not timer or not more:
                        raise
                    timer = gevent.Timeout(more)
                    timer.start()
        except gevent.Timeout as over:
            if over is not timer:
                raise
            return Failure(
                FailureReason.OUTCOME_UNKNOWN if line else FailureReason.UNREACHABLE,
                f"{method}: {timeout:g} s",
            )
        except OSError as error:
            return Failure(FailureReason.OUTCOME_UNKNOWN if line else FailureReason.UNREACHABLE, str(error))
        except ValueError as error:
            return Failure(FailureReason.INVALID, f"{method}: {error}")
        finally:
            timer.close()
            if line is not None:
                line.waiting.pop(number, None)

    def _dial(self, within: float) -> Line:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            tune(sock)
            with gevent.Timeout(within, OSError("no connection came up")):
                sock.connect(self.address)
        except BaseException:
            sock.close()
            raise
        line = self._line = Line(sock)
        gevent.spawn(self._read, line)
        return line

    def _read(self, line: Line) -> None:
        frames = Frames(ANSWERS)
        try:
            while data := line.sock.recv(65536):
                line.received += len(data)
                for frame in frames.feed(data):
                    self._answered(line, frame)
        except (OSError, ValueError):
            pass
        self._end(line)

    def _answered(self, line: Line, frame: Any) -> None:
        """ValueError: no answer to any call so far. One to a call that was given up is passed over."""
        match frame:
            case [int(number), body] if number <= self._number:
                answer = body
            case [int(number), None, str(reason), str(detail)] if number <= self._number:
                answer = Failure(reason, detail)
            case _:
                raise ValueError("no answer")
        waiting = line.waiting.pop(number, None)
        if waiting is not None:
            waiting.set(answer)

    def _end(self, line: Line) -> None:
        if self._line is line:
            self._line = None
        line.end()

    def close(self) -> None:
        if self._line is not None:
            self._end(self._line)


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
    """Take calls: `handlers[method](body)` in a greenlet of its own, giving a body or a Failure.

    Started; raises OSError where the address cannot be had.
    """

    def one(sock: socket.socket, writing: Semaphore, number: int, method: str, body: Any) -> None:
        handler = handlers.get(method)
        answer = handler(body) if handler else Failure(FailureReason.NOT_FOUND, method)
        reply = [number, answer]
        if isinstance(answer, Failure):
            reply = [number, None, answer.reason, answer.detail]
        try:
            data = pack(ANSWERS, reply)
        except ValueError as error:
            data = pack(ANSWERS, [number, None, FailureReason.INVALID, f"{method}: {error}"])
        with writing:
            try:
                write(sock, data)
            except OSError:
                sock.close()  # half an answer may be out
            except BaseException:
                sock.close()
                raise

    def connection(sock: socket.socket, _: Address) -> None:
        frames, writing, newest = Frames(CALLS), Semaphore(), 0
        try:
            tune(sock)
            while data := sock.recv(65536):
                for frame in frames.feed(data):
                    match frame:
                        case [int(number), str(method), body] if number > newest:
                            newest = number
                        case _:
                            raise ValueError("no call, or one that has come before")
                    gevent.spawn(one, sock, writing, number, method, body)
        except (OSError, ValueError):
            pass
        finally:
            sock.close()

    server = StreamServer(address, connection, backlog=256)
    server.start()
    return server


__all__ = ["Address", "Caller", "Callers", "Failure", "Frames", "parse_address", "serve", "tune"]
