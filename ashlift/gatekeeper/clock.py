"""The clock of the real program, and gevent's timers."""

import time
from collections.abc import Callable
from typing import Any

import gevent


class UnixClock:
    """Unix time in ms that never steps: read from the wall once, then carried on by the monotonic clock.

    Guards against gatekeepers that disagree on the time: names of counts are made of the module's time, so
    a clock that began at each gatekeeper's own start would have every one of them count by itself. It also
    makes a node's `startedAtMs` a time of this clock as it stands.
    """

    def __init__(self) -> None:
        self._base = time.time() - time.monotonic()

    def now(self) -> float:
        return (self._base + time.monotonic()) * 1000.0

    def call_later(self, delay_ms: float, call: Callable[..., Any], *args: Any) -> Any:
        timer = gevent.get_hub().loop.timer(max(0.0, delay_ms / 1000.0))
        timer.start(call, *args)
        return timer
