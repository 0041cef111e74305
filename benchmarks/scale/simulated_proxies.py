"""Simulated proxies: the control plane side of many proxies in one process, on real connections.

A simulated proxy has the production `RegistryPoller`, `RegistryClient` and `RequestRouter`, so its sessions,
pulls, usage counts and confirmations equal those of a real one. Its cluster view keeps versions and
confirmations and drops the records; its rate limiter generates usage counts. It accepts no clients.
"""

import random
import time
from typing import Any, Final

import gevent
from attrs import define, evolve

from ashlift.config.routing_table import RoutingTable
from ashlift.config.settings import Bindings, Bounds, Settings
from ashlift.errors import Failure
from ashlift.proxy.cluster_view import ClusterView
from ashlift.proxy.configuration_state import CORE_MACHINES, VERSION, ConfigurationState
from ashlift.proxy.pull_messages import SourceUpdate
from ashlift.proxy.registry_client import PullRequest, RegistryClient
from ashlift.proxy.registry_poller import RegistryPoller
from ashlift.proxy.request_router import RequestRouter
from ashlift.proxy.source_state import ClusterChange
from ashlift.rpc import fragmentation
from ashlift.traffic.rate_limiter import RateLimiter, UsageByTenant
from benchmarks.scale.host_messages import NOT_ARRIVED, HostFigures, StartProxies
from benchmarks.scale.tenant_distribution import count_requests_by_tenant

Json = dict[str, Any]
REGISTRY_CONTROL_PORT: Final = 8200
PROXY_PORT: Final = 8206
INTERNAL_PORTS: Final = 16
MAX_COUNTED_SECONDS: Final = 2.0  # requests of longer pauses are not counted
_EMPTY_ROUTING_TABLE: Final = RoutingTable.from_entries({})


class SharedUnpacker:
    """Decompresses the newest update once for all proxies of this process."""

    def __init__(self) -> None:
        self._unpack = fragmentation.decompress_update
        self._newest: dict[bytes, Json] = {}

    def install(self) -> None:
        """Replace decompression in this process by this object."""
        fragmentation.decompress_update = self.unpack

    def unpack(self, message: Json) -> Json:
        """Decompress the update in a message."""
        packed = message["pack"]
        if packed not in self._newest:
            self._newest = {packed: self._unpack(message)}
        return self._newest[packed]


class SimulatedConfiguration(ConfigurationState):
    """Keeps only the version and the core machines.

    `arrived_at`: when each version arrived.
    """

    def __init__(self) -> None:
        super().__init__()
        self.arrived_at: dict[int, float] = {}

    def apply(self, update: SourceUpdate) -> bool:
        """Apply an update; never reports a change of the routing table."""
        if update.version <= self.version:
            return False
        self.version = update.version
        self.arrived_at[self.version] = time.monotonic()
        machines = {
            key.removeprefix(CORE_MACHINES): value
            for key, value in update.entries.items()
            if key.startswith(CORE_MACHINES)
        }
        self.core_machines = machines if update.full else {**self.core_machines, **machines}
        if self.routing_table is None and VERSION in update.entries:
            self.routing_table = _EMPTY_ROUTING_TABLE
        return False


class SimulatedClusterView(ClusterView):
    """Keeps only versions and confirmations; `received_entries` counts the dropped records."""

    def __init__(self) -> None:
        super().__init__()
        self.received_entries = 0
        self.simulated_configuration = SimulatedConfiguration()
        self.configuration = self.simulated_configuration

    def _apply_source(
        self,
        name: str,
        update: SourceUpdate,
        now: float,
        change: ClusterChange,  # noqa: ARG002 - nothing changed for the router
    ) -> None:
        self.received_entries += len(update.entries) + len(update.removed)
        super()._apply_source(name, update._replace(entries={}, removed=()), now, ClusterChange())


@define
class RequestLoad:
    """The request rate of each simulated proxy, shared by all proxies of a process."""

    tenants: int = 1
    requests_per_second: float = 0.0


class SimulatedRateLimiter(RateLimiter):
    """Counts generated requests of a load with randomly drawn tenants."""

    def __init__(self, rng: random.Random, bounds: Bounds, load: RequestLoad) -> None:
        super().__init__(rng, bounds)
        self._load = load
        self._tenant_rng = rng
        self._counted_until = time.monotonic()
        self._uncounted_requests = 0.0

    def take_new_counts(self) -> UsageByTenant:
        """The counts since the last call."""
        now = time.monotonic()
        seconds = min(MAX_COUNTED_SECONDS, now - self._counted_until)
        self._counted_until = now
        self._uncounted_requests += self._load.requests_per_second * seconds
        requests = int(self._uncounted_requests)
        self._uncounted_requests -= requests
        return count_requests_by_tenant(self._load.tenants, requests, self._tenant_rng)


