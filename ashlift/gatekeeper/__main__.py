"""The gatekeeper process: construction, signals and shutdown. `python -m ashlift.gatekeeper`."""

import gc
import logging
import signal
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from ashlift.gatekeeper import logs
from ashlift.gatekeeper.admission.control import Gateway
from ashlift.gatekeeper.admission.interface import ProcessCountChanged
from ashlift.gatekeeper.clock import UnixClock
from ashlift.gatekeeper.config import Config, ConfigError, FeatureSettingsError, load, reload_config
from ashlift.gatekeeper.jobs import Clock, Counter, ManualDrainsChanged
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.net.counter import TextCounter
from ashlift.gatekeeper.net.front import Front
from ashlift.gatekeeper.net.machine_list import MachineList
from ashlift.gatekeeper.net.nodes import Limits, NodePool
from ashlift.gatekeeper.operations.admin_handler import AdminHandler
from ashlift.gatekeeper.operations.admin_server import AdminServer
from ashlift.gatekeeper.operations.lifecycle import Lifecycle
from ashlift.gatekeeper.operations.maintenance_file import MaintenanceFile
from ashlift.gatekeeper.operations.process_count import LivenessFiles
from ashlift.gatekeeper.owner import Owner

if TYPE_CHECKING:
    from ashlift.gatekeeper.ratelimit.server import RateLimitService
    from ashlift.gatekeeper.streams.stream import StreamRegistry

log = logging.getLogger("ashlift")
GRACE_PERIOD_S = 0.7  # after SIGTERM, for which clients still send new requests
DRAIN_TIMEOUT_S = 3.2  # after the grace period, for open requests; as long as the longest deadline
ABORT_TIMEOUT_S = 0.3  # after the drain, for aborted streams


