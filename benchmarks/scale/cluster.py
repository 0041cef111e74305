"""The cluster of a run: core machines and real proxies on loopback, and processes that simulate the rest.

Each started process is stopped by its process id.
"""

import os
import shutil
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import gevent
from gevent import socket

from ashlift.config.settings import Bounds
from ashlift.lab.system.machine_layout import CONTROL_PORT, FRONT_PORT, LabMachine
from ashlift.lab.system.machine_settings import ClusterSettings
from ashlift.lab.system.programs import Program, stop_programs
from benchmarks.scale.connection_traffic import Role
from benchmarks.scale.host_messages import HostFigures, StartProxies, StartWorkers
from benchmarks.scale.host_process import HostProcess, total_figures
from benchmarks.scale.operator_client import OperatorClient, OperatorResponse
from benchmarks.scale.run_options import RunOptions
from benchmarks.scale.sample_objects import build_configuration, build_route_change
from benchmarks.scale.sizes import ClusterSize, regions_by_zone

Json = dict[str, Any]
ReportProgress = Callable[[str], None]
LOW_PORT: Final = 7600  # the lowest internal port of each machine
SEEDS: Final = 3
HEARTBEAT_SECONDS: Final = 1.5
MAX_HEARTBEATS_PER_SECOND: Final = 2000.0  # of all workers; beyond it, the heartbeat interval is extended
WORKERS_PER_CONNECTION: Final = 50
START_TIMEOUT_SECONDS: Final = 30.0
LISTEN_PROBE_SECONDS: Final = 1.0
LISTEN_POLL_SECONDS: Final = 0.05
CORE_KIND: Final = "core"
EDGE_KIND: Final = "edge"
_PORT_BY_ROLE: Final = {Role.CONFIGSTORE: LOW_PORT, Role.REGISTRY: CONTROL_PORT, Role.PROXY: FRONT_PORT}


