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

from ashlift.gatekeeper.streams.pace import Lag, Pace
from ashlift.gatekeeper.streams.pipe import EndedError, Pipe, Slice

Read = Callable[[memoryview], tuple[bytes, bool]]
ANY = 1 << 30  # bytes wanted where only a parser knows how many there are


class LagError(Exception):
    """The side that was waited for fell behind."""

    def __init__(self, lag: Lag) -> None:
        super().__init__(lag.value)
        self.lag = lag


def _wait(sock: Any, watcher: Any, pace: Pace, moved: Callable[[], int]) -> None:
    began = time.monotonic()
    with contextlib.suppress(TimeoutError):  # the Pace judges
        socket.wait(watcher, pace.allowance() / 1000, TimeoutError())
    pace.moved(moved())
    lag = pace.waited(1000 * (time.monotonic() - began))
    if lag is not None:
        raise LagError(lag)


class Source:
    """Reads from one socket, only against a lease, and holds none while it waits. `gone` tells whether the
    peer has closed, asked while there is no room to read."""

    def __init__(self, sock: Any, pace: Pace, gone: Callable[[], bool] | None = None) -> None:
        self._sock, self._pace, self._gone = sock, pace, gone

    def fill(self, pipe: Pipe, left: int) -> None:
        """Read a body of known length: no parser, no copy. Raises LagError, EndedError, OSError and
        BrokenOffError."""

        def counted(view: memoryview) -> tuple[int, int]:
            nonlocal left
            left -= len(view)
            return len(view), left

        self._run(pipe, left, counted)

    def fill_parsed(self, pipe: Pipe, read: Read) -> None:
        """Read a body whose end a parser must find. `read` takes what came and tells what of it is body and
        whether that was the end. Raises as `fill` does, and what `read` raises."""

        def parsed(view: memoryview) -> tuple[int, int]:
            body, done = read(view)
            view[: len(body)] = body  # the parser has copied it out: it is never longer than what came
            return len(body), 0 if done else ANY

        self._run(pipe, ANY, parsed)

    def _run(self, pipe: Pipe, want: int, take: Callable[[memoryview], tuple[int, int]]) -> None:
        """Read up to `want` bytes at a time, until none are wanted. `take` tells how many of those that came
        are body, and how many are wanted then."""
        leased: Slice | None = None
        moved = 0
        while want:
            leased, size = self._receive(pipe, want, leased)
            try:
                body, want = take(leased.view[:size])
            except BaseException:
                pipe.give(leased)
                raise
            moved += size
            if not pipe.put(leased, body):
                leased = None
            elif moved >= pipe.turn():
                moved = 0
                _let_others(pipe, leased)
        if leased is not None:
            pipe.give(leased)

    def _receive(self, pipe: Pipe, want: int, leased: Slice | None) -> tuple[Slice, int]:
        """A leased buffer (this one, if there is one) with what was there to read, one byte at least."""
        while True:
            leased = leased or pipe.lease(want, self._gone)
            try:
                size: int = self._sock._sock.recv_into(leased.view, min(want, leased.size))
            except BlockingIOError:
                pipe.give(leased)  # an idle stream holds nothing
                leased = None
                _wait(self._sock, self._sock._read_event, self._pace, int)
                continue
            except BaseException:
                pipe.give(leased)
                raise
            if size == 0:
                pipe.give(leased)
                raise EndedError
            self._pace.moved(size)
            return leased, size


def _let_others(pipe: Pipe, leased: Slice) -> None:
    """Guards against a fast stream that keeps the loop. A timer, not a callback, has it look at sockets."""
    try:
        gevent.sleep(0.000_001)
    except BaseException:
        pipe.give(leased)
        raise


class Sink:
    """Writes to one socket, and knows how much of it the peer has taken."""

    def __init__(self, sock: Any, pace: Pace) -> None:
        self._sock, self._pace = sock, pace
        self._handed = self._taken = 0

    def write(self, *parts: bytes | memoryview) -> None:
        """Write all of the parts. Raises LagError, OSError."""
        left = [memoryview(part) for part in parts]
        raw = self._sock._sock
        while left:
            try:
                sent: int = raw.send(left[0]) if len(left) == 1 else raw.sendmsg(left)
            except BlockingIOError:
                _wait(self._sock, self._sock._write_event, self._pace, self._progress)
                continue
            self._handed += sent
            while left and sent >= len(left[0]):
                sent -= len(left.pop(0))
            if left:
                left[0] = left[0][sent:]

    def _direct(self, view: memoryview) -> int:
        """Write what goes without waiting; the source calls this. An error is the sink's to find."""
        try:
            sent: int = self._sock._sock.send(view)
        except OSError:
            return 0
        self._handed += sent
        return sent

    def _progress(self) -> int:
        """Bytes that the peer has taken since this was last asked."""
        queued = struct.unpack("i", fcntl.ioctl(self._sock.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0]
        taken, self._taken = self._taken, self._handed - queued
        return self._taken - taken

    def drain(self, pipe: Pipe, chunked: bool) -> None:
        """Write a body to its end. Raises LagError, OSError, BrokenOffError."""
        pipe.direct = None if chunked else self._direct
        while (got := pipe.get()) is not None:
            try:
                body = got.view[got.start : got.end]
                if chunked:
                    self.write(b"%x\r\n" % len(body), body, b"\r\n")
                else:
                    self.write(body)
            finally:
                pipe.give(got)
        if chunked:
            self.write(b"0\r\n\r\n")
