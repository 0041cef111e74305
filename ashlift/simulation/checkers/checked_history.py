"""A recorded history with the configured bounds, and the queries that the checkers share.

A machine is "in contact" if for the last `Bounds.contact` seconds it had no fault and the core was stable: a
connected majority that did not change. Bounds are in seconds.
"""

from collections.abc import Iterator

from ashlift.config.routing_table import RoutingTable
from ashlift.config.settings import Bounds
from ashlift.simulation.history import HOST, Arrival, ConfigurationChange, History, Request


class CheckedHistory:
    """One history with its bounds.

    `changes` are all configuration changes by version; `possible_changes` those that may have taken effect:
    all except invalid and rejected ones.
    """

    def __init__(self, history: History, bounds: Bounds) -> None:
        self.history = history
        self.bounds = bounds
        self.changes = sorted(history.changes, key=lambda change: (change.version, change.sent))
        self.possible_changes = [
            change for change in self.changes if change.valid and not change.rejected_status
        ]

    def core_was_stable(self, start: float, end: float) -> bool:
        """Whether the core had an unchanged connected majority during this span."""
        return not any(interval.overlaps(start, end) for interval in self.history.core_unstable)

    def was_healthy(self, machine: str, start: float, end: float) -> bool:
        """Whether the machine had no fault during this span."""
        return not any(interval.overlaps(start, end) for interval in self.history.faults.get(machine, ()))

    def was_in_contact(self, machine: str, at: float) -> bool:
        """Whether the machine was in contact at that time."""
        start = at - self.bounds.contact
        return self.was_healthy(machine, start, at) and self.core_was_stable(start, at)

    def must_have_applied(self, machine: str, at: float, acknowledged: float, bound: float) -> bool:
        """Whether a change acknowledged at `acknowledged` must have taken effect on the machine by `at`.

        A machine in contact must apply it within `bound` seconds. While the core is unstable, but has never
        lost its majority, the bound is extended by up to `Bounds.max_stretch`.
        """
        if at <= acknowledged + bound:
            return False
        if self.was_in_contact(machine, at):
            return True
        majority_was_lost = any(interval.ended > interval.started for interval in self.history.core_unstable)
        return (
            not majority_was_lost
            and self.was_healthy(machine, at - self.bounds.contact, at)
            and at > acknowledged + bound + self.bounds.max_stretch
        )

    def runs(self) -> Iterator[tuple[Request, Arrival]]:
        """Yield each arrival that ran, with its request."""
        for request in self.history.requests:
            for arrival in request.arrivals:
                if arrival.ran:
                    yield request, arrival

    def possibly_in_force(self, start: float, end: float) -> list[ConfigurationChange]:
        """Return the changes that may be in force at some time during this span."""
        apply_bound = self.bounds.config_apply + self.bounds.max_stretch
        applied_before = [
            change for change in self.possible_changes if change.acknowledged + apply_bound < start
        ]
        oldest_version = applied_before[-1].version if applied_before else 0
        return [
            change
            for change in self.possible_changes
            if change.version >= oldest_version and change.sent <= end
        ]


def allows_run(table: RoutingTable, request: Request, arrival: Arrival) -> bool:
    """Whether the configuration allows the request to run at this service for this tenant."""
    route = table.find_route(HOST, request.path)
    if route is None or arrival.service not in [name for name, _ in route.traffic_split]:
        return False
    if route.anonymous or not table.has_tenants:
        return True
    tenant = table.find_tenant(request.key)
    return tenant is not None and tenant.name == arrival.tenant


def explains_denial(table: RoutingTable, request: Request) -> bool:
    """Whether the configuration explains the request's status, which is 401, 403 or 404."""
    route = table.find_route(HOST, request.path)
    if route is None or request.status == 404:
        return route is None and request.status == 404
    return table.has_tenants and not route.anonymous and table.find_tenant(request.key) is None


def allows_region(table: RoutingTable, request: Request, region: str) -> bool:
    """Whether the home regions of the route and of the tenant, where set, include this region."""
    route = table.find_route(HOST, request.path)
    tenant = table.find_tenant(request.key)
    if route is None:
        return False
    tenant_homes = tenant.home_regions if tenant else frozenset()
    return all(not homes or region in homes for homes in (route.home_regions, tenant_homes))
