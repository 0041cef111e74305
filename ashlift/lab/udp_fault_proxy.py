"""A fault-injecting proxy for UDP on loopback; the schedule gives the state for each datagram."""

import contextlib
import time
from collections.abc import Callable

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


class UdpFaultProxy(FaultProxy):
    """The caller sends to `address`; datagrams of the callee are forwarded to the last sender."""

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
        """Receive at `listen`; `address` has the port in use. Raises OSError if it cannot be bound."""
        super().__init__(caller, callee, target, schedule, seed, clock)
        self._caller_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._caller_socket.bind(require_loopback(listen))
        self._callee_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._callee_socket.bind(ANY_LOOPBACK_PORT)
        self.address: Address = self._caller_socket.getsockname()
        self._last_sender: Address | None = None
        self._reorder_buffer: dict[Direction, bytes] = {}
        self._greenlets = [
            gevent.spawn(self._relay_to_callee),
            gevent.spawn(self._relay_to_caller),
        ]

    def close(self) -> None:
        """Stop receiving and close the sockets."""
        gevent.killall(self._greenlets)
        self._caller_socket.close()
        self._callee_socket.close()

    def _relay_to_callee(self) -> None:
        while True:
            try:
                data, self._last_sender = self._caller_socket.recvfrom(RECEIVE_BYTES)
            except OSError:
                return
            self._forward(data, self.to_callee, self._callee_socket, self._target)

    def _relay_to_caller(self) -> None:
        while True:
            try:
                data, _ = self._callee_socket.recvfrom(RECEIVE_BYTES)
            except OSError:
                return
            self._forward(data, self.to_caller, self._caller_socket, self._last_sender)

    def _forward(
        self, data: bytes, direction: Direction, sink: socket.socket, destination: Address | None
    ) -> None:
        state = self._state(direction)
        if destination is None or state.kind in (LinkStateKind.DROP, LinkStateKind.CUT):
            self._count(direction, "dropped")
            return
        datagrams = [data]
        if state.kind is LinkStateKind.DELAY:
            gevent.sleep(self._delay_seconds(state))
        elif state.kind is LinkStateKind.DUPLICATE:
            datagrams = [data, data]
            self._count(direction, "duplicated")
        elif state.kind is LinkStateKind.REORDER:
            earlier = self._reorder_buffer.pop(direction, None)
            if earlier is None:
                self._reorder_buffer[direction] = data
                return
            datagrams = [data, earlier]
            self._count(direction, "reordered")
        for datagram in datagrams:
            with contextlib.suppress(OSError):
                sink.sendto(datagram, destination)
            self._count(direction, "passed")
