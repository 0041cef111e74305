"""Parts that both counter adapters share: calls with a timeout, and the decision to open a new connection."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ashlift.gatekeeper.admission.interface import CounterCallEnded, Result
from ashlift.gatekeeper.jobs import Clock, Inbox
from ashlift.gatekeeper.metrics import Metrics

OVERDUE_FACTOR = 3.0  # call timeouts without an answer, after which new calls use a new connection
MAX_ANSWER_WAIT_MS = 1_000.0  # after which no answer is expected any more


class ReconnectPolicy:
    """Decides when a connection has gone unanswered for so long that new calls use a new one.

    Guards against one silent connection that stops all counting. The wait doubles while no connection gets an
    answer, so that a counter that is down does not get more and more connections.
    """

    def __init__(self, timeout_ms: float) -> None:
        self._min_wait_ms = self._max_wait_ms = OVERDUE_FACTOR * timeout_ms

    def reset(self) -> None:
        self._max_wait_ms = self._min_wait_ms

    def should_reconnect(self, waited_ms: float, answered: bool) -> bool:
        """Whether to open a new connection; `answered`: this one has had an answer."""
        is_overdue = waited_ms > self._max_wait_ms
        if is_overdue and not answered and self._max_wait_ms < MAX_ANSWER_WAIT_MS:
            self._max_wait_ms *= 2
        return is_overdue


@dataclass(slots=True, eq=False)
class CounterCall:
    """One call to a counter."""

    key: int
    started_at: float = 0.0
    timer: Any = None
    ended: bool = False


class CounterCalls:
    """Starts and ends calls, and reports the end of each to the owner."""

    def __init__(self, timeout_ms: float, clock: Clock, inbox: Inbox, metrics: Metrics) -> None:
        self.timeout_ms, self._clock, self._inbox, self._metrics = timeout_ms, clock, inbox, metrics

    def begin(self, call: CounterCall, give_up: Callable[[Any], None]) -> None:
        call.started_at = self._clock.now()
        call.timer = self._clock.call_later(self.timeout_ms, give_up, call)

    def end(
        self, call: CounterCall, result: Result, total_units: float = 0.0, limit_exceeded: bool = False
    ) -> None:
        """End a call. An answer after the timeout is only counted in the metrics."""
        if call.ended:
            self._metrics.add("counter.late", result is Result.OK)
            return
        call.ended = True
        call.timer.close()
        self._metrics.add(
            "counter.over_limit" if limit_exceeded else f"counter.{result.value.replace(' ', '_')}"
        )
        self._inbox.put(
            CounterCallEnded(
                call.key, result, self._clock.now() - call.started_at, total_units, limit_exceeded
            )
        )
