"""Clients with keys, and operators: what the pages say that they do."""

import math
from collections.abc import Callable, Mapping
from typing import Any

from attrs import define

from ashlift.config import operator_config
from ashlift.config.routing_table import RoutingTable
from ashlift.simulation import board, keeper
from ashlift.simulation.event_loop import EventLoop
from ashlift.simulation.history import (
    ConfigurationChange,
    EvacuationCall,
    EvacuationChange,
    History,
    Reading,
    Request,
)
from ashlift.simulation.keeper import Keeper
from ashlift.simulation.network import as_simulated
from ashlift.simulation.process import Machine, Network, Process, Task

TRIES = 3  # of a client, for one thing it wants
CONNECT_S = 1.0
LOOKUP_S = 1.0
FOLLOWED = 2  # times that a caller goes where a 307 says
HOP_S = 0.001  # from a client to a gatekeeper of its zone, one way


@define(slots=True)
class Want:
    """What is asked, how often, by whom. `rate`: a second, over all zones; `deadline`: s."""

    path: str
    idempotent: bool
    key: str
    rate: float
    deadline: float = 3.0


@define(eq=False, slots=True)
class Errand:
    """One thing that a client wants, over all its tries."""

    want: Want
    until: float
    tries: int = 0
    served: bool = False
    over: bool = False


class Crowd(Process):
    """The clients of one zone: they hold one answer of /lookup together."""

    def __init__(
        self,
        loop: EventLoop,
        net: Network,
        machine: Machine,
        history: History,
        boards: list[str],
        share: Callable[[], float],
    ) -> None:
        super().__init__(loop, net, machine, "crowd")
        self.history, self.boards, self.share = history, boards, share
        self.wants: list[Want] = []
        self.addresses: list[str] = []
        self.failed: dict[str, float] = {}  # until when an address is passed over
        self.errands: list[Errand] = []

    def on_start(self) -> None:
        self.spawn(self._lookups())

    def _lookups(self) -> Task:
        machines = self.net.machines
        near = sorted(
            self.boards,
            key=lambda name: (
                machines[name].zone != self.machine.zone,
                machines[name].region != self.machine.region,
            ),
        )
        yield self.loop.rng.random()
        while True:
            for at in near[:3]:
                body = (self.machine.zone, self.machine.region)
                answer = yield self.call(at, board.KIND, "lookup", body, LOOKUP_S)
                if isinstance(answer, tuple) and answer[0] == 200:
                    self.addresses = [front.partition(":")[0] for front in answer[1]]
                    break
            yield LOOKUP_S

    def add(self, want: Want) -> None:
        self.wants.append(want)
        self._next(want)

    def _next(self, want: Want) -> None:
        rate = want.rate * self.share()
        if rate > 0:
            self.loop.call_later(self.loop.rng.expovariate(rate), self._ask, want)
        else:
            self.loop.call_later(0.2, self._next, want)

    def _ask(self, want: Want) -> None:
        if want not in self.wants:
            return
        errand = Errand(want, self.loop.now + want.deadline)
        self.errands.append(errand)
        self.attempt(errand)
        self._next(want)

    def attempt(self, errand: Errand) -> None:
        """One more try, at a gatekeeper by chance."""
        now, want, chance = self.loop.now, errand.want, self.loop.rng
        if errand.tries >= TRIES or now >= errand.until:
            errand.over = True
            return
        errand.tries += 1
        fit = [one for one in self.addresses if self.failed.get(one, 0.0) <= now] or self.addresses
        if not fit:
            return self.loop.call_later(0.3, self.attempt, errand)
        at = chance.choice(fit)
        request = self.history.add_request(
            want.path, want.idempotent, want.key, self.machine.zone, self.machine.region, now
        )
        request.proxy = at
        self.send_request(errand, request)

    def send_request(self, errand: Errand, request: Request) -> None:
        """Carry the request to its gatekeeper."""
        at, net = request.proxy, as_simulated(self.net)
        machine = net.machines[at]
        target = machine.processes[keeper.KIND]
        assert isinstance(target, Keeper)
        trip = HOP_S if machine.zone == self.machine.zone else HOP_S + net.delay(self.machine, machine)
        if not machine.powered or not net.is_connected(self.machine.link_name, machine.link_name):
            self.loop.call_later(CONNECT_S, self._failed, errand, request, True)
        elif not target.up:
            self.loop.call_later(2 * trip, self._failed, errand, request, True)
        else:
            life = target.incarnation
            self.loop.call_later(trip, self._come, errand, request, target, life, trip)

    def _come(self, errand: Errand, request: Request, target: Keeper, life: int, trip: float) -> None:
        if not target.up or target.incarnation != life:
            return self._failed(errand, request, True)

        def answered(status: int, again: float | None) -> None:
            if as_simulated(self.net).is_connected(self.machine.link_name, target.machine.link_name):
                self.loop.call_later(trip, self._answered, errand, request, status, again)

        def over() -> None:
            if not math.isinf(request.ended):
                return
            request.ended = self.loop.now
            errand.over = True
            case = target.cases.get(request)
            if case is not None:
                target.deliver(case.hang_up, ())

        left = errand.until - self.loop.now
        target.deliver(self._take, (target, request, left, answered))
        self.loop.call_later(left, over)

    @staticmethod
    def _take(
        target: Keeper, request: Request, left: float, answered: Callable[[int, float | None], None]
    ) -> None:
        if math.isinf(request.ended):
            target.take(request, left, answered)

    def _failed(self, errand: Errand, request: Request, unread: bool) -> None:
        request.ended = self.loop.now
        self.failed[request.proxy] = self.loop.now + 2.0
        if unread or errand.want.idempotent:
            self.attempt(errand)
        else:
            errand.over = True

    def _answered(self, errand: Errand, request: Request, status: int, again: float | None) -> None:
        if not math.isinf(request.ended):
            return
        now = self.loop.now
        request.status, request.ended = status, now
        request.connection_broken = status == 0
        if status == 0:
            return self._failed(errand, request, False)
        if 200 <= status < 300:
            errand.served = errand.over = True
        elif status in (429, 503):
            self.loop.call_later(min(again or 0.0, (errand.until - now) / 3), self.attempt, errand)
        elif status in (400, 401, 404, 413, 431) or not errand.want.idempotent:
            errand.over = True
        else:
            self.attempt(errand)


