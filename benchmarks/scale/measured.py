"""Figures of one process: processor time and memory, by name, one value a repeat."""

import gc
import os
import time
from collections.abc import Callable
from typing import Any, Final

REPEATS: Final = 5


class Measured:
    """What one size gave. Times: ms of the processor."""

    def __init__(self, repeats: int = REPEATS) -> None:
        self.repeats, self.found = repeats, dict[str, list[float]]()

    def ms(self, name: str, action: Callable[[], Any], repeats: int | None = None, each: int = 1) -> Any:
        """Time `action`, `each` times a repeat; its last value."""
        value: Any = None
        for _ in range(repeats or self.repeats):
            began = time.process_time()
            for _ in range(each):
                value = action()
            self.note(name, 1000 * (time.process_time() - began) / each)
        return value

    def note(self, name: str, value: float) -> None:
        self.found.setdefault(name, []).append(value)


def memory() -> float:
    """MB that this process holds."""
    gc.collect()
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def grown(measured: Measured, name: str, action: Callable[[], Any]) -> Any:
    """Note by how many MB the process grew."""
    before = memory()
    value = action()
    measured.note(name, max(0.0, memory() - before))
    return value


def timed(action: Callable[[], Any], repeats: int) -> list[float]:
    found = []
    for _ in range(repeats):
        began = time.process_time()
        action()
        found.append(1000 * (time.process_time() - began))
    return found
