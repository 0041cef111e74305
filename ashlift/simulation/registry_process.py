"""The registry as a simulated process: runs the real registry with the loops and handlers of its program."""

from collections.abc import Callable
from typing import Any, Final

from ashlift.config.operator_config import export_configuration
from ashlift.errors import Failure, FailureReason
from ashlift.registry import codec
from ashlift.registry.api.evacuation import MAX_REQUEST_AGE_SECONDS
from ashlift.registry.departure_storage import STORAGE_NAME, decode_departures, encode_departures
from ashlift.registry.departure_writer import (
    IDLE_CHECK_SECONDS,
    RESTORE_DELAY_SECONDS,
    RETRY_SECONDS,
)
from ashlift.registry.identity import RegistryIdentity
from ashlift.registry.locality import Locality
from ashlift.registry.pacing import (
    BATCHING_DELAY_SECONDS,
    INITIAL_BACKOFF_SECONDS,
    LEAVE_CONFIRMATION_POLL_SECONDS,
    LEAVE_CONFIRMATION_SECONDS,
    LONG_POLL_SECONDS,
    MIN_LONG_POLL_SECONDS,
    next_backoff,
    pull_deadline,
)
from ashlift.registry.records import WorkerState
from ashlift.registry.registry import Registry
from ashlift.registry.replication_loops import (
    LOCAL_STORE_WATCH_SECONDS,
    RESPONSE_TIMEOUT_SECONDS,
    TICK_INTERVAL_SECONDS,
)
from ashlift.registry.store_client import WATCH_GRACE_SECONDS
from ashlift.registry.worker_instances import HeartbeatOutcome
from ashlift.simulation import configstore_process
from ashlift.simulation.configstore_process import DISK_WRITE_SECONDS, HANGING_DISK_POLL_SECONDS
from ashlift.simulation.event_loop import EventLoop
from ashlift.simulation.history import HOST
from ashlift.simulation.network import SimulatedNetwork
from ashlift.simulation.process import Condition, Machine, Process, Task
from ashlift.simulation.registry_methods import RegistryMethod
from ashlift.simulation.route_edit_service import RouteEditService
from ashlift.simulation.simulated_store_client import SimulatedStoreClient

KIND: Final = "registry"
CONTROL_PORT: Final = 8200
REDIRECT_STATUS: Final = 307


