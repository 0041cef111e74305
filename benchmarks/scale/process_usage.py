"""Reads the resource usage of a process from /proc."""

import os
from pathlib import Path
from typing import Final

import attrs

_CLOCK_TICKS_PER_SECOND: Final = os.sysconf("SC_CLK_TCK")
_USER_TICKS_FIELD: Final = 11  # of /proc/PID/stat, counted after the program name
_SYSTEM_TICKS_FIELD: Final = 12


@attrs.frozen
class ProcessUsage:
    """Resource usage of a process: CPU time since its start, current and peak memory, open files."""

    cpu_seconds: float
    memory_mb: float
    peak_memory_mb: float
    open_files: int


def read_process_usage(pid: int) -> ProcessUsage | None:
    """Read the usage of a process; None if it has ended."""
    folder = Path(f"/proc/{pid}")
    try:
        stat_fields = (folder / "stat").read_text().rpartition(") ")[2].split()
        status_lines = (folder / "status").read_text().splitlines()
        status = dict(line.split(":", 1) for line in status_lines if ":" in line)
        ticks = int(stat_fields[_USER_TICKS_FIELD]) + int(stat_fields[_SYSTEM_TICKS_FIELD])
        return ProcessUsage(
            cpu_seconds=ticks / _CLOCK_TICKS_PER_SECOND,
            memory_mb=_status_mb(status["VmRSS"]),
            peak_memory_mb=_status_mb(status["VmHWM"]),
            open_files=len(os.listdir(folder / "fd")),
        )
    except (OSError, LookupError, ValueError):
        return None


def socket_inodes(pid: int) -> list[int]:
    """The inodes of a process's sockets; the list may be partial if the process ends."""
    inodes = []
    try:
        for name in os.listdir(f"/proc/{pid}/fd"):
            link = os.readlink(f"/proc/{pid}/fd/{name}")
            if link.startswith("socket:["):
                inodes.append(int(link.removeprefix("socket:[").removesuffix("]")))
    except OSError:
        pass
    return inodes


def _status_mb(kilobytes: str) -> float:
    return int(kilobytes.split()[0]) / 1000
