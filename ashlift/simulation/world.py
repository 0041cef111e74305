"""The simulated cluster: machines in zones, the programs on them, and fault injection for both."""

from collections.abc import Iterable
from typing import Final, TypeVar

from attrs import evolve

from ashlift.config.settings import Bindings, Settings
from ashlift.errors import Failure, FailureReason
from ashlift.simulation import configstore_process, proxy_process, registry_process
from ashlift.simulation.base_world import CORE, EDGE, HEARTBEAT_SECONDS, RESTART_SECONDS, BaseWorld
from ashlift.simulation.clients import ClientPopulation
from ashlift.simulation.configstore_process import ConfigstoreProcess
from ashlift.simulation.event_loop import EventLoop
from ashlift.simulation.lease_sums import check_lease_sums
from ashlift.simulation.network import SimulatedNetwork
from ashlift.simulation.plan import ZONES, Plan
from ashlift.simulation.process import Machine, Process
from ashlift.simulation.proxy_process import ProxyProcess
from ashlift.simulation.registry_process import RegistryProcess
from ashlift.simulation.worker_pool import WorkerPool

BOOT_SECONDS: Final = 0.2
LEASE_CHECK_SECONDS: Final = 0.25
TERMINATION_POLL_SECONDS: Final = 0.1
MAX_CLOCK_OFFSET_SECONDS: Final = 1000.0
PROXY_PORTS: Final = (7600, 7615)
CLIENT_PORT: Final = 80
READINESS_PORT: Final = 81
# Process kinds by the program names of scenario files.
PROGRAMS: Final = {
    "configstore": [configstore_process.KIND],
    "registry": [registry_process.KIND],
    "proxy": [proxy_process.KIND],
    "core": [configstore_process.KIND, registry_process.KIND],
    "all": [configstore_process.KIND, registry_process.KIND, proxy_process.KIND],
}

AnyProcess = TypeVar("AnyProcess", bound=Process)


