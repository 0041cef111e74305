"""Computes the load that the workers can serve after the failure of a zone or region. Performs no I/O.

Rates are in requests per second and service times in seconds; the capacity of a worker is the number of
requests that it processes concurrently.
"""

from collections.abc import Collection, Iterator, Mapping

from attrs import frozen

from ashlift.config.routing_table import Route, RoutingTable


@frozen
class PlannedWorker:
    """A worker in the state `ready`."""

    id: str
    service: str
    zone: str
    region: str
    capacity: int


@frozen
class OfferedLoad:
    """The load that clients offer to a route."""

    rate: float  # requests/s
    service_seconds: float  # processing time of one request


@frozen
class ServedLoad:
    """The part of a route's load that one service can serve after a failure."""

    failed_domain: str  # "nothing", a zone or a region
    route: str
    service: str
    workers: int  # remaining workers in the route's home regions
    offered_rate: float
    served_rate: float

    @property
    def rejected_rate(self) -> float:
        """Requests per second that exceed the capacity."""
        return self.offered_rate - self.served_rate


@frozen
class _Demand:
    """The part of a route's load that its traffic split sends to one service."""

    priority: int
    route: str
    service: str
    workers: list[PlannedWorker]
    rate: float
    service_seconds: float

    def allocation_order(self) -> tuple[int, int, str, str]:
        """Sort key: the highest priority (0) first, then demands that fewer workers can serve."""
        return self.priority, len(self.workers), self.route, self.service


def plan_capacity(
    workers: Collection[PlannedWorker], table: RoutingTable, load: Mapping[str, OfferedLoad]
) -> Iterator[ServedLoad]:
    """Yield the load served per route and service after each failure; `load` is by route.

    Routes of higher priority are served first. A route with home regions uses only workers there.
    """
    for failed_domain, failed_zones in _failure_domains(workers):
        remaining = [worker for worker in workers if worker.zone not in failed_zones]
        # Unallocated capacity of each worker, in seconds of work per second.
        free_capacity = {worker.id: float(worker.capacity) for worker in remaining}
        for demand in sorted(_demands(remaining, table, load), key=_Demand.allocation_order):
            served_rate = _allocate(demand, free_capacity)
            yield ServedLoad(
                failed_domain, demand.route, demand.service, len(demand.workers), demand.rate, served_rate
            )


def _failure_domains(workers: Collection[PlannedWorker]) -> list[tuple[str, frozenset[str]]]:
    """Return name and failed zones for: no failure, each zone, each region of more than one zone."""
    region_of_zone = {worker.zone: worker.region for worker in workers}
    losses: list[tuple[str, frozenset[str]]] = [("nothing", frozenset())]
    losses += [(f"zone {zone}", frozenset({zone})) for zone in sorted(region_of_zone)]
    for region in sorted({*region_of_zone.values()}):
        zones = frozenset(zone for zone, its_region in region_of_zone.items() if its_region == region)
        if region and len(zones) > 1:
            losses.append((f"region {region}", zones))
    return losses


def _demands(
    workers: Collection[PlannedWorker], table: RoutingTable, load: Mapping[str, OfferedLoad]
) -> Iterator[_Demand]:
    for name, offered in load.items():
        route = table.routes[name]
        total_weight = sum(weight for _, weight in route.traffic_split)
        for service, weight in route.traffic_split:
            usable = [
                worker for worker in workers if worker.service == service and _is_allowed(route, worker)
            ]
            rate = offered.rate * weight / total_weight
            yield _Demand(route.priority, name, service, usable, rate, offered.service_seconds)


def _is_allowed(route: Route, worker: PlannedWorker) -> bool:
    return not route.home_regions or worker.region in route.home_regions


def _allocate(demand: _Demand, free_capacity: dict[str, float]) -> float:
    """Allocate the demand to its workers in proportion to their free capacity; return the rate served."""
    free = sum(free_capacity[worker.id] for worker in demand.workers)
    served_rate = demand.rate
    if demand.service_seconds > 0:
        served_rate = min(demand.rate, free / demand.service_seconds)
    used_ratio = served_rate * demand.service_seconds / free if free else 0.0
    for worker in demand.workers:
        free_capacity[worker.id] *= 1 - used_ratio
    return served_rate
