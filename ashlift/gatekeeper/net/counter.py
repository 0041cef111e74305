"""Client of the platform's quota counter: a text protocol with pipelined calls, answered in order."""

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
MAX_IDLE_MS = 2_000.0  # the counter closes idle connections itself, after 10 s or less
MAX_LINE_BYTES = 256
ANSWER_PREFIXES = (b"ok ", b"busy", b"error")  # of all valid answers


@dataclass(slots=True, eq=False)
class _Call(CounterCall):
    line: bytes = b""
    written: bool = False


class TextCounter:
    """Queues calls and writes them together; each ends with its answer or its timeout."""

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
        amount_text = f"{int(amount)}" if amount == int(amount) else f"{amount:.6f}"
        call = _Call(key, line=f"bump {key} {amount_text} {max(1, round(ttl_ms))}\r\n".encode())
        self._calls.begin(call, self._give_up)
        self._unsent.append(call)
        self._wake.set()

    def change_address(self, address: tuple[str, int]) -> None:
        """Use another address for new calls. Answers still due come on the old connection."""
        if address != self._address:
            self._address = address
            if self._connection is not None:
                self._connection.retire()
                self._connection = None

    def run(self) -> None:
        """Write queued calls forever. Calls time out by their own timers while a connect takes long."""
        while True:
            self._wake.wait()
            self._wake.clear()
            try:
                self._write()
            except (OSError, gevent.Timeout) as error:
                self._metrics.add("counter.broken")
                log.debug("calls to the counter were not sent: %s", error)
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
            if address != self._address:  # the address changed during the connect
                connection.close()
        calls = []
        while self._unsent:
            call = self._unsent.popleft()
            if not call.ended:
                call.written = True  # from here on the counter may have added the amount
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
        """Time a call out. Only a call that was written may have been added to the counter."""
        self._calls.end(call, Result.TIMEOUT if call.written else Result.CONNECT_FAILED)


class _CounterConnection:
    """One connection, and the calls on it that wait for an answer."""

    def __init__(self, sock: socket.socket, clock: Clock, end: Any) -> None:
        self._sock, self._clock, self._end = sock, clock, end
        self._pending: deque[_Call] = deque()
        self._last_used = clock.now()
        self.closed = self.answered = self._retired = False
        self._timer: Any = None
        gevent.spawn(self._read)

    def overdue_ms(self, now: float) -> float:
        """How long the oldest call has waited for its answer."""
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
        """Write no more calls; close after the last answer due, or after MAX_ANSWER_WAIT_MS."""
        self._retired = True
        if self._pending:
            self._timer = self._clock.call_later(MAX_ANSWER_WAIT_MS, self.close)
        else:
            self.close()

    def close(self) -> None:
        """Close the connection. Calls without an answer end as timeouts: the counter may have added them."""
        self.closed = True
        if self._timer is not None:
            self._timer.close()
        self._sock.close()
        while self._pending:
            self._end(self._pending.popleft(), Result.TIMEOUT)

    def _read(self) -> None:
        """Match answers with calls, in order. Closes the connection at an answer that cannot be parsed, after
        which later answers could be matched with the wrong calls."""
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
                        raise ValueError("answer without a call")
                    answer = read_answer(line)
                    self._end(self._pending.popleft(), *(answer or (Result.TIMEOUT, 0.0)))
                    self.answered = True
                    if answer is None:
                        raise ValueError("malformed answer")
                if unparsed and not any(
                    prefix.startswith(unparsed[: len(prefix)]) for prefix in ANSWER_PREFIXES
                ):
                    raise ValueError("malformed start of an answer")
                if self._retired and not self._pending:
                    break
        except (OSError, ValueError) as error:
            log.debug("closing the connection to the counter: %s", error)
        if not self.closed:
            self.close()


def read_answer(line: bytes) -> tuple[Result, float] | None:
    """Parse an answer line; None if it is malformed, and it is unknown whether the amount was added."""
    match line.split():
        case [b"ok", total]:
            try:
                value = float(total)
            except ValueError:
                return None
            return (Result.OK, value) if math.isfinite(value) else None
        case [b"busy"]:
            return Result.OVERLOADED, 0.0
        case [b"error", *_]:
            return Result.CONNECT_FAILED, 0.0  # the amount was not added
        case _:
            return None
