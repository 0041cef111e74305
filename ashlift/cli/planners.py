"""Plans, worked out from what is known; nothing is asked or changed. Pure.

Rates are requests a second, works and times s, capacities requests at a time of a worker.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Iterator, Sequence

from attrs import define, frozen

from ashlift.config.routing_table import Route, RoutingTable
from ashlift.errors import Failure, FailureReason


@frozen
class Station:
    """A worker."""

    id: str
    service: str
    zone: str
    region: str
    capacity: int


@frozen
class Asked:
    """What clients ask of a route: how often, and how long the work of one takes."""

    rate: float
    work: float


@frozen
class Remains:
    """What one service can carry of what is asked of one route after a loss."""

    lost: str  # "nothing", a zone or a region
    route: str
    service: str
    workers: int  # that stand and that the route's homes allow
    asked: float
    carried: float

    @property
    def refused(self) -> float:
        return self.asked - self.carried


def losses(stations: Collection[Station]) -> list[tuple[str, frozenset[str]]]:
    """Nothing, each zone, and each region of more zones than one, with the zones that are lost."""
    zones = {one.zone: one.region for one in stations}
    found: list[tuple[str, frozenset[str]]] = [("nothing", frozenset())]
    found += [(f"zone {zone}", frozenset({zone})) for zone in sorted(zones)]
    for region in sorted({*zones.values()}):
        inside = frozenset(zone for zone, its in zones.items() if its == region)
        if region and len(inside) > 1:
            found.append((f"region {region}", inside))
    return found


def capacity(
    stations: Collection[Station], table: RoutingTable, asked: dict[str, Asked]
) -> Iterator[Remains]:
    """What remains after each loss, and who is refused: routes of higher rank (0 first) are carried first.

    Routes with homes take only workers there; within a rank those that are bound to fewer workers go first.
    """
    for lost, zones in losses(stations):
        left = [one for one in stations if one.zone not in zones]
        slots = {one.id: float(one.capacity) for one in left}  # work that is not given away, s each second
        wanted = []
        for name, asks in asked.items():
            route = table.routes[name]
            weights = sum(weight for _, weight in route.traffic_split)
            for service, weight in route.traffic_split:
                able = [one for one in left if one.service == service and _homely(route, one)]
                wanted.append((route.priority, len(able), name, service, able, asks.rate * weight / weights))
        for _, count, name, service, able, rate in sorted(wanted, key=lambda one: one[:4]):
            room = sum(slots[one.id] for one in able)
            carried = min(rate, room / asked[name].work) if asked[name].work > 0 else rate
            share = carried * asked[name].work / room if room else 0.0
            for one in able:
                slots[one.id] *= 1 - share
            yield Remains(lost, name, service, count, rate, carried)


def _homely(route: Route, station: Station) -> bool:
    return not route.home_regions or station.region in route.home_regions


@frozen
class Part:
    """What is to be replaced: a gatekeeper, a core machine or a worker. `group`: of what it is one."""

    name: str
    zone: str
    group: str
    last: bool = False  # such as the leader: it goes when all others of its group are back


def rollout(parts: Sequence[Part], most: int, core: bool = False) -> list[list[str]] | Failure:
    """Batches, each to be back before the next. At most `most` are out, all in one zone, never half of a
    group or more where it has three; of the `core` never so many that no majority is left."""
    if most < 1:
        return Failure(FailureReason.INVALID, "at most 0 may be out: nothing can be replaced")
    sizes = Counter(one.group for one in parts)
    bound: dict[str, int] = {}
    for group, size in sizes.items():
        bound[group] = min(most, (size - 1) // 2)
        if core and bound[group] < 1:
            return Failure(
                FailureReason.INVALID, f"{group}: of {size} none may be out, for the others are no majority"
            )
        bound[group] = max(1, bound[group])
    waiting = sorted(parts, key=lambda one: (one.last, one.zone, one.group, one.name))
    batches: list[list[str]] = []
    while waiting:
        zone, last = waiting[0].zone, waiting[0].last
        batch: list[Part] = []
        for one in waiting:
            mine = sum(other.group == one.group for other in batch)
            if one.zone == zone and one.last == last and len(batch) < most and mine < bound[one.group]:
                batch.append(one)
        waiting = [one for one in waiting if one not in batch]
        batches.append([one.name for one in batch])
    return batches


@frozen
class Recorded:
    """A request of a recorded hour; `at`: s; `key`: of its tenant, or empty."""

    at: float
    host: str
    path: str
    key: str = ""


@define
class Bucket:
    """A tenant's quota as the operator states it: `rate` a second, `burst` on top."""

    rate: float
    burst: float
    level: float = 0.0
    at: float = -math.inf

    def passes(self, now: float) -> bool:
        if not self.rate:
            return True
        self.level = min(self.burst + self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


Fate = tuple[str, ...]


def fates(table: RoutingTable, requests: Iterable[Recorded]) -> Iterator[Fate]:
    """Of each request, in order of time: ("unknown",), ("refused", "key"), ("refused", "quota"), or
    ("goes", its services)."""
    buckets: dict[str, Bucket] = {}
    for one in requests:
        route = table.find_route(one.host, one.path)
        if route is None:
            yield ("unknown",)
            continue
        tenant = table.find_tenant(one.key)
        if table.has_tenants and not route.anonymous and tenant is None:
            yield "refused", "key"
            continue
        if tenant is not None and not route.anonymous:
            bucket = buckets.setdefault(tenant.name, Bucket(tenant.rate_limit, tenant.burst_size))
            if not bucket.passes(one.at):
                yield "refused", "quota"
                continue
        yield ("goes", *(f"{service} {weight:g}" for service, weight in route.traffic_split))


def change(
    old: RoutingTable, new: RoutingTable, requests: Sequence[Recorded]
) -> dict[tuple[str, Fate, Fate], int]:
    """How many requests of each route (of the old configuration; else host and path) have which fate before
    and after; those that stay as they were are counted with both alike."""
    ordered = sorted(requests, key=lambda one: one.at)
    found: dict[tuple[str, Fate, Fate], int] = defaultdict(int)
    for one, before, after in zip(ordered, fates(old, ordered), fates(new, ordered), strict=True):
        route = old.find_route(one.host, one.path) or new.find_route(one.host, one.path)
        found[route.name if route else f"{one.host}{one.path}", before, after] += 1
    return dict(found)