def edited(body: Mapping[str, Any], version: int, words: list[str]) -> dict[str, Any]:
    """A whole configuration changed by words: `look=desk` (the route goes there), `r+NAME=SERVICE`, `r-NAME`,
    `k+TENANT=KEY`, `k-KEY`, `q:TENANT=RATE` (and as much burst), `t+TENANT=RATE` (with the keys TENANT-a,
    TENANT-b), `t-TENANT`. ValueError: no such word."""
    objects = {(one["ObjectType"], one["Metadata"].get("Name", "")): dict(one) for one in body["Objects"]}
    for word in words:
        left, _, right = word.partition("=")
        kind, name = left[:2], left[2:]
        if kind == "r+":
            spec: dict[str, Any] = {
                "Host": "app.example",
                "PathPrefix": f"/{name}/",
                "RouteType": "idempotent",
                "Timeout": "3000ms",
                "Service": right,
                "MaxAttempts": 2,
                "Anonymous": True,
            }
            objects["Routes", name] = {
                "ObjectType": "Routes",
                "Metadata": {"Name": name},
                "Specification": spec,
            }
        elif kind == "t+":
            rate = float(right)
            spec = {"ApiKeys": [f"{name}-a", f"{name}-b"], "RatePerS": rate, "BurstSize": rate}
            objects["Tenants", name] = {
                "ObjectType": "Tenants",
                "Metadata": {"Name": name},
                "Specification": spec,
            }
        elif kind in ("r-", "t-"):
            del objects["Routes" if kind == "r-" else "Tenants", name]
        elif kind in ("k+", "k-", "q:"):
            for key, one in list(objects.items()):
                spec = one["Specification"]
                keys = spec.get("ApiKeys", [])
                if kind == "k-" and name in keys:
                    change: dict[str, Any] = {"ApiKeys": [key for key in keys if key != name]}
                elif kind == "k+" and key == ("Tenants", name):
                    change = {"ApiKeys": [*keys, right]}
                elif kind == "q:" and key == ("Tenants", name):
                    change = {"RatePerS": float(right), "BurstSize": float(right)}
                else:
                    continue
                objects[key] = {**one, "Specification": {**spec, **change}}
        elif right and ("Routes", left) in objects:
            one = objects["Routes", left]
            objects["Routes", left] = {**one, "Specification": {**one["Specification"], "Service": right}}
        else:
            raise ValueError(word)
    return {"ConfigVersion": f"{version:08x}", "Objects": list(objects.values())}


