"""A child process of a benchmark: start, stop, output, CPU time and memory."""

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
_USER_TICKS_FIELD: Final = 11  # in /proc/PID/stat, counted after the program name
_SYSTEM_TICKS_FIELD: Final = 12


class MemoryFigure(Enum):
    """A line of /proc/PID/status."""

    RESIDENT = "VmRSS"
    PEAK = "VmHWM"


class ChildProcess:
    """A Python module run as a child process."""

    def __init__(self, *command: str, environment: dict[str, str] | None = None) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", *command],
            env=os.environ | (environment or {}),
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def read_address(self) -> str:
        """Wait for the first line of output, in which a server prints its address."""
        assert self._process.stdout is not None
        return self._process.stdout.readline().strip()

    def log_lines(self) -> Iterator[str]:
        """Iterate over the lines of standard error until it is closed."""
        assert self._process.stderr is not None
        # Not a generator: closing one that delegates to the pipe would close the pipe.
        return iter(self._process.stderr)

    def cpu_seconds(self) -> float:
        """User and system CPU time used so far."""
        stat = Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])) / _CLOCK_TICKS_PER_SECOND

    def memory_bytes(self, figure: MemoryFigure = MemoryFigure.RESIDENT) -> int:
        """Current resident memory, or its peak since `reset_peak_memory`."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        return 1024 * int(status.split(f"{figure.value}:")[1].split()[0])

    def reset_peak_memory(self) -> None:
        """Reset the peak to the current resident memory."""
        Path(f"/proc/{self._process.pid}/clear_refs").write_text(_RESET_PEAK_MEMORY)

    def stop(self) -> int:
        """Stop the process with SIGTERM, or SIGKILL after a timeout; returns the exit status."""
        self._process.send_signal(signal.SIGTERM)
        try:
            return self._process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self._process.kill()
            return KILLED_EXIT_STATUS
