"""Every checker catches a planted breach of its rule, and passes the same history without it."""

import math
from collections.abc import Callable
from typing import Any

from ward import each, test

from ashlift.config.settings import Bounds
from ashlift.simulation.checkers.checked_history import CheckedHistory
from ashlift.simulation.checkers.configuration_checks import (
    check_configuration_in_force,
    check_linearizability,
)
from ashlift.simulation.checkers.rules import RULE_TEXTS, check_rules, explain, first_violation
from ashlift.simulation.configurations import (
    configuration_change,
    edit_configuration,
    first_configuration,
    patch_between,
)
from ashlift.simulation.history import (
    Arrival,
    EvacuationChange,
    History,
    Reading,
    Request,
    UnexpectedArrival,
    WorkerRecord,
)
from ashlift.simulation.plan import ZONES, Plan

BOUNDS = Bounds(revocation_strict=True)


class HistoryBuilder:
    """A history by hand: version 1 is in force from 1 s on, and all is calm."""

    def __init__(self) -> None:
        self.history = History()
        self.body = first_configuration(Plan(homes=["r1"], quota=10.0))
        places = {"fleet-1": "z1", "fleet-2": "z2", "desk-1": "z1", "bill-1": "z1", "bill-2": "z2"}
        for name, zone in places.items():
            record = WorkerRecord(name, name.partition("-")[0], zone, ZONES[zone], name, 0.0)
            self.history.workers[name] = record
        self.put(1, 0, [], 1.0)

    def put(self, version: int, base: int, words: list[str], acked: float) -> Any:
        change = configuration_change(
            version, base, "A", edit_configuration(self.body, version, words), acked - 0.5
        )
        change.acknowledged = change.ended = acked
        self.history.changes.append(change)
        return change

    def ask(
        self,
        at: float,
        path: str,
        worker: str = "",
        status: int = 200,
        key: str = "t1-a",
        gate: str = "edge-1",
        ran: bool = True,
        tenant: str = "t1",
        code: int = 0,
    ) -> Request:
        one = self.history.add_request(path, path.startswith("/look"), key, "z1", "r1", at)
        one.proxy, one.received, one.status, one.ended = gate, at, status, at + 0.2
        if worker:
            self.more(one, at + 0.1, worker, ran, tenant, code)
        return one

    def more(
        self, one: Request, at: float, worker: str, ran: bool = True, tenant: str = "t1", code: int = 0
    ) -> None:
        service = self.history.workers[worker].service
        one.arrivals.append(Arrival(at, worker, service, tenant, one.proxy, ran, code))

    def read(self, at: float, version: int, body: Any = None, **entries: Any) -> None:
        sent = next(one for one in self.history.changes if one.version == version)
        self.history.readings.append(Reading(at, at + 0.1, version, body or sent.body, entries))


def twice(builder: HistoryBuilder, bad: bool) -> None:
    builder.more(builder.ask(10, "/hold/x", "desk-1"), 10.2, "desk-1", ran=bad)


def refused(builder: HistoryBuilder, bad: bool) -> None:
    builder.ask(10, "/hold/x", "desk-1", 503, ran=bad, code=0 if bad else 503)


def route(builder: HistoryBuilder, bad: bool) -> None:
    builder.ask(10, "/hold/x", "fleet-1" if bad else "desk-1")


def tenant(builder: HistoryBuilder, bad: bool) -> None:
    builder.ask(10, "/hold/x", "desk-1", tenant="t2" if bad else "t1")


def denied(builder: HistoryBuilder, bad: bool) -> None:
    for _ in range(8):
        builder.ask(10, "/look/x", status=401, key="t1-a" if bad else "wrong")


def stopped(builder: HistoryBuilder, bad: bool) -> None:
    builder.put(2, 1, ["t+t9=10"], 10)
    builder.ask(10.001 if bad else 9.9, "/look/x", status=401, key="t9-a", gate="edge-2")


def stale(builder: HistoryBuilder, bad: bool) -> None:
    builder.put(2, 1, ["look=desk"], 10)
    builder.ask(13.2 if bad else 12.8, "/look/x", "fleet-1")


def stale_key(builder: HistoryBuilder, bad: bool) -> None:
    builder.put(2, 1, ["k+t1=new"], 10)
    builder.ask(14, "/look/x", status=401, key="new" if bad else "other")


def downgraded(builder: HistoryBuilder, bad: bool) -> None:
    builder.put(2, 1, ["look=desk"], 10)
    builder.ask(10.5, "/look/x", "desk-1")
    builder.ask(11, "/look/x", "fleet-1", gate="edge-1" if bad else "edge-2")


def raced(builder: HistoryBuilder, bad: bool) -> None:
    builder.put(2, 1, ["look=desk"], 10)
    builder.put(3, 1 if bad else 2, ["hold=fleet"], 10.1)


