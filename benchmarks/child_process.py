"""A child process of a benchmark: its start and end, its output, and what it uses of the machine."""

import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from typing import Final

STOP_TIMEOUT_SECONDS: Final = 10
KILLED_EXIT_STATUS: Final = -1
_CLOCK_TICKS_PER_SECOND: Final = os.sysconf("SC_CLK_TCK")
_RESET_PEAK_MEMORY: Final = "5"  # written to /proc/PID/clear_refs
_USER_TICKS_FIELD: Final = 11  # of /proc/PID/stat, counted behind the name of the program
_SYSTEM_TICKS_FIELD: Final = 12


class MemoryFigure(Enum):
    """A line of /proc/PID/status."""

    RESIDENT = "VmRSS"
    PEAK = "VmHWM"


class ChildProcess:
    """A Python module that runs as a process of its own."""

    def __init__(self, *command: str, environment: dict[str, str] | None = None) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", *command],
            env=os.environ | (environment or {}),
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def read_address(self) -> str:
        """The address that a server prints in its first line; waits for it."""
        assert self._process.stdout is not None
        return self._process.stdout.readline().strip()

    def log_lines(self) -> Iterator[str]:
        """The lines of its standard error, until it ends."""
        assert self._process.stderr is not None
        # Not a generator: closing one that delegates to the pipe would close the pipe.
        return iter(self._process.stderr)

    def cpu_seconds(self) -> float:
        """Processor time so far, of user and system."""
        stat = Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])) / _CLOCK_TICKS_PER_SECOND

    def memory_bytes(self, figure: MemoryFigure = MemoryFigure.RESIDENT) -> int:
        """Memory that is resident now, or at most since `reset_peak_memory`."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        return 1024 * int(status.split(f"{figure.value}:")[1].split()[0])

    def reset_peak_memory(self) -> None:
        """Let the peak begin with what is resident now."""
        Path(f"/proc/{self._process.pid}/clear_refs").write_text(_RESET_PEAK_MEMORY)

    def stop(self) -> int:
        """End the process, with SIGKILL if SIGTERM does not do; returns the exit status."""
        self._process.send_signal(signal.SIGTERM)
        try:
            return self._process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self._process.kill()
            return KILLED_EXIT_STATUS
