"""A world of real processes, on which `ashlift.simulation.scenario_player.ScenarioPlayer` runs scenarios.

The programs of the checkout run as processes on loopback. Workers, clients and operators are the simulator's
roles, run in this process on real time and real sockets. `supported_scenarios` lists what is unsupported.
"""

import contextlib
import os
import signal
import time
from collections.abc import Callable
from functools import partial
from typing import Final, cast

import gevent

from ashlift.errors import Failure
from ashlift.lab.system.control_calls import HttpNetwork
from ashlift.lab.system.http_clients import HttpClients, ProxyAccess
from ashlift.lab.system.machine_connectivity import MachineConnectivity
from ashlift.lab.system.machine_layout import CONTROL_PORT, FRONT_PORT, LabMachine, lay_out_machines
from ashlift.lab.system.machine_settings import ClusterSettings
from ashlift.lab.system.process_ends import ProcessEnd
from ashlift.lab.system.program_health import read_metrics, violations_in_logs, violations_in_metrics
from ashlift.lab.system.programs import METRICS_PORTS, Program, stop_programs
from ashlift.lab.system.real_time_loop import RealTimeLoop
from ashlift.lab.system.registry_status import RegistryStatus
from ashlift.lab.system.run_directory import RunDirectory
from ashlift.lab.system.saved_runs import RunEvent
from ashlift.lab.system.shutdown_load import load_during_shutdown
from ashlift.lab.system.worker_servers import WorkerServers
from ashlift.simulation.base_world import HEARTBEAT_SECONDS, RESTART_SECONDS, BaseWorld
from ashlift.simulation.event_loop import EventLoop
from ashlift.simulation.plan import ZONES, Plan
from ashlift.simulation.process import Machine
from ashlift.simulation.worker_pool import WorkerPool

# Programs by the name of their group in scenarios.
PROGRAMS: Final = {
    "configstore": ["configstore"],
    "registry": ["registry"],
    "proxy": ["proxy"],
    "core": ["configstore", "registry"],
    "all": ["configstore", "registry", "proxy"],
}
START_SPREAD_SECONDS: Final = 0.3
START_TIMEOUT_SECONDS: Final = 30.0  # until all programs listen
TERMINATION_POLL_SECONDS: Final = 0.1
PROGRESS_SECONDS: Final = 0.5
FIRST_NETWORK: Final = 20  # second octet of the loopback addresses
NETWORK_COUNT: Final = 200