def patched(old: Mapping[str, Any], new: Mapping[str, Any]) -> dict[str, Any]:
    """The PATCH that makes `new` of `old`."""
    held = {(one["ObjectType"], one["Metadata"].get("Name", "")): one for one in old["Objects"]}
    fresh = {(one["ObjectType"], one["Metadata"].get("Name", "")): one for one in new["Objects"]}
    withdraw: dict[str, list[str]] = {}
    for kind, name in held.keys() - fresh.keys():
        withdraw.setdefault(kind, []).append(name)
    upsert = [one for key, one in fresh.items() if held.get(key) != one]
    return {"ConfigVersion": new["ConfigVersion"], "Upsert": {"Objects": upsert}, "Withdraw": withdraw}


class Operator(Process):
    """Sends orders again, unchanged, to any core machine, until there is a clear answer."""

    def __init__(
        self, loop: EventLoop, net: Network, machine: Machine, history: History, boards: list[str]
    ) -> None:
        super().__init__(loop, net, machine, "operator")
        self.history, self.boards = history, boards

    def on_start(self) -> None:
        pass

    def _places(self, first: str | None) -> list[str]:
        others = self.loop.rng.sample(self.boards, len(self.boards))
        return ([first] if first else []) + [name for name in others if name != first]

    def _order(
        self, body: dict[str, Any], first: str | None, told: Callable[[int], None], once: bool = False
    ) -> Task:
        pause, places = 0.1, self._places(first)
        timeout = (
            1.0 + 0.003 * len(body["body"].get("Objects", ())) if isinstance(body["body"], dict) else 1.0
        )
        while True:
            answer = yield from self._sent(places[0], body, timeout)
            if isinstance(answer, tuple) and answer[0] in (200, 400, 404, 412, 422):
                return told(answer[0])
            if once:
                return None
            places = places[1:] or self._places(None)
            yield pause
            pause = min(1.0, 1.5 * pause)

    def _sent(self, at: str, body: dict[str, Any], timeout: float) -> Task:
        """One call of it, sent on as often as a 307 may say so."""
        for _ in range(1 + FOLLOWED):
            sent, copy = self.loop.now, None
            if body["kind"] in ("evacuate", "restore"):
                copy = EvacuationCall(
                    body["body"], body["kind"] == "evacuate", sent, sent + timeout, self.name
                )
                self.history.evacuation_calls.append(copy)
            answer = yield self.call(at, board.KIND, "order", body, timeout)
            if copy is not None and isinstance(answer, tuple) and answer[0] == 200:
                copy.ended = self.loop.now
            timeout -= self.loop.now - sent
            if not isinstance(answer, tuple) or answer[0] != 307:
                break
        return answer

    def put(self, change: ConfigurationChange, first: str | None = None) -> None:
        change.sent = self.loop.now
        self.history.changes.append(change)
        self.spawn(self.changed(change, first))

    def changed(self, change: ConfigurationChange, first: str | None) -> Task:

        def told(status: int) -> None:
            change.ended = self.loop.now
            if status == 200:
                change.acknowledged = self.loop.now
            else:
                change.rejected_status = status

        yield from self._order(change.as_command(), first, told)

    def empty(self, zone: str, on: bool, first: str | None = None, once: bool = False) -> None:
        self.spawn(self.zoned(zone, on, first, once))

    def zoned(self, zone: str, on: bool, first: str | None, once: bool = False) -> Task:
        order = EvacuationChange(zone, on, self.loop.now)
        self.history.evacuations.append(order)

        def told(status: int) -> None:
            if status == 200:
                order.acknowledged = self.loop.now

        kind = "evacuate" if on else "restore"
        yield from self._order({"kind": kind, "if_match": None, "body": zone}, first, told, once)

    def read(self, first: str | None = None, then: Callable[[Reading], None] | None = None) -> None:
        self.spawn(self._read(first, then))

    def _read(self, first: str | None, then: Callable[[Reading], None] | None) -> Task:
        places = self._places(first)
        while True:
            begun = self.loop.now
            answer = yield self.call(places[0], board.KIND, "config", None, 1.0)
            if isinstance(answer, tuple) and answer[0] in (200, 404):
                body, entries = answer[1]
                version = int(body.get("ConfigVersion", "0"), 16)
                found = Reading(begun, self.loop.now, version, body, entries)
                self.history.readings.append(found)
                return then(found) if then else None
            places = places[1:] or self._places(None)
            yield 0.2


def change(version: int, base: int, who: str, body: dict[str, Any], now: float) -> ConfigurationChange:
    """A whole configuration as an operator means it."""
    entries = operator_config.load_configuration(body)
    if isinstance(entries, list):
        return ConfigurationChange(version, base, who, now, body, {}, RoutingTable.from_entries({}), False)
    return ConfigurationChange(version, base, who, now, body, entries, RoutingTable.from_entries(entries))
