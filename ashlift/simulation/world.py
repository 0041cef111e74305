"""The made world: machines in zones, their programs, workers, clients, operators, and what befalls them."""

from abc import abstractmethod
from collections.abc import Iterable

from attrs import evolve

from ashlift.config.settings import Bindings, Bounds, Settings
from ashlift.errors import Failure, FailureReason
from ashlift.simulation import board, keeper, store
from ashlift.simulation.board import Board
from ashlift.simulation.busy_operators import BusyOperator
from ashlift.simulation.clients import ClientPopulation, RequestPattern
from ashlift.simulation.event_loop import EventLoop
from ashlift.simulation.keeper import Keeper
from ashlift.simulation.marks import Marks
from ashlift.simulation.network import SimulatedNetwork
from ashlift.simulation.operators import Operator
from ashlift.simulation.plan import ROUTES, ZONES, Plan
from ashlift.simulation.process import Machine, Network, Process
from ashlift.simulation.store import Store
from ashlift.simulation.workers import Yard

BACK_S = 0.5  # a process that has ended is started again after so long
BOOT_S = 0.2
HEARTBEAT = 1.5
TRAFFIC_S = 5.0  # clients come so long after the machines
CORE, EDGE = "core", "edge"
KINDS = {
    "configstore": [store.KIND],
    "registry": [board.KIND],
    "proxy": [keeper.KIND],
    "core": [store.KIND, board.KIND],
    "all": [store.KIND, board.KIND, keeper.KIND],
}


class Stage(Marks):
    """What a world of simulated programs and one of processes share: workers, clients, operators."""

    def __init__(self, plan: Plan, core: list[str], edge: list[str], loop: EventLoop, net: Network) -> None:
        super().__init__(core, edge)
        self.plan, self.loop, self.net = plan, loop, net
        self.bounds = Bounds(revocation_strict=True)
        self.load = 1.0
        self.zones = dict(ZONES)
        self.seeds = self.core[:3]
        self.client_populations: list[ClientPopulation] = []
        self.operators: dict[str, Operator] = {}
        self.yard = self.furnished()

    @abstractmethod
    def furnished(self) -> Yard: ...

    def now(self) -> float:
        return self.loop.now

    def populate(self) -> None:
        """Workers come in turn, fleet-2 stands in z2; then clients, and a little later what they ask."""
        names, chance = list(ZONES), self.loop.rng
        for route in ROUTES.values():
            for number in range(self.plan.workers):
                at = 0.5 + (number + 0.9 * chance.random()) / self.plan.workers
                self.loop.call_later(at, self.worker, route.service, names[number % len(names)])
        for population in self.client_populations:
            population.start()
        self.loop.call_later(TRAFFIC_S, self._traffic)

    def _share(self) -> float:
        return self.load / len(self.client_populations)

    def _traffic(self) -> None:
        rate = self.plan.rate / (len(ROUTES) * self.plan.tenants)
        for population in self.client_populations:
            for name, route in ROUTES.items():
                for number in range(1, self.plan.tenants + 1):
                    population.add_pattern(
                        RequestPattern(f"/{name}/x", route.idempotent, f"t{number}-a", rate)
                    )

    def worker(self, service: str, zone: str, cold: float = 0.0, address: str | None = None) -> None:
        plan = self.plan
        latency = plan.latency * self.loop.rng.uniform(0.8, 1.3)
        self.yard.add(service, zone, self.zones[zone], plan.capacity, latency, cold, address)

    def operator(self, name: str) -> Operator:
        if name not in self.operators:
            machine = Machine(f"operator-{name}", "z1", "r1", 0.0, "operators")
            self.net.machines[machine.name] = machine
            self.operators[name] = Operator(self.loop, self.net, machine, self.history, self.core)
            self.operators[name].start()
        return self.operators[name]

    def callers(self, count: int, until: float, places: list[str]) -> None:
        """So many operators with an order under way until then."""
        for number in range(count):
            machine = Machine(f"caller-{len(self.net.machines)}-{number}", "z1", "r1", 0.0, "operators")
            self.net.machines[machine.name] = machine
            one = BusyOperator(self.loop, self.net, machine, self.history, self.core)
            one.zone, one.preferred, one.until = dict(enumerate(ZONES)).get(number), places, until
            one.start()