class Cluster:
    """The processes of one run; `stop` stops all of them.

    `size`: the run reduces it to the largest configuration that the store accepts.
    """

    def __init__(self, size: ClusterSize, options: RunOptions) -> None:
        self.size = size
        self.options = options
        self.heartbeat_seconds = max(HEARTBEAT_SECONDS, size.workers / MAX_HEARTBEATS_PER_SECOND)
        self.core_machines = self._machines(CORE_KIND, 1, options.core_machines)
        self.proxy_hosts: list[HostProcess] = []
        self.worker_host: HostProcess | None = None
        self._edge_machines = self._machines(EDGE_KIND, 2, options.real_proxies)
        self._folder = Path(tempfile.mkdtemp(prefix="ashlift-scale-"))
        self._programs: dict[tuple[str, Role], Program] = {}
        self._version = 0
        self._operator = OperatorClient([machine.ip for machine in self.core_machines])

    @property
    def simulated_proxies(self) -> int:
        """The number of simulated proxies."""
        return self.size.proxies - self.options.real_proxies

    @property
    def _regions_by_zone(self) -> dict[str, str]:
        # One region per core machine, so that each serves the same number of proxies.
        return regions_by_zone(self.options.core_machines)

    def write_settings(self, is_first_start: bool) -> None:
        """Write the settings of all machines, for the first start of the store or for a restart."""
        machines = [*self.core_machines, *self._edge_machines]
        settings = ClusterSettings(
            machines,
            [machine.name for machine in self.core_machines[:SEEDS]],
            Bounds(),
            self._regions_by_zone,
            self.heartbeat_seconds,
        )
        for machine in machines:
            disk = self._folder / f"disk-{machine.name}"
            disk.mkdir(exist_ok=True)
            new_file = self._folder / f"{machine.name}.new"
            new_file.write_text(settings.to_toml(machine, str(disk), is_first_start))
            new_file.replace(self._settings_path(machine))

    def start_programs(self, role: Role) -> None:
        """Start all programs of a role and wait until they listen."""
        machines = self._edge_machines if role is Role.PROXY else self.core_machines
        for machine in machines:
            log = self._folder / f"{role.value}@{machine.name}.log"
            program = Program(machine.name, role.value, self._settings_path(machine), log)
            self._programs[machine.name, role] = program
            program.start()
        for machine in machines:
            self._wait_until_listening(machine, role)

    def core_programs(self, machine: LabMachine) -> list[Program]:
        """The configuration store and the registry of a core machine."""
        return [self._programs[machine.name, role] for role in (Role.CONFIGSTORE, Role.REGISTRY)]

    def start_simulation(self, tenants: int) -> None:
        """Start all simulated proxies and workers; requests belong to `tenants` tenants."""
        if self.size.workers:
            self.worker_host = HostProcess(self._folder / "workers.log")
            self.worker_host.execute(self._start_workers_command())
        if self.simulated_proxies <= 0:
            return
        self.proxy_hosts = [
            HostProcess(self._folder / f"proxies-{number}.log") for number in range(self.options.proxy_hosts)
        ]
        for number, host in enumerate(self.proxy_hosts):
            host.execute(self._start_proxies_command(number, tenants))

    def stop(self) -> None:
        """Stop all processes and remove their files."""
        for host in self._hosts():
            host.stop()
        stop_programs(list(self._programs.values()))
        shutil.rmtree(self._folder, ignore_errors=True)

    def put_configuration(self, size: ClusterSize) -> Json:
        """Replace the configuration by one of this size; returns the record of the call."""
        body = build_configuration(size, self._version + 1)
        started_at = time.monotonic()
        response = self._send_config("PUT", body)
        return {
            "tenants": size.tenants,
            "routes": size.routes,
            "status": response.status,
            "s": round(time.monotonic() - started_at, 3),
            "why": response.error,
        }

    def change_route(self) -> OperatorResponse:
        """Change one route of the configuration."""
        return self._send_config("PATCH", build_route_change(self.size, self._version + 1))

    def config_index(self) -> int:
        """The index of the newest configuration known to the registries."""
        return int(self._operator.read_status().get("index", 0))

    def leader_ip(self) -> str:
        """The address of the store's leader; empty if there is none."""
        return str(self._operator.read_status().get("leader") or "")

    def ready_proxies(self) -> int:
        """The number of ready proxies, real and simulated, in the registries' status."""
        proxies = self._operator.read_status().get("gatekeepers", ())
        return sum(bool(proxy["ready"]) for proxy in proxies)

    def figures(self) -> HostFigures:
        """The total figures of the simulated proxies and workers."""
        return total_figures(self._hosts())

    def roles_by_pid(self) -> dict[int, Role]:
        """The roles of all running processes by process id."""
        roles = {
            program.pid: role for (_, role), program in self._programs.items() if program.pid is not None
        }
        roles |= {host.pid: Role.SIMULATED_PROXIES for host in self.proxy_hosts}
        if self.worker_host is not None:
            roles[self.worker_host.pid] = Role.SIMULATED_WORKERS
        return roles

    def _machines(self, kind: str, third_octet: int, count: int) -> list[LabMachine]:
        second_octet = 20 + os.getpid() % 200  # separate addresses for concurrent runs
        regions = self._regions_by_zone
        zones = list(regions)
        machines = []
        for number in range(count):
            zone = zones[number % len(zones)]
            ip = f"127.{second_octet}.{third_octet}.{number + 1}"
            machines.append(LabMachine(f"{kind}-{number + 1}", kind, ip, zone, regions[zone], LOW_PORT))
        return machines

    def _settings_path(self, machine: LabMachine) -> Path:
        return self._folder / f"{machine.name}.toml"

    def _wait_until_listening(self, machine: LabMachine, role: Role) -> None:
        """Raises RuntimeError if the program exits or does not listen within START_TIMEOUT_SECONDS."""
        program = self._programs[machine.name, role]
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while True:
            try:
                address = (machine.ip, _PORT_BY_ROLE[role])
                socket.create_connection(address, timeout=LISTEN_PROBE_SECONDS).close()
                return
            except OSError:
                if not program.is_running or time.monotonic() > deadline:
                    message = f"{role.value}@{machine.name} is not listening: {program.log_tail()}"
                    raise RuntimeError(message) from None
                gevent.sleep(LISTEN_POLL_SECONDS)

    def _hosts(self) -> list[HostProcess]:
        return [*self.proxy_hosts, *([self.worker_host] if self.worker_host is not None else [])]

    def _send_config(self, method: str, body: Json) -> OperatorResponse:
        response = self._operator.send_config(method, body, self._version)
        if response.status == 200:
            self._version += 1
        return response

    def _start_workers_command(self) -> StartWorkers:
        return StartWorkers(
            first=0,
            end=self.size.workers,
            size=self.size.to_json(),
            zones=sorted(self._regions_by_zone),
            registry_ips=[machine.ip for machine in self.core_machines],
            heartbeat_seconds=self.heartbeat_seconds,
            connections=max(self.options.core_machines, self.size.workers // WORKERS_PER_CONNECTION),
        )

    def _start_proxies_command(self, host_number: int, tenants: int) -> StartProxies:
        hosts = self.options.proxy_hosts
        return StartProxies(
            first=self.simulated_proxies * host_number // hosts,
            end=self.simulated_proxies * (host_number + 1) // hosts,
            regions_by_zone=self._regions_by_zone,
            low_port=LOW_PORT,
            seed_ips=[machine.ip for machine in self.core_machines[:SEEDS]],
            tenants=tenants,
            starts_per_second=self.options.starts_per_second / hosts,
        )
