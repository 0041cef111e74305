"""Reads the traffic of the benchmark's connections from `ss`, by kind of request.

Requests are counted as data segments sent: each frame and each heartbeat is one write, which is one segment
if it is shorter than 64 KB (loopback). Bytes are payload, without TCP and IP headers. The traffic of
connections that were closed between two readings is not included.
"""

import re
import shutil
import subprocess
from collections.abc import Iterator, Mapping
from enum import Enum
from typing import Final

import attrs

from benchmarks.scale.process_usage import socket_inodes

REGISTRY_PORT_OFFSET: Final = 1  # the registry's RPC port relative to the lowest internal port
DEFAULT_CONTROL_PORT: Final = 8200
RESPONSE_SUFFIX: Final = " answered"
_CONNECTION_LINE: Final = re.compile(
    r"^ESTAB\s+\d+\s+\d+\s+(?P<local>\S+)\s+(?P<remote>\S+).*?\bino:(?P<inode>\d+)(?P<counters>.*)$"
)


class Role(Enum):
    """The role of a process in a run; the values are keys of docs/capacity/scale.json."""

    CONFIGSTORE = "configstore"
    REGISTRY = "registry"
    PROXY = "proxy"
    SIMULATED_PROXIES = "hollow"
    SIMULATED_WORKERS = "workers"


class RequestKind(Enum):
    """The kind of requests on a connection; the values are keys of docs/capacity/scale.json."""

    PULL = "pull"
    SWAP = "swap"
    REPLICATION = "agreement"
    WATCH = "watch"
    HEARTBEAT = "beat"
    HTTP = "http"


@attrs.define
class Traffic:
    """The traffic of one process on connections of one kind."""

    connections: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    segments_sent: int = 0

    def add_connection(self, bytes_sent: int, bytes_received: int, segments_sent: int) -> None:
        """Add the traffic of one connection."""
        self.connections += 1
        self.bytes_sent += bytes_sent
        self.bytes_received += bytes_received
        self.segments_sent += segments_sent


@attrs.frozen
class _Connection:
    pid: int
    local: str
    remote: str
    counters: str

    def counter(self, name: str) -> int:
        match = re.search(rf"\b{name}:(\d+)", self.counters)
        return int(match.group(1)) if match else 0


TrafficByKind = dict[str, Traffic]  # the server side has the key `KIND answered`


def read_traffic(
    roles: Mapping[int, Role], low_port: int, control_port: int = DEFAULT_CONTROL_PORT
) -> dict[int, TrafficByKind]:
    """The traffic of the processes' open connections, by process id; empty if `ss` is not available."""
    if shutil.which("ss") is None:
        return {}
    completed = subprocess.run(
        ["ss", "-tineOH", "state", "established", "-a"], capture_output=True, text=True, check=False
    )
    if completed.returncode:
        return {}
    pid_by_inode = {inode: pid for pid in roles for inode in socket_inodes(pid)}
    server_ports = {low_port, low_port + REGISTRY_PORT_OFFSET, control_port}
    return parse_traffic(completed.stdout, pid_by_inode, roles, low_port, server_ports)


def parse_traffic(
    ss_output: str,
    pid_by_inode: Mapping[int, int],
    roles: Mapping[int, Role],
    low_port: int,
    server_ports: set[int],
) -> dict[int, TrafficByKind]:
    """The traffic of the processes in the output of `ss`, by process id."""
    connections = list(_parse_connections(ss_output, pid_by_inode))
    pid_by_address = {connection.local: connection.pid for connection in connections}
    traffic: dict[int, TrafficByKind] = {}
    for connection in connections:
        local_port = _port(connection.local)
        remote_port = _port(connection.remote)
        if remote_port in server_ports and local_port not in server_ports:
            kind = _request_kind(remote_port, low_port, roles[connection.pid]).value
        elif local_port in server_ports and connection.remote in pid_by_address:
            client_role = roles[pid_by_address[connection.remote]]
            kind = _request_kind(local_port, low_port, client_role).value + RESPONSE_SUFFIX
        else:
            continue
        traffic.setdefault(connection.pid, {}).setdefault(kind, Traffic()).add_connection(
            bytes_sent=connection.counter("bytes_acked"),
            bytes_received=connection.counter("bytes_received"),
            segments_sent=connection.counter("data_segs_out"),
        )
    return traffic


def _parse_connections(ss_output: str, pid_by_inode: Mapping[int, int]) -> Iterator[_Connection]:
    for line in ss_output.splitlines():
        # With `state established`, `ss` omits the state column.
        match = _CONNECTION_LINE.match(line if line.startswith("ESTAB") else f"ESTAB {line}")
        if match and int(match["inode"]) in pid_by_inode:
            pid = pid_by_inode[int(match["inode"])]
            yield _Connection(pid, match["local"], match["remote"], match["counters"])


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


def _request_kind(server_port: int, low_port: int, client_role: Role) -> RequestKind:
    if server_port == low_port + REGISTRY_PORT_OFFSET:
        return RequestKind.SWAP if client_role is Role.REGISTRY else RequestKind.PULL
    if server_port == low_port:
        return RequestKind.REPLICATION if client_role is Role.CONFIGSTORE else RequestKind.WATCH
    return RequestKind.HEARTBEAT if client_role is Role.SIMULATED_WORKERS else RequestKind.HTTP
