"""The registry process of one core machine: wires its components, handles signals and shuts down."""

import os
import time
from typing import Final

import gevent
from gevent import socket
from gevent.event import Event

from ashlift import exit_status, process
from ashlift.config.settings import Settings
from ashlift.config.settings_file import SettingsFile
from ashlift.errors import Failure
from ashlift.events import ERROR, SETTINGS_INVALID, SETTINGS_RELOADED, STARTED, STOPPING, log_event
from ashlift.listeners import log_accept_errors, open_listener
from ashlift.metrics_server import serve_metrics
from ashlift.registry.api.config import ConfigResource
from ashlift.registry.api.evacuation import EvacuationResource
from ashlift.registry.api.instances import InstancesResource
from ashlift.registry.api.lookup import LookupResource
from ashlift.registry.api.members import MembersResource
from ashlift.registry.api.proposals import ProposalsResource
from ashlift.registry.api.request_memory import ApiMemory
from ashlift.registry.api.resource import Resource
from ashlift.registry.api.route_edits import RouteEditService
from ashlift.registry.api.routes import RoutesResource
from ashlift.registry.api.server import LISTEN_BACKLOG, HttpServer
from ashlift.registry.api.status import StatusResource
from ashlift.registry.change_notifier import ChangeNotifier
from ashlift.registry.departure_writer import DepartureWriter
from ashlift.registry.identity import RegistryIdentity
from ashlift.registry.metrics import registry_metrics
from ashlift.registry.registry import Registry
from ashlift.registry.replication_loops import ReplicationLoops
from ashlift.registry.rpc_service import RegistryRpcService
from ashlift.registry.store_client import StoreClient
from ashlift.rpc.client import ClientPool
from ashlift.rpc.server import ACCEPT_BACKLOG, RpcServer, serve

SETTINGS_CHECK_SECONDS: Final = 1.0  # between checks for a changed settings file
SHUTDOWN_FRACTION: Final = 0.9  # of `Grace`, in which accepted requests may finish
SHUTDOWN_CHECK_SECONDS: Final = 0.01
INCARNATION_BYTES: Final = 4


