"""Plans capacity: what the workers can serve after the loss of a zone or region. Pure.

Rates are requests a second, service times seconds, capacities requests at a time of a worker.
"""

from collections.abc import Collection, Iterator, Mapping

from attrs import frozen

from ashlift.config.routing_table import Route, RoutingTable


@frozen
class PlannedWorker:
    """A worker that is ready."""

    id: str
    service: str
    zone: str
    region: str
    capacity: int


@frozen
class OfferedLoad:
    """What clients ask of a route."""

    rate: float  # requests a second
    service_seconds: float  # that a worker works on one request


@frozen
class ServedLoad:
    """What one service can serve of a route's load after a loss."""

    lost: str  # "nothing", a zone or a region
    route: str
    service: str
    workers: int  # that are left and that the route's home regions allow
    offered_rate: float
    served_rate: float

    @property
    def rejected_rate(self) -> float:
        """Requests a second that are not served."""
        return self.offered_rate - self.served_rate


@frozen
class _Demand:
    """The part of a route's load that goes to one service."""

    priority: int
    route: str
    service: str
    workers: list[PlannedWorker]
    rate: float
    service_seconds: float

    def order(self) -> tuple[int, int, str, str]:
        """Higher rank (0) first; within a rank those that are bound to fewer workers."""
        return self.priority, len(self.workers), self.route, self.service


def plan_capacity(
    workers: Collection[PlannedWorker], table: RoutingTable, load: Mapping[str, OfferedLoad]
) -> Iterator[ServedLoad]:
    """Yield what is served of each route's load after each loss; `load` is by route.

    Routes of higher rank are served first, and a route with home regions uses workers there alone.
    """
    for lost, lost_zones in _losses(workers):
        remaining = [worker for worker in workers if worker.zone not in lost_zones]
        # Seconds of work that each worker has left, of each second.
        free_capacity = {worker.id: float(worker.capacity) for worker in remaining}
        for demand in sorted(_demands(remaining, table, load), key=_Demand.order):
            served_rate = _allocate(demand, free_capacity)
            yield ServedLoad(
                lost, demand.route, demand.service, len(demand.workers), demand.rate, served_rate
            )


def _losses(workers: Collection[PlannedWorker]) -> list[tuple[str, frozenset[str]]]:
    """Nothing, each zone, and each region of more than one zone: a name, and the zones that are lost."""
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
    """Take the work from the usable workers in proportion to what they have free; return the rate served."""
    free = sum(free_capacity[worker.id] for worker in demand.workers)
    served_rate = demand.rate
    if demand.service_seconds > 0:
        served_rate = min(demand.rate, free / demand.service_seconds)
    used_ratio = served_rate * demand.service_seconds / free if free else 0.0
    for worker in demand.workers:
        free_capacity[worker.id] *= 1 - used_ratio
    return served_rate
