"""The proxy's process: settings, parts, signals. `python3 -m ashlift.proxy`, settings by ASHLIFT_SETTINGS."""

import gc
import os
import random
import signal
import sys
import time
from collections.abc import Callable

import gevent
from gevent.event import Event

from ashlift.config.object_schema import ClientLimits
from ashlift.config.routing_table import Tenant
from ashlift.config.settings import Settings, read_settings
from ashlift.events import (
    CRITICAL,
    ERROR,
    INVARIANT_VIOLATED,
    SETTINGS_INVALID,
    SETTINGS_READ,
    STARTED,
    STOPPING,
    configure,
    log_event,
)
from ashlift.proxy import events
from ashlift.proxy.configuration_updates import RegistryPoller
from ashlift.proxy.request_handler import RequestHandler
from ashlift.proxy.request_router import RequestRouter
from ashlift.proxy.server import ProxyServer, serve_readiness

PATH = "/etc/ashlift/settings.toml"
LOOK_S = 1.0  # between looks at the settings file
SWEEP_S = 1.0
NAMES_MOST = 5  # told in one event
LEAVE_SHARE = 0.55  # of Grace: so long connections are taken, for clients may hold an old /lookup
END_SHARE = 0.93  # of Grace: then the process ends


class Program:
    def __init__(self, path: str, settings: Settings) -> None:
        rng = random.Random(os.urandom(8))
        self.path, self.settings = path, settings
        self.gate = RequestRouter(settings, rng, time.monotonic())
        self.desk = RequestHandler(self.gate)
        self.front = ProxyServer(self.desk, self._limits)
        self.news = RegistryPoller(settings, self.gate, os.urandom(4).hex(), rng, self._changed)
        self._ready = False
        self._held: dict[str, Tenant] | None = None  # tenants
        self._stop = Event()
        self.broken = False
        self._read_again = Event()

    def _limits(self) -> ClientLimits:
        table = self.gate.ledger.table
        return table.limits if table is not None else ClientLimits()

    def _changed(self) -> None:
        self.desk.heard()
        self._tenants()
        ready = self.gate.ready(time.monotonic())
        if ready != self._ready:
            self._ready = ready
            log_event(events.READY if ready else events.UNREADY, index=self.gate.ledger.index)

    def _tenants(self) -> None:
        """Tell tenants that are new here, changed or gone: all that is said of one came together."""
        table, held = self.gate.ledger.table, self._held
        if table is None or table.tenants is held:
            return
        now = self._held = table.tenants
        if held is not None and now != held:
            here = sorted(name for name, tenant in now.items() if held.get(name) != tenant)
            gone = sorted(held.keys() - now.keys())
            version, index = f"{table.version:08x}", self.gate.ledger.index
            log_event(events.TENANTS, version=version, index=index, here=_some(here), gone=_some(gone))

    def run(self) -> int:
        front, readiness = self.settings.bindings.front, self.settings.bindings.readiness
        if front is None or readiness is None:
            log_event(SETTINGS_INVALID, level=ERROR, error="Bindings: Front and Readiness are needed")
            return 2
        serve_readiness(readiness, lambda: self.gate.ready(time.monotonic()))
        self.front.listen(front)
        gevent.signal_handler(signal.SIGTERM, self._stop.set)
        gevent.signal_handler(signal.SIGHUP, self._read_again.set)
        for loop in (self.news.run, self._sweep, self._watch):
            self._spawn(loop)
        log_event(STARTED, zone=self.settings.zone)
        self._stop.wait()
        return self._leave()

    def _leave(self) -> int:
        """Out of /lookup first; then no new connections; then the end, with all answered or Grace over."""
        began, grace = time.monotonic(), self.settings.bounds.grace
        self.gate.leaving = self.front.leaving = True
        log_event(STOPPING, in_flight=self.desk.busy)
        gevent.sleep(LEAVE_SHARE * grace)
        self.front.close()
        while self.desk.busy and time.monotonic() < began + END_SHARE * grace:
            gevent.sleep(0.02)
        gevent.sleep(0.05)
        return 70 if self.broken else 0

    def _spawn(self, loop: Callable[[], None]) -> "gevent.Greenlet[[], None]":
        """A loop that ends by an error ends the process, in order: what it keeps up would go stale unseen."""

        def ended(greenlet: "gevent.Greenlet[[], None]") -> None:
            log_event(INVARIANT_VIOLATED, level=CRITICAL, error=repr(greenlet.exception))
            self.broken = True
            self._stop.set()

        greenlet = gevent.spawn(loop)
        greenlet.link_exception(ended)
        return greenlet

    def _sweep(self) -> None:
        while True:
            gevent.sleep(SWEEP_S)
            self.desk.links.sweep(set(self.gate.crew.views))

    def _watch(self) -> None:
        """Read the settings again after SIGHUP, or when the file has changed without one."""
        seen = _stamp(self.path)
        while True:
            if self._read_again.wait(LOOK_S) or _stamp(self.path) != seen:
                self._read_again.clear()
                seen = _stamp(self.path)
                read = read_settings(self.path)
                if isinstance(read, list):
                    for fault in read:
                        log_event(SETTINGS_INVALID, level=ERROR, error=fault.detail)
                else:
                    self.news.seeds = [host for host, _ in read.seeds]
                    log_event(SETTINGS_READ, seeds=",".join(self.news.seeds))


def _some(names: list[str]) -> str:
    return ",".join(names[:NAMES_MOST]) + (f",and {len(names) - NAMES_MOST} more" * (len(names) > NAMES_MOST))


def _stamp(path: str) -> tuple[int, int]:
    try:
        found = os.stat(path)
    except OSError:
        return 0, 0
    return found.st_mtime_ns, found.st_size


def main() -> int:
    path = os.environ.get("ASHLIFT_SETTINGS", PATH)
    read = read_settings(path)
    if isinstance(read, list):
        for fault in read:
            print(f"proxy: {fault.detail}", file=sys.stderr)
        return 2
    configure("proxy", read.node_name)
    gc.freeze()
    return Program(path, read).run()


if __name__ == "__main__":
    sys.exit(main())