class RegistryProgram:
    """Builds the components from the settings, and runs them until shutdown."""

    def __init__(self, settings_file: SettingsFile, settings: Settings, metrics_port: int | None) -> None:
        self._settings_file = settings_file
        self._settings = settings
        self._metrics_port = metrics_port
        self._shutdown_requested = Event()
        identity = _identity(settings)
        store_port = settings.internal_ports[0]
        self._rpc_address = settings.ip, store_port + 1
        data_directory = settings.data_directory
        has_disk = data_directory is not None
        self._registry = Registry(
            identity,
            self._seeds(),
            settings.zones,
            time.monotonic(),
            has_disk,
            settings.bounds,
            settings.bootstrap,
        )
        self._notifier = ChangeNotifier(lambda: self._registry.change_count)
        clients = ClientPool()
        store = StoreClient(settings.ip, store_port, self._stores_by_distance, clients)
        self._loops = ReplicationLoops(self._registry, store, self._notifier, clients, store_port + 1)
        if data_directory is not None:
            writer = DepartureWriter(self._registry.instances, data_directory, self._notifier)
            self._loops.add(writer.run)
        self._resources = self._new_resources(store)
        self._http_servers: list[HttpServer] = []

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT, or until a loop has failed; returns the exit status."""
        process.on_termination(self._shutdown_requested.set)
        process.on_reload(self._reload_settings)
        log_accept_errors()
        listeners = self._open_listeners()
        if isinstance(listeners, Failure):
            return self._not_listening(listeners)
        rpc_listener, *http_listeners = listeners
        memory = ApiMemory(self._settings.machine_limits)
        rpc_server = serve(
            rpc_listener,
            RegistryRpcService(self._registry, self._notifier).handlers,
            max_connections=memory.max_rpc_connections,
        )
        self._start_http_servers(http_listeners, memory)
        self._loops.start()
        if self._metrics_port is not None:
            serve_metrics((self._settings.ip, self._metrics_port), registry_metrics(self._registry))
        self._loops.failed.rawlink(lambda _: self._shutdown_requested.set())
        log_event(STARTED, source=self._registry.identity.source, seeds=",".join(self._registry.seeds))
        while not self._shutdown_requested.wait(SETTINGS_CHECK_SECONDS):
            if self._settings_file.has_changed():
                self._reload_settings()
        log_event(STOPPING)
        self._shut_down(rpc_server)
        return exit_status.INTERNAL_ERROR if self._loops.failed.is_set() else exit_status.OK

    def _open_listeners(self) -> list[socket.socket] | Failure:
        """The listener for RPC, then those for HTTP."""
        bindings = self._settings.bindings
        http_addresses = {bindings.control, bindings.directory} - {None}
        backlogs = {self._rpc_address: ACCEPT_BACKLOG}
        backlogs |= {address: LISTEN_BACKLOG for address in http_addresses if address}
        listeners = []
        for address, backlog in backlogs.items():
            listener = open_listener(address, backlog, self._shutdown_requested.is_set)
            if isinstance(listener, Failure):
                return listener
            listeners.append(listener)
        return listeners

    def _not_listening(self, failure: Failure) -> int:
        """The exit status without listeners: told to end meanwhile, or an address can never be bound."""
        if self._shutdown_requested.is_set():
            return exit_status.OK
        log_event(SETTINGS_INVALID, level=ERROR, error=failure.detail)
        return exit_status.CANNOT_LISTEN

    def _start_http_servers(self, listeners: list[socket.socket], memory: ApiMemory) -> None:
        self._http_servers = [HttpServer(listener, self._resources, memory) for listener in listeners]
        for http_server in self._http_servers:
            http_server.start()

    def _new_resources(self, store: StoreClient) -> dict[str, Resource]:
        """By the first segment of the path."""
        route_edits = RouteEditService(self._registry, store)
        return {
            "instances": InstancesResource(self._registry, self._notifier.notify_if_changed),
            "config": ConfigResource(store),
            "evacuation": EvacuationResource(store, lambda: self._settings),
            "lookup": LookupResource(self._registry),
            "members": MembersResource(store),
            "proposals": ProposalsResource(route_edits),
            "routes": RoutesResource(route_edits),
            "status": StatusResource(self._registry),
        }

    def _shut_down(self, rpc_server: RpcServer) -> None:
        """Finish the calls in progress, and end the loops."""
        deadline = time.monotonic() + SHUTDOWN_FRACTION * self._settings.bounds.grace
        self._notifier.shut_down()
        rpc_calls = gevent.spawn(rpc_server.shut_down, deadline - time.monotonic())
        for http_server in self._http_servers:
            http_server.shut_down()
        while time.monotonic() < deadline:
            gevent.sleep(SHUTDOWN_CHECK_SECONDS)  # first, so that connections just accepted can start
            for http_server in self._http_servers:
                http_server.close_idle_connections()
            if not any(http_server.has_connections for http_server in self._http_servers):
                break
        rpc_calls.join()
        self._loops.stop()

    def _seeds(self) -> list[str]:
        """IPs of the seeds without duplicates."""
        return list(dict.fromkeys(host for host, _ in self._settings.seeds))

    def _stores_by_distance(self) -> list[str]:
        """IPs of the stores: those with reachable registries first, nearest first."""
        identity = self._registry.identity
        members = self._registry.core_members()
        registries = self._registry.registries_by_distance(identity.zone, identity.region, time.monotonic())
        return [ip for ip in registries if ip in members]

    def _reload_settings(self) -> None:
        settings = self._settings_file.read()
        if isinstance(settings, list):
            log_event(SETTINGS_INVALID, level=ERROR, error="; ".join(map(str, settings)))
            return
        self._settings = settings
        self._registry.seeds = self._seeds()
        self._registry.zones = settings.zones
        log_event(SETTINGS_RELOADED, seeds=",".join(self._registry.seeds))


def _identity(settings: Settings) -> RegistryIdentity:
    http_address = settings.bindings.control or settings.bindings.directory
    assert http_address is not None
    _, http_port = http_address
    return RegistryIdentity(
        node=settings.node_name,
        incarnation=os.urandom(INCARNATION_BYTES).hex(),  # importing `secrets` would load OpenSSL
        ip=settings.ip,
        zone=settings.zone,
        region=settings.region,
        http_port=http_port,
        heartbeat_seconds=settings.heartbeat,
    )
