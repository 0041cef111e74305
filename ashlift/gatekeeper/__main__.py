"""The real gatekeeper: wiring, signals and the end. `python -m ashlift.gatekeeper`."""

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
from ashlift.gatekeeper.jobs import Clock, Counter, HandsWritten
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
    from ashlift.gatekeeper.streams.passage import Desk

log = logging.getLogger("ashlift")
GRACE_S = 0.7  # after SIGTERM new connections and requests keep coming for about so long
CUT_S = 0.3  # and streams that are cut then have so long to end
DRAIN_S = 3.2  # then what is taken is answered, for as long as the longest deadline lasts


class Gatekeeper:
    """The parts of one gatekeeper, put together."""

    def __init__(self, config: Config, clock: Clock | None = None) -> None:
        self.config, self.metrics, self.clock = config, Metrics(), clock or UnixClock()
        numbered = config.request_schema.classes
        classes = tuple(name.decode() for name in sorted(numbered, key=lambda name: numbered[name]))
        self.owner = Owner(Gateway(config.settings, config.seed), self.clock, self.metrics, classes)
        inbox = self.owner.inbox
        self.machines = MachineList(config.discovery, config.zones, inbox, self.metrics)
        self.desk = self._new_desk()
        self.nodes = NodePool(
            self.machines,
            Limits(config.connect_timeout_ms, config.idle_timeout_ms, config.max_node_connections),
            self.clock,
            inbox,
            self.metrics,
            self.desk,
            config.response_buffer_bytes,
        )
        self.counter: TextCounter | None = None
        self.ratelimit: RateLimitService | None = None
        port: Counter | None = None
        serving, asking = config.features.ratelimit.server, config.features.ratelimit.client
        if serving.listen or asking.address:  # loaded only when on: gRPC takes 20 MB and threads of its own
            from ashlift.gatekeeper.ratelimit.bridge import Bridge

            bridge = Bridge()
        if serving.listen:
            from ashlift.gatekeeper.ratelimit import server

            self.ratelimit = server.RateLimitService(
                serving.domain, config.request_schema, bridge, self.clock, inbox, self.metrics
            )
        if asking.address and config.settings.counter_enabled:
            from ashlift.gatekeeper.ratelimit.client import GrpcCounter

            port = GrpcCounter(
                asking.address,
                asking.domain,
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
        self.life = Lifecycle()
        self.front = Front(
            config.request_schema,
            config.max_client_connections,
            config.max_idle_connections,
            lambda: self.life.up(self.machines.listed()),
            self.clock,
            inbox,
            self.metrics,
            self.desk,
        )
        # The operators' door, where the configuration names one; what is out by hand passes through TMPDIR.
        self.door = AdminServer(inbox, self.metrics) if config.admin_address is not None else None
        folder = Path(tempfile.gettempdir())
        self.hands = MaintenanceFile(folder / f"ashlift-{config.name}.handouts.json", config.name)
        # Where the socket is inherited a successor may run beside this process: they split the ceilings.
        self.marks = LivenessFiles(folder, config.name) if config.inherited_fd is not None else None
        self.operator = AdminHandler(
            config.name,
            classes,
            self.life,
            self.machines,
            self.hands if self.door is not None else None,
            self.front.standby,
            lambda: dict(self.metrics.counts),
        )
        self.owner.connect(self.nodes, port, self.operator)
        self._running: list[gevent.Greenlet[..., None]] = []
        self.ratelimit_port = 0
        self.door_address: tuple[str, int] | None = None
        self._listener: gevent.socket.socket | None = None
        self._door: gevent.socket.socket | None = None

    def _new_desk(self) -> "Desk | None":
        """Where streams get their places, if the settings turn them on: nothing is loaded for them else."""
        streaming = self.config.features.streaming
        if not streaming.enabled:
            return None
        from ashlift.gatekeeper.streams.passage import Desk

        desk = Desk(streaming, self.config.request_schema.classes)
        for name in desk.unknown:
            logs.log_event(
                log,
                logging.WARNING,
                "streaming.class_unknown",
                name=name,
                what="not among the platform's classes: nothing of it is streamed",
            )
        return desk

    def start(self) -> tuple[str, int]:
        """Listen and run; the address is told for where the port was left open."""
        if self.door is not None:  # what a process before this one took out stays out
            self.machines.adopt(self.hands.load(), self.clock.now())
        if self.config.known_machines.get("instances"):
            self.machines.take(self.config.known_machines | {"reset": True})
        self._listener = self.front.listen(self.config.listen, self.config.inherited_fd)
        if self.door is not None and self.config.admin_address is not None:
            self._door = self.door.listen(self.config.admin_address)
            self.door_address = self._door.getsockname()
        parts = [part for part in (self.owner, self.machines, self.nodes, self.counter) if part is not None]
        self._running = [gevent.spawn(part.run) for part in parts]
        self._running.append(gevent.spawn(self.front.run, self._listener))
        if self.marks is not None:
            share = self.owner.inbox.put
            self._running.append(
                gevent.spawn(self.marks.run, lambda parts: share(ProcessCountChanged(parts)))
            )
        if self.door is not None and self._door is not None:
            self._running.append(gevent.spawn(self.door.run, self._door))
            told = self.owner.inbox.put
            self._running.append(gevent.spawn(self.hands.run, lambda out: told(HandsWritten(out))))
        if self.ratelimit is not None:
            self.ratelimit_port = self.ratelimit.listen(self.config.features.ratelimit.server.listen)
        host, port = self._listener.getsockname()
        log.info("%s listens on %s:%d", self.config.name, host, port)
        return host, port

    def reload(self) -> None:
        """Take the addresses of discovery and counter from the file anew. Jobs, quotas and the machine list
        stay; so do all settings where the file cannot be right."""
        try:
            config = reload_config()
        except ConfigError as error:
            self.metrics.add("reloads.refused")
            log.error("reload: %s; the settings stay", error)
            return
        self.metrics.add("reloads")
        self.machines.move(config.discovery)
        if self.counter is not None and config.counter is not None:
            self.counter.move(config.counter)
        log.info("reload: discovery %s:%d, counter %s", *config.discovery, config.counter)

    def stop(self, grace_s: float = GRACE_S) -> None:
        """Go on for the grace, for clients hear late of a restart; answer what is taken; then end."""
        self.life.stopping()
        gevent.sleep(grace_s)
        if self._listener is not None:
            if self.config.inherited_fd is None:  # else whoever shares the socket accepts them
                self.front.accept_backlog(self._listener)
            self._listener.close()
        self.front.close()
        end = self.clock.now() + 1000 * DRAIN_S
        if self.ratelimit is not None:
            self.ratelimit.close(DRAIN_S)
        while (self.front.open or self.owner.owed) and self.clock.now() < end:
            self.front.rest()
            gevent.sleep(0.02)
        self.front.cut()
        end = self.clock.now() + 1000 * CUT_S
        while self.front.open and self.clock.now() < end:
            gevent.sleep(0.02)
        gevent.killall(self._running)
        if self._door is not None:
            self._door.close()
        if self.marks is not None:
            self.marks.remove()
        self.owner.close()


def main() -> int:
    """Run one gatekeeper to its end; the exit code."""
    try:
        config = load()
    except ConfigError as error:
        print(error if isinstance(error, FeatureSettingsError) else f"ashlift: {error}", file=sys.stderr)
        return 2
    logs.configure(config.features.logging)
    gatekeeper = Gatekeeper(config)
    gc.collect()
    gc.freeze()  # what is loaded stays: collections look at jobs only
    told = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, told.set)
    gevent.signal_handler(signal.SIGHUP, gatekeeper.reload)
    gevent.signal_handler(signal.SIGUSR1, gatekeeper.metrics.dump, "SIGUSR1")
    try:
        gatekeeper.start()
    except (OSError, RuntimeError) as error:  # gRPC says it with the latter
        where = f"GW_INHERITED_FD {config.inherited_fd}" if config.inherited_fd is not None else "GW_LISTEN"
        print(f"ashlift: cannot listen: {where}: {error}", file=sys.stderr)
        return 1
    told.wait()
    gatekeeper.stop()
    gatekeeper.metrics.dump("exit")
    return 0


def run() -> int:
    """The daemon, or the command line if there are arguments. Returns the exit status."""
    if len(sys.argv) > 1:
        from ashlift.gatekeeper.cli import ashlift  # click: loaded where there is a command line to read

        ashlift(prog_name="ashlift")
    return main()


if __name__ == "__main__":
    sys.exit(run())