class World(Stage):
    net: SimulatedNetwork

    def __init__(self, plan: Plan) -> None:
        core = [f"{CORE}-{number + 1}" for number in range(plan.core)]
        edge = [f"{EDGE}-{number + 1}" for number in range(plan.edge)]
        loop = EventLoop(plan.seed)
        super().__init__(plan, core, edge, loop, SimulatedNetwork(loop))
        self.net.loss_rate, self.net.delivers_late = plan.loss, bool(plan.late)
        names, chance = list(ZONES), self.loop.rng
        for number, name in enumerate(self.core):
            machine = self._machine(name, names[number % len(names)])
            Store(self.loop, self.net, machine, lambda: self.seeds)
            Board(self.loop, self.net, machine, lambda: self.seeds, self.zones, HEARTBEAT)
        for number, name in enumerate(self.edge):
            machine = self._machine(name, names[number % len(names)])
            settings = Settings(
                node_name=name,
                ip=name,
                internal_ports=(7600, 7615),
                zone=machine.zone,
                region=machine.region,
                seeds=(),
                zones=self.zones,
                heartbeat=HEARTBEAT,
                bounds=self.bounds,
                bindings=Bindings(front=(name, 80), readiness=(name, 81)),
            )
            Keeper(self.loop, self.net, machine, lambda one=settings: self._settings(one), self.yard)  # type: ignore[misc]
        for zone in names:
            machine = Machine(f"clients-{zone}", zone, self.zones[zone], 0.0, "clients")
            self.net.machines[machine.name] = machine
            self.client_populations.append(
                ClientPopulation(self.loop, self.net, machine, self.history, self.core, self._share)
            )
        for name in [*self.core, *self.edge]:
            for process in self.net.machines[name].processes.values():
                self.loop.call_later(chance.uniform(0.0, BOOT_S), process.start)
        self.populate()

    def furnished(self) -> Yard:
        return Yard(self.loop, self.net, self.history, self.core, HEARTBEAT, self.bounds.drain)

    def _machine(self, name: str, zone: str) -> Machine:
        machine = Machine(name, zone, self.zones[zone], self.loop.rng.uniform(0.0, 1000.0))
        self.net.machines[name] = machine
        return machine

    def _settings(self, settings: Settings) -> Settings:
        return evolve(settings, seeds=tuple((seed, board.CONTROL) for seed in self.seeds))

    # ---- looking
    def process(self, machine: str, kind: str) -> Process:
        return self.net.machines[machine].processes[kind]

    def stores(self) -> list[Store]:
        return [one for name in self.core if isinstance(one := self.process(name, store.KIND), Store)]

    def boards(self) -> list[Board]:
        return [one for name in self.core if isinstance(one := self.process(name, board.KIND), Board)]

    def board(self, machine: str) -> Board:
        found = self.process(machine, board.KIND)
        assert isinstance(found, Board)
        return found

    def keepers(self) -> list[Keeper]:
        return [one for name in self.edge if isinstance(one := self.process(name, keeper.KIND), Keeper)]

    def leader(self) -> str | None:
        """The machine of the newest of those who believe that they lead."""
        leading = [
            (one.member.leader_role.term, one.name)
            for one in self.stores()
            if one.member and one.member.leader_role
        ]
        return max(leading)[1] if leading else None

    def versions(self) -> dict[str, int]:
        """The version that each running gatekeeper has."""
        tables = {one.name: one.gate.cluster.configuration.routing_table for one in self.keepers() if one.up}
        return {name: table.version if table else 0 for name, table in tables.items()}

    def crews(self) -> dict[str, dict[str, bool]]:
        """What each running gatekeeper knows of workers: whether they are ready."""
        return {
            one.name: {name: worker.ready for name, worker in one.gate.cluster.workers.items()}
            for one in self.keepers()
            if one.up
        }

    def leads(self) -> bool:
        """Whether somebody leads and has committed in this term."""
        member = next((one.member for one in self.stores() if one.name == self.leader()), None)
        return bool(member and member.leader_role and member.leader_role.commit_index)

    # ---- what befalls machines
    def runs(self, name: str) -> bool:
        machine = self.net.machines[name]
        return machine.powered and all(one.up and not one.frozen for one in machine.processes.values())

    def open(self, one: str, other: str) -> bool:
        return self.net.is_connected(one, other)

    def _each(self, kind: str, names: Iterable[str]) -> list[Process]:
        machines = [self.net.machines[name] for name in names]
        return [
            one for machine in machines for wanted in KINDS[kind] if (one := machine.processes.get(wanted))
        ]

    def kill(self, kind: str, names: list[str], seconds: float = BACK_S) -> None:
        for process in self._each(kind, names):
            if process.up:
                self.befalls(process.name)
                process.kill()
                self.loop.call_later(seconds + BOOT_S, self._start, process)

    def _start(self, process: Process) -> None:
        if process.machine.powered and not process.up:
            process.start()
            self.passes(process.name)

    def term(self, kind: str, names: list[str]) -> None:
        """SIGTERM: it leaves in order, and is started again."""
        for process in self._each(kind, names):
            if process.up:
                self.befalls(process.name, planned=True)
                if isinstance(process, Store | Keeper):
                    process.leave()
                else:
                    process.kill()
                self._again(process)

    def _again(self, process: Process) -> None:
        """Once it has ended, it is started again."""
        if process.up:
            self.loop.call_later(0.1, self._again, process)
        else:
            self.loop.call_later(BACK_S, self._start, process)

    def power(self, names: list[str], seconds: float | None = None, wipe: bool = False) -> None:
        """Without power, and back after some seconds, or when `start` says so."""
        for name in names:
            machine = self.net.machines[name]
            self.befalls(name)
            for process in machine.processes.values():
                process.kill(silently=True)
            machine.powered = False
            if wipe:
                machine.disk.clear()
            if seconds is not None:
                self.loop.call_later(seconds, self.start, [name])

    def start(self, names: list[str]) -> None:
        for name in names:
            machine = self.net.machines[name]
            if not machine.powered:
                machine.powered = True
                machine.clock_offset = self.loop.rng.uniform(0.0, 1000.0)  # the steady clock begins anew
            for process in machine.processes.values():
                self.loop.call_later(self.loop.rng.uniform(0.05, BOOT_S), self._start, process)

    def spoil(self, names: list[str]) -> None:
        """The disk can be read no more after the next start."""
        for name in names:
            disk = self.net.machines[name].disk
            disk.update(
                vote=Failure(FailureReason.INVALID, "torn"), state=Failure(FailureReason.INVALID, "torn")
            )

    def disk(self, names: list[str], hangs: bool = False, refuses: bool = False, slow: float = 0.0) -> None:
        """The disk's trouble from now on; with neither of these it is well again."""
        ill = hangs or refuses or slow > 0.0
        for name in names:
            machine = self.net.machines[name]
            machine.disk_hangs, machine.disk_fails, machine.disk_delay = hangs, refuses, slow
            (self.history.begin_fault if ill else self.history.end_faults)(name, self.loop.now)

    def freeze(self, kind: str, names: list[str], seconds: float) -> None:
        for process in self._each(kind, names):
            if process.up and not process.frozen:
                process.freeze()
                self.befalls(process.name)
                self.loop.call_later(seconds, self._thaw, process, process.incarnation)

    def reset(self, names: list[str]) -> None:
        """All connections to and from these break; whoever had one is told so."""
        for name in names:
            for process in self.net.machines[name].processes.values():
                self.net.reset_connections(process)
                for connection in list(process.connections.values()):
                    self.net.close(connection)
            self.befalls(name)
            self.passes(name)

    def slow(self, names: list[str], more: float, seconds: float) -> None:
        for name in names:
            self.net.extra_delay[name] = more
            self.befalls(name)
            self.loop.call_later(seconds, self._quick, name)

    def _quick(self, name: str) -> None:
        self.net.extra_delay.pop(name, None)
        self.passes(name)

    def _thaw(self, process: Process, life: int) -> None:
        if process.incarnation == life:
            process.thaw()
            self.passes(process.name)

    def cut(self, ones: list[str], others: list[str], both: bool = True) -> None:
        for one in ones:
            for other in others:
                if one != other:
                    self.net.block(one, other)
                    if both:
                        self.net.block(other, one)
        self._links({*ones, *others})

    def join(self, ones: list[str] | None = None, others: list[str] | None = None) -> None:
        """These links, or all."""
        pairs = {(a, b) for a in ones or () for b in others or ()}
        gone = [
            pair
            for pair in sorted(self.net.blocked_links)
            if ones is None or pair in pairs or pair[::-1] in pairs
        ]
        for pair in gone:
            self.net.unblock(*pair)
        self._links({name for pair in gone for name in pair})

    def _links(self, names: set[str]) -> None:
        self.links(names, {name for pair in self.net.blocked_links for name in pair})

    def reseed(self) -> None:
        """The seeds are others now; whoever starts reads them."""

    def lossy(self, share: float) -> None:
        self.net.loss_rate = share
        for name in [*self.core, *self.edge]:
            if share:
                self.history.begin_fault(name, self.loop.now)
            else:
                self.history.end_faults(name, self.loop.now)
        self.shaken()

    def run(self, until: float) -> None:
        self.loop.run(until)
        self.history.end = until
