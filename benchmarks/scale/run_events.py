"""Events of a run: start-up, a configuration change, the loss of a core machine.

The records have the keys of docs/capacity/scale.json.
"""

import time
from typing import Any, Final

import gevent

from ashlift.lab.system.machine_layout import LabMachine
from benchmarks.scale.cluster import LOW_PORT, Cluster
from benchmarks.scale.connection_traffic import read_traffic
from benchmarks.scale.host_messages import HostFigures
from benchmarks.scale.measurement_window import record_difference, recorded_age, take_snapshot

Json = dict[str, Any]
POLL_SECONDS: Final = 0.1
STATUS_POLL_SECONDS: Final = 0.5
ROLLOUT_TIMEOUT_SECONDS: Final = 20.0
RECOVERY_TIMEOUT_SECONDS: Final = 15.0
MIN_RECOVERY_SECONDS: Final = 1.0  # until the proxies' figures reflect the loss
FRESH_AGE_SECONDS: Final = 1.0
STABILIZE_SECONDS: Final = 1.0


def wait_until_ready(cluster: Cluster, started_at: float, timeout: float) -> Json:
    """Wait for simulated proxies and workers; without these proxies, for real ones. Returns the record."""
    wanted = cluster.simulated_proxies
    if not wanted:
        _wait_for_real_proxies(cluster, started_at, timeout)
    while True:
        figures = cluster.figures()
        if _is_everything_ready(cluster, figures) or time.monotonic() - started_at > timeout:
            break
        gevent.sleep(POLL_SECONDS)
    seconds = figures.ready_after_seconds
    record: Json = {
        "ready": figures.ready_proxies,
        "wanted": wanted,
        "pulls": figures.pulls,
        "missed": figures.failed_pulls,
        "half_s": _half_time(seconds),
        "all_s": _last_time(seconds, wanted),
    }
    if cluster.worker_host is not None:
        record["workers"] = figures.acknowledged_workers
        record["workers_s"] = round(figures.last_acknowledged_at - started_at, 3)
    return record


def measure_change(cluster: Cluster) -> Json:
    """Change one route; record when the change is acknowledged and when proxies receive it."""
    index = cluster.config_index()
    before = take_snapshot(cluster)
    started_at = time.monotonic()
    response = cluster.change_route()
    record: Json = {
        "status": response.status,
        "s": round(time.monotonic() - started_at, 3),
        "why": response.error,
    }
    if response.status != 200:
        return record
    arrival_times = _wait_for_arrival(cluster, index + 1)
    seconds = sorted(arrived_at - started_at for arrived_at in arrival_times if arrived_at >= 0)
    record["reached"] = len(seconds)
    record["wanted"] = len(arrival_times)
    record["half_s"] = _half_time(seconds)
    record["all_s"] = _last_time(seconds, len(arrival_times))
    record["used"] = record_difference(before, take_snapshot(cluster))
    return record


class CoreMachineLoss:
    """The loss of the store leader's core machine: kills both programs and restarts them later."""

    def __init__(self, cluster: Cluster, seconds: float) -> None:
        self._cluster = cluster
        self._seconds = seconds
        leader_ip = cluster.leader_ip()
        self._machine = _machine_with_ip(cluster, leader_ip)
        self._was_leader = self._machine.ip == leader_ip
        self._programs = cluster.core_programs(self._machine)
        self._oldest_age = 0.0

    def measure(self) -> Json:
        """Kill and restart the machine's programs and wait for all proxies; returns the record."""
        before = self._cluster.figures()
        killed_at = time.monotonic()
        for program in self._programs:
            program.kill()
        fresh_at = self._wait_until_fresh(killed_at, before.ready_proxies)
        gevent.sleep(STABILIZE_SECONDS)
        after = self._cluster.figures()
        return {
            "gone_s": round(self._seconds, 2),
            "machine": self._machine.name,
            "led": self._was_leader,
            "oldest_proof_s": round(self._oldest_age, 3),
            "all_fresh_again_s": None if fresh_at is None else round(fresh_at - killed_at, 2),
            "pulls_missed": after.failed_pulls - before.failed_pulls,
            "ready_after": after.ready_proxies,
            "registry_bytes_since_back": self._registry_bytes(),
        }

    def _wait_until_fresh(self, killed_at: float, ready_proxies: int) -> float | None:
        """Restart the programs when due; returns when all proxies were up to date, None after a timeout."""
        restarted_at: float | None = None
        while True:
            gevent.sleep(POLL_SECONDS)
            now = time.monotonic()
            figures = self._cluster.figures()
            self._oldest_age = max(self._oldest_age, recorded_age(figures))
            if restarted_at is None and now - killed_at >= self._seconds:
                restarted_at = now
                for program in self._programs:
                    program.start()
            if restarted_at is None:
                continue
            is_fresh = figures.confirmation_age_seconds < FRESH_AGE_SECONDS
            are_ready = figures.ready_proxies >= ready_proxies
            if is_fresh and are_ready and now - restarted_at > MIN_RECOVERY_SECONDS:
                return now
            if now - killed_at > self._seconds + RECOVERY_TIMEOUT_SECONDS:
                return None

    def _registry_bytes(self) -> Json:
        """The traffic of the restarted registry by kind of request."""
        _, registry = self._programs
        traffic = read_traffic(self._cluster.roles_by_pid(), LOW_PORT).get(registry.pid or 0, {})
        return {kind: [carried.bytes_sent, carried.bytes_received] for kind, carried in traffic.items()}


def _wait_for_real_proxies(cluster: Cluster, started_at: float, timeout: float) -> None:
    while cluster.ready_proxies() < cluster.options.real_proxies:
        if time.monotonic() - started_at >= timeout:
            return
        gevent.sleep(STATUS_POLL_SECONDS)


def _is_everything_ready(cluster: Cluster, figures: HostFigures) -> bool:
    if figures.ready_proxies < cluster.simulated_proxies:
        return False
    return cluster.worker_host is None or figures.acknowledged_workers >= cluster.size.workers


def _wait_for_arrival(cluster: Cluster, version: int) -> list[float]:
    """Arrival times of a version at the simulated proxies; late proxies are missing."""
    deadline = time.monotonic() + ROLLOUT_TIMEOUT_SECONDS
    arrival_times: list[float] = []
    while time.monotonic() < deadline:
        arrival_times = [at for host in cluster.proxy_hosts for at in host.read_arrival_times(version)]
        if all(at >= 0 for at in arrival_times):
            break
        gevent.sleep(POLL_SECONDS)
    return arrival_times


def _machine_with_ip(cluster: Cluster, ip: str) -> LabMachine:
    machines = cluster.core_machines
    return next((machine for machine in machines if machine.ip == ip), machines[-1])


def _half_time(seconds: list[float]) -> float | None:
    """The time at which half of all had arrived, given sorted times."""
    return round(seconds[len(seconds) // 2], 3) if seconds else None


def _last_time(seconds: list[float], wanted: int) -> float | None:
    """The time at which all had arrived, given sorted times; None if some had not."""
    return round(seconds[-1], 3) if seconds and len(seconds) >= wanted else None
