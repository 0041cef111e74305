"""The event loop of a run on processes: the interface of the simulator's `EventLoop`, on real time.

The same tasks (heartbeats, lookups, operators' commands) run on both, but here time passes by itself.
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
    """Seconds since `begin`, and actions that run later, each in a greenlet.

    `failures`: tracebacks of actions that raised, which the run reports at its end; `max_lag`: the most
    seconds that this process was late to do anything.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.failures: list[str] = []
        self.is_stopped = False
        self.max_lag = 0.0
        self.started = time.monotonic()

    def begin(self) -> None:
        """Count the time from now on."""
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
        """Run an action after `delay` seconds, unless the loop is stopped by then."""
        gevent.spawn_later(max(0.0, delay), self._run, action, args)

    def call_process_later(
        self, process: Process, delay: float, action: Callable[..., None], *args: Any
    ) -> None:
        """As `call_later`, in a simulated process: not after its end."""
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
