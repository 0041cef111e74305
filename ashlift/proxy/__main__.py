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

DEFAULT_SETTINGS_PATH = "/etc/ashlift/settings.toml"
SETTINGS_CHECK_SECONDS = 1.0  # between looks at the settings file
IDLE_CHECK_SECONDS = 1.0
MAX_LOGGED_NAMES = 5  # told in one event
ACCEPT_FRACTION = 0.55  # of Grace: so long connections are taken, for clients may hold an old /lookup
EXIT_FRACTION = 0.93  # of Grace: then the process ends


class Program:
    def __init__(self, path: str, settings: Settings) -> None:
        rng = random.Random(os.urandom(8))
        self.path, self.settings = path, settings
        self.router = RequestRouter(settings, rng, time.monotonic())
        self.request_handler = RequestHandler(self.router)
        self.proxy_server = ProxyServer(self.request_handler, self._limits)
        self.registry_poller = RegistryPoller(
            settings, self.router, os.urandom(4).hex(), rng, self._configuration_changed
        )
        self._ready = False
        self._known_tenants: dict[str, Tenant] | None = None  # tenants
        self._stop = Event()
        self.broken = False
        self._reload = Event()

    def _limits(self) -> ClientLimits:
        table = self.router.cluster.configuration.routing_table
        return table.limits if table is not None else ClientLimits()

    def _configuration_changed(self) -> None:
        self.request_handler.configuration_changed()
        self._log_tenant_changes()
        ready = self.router.is_ready(time.monotonic())
        if ready != self._ready:
            self._ready = ready
            log_event(
                events.READY if ready else events.UNREADY, index=self.router.cluster.configuration.version
            )

    def _log_tenant_changes(self) -> None:
        """Tell tenants that are new here, changed or gone: all that is said of one came together."""
        table, held = self.router.cluster.configuration.routing_table, self._known_tenants
        if table is None or table.tenants is held:
            return
        now = self._known_tenants = table.tenants
        if held is not None and now != held:
            here = sorted(name for name, tenant in now.items() if held.get(name) != tenant)
            gone = sorted(held.keys() - now.keys())
            version, index = f"{table.version:08x}", self.router.cluster.configuration.version
            log_event(events.TENANTS, version=version, index=index, here=_some(here), gone=_some(gone))

    def run(self) -> int:
        front, readiness = self.settings.bindings.front, self.settings.bindings.readiness
        if front is None or readiness is None:
            log_event(SETTINGS_INVALID, level=ERROR, error="Bindings: Front and Readiness are needed")
            return 2
        serve_readiness(readiness, lambda: self.router.is_ready(time.monotonic()))
        self.proxy_server.listen(front)
        gevent.signal_handler(signal.SIGTERM, self._stop.set)
        gevent.signal_handler(signal.SIGHUP, self._reload.set)
        for loop in (self.registry_poller.run, self._sweep, self._watch_settings):
            self._spawn(loop)
        log_event(STARTED, zone=self.settings.zone)
        self._stop.wait()
        return self._shut_down()

    def _shut_down(self) -> int:
        """Out of /lookup first; then no new connections; then the end, with all answered or Grace over."""
        began, grace = time.monotonic(), self.settings.bounds.grace
        self.router.draining = self.proxy_server.draining = True
        log_event(STOPPING, in_flight=self.request_handler.in_flight)
        gevent.sleep(ACCEPT_FRACTION * grace)
        self.proxy_server.close()
        while self.request_handler.in_flight and time.monotonic() < began + EXIT_FRACTION * grace:
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
            gevent.sleep(IDLE_CHECK_SECONDS)
            self.request_handler.connection_pool.close_expired(set(self.router.load_balancer.workers))

    def _watch_settings(self) -> None:
        """Read the settings again after SIGHUP, or when the file has changed without one."""
        seen = _stamp(self.path)
        while True:
            if self._reload.wait(SETTINGS_CHECK_SECONDS) or _stamp(self.path) != seen:
                self._reload.clear()
                seen = _stamp(self.path)
                read = read_settings(self.path)
                if isinstance(read, list):
                    for fault in read:
                        log_event(SETTINGS_INVALID, level=ERROR, error=fault.detail)
                else:
                    self.registry_poller.seeds = [host for host, _ in read.seeds]
                    log_event(SETTINGS_READ, seeds=",".join(self.registry_poller.seeds))


def _some(names: list[str]) -> str:
    return ",".join(names[:MAX_LOGGED_NAMES]) + (
        f",and {len(names) - MAX_LOGGED_NAMES} more" * (len(names) > MAX_LOGGED_NAMES)
    )


def _stamp(path: str) -> tuple[int, int]:
    try:
        found = os.stat(path)
    except OSError:
        return 0, 0
    return found.st_mtime_ns, found.st_size


def main() -> int:
    path = os.environ.get("ASHLIFT_SETTINGS", DEFAULT_SETTINGS_PATH)
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
