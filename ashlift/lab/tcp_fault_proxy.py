"""A fault-injecting proxy for TCP on loopback, which does what the schedule says of each direction.

Each accepted connection gets one to the far end, and a greenlet for each direction, which asks the schedule,
for every chunk that it reads, what that direction does now. A cut refuses new connections and resets
established ones within POLL_SECONDS of its beginning. Delays keep the order of the bytes of one direction,
as TCP does.
"""

import contextlib
import socket as stdlib_socket
import struct
import time
from collections.abc import Callable
from typing import Final

import gevent
from gevent import socket

from ashlift.lab.fault_proxy import (
    ANY_LOOPBACK_PORT,
    RECEIVE_BYTES,
    Address,
    FaultProxy,
    require_loopback,
)
from ashlift.lab.link_faults import Direction, FaultSchedule, LinkStateKind

POLL_SECONDS: Final = 0.05  # between looks for a cut that has begun, or for the end of a hold
CONNECT_TIMEOUT_SECONDS: Final = 2.0
LISTEN_BACKLOG: Final = 128
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)  # SO_LINGER for no time

SocketPair = tuple[socket.socket, socket.socket]


class TcpFaultProxy(FaultProxy):
    """Owns its listener, the connections of both ends, and the greenlets that serve them."""

    def __init__(
        self,
        near: str,
        far: str,
        target: Address,
        schedule: FaultSchedule,
        seed: int,
        listen: Address = ANY_LOOPBACK_PORT,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Listen at `listen`, of which `address` says the port. Raises OSError where that cannot be had."""
        super().__init__(near, far, target, schedule, seed, clock)
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(require_loopback(listen))
        self._listener.listen(LISTEN_BACKLOG)
        self.address: Address = self._listener.getsockname()
        self.waiting_count = 0  # chunks and new connections that wait now
        self._pairs: set[SocketPair] = set()
        self._greenlets = [gevent.spawn(self._accept), gevent.spawn(self._reset_while_partitioned)]

    def close(self) -> None:
        """Stop listening and reset all connections."""
        gevent.killall(self._greenlets)
        self._listener.close()
        for pair in list(self._pairs):
            self._reset_pair(pair)

    def _is_partitioned(self) -> bool:
        directions = (self.outward, self.backward)
        return any(self._state(direction).kind is LinkStateKind.CUT for direction in directions)

    def _wait_while_withheld(self, direction: Direction) -> bool:
        """Return when the direction is not held; whether it was."""
        if self._state(direction).kind is not LinkStateKind.HOLD:
            return False
        self.waiting_count += 1
        while self._state(direction).kind is LinkStateKind.HOLD:
            gevent.sleep(POLL_SECONDS)
        self.waiting_count -= 1
        return True

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            gevent.spawn(self._connect_far, near)

    def _connect_far(self, near: socket.socket) -> None:
        if self._wait_while_withheld(self.outward):
            self._count(self.outward, "held")
        if self._is_partitioned():
            self._count(self.outward, "refused")
            _close_with_reset(near)
            return
        try:
            far = socket.create_connection(self._target, timeout=CONNECT_TIMEOUT_SECONDS)
        except OSError:
            self._count(self.outward, "unreachable")
            _close_with_reset(near)
            return
        far.settimeout(None)
        pair = (near, far)
        self._pairs.add(pair)
        gevent.spawn(self._forward, near, far, self.outward, pair)
        gevent.spawn(self._forward, far, near, self.backward, pair)

    def _forward(
        self, source: socket.socket, sink: socket.socket, direction: Direction, pair: SocketPair
    ) -> None:
        try:
            while True:
                data = source.recv(RECEIVE_BYTES)
                if self._wait_while_withheld(direction):
                    self._count(direction, "held", len(data))
                if not data:
                    with contextlib.suppress(OSError):
                        sink.shutdown(socket.SHUT_WR)
                    return
                if not self._forward_chunk(data, sink, direction):
                    break
        except OSError:
            pass
        self._reset_pair(pair)

    def _forward_chunk(self, data: bytes, sink: socket.socket, direction: Direction) -> bool:
        """Whether the connection goes on: not where the direction is cut."""
        state = self._state(direction)
        if state.kind is LinkStateKind.CUT:
            return False
        if state.kind is LinkStateKind.DROP:
            self._count(direction, "dropped", len(data))
            return True
        if state.kind is LinkStateKind.DELAY:
            gevent.sleep(self._delay_seconds(state))
            self._count(direction, "delayed", len(data))
        sink.sendall(data)
        self._count(direction, "passed", len(data))
        return True

    def _reset_pair(self, pair: SocketPair) -> None:
        if pair not in self._pairs:
            return
        self._pairs.discard(pair)
        self._count(self.outward, "reset")
        for sock in pair:
            _close_with_reset(sock)

    def _reset_while_partitioned(self) -> None:
        """Reset established connections while a cut lasts; it polls, so that any clock serves."""
        while True:
            gevent.sleep(POLL_SECONDS)
            if self._pairs and self._is_partitioned():
                for pair in list(self._pairs):
                    self._reset_pair(pair)


def _close_with_reset(sock: socket.socket) -> None:
    """Close without an orderly end, as where a router has lost the connection."""
    with contextlib.suppress(OSError):
        sock.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()