class Gatekeeper:
    """Constructs the parts of a gatekeeper, starts and stops them."""

    def __init__(self, config: Config, clock: Clock | None = None) -> None:
        self.config, self.metrics, self.clock = config, Metrics(), clock or UnixClock()
        class_numbers = config.request_schema.classes
        classes = tuple(name.decode() for name in sorted(class_numbers, key=lambda name: class_numbers[name]))
        self.owner = Owner(Gateway(config.settings, config.seed), self.clock, self.metrics, classes)
        inbox = self.owner.inbox
        self.machines = MachineList(config.discovery, config.zones, inbox, self.metrics)
        self.stream_registry = self._create_stream_registry()
        self.nodes = NodePool(
            self.machines,
            Limits(config.connect_timeout_ms, config.idle_timeout_ms, config.max_node_connections),
            self.clock,
            inbox,
            self.metrics,
            self.stream_registry,
            config.response_buffer_bytes,
        )
        self.counter: TextCounter | None = None
        self.ratelimit: RateLimitService | None = None
        port: Counter | None = None
        rate_limit_server = config.features.ratelimit.server
        rate_limit_client = config.features.ratelimit.client
        # Loaded only if enabled: gRPC takes 20 MB and starts threads.
        if rate_limit_server.listen or rate_limit_client.address:
            from ashlift.gatekeeper.ratelimit.bridge import Bridge

            bridge = Bridge()
        if rate_limit_server.listen:
            from ashlift.gatekeeper.ratelimit import server

            self.ratelimit = server.RateLimitService(
                rate_limit_server.domain, config.request_schema, bridge, self.clock, inbox, self.metrics
            )
        if rate_limit_client.address and config.settings.counter_enabled:
            from ashlift.gatekeeper.ratelimit.client import GrpcCounter

            port = GrpcCounter(
                rate_limit_client.address,
                rate_limit_client.domain,
                config.settings.counter_timeout_ms,
                bridge,
                self.clock,
                inbox,
                self.metrics,
            )
        elif config.counter is not None:
            port = self.counter = TextCounter(
                config.counter, config.settings.counter_timeout_ms, self.clock, inbox, self.metrics
            )
        self.lifecycle = Lifecycle()
        self.front = Front(
            config.request_schema,
            config.max_client_connections,
            config.max_idle_connections,
            lambda: self.lifecycle.up(self.machines.has_machines()),
            self.clock,
            inbox,
            self.metrics,
            self.stream_registry,
        )
        # The management interface, if configured. Manual drains are stored in a file in TMPDIR.
        self.admin_server = AdminServer(inbox, self.metrics) if config.admin_address is not None else None
        folder = Path(tempfile.gettempdir())
        self.maintenance_file = MaintenanceFile(folder / f"ashlift-{config.name}.handouts.json", config.name)
        # With an inherited socket, a successor may run at the same time: the processes split the ceilings.
        self.liveness_files = LivenessFiles(folder, config.name) if config.inherited_fd is not None else None
        self.operator = AdminHandler(
            config.name,
            classes,
            self.lifecycle,
            self.machines,
            self.maintenance_file if self.admin_server is not None else None,
            self.front.standby,
            lambda: dict(self.metrics.counts),
        )
        self.owner.connect(self.nodes, port, self.operator)
        self._running: list[gevent.Greenlet[..., None]] = []
        self.ratelimit_port = 0
        self.door_address: tuple[str, int] | None = None
        self._listener: gevent.socket.socket | None = None
        self._admin_listener: gevent.socket.socket | None = None

    def _create_stream_registry(self) -> "StreamRegistry | None":
        """Create the registry of streams if streaming is enabled; else its modules are not loaded."""
        streaming = self.config.features.streaming
        if not streaming.enabled:
            return None
        from ashlift.gatekeeper.streams.stream import StreamRegistry

        stream_registry = StreamRegistry(streaming, self.config.request_schema.classes)
        for name in stream_registry.unknown_classes:
            logs.log_event(
                log,
                logging.WARNING,
                "streaming.class_unknown",
                name=name,
                what="not among the platform's classes: nothing of it is streamed",
            )
        return stream_registry

    def start(self) -> tuple[str, int]:
        """Start listening and all greenlets; returns the address, which has the port chosen for port 0."""
        if self.admin_server is not None:  # manual drains made by earlier processes
            self.machines.replace_maintenance(self.maintenance_file.load(), self.clock.now())
        if self.config.known_machines.get("instances"):
            self.machines.apply_update(self.config.known_machines | {"reset": True})
        self._listener = self.front.listen(self.config.listen, self.config.inherited_fd)
        if self.admin_server is not None and self.config.admin_address is not None:
            self._admin_listener = self.admin_server.listen(self.config.admin_address)
            self.door_address = self._admin_listener.getsockname()
        parts = [part for part in (self.owner, self.machines, self.nodes, self.counter) if part is not None]
        self._running = [gevent.spawn(part.run) for part in parts]
        self._running.append(gevent.spawn(self.front.run, self._listener))
        if self.liveness_files is not None:
            inbox_put = self.owner.inbox.put
            self._running.append(
                gevent.spawn(self.liveness_files.run, lambda count: inbox_put(ProcessCountChanged(count)))
            )
        if self.admin_server is not None and self._admin_listener is not None:
            self._running.append(gevent.spawn(self.admin_server.run, self._admin_listener))
            inbox_put = self.owner.inbox.put
            self._running.append(
                gevent.spawn(self.maintenance_file.run, lambda out: inbox_put(ManualDrainsChanged(out)))
            )
        if self.ratelimit is not None:
            self.ratelimit_port = self.ratelimit.listen(self.config.features.ratelimit.server.listen)
        host, port = self._listener.getsockname()
        log.info("%s listens on %s:%d", self.config.name, host, port)
        return host, port

    def reload(self) -> None:
        """Reload the addresses of discovery and of the counter from the settings file.

        Jobs, quotas and the machine list are kept. If the file is invalid, all settings are kept.
        """
        try:
            config = reload_config()
        except ConfigError as error:
            self.metrics.add("reloads.refused")
            log.error("reload: %s; keeping the current settings", error)
            return
        self.metrics.add("reloads")
        self.machines.change_address(config.discovery)
        if self.counter is not None and config.counter is not None:
            self.counter.change_address(config.counter)
        log.info("reload: discovery %s:%d, counter %s", *config.discovery, config.counter)

    def stop(self, grace_s: float = GRACE_PERIOD_S) -> None:
        """Serve new requests for the grace period, answer those that are open, and stop."""
        self.lifecycle.stopping()
        gevent.sleep(grace_s)
        if self._listener is not None:
            if self.config.inherited_fd is None:  # else the successor accepts them
                self.front.accept_backlog(self._listener)
            self._listener.close()
        self.front.close()
        end = self.clock.now() + 1000 * DRAIN_TIMEOUT_S
        if self.ratelimit is not None:
            self.ratelimit.close(DRAIN_TIMEOUT_S)
        while (self.front.open_count or self.owner.unanswered) and self.clock.now() < end:
            self.front.close_idle()
            gevent.sleep(0.02)
        self.front.abort_streams()
        end = self.clock.now() + 1000 * ABORT_TIMEOUT_S
        while self.front.open_count and self.clock.now() < end:
            gevent.sleep(0.02)
        gevent.killall(self._running)
        if self._admin_listener is not None:
            self._admin_listener.close()
        if self.liveness_files is not None:
            self.liveness_files.remove()
        self.owner.close()


def main() -> int:
    """Run a gatekeeper until it is told to stop; returns the exit status."""
    try:
        config = load()
    except ConfigError as error:
        print(error if isinstance(error, FeatureSettingsError) else f"ashlift: {error}", file=sys.stderr)
        return 2
    logs.configure(config.features.logging)
    gatekeeper = Gatekeeper(config)
    gc.collect()
    gc.freeze()  # excludes what is loaded so far from garbage collections
    stop_requested = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_requested.set)
    gevent.signal_handler(signal.SIGHUP, gatekeeper.reload)
    gevent.signal_handler(signal.SIGUSR1, gatekeeper.metrics.dump, "SIGUSR1")
    try:
        gatekeeper.start()
    except (OSError, RuntimeError) as error:  # gRPC raises the latter
        setting = f"GW_INHERITED_FD {config.inherited_fd}" if config.inherited_fd is not None else "GW_LISTEN"
        print(f"ashlift: cannot listen: {setting}: {error}", file=sys.stderr)
        return 1
    stop_requested.wait()
    gatekeeper.stop()
    gatekeeper.metrics.dump("exit")
    return 0


def run() -> int:
    """Run the command line if there are arguments, else the daemon. Returns the exit status."""
    if len(sys.argv) > 1:
        from ashlift.gatekeeper.cli import ashlift  # loads click, which the daemon does not need

        ashlift(prog_name="ashlift")
    return main()


if __name__ == "__main__":
    sys.exit(run())
