"""Base class of the simulated world and the world of real processes: workers, clients and operators."""

from abc import abstractmethod
from typing import Final

from ashlift.config.settings import Bounds
from ashlift.simulation.clients import ClientPopulation, RequestPattern
from ashlift.simulation.continuous_operators import ContinuousOperator
from ashlift.simulation.event_loop import EventLoop
from ashlift.simulation.fault_recorder import FaultRecorder
from ashlift.simulation.operators import Operator
from ashlift.simulation.plan import ROUTES, ZONES, Plan
from ashlift.simulation.process import Machine, Network
from ashlift.simulation.worker_pool import WorkerPool

RESTART_SECONDS: Final = 0.5  # from the end of a process to its next start
HEARTBEAT_SECONDS: Final = 1.5
TRAFFIC_START_SECONDS: Final = 5.0
CORE: Final = "core"
EDGE: Final = "edge"
SEED_COUNT: Final = 3
OPERATOR_ZONE: Final = "z1"


class BaseWorld(FaultRecorder):
    """Workers, clients and operators of a plan; subclasses run the programs on the machines."""

    def __init__(self, plan: Plan, core: list[str], edge: list[str], loop: EventLoop, net: Network) -> None:
        super().__init__(core, edge)
        self.plan = plan
        self.loop = loop
        self.net = net
        self.bounds = Bounds(revocation_strict=True)
        self.load = 1.0  # multiplies the plan's request rate
        self.zones = dict(ZONES)
        self.seeds = self.core[:SEED_COUNT]
        self.client_populations: list[ClientPopulation] = []
        self.operators: dict[str, Operator] = {}
        self.worker_pool = self.new_worker_pool()

    @abstractmethod
    def new_worker_pool(self) -> WorkerPool:
        """Return an empty pool for the workers of this world."""

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return self.loop.now

    def populate(self) -> None:
        """Start the workers of each service, spread over the zones, then the clients and their traffic."""
        self.history.proxy_regions = {name: self.net.machines[name].region for name in self.edge}
        zones = list(ZONES)
        for route in ROUTES.values():
            for number in range(self.plan.workers):
                start_at = 0.5 + (number + 0.9 * self.loop.rng.random()) / self.plan.workers
                zone = zones[number % len(zones)]
                self.loop.call_later(start_at, self.add_worker, route.service, zone)
        for population in self.client_populations:
            population.start()
        self.loop.call_later(TRAFFIC_START_SECONDS, self._start_traffic)

    def rate_share(self) -> float:
        """Return the share of each request pattern's rate that one client population sends."""
        return self.load / len(self.client_populations)

    def _start_traffic(self) -> None:
        rate = self.plan.rate / (len(ROUTES) * self.plan.tenants)
        for population in self.client_populations:
            for name, route in ROUTES.items():
                for number in range(1, self.plan.tenants + 1):
                    pattern = RequestPattern(f"/{name}/x", route.idempotent, f"t{number}-a", rate)
                    population.add_pattern(pattern)

    def add_worker(
        self, service: str, zone: str, warmup_seconds: float = 0.0, address: str | None = None
    ) -> None:
        """Start a worker, at the address of one that has ended or at a new one."""
        plan = self.plan
        latency = plan.latency * self.loop.rng.uniform(0.8, 1.3)
        region = self.zones[zone]
        self.worker_pool.add(service, zone, region, plan.capacity, latency, warmup_seconds, address)

    def operator(self, name: str) -> Operator:
        """Return the operator of this name, a new one if there is none."""
        if name not in self.operators:
            machine = self._add_operator_machine(f"operator-{name}")
            self.operators[name] = Operator(self.loop, self.net, machine, self.history, self.core)
            self.operators[name].start()
        return self.operators[name]

    def add_continuous_operators(self, count: int, until: float, preferred: list[str]) -> None:
        """Start operators that send commands without pause until then, to `preferred` registries first."""
        zones = list(ZONES)
        for number in range(count):
            machine = self._add_operator_machine(f"caller-{len(self.net.machines)}-{number}")
            operator = ContinuousOperator(self.loop, self.net, machine, self.history, self.core)
            operator.zone = zones[number] if number < len(zones) else None
            operator.preferred = preferred
            operator.until = until
            operator.start()

    def _add_operator_machine(self, name: str) -> Machine:
        machine = Machine(name, OPERATOR_ZONE, ZONES[OPERATOR_ZONE], 0.0, "operators")
        self.net.machines[name] = machine
        return machine