class RegistryProcess(Process):
    """A registry on a core machine."""

    net: SimulatedNetwork

    def __init__(
        self,
        loop: EventLoop,
        net: SimulatedNetwork,
        machine: Machine,
        seeds: Callable[[], list[str]],
        zones: dict[str, str],
        heartbeat_interval: float,
    ) -> None:
        """`seeds`: read at each start; `zones`: the region of each zone."""
        super().__init__(loop, net, machine, KIND)
        self.seeds = seeds
        self.zones = zones
        self.heartbeat_interval = heartbeat_interval
        self._has_started = False
        self.handlers = {
            "pull": self._handle_pull,
            "swap": self._handle_swap,
            RegistryMethod.HEARTBEAT: self._handle_heartbeat,
            RegistryMethod.DEREGISTER: self._handle_deregister,
            RegistryMethod.LOOKUP: self._handle_lookup,
            RegistryMethod.OPERATOR_COMMAND: self._handle_command,
            RegistryMethod.READ_CONFIG: self._handle_read_config,
            RegistryMethod.EDIT_ROUTE: lambda request: self._route_edits.edit(request),
            RegistryMethod.DECIDE_EDIT: lambda request: self._route_edits.decide(request),
        }

    def on_start(self) -> None:
        """Start with an empty registry, and replicate from stores and peer registries."""
        machine = self.machine
        identity = RegistryIdentity(
            machine.name,
            f"{self.loop.rng.getrandbits(32):08x}",
            machine.name,
            machine.zone,
            machine.region,
            CONTROL_PORT,
            self.heartbeat_interval,
        )
        self.registry = Registry(
            identity,
            self.seeds(),
            self.zones,
            self.clock(),
            has_disk=True,
            is_first_start=not self._has_started,
        )
        self._has_started = True
        self._changed = Condition(self)
        self._notified_count = 0
        self._swapping_with: set[str] = set()
        self._store_client = SimulatedStoreClient(self, self.registry)
        self._route_edits = RouteEditService(self, self.registry, self._store_client)
        self.spawn(self._watch_stores())
        self.spawn(self._tick())
        self.spawn(self._keep_departures())

    def notify_waiting(self) -> None:
        """Wake the waiting handlers if the registry has changed."""
        if self._notified_count != self.registry.change_count:
            self._notified_count = self.registry.change_count
            self._changed.notify_all()

    # ---- RPC calls, as `ashlift.registry.rpc_service` handles them
    def _handle_pull(self, body: Any) -> Task:
        started = self.clock()
        registry = self.registry
        request = codec.decode_pull_request(body)
        if isinstance(request, Failure):
            return request
        registry.sessions.begin_pull(request, started)
        self.notify_waiting()
        deadline = pull_deadline(started, request.wait_seconds, MIN_LONG_POLL_SECONDS)
        while not registry.has_updates_for(request.versions) and self.clock() < deadline:
            yield self._changed.wait(deadline - self.clock())
        if request.versions and registry.has_updates_for(request.versions) and not request.fragment:
            yield BATCHING_DELAY_SECONDS
        registry.sessions.end_pull(request.node)
        response = registry.pull_response(request, started, self.clock())
        return codec.encode_pull_response(response, self.clock())

    def _handle_swap(self, body: Any) -> Task:
        started = self.clock()
        registry = self.registry
        request = codec.decode_swap_request(body)
        if isinstance(request, Failure):
            return request
        registry.receive_swap_request(request, started)
        deadline = started + LONG_POLL_SECONDS
        while not registry.has_updates_for_peer(request) and self.clock() < deadline:
            yield self._changed.wait(deadline - self.clock())
        response = registry.swap_response(request, started, self.clock())
        return codec.encode_swap_response(response, self.clock())

    # ---- loops, as `ashlift.registry.replication_loops` runs them
    def _tick(self) -> Task:
        while True:
            self.registry.tick(self.clock())
            self.notify_waiting()
            peers = self.registry.peer_ips(self.clock())
            for ip in sorted(peers - self._swapping_with):
                self._swapping_with.add(ip)
                self.spawn(self._swap_with(ip))
            for ip in self._swapping_with - peers:
                self.net.close_connection(self, ip, KIND)
            self._swapping_with &= peers
            yield TICK_INTERVAL_SECONDS

    def _keep_departures(self) -> Task:
        """Restore the departures from the machine's disk and write each change, as `DepartureWriter` does."""
        machine = self.machine
        departures = self.registry.instances.departures
        deadline = self.clock() + RESTORE_DELAY_SECONDS
        while self.clock() < deadline and not departures.must_be_written(self.clock()):
            yield self._changed.wait(deadline - self.clock())
        while machine.disk_hangs:
            yield HANGING_DISK_POLL_SECONDS
        stored = decode_departures(machine.disk.get(STORAGE_NAME, {}), self.clock())
        instances = self.registry.instances
        if not isinstance(stored, Failure):
            instances.restore_departures(stored, self.clock())
            self.notify_waiting()
        while True:
            if not departures.must_be_written(self.clock()):
                yield self._changed.wait(IDLE_CHECK_SECONDS)
                continue
            written = departures.to_write()
            yield self.loop.rng.uniform(*DISK_WRITE_SECONDS) + machine.disk_delay
            while machine.disk_hangs:
                yield HANGING_DISK_POLL_SECONDS
            if machine.disk_fails:
                yield RETRY_SECONDS
                continue
            machine.disk[STORAGE_NAME] = encode_departures(written, self.clock())
            departures.record_written(written, self.clock())
            self.notify_waiting()

    def _swap_with(self, ip: str) -> Task:
        registry = self.registry
        is_first = True
        backoff = INITIAL_BACKOFF_SECONDS
        while ip in self._swapping_with:
            sent = self.clock()
            body = codec.encode_swap_request(registry.peers.swap_request(ip, is_first))
            timeout = LONG_POLL_SECONDS + RESPONSE_TIMEOUT_SECONDS
            response = yield self.call(ip, KIND, "swap", body, timeout)
            if ip not in self._swapping_with:
                return
            if not isinstance(response, Failure):
                response = codec.decode_swap_response(response, self.clock())
            if isinstance(response, Failure):
                if response.reason == FailureReason.OUTCOME_UNKNOWN:
                    self.net.close_connection(self, ip, KIND)
                is_first = True
                yield backoff
                backoff = next_backoff(backoff)
                continue
            is_first = False
            backoff = INITIAL_BACKOFF_SECONDS
            registry.receive_swap_response(ip, response, sent)
            self.notify_waiting()
            yield BATCHING_DELAY_SECONDS

    def _watch_stores(self) -> Task:
        """Watch the local store, alternating with another store while the local one has no news."""
        config = self.registry.operator_config
        watches_local = True
        while True:
            sent = self.clock()
            wait = LOCAL_STORE_WATCH_SECONDS if watches_local else LONG_POLL_SECONDS
            ip = self.name if watches_local else self._store_client.next_remote_store()
            body = codec.encode_watch_request(config.version, wait, config.wanted_fragment())
            response: Any = Failure(FailureReason.UNREACHABLE, "there is no other store")
            if ip is not None:
                response = yield self.call(
                    ip, configstore_process.KIND, "watch", body, wait + WATCH_GRACE_SECONDS
                )
            now = self.clock()
            is_fresh = False
            failed = isinstance(response, Failure)
            if watches_local:
                timed_out = failed and response.reason == FailureReason.OUTCOME_UNKNOWN
                self._store_client.local_store_hangs = timed_out
            self._store_client.observe(response)
            if not failed:
                is_fresh = config.receive_watch_response(response, sent)
                self.notify_waiting()
            watches_local = is_fresh or not watches_local
            if not is_fresh:
                yield max(0.0, sent + INITIAL_BACKOFF_SECONDS - now)

    # ---- HTTP requests, as `ashlift.registry.api` handles them; handlers return a status and a value
    def _handle_heartbeat(self, body: tuple[str, dict[str, Any]]) -> Any:
        worker_id, fields = body
        now = self.clock()
        worker = codec.decode_worker(fields, now)
        outcome = self.registry.record_heartbeat(worker_id, worker, self.earliest_send_time, now)
        self.notify_waiting()
        if outcome is not HeartbeatOutcome.RECORDED or self.registry.is_isolated(now):
            return 503, None
        target = self.registry.heartbeat_target(worker.zone, now)
        if worker.state is WorkerState.DRAINING:
            return self._acknowledge_departure(worker_id, now, target)
        return 200, target

    def _handle_deregister(self, worker_id: str) -> Any:
        now = self.clock()
        self.registry.instances.deregister(worker_id, now)
        self.notify_waiting()
        return self._acknowledge_departure(worker_id, now, None)

    def _acknowledge_departure(self, worker_id: str, recorded_at: float, target: str | None) -> Task:
        while not self.registry.is_departure_confirmed(worker_id, recorded_at):
            if self.clock() >= recorded_at + LEAVE_CONFIRMATION_SECONDS:
                return 503, None
            yield LEAVE_CONFIRMATION_POLL_SECONDS
        return 200, target

    def _handle_lookup(self, locality: tuple[str, str]) -> Any:
        response = self.registry.lookup(HOST, Locality(*locality), self.clock())
        return (503, None) if isinstance(response, Failure) else (200, response.addresses)

    def _handle_command(self, command: dict[str, Any]) -> Task:
        sent_since = self.earliest_send_time if command["kind"] in ("evacuate", "restore") else None
        if sent_since is not None and self.clock() - sent_since > MAX_REQUEST_AGE_SECONDS:
            return REDIRECT_STATUS, None
        response = yield from self._store_client.submit(command, sent_since)
        if not isinstance(response, Failure):
            return response["status"], response.get("reason")
        if sent_since is not None and response.reason == FailureReason.EXPIRED:
            return REDIRECT_STATUS, None
        return 503, response.reason

    def _handle_read_config(self, _: Any) -> Task:
        response = yield from self._store_client.read()
        if isinstance(response, Failure):
            return 503, response.reason
        entries = response["objects"]
        if not entries.get("Version"):
            return 404, ({}, entries)
        return 200, (export_configuration(entries), entries)