def revoked(builder: HistoryBuilder, bad: bool) -> None:
    builder.put(2, 1, ["k-t1-a"], 10)
    builder.history.begin_fault("edge-1", 9.0)  # out of touch: only Revoke binds
    builder.ask(15.1 if bad else 14.9, "/look/x", "fleet-1")


def read_back(builder: HistoryBuilder, bad: bool) -> None:
    builder.put(2, 1, ["look=desk"], 10)
    builder.read(11, 1 if bad else 2)


def read_other(builder: HistoryBuilder, bad: bool) -> None:
    builder.read(11, 1, edit_configuration(builder.body, 1, ["look=desk"]) if bad else None)


def read_refused(builder: HistoryBuilder, bad: bool) -> None:
    late = builder.put(2, 1, ["look=desk"], 10)
    late.acknowledged, late.rejected_status = math.inf, 412 if bad else 0
    builder.read(11, 2)


def lost(builder: HistoryBuilder, bad: bool) -> None:
    builder.history.evacuations.append(EvacuationChange("z1", True, 9, 10))
    builder.read(11, 1, None, **{} if bad else {"Evacuations/z1": True})


def drain(builder: HistoryBuilder, bad: bool) -> None:
    (
        builder.history.workers["fleet-1"].draining_acknowledged,
        builder.history.workers["fleet-1"].draining_registry,
    ) = 10, "core-1"
    builder.ask(13.1 if bad else 12.7, "/look/x", "fleet-1")


def drain_told_to_a_machine_cut_off(builder: HistoryBuilder, bad: bool) -> None:
    """The acknowledgement binds also where the machine that gave it was not in touch."""
    builder.history.begin_fault("core-1", 9.5)
    builder.history.end_faults("core-1", 10.5)
    drain(builder, bad)


def evacuated(builder: HistoryBuilder, bad: bool) -> None:
    builder.history.evacuations.append(EvacuationChange("z1", True, 9, 10))
    builder.ask(15.1, "/look/x", "fleet-1" if bad else "fleet-2")


def budget(builder: HistoryBuilder, bad: bool) -> None:
    for number in range(70 if bad else 50):
        builder.more(builder.ask(10 + number / 100, "/look/x", "fleet-1"), 10.2 + number / 100, "fleet-2")


def quota(builder: HistoryBuilder, bad: bool) -> None:
    for number in range(90):  # (10 x 5 + 10) x 1.1 + 20 = 86
        builder.ask(10 + number / (20 if bad else 10), "/look/x", "fleet-1")


def failback(builder: HistoryBuilder, bad: bool) -> None:
    builder.history.workers["fleet-1"].warmups.append((9, 20))
    for number in range(14):  # 5 x 1.5 + 5 = 12.5
        builder.ask(10 + number / (20 if bad else 10), "/look/x", "fleet-1")


def home(builder: HistoryBuilder, bad: bool) -> None:
    builder.ask(10, "/bill/x", "bill-2" if bad else "bill-1")


def led_out(builder: HistoryBuilder, bad: bool) -> None:
    """The client is in r1, its route at home there, and its proxy elsewhere."""
    builder.history.proxy_regions = {"edge-1": "r3" if bad else "r1"}
    builder.ask(10, "/bill/x", "bill-1")


def spun(builder: HistoryBuilder, bad: bool) -> None:
    builder.ask(10, "/look/x", "fleet-1").pool_exhausted_count = 1000 if bad else 3


def mixed(builder: HistoryBuilder, bad: bool) -> None:
    one = builder.ask(10, "/look/x", "fleet-1")
    one.arrivals[0].status, one.arrivals[0].seal = 200, "s-1"
    one.seal = "s-2" if bad else "s-1"


def mixed_failure(builder: HistoryBuilder, bad: bool) -> None:
    one = builder.ask(10, "/look/x", "fleet-1")
    one.arrivals[0].status, one.arrivals[0].seal, one.seal = 500 if bad else 200, "s", "s"


def stray(builder: HistoryBuilder, bad: bool) -> None:
    if bad:
        builder.history.unexpected_arrivals.append(UnexpectedArrival(10, "fleet-1", "GET /look/y of id 1"))


def cut_off(builder: HistoryBuilder, bad: bool) -> None:
    one = builder.ask(10, "/look/x", "fleet-1", status=0)
    one.connection_broken = True
    if not bad:
        builder.history.begin_fault("edge-1", 9.9)


def cut_off_leaving(builder: HistoryBuilder, bad: bool) -> None:
    """Before the last sixth of Grace (6 s), or in it with the worker at work."""
    one = builder.ask(10, "/look/x", "fleet-1", status=0)
    one.connection_broken = True
    one.ended = 12.5
    builder.history.begin_fault("edge-1", 7.6 if bad else 7.4, termination=True)