class MeasuredRegistryClient(RegistryClient):
    """Counts pulls, failed pulls and their durations."""

    pulls = 0
    failed_pulls = 0
    waited_seconds = 0.0
    longest_pull_seconds = 0.0

    def handle_response(self, pull: PullRequest, now: float, answer: Json | Failure) -> bool:
        """Count the response and handle it as a real proxy does."""
        seconds = now - pull.sent_at
        self.pulls += 1
        self.failed_pulls += isinstance(answer, Failure)
        self.waited_seconds += seconds
        self.longest_pull_seconds = max(self.longest_pull_seconds, seconds)
        return super().handle_response(pull, now, answer)


class SimulatedProxy:
    """One simulated proxy. `started_at`, `ready_at`: monotonic times, 0 if not yet."""

    def __init__(self, number: int, command: StartProxies, load: RequestLoad) -> None:
        settings = _proxy_settings(number, command)
        incarnation = f"{number:08x}"
        rng = random.Random(number)
        self.router = RequestRouter(settings, rng, time.monotonic())
        self.cluster = SimulatedClusterView()
        self.router.cluster = self.cluster
        self.router.rate_limiter = SimulatedRateLimiter(rng, settings.bounds, load)
        self.started_at = 0.0
        self.ready_at = 0.0
        self.poller = RegistryPoller(settings, self.router, incarnation, rng, self._on_update)
        self.client = MeasuredRegistryClient(settings, self.router, incarnation, rng)
        self.poller._registry_client = self.client

    def start(self) -> None:
        """Start pulling."""
        self.started_at = time.monotonic()
        gevent.spawn(self.poller.run)

    def arrival_time(self, version: int) -> float:
        """When it received this or a later version of the configuration."""
        arrived_at = self.cluster.simulated_configuration.arrived_at
        times = [at for arrived_version, at in arrived_at.items() if arrived_version >= version]
        return min(times, default=NOT_ARRIVED)

    def _on_update(self) -> None:
        now = time.monotonic()
        if not self.ready_at and self.router.is_ready(now):
            self.ready_at = now


class SimulatedProxies:
    """All simulated proxies of this process."""

    def __init__(self) -> None:
        self._proxies: list[SimulatedProxy] = []
        self._load = RequestLoad()

    def start(self, command: StartProxies) -> None:
        """Create all proxies, and start them at the rate of the command."""
        self._load.tenants = command.tenants
        numbers = range(command.first, command.end)
        self._proxies = [SimulatedProxy(number, command, self._load) for number in numbers]
        gevent.spawn(self._start_in_turn, command.starts_per_second)

    def set_request_rate(self, requests_per_second: float) -> None:
        """Change the load of each proxy."""
        self._load.requests_per_second = requests_per_second
        for proxy in self._proxies:
            proxy.client.longest_pull_seconds = 0.0

    def arrival_times(self, version: int) -> list[float]:
        """When each proxy received this or a later version of the configuration."""
        return [proxy.arrival_time(version) for proxy in self._proxies]

    def add_figures(self, figures: HostFigures) -> HostFigures:
        """Add the figures of the proxies."""
        now = time.monotonic()
        clients = [proxy.client for proxy in self._proxies]
        ready_proxies = [proxy for proxy in self._proxies if proxy.ready_at]
        ages = [proxy.cluster.configuration.age(now) for proxy in self._proxies]
        return evolve(
            figures,
            pulls=sum(client.pulls for client in clients),
            failed_pulls=sum(client.failed_pulls for client in clients),
            waited_seconds=sum(client.waited_seconds for client in clients),
            longest_pull_seconds=max((client.longest_pull_seconds for client in clients), default=0.0),
            received_entries=sum(proxy.cluster.received_entries for proxy in self._proxies),
            ready_proxies=sum(proxy.router.is_ready(now) for proxy in self._proxies),
            ready_after_seconds=[proxy.ready_at - proxy.started_at for proxy in ready_proxies],
            confirmation_age_seconds=max(ages, default=0.0),
        )

    def _start_in_turn(self, starts_per_second: float) -> None:
        for proxy in self._proxies:
            proxy.start()
            if starts_per_second:
                gevent.sleep(1 / starts_per_second)


def _proxy_settings(number: int, command: StartProxies) -> Settings:
    zones = sorted(command.regions_by_zone)
    zone = zones[number % len(zones)]
    ip = f"10.200.{number >> 8}.{number & 255}"
    return Settings(
        node_name=f"hollow-{number}",
        ip=ip,
        zones=command.regions_by_zone,
        zone=zone,
        region=command.regions_by_zone[zone],
        internal_ports=(command.low_port, command.low_port + INTERNAL_PORTS - 1),
        seeds=tuple((seed_ip, REGISTRY_CONTROL_PORT) for seed_ip in command.seed_ips),
        bindings=Bindings(front=(ip, PROXY_PORT)),
    )
