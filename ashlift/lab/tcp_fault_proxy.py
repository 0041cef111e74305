"""A fault-injecting proxy for TCP on loopback, driven by a schedule of faults for each direction.

For each accepted connection the proxy connects to the callee and starts a greenlet for each direction, which
looks up the state of its direction for every chunk that it reads. A cut refuses new connections and resets
established ones within POLL_SECONDS. Delays preserve the order of bytes, as TCP does.
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

POLL_SECONDS: Final = 0.05  # between checks for the start of a cut or the end of a hold
CONNECT_TIMEOUT_SECONDS: Final = 2.0
LISTEN_BACKLOG: Final = 128
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0

SocketPair = tuple[socket.socket, socket.socket]


class TcpFaultProxy(FaultProxy):
    """Owns its listener, the connections to both ends, and the greenlets that serve them."""

    def __init__(
        self,
        caller: str,
        callee: str,
        target: Address,
        schedule: FaultSchedule,
        seed: int,
        listen: Address = ANY_LOOPBACK_PORT,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Listen at `listen`; `address` has the port in use. Raises OSError if it cannot be bound."""
        super().__init__(caller, callee, target, schedule, seed, clock)
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(require_loopback(listen))
        self._listener.listen(LISTEN_BACKLOG)
        self.address: Address = self._listener.getsockname()
        self.waiting_count = 0  # chunks and new connections that are held now
        self._pairs: set[SocketPair] = set()
        self._greenlets = [gevent.spawn(self._accept), gevent.spawn(self._reset_while_cut)]

    def close(self) -> None:
        """Stop listening and reset all connections."""
        gevent.killall(self._greenlets)
        self._listener.close()
        for pair in list(self._pairs):
            self._reset_pair(pair)

    def _is_cut(self) -> bool:
        directions = (self.to_callee, self.to_caller)
        return any(self._state(direction).kind is LinkStateKind.CUT for direction in directions)

    def _wait_while_held(self, direction: Direction) -> bool:
        """Wait until the direction is not held; return whether it was held."""
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
                caller, _ = self._listener.accept()
            except OSError:
                return
            gevent.spawn(self._connect_callee, caller)

    def _connect_callee(self, caller: socket.socket) -> None:
        if self._wait_while_held(self.to_callee):
            self._count(self.to_callee, "held")
        if self._is_cut():
            self._count(self.to_callee, "refused")
            _close_with_reset(caller)
            return
        try:
            callee = socket.create_connection(self._target, timeout=CONNECT_TIMEOUT_SECONDS)
        except OSError:
            self._count(self.to_callee, "unreachable")
            _close_with_reset(caller)
            return
        callee.settimeout(None)
        pair = (caller, callee)
        self._pairs.add(pair)
        gevent.spawn(self._forward, caller, callee, self.to_callee, pair)
        gevent.spawn(self._forward, callee, caller, self.to_caller, pair)

    def _forward(
        self, source: socket.socket, sink: socket.socket, direction: Direction, pair: SocketPair
    ) -> None:
        try:
            while True:
                data = source.recv(RECEIVE_BYTES)
                if self._wait_while_held(direction):
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
        """Forward data as the schedule says; return False if the direction is cut."""
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
        self._count(self.to_callee, "reset")
        for sock in pair:
            _close_with_reset(sock)

    def _reset_while_cut(self) -> None:
        """Reset established connections during a cut. Polls, as the clock may be a simulated one."""
        while True:
            gevent.sleep(POLL_SECONDS)
            if self._pairs and self._is_cut():
                for pair in list(self._pairs):
                    self._reset_pair(pair)


def _close_with_reset(sock: socket.socket) -> None:
    """Close the socket with a TCP reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()