def sent_late_and_cut_off(builder: HistoryBuilder, bad: bool) -> None:
    """Sent more than 3 s after the SIGTERM, and broken off in the last sixth of Grace."""
    one = builder.ask(10, "/look/x", "fleet-1", status=0)
    one.connection_broken = True
    one.ended = 12.8
    builder.history.begin_fault("edge-1", 6.9 if bad else 7.1, termination=True)


def recovered(builder: HistoryBuilder, bad: bool) -> None:
    builder.history.final_fault_at = 20.0
    builder.history.begin_fault("core-1", 20.0)
    builder.history.end_faults("core-1", 21.0)
    for number in range(30):
        builder.ask(10 + number / 10, "/look/x", "fleet-1")
        builder.ask(40 + number / 10, "/look/x", status=503 if bad else 200)


def slighted(builder: HistoryBuilder, bad: bool) -> None:
    builder.put(2, 1, ["r+new=fleet"], 10)
    for number in range(30):
        builder.ask(20 + number / 10, "/look/x", "fleet-1")
        builder.ask(20 + number / 10, "/new/x", status=503 if bad else 200)


PLANTED: dict[str, tuple[str, Callable[[HistoryBuilder, bool], None]]] = {
    "twice": ("TWICE", twice),
    "refused": ("REFUSED", refused),
    "route": ("ROUTE", route),
    "tenant": ("ROUTE", tenant),
    "stopped": ("STOPPED", stopped),
    "denied": ("DENIED", denied),
    "stale": ("CONFIG", stale),
    "stale key": ("CONFIG", stale_key),
    "downgraded": ("CONFIG", downgraded),
    "raced": ("CONFIG", raced),
    "revoked": ("CONFIG", revoked),
    "read back": ("CONFIG", read_back),
    "read other": ("CONFIG", read_other),
    "read refused": ("CONFIG", read_refused),
    "lost": ("LOST", lost),
    "drain": ("DRAIN", drain),
    "drain told to a machine cut off": ("DRAIN", drain_told_to_a_machine_cut_off),
    "evacuated": ("EVAC", evacuated),
    "budget": ("BUDGET", budget),
    "quota": ("QUOTA", quota),
    "failback": ("FAILBACK", failback),
    "home": ("HOME", home),
    "led out": ("HOME", led_out),
    "spun": ("Fault", spun),
    "mixed": ("MIXED", mixed),
    "mixed failure": ("MIXED", mixed_failure),
    "stray": ("UNASKED", stray),
    "stranger": ("UNASKED", tenant),
    "cut off": ("LOST", cut_off),
    "cut off leaving": ("LOST", cut_off_leaving),
    "sent late and cut off": ("LOST", sent_late_and_cut_off),
    "recovered": ("RECOVER", recovered),
    "slighted": ("CONFIG", slighted),
}


@test("checkers: {name} is caught, and only when it is there")
def _(name: str = each(*PLANTED)) -> None:
    rule, plant = PLANTED[name]
    for bad in (True, False):
        builder = HistoryBuilder()
        plant(builder, bad)
        found = [one for one, breach in check_rules(builder.history, BOUNDS).items() if breach]
        assert (rule in found) == bad, f"{'planted' if bad else 'clean'}: {found}"


@test("checkers: no order explains a change that shows up and vanishes, or a torn PATCH")
def _() -> None:
    for seen, torn in ((1, False), (2, True), (2, False)):
        builder = HistoryBuilder()
        late = builder.put(2, 1, ["look=desk", "r+new=desk"], 10)
        late.acknowledged = late.ended = math.inf  # in doubt
        late.patch = patch_between(builder.body, late.body)
        builder.read(11, 2)
        builder.read(12, seen, builder.body if torn else None)
        found = list(check_linearizability(CheckedHistory(builder.history, BOUNDS)))
        assert bool(found) == (seen == 1 or torn)


@test("checkers: what is out of touch is bound later, or not")
def _() -> None:
    builder = HistoryBuilder()
    builder.history.begin_fault("edge-1", 8.0)
    stale(builder, True)
    assert not list(check_configuration_in_force(CheckedHistory(builder.history, BOUNDS)))


@test("checkers: each rule has a planted breach; one is told with the rule's words")
def _() -> None:
    assert {rule for rule, _ in PLANTED.values()} == {*RULE_TEXTS}
    builder = HistoryBuilder()
    twice(builder, True)
    refused(builder, True)
    found = first_violation(builder.history, BOUNDS)
    assert found is not None
    explanation = explain(found)
    assert explanation.startswith(
        "TWICE at 10.200: request 1 /hold/x (t1-a) sent 10.000 to edge-1 ran at desk-1"
    )
    assert explanation.endswith("TWICE: a request that is not repeatable runs at most once")
