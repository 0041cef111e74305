"""The proxy process: wires its components, runs its loops, handles signals and shuts down gracefully."""

import os
import random
import time
from collections.abc import Callable
from typing import Final

import gevent
from gevent import socket
from gevent.event import Event

from ashlift import exit_status, process
from ashlift.config.object_schema import ClientLimits
from ashlift.config.routing_table import Tenant
from ashlift.config.settings import Settings
from ashlift.config.settings_file import SettingsFile
from ashlift.errors import Failure
from ashlift.events import (
    CRITICAL,
    ERROR,
    SETTINGS_INVALID,
    SETTINGS_RELOADED,
    STARTED,
    STOPPING,
    UNHANDLED_ERROR,
    WARNING,
    log_event,
)
from ashlift.invariants import Invariant, monitor
from ashlift.listeners import log_accept_errors, open_listener
from ashlift.metrics_server import serve_metrics
from ashlift.proxy import events
from ashlift.proxy.metrics import proxy_metrics
from ashlift.proxy.readiness import LISTEN_BACKLOG as READINESS_BACKLOG
from ashlift.proxy.readiness import serve_readiness
from ashlift.proxy.registry_poller import RegistryPoller
from ashlift.proxy.request_handler import RequestHandler
from ashlift.proxy.request_router import RequestRouter
from ashlift.proxy.server import LISTEN_BACKLOG, ProxyServer
from ashlift.proxy.shutdown import shutdown_schedule
from ashlift.rpc.addresses import Address

SETTINGS_CHECK_SECONDS: Final = 1.0
IDLE_CHECK_SECONDS: Final = 1.0
MAX_LOGGED_NAMES: Final = 5
DRAIN_CHECK_SECONDS: Final = 0.02


