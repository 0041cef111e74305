"""What both counter adapters keep of a call: when it began, its own timer, and that it ends once."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ashlift.gatekeeper.admission.interface import CounterCallEnded, Result
from ashlift.gatekeeper.jobs import Clock, Inbox
from ashlift.gatekeeper.metrics import Metrics

OVERDUE = 3.0  # x the give-up time without the answer that is due: new calls go out on a new connection
SILENT_MS = 1_000.0  # nothing more will come after so long; and the longest patience with a new connection


class Patience:
    """How long an answer may be overdue before new calls go out on a new connection.

    Guards against one silent connection that stops all counting. A counter that is silent itself is not
    called on ever more connections: patience grows until an answer comes.
    """

    def __init__(self, timeout_ms: float) -> None:
        self._least = self._most = OVERDUE * timeout_ms

    def heard(self) -> None:
        self._most = self._least

    def is_over(self, waited_ms: float, heard: bool) -> bool:
        """Whether to begin anew; `heard`: something has come on the connection."""
        over = waited_ms > self._most
        if over and not heard and self._most < SILENT_MS:
            self._most *= 2
        return over


@dataclass(slots=True, eq=False)
class Call:
    """One call to a counter."""

    name: int
    at: float = 0.0
    timer: Any = None
    ended: bool = False


class Calls:
    """Begins and ends calls; each end is told to the owner."""

    def __init__(self, timeout_ms: float, clock: Clock, inbox: Inbox, metrics: Metrics) -> None:
        self.timeout_ms, self._clock, self._inbox, self._metrics = timeout_ms, clock, inbox, metrics

    def begin(self, call: Call, give_up: Callable[[Any], None]) -> None:
        call.at = self._clock.now()
        call.timer = self._clock.call_later(self.timeout_ms, give_up, call)

    def end(self, call: Call, result: Result, total: float = 0.0, over: bool = False) -> None:
        """Guards against two ends of one call: an answer after the give-up time is only counted."""
        if call.ended:
            self._metrics.add("counter.late", result is Result.OK)
            return
        call.ended = True
        call.timer.close()
        self._metrics.add("counter.over_limit" if over else f"counter.{result.value.replace(' ', '_')}")
        self._inbox.put(CounterCallEnded(call.name, result, self._clock.now() - call.at, total, over))