class World(BaseWorld):
    """All machines with their programs, on simulated time."""

    net: SimulatedNetwork

    def __init__(self, plan: Plan) -> None:
        core = [f"{CORE}-{number + 1}" for number in range(plan.core)]
        edge = [f"{EDGE}-{number + 1}" for number in range(plan.edge)]
        loop = EventLoop(plan.seed)
        super().__init__(plan, core, edge, loop, SimulatedNetwork(loop))
        self.net.loss_rate = plan.loss
        self.net.delivers_after_close = bool(plan.late)
        zones = list(ZONES)
        for number, name in enumerate(self.core):
            self._add_core_machine(name, zones[number % len(zones)])
        for number, name in enumerate(self.edge):
            self._add_edge_machine(name, zones[number % len(zones)])
        for zone in zones:
            machine = Machine(f"clients-{zone}", zone, self.zones[zone], 0.0, "clients")
            self.net.machines[machine.name] = machine
            self.client_populations.append(
                ClientPopulation(self.loop, self.net, machine, self.history, self.core, self.rate_share)
            )
        for name in [*self.core, *self.edge]:
            for process in self.net.machines[name].processes.values():
                self.loop.call_later(self.loop.rng.uniform(0.0, BOOT_SECONDS), process.start)
        self.populate()
        self.loop.call_later(LEASE_CHECK_SECONDS, self._check_leases)

    def new_worker_pool(self) -> WorkerPool:
        """Return a pool of simulated workers."""
        return WorkerPool(self.loop, self.net, self.history, self.core, HEARTBEAT_SECONDS, self.bounds.drain)

    def _add_core_machine(self, name: str, zone: str) -> None:
        machine = self._add_machine(name, zone)
        ConfigstoreProcess(self.loop, self.net, machine, lambda: self.seeds)
        RegistryProcess(self.loop, self.net, machine, lambda: self.seeds, self.zones, HEARTBEAT_SECONDS)

    def _add_edge_machine(self, name: str, zone: str) -> None:
        machine = self._add_machine(name, zone)
        settings = Settings(
            node_name=name,
            ip=name,
            internal_ports=PROXY_PORTS,
            zone=machine.zone,
            region=machine.region,
            seeds=(),
            zones=self.zones,
            heartbeat=HEARTBEAT_SECONDS,
            bounds=self.bounds,
            bindings=Bindings(front=(name, CLIENT_PORT), readiness=(name, READINESS_PORT)),
        )
        ProxyProcess(self.loop, self.net, machine, lambda: self._with_seeds(settings), self.worker_pool)

    def _add_machine(self, name: str, zone: str) -> Machine:
        clock_offset = self.loop.rng.uniform(0.0, MAX_CLOCK_OFFSET_SECONDS)
        machine = Machine(name, zone, self.zones[zone], clock_offset)
        self.net.machines[name] = machine
        return machine

    def _with_seeds(self, settings: Settings) -> Settings:
        return evolve(settings, seeds=tuple((seed, registry_process.CONTROL_PORT) for seed in self.seeds))

    def _check_leases(self) -> None:
        check_lease_sums(self.proxies())
        self.loop.call_later(LEASE_CHECK_SECONDS, self._check_leases)

    def run(self, until: float) -> None:
        """Run all events up to that time, in seconds since the start."""
        self.loop.run(until)
        self.history.end = until

    # ---- program state
    def _process(self, machine: str, kind: str, process_type: type[AnyProcess]) -> AnyProcess:
        process = self.net.machines[machine].processes[kind]
        assert isinstance(process, process_type)
        return process

    def configstore(self, machine: str) -> ConfigstoreProcess:
        """Return the configuration store on a core machine."""
        return self._process(machine, configstore_process.KIND, ConfigstoreProcess)

    def configstores(self) -> list[ConfigstoreProcess]:
        """Return the configuration stores of all core machines."""
        return [self.configstore(name) for name in self.core]

    def registry(self, machine: str) -> RegistryProcess:
        """Return the registry on a core machine."""
        return self._process(machine, registry_process.KIND, RegistryProcess)

    def registries(self) -> list[RegistryProcess]:
        """Return the registries of all core machines."""
        return [self.registry(name) for name in self.core]

    def proxies(self) -> list[ProxyProcess]:
        """Return the proxies of all edge machines."""
        return [self._process(name, proxy_process.KIND, ProxyProcess) for name in self.edge]

    def leader(self) -> str | None:
        """Return the machine of the store that leads in the highest term; None if no store is leader."""
        leaders = [
            (process.replica.leader_role.term, process.name)
            for process in self.configstores()
            if process.replica and process.replica.leader_role
        ]
        return max(leaders)[1] if leaders else None

    def has_leader(self) -> bool:
        """Whether there is a leader that has committed an entry in its term."""
        leader = self.leader()
        if leader is None:
            return False
        replica = self.configstore(leader).replica
        return bool(replica and replica.leader_role and replica.leader_role.commit_index)

    def versions(self) -> dict[str, int]:
        """Return the configuration version of each running proxy, 0 for a proxy without a configuration."""
        versions = {}
        for proxy in self.proxies():
            if proxy.up:
                table = proxy.router.cluster.configuration.routing_table
                versions[proxy.name] = table.version if table else 0
        return versions

    def known_workers(self) -> dict[str, dict[str, bool]]:
        """Return the workers that each running proxy knows, and whether it considers them ready."""
        return {
            proxy.name: {name: worker.ready for name, worker in proxy.router.cluster.workers.items()}
            for proxy in self.proxies()
            if proxy.up
        }

    def is_running(self, machine: str) -> bool:
        """Whether the machine has power and all its programs run."""
        record = self.net.machines[machine]
        return record.powered and all(
            process.up and not process.frozen for process in record.processes.values()
        )

    def is_connected(self, one: str, other: str) -> bool:
        """Whether the link between two machines is open in both directions."""
        return self.net.is_connected(one, other)

    def _processes(self, programs: str, machines: Iterable[str]) -> list[Process]:
        return [
            process
            for name in machines
            for kind in PROGRAMS[programs]
            if (process := self.net.machines[name].processes.get(kind))
        ]

    # ---- process faults
    def kill(self, programs: str, machines: list[str], restart_seconds: float = RESTART_SECONDS) -> None:
        """Kill programs, and start them again after `restart_seconds`."""
        for process in self._processes(programs, machines):
            if process.up:
                self.begin_fault(process.name)
                process.kill()
                self.loop.call_later(restart_seconds + BOOT_SECONDS, self._restart, process)

    def _restart(self, process: Process) -> None:
        if process.machine.powered and not process.up:
            process.start()
            self.end_faults(process.name)

    def terminate(self, programs: str, machines: list[str]) -> None:
        """Send SIGTERM: programs shut down gracefully, and are started again after their exit."""
        for process in self._processes(programs, machines):
            if process.up:
                self.begin_fault(process.name, termination=True)
                if isinstance(process, ConfigstoreProcess | ProxyProcess):
                    process.shut_down()
                else:
                    process.kill()
                self._restart_after_exit(process)

    def _restart_after_exit(self, process: Process) -> None:
        if process.up:
            self.loop.call_later(TERMINATION_POLL_SECONDS, self._restart_after_exit, process)
        else:
            self.loop.call_later(RESTART_SECONDS, self._restart, process)

    def freeze(self, programs: str, machines: list[str], seconds: float) -> None:
        """Suspend programs as SIGSTOP does, and resume them after some seconds."""
        for process in self._processes(programs, machines):
            if process.up and not process.frozen:
                process.freeze()
                self.begin_fault(process.name)
                self.loop.call_later(seconds, self._thaw, process, process.incarnation)

    def _thaw(self, process: Process, incarnation: int) -> None:
        if process.incarnation == incarnation:
            process.thaw()
            self.end_faults(process.name)

    # ---- machine and disk faults
    def power_off(self, machines: list[str], seconds: float | None = None, wipe: bool = False) -> None:
        """Cut the power for some seconds, or until `power_on` if None; `wipe` also erases the disks."""
        for name in machines:
            machine = self.net.machines[name]
            self.begin_fault(name)
            for process in machine.processes.values():
                process.kill(silently=True)
            machine.powered = False
            if wipe:
                machine.disk.clear()
            if seconds is not None:
                self.loop.call_later(seconds, self.power_on, [name])

    def power_on(self, machines: list[str]) -> None:
        """Start machines and all their programs; the monotonic clock of a machine gets a new offset."""
        for name in machines:
            machine = self.net.machines[name]
            if not machine.powered:
                machine.powered = True
                machine.clock_offset = self.loop.rng.uniform(0.0, MAX_CLOCK_OFFSET_SECONDS)
            for process in machine.processes.values():
                self.loop.call_later(self.loop.rng.uniform(0.05, BOOT_SECONDS), self._restart, process)

    def corrupt_disks(self, machines: list[str]) -> None:
        """Corrupt the stored state: the next start of the store cannot read it."""
        for name in machines:
            failure = Failure(FailureReason.INVALID, "torn")
            self.net.machines[name].disk.update(vote=failure, state=failure)

    def set_disk_fault(
        self, machines: list[str], hangs: bool = False, fails: bool = False, delay: float = 0.0
    ) -> None:
        """Make writes hang, fail or take `delay` seconds longer; without arguments, repair the disks."""
        is_faulty = hangs or fails or delay > 0.0
        for name in machines:
            machine = self.net.machines[name]
            machine.disk_hangs = hangs
            machine.disk_fails = fails
            machine.disk_delay = delay
            # Not `self.begin_fault`, which would also mark the core as unstable.
            if is_faulty:
                self.history.begin_fault(name, self.loop.now)
            else:
                self.history.end_faults(name, self.loop.now)

    # ---- network faults
    def reset_connections(self, machines: list[str]) -> None:
        """Reset all connections of these machines; their peers see the reset."""
        for name in machines:
            for process in self.net.machines[name].processes.values():
                self.net.reset_connections(process)
                for connection in list(process.connections.values()):
                    self.net.close(connection)
            self.begin_fault(name)
            self.end_faults(name)

    def slow_down(self, machines: list[str], extra_delay: float, seconds: float) -> None:
        """Delay each message from or to these machines by `extra_delay` seconds, for some seconds."""
        for name in machines:
            self.net.extra_delay[name] = extra_delay
            self.begin_fault(name)
            self.loop.call_later(seconds, self._end_slow_down, name)

    def _end_slow_down(self, machine: str) -> None:
        self.net.extra_delay.pop(machine, None)
        self.end_faults(machine)

    def block_links(self, sources: list[str], destinations: list[str], both_ways: bool = True) -> None:
        """Block the links from sources to destinations, and by default those in the other direction."""
        for source in sources:
            for destination in destinations:
                if source != destination:
                    self.net.block(source, destination)
                    if both_ways:
                        self.net.block(destination, source)
        self._record_link_change({*sources, *destinations})

    def unblock_links(self, sources: list[str] | None = None, destinations: list[str] | None = None) -> None:
        """Unblock the links between these machines in both directions, or all links."""
        between = {(source, destination) for source in sources or () for destination in destinations or ()}
        unblocked = [
            link
            for link in sorted(self.net.blocked_links)
            if sources is None or link in between or link[::-1] in between
        ]
        for source, destination in unblocked:
            self.net.unblock(source, destination)
        self._record_link_change({name for link in unblocked for name in link})

    def _record_link_change(self, machines: set[str]) -> None:
        self.links_changed(machines, {name for link in self.net.blocked_links for name in link})

    def set_loss_rate(self, loss_rate: float) -> None:
        """Drop this share of all messages; 0 ends the fault."""
        self.net.loss_rate = loss_rate
        for name in [*self.core, *self.edge]:
            if loss_rate:
                self.history.begin_fault(name, self.loop.now)
            else:
                self.history.end_faults(name, self.loop.now)
        self.core_changed()

    def apply_seeds(self) -> None:
        """Do nothing: programs read `seeds` when they start."""
