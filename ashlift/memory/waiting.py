"""Waits until a request may be received further."""

import time
from collections.abc import Callable
from typing import Final

from gevent.event import Event

from ashlift.memory.requests import RequestMemory, RequestSize

ABANDONMENT_CHECK_SECONDS: Final = 0.25  # interval of the checks whether the client has gone


def wait_for_memory(
    memory: RequestMemory,
    size: RequestSize,
    seconds: float,
    is_abandoned: Callable[[], bool],
    wake: Event,
) -> int:
    """Wait for the memory that `memory.try_reserve(size)` has just refused.

    Returns how many bytes may be received; 0 after `seconds`, or once the request `is_abandoned`, which is
    checked at intervals and whenever `wake` is set.
    """
    now = time.monotonic()
    wait_until = now + seconds
    memory.start_waiting(wake.set)
    try:
        while now < wait_until:
            wake.wait(min(wait_until - now, ABANDONMENT_CHECK_SECONDS))
            wake.clear()
            if reserved := memory.try_reserve(size):
                return reserved
            if is_abandoned():
                return 0
            now = time.monotonic()
    finally:
        memory.stop_waiting()
    return 0
