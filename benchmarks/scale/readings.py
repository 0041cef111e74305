"""What a process of ours uses, read from outside: /proc of its id, and its connections by `ss`.

Calls are counted by data segments sent: each frame and each beat is one write, and one segment where it is
shorter than 64 KB (loopback). Bytes are those of the connections' contents, without headers of TCP and IP;
what a connection carried that ended between two readings is not in them.
"""

import os
import re
import shutil
import subprocess
from collections.abc import Mapping
from pathlib import Path
from typing import Final

import attrs

TICKS: Final = os.sysconf("SC_CLK_TCK")
_SERVED: Final = ("registry", "configstore")
_LINE: Final = re.compile(
    r"^ESTAB\s+\d+\s+\d+\s+(?P<near>\S+)\s+(?P<far>\S+).*?\bino:(?P<inode>\d+)(?P<rest>.*)$"
)


@attrs.define
class Carried:
    """Of one kind of call at one process: open connections, bytes and data segments sent, bytes received."""

    connections: int = 0
    sent: int = 0
    received: int = 0
    segments: int = 0

    def add(self, sent: int, received: int, segments: int) -> None:
        self.connections += 1
        self.sent, self.received, self.segments = (
            self.sent + sent,
            self.received + received,
            self.segments + segments,
        )


@attrs.frozen
class Process:
    cpu: float  # s since its start
    mb: float
    peak_mb: float
    files: int


def process(pid: int) -> Process | None:
    """None: it is gone."""
    folder = Path(f"/proc/{pid}")
    try:
        fields = (folder / "stat").read_text().rpartition(") ")[2].split()
        status = dict(
            line.split(":", 1) for line in (folder / "status").read_text().splitlines() if ":" in line
        )
        files = len(os.listdir(folder / "fd"))
        held, peak = (int(status[key].split()[0]) / 1000 for key in ("VmRSS", "VmHWM"))
    except (OSError, LookupError, ValueError):
        return None
    return Process((int(fields[11]) + int(fields[12])) / TICKS, held, peak, files)


def _inodes(pid: int) -> list[int]:
    found = []
    try:
        for name in os.listdir(f"/proc/{pid}/fd"):
            link = os.readlink(f"/proc/{pid}/fd/{name}")
            if link.startswith("socket:["):
                found.append(int(link[8:-1]))
    except OSError:
        pass
    return found


def _number(name: str, text: str) -> int:
    found = re.search(rf"\b{name}:(\d+)", text)
    return int(found.group(1)) if found else 0


def kind_of(port: int, low: int, client: str) -> str:
    """What is called at a server's port. `client`: the role of the one that calls."""
    if port == low + 1:
        return "swap" if client == "registry" else "pull"
    if port == low:
        return "agreement" if client == "configstore" else "watch"
    return "beat" if client == "workers" else "http"


def carried(roles: Mapping[int, str], low: int, control: int = 8200) -> dict[int, dict[str, Carried]]:
    """By process (`roles`: id -> role) and kind of call, what its open connections have carried so far; the
    side that answers has `NAME answered`. Empty where there is no `ss`."""
    if shutil.which("ss") is None:
        return {}
    ports = {low, low + 1, control}
    told = subprocess.run(
        ["ss", "-tineOH", "state", "established", "-a"], capture_output=True, text=True, check=False
    )
    if told.returncode:
        return {}
    return sorted_out(told.stdout, {inode: pid for pid in roles for inode in _inodes(pid)}, roles, low, ports)


def sorted_out(
    text: str, owner: Mapping[int, int], roles: Mapping[int, str], low: int, ports: set[int]
) -> dict[int, dict[str, Carried]]:
    """`text`: lines of `ss`; `owner`: inode -> process."""
    rows = []
    whose: dict[str, int] = {}  # address -> process
    for line in text.splitlines():
        found = _LINE.match(line if line.startswith("ESTAB") else f"ESTAB {line}")
        if found and int(found["inode"]) in owner:
            pid = owner[int(found["inode"])]
            whose[found["near"]] = pid
            rows.append((pid, found["near"], found["far"], found["rest"]))
    made: dict[int, dict[str, Carried]] = {}
    for pid, near, far, rest in rows:
        here, there = int(near.rpartition(":")[2]), int(far.rpartition(":")[2])
        if there in ports and here not in ports:
            kind = kind_of(there, low, roles[pid])
        elif here in ports and far in whose:
            kind = f"{kind_of(here, low, roles[whose[far]])} answered"
        else:
            continue
        made.setdefault(pid, {}).setdefault(kind, Carried()).add(
            _number("bytes_acked", rest), _number("bytes_received", rest), _number("data_segs_out", rest)
        )
    return made
