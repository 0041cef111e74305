"""Moves bytes between sockets and pipes. Reads only against a lease, and holds none while it waits.

Whoever waits at a socket does so with a timer for as long as the side may still take, and tells the Pace how
long it was. A sink's progress is what its peer has acknowledged: a slow client takes a few bytes of a full
send buffer long before the socket can be written to again.
"""

import contextlib
import fcntl
import struct
import termios
import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket

from ashlift.gatekeeper.streams.pipe import Buffer, Pipe, SourceEndedError
from ashlift.gatekeeper.streams.progress import Lag, ProgressMonitor

BodyParser = Callable[[memoryview], tuple[bytes, bool]]
UNKNOWN_LENGTH = 1 << 30  # bytes wanted where only a parser knows how many there are


class LagError(Exception):
    """The side that was waited for fell behind."""

    def __init__(self, lag: Lag) -> None:
        super().__init__(lag.value)
        self.lag = lag


def _wait(sock: Any, watcher: Any, monitor: ProgressMonitor, moved: Callable[[], int]) -> None:
    began = time.monotonic()
    with contextlib.suppress(TimeoutError):  # the Pace judges
        socket.wait(watcher, monitor.max_wait_ms() / 1000, TimeoutError())
    monitor.record_bytes(moved())
    lag = monitor.record_wait(1000 * (time.monotonic() - began))
    if lag is not None:
        raise LagError(lag)


class Source:
    """Reads from one socket, only against a lease, and holds none while it waits. `gone` tells whether the
    peer has closed, asked while there is no room to read."""

    def __init__(
        self, sock: Any, monitor: ProgressMonitor, peer_closed: Callable[[], bool] | None = None
    ) -> None:
        self._sock, self._monitor, self._peer_closed = sock, monitor, peer_closed

    def fill(self, pipe: Pipe, remaining: int) -> None:
        """Read a body of known length: no parser, no copy. Raises LagError, EndedError, OSError and
        BrokenOffError."""

        def count(view: memoryview) -> tuple[int, int]:
            nonlocal remaining
            remaining -= len(view)
            return len(view), remaining

        self._run(pipe, remaining, count)

    def fill_parsed(self, pipe: Pipe, read: BodyParser) -> None:
        """Read a body whose end a parser must find. `read` takes what came and tells what of it is body and
        whether that was the end. Raises as `fill` does, and what `read` raises."""

        def parse(view: memoryview) -> tuple[int, int]:
            body, done = read(view)
            view[: len(body)] = body  # the parser has copied it out: it is never longer than what came
            return len(body), 0 if done else UNKNOWN_LENGTH

        self._run(pipe, UNKNOWN_LENGTH, parse)

    def _run(self, pipe: Pipe, wanted_bytes: int, take: Callable[[memoryview], tuple[int, int]]) -> None:
        """Read up to `want` bytes at a time, until none are wanted. `take` tells how many of those that came
        are body, and how many are wanted then."""
        buffer: Buffer | None = None
        moved = 0
        while wanted_bytes:
            buffer, size = self._receive(pipe, wanted_bytes, buffer)
            try:
                body, wanted_bytes = take(buffer.view[:size])
            except BaseException:
                pipe.release(buffer)
                raise
            moved += size
            if not pipe.put(buffer, body):
                buffer = None
            elif moved >= pipe.bytes_per_turn():
                moved = 0
                _yield_to_others(pipe, buffer)
        if buffer is not None:
            pipe.release(buffer)

    def _receive(self, pipe: Pipe, wanted_bytes: int, buffer: Buffer | None) -> tuple[Buffer, int]:
        """A leased buffer (this one, if there is one) with what was there to read, one byte at least."""
        while True:
            buffer = buffer or pipe.acquire(wanted_bytes, self._peer_closed)
            try:
                size: int = self._sock._sock.recv_into(buffer.view, min(wanted_bytes, buffer.size))
            except BlockingIOError:
                pipe.release(buffer)  # an idle stream holds nothing
                buffer = None
                _wait(self._sock, self._sock._read_event, self._monitor, int)
                continue
            except BaseException:
                pipe.release(buffer)
                raise
            if size == 0:
                pipe.release(buffer)
                raise SourceEndedError
            self._monitor.record_bytes(size)
            return buffer, size


def _yield_to_others(pipe: Pipe, buffer: Buffer) -> None:
    """Guards against a fast stream that keeps the loop. A timer, not a callback, has it look at sockets."""
    try:
        gevent.sleep(0.000_001)
    except BaseException:
        pipe.release(buffer)
        raise


class Sink:
    """Writes to one socket, and knows how much of it the peer has taken."""

    def __init__(self, sock: Any, monitor: ProgressMonitor) -> None:
        self._sock, self._monitor = sock, monitor
        self._written = self._acknowledged = 0

    def write(self, *parts: bytes | memoryview) -> None:
        """Write all of the parts. Raises LagError, OSError."""
        remaining = [memoryview(part) for part in parts]
        raw = self._sock._sock
        while remaining:
            try:
                sent: int = raw.send(remaining[0]) if len(remaining) == 1 else raw.sendmsg(remaining)
            except BlockingIOError:
                _wait(self._sock, self._sock._write_event, self._monitor, self._acknowledged_bytes)
                continue
            self._written += sent
            while remaining and sent >= len(remaining[0]):
                sent -= len(remaining.pop(0))
            if remaining:
                remaining[0] = remaining[0][sent:]

    def _write_directly(self, view: memoryview) -> int:
        """Write what goes without waiting; the source calls this. An error is the sink's to find."""
        try:
            sent: int = self._sock._sock.send(view)
        except OSError:
            return 0
        self._written += sent
        return sent

    def _acknowledged_bytes(self) -> int:
        """Bytes that the peer has taken since this was last asked."""
        queued = struct.unpack("i", fcntl.ioctl(self._sock.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0]
        previously_acknowledged, self._acknowledged = self._acknowledged, self._written - queued
        return self._acknowledged - previously_acknowledged

    def drain(self, pipe: Pipe, chunked: bool) -> None:
        """Write a body to its end. Raises LagError, OSError, BrokenOffError."""
        pipe.write_directly = None if chunked else self._write_directly
        while (got := pipe.get()) is not None:
            try:
                body = got.view[got.start : got.end]
                if chunked:
                    self.write(b"%x\r\n" % len(body), body, b"\r\n")
                else:
                    self.write(body)
            finally:
                pipe.release(got)
        if chunked:
            self.write(b"0\r\n\r\n")