class Program:
    """A proxy process. `settings_file` is read again when it changes."""

    def __init__(
        self, settings_file: SettingsFile, settings: Settings, metrics_port: int | None = None
    ) -> None:
        rng = random.Random(os.urandom(8))
        incarnation = os.urandom(4).hex()
        self._settings_file = settings_file
        self.settings = settings
        self._metrics_port = metrics_port
        self.router = RequestRouter(settings, rng, time.monotonic())
        self.request_handler = RequestHandler(self.router)
        self.proxy_server = ProxyServer(self.request_handler, self._limits)
        self.registry_poller = RegistryPoller(
            settings, self.router, incarnation, rng, self._configuration_changed
        )
        self._ready = False
        self._checked_max_body_bytes: int | None = None
        self._known_tenants: dict[str, Tenant] | None = None
        self._stop = Event()
        self._reload = Event()
        self.invariant_violated = False

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT; the process's exit status."""
        client_address = self.settings.bindings.front
        readiness_address = self.settings.bindings.readiness
        if client_address is None or readiness_address is None:
            log_event(SETTINGS_INVALID, level=ERROR, error="Bindings: Front and Readiness are needed")
            return exit_status.INVALID_SETTINGS
        process.on_termination(self._stop.set)
        process.on_reload(self._reload.set)
        log_accept_errors()
        listeners = self._open_listeners(readiness_address, client_address)
        if isinstance(listeners, Failure):
            return self._not_listening(listeners)
        readiness_listener, client_listener = listeners
        serve_readiness(readiness_listener, lambda: self.router.is_ready(time.monotonic()))
        self.proxy_server.listen(client_listener)
        if self._metrics_port is not None:
            serve_metrics((self.settings.ip, self._metrics_port), proxy_metrics(self.request_handler))
        for loop in (self.registry_poller.run, self._close_idle_connections, self._watch_settings):
            self._spawn(loop)
        log_event(STARTED, zone=self.settings.zone)
        self._stop.wait()
        return self._shut_down()

    def _open_listeners(
        self, readiness_address: Address, client_address: Address
    ) -> tuple[socket.socket, socket.socket] | Failure:
        readiness_listener = open_listener(readiness_address, READINESS_BACKLOG, self._stop.is_set)
        if isinstance(readiness_listener, Failure):
            return readiness_listener
        client_listener = open_listener(client_address, LISTEN_BACKLOG, self._stop.is_set)
        if isinstance(client_listener, Failure):
            return client_listener
        return readiness_listener, client_listener

    def _not_listening(self, failure: Failure) -> int:
        """The exit status without listeners: told to end meanwhile, or an address can never be bound."""
        if self._stop.is_set():
            return exit_status.OK
        log_event(SETTINGS_INVALID, level=ERROR, error=failure.detail)
        return exit_status.CANNOT_LISTEN

    def _shut_down(self) -> int:
        """Shut down gracefully: report as not ready, stop accepting, exit when all requests have ended.

        Exits near the end of `Grace` even if requests are still open.
        """
        started_at = time.monotonic()
        schedule = shutdown_schedule(started_at, self.settings.bounds.grace)
        self.router.draining = True
        self.proxy_server.draining = True
        log_event(STOPPING, in_flight=self.request_handler.in_flight)
        gevent.sleep(schedule.accept_until - started_at)
        self.request_handler.serve_until = schedule.serve_until
        self.proxy_server.stop_accepting()
        self._serve_until(schedule.serve_until)
        self.request_handler.end_open_requests()
        self.proxy_server.refuse_partial_requests()
        self._serve_until(schedule.exit_at)
        self._log_stopped(started_at, time.monotonic() >= schedule.serve_until)
        return exit_status.INTERNAL_ERROR if self.invariant_violated else exit_status.OK

    def _serve_until(self, deadline: float) -> None:
        """Serve open connections until `deadline`, or until there are none left."""
        while time.monotonic() < deadline:
            gevent.sleep(DRAIN_CHECK_SECONDS)  # first, so that connections just accepted are registered
            self.proxy_server.close_idle_connections()
            if not self.proxy_server.connections:
                return

    def _log_stopped(self, started_at: float, is_grace_over: bool) -> None:
        open_requests = self.request_handler.request_counters.open_requests
        log_event(
            events.STOPPED,
            seconds=round(time.monotonic() - started_at, 3),
            connections=len(self.proxy_server.connections),
            open_requests=open_requests,
        )
        monitor.check(
            is_grace_over or not open_requests, Invariant.REQUEST_ANSWERED, open_requests=open_requests
        )

    # ---- configuration

    def _limits(self) -> ClientLimits:
        table = self.router.cluster.configuration.routing_table
        return table.limits if table is not None else ClientLimits()

    def _configuration_changed(self) -> None:
        """Called after each applied response of a registry."""
        self.request_handler.configuration_changed()
        self._log_tenant_changes()
        self._check_max_body_bytes()
        ready = self.router.is_ready(time.monotonic())
        if ready != self._ready:
            self._ready = ready
            index = self.router.cluster.configuration.version
            log_event(events.READY if ready else events.NOT_READY, index=index)

    def _check_max_body_bytes(self) -> None:
        """Log once for each value of `MaxBodyBytes` that this machine's memory cannot hold."""
        max_body_bytes = self._limits().max_body_bytes
        if max_body_bytes == self._checked_max_body_bytes:
            return
        self._checked_max_body_bytes = max_body_bytes
        capacity_bytes = self.request_handler.memory.requests.large.capacity_bytes
        if max_body_bytes > capacity_bytes:
            log_event(
                events.BODIES_TOO_LARGE,
                level=WARNING,
                max_body_bytes=max_body_bytes,
                capacity_bytes=capacity_bytes,
            )

    def _log_tenant_changes(self) -> None:
        """Log the names of tenants that were added, changed or removed."""
        configuration = self.router.cluster.configuration
        table = configuration.routing_table
        before = self._known_tenants
        if table is None or table.tenants is before:
            return
        tenants = self._known_tenants = table.tenants
        if before is None or tenants == before:
            return
        changed = sorted(name for name, tenant in tenants.items() if before.get(name) != tenant)
        removed = sorted(before.keys() - tenants.keys())
        log_event(
            events.TENANTS_CHANGED,
            version=f"{table.version:08x}",
            index=configuration.version,
            changed=_abbreviated(changed),
            removed=_abbreviated(removed),
        )

    # ---- loops

    def _spawn(self, loop: Callable[[], None]) -> "gevent.Greenlet[[], None]":
        """Run a loop in a greenlet. If it fails, the process exits, as its state would become stale."""

        def failed(greenlet: "gevent.Greenlet[[], None]") -> None:
            log_event(UNHANDLED_ERROR, level=CRITICAL, error=repr(greenlet.exception))
            self.invariant_violated = True
            self._stop.set()

        greenlet = gevent.spawn(loop)
        greenlet.link_exception(failed)
        return greenlet

    def _close_idle_connections(self) -> None:
        while True:
            gevent.sleep(IDLE_CHECK_SECONDS)
            self.request_handler.connection_pool.close_expired(set(self.router.load_balancer.workers))

    def _watch_settings(self) -> None:
        """Read the settings again after SIGHUP or a change of the file."""
        while True:
            if self._reload.wait(SETTINGS_CHECK_SECONDS) or self._settings_file.has_changed():
                self._reload.clear()
                self._read_settings()

    def _read_settings(self) -> None:
        """Read the settings again. Only the seeds can change while the process runs."""
        settings = self._settings_file.read()
        if isinstance(settings, list):
            for failure in settings:
                log_event(SETTINGS_INVALID, level=ERROR, error=failure.detail)
            return
        self.registry_poller.seeds = [host for host, _ in settings.seeds]
        log_event(SETTINGS_RELOADED, seeds=",".join(self.registry_poller.seeds))


def _abbreviated(names: list[str]) -> str:
    listed = ",".join(names[:MAX_LOGGED_NAMES])
    more = len(names) - MAX_LOGGED_NAMES
    return f"{listed},and {more} more" if more > 0 else listed
