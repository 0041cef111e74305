"""Our own proxy on loopback between two processes of a lab run, doing what the schedule says of each way.

One `TcpLink` stands between a near end (who dials) and a far end (who listens): the near end is given the
link's address in place of the far one's. Each accepted connection gets a dial to the far end and one greenlet
for each direction, which asks the schedule, for every chunk it reads, what that way does now. A `cut` refuses
new connections and resets the standing ones within WATCH_S of its beginning. Delays keep the order of the
bytes of one direction, as TCP does. Loopback addresses only.

Counts (`counts`, by way and what) tell what passed, was dropped or reset; they are the proxy's own record and
go into the run's history as faults seen, not as verdicts.
"""

import contextlib
import random
import socket as stdlib_socket
import struct
import time
from collections import Counter
from collections.abc import Callable

import gevent
from gevent import socket

from ashlift.lab.faults import Schedule, Way

CHUNK = 65536
WATCH_S = 0.05  # between looks for a cut that began: what stands is reset within so long


def _loopback(address: tuple[str, int]) -> tuple[str, int]:
    if not address[0].startswith("127."):
        raise ValueError(f"address: {address[0]} is not a loopback address")
    return address


def _reset(sock: socket.socket) -> None:
    """Close with a reset, as a cut cable seen from a far router would: no orderly end."""
    with contextlib.suppress(OSError):
        sock.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Link:
    """What both kinds of link share: the two ways, the far end, the schedule and its clock."""

    def __init__(
        self,
        near: str,
        far: str,
        target: tuple[str, int],
        schedule: Schedule,
        seed: int,
        clock: Callable[[], float],
    ) -> None:
        self.out, self.back = Way(near, far), Way(far, near)
        self._target, self._schedule, self._random = _loopback(target), schedule, random.Random(seed)
        self._clock, self._began = clock, clock()
        self.counts: Counter[str] = Counter()

    def begin(self, at: float) -> None:
        """Count the schedule's time from `at` (a reading of the link's clock): the run's start."""
        self._began = at

    def now_ms(self) -> float:
        """Ms since the run began: the schedule's time."""
        return (self._clock() - self._began) * 1000


class TcpLink(Link):
    """Between `near` and `far`, which listens at `target`; listens itself at `listen` (port 0: any)."""

    def __init__(
        self,
        near: str,
        far: str,
        target: tuple[str, int],
        schedule: Schedule,
        seed: int,
        listen: tuple[str, int] = ("127.0.0.1", 0),
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__(near, far, target, schedule, seed, clock)
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(_loopback(listen))
        self._listener.listen(128)
        self.address: tuple[str, int] = self._listener.getsockname()
        self.held = 0  # chunks and new connections that wait now
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        self._running = [gevent.spawn(self._accept), gevent.spawn(self._watch)]

    def _cut(self, way: Way) -> bool:
        return self._schedule.state(way, self.now_ms()).kind == "cut"

    def _held(self, way: Way) -> bool:
        """Wait while the way is held; whether it was."""
        if self._schedule.state(way, self.now_ms()).kind != "hold":
            return False
        self.held += 1
        while self._schedule.state(way, self.now_ms()).kind == "hold":
            gevent.sleep(WATCH_S)
        self.held -= 1
        return True

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            gevent.spawn(self._join, near)

    def _join(self, near: socket.socket) -> None:
        """Bring an accepted connection to the far end."""
        if self._held(self.out):
            self.counts[f"{self.out} held"] += 1
        if self._cut(self.out) or self._cut(self.back):
            self.counts[f"{self.out} refused"] += 1
            return _reset(near)
        try:
            far = socket.create_connection(self._target, timeout=2.0)
        except OSError:
            self.counts[f"{self.out} unreachable"] += 1
            return _reset(near)
        far.settimeout(None)
        pair = (near, far)
        self._pairs.add(pair)
        gevent.spawn(self._pump, near, far, self.out, pair)
        gevent.spawn(self._pump, far, near, self.back, pair)

    def _pump(
        self, source: socket.socket, sink: socket.socket, way: Way, pair: tuple[socket.socket, socket.socket]
    ) -> None:
        try:
            while True:
                data = source.recv(CHUNK)
                if self._held(way):
                    self.counts[f"{way} held"] += len(data)
                if not data:
                    with contextlib.suppress(OSError):
                        sink.shutdown(socket.SHUT_WR)
                    return
                state = self._schedule.state(way, self.now_ms())
                if state.kind == "drop":
                    self.counts[f"{way} dropped"] += len(data)
                    continue
                if state.kind == "delay":
                    gevent.sleep((state.ms + state.jitter * self._random.random()) / 1000)
                    self.counts[f"{way} delayed"] += len(data)
                if state.kind == "cut":
                    break
                sink.sendall(data)
                self.counts[f"{way} passed"] += len(data)
        except OSError:
            pass
        self._end(pair)

    def _end(self, pair: tuple[socket.socket, socket.socket]) -> None:
        if pair in self._pairs:
            self._pairs.discard(pair)
            self.counts[f"{self.out} reset"] += 1
            for sock in pair:
                _reset(sock)

    def _watch(self) -> None:
        """Reset what stands while a cut lasts; by looking, so that any clock serves."""
        while True:
            gevent.sleep(WATCH_S)
            if self._pairs and (self._cut(self.out) or self._cut(self.back)):
                for pair in list(self._pairs):
                    self._end(pair)

    def close(self) -> None:
        gevent.killall(self._running)
        self._listener.close()
        for pair in list(self._pairs):
            self._end(pair)


class UdpLink(Link):
    """Datagrams between `near` and `far` (which listens at `target`): the near end sends to `address`;
    what the far end answers goes back to whoever sent last. Each datagram asks the schedule for its way."""

    def __init__(
        self,
        near: str,
        far: str,
        target: tuple[str, int],
        schedule: Schedule,
        seed: int,
        listen: tuple[str, int] = ("127.0.0.1", 0),
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__(near, far, target, schedule, seed, clock)
        self._near_side = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._near_side.bind(_loopback(listen))
        self._far_side = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._far_side.bind(("127.0.0.1", 0))
        self.address: tuple[str, int] = self._near_side.getsockname()
        self._near: tuple[str, int] | None = None
        self._held: dict[Way, bytes] = {}
        self._running = [
            gevent.spawn(self._relay, self._near_side, self.out),
            gevent.spawn(self._relay, self._far_side, self.back),
        ]

    def _relay(self, source: socket.socket, way: Way) -> None:
        sink = self._far_side if way is self.out else self._near_side
        while True:
            try:
                data, sender = source.recvfrom(CHUNK)
            except OSError:
                return
            if way is self.out:
                self._near = sender
            where = self._target if way is self.out else self._near
            state = self._schedule.state(way, self.now_ms())
            if where is None or state.kind in ("drop", "cut"):
                self.counts[f"{way} dropped"] += 1
                continue
            if state.kind == "delay":
                gevent.sleep((state.ms + state.jitter * self._random.random()) / 1000)
            sends = [data]
            if state.kind == "duplicate":
                sends, self.counts[f"{way} duplicated"] = [data, data], self.counts[f"{way} duplicated"] + 1
            elif state.kind == "reorder":
                held = self._held.pop(way, None)
                if held is None:
                    self._held[way] = data
                    continue
                sends, self.counts[f"{way} reordered"] = [data, held], self.counts[f"{way} reordered"] + 1
            for one in sends:
                with contextlib.suppress(OSError):
                    sink.sendto(one, where)
                self.counts[f"{way} passed"] += 1

    def close(self) -> None:
        gevent.killall(self._running)
        self._near_side.close()
        self._far_side.close()
