"""Resource usage by role in a time window: the difference between two snapshots.

CPU time and bytes are read from the operating system; pulls and their times come from the simulated proxies.
"""

import time
from collections import defaultdict
from typing import Any, Final

import attrs
import gevent

from benchmarks.scale.cluster import LOW_PORT, Cluster
from benchmarks.scale.connection_traffic import Role, Traffic, TrafficByKind, read_traffic
from benchmarks.scale.host_messages import HostFigures
from benchmarks.scale.process_usage import ProcessUsage, read_process_usage

Json = dict[str, Any]
MAX_RECORDED_AGE_SECONDS: Final = 1e6  # replaces the infinite age of an unconfirmed configuration


@attrs.frozen
class Snapshot:
    """Counters of all processes at one time."""

    taken_at: float
    roles: dict[int, Role]
    usage: dict[int, ProcessUsage]
    traffic: dict[int, TrafficByKind]
    figures: HostFigures


def take_snapshot(cluster: Cluster) -> Snapshot:
    """Read the counters of all running processes."""
    roles = cluster.roles_by_pid()
    usage = {pid: read for pid in roles if (read := read_process_usage(pid)) is not None}
    return Snapshot(time.monotonic(), roles, usage, read_traffic(roles, LOW_PORT), cluster.figures())


def measure_window(cluster: Cluster) -> Json:
    """Measure one window of `window_seconds`, starting now."""
    before = take_snapshot(cluster)
    gevent.sleep(cluster.options.window_seconds)
    return record_difference(before, take_snapshot(cluster))


def record_difference(before: Snapshot, after: Snapshot) -> Json:
    """The record of the time between two snapshots, under the keys of docs/capacity/scale.json."""
    seconds = after.taken_at - before.taken_at
    record: Json = {"s": round(seconds, 3)}
    for role in sorted(set(after.roles.values()), key=lambda role: role.value):
        pids = [
            pid
            for pid, pid_role in after.roles.items()
            if pid_role is role and pid in before.usage and pid in after.usage
        ]
        if pids:
            record[role.value] = _record_role(before, after, pids)
    record["gatekeepers"] = _record_proxies(before.figures, after.figures, seconds)
    if Role.SIMULATED_WORKERS in after.roles.values():
        record["beats"] = _record_heartbeats(before.figures, after.figures, seconds)
    return record


def recorded_age(figures: HostFigures) -> float:
    """The age of the oldest confirmation, limited to a finite value."""
    return min(figures.confirmation_age_seconds, MAX_RECORDED_AGE_SECONDS)


def _record_role(before: Snapshot, after: Snapshot, pids: list[int]) -> Json:
    """Means over the processes of one role, and maxima of single processes."""
    seconds = after.taken_at - before.taken_at
    usage = [after.usage[pid] for pid in pids]
    cpu_seconds = [after.usage[pid].cpu_seconds - before.usage[pid].cpu_seconds for pid in pids]
    return {
        "processes": len(pids),
        "core": round(sum(cpu_seconds) / seconds / len(pids), 5),
        "core_most": round(max(cpu_seconds) / seconds, 5),
        "mb": round(sum(process.memory_mb for process in usage) / len(pids), 1),
        "mb_peak": round(max(process.peak_memory_mb for process in usage), 1),
        "files": round(sum(process.open_files for process in usage) / len(pids), 1),
        "kinds": _record_traffic(before, after, pids),
    }


def _record_traffic(before: Snapshot, after: Snapshot, pids: list[int]) -> Json:
    """Mean connections, bytes per second and segments per second of a process, by kind of request."""
    seconds = after.taken_at - before.taken_at
    connections: dict[str, int] = defaultdict(int)
    segments_sent: dict[str, int] = defaultdict(int)
    bytes_sent: dict[str, int] = defaultdict(int)
    bytes_received: dict[str, int] = defaultdict(int)
    for pid in pids:
        earlier_traffic = before.traffic.get(pid, {})
        for kind, traffic in after.traffic.get(pid, {}).items():
            earlier = earlier_traffic.get(kind, Traffic())
            # Negative if connections were closed in between, as their counters are lost.
            connections[kind] += traffic.connections
            segments_sent[kind] += max(0, traffic.segments_sent - earlier.segments_sent)
            bytes_sent[kind] += max(0, traffic.bytes_sent - earlier.bytes_sent)
            bytes_received[kind] += max(0, traffic.bytes_received - earlier.bytes_received)
    return {
        kind: {
            "connections": round(connections[kind] / len(pids), 2),
            "segments_s": round(segments_sent[kind] / seconds / len(pids), 2),
            "sent_s": round(bytes_sent[kind] / seconds / len(pids), 2),
            "received_s": round(bytes_received[kind] / seconds / len(pids), 2),
        }
        for kind in sorted(connections)
    }


def _record_proxies(before: HostFigures, after: HostFigures, seconds: float) -> Json:
    """Pulls of all simulated proxies."""
    pulls = after.pulls - before.pulls
    waited_seconds = after.waited_seconds - before.waited_seconds
    return {
        "pulls_s": round(pulls / seconds, 2),
        "missed_s": round((after.failed_pulls - before.failed_pulls) / seconds, 3),
        "wait_ms": round(1000 * waited_seconds / max(1, pulls), 1),
        "longest_ms": round(1000 * after.longest_pull_seconds, 1),
        "entries_s": round((after.received_entries - before.received_entries) / seconds, 1),
        "ready": after.ready_proxies,
        "proof_age_s": round(recorded_age(after), 3),
    }


def _record_heartbeats(before: HostFigures, after: HostFigures, seconds: float) -> Json:
    """Heartbeats of all simulated workers."""
    failed_heartbeats = after.failed_heartbeats - before.failed_heartbeats
    return {
        "acked_s": round((after.heartbeats - before.heartbeats) / seconds, 1),
        "missed_s": round(failed_heartbeats / seconds, 2),
    }
