"""The clock of the gatekeeper process, with timers of gevent."""

import time
from collections.abc import Callable
from typing import Any

import gevent


class UnixClock:
    """Unix time in ms that never steps: the wall clock at the start, continued by the monotonic clock.

    All gatekeepers must agree on the time, as the keys of the shared counter are derived from it. It is also
    comparable with the `startedAtMs` of nodes.
    """

    def __init__(self) -> None:
        self._base = time.time() - time.monotonic()

    def now(self) -> float:
        return (self._base + time.monotonic()) * 1000.0

    def call_later(self, delay_ms: float, call: Callable[..., Any], *args: Any) -> Any:
        timer = gevent.get_hub().loop.timer(max(0.0, delay_ms / 1000.0))
        timer.start(call, *args)
        return timer