class ProcessWorld(BaseWorld):
    """`begin` starts everything and returns when all programs listen; `stop` ends everything it started.

    `events`: starts, ends and faults of programs, machines and links.
    """

    def __init__(self, plan: Plan, on_progress: Callable[[str], None] | None = None) -> None:
        # Derived from the process id, so that concurrent runs use different addresses.
        self._network_number = FIRST_NETWORK + os.getpid() % NETWORK_COUNT
        self.machines = {machine.name: machine for machine in lay_out_machines(plan, self._network_number)}
        self.real_time_loop = RealTimeLoop(plan.seed)
        self.events: list[RunEvent] = []
        self._on_progress = on_progress
        self._programs: dict[tuple[str, str], Program] = {}  # by machine and kind
        self._has_power = dict.fromkeys(self.machines, True)
        self._connectivity = MachineConnectivity()
        self._directory = RunDirectory()
        self._registry_status = RegistryStatus(
            {machine.name: machine.ip for machine in self.machines.values()}
        )
        core = [machine.name for machine in self.machines.values() if machine.is_core]
        edge = [machine.name for machine in self.machines.values() if not machine.is_core]
        network = HttpNetwork(list(self.machines.values()))
        network.machines = {
            machine.name: Machine(machine.name, machine.zone, machine.region, 0.0)
            for machine in self.machines.values()
        }
        super().__init__(plan, core, edge, cast(EventLoop, self.real_time_loop), network)
        self._add_clients()

    def new_worker_pool(self) -> WorkerPool:
        """Return the worker servers of this world."""
        self._worker_servers = WorkerServers(
            self.loop,
            self.net,
            self.history,
            self.core,
            HEARTBEAT_SECONDS,
            self.bounds.drain,
            self._network_number,
        )
        return self._worker_servers

    def _add_clients(self) -> None:
        proxy_ips = {name: self.machines[name].ip for name in self.edge}
        access = ProxyAccess(proxy_ips, self._worker_servers.sent_requests, self._proxy_incarnation)
        for zone, region in ZONES.items():
            machine = Machine(f"clients-{zone}", zone, region, 0.0, "clients")
            clients = HttpClients(
                self.loop, self.net, machine, self.history, self.core, self.rate_share, access
            )
            self.client_populations.append(clients)

    def _proxy_incarnation(self, machine: str) -> int:
        return self._programs[machine, "proxy"].incarnation

    # ---- start and stop
    def begin(self) -> None:
        """Start everything, then the clock of the run.

        Raises OSError if an address cannot be bound, RuntimeError if a program does not start to listen.
        """
        self._connectivity.open_links(list(self.machines.values()))
        for machine in self.machines.values():
            self._write_settings(machine, bootstrap=True)
            for kind in PROGRAMS["core"] if machine.is_core else PROGRAMS["proxy"]:
                log = self._directory.log_path(machine, kind)
                program = Program(machine.name, kind, self._directory.settings_path(machine), log)
                self._programs[machine.name, kind] = program
                program.on_end = partial(self._program_ended, program)
        self._start_all()
        self._wait_until_listening()
        self.real_time_loop.begin()
        self._connectivity.begin(self.real_time_loop.started)
        for machine in self.machines.values():
            # A restarted program must join the cluster, not bootstrap a second one.
            self._write_settings(machine, bootstrap=False)
        self.populate()

    def _start_all(self) -> None:
        """Start all programs within START_SPREAD_SECONDS of each other, in a random order."""
        programs = list(self._programs.values())
        self.real_time_loop.rng.shuffle(programs)
        for program in programs:
            program.start()
            gevent.sleep(START_SPREAD_SECONDS / len(programs))

    def _program_ended(self, program: Program, end: ProcessEnd) -> None:
        """Start a program again that neither a kill nor SIGTERM has ended, as the platform does."""
        if signal.SIGKILL in end.signals or signal.SIGTERM in end.signals:
            return
        self.begin_fault(program.machine)
        self._record(program.machine, f"{program.kind}: {end}")
        self.loop.call_later(RESTART_SECONDS, self._restart, program)

    def _write_settings(self, machine: LabMachine, bootstrap: bool) -> None:
        settings = ClusterSettings(list(self.machines.values()), self.seeds, self.bounds)
        self._directory.write_settings(machine, settings, bootstrap)

    def _wait_until_listening(self) -> None:
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        for (name, kind), program in self._programs.items():
            machine = self.machines[name]
            ports = {"configstore": machine.store_port, "registry": CONTROL_PORT, "proxy": FRONT_PORT}
            program.wait_until_listening((machine.ip, ports[kind]), deadline)

    def named_programs(self) -> dict[str, Program]:
        """The programs by kind and machine."""
        return {f"{kind}@{machine}": program for (machine, kind), program in self._programs.items()}

    def proxy_addresses(self) -> list[tuple[str, int]]:
        """Where clients connect to the proxies."""
        return [(self.machines[name].ip, FRONT_PORT) for name in self.edge]

    def registry_addresses(self) -> list[tuple[str, int]]:
        """Where workers and operators connect to the registries."""
        return [(self.machines[name].ip, CONTROL_PORT) for name in self.core]

    def program_problems(self) -> list[str]:
        """Broken invariants and abnormal exits of programs, found in logs, exit statuses and metrics."""
        problems = list(violations_in_logs(self._directory.log_paths()))
        for name, program in self.named_programs().items():
            problems += [f"{name}: {end}" for end in program.ends if not end.is_expected]
            port = METRICS_PORTS.get(program.kind)
            if port is not None and program.is_running and not program.is_frozen:
                problems += self._problems_in_metrics(name, (self.machines[program.machine].ip, port))
        return problems

    @staticmethod
    def _problems_in_metrics(name: str, address: tuple[str, int]) -> list[str]:
        text = read_metrics(address)
        if isinstance(text, Failure):
            return [f"{name}: no metrics: {text.detail}"]
        return list(violations_in_metrics(name, text))

    def stop(self) -> None:
        """End all programs, servers and links."""
        self.real_time_loop.is_stopped = True
        self._worker_servers.stop()
        for clients in self.client_populations:
            cast(HttpClients, clients).close_connections()
        stop_programs(list(self._programs.values()))
        self._connectivity.close()

    def remove_files(self) -> None:
        """Remove the directory of settings, disks and logs."""
        self._directory.remove()

    def run(self, until: float) -> None:
        """Wait until that second of the run. Raises RuntimeError if a scheduled action has failed."""
        loop = self.real_time_loop
        while True:
            remaining = until - loop.now
            if remaining <= 0 or loop.failures:
                break
            gevent.sleep(min(PROGRESS_SECONDS, remaining))
            if self._on_progress is not None:
                self._on_progress(self._progress_text())
        if loop.failures:
            raise RuntimeError(loop.failures[0])
        self.history.end = loop.now

    def _progress_text(self) -> str:
        requests = self.history.requests
        served = sum(200 <= request.status < 300 for request in requests)
        rejected = sum(request.status in (429, 503) for request in requests)
        return (
            f"{self.loop.now:5.1f} / {self.plan.until:g} s  requests {len(requests)}  served {served}  "
            f"refused {rejected}"
        )

    # ---- status of the registries
    def versions(self) -> dict[str, int]:
        """Return the configuration version at each running core machine."""
        return self._registry_status.versions(self._running_core())

    def known_workers(self) -> dict[str, dict[str, bool]]:
        """Return the workers known to each running core machine, and whether they are ready."""
        return self._registry_status.known_workers(self._running_core())

    def leader(self) -> str | None:
        """Return the core machine that is the leader of the configuration store."""
        return self._registry_status.leader(self._running_core())

    def has_leader(self) -> bool:
        """Whether a running registry knows the leader of the configuration store."""
        return self.leader() is not None

    def _running_core(self) -> list[str]:
        return [name for name in self.core if self.is_running(name)]

    def is_running(self, machine: str) -> bool:
        """Whether the machine has power and all its programs run."""
        if not self._has_power[machine]:
            return False
        programs = [program for (name, _), program in self._programs.items() if name == machine]
        return all(program.is_running and not program.is_frozen for program in programs)

    # ---- faults of programs and machines
    def _record(self, machine: str, text: str) -> None:
        self.events.append(RunEvent(self.loop.now, machine, text))

    def _selected(self, kind: str, machines: list[str]) -> list[Program]:
        keys = [(machine, program) for machine in machines for program in PROGRAMS[kind]]
        return [self._programs[key] for key in keys if key in self._programs]

    def kill(self, kind: str, names: list[str], seconds: float = RESTART_SECONDS) -> None:
        """Kill programs of these machines; they are restarted after `seconds`."""
        for program in self._selected(kind, names):
            if program.is_running:
                self.begin_fault(program.machine)
                program.kill()
                self._record(program.machine, f"{program.kind} killed")
                self.loop.call_later(seconds, self._restart, program)

    def _restart(self, program: Program) -> None:
        if self._has_power[program.machine] and not program.is_running:
            program.start()
            self._record(program.machine, f"{program.kind} started")
            self.end_faults(program.machine)

    def terminate(self, kind: str, names: list[str]) -> None:
        """Send SIGTERM to programs of these machines; they are restarted after they exit."""
        for program in self._selected(kind, names):
            if program.is_running:
                self.begin_fault(program.machine, termination=True)
                program.signal(signal.SIGTERM)
                self._record(program.machine, f"{program.kind} told to end")
                if program.kind == "proxy":
                    clients = self._clients_near(program.machine)
                    load_during_shutdown(self.loop, program, clients, self.bounds.grace)
                self._restart_after_exit(program)

    def _clients_near(self, machine: str) -> list[HttpClients]:
        """The clients in the region of a machine."""
        region = self.machines[machine].region
        populations = cast(list[HttpClients], self.client_populations)
        return [clients for clients in populations if clients.machine.region == region]

    def _restart_after_exit(self, program: Program) -> None:
        if program.is_running:
            self.loop.call_later(TERMINATION_POLL_SECONDS, self._restart_after_exit, program)
        else:
            self.loop.call_later(RESTART_SECONDS, self._restart, program)

    def freeze(self, kind: str, names: list[str], seconds: float) -> None:
        """Suspend programs of these machines for `seconds`."""
        for program in self._selected(kind, names):
            if program.is_running and not program.is_frozen:
                program.freeze()
                self._record(program.machine, f"{program.kind} frozen")
                self.begin_fault(program.machine)
                self.loop.call_later(seconds, self._unfreeze, program, program.incarnation)

    def _unfreeze(self, program: Program, incarnation: int) -> None:
        if program.incarnation == incarnation:
            program.unfreeze()
            self._record(program.machine, f"{program.kind} thawed")
            self.end_faults(program.machine)

    def power_off(self, names: list[str], seconds: float | None = None, wipe: bool = False) -> None:
        """Kill all programs of these machines; `wipe` erases their disks; `seconds`: until `power_on`."""
        for name in names:
            self.begin_fault(name)
            self._has_power[name] = False
            for program in self._selected("all", [name]):
                program.kill()
            self._record(name, "disk lost" if wipe else "power lost")
            if wipe:
                self._directory.wipe_disk(self.machines[name])
                self._write_settings(self.machines[name], bootstrap=False)
            if seconds is not None:
                self.loop.call_later(seconds, self.power_on, [name])

    def power_on(self, names: list[str]) -> None:
        """Start all programs of these machines."""
        for name in names:
            self._has_power[name] = True
            for program in self._selected("all", [name]):
                self._restart(program)

    # ---- links and seeds
    def is_connected(self, one: str, other: str) -> bool:
        """Whether the link between two machines is open in both directions."""
        return self._connectivity.is_connected(one, other)

    def block_links(self, ones: list[str], others: list[str], both: bool = True) -> None:
        """Block the links between two groups of machines, only from `ones` to `others` unless `both`."""
        self._connectivity.block(ones, others, both)
        self._record_links({*ones, *others}, "cut")

    def unblock_links(self, ones: list[str] | None = None, others: list[str] | None = None) -> None:
        """Unblock the links between two groups of machines, or all links."""
        self._record_links(self._connectivity.unblock(ones, others), "joined")

    def _record_links(self, machines: set[str], text: str) -> None:
        for name in sorted(machines):
            self._record(name, text)
        self.links_changed(machines, self._connectivity.machines_with_blocked_link())

    def apply_seeds(self) -> None:
        """Write the current seeds into all settings files and make all programs reload them."""
        for machine in self.machines.values():
            self._write_settings(machine, bootstrap=False)
            for program in self._selected("all", [machine.name]):
                with contextlib.suppress(OSError):
                    program.signal(signal.SIGHUP)
