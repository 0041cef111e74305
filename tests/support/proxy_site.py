"""A real proxy on loopback between clients and stub workers, with fault proxies between it and the workers.

Server, request handler, router and connection pool are the production code; the test sets the cluster state.
"""

import itertools
import random
import time
from collections.abc import Iterable, Iterator
from contextlib import suppress
from typing import Any

import gevent
from gevent import socket

from ashlift.config.object_schema import ClientLimits
from ashlift.config.settings import Settings, parse_settings
from ashlift.proxy.pull_messages import PullResponse
from ashlift.proxy.request_handler import RequestHandler
from ashlift.proxy.request_router import RequestRouter
from ashlift.proxy.server import ProxyServer
from ashlift.proxy.upstream import WorkerConnection
from ashlift.rpc.addresses import Address
from ashlift.rpc.sources import OPERATOR_SOURCE
from tests.support.fault_proxy import (
    CLOSE,
    HOST,
    REPEAT,
    RESET,
    STALL,
    STALL_AND_RESET,
    TO_CLIENT,
    TO_SERVER,
    FaultProxy,
)
from tests.support.proxy_history import History, Request
from tests.support.stub_client import ENOUGH_SECONDS, StubClient
from tests.support.stub_workers import StubWorkers

BODY = b"a body that must come whole"
# No duplication within a message: HTTP has no checksum, so neither side can detect it.
FAULTS = [
    *((kind, way) for way in (TO_SERVER, TO_CLIENT) for kind in (CLOSE, RESET, STALL, STALL_AND_RESET)),
    (REPEAT, TO_CLIENT),
]
SITE_NUMBERS = itertools.count(1)  # keeps worker ids unique: the kernel may reuse an address for another site
MEMORY_MB = 300  # of an edge machine
SETTINGS = """
NodeName = "edge-1"
Ip = "127.0.0.1"
Zone = "z1"
Region = "r1"
InternalPortRange = [7600, 7615]
SeedNodes = ["127.0.0.1:8200"]
Heartbeat = "1500ms"
[Zones]
z1 = "r1"
[Limits]
MemoryMb = %d
[Bounds]
RetrySlack = 100000
"""


class ProxyUnderTest:
    """A proxy whose cluster view is set by the test.

    `routes`: worker addresses by route name and worker ID. /look/NAME/ is idempotent, /hold/NAME/ is not.
    """

    def __init__(self, routes: dict[str, dict[str, Address]], memory_mb: int = MEMORY_MB) -> None:
        settings = parse_settings(SETTINGS % memory_mb, "trial")
        assert isinstance(settings, Settings), settings
        self.router = RequestRouter(settings, random.Random(1), time.monotonic())
        # A pause of this process on a busy machine must not be mistaken for an unreachable worker.
        self.router.connect_timeout = lambda worker: ENOUGH_SECONDS  # type: ignore[method-assign]
        self.request_handler = RequestHandler(self.router)
        self.server = ProxyServer(self.request_handler, ClientLimits)
        self.server.listen((HOST, 0))
        stream_server = self.server._server
        assert stream_server is not None
        self.address: Address = HOST, stream_server.server_port or 0
        self.version = 0
        self._configuration = _configuration(routes)
        self._configuration_version = 1
        self.set_workers(routes)

    def set_workers(self, routes: dict[str, dict[str, Address]]) -> None:
        """Apply a registry response that lists exactly these workers."""
        self.version += 1
        self._known_routes = routes
        records: dict[str, Any] = {"g/edge-1": {"ready": True}}
        for name, workers in routes.items():
            for worker_id, (host, port) in workers.items():
                records[f"w/{worker_id}"] = {
                    "service": f"s-{name}",
                    "zone": "z1",
                    "address": f"{host}:{port}",
                    "capacity": 64,
                    "seq": self.version,
                    "warm": 0.0,
                    "state": "ready",
                }
        sources = {
            OPERATOR_SOURCE: {
                "version": self._configuration_version,
                "full": True,
                "set": self._configuration,
                "gone": [],
            },
            "p#1": {"version": self.version, "full": True, "set": records, "gone": []},
        }
        now = time.monotonic()
        body = {"sources": sources, "alive": ["p#1"], "age": 0.0, "held": 0.0}
        change = self.router.cluster.apply(now, now, PullResponse.from_wire(body))
        self.router.apply_change(now, change)

    def set_home_regions(self, route: str, regions: list[str]) -> None:
        """Set the home regions of a route in the operator's configuration."""
        self._configuration[f"Routes/{route}"]["HomeRegions"] = regions
        self._configuration_version += 1
        self._configuration["Version"] = f"{self._configuration_version:08x}"
        self.set_workers(self._known_routes)

    def idle_connections(self) -> Iterator[WorkerConnection]:
        """The idle connections to workers in the pool."""
        for connections in self.request_handler.connection_pool._idle.values():
            yield from connections

    def check_memory_released(self) -> None:
        """Wait until no request or response is held."""
        pools = self.request_handler.memory.pools
        with gevent.Timeout(ENOUGH_SECONDS, AssertionError("memory is still held")):
            while any(pool.held_bytes for pool in pools.values()):
                gevent.sleep(0.001)

    def close(self) -> None:
        """Stop accepting and close all connections."""
        self.server.stop_accepting()
        for connection in list(self.server.connections):
            with suppress(OSError):
                connection._sock.shutdown(socket.SHUT_RDWR)
        for idle in self.idle_connections():
            idle.sock.close()


