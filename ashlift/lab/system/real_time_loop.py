"""An event loop on real time, with the interface of the simulator's `EventLoop`.

The roles of the simulator (workers, clients, operators) run on either loop.
"""

import random
import time
import traceback
from collections.abc import Callable
from typing import Any, Final

import gevent

from ashlift.simulation.process import Process

LAG_SAMPLE_SECONDS: Final = 0.05


class RealTimeLoop:
    """Runs actions after a delay, each in a greenlet; `now` is in seconds since `begin`.

    `failures`: tracebacks of actions that raised; `max_lag`: longest delay of a timer beyond its due time, in
    seconds.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.failures: list[str] = []
        self.is_stopped = False
        self.max_lag = 0.0
        self.started = time.monotonic()

    def begin(self) -> None:
        """Start the clock and the measurement of lag."""
        self.started = time.monotonic()
        gevent.spawn(self._measure_lag)

    def _measure_lag(self) -> None:
        while not self.is_stopped:
            due = time.monotonic() + LAG_SAMPLE_SECONDS
            gevent.sleep(LAG_SAMPLE_SECONDS)
            self.max_lag = max(self.max_lag, time.monotonic() - due)

    @property
    def now(self) -> float:
        """Seconds since `begin`."""
        return time.monotonic() - self.started

    def call_later(self, delay: float, action: Callable[..., None], *args: Any) -> None:
        """Run an action after `delay` seconds unless the loop is stopped by then."""
        gevent.spawn_later(max(0.0, delay), self._run, action, args)

    def call_process_later(
        self, process: Process, delay: float, action: Callable[..., None], *args: Any
    ) -> None:
        """Like `call_later`, but skip the action if the simulated process has ended or restarted."""
        incarnation = process.incarnation

        def run_in_same_incarnation() -> None:
            if process.incarnation == incarnation:
                action(*args)

        self.call_later(delay, run_in_same_incarnation)

    def _run(self, action: Callable[..., None], args: tuple[Any, ...]) -> None:
        if self.is_stopped:
            return
        try:
            action(*args)
        except Exception:
            self.failures.append(traceback.format_exc())
