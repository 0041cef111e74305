"""Transfers bytes between sockets and pipes. A source that waits for input holds no buffer.

Waits at a socket are limited and recorded by a ProgressMonitor. The progress of a sink is the bytes that
its peer has acknowledged: a slow client takes some bytes of a full send buffer long before the socket is
writable again.
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
UNKNOWN_LENGTH = 1 << 30  # bytes to read of a body whose end a parser finds


class LagError(Exception):
    """A peer has stalled or is too slow."""

    def __init__(self, lag: Lag) -> None:
        super().__init__(lag.value)
        self.lag = lag


def _wait(sock: Any, watcher: Any, monitor: ProgressMonitor, moved: Callable[[], int]) -> None:
    started_at = time.monotonic()
    with contextlib.suppress(TimeoutError):  # the monitor decides
        socket.wait(watcher, monitor.max_wait_ms() / 1000, TimeoutError())
    monitor.record_bytes(moved())
    lag = monitor.record_wait(1000 * (time.monotonic() - started_at))
    if lag is not None:
        raise LagError(lag)


class Source:
    """Reads a body from a socket into a pipe.

    `peer_closed` returns whether the peer has closed, and is called while there is no buffer to read into.
    """

    def __init__(
        self, sock: Any, monitor: ProgressMonitor, peer_closed: Callable[[], bool] | None = None
    ) -> None:
        self._sock, self._monitor, self._peer_closed = sock, monitor, peer_closed

    def fill(self, pipe: Pipe, remaining: int) -> None:
        """Read a body of known length, without a parser.

        Raises LagError, SourceEndedError, OSError and AbortedError.
        """

        def count(view: memoryview) -> tuple[int, int]:
            nonlocal remaining
            remaining -= len(view)
            return len(view), remaining

        self._transfer(pipe, remaining, count)

    def fill_parsed(self, pipe: Pipe, read: BodyParser) -> None:
        """Read a body whose end a parser finds.

        `read` parses input, and returns the body in it and whether that is complete. Raises the errors of
        `fill` and of `read`.
        """

        def parse(view: memoryview) -> tuple[int, int]:
            body, done = read(view)
            view[: len(body)] = body  # a copy made by the parser, never longer than the input
            return len(body), 0 if done else UNKNOWN_LENGTH

        self._transfer(pipe, UNKNOWN_LENGTH, parse)

    def _transfer(
        self, pipe: Pipe, wanted_bytes: int, process: Callable[[memoryview], tuple[int, int]]
    ) -> None:
        """Read until no bytes are wanted.

        `process` returns how many bytes of the input are body, and how many are wanted after it.
        """
        buffer: Buffer | None = None
        moved = 0
        while wanted_bytes:
            buffer, size = self._receive(pipe, wanted_bytes, buffer)
            try:
                body, wanted_bytes = process(buffer.view[:size])
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
        """Wait for input; returns it in `buffer` or in a new one, and its size, which is at least 1."""
        while True:
            buffer = buffer or pipe.acquire(wanted_bytes, self._peer_closed)
            try:
                size: int = self._sock._sock.recv_into(buffer.view, min(wanted_bytes, buffer.size))
            except BlockingIOError:
                pipe.release(buffer)  # an idle stream holds no buffer
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
    """Let other greenlets run. A timer, unlike a callback, makes the loop poll the sockets."""
    try:
        gevent.sleep(0.000_001)
    except BaseException:
        pipe.release(buffer)
        raise


class Sink:
    """Writes a body from a pipe to a socket."""

    def __init__(self, sock: Any, monitor: ProgressMonitor) -> None:
        self._sock, self._monitor = sock, monitor
        self._written = self._acknowledged = 0

    def write(self, *parts: bytes | memoryview) -> None:
        """Write all parts. Raises LagError and OSError."""
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
        """Write what the socket takes at once. Called by the source: errors are left for the sink to find."""
        try:
            sent: int = self._sock._sock.send(view)
        except OSError:
            return 0
        self._written += sent
        return sent

    def _acknowledged_bytes(self) -> int:
        """Return the bytes that the peer has acknowledged since the last call."""
        queued = struct.unpack("i", fcntl.ioctl(self._sock.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0]
        previously_acknowledged, self._acknowledged = self._acknowledged, self._written - queued
        return self._acknowledged - previously_acknowledged

    def drain(self, pipe: Pipe, chunked: bool) -> None:
        """Write a body to its end. Raises LagError, OSError and AbortedError."""
        pipe.write_directly = None if chunked else self._write_directly
        while (buffer := pipe.get()) is not None:
            try:
                body = buffer.view[buffer.start : buffer.end]
                if chunked:
                    self.write(b"%x\r\n" % len(body), body, b"\r\n")
                else:
                    self.write(body)
            finally:
                pipe.release(buffer)
        if chunked:
            self.write(b"0\r\n\r\n")
