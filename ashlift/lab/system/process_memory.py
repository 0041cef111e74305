"""Reads what a process occupies: resident memory, bytes that have arrived and are unread, descriptors.

The platform counts resident memory and unread bytes together against `MemoryMb`. All figures come from
`/proc`; a process that has ended occupies nothing.
"""

import os
from collections.abc import Iterator, Mapping
from typing import Final, NamedTuple

RESIDENT_FIELD: Final = 1  # of /proc/PID/statm, in pages
SOCKET_TABLES: Final = ("/proc/net/tcp", "/proc/net/tcp6")
LISTEN_STATE: Final = "0A"
NO_INODE: Final = "0"  # of a connection that has not been accepted yet
SOCKET_PREFIX: Final = "socket:["


class ProcessMemory(NamedTuple):
    """What a process occupies at one moment; `resident_bytes` and `unread_bytes` count as its memory."""

    resident_bytes: int = 0
    unread_bytes: int = 0
    descriptors: int = 0

    @property
    def counted_bytes(self) -> int:
        """What the platform counts against `MemoryMb`."""
        return self.resident_bytes + self.unread_bytes


class SocketRow(NamedTuple):
    """A TCP socket of the machine. `local_address`: as the kernel prints it."""

    local_address: str
    state: str
    unread_bytes: int
    inode: str


def resident_bytes(pid: int) -> int:
    """The resident memory of a process; 0 if it has ended."""
    try:
        with open(f"/proc/{pid}/statm", encoding="ascii") as file:
            return int(file.read().split()[RESIDENT_FIELD]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, IndexError):
        return 0


def socket_rows() -> list[SocketRow]:
    """All TCP sockets of the machine."""
    return [row for table in SOCKET_TABLES for row in _read_table(table)]


def read_process_memory(pids: Mapping[str, int]) -> dict[str, ProcessMemory]:
    """What each process occupies now. `pids`: by name."""
    rows = socket_rows()
    by_inode = {row.inode: row for row in rows if row.inode != NO_INODE}
    unaccepted_bytes: dict[str, int] = {}
    for row in rows:
        if row.inode == NO_INODE:
            address = row.local_address
            unaccepted_bytes[address] = unaccepted_bytes.get(address, 0) + row.unread_bytes
    return {name: _read_process(pid, by_inode, unaccepted_bytes) for name, pid in pids.items()}


def _read_process(
    pid: int, by_inode: Mapping[str, SocketRow], unaccepted_bytes: Mapping[str, int]
) -> ProcessMemory:
    """`unaccepted_bytes`: unread on connections that wait to be accepted, by the address they came to."""
    unread_bytes = 0
    targets = list(_descriptor_targets(pid))
    for target in targets:
        row = by_inode.get(target.removeprefix(SOCKET_PREFIX).rstrip("]"))
        if row is None or not target.startswith(SOCKET_PREFIX):
            continue
        if row.state == LISTEN_STATE:
            unread_bytes += unaccepted_bytes.get(row.local_address, 0)
        else:
            unread_bytes += row.unread_bytes
    return ProcessMemory(resident_bytes(pid), unread_bytes, len(targets))


def _descriptor_targets(pid: int) -> Iterator[str]:
    """What each open descriptor of a process refers to."""
    folder = f"/proc/{pid}/fd"
    try:
        names = os.listdir(folder)
    except OSError:
        return
    for name in names:
        try:
            yield os.readlink(f"{folder}/{name}")
        except OSError:
            continue  # closed meanwhile


def _read_table(path: str) -> Iterator[SocketRow]:
    try:
        with open(path, encoding="ascii") as file:
            lines = file.read().splitlines()[1:]
    except OSError:
        return
    for line in lines:
        fields = line.split()
        unread = 0 if fields[3] == LISTEN_STATE else int(fields[4].partition(":")[2], 16)
        yield SocketRow(fields[1], fields[3], unread, fields[9])
