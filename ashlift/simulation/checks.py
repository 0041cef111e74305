"""The rules of ashlift over a history. Each checker gives breaches; `simulation.rules` has all of them.

What is in touch, and the rules themselves: RULES.md of the users. Bounds come from the settings, times in s.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator

from attrs import evolve, frozen

from ashlift.config.routing_table import RoutingTable
from ashlift.config.settings import Bounds
from ashlift.simulation.history import Arrival, Change, History, Request
from ashlift.simulation.linearizability import ACKNOWLEDGED, CONFLICT, IN_DOUBT, Call, find_unexplained_call

DENIED_FREE, DENIED_SHARE = 5, 1 / 500
SPUN = 50  # turns
PROMISES = (429, 503, 408, 421)


@frozen
class Breach:
    rule: str
    at: float
    what: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.3f}: {self.what}"


def first(breaches: Iterable[Breach]) -> Breach | None:
    return min(breaches, key=lambda breach: breach.at, default=None)


class Judge:
    """One history with its bounds; `zones`: zone -> region."""

    def __init__(self, history: History, bounds: Bounds, zones: dict[str, str]) -> None:
        self.history, self.bounds, self.zones = history, bounds, zones
        self.changes = sorted(history.changes, key=lambda one: (one.version, one.sent))
        # What may be in force: all but what was clearly refused.
        self.chain = [one for one in self.changes if one.valid and not one.refused]

    # ---- in touch
    def settled(self, since: float, until: float) -> bool:
        return not any(span[0] <= until and span[1] >= since for span in self.history.unsettled)

    def calm(self, machine: str, since: float, until: float) -> bool:
        return not any(
            span[0] <= until and span[1] >= since for span in self.history.troubles.get(machine, ())
        )

    def in_touch(self, machine: str, at: float) -> bool:
        since = at - self.bounds.contact
        return self.calm(machine, since, at) and self.settled(since, at)

    def late(self, machine: str, at: float, acked: float, bound: float) -> bool:
        """Whether what was acknowledged then must be heeded by now: in touch, or the core's unrest has
        stretched the bound as far as it may."""
        if at <= acked + bound:
            return False
        if self.in_touch(machine, at):
            return True
        since = at - self.bounds.contact
        split = any(math.isinf(span[1]) or span[1] > span[0] for span in self.history.unsettled)
        return not split and self.calm(machine, since, at) and at > acked + bound + self.bounds.max_stretch

    # ---- requests
    def twice(self) -> Iterator[Breach]:
        for request in self.history.requests:
            runs = [one for one in request.arrivals if one.ran]
            if not request.repeatable and len(runs) > 1:
                at = sorted(one.at for one in runs)[1]
                names = ", ".join(one.worker for one in runs)
                yield Breach("TWICE", at, f"{request.told()} ran at {names}")

    def refused(self) -> Iterator[Breach]:
        for request in self.history.requests:
            ran = [one for one in request.arrivals if one.ran]
            if not request.repeatable and request.status in PROMISES and ran:
                yield Breach(
                    "REFUSED", request.ended, f"{request.told()} got {request.status}, ran at {ran[0].worker}"
                )

    def route(self) -> Iterator[Breach]:
        tables = [(one.sent, one.table) for one in self.changes if one.valid]
        for request, one in self._ran():
            if not any(sent <= one.at and _allows(table, request, one) for sent, table in tables):
                yield Breach(
                    "ROUTE",
                    one.at,
                    f"{request.told()} ran at {one.worker} of {one.service} "
                    f"for {one.tenant or 'nobody'}, which nothing ever allowed",
                )

    def denied(self) -> Iterator[Breach]:
        wrong = [
            one
            for one in self.history.requests
            if one.status in (401, 403, 404)
            and self.in_touch(one.gate, one.ended)
            and not any(_refuses(change.table, one) for change in self._in_force(one.taken, one.ended))
        ]
        if len(wrong) > DENIED_FREE + DENIED_SHARE * len(self.history.requests):
            last = wrong[-1]
            yield Breach(
                "DENIED", last.ended, f"{len(wrong)} proper requests, the last {last.told()}: {last.status}"
            )

    def stopped(self) -> Iterator[Breach]:
        """Ours, beyond the rules and for all machines: 401 and 404 stop a client, so none is given to what a
        configuration allows that was acknowledged before it was sent."""
        for request in self.history.requests:
            if request.status not in (401, 403, 404):
                continue
            told = max((one.version for one in self.chain if one.acked < request.sent), default=0)
            able = [one for one in self.chain if one.version >= told and one.sent <= request.ended]
            if able and not any(_refuses(one.table, request) for one in able):
                what = f"{request.told()} got {request.status}, and version {told} was acknowledged before"
                yield Breach("STOPPED", request.ended, what)

    def spun(self) -> Iterator[Breach]:
        """Fault: a program does not hand back the processor, trying again what cannot be, without a pause."""
        for request in self.history.requests:
            if request.full > SPUN:
                yield Breach(
                    "Fault", request.taken, f"{request.told()}: {request.full} turns without a connection"
                )

    def _ran(self) -> Iterator[tuple[Request, Arrival]]:
        for request in self.history.requests:
            for one in request.arrivals:
                if one.ran:
                    yield request, one

    def _in_force(self, since: float, until: float) -> list[Change]:
        """Changes that may be in force somewhere in this span."""
        apply = self.bounds.config_apply + self.bounds.max_stretch
        old = [one for one in self.chain if one.acked + apply < since]
        least = old[-1].version if old else 0
        return [one for one in self.chain if one.version >= least and one.sent <= until]

    # ---- configuration
    def _shows(self, request: Request) -> Iterator[tuple[float, list[int], str, bool]]:
        """What a request shows of the configuration in force at its gatekeeper: when, the versions that
        explain it, what was seen, and whether a worker saw it."""
        for one in request.arrivals:
            if one.ran:
                fit = [change.version for change in self.chain if _allows(change.table, request, one)]
                yield one.at, fit, f"ran at {one.worker} of {one.service} for {one.tenant or 'nobody'}", True
        if request.status in (401, 403, 404):
            fit = [change.version for change in self.chain if _refuses(change.table, request)]
            yield request.ended, fit, f"got {request.status}", False

    def config(self) -> Iterator[Breach]:
        """What is older than it may be, what went back, what was never in force, and what lost its race."""
        apply, slack = self.bounds.config_apply, self.bounds.downgrade_slack
        acked = [one for one in self.chain if one.acked < math.inf]
        shown: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
        told: list[tuple[Request, float, list[int], str]] = []
        for request in self.history.requests:
            for at, fit, what, ran in self._shows(request):
                if not fit:
                    if ran:
                        yield Breach(
                            "CONFIG", at, f"{request.told()} {what}, as no version that may be in force says"
                        )
                    continue
                told.append((request, at, fit, what))
                if ran and min(fit) > (self.chain[0].version if self.chain else 0):
                    shown[request.gate, request.life].append((at, min(fit)))
                for change in acked:
                    if max(fit) < change.version and self.late(
                        request.gate, request.sent, change.acked, apply
                    ):
                        yield Breach(
                            "CONFIG",
                            at,
                            f"{request.told()} {what}, as only version {max(fit)} says, and "
                            f"{change.told()} was acknowledged at {change.acked:.3f}",
                        )
        for seen in shown.values():
            seen.sort()
        for request, at, fit, what in told:
            for seen_at, version in shown.get((request.gate, request.life), ()):
                if seen_at + slack >= request.sent:
                    break
                if max(fit) < version:
                    yield Breach(
                        "CONFIG",
                        at,
                        f"{request.told()} {what}: back from version {version}, which had "
                        f"an effect there at {seen_at:.3f}, to {max(fit)}",
                    )
                    break
        yield from self._races()

    def _races(self) -> Iterator[Breach]:
        bases: dict[int, Change] = {}
        for change in sorted(self.changes, key=lambda one: one.acked):
            if math.isinf(change.acked):
                continue
            if not change.valid:
                yield Breach("CONFIG", change.acked, f"{change.told()} is invalid and was acknowledged")
            other = bases.setdefault(change.base, change)
            if other is not change and other.asked() != change.asked():  # equal ones are one order
                yield Breach("CONFIG", change.acked, f"{change.told()} and {other.told()}: both acknowledged")

    def revoked(self) -> Iterator[Breach]:
        """CONFIG, of all machines: no request runs that was sent more than Revoke after its key's removal."""
        holders: dict[str, list[Change]] = {}
        for request, one in self._ran():
            key = request.key
            if not key or not one.tenant:
                continue
            if key not in holders:
                holders[key] = [change for change in self.chain if change.table.find_tenant(key)]
            limit = request.sent - self.bounds.revoke
            gone = [change for change in self.chain if change.acked < limit and change not in holders[key]]
            if not gone or any(
                change.version > gone[-1].version and change.sent <= one.at for change in holders[key]
            ):
                continue
            yield Breach(
                "CONFIG",
                one.at,
                f"{request.told()} ran at {one.worker}, and {gone[-1].told()} without "
                f"its key was acknowledged at {gone[-1].acked:.3f}",
            )

    def read_back(self) -> Iterator[Breach]:
        """CONFIG: what is read is no older than what was acknowledged or read before, and as it was sent."""
        acked = sorted((one for one in self.chain if one.acked < math.inf), key=lambda one: one.acked)
        newest = 0
        ended: list[tuple[float, int]] = []
        for reading in sorted(self.history.readings, key=lambda one: one.begun):
            for change in acked:
                if change.acked < reading.begun and change.version > reading.version:
                    rule = "LOST" if reading.begun > self.history.closing else "CONFIG"
                    yield Breach(
                        rule,
                        reading.ended,
                        f"read version {reading.version}, and {change.told()} "
                        f"was acknowledged at {change.acked:.3f}",
                    )
                    break
            newest = max((version for at, version in ended if at < reading.begun), default=0)
            if reading.version < newest:
                yield Breach("CONFIG", reading.ended, f"read version {reading.version} after {newest}")
            ended.append((reading.ended, reading.version))
            sent = [one for one in self.changes if one.version == reading.version]
            if reading.version and not any(dict(reading.body) == one.body for one in sent):
                yield Breach(
                    "CONFIG", reading.ended, f"what is read as version {reading.version} is not what was sent"
                )
            lost = [one for one in sent if dict(reading.body) == one.body]
            if lost and all(one.refused or not one.valid for one in lost):
                yield Breach("CONFIG", reading.ended, f"{lost[0].told()} was refused and is in force")

    def linear(self) -> Iterator[Breach]:
        """CONFIG: one order of all the operator's calls explains every answer."""
        calls = [
            Call(one.sent, one.ended, one.asked(), _told(one), operator=one.who)
            for one in self.changes
            if one.valid and one.refused in (0, 412)
        ]
        calls += [
            Call(one.begun, one.ended, observed=one.seen(), evacuated_zones=one.zones())
            for one in self.history.readings
        ]
        calls += [
            Call(
                one.sent,
                one.ended,
                evacuation=(one.zone, one.on),
                effect_deadline=one.until,
                operator=one.who,
            )
            for one in self.history.copies
        ]
        wrong = find_unexplained_call(calls)
        if wrong is not None:
            yield Breach("CONFIG", wrong.ended, f"no order of all calls explains {wrong}")

    def resent(self) -> Iterator[Breach]:
        """CONFIG: what was acknowledged is acknowledged again or has no clear answer, however late."""
        for one in self.history.resends:
            if one.change.acked < one.sent and 400 <= one.status < 500:
                acked = f"acknowledged at {one.change.acked:.3f}"
                what = f"{one.change.told()}, {acked}, got {one.status} at {one.at}"
                yield Breach("CONFIG", one.ended, what)

    def lost(self) -> Iterator[Breach]:
        """LOST: evacuations that were acknowledged stand, and those taken back do not."""
        for reading in self.history.readings:
            if reading.entries is None:
                continue
            by_zone = defaultdict(list)
            for order in self.history.orders:
                if order.sent < reading.ended:
                    by_zone[order.zone].append(order)
            for zone, orders in by_zone.items():
                last = orders[-1]
                if last.acked < reading.begun and (f"Evacuations/{zone}" in reading.entries) != last.on:
                    word = "is gone" if last.on else "stands still"
                    yield Breach(
                        "LOST",
                        reading.ended,
                        f"the evacuation of {zone}, last told at {last.acked:.3f}, {word}",
                    )

    # ---- leaving
    def drain(self) -> Iterator[Breach]:
        workers, bound = self.history.workers, self.bounds.drain
        for request in self.history.requests:
            for one in request.arrivals:
                worker = workers[one.worker]
                due = min(worker.left, worker.deleted)
                if one.code == 421 or one.at <= due + bound or not self.in_touch(one.gate, one.at):
                    continue
                if self.in_touch(worker.left_at, worker.left):
                    yield Breach(
                        "DRAIN",
                        one.at,
                        f"{request.told()} reached {one.worker}, and {worker.left_at} "
                        f"acknowledged at {due:.3f} that it leaves",
                    )

    def evacuated(self) -> Iterator[Breach]:
        bound, orders = self.bounds.evacuation, self.history.orders
        if not orders:
            return
        for request in self.history.requests:
            for one in request.arrivals:
                zone = self.history.workers[one.worker].zone
                told = [order for order in orders if order.zone == zone and order.sent <= one.at]
                if one.code == 421 or not told or not told[-1].on:
                    continue
                if self.late(one.gate, one.at, told[-1].acked, bound):
                    yield Breach(
                        "EVAC",
                        one.at,
                        f"{request.told()} reached {one.worker} in {zone}, whose evacuation "
                        f"was acknowledged at {told[-1].acked:.3f}",
                    )

    # ---- sums over all machines
    def budget(self) -> Iterator[Breach]:
        window, ratio, slack = (
            self.bounds.retry_window,
            self.bounds.retry_budget_ratio,
            self.bounds.retry_slack,
        )
        asked: dict[str, list[float]] = defaultdict(list)
        again: dict[str, list[tuple[float, Request]]] = defaultdict(list)
        for request in self.history.requests:
            service = self._service(request)
            if service:
                asked[service].append(request.sent)
            for one in request.arrivals[1:]:
                again[one.service].append((one.at, request))
        for service, tries in again.items():
            tries.sort(key=lambda one: one[0])
            sent, low = sorted(asked[service]), 0
            for high, (at, request) in enumerate(tries):
                while tries[low][0] <= at - window:
                    low += 1
                if high - low + 1 <= slack:
                    continue
                spans = [at - window - shift for shift in (0.0, window / 2, window)]
                most = max(sum(since < one <= since + window for one in sent) for since in spans)
                if high - low + 1 > ratio * most + slack:
                    yield Breach(
                        "BUDGET",
                        at,
                        f"{high - low + 1} further tries at {service} within {window:g} s, for "
                        f"{most} requests; the last of {request.told()} by {request.gate}",
                    )
                    break

    def _service(self, request: Request) -> str:
        """Where the request goes by the newest configuration known to be in force when it was sent."""
        if request.arrivals:
            return request.arrivals[0].service
        for change in reversed(self.chain):
            if change.acked <= request.sent:
                route = change.table.find_route("app.example", request.path)
                return route.traffic_split[0][0] if route else ""
        return ""

    def quota(self) -> Iterator[Breach]:
        window, over, slack = self.bounds.quota_window, self.bounds.quota_overrun, self.bounds.quota_slack
        runs: dict[str, list[tuple[float, float, Request]]] = defaultdict(list)
        for request, one in self._ran():
            if one.tenant:
                runs[one.tenant].append((one.at, request.sent, request))
        for tenant, found in runs.items():
            found.sort(key=lambda one: one[0])
            low = worst = 0
            breach: Breach | None = None
            for high, (at, _, request) in enumerate(found):
                while found[low][0] <= at - window:
                    low += 1
                rate, burst = self._limit(tenant, at - window, at)
                most = (rate * window + burst) * (1 + over) + slack
                if high - low + 1 <= most:
                    continue
                inside = sum(sent > at - window for _, sent, _ in found[low : high + 1])
                if inside > most:
                    breach = breach or Breach(
                        "QUOTA",
                        at,
                        f"{tenant} within {window:g} s, {most:g} allowed, the first "
                        f"too many {request.told()}",
                    )
                    worst = max(worst, inside)
            if breach is not None:
                yield evolve(breach, what=f"up to {worst} of {breach.what}")

    def _limit(self, tenant: str, since: float, until: float) -> tuple[float, float]:
        """The highest limit that may bind in the span: a lower one binds late."""
        slow = self.bounds.config_apply + self.bounds.max_stretch + self.bounds.quota_window
        least = max((one.version for one in self.chain if one.acked + slow < since), default=0)
        limits = []
        for change in self.chain:
            known = change.table.tenants.get(tenant)
            if change.version >= least and change.sent <= until and known is not None:
                limits.append(
                    (known.rate_limit, known.burst_size) if known.rate_limit > 0 else (math.inf, math.inf)
                )
        return max(limits, default=(math.inf, math.inf))

    def failback(self) -> Iterator[Breach]:
        got: dict[str, list[tuple[float, float, Request]]] = defaultdict(list)
        workers = self.history.workers
        for request in self.history.requests:
            for one in request.arrivals:
                if one.code != 421 and workers[one.worker].is_cold(one.at):
                    got[one.worker].append((one.at, request.sent, request))
        for name, found in got.items():
            found.sort(key=lambda one: one[0])
            rates = [
                service.warmup_rate
                for one in self.chain
                if (service := one.table.services.get(workers[name].service))
            ]
            most = max(rates, default=math.inf) * self.bounds.cold_overrun + self.bounds.cold_slack
            low = 0
            for high, (at, _, request) in enumerate(found):
                while found[low][0] <= at - 1.0:
                    low += 1
                inside = sum(sent > at - 1.0 for _, sent, _ in found[low : high + 1])
                if inside > most:
                    yield Breach(
                        "FAILBACK",
                        at,
                        f"{inside} at the cold {name} within a second, {most:g} allowed; the "
                        f"last {request.told()} by {request.gate}",
                    )
                    break

    def home(self) -> Iterator[Breach]:
        for request in self.history.requests:
            for one in request.arrivals:
                region = self.history.workers[one.worker].region
                able = [change.table for change in self.chain if change.sent <= one.at]
                if able and not any(_homely(table, request, region) for table in able):
                    yield Breach("HOME", one.at, f"{request.told()} reached {one.worker} in {region}")


def _told(change: Change) -> str | None:
    if change.refused:
        return CONFLICT
    return ACKNOWLEDGED if change.acked < math.inf else IN_DOUBT


def _allows(table: RoutingTable, request: Request, one: Arrival) -> bool:
    """Whether the configuration lets this run there, for that tenant."""
    route = table.find_route("app.example", request.path)
    if route is None or one.service not in [name for name, _ in route.traffic_split]:
        return False
    if route.anonymous or not table.has_tenants:
        return True
    tenant = table.find_tenant(request.key)
    return tenant is not None and tenant.name == one.tenant


def _refuses(table: RoutingTable, request: Request) -> bool:
    route = table.find_route("app.example", request.path)
    if route is None or request.status == 404:
        return route is None and request.status == 404
    return table.has_tenants and not route.anonymous and table.find_tenant(request.key) is None


def _homely(table: RoutingTable, request: Request, region: str) -> bool:
    route = table.find_route("app.example", request.path)
    tenant = table.find_tenant(request.key)
    if route is None:
        return False
    return all(
        not homes or region in homes
        for homes in (route.home_regions, tenant.home_regions if tenant else frozenset())
    )
