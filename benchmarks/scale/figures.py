"""Measures CPU time and memory of actions in this process and records the figures by name."""

import gc
import os
import time
from collections.abc import Callable
from typing import Final, TypeVar

DEFAULT_REPEATS: Final = 5
Result = TypeVar("Result")


class FigureRecorder:
    """The figures of one size. Times are milliseconds of CPU time."""

    def __init__(self, repeats: int = DEFAULT_REPEATS) -> None:
        self.repeats = repeats
        self.values_by_name: dict[str, list[float]] = {}

    def record(self, name: str, value: float) -> None:
        """Add a value of a figure."""
        self.values_by_name.setdefault(name, []).append(value)

    def record_cpu_ms(
        self, name: str, action: Callable[[], Result], repeats: int | None = None, runs_per_repeat: int = 1
    ) -> Result:
        """Record the mean CPU time of a run of `action` for each repeat; returns the last result."""
        result: Result
        for _ in range(repeats or self.repeats):
            started_at = time.process_time()
            for _ in range(runs_per_repeat):
                result = action()
            self.record(name, 1000 * (time.process_time() - started_at) / runs_per_repeat)
        return result

    def record_memory_growth(self, name: str, action: Callable[[], Result]) -> Result:
        """Record the memory growth during `action` in MB; returns its result."""
        before = resident_memory_mb()
        result = action()
        self.record(name, max(0.0, resident_memory_mb() - before))
        return result


def resident_memory_mb() -> float:
    """The resident memory of this process after a garbage collection."""
    gc.collect()
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
