"""A history with the bounds that the rules set, and what the checkers ask of both.

"In touch" is the users' term: a machine without a fault, while the core was settled, for `Bounds.contact`
seconds. Bounds come from the settings and are in seconds.
"""

from collections.abc import Iterator

from ashlift.config.routing_table import RoutingTable
from ashlift.config.settings import Bounds
from ashlift.simulation.history import HOST, Arrival, ConfigurationChange, History, Request


class CheckedHistory:
    """One history with its bounds.

    `changes` are all configuration changes by version; `possible_changes` those of them that may be in force:
    all but the invalid ones and those that were clearly rejected.
    """

    def __init__(self, history: History, bounds: Bounds) -> None:
        self.history = history
        self.bounds = bounds
        self.changes = sorted(history.changes, key=lambda change: (change.version, change.sent))
        self.possible_changes = [
            change for change in self.changes if change.valid and not change.rejected_status
        ]

    def core_was_stable(self, start: float, end: float) -> bool:
        """Whether the core had a connected majority that did not change in this span."""
        return not any(interval.overlaps(start, end) for interval in self.history.core_unstable)

    def was_healthy(self, machine: str, start: float, end: float) -> bool:
        """Whether the machine had no fault in this span."""
        return not any(interval.overlaps(start, end) for interval in self.history.faults.get(machine, ()))

    def was_in_contact(self, machine: str, at: float) -> bool:
        """Whether the machine was in touch at that moment."""
        start = at - self.bounds.contact
        return self.was_healthy(machine, start, at) and self.core_was_stable(start, at)

    def must_have_applied(self, machine: str, at: float, acknowledged: float, bound: float) -> bool:
        """Whether the machine must act at `at` on what was acknowledged `bound` seconds before.

        It must when it is in touch. While the core is unsettled without a lasting loss of its majority, the
        bound is stretched, but by `Bounds.max_stretch` at most.
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
        """Each arrival that ran, with its request."""
        for request in self.history.requests:
            for arrival in request.arrivals:
                if arrival.ran:
                    yield request, arrival

    def possibly_in_force(self, start: float, end: float) -> list[ConfigurationChange]:
        """Changes that may be in force at some moment of this span."""
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
    """Whether the configuration lets the request run at this service for this tenant."""
    route = table.find_route(HOST, request.path)
    if route is None or arrival.service not in [name for name, _ in route.traffic_split]:
        return False
    if route.anonymous or not table.has_tenants:
        return True
    tenant = table.find_tenant(request.key)
    return tenant is not None and tenant.name == arrival.tenant


def explains_denial(table: RoutingTable, request: Request) -> bool:
    """Whether the configuration is a reason for the request's status, which is 401, 403 or 404."""
    route = table.find_route(HOST, request.path)
    if route is None or request.status == 404:
        return route is None and request.status == 404
    return table.has_tenants and not route.anonymous and table.find_tenant(request.key) is None


def allows_region(table: RoutingTable, request: Request, region: str) -> bool:
    """Whether the home regions of the route and of the tenant, where they are set, include this one."""
    route = table.find_route(HOST, request.path)
    tenant = table.find_tenant(request.key)
    if route is None:
        return False
    tenant_homes = tenant.home_regions if tenant else frozenset()
    return all(not homes or region in homes for homes in (route.home_regions, tenant_homes))
