"""Watches the memory of the programs of a run, which the platform would end above `MemoryMb`."""

from collections.abc import Callable, Mapping
from typing import Final

import gevent

from ashlift.lab.checker import Verdict
from ashlift.lab.system.machine_settings import MEMORY_MB
from ashlift.lab.system.process_memory import read_process_memory, resident_bytes
from ashlift.lab.system.programs import Program

VERDICT_NAME: Final = "MEMORY"
BYTES_PER_MB: Final = 1_000_000
SAMPLE_SECONDS: Final = 0.05
SAMPLES_PER_UNREAD_SAMPLE: Final = 40
MAX_NAMED_PROGRAMS: Final = 5


class MemoryWatch:
    """Samples what counts as memory of programs, unread bytes included.

    `peaks`: the highest, in bytes, by name of the program.
    """

    def __init__(self, programs: Callable[[], Mapping[str, Program]]) -> None:
        self.peaks: dict[str, int] = {}
        self._programs = programs
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Take no more samples."""
        self._greenlet.kill()

    def sample(self) -> None:
        """Update the peaks."""
        for name, program in self._programs().items():
            used_bytes = 0 if program.pid is None else resident_bytes(program.pid)
            self.peaks[name] = max(self.peaks.get(name, 0), used_bytes)

    def sample_unread(self) -> None:
        """Update the peaks with unread bytes, which takes longer: the kernel lists all sockets."""
        pids = {name: program.pid or 0 for name, program in self._programs().items()}
        for name, memory in read_process_memory(pids).items():
            self.peaks[name] = max(self.peaks.get(name, 0), memory.counted_bytes)

    def verdict(self) -> Verdict:
        """Whether every program stayed below `MEMORY_MB`."""
        over = [
            f"{name}: {peak // BYTES_PER_MB} MB"
            for name, peak in self.peaks.items()
            if peak > MEMORY_MB * BYTES_PER_MB
        ]
        if over:
            named = ", ".join(over[:MAX_NAMED_PROGRAMS])
            return Verdict(VERDICT_NAME, False, f"{len(over)} over {MEMORY_MB} MB: {named}")
        highest = max(self.peaks.values(), default=0) // BYTES_PER_MB
        return Verdict(VERDICT_NAME, True, f"no program was over {MEMORY_MB} MB; the highest: {highest} MB")

    def _run(self) -> None:
        while True:
            for _ in range(SAMPLES_PER_UNREAD_SAMPLE):
                self.sample()
                gevent.sleep(SAMPLE_SECONDS)
            self.sample_unread()
