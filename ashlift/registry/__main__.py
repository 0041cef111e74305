"""`python3 -m ashlift.registry`: the registry of one core machine, as its settings file says."""

import os
import secrets
import signal
import sys
import time
import zlib

import gevent
from gevent.event import Event

from ashlift.config.settings import Settings, read_settings
from ashlift.events import ERROR, SETTINGS_INVALID, SETTINGS_READ, STARTED, STOPPING, configure, log_event
from ashlift.registry.http_server import HttpServer, Resource
from ashlift.registry.registry import Registry, RegistryIdentity
from ashlift.registry.resources import Config, Evacuation, Instances, Lookup, Status
from ashlift.registry.route_resources import Proposals, RouteEditService, Routes
from ashlift.registry.server import ChangeNotifier, RegistryRpcService, ReplicationLoops
from ashlift.registry.store_client import StoreClient
from ashlift.registry.store_membership import MembersResource
from ashlift.rpc.addresses import Address
from ashlift.rpc.client import ClientPool
from ashlift.rpc.server import serve

PATH = "/etc/ashlift/settings.toml"
LOOK_S = 1.0  # the settings file is looked at so often
LEAVE_S = 0.6  # what is at work when the end is asked for is answered within this


class Program:
    def __init__(self, path: str, settings: Settings) -> None:
        self._path, self._settings = path, settings
        self._stamp = self._look()
        self._ended = Event()
        low = settings.internal_ports[0]
        control = settings.bindings.control or settings.bindings.directory
        assert control is not None
        me = RegistryIdentity(
            settings.node_name,
            secrets.token_hex(4),
            settings.ip,
            settings.zone,
            settings.region,
            control[1],
            settings.heartbeat,
        )
        self._registry = Registry(me, self._seeds(), settings.zones, time.monotonic())
        self._bell, callers = ChangeNotifier(self._registry), ClientPool()
        store = StoreClient(settings.ip, low, self._stores, callers)
        self._loops = ReplicationLoops(self._registry, store, self._bell, callers, low + 1)
        ring, desk = self._bell.notify_if_changed, RouteEditService(self._registry, store)
        resources: dict[str, Resource] = {
            "instances": Instances(self._registry, ring),
            "config": Config(store),
            "evacuation": Evacuation(store, lambda: self._settings),
            "lookup": Lookup(self._registry),
            "members": MembersResource(store),
            "proposals": Proposals(desk),
            "routes": Routes(desk),
            "status": Status(self._registry),
        }
        addresses = {settings.bindings.control, settings.bindings.directory} - {None}
        self._doors = [HttpServer(address, resources) for address in addresses if address]
        self._frames: Address = (settings.ip, low + 1)

    def _seeds(self) -> list[str]:
        return list(dict.fromkeys(host for host, _ in self._settings.seeds))

    def _stores(self) -> list[str]:
        """IPs of the stores, those whose registries stand and are near first."""
        me = self._registry.identity
        known = self._registry.core_members()
        return [
            ip
            for ip in self._registry.registries_by_distance(me.zone, me.region, time.monotonic())
            if ip in known
        ]

    def run(self) -> int:
        """Until the end is asked for; the process's exit status."""
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._ended.set)
        gevent.signal_handler(signal.SIGHUP, self._read)
        server = serve(self._frames, RegistryRpcService(self._registry, self._bell).handlers)
        for door in self._doors:
            door.start()
        self._loops.start()
        self._loops.broken.rawlink(lambda _: self._ended.set())
        log_event(STARTED, source=self._registry.identity.source, seeds=",".join(self._registry.seeds))
        while not self._ended.wait(LOOK_S):
            if self._look() != self._stamp:
                self._read()
        log_event(STOPPING)
        server.close()
        self._bell.shut_down()
        for door in self._doors:
            door.shut_down()
        until = time.monotonic() + LEAVE_S
        while time.monotonic() < until and (self._bell.held or any(door.busy for door in self._doors)):
            gevent.sleep(0.01)
        gevent.sleep(0.02)  # answers given in the last moment are written by greenlets of their own
        self._loops.stop()
        return 70 if self._loops.broken.is_set() else 0

    def _look(self) -> int:
        """A number that changes with the settings file."""
        try:
            with open(self._path, "rb") as file:
                return zlib.crc32(file.read())
        except OSError:
            return 0

    def _read(self) -> None:
        self._stamp = self._look()
        found = read_settings(self._path)
        if isinstance(found, list):
            return log_event(SETTINGS_INVALID, level=ERROR, error="; ".join(map(str, found)))
        self._settings = found
        self._registry.seeds, self._registry.zones = self._seeds(), found.zones
        log_event(SETTINGS_READ, seeds=",".join(self._registry.seeds))


def main() -> int:
    path = os.environ.get("ASHLIFT_SETTINGS", PATH)
    settings = read_settings(path)
    if isinstance(settings, list):
        configure("registry", "?")
        for fault in settings:
            log_event(SETTINGS_INVALID, level=ERROR, error=fault.detail)
        return 2
    configure("registry", settings.node_name)
    if settings.bindings.control is None and settings.bindings.directory is None:
        log_event(SETTINGS_INVALID, level=ERROR, error="neither Bindings.Control nor Bindings.Directory")
        return 2
    return Program(path, settings).run()


if __name__ == "__main__":
    sys.exit(main())
