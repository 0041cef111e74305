"""The shared quota counter on the platform: text lines, many calls on one connection, answers in order."""

import logging
import math
from collections import deque
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event

from ashlift.gatekeeper.admission.interface import Result
from ashlift.gatekeeper.counter_calls import MAX_ANSWER_WAIT_MS, CounterCall, CounterCalls, ReconnectPolicy
from ashlift.gatekeeper.jobs import Clock, Inbox
from ashlift.gatekeeper.metrics import Metrics

log = logging.getLogger("ashlift.counter")
IO_TIMEOUT_S = 0.25
MAX_IDLE_MS = 2_000.0  # the counter closes idle connections after 10 s or less: ours are given up before
MAX_LINE_BYTES = 256
ANSWER_PREFIXES = (b"ok ", b"busy", b"error")  # with which answers begin


@dataclass(slots=True, eq=False)
class _Call(CounterCall):
    line: bytes = b""
    written: bool = False


class TextCounter:
    """Calls are queued, written together, and ended by their answer or their own timer."""

    def __init__(
        self, address: tuple[str, int], timeout_ms: float, clock: Clock, inbox: Inbox, metrics: Metrics
    ) -> None:
        self._address, self._clock, self._metrics = address, clock, metrics
        self._calls = CounterCalls(timeout_ms, clock, inbox, metrics)
        self._unsent: deque[_Call] = deque()
        self._wake = Event()
        self._connection: _CounterConnection | None = None
        self._reconnect_policy = ReconnectPolicy(timeout_ms)

    def add(self, key: int, amount: float, ttl_ms: float) -> None:
        number = f"{int(amount)}" if amount == int(amount) else f"{amount:.6f}"
        call = _Call(key, line=f"bump {key} {number} {max(1, round(ttl_ms))}\r\n".encode())
        self._calls.begin(call, self._give_up)
        self._unsent.append(call)
        self._wake.set()

    def change_address(self, address: tuple[str, int]) -> None:
        """Call there from now on. What the old address owes may come: its connection then ends."""
        if address != self._address:
            self._address = address
            if self._connection is not None:
                self._connection.retire()
                self._connection = None

    def run(self) -> None:
        """Write for ever. A connect that does not come up holds nobody up: each call has its own timer."""
        while True:
            self._wake.wait()
            self._wake.clear()
            try:
                self._write()
            except (OSError, gevent.Timeout) as error:
                self._metrics.add("counter.broken")
                log.debug("counter: %s", error)
                self._fail_unsent()

    def _write(self) -> None:
        connection, now = self._connection, self._clock.now()
        if connection is not None and self._reconnect_policy.should_reconnect(
            connection.overdue_ms(now), connection.answered
        ):
            self._metrics.add("counter.overdue")
            connection.retire()
            connection = None
        elif connection is not None and connection.is_idle(now):
            connection.close()
            connection = None
        while connection is None or connection.closed:
            address = self._address
            connection = self._connection = self._connect()
            if address != self._address:  # moved while the connection was coming up
                connection.close()
        calls = []
        while self._unsent:
            call = self._unsent.popleft()
            if not call.ended:
                call.written = True  # from here on it may have been added
                calls.append(call)
        if connection.answered:
            self._reconnect_policy.reset()
        if calls:
            connection.write(calls)

    def _connect(self) -> "_CounterConnection":
        with gevent.Timeout(IO_TIMEOUT_S):
            sock = socket.create_connection(self._address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._metrics.add("counter.dialled")
        return _CounterConnection(sock, self._clock, self._calls.end)

    def _fail_unsent(self) -> None:
        while self._unsent:
            self._calls.end(self._unsent.popleft(), Result.CONNECT_FAILED)

    def _give_up(self, call: _Call) -> None:
        """A call not written yet was never added; one that was may have been."""
        self._calls.end(call, Result.TIMEOUT if call.written else Result.CONNECT_FAILED)


class _CounterConnection:
    """One connection, and the calls written to it whose answers are to come."""

    def __init__(self, sock: socket.socket, clock: Clock, end: Any) -> None:
        self._sock, self._clock, self._end = sock, clock, end
        self._pending: deque[_Call] = deque()
        self._last_used = clock.now()
        self.closed = self.answered = self._retired = False
        self._timer: Any = None
        gevent.spawn(self._read)

    def overdue_ms(self, now: float) -> float:
        """For how long the next answer has been waited for."""
        return now - self._pending[0].started_at if self._pending else 0.0

    def is_idle(self, now: float) -> bool:
        return not self._pending and now - self._last_used > MAX_IDLE_MS

    def write(self, calls: list[_Call]) -> None:
        self._last_used = self._clock.now()
        self._pending.extend(calls)
        try:
            with gevent.Timeout(IO_TIMEOUT_S):
                self._sock.sendall(b"".join(call.line for call in calls))
        except (OSError, gevent.Timeout):
            self.close()

    def retire(self) -> None:
        """Nothing more is written here; the calls under way keep their chance of an answer, for a while."""
        self._retired = True
        if self._pending:
            self._timer = self._clock.call_later(MAX_ANSWER_WAIT_MS, self.close)
        else:
            self.close()

    def close(self) -> None:
        """What was written and not answered may have been added."""
        self.closed = True
        if self._timer is not None:
            self._timer.close()
        self._sock.close()
        while self._pending:
            self._end(self._pending.popleft(), Result.TIMEOUT)

    def _read(self) -> None:
        """Guards against answers matched with the wrong calls: behind one that cannot be read, nothing that
        comes on this connection says which call it is for."""
        unparsed = b""
        try:
            while len(unparsed) <= MAX_LINE_BYTES:
                data = self._sock.recv(16384)
                if not data:
                    break
                *lines, unparsed = (unparsed + data).split(b"\n")
                self._last_used = self._clock.now()
                for line in lines:
                    if not self._pending:
                        raise ValueError("an answer to no call")
                    answer = read_answer(line)
                    self._end(self._pending.popleft(), *(answer or (Result.TIMEOUT, 0.0)))
                    self.answered = True
                    if answer is None:
                        raise ValueError("an answer that cannot be read")
                if unparsed and not any(word.startswith(unparsed[: len(word)]) for word in ANSWER_PREFIXES):
                    raise ValueError("the start of an answer that cannot be read")
                if self._retired and not self._pending:
                    break
        except (OSError, ValueError) as error:
            log.debug("counter connection ended: %s", error)
        if not self.closed:
            self.close()


def read_answer(line: bytes) -> tuple[Result, float] | None:
    """What one answer line says; None: nothing clear, and it stays open whether the amount was added."""
    match line.split():
        case [b"ok", total]:
            try:
                level = float(total)
            except ValueError:
                return None
            return (Result.OK, level) if math.isfinite(level) else None
        case [b"busy"]:
            return Result.OVERLOADED, 0.0
        case [b"error", *_]:
            return Result.CONNECT_FAILED, 0.0  # nothing added
        case _:
            return None