def _configuration(routes: Iterable[str]) -> dict[str, Any]:
    configuration: dict[str, Any] = {"Version": "00000001"}
    for name in routes:
        shared = {
            "Host": "h.example",
            "Timeout": "9s",
            "TargetLatency": "40ms",
            "Service": f"s-{name}",
            "MaxAttempts": 2,
            "Anonymous": True,
        }
        for prefix, route_type in (("look", "idempotent"), ("hold", "non_idempotent")):
            route = {**shared, "PathPrefix": f"/{prefix}/{name}/", "RouteType": route_type}
            configuration[f"Routes/{prefix}-{name}"] = route
        configuration[f"Services/s-{name}"] = {"HealthCheck": "/health", "MaxConnections": 100}
    return configuration


class ProxySite:
    """One proxy and its workers, each behind its own fault proxy; routes are numbered from 0."""

    def __init__(self, routes: int = 1, workers_per_route: int = 1) -> None:
        self.history = History()
        id_prefix = f"i{next(SITE_NUMBERS)}-"
        self.workers = StubWorkers(self.history, id_prefix)
        self.fault_proxies = {
            (route, worker): FaultProxy(self.workers.address)
            for route in range(routes)
            for worker in range(workers_per_route)
        }
        self.routes: dict[str, dict[str, Address]] = {str(route): {} for route in range(routes)}
        for (route, worker), fault_proxy in self.fault_proxies.items():
            self.routes[str(route)][f"{id_prefix}{route}-{worker}"] = fault_proxy.address
        self.proxy = ProxyUnderTest(self.routes)

    def send(self, route: int = 0, idempotent: bool = False, body: bytes = BODY, **more: Any) -> Request:
        """Send a request on a new connection and read its response."""
        client = StubClient(self.history, self.proxy.address)
        path = f"/{'look' if idempotent else 'hold'}/{route}/x"
        request = self.history.new_request(path, idempotent, body, **more)
        client.send(request)
        client.close()
        return request

    def close(self) -> None:
        """Check the history, then close proxy, fault proxies and workers. No memory may remain held."""
        self.history.check()
        self.proxy.close()
        self.proxy.check_memory_released()
        for fault_proxy in self.fault_proxies.values():
            fault_proxy.close()
        self.workers.close()
