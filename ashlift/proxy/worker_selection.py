"""Decides whether a worker may be sent a request now: connection limit, slow start, backlog. No I/O.

`ashlift.proxy.load_balancer` ranks the workers; the limits here apply to each worker in that order.
"""

import math
from collections.abc import Collection
from typing import Final

from ashlift.config.routing_table import Service
from ashlift.config.settings import Settings
from ashlift.proxy.admission import FRESH_CONFIGURATION_SECONDS, AdmittedRequest
from ashlift.proxy.cluster_view import ClusterView
from ashlift.proxy.load_balancer import LoadBalancer, WorkerState
from ashlift.traffic.slow_start import SlowStartPacer, assigned_proxies

SLOW_START_PROXIES: Final = 2  # how many proxies send to a worker in slow start
# The expected latency may use at most this fraction of the time left until the deadline, less one step for
# each priority level below the highest. A level of the tenant weighs more than a level of the route.
MAX_WAIT_FRACTION: Final = 0.95
TENANT_PRIORITY_STEP: Final = 0.12
ROUTE_PRIORITY_STEP: Final = 0.02
LOWEST_TENANT_PRIORITY: Final = 4
LOWEST_ROUTE_PRIORITY: Final = 5
SLOT_OVERCOMMIT: Final = 1.25  # as the requests of an overload meet at some workers and miss others
DEFAULT_MAX_CONNECTIONS: Final = 64  # of a worker whose service names no limit
MIN_CONNECTIONS: Final = 2
CONNECTIONS_FRACTION: Final = 0.9  # of a worker's limit, divided evenly among the proxies
# Requests in flight from one proxy to one worker: at most FACTOR * capacity + EXTRA.
IN_FLIGHT_CAPACITY_FACTOR: Final = 2
IN_FLIGHT_EXTRA: Final = 2
CONNECT_TIMEOUT_SAME_REGION_SECONDS: Final = 0.25
CONNECT_TIMEOUT_OTHER_REGION_SECONDS: Final = 0.4


class WorkerSelection:
    """Applies the limits per worker. Its only own state is that of the slow start pacer."""

    def __init__(self, settings: Settings, cluster: ClusterView, load_balancer: LoadBalancer) -> None:
        self._node_name = settings.node_name
        self._region = settings.region
        self._cluster = cluster
        self._load_balancer = load_balancer
        self.slow_start = SlowStartPacer()

    def reserve(self, now: float, worker: WorkerState) -> bool:
        """Whether a request may be sent to the worker; in slow start this uses up some of its rate."""
        service = self._service_of(worker)
        if worker.in_flight >= self.max_connections(worker):
            return False  # the connection pool would refuse, and the router would choose this worker again
        warm_at = max(worker.warming_until, worker.record.warm_at)
        if now >= warm_at or service is None or service.warmup_rate <= 0:
            capacity = max(1, worker.record.capacity)
            return worker.in_flight < IN_FLIGHT_CAPACITY_FACTOR * capacity + IN_FLIGHT_EXTRA
        return self._reserve_slow_start(now, worker, service)

    def _reserve_slow_start(self, now: float, worker: WorkerState, service: Service) -> bool:
        """Apply the slow start rate. Only the assigned proxies with a fresh configuration may send."""
        worker_id = worker.record.id
        if self._node_name not in assigned_proxies(worker_id, self._cluster.proxies, SLOW_START_PROXIES):
            return False
        if self._cluster.configuration.age(now) > FRESH_CONFIGURATION_SECONDS:
            return False
        if not self.slow_start.can_send(now, worker_id, service.warmup_rate, 1 / SLOW_START_PROXIES):
            return False
        self.slow_start.record_sent(now, worker_id)
        return True

    def max_expected_wait(self, now: float, request: AdmittedRequest) -> float:
        """The longest wait at a worker, in service times, with which the request is expected to be in time.

        Below 0 if it is late without any wait. Low priorities are shed first. Only responses change this
        estimate, so it must not refuse a request by itself: `has_slot_share` goes by requests in flight,
        which end whatever the estimate is.
        """
        baseline_latency = self._load_balancer.baseline_latency(request.route)
        if baseline_latency <= 0:
            return math.inf
        return _wait_fraction(request) * (request.deadline - now) / baseline_latency - 1.0

    def has_slot_share(self, workers: Collection[WorkerState]) -> bool:
        """Whether this proxy uses less than its share of the workers' slots: at least an even one, and one.

        The reports on other proxies are late; the even share keeps the sum of all proxies near the capacity.
        """
        slots = SLOT_OVERCOMMIT * sum(max(1, worker.record.capacity) for worker in workers)
        own = sum(worker.in_flight for worker in workers)
        unused_by_peers = slots - sum(worker.peers_in_flight for worker in workers)
        even_share = slots / max(1, len(self._cluster.proxies))
        return own + 1 <= max(1.0, even_share, unused_by_peers)

    def max_connections(self, worker: WorkerState) -> int:
        """The maximum number of connections to a worker: this proxy's share of the worker's limit."""
        service = self._service_of(worker)
        limit = DEFAULT_MAX_CONNECTIONS
        if service is not None and service.max_connections:
            limit = service.max_connections
        proxy_count = max(1, len(self._cluster.proxies))
        return max(MIN_CONNECTIONS, int(CONNECTIONS_FRACTION * limit / proxy_count))

    def connect_timeout(self, worker: WorkerState) -> float:
        """The timeout for connecting to a worker, in seconds."""
        if self._load_balancer.region_of(worker) == self._region:
            return CONNECT_TIMEOUT_SAME_REGION_SECONDS
        return CONNECT_TIMEOUT_OTHER_REGION_SECONDS

    def _service_of(self, worker: WorkerState) -> Service | None:
        table = self._cluster.configuration.routing_table
        return table.services.get(worker.record.service) if table is not None else None


def _wait_fraction(request: AdmittedRequest) -> float:
    """The fraction of the time left that the expected latency may use, by the request's priority."""
    tenant_priority = 0
    if request.tenant is not None and request.tenant.priority is not None:
        tenant_priority = request.tenant.priority
    return (
        MAX_WAIT_FRACTION
        - TENANT_PRIORITY_STEP * min(LOWEST_TENANT_PRIORITY, tenant_priority)
        - ROUTE_PRIORITY_STEP * min(LOWEST_ROUTE_PRIORITY, request.route.priority)
    )
