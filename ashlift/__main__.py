"""The real gatekeeper: wiring, signals and the end. `python -m ashlift`."""

import gc
import logging
import signal
import sys
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from ashlift.clock import UnixClock
from ashlift.config import Config, ConfigError, load
from ashlift.jobs import Counter
from ashlift.metrics import Metrics
from ashlift.net.counter import TextCounter
from ashlift.net.front import Front
from ashlift.net.machine_list import MachineList
from ashlift.net.nodes import Limits, NodePool
from ashlift.owner import Owner
from mintfront.control import Gateway

if TYPE_CHECKING:
    from ashlift.ratelimit.server import RateLimitFront

log = logging.getLogger("ashlift")
GRACE_S = 0.7  # after SIGTERM new connections and requests keep coming for about so long
DRAIN_S = 3.2  # then what is taken is answered, for as long as the longest deadline lasts


class Gatekeeper:
    """The parts of one gatekeeper, put together."""

    def __init__(self, config: Config) -> None:
        self.config, self.metrics, self.clock = config, Metrics(), UnixClock()
        self.owner = Owner(Gateway(config.settings, config.seed), self.clock, self.metrics)
        inbox = self.owner.inbox
        self.machines = MachineList(config.discovery, config.zones, inbox, self.metrics)
        self.nodes = NodePool(self.machines, Limits(config.dial_ms, config.idle_ms, config.node_links),
                              self.clock, inbox, self.metrics)  # fmt: skip
        self.counter: TextCounter | None = None
        self.ratelimit: RateLimitFront | None = None
        port: Counter | None = None
        limits = config.ratelimit
        if limits.listen or limits.counter:  # loaded only when on: gRPC takes 20 MB and threads of its own
            from ashlift.ratelimit.bridge import Bridge

            bridge = Bridge()
        if limits.listen:
            from ashlift.ratelimit import server

            self.ratelimit = server.RateLimitFront(limits.domain, config.names, bridge, self.clock, inbox,
                                                   self.metrics)  # fmt: skip
        if limits.counter and config.settings.counter:
            from ashlift.ratelimit.client import GrpcCounter

            port = GrpcCounter(limits.counter, limits.counter_domain, config.settings.counter_timeout_ms,
                               bridge, self.clock, inbox, self.metrics)  # fmt: skip
        elif config.counter is not None:
            port = self.counter = TextCounter(config.counter, config.settings.counter_timeout_ms,
                                              self.clock, inbox, self.metrics)  # fmt: skip
        self.owner.connect(self.nodes, port)
        self.front = Front(config.names, config.client_links, lambda: bool(self.machines.machines),
                           self.clock, inbox, self.metrics)  # fmt: skip
        self._stop = Event()

    def serve(self) -> None:
        """Run until SIGTERM, then end in order."""
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._stop.set)
        gevent.signal_handler(signal.SIGUSR1, self.metrics.dump, "SIGUSR1")
        if self.config.known.get("instances"):
            self.machines.take(self.config.known | {"reset": True})
        listener = self.front.listen(self.config.listen)
        for part in (self.owner, self.machines, self.nodes, self.counter):
            if part is not None:
                gevent.spawn(part.run)
        gevent.spawn(self.front.run, listener)
        if self.ratelimit is not None:
            self.ratelimit.listen(self.config.ratelimit.listen)
        log.info("%s listens on %s:%d", self.config.name, *self.config.listen)
        self._stop.wait()
        gevent.sleep(GRACE_S)
        listener.close()
        self.front.close()
        if self.ratelimit is not None:
            self.ratelimit.close(DRAIN_S)
        end = self.clock.now() + 1000 * DRAIN_S
        while (self.front.open or self.owner.owed) and self.clock.now() < end:
            gevent.sleep(0.02)
        self.metrics.dump("exit")


def main() -> int:
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(name)s: %(message)s")
    try:
        config = load()
    except ConfigError as error:
        print(f"ashlift: {error}", file=sys.stderr)
        return 2
    gatekeeper = Gatekeeper(config)
    gc.collect()
    gc.freeze()  # what is loaded stays: collections look at jobs only
    gatekeeper.serve()
    return 0


if __name__ == "__main__":
    sys.exit(main())
