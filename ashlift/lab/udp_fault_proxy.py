"""A fault-injecting proxy for datagrams on loopback, each of which asks the schedule for its direction."""

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
    """The near end sends to `address`; what the far end answers goes to whoever sent last."""

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
        """Receive at `listen`, of which `address` says the port. Raises OSError where that cannot be had."""
        super().__init__(near, far, target, schedule, seed, clock)
        self._near_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._near_socket.bind(require_loopback(listen))
        self._far_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._far_socket.bind(ANY_LOOPBACK_PORT)
        self.address: Address = self._near_socket.getsockname()
        self._last_sender: Address | None = None
        self._delayed_until_next: dict[Direction, bytes] = {}
        self._greenlets = [
            gevent.spawn(self._relay_outward),
            gevent.spawn(self._relay_backward),
        ]

    def close(self) -> None:
        """Stop receiving."""
        gevent.killall(self._greenlets)
        self._near_socket.close()
        self._far_socket.close()

    def _relay_outward(self) -> None:
        while True:
            try:
                data, self._last_sender = self._near_socket.recvfrom(RECEIVE_BYTES)
            except OSError:
                return
            self._forward(data, self.outward, self._far_socket, self._target)

    def _relay_backward(self) -> None:
        while True:
            try:
                data, _ = self._far_socket.recvfrom(RECEIVE_BYTES)
            except OSError:
                return
            self._forward(data, self.backward, self._near_socket, self._last_sender)

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
            earlier = self._delayed_until_next.pop(direction, None)
            if earlier is None:
                self._delayed_until_next[direction] = data
                return
            datagrams = [data, earlier]
            self._count(direction, "reordered")
        for datagram in datagrams:
            with contextlib.suppress(OSError):
                sink.sendto(datagram, destination)
            self._count(direction, "passed")
