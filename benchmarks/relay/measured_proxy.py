"""The measured proxy: the production server, request handler and router, updated from within the process."""

import gc
import random
import time
from typing import Any, Final

import gevent

from ashlift.config.object_schema import ClientLimits
from ashlift.config.settings import Settings, parse_settings
from ashlift.proxy.pull_messages import PullResponse
from ashlift.proxy.request_handler import RequestHandler
from ashlift.proxy.request_router import RequestRouter
from ashlift.proxy.server import ProxyServer
from ashlift.rpc.sources import OPERATOR_SOURCE
from benchmarks.relay.servers import ANY_LOOPBACK_PORT

UPDATE_INTERVAL_SECONDS: Final = 0.25
MAX_RUN_SECONDS: Final = 3600
REGISTRY_SOURCE: Final = "p#1"
SETTINGS: Final = """
NodeName = "edge-1"
Ip = "127.0.0.1"
Zone = "z1"
Region = "r1"
InternalPortRange = [7600, 7615]
SeedNodes = ["127.0.0.1:8200"]
Heartbeat = "1500ms"
[Zones]
z1 = "r1"
"""
CONFIGURATION: Final[dict[str, Any]] = {
    "Version": "00000001",
    "Routes/look": {
        "Host": "h.example",
        "PathPrefix": "/look/",
        "RouteType": "idempotent",
        "Timeout": "3000ms",
        "TargetLatency": "800ms",
        "Service": "board",
        "MaxAttempts": 2,
    },
    "Services/board": {"HealthCheck": "/health", "MaxConnections": 100, "Warmup": "3s", "WarmupRateS": 4},
    "Tenants/t1": {"ApiKeys": ["k1"], "RatePerS": 100_000, "BurstSize": 100_000},
}


def serve_proxy(worker_address: str) -> None:
    """Print the proxy's address and serve until the process is stopped."""
    settings = parse_settings(SETTINGS, "bench")
    assert isinstance(settings, Settings), settings
    router = RequestRouter(settings, random.Random(1), time.monotonic())
    server = ProxyServer(RequestHandler(router), ClientLimits)
    gevent.spawn(StubRegistry(router, worker_address).run)
    gevent.sleep(0)  # apply the first update before accepting requests
    server.listen(ANY_LOOPBACK_PORT)
    listener = server._server
    assert listener is not None
    gc.freeze()
    print(f"127.0.0.1:{listener.server_port}", flush=True)
    gevent.sleep(MAX_RUN_SECONDS)


class StubRegistry:
    """Replaces pulls from a registry: updates a router and collects its usage counts."""

    def __init__(self, router: RequestRouter, worker_address: str) -> None:
        self._router = router
        self._worker_address = worker_address
        self._version = 0
        self._admitted_total = 0
        self._rejected_total = 0

    def run(self) -> None:
        """Update the router periodically."""
        while True:
            self._update(time.monotonic())
            gevent.sleep(UPDATE_INTERVAL_SECONDS)

    def _update(self, now: float) -> None:
        self._version += 1
        rate_limiter = self._router.rate_limiter
        cluster = self._router.cluster
        counts = rate_limiter.take_new_counts()
        admitted, rejected = counts.get("t1", (0, 0))
        self._admitted_total += admitted
        self._rejected_total += rejected
        response = PullResponse.from_wire(self._response())
        rate_limiter.confirm_counts(counts)
        self._router.apply_change(now, cluster.apply(now, now, response))
        rate_limiter.record_usage_totals(
            now,
            cluster.usage_totals(),
            cluster.source_coverage(),
            cluster.registries_started_at(),
        )
        rate_limiter.lease_states(now)
        rate_limiter.record_leases(now, now, cluster.lease_tables())

    def _response(self) -> dict[str, Any]:
        """A pull response in wire format; the first one is a full snapshot."""
        is_first = self._version == 1
        configuration = {
            "version": 1,
            "full": is_first,
            "set": CONFIGURATION if is_first else {},
            "gone": [],
        }
        records = self._records() if is_first else {}
        usage = {"c/t1": [self._admitted_total, self._rejected_total]}
        registry = {
            "version": self._version,
            "full": is_first,
            "gone": [],
            "set": {**records, **usage},
        }
        return {
            "sources": {OPERATOR_SOURCE: configuration, REGISTRY_SOURCE: registry},
            "alive": [REGISTRY_SOURCE],
            "age": 0.1,
            "held": 0.0,
        }

    def _records(self) -> dict[str, Any]:
        worker = {
            "service": "board",
            "zone": "z1",
            "address": self._worker_address,
            "capacity": 64,
            "seq": 1,
            "warm": 0.0,
            "state": "ready",
        }
        return {"w/w1": worker, "g/edge-1": {"ready": True}}
