"""Every checker reports a violation of its rule, and passes the same history without the violation."""

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
    ConfigurationRead,
    EvacuationChange,
    History,
    Request,
    UnexpectedArrival,
    WorkerRecord,
)
from ashlift.simulation.plan import ZONES, Plan

BOUNDS = Bounds(revocation_strict=True)


class HistoryBuilder:
    """Builds a history without faults, in which version 1 is acknowledged at 1 s."""

    def __init__(self) -> None:
        self.history = History()
        self.body = first_configuration(Plan(homes=["r1"], quota=10.0))
        places = {"fleet-1": "z1", "fleet-2": "z2", "desk-1": "z1", "bill-1": "z1", "bill-2": "z2"}
        for name, zone in places.items():
            record = WorkerRecord(name, name.partition("-")[0], zone, ZONES[zone], name, 0.0)
            self.history.workers[name] = record
        self.add_change(1, 0, [], 1.0)

    def add_change(self, version: int, base: int, words: list[str], acknowledged: float) -> Any:
        change = configuration_change(
            version, base, "A", edit_configuration(self.body, version, words), acknowledged - 0.5
        )
        change.acknowledged = change.ended = acknowledged
        self.history.changes.append(change)
        return change

    def add_request(
        self,
        at: float,
        path: str,
        worker: str = "",
        status: int = 200,
        key: str = "t1-a",
        proxy: str = "edge-1",
        ran: bool = True,
        tenant: str = "t1",
        rejection_status: int = 0,
    ) -> Request:
        request = self.history.add_request(path, path.startswith("/look"), key, "z1", "r1", at)
        request.proxy, request.received, request.status, request.ended = proxy, at, status, at + 0.2
        if worker:
            self.add_arrival(request, at + 0.1, worker, ran, tenant, rejection_status)
        return request

    def add_arrival(
        self,
        request: Request,
        at: float,
        worker: str,
        ran: bool = True,
        tenant: str = "t1",
        rejection_status: int = 0,
    ) -> None:
        service = self.history.workers[worker].service
        request.arrivals.append(Arrival(at, worker, service, tenant, request.proxy, ran, rejection_status))

    def add_read(self, at: float, version: int, body: Any = None, **entries: Any) -> None:
        sent = next(change for change in self.history.changes if change.version == version)
        self.history.configuration_reads.append(
            ConfigurationRead(at, at + 0.1, version, body or sent.body, entries)
        )


def duplicate_run(builder: HistoryBuilder, violating: bool) -> None:
    builder.add_arrival(builder.add_request(10, "/hold/x", "desk-1"), 10.2, "desk-1", ran=violating)


def rejected_request_ran(builder: HistoryBuilder, violating: bool) -> None:
    builder.add_request(10, "/hold/x", "desk-1", 503, ran=violating, rejection_status=0 if violating else 503)


def wrong_service(builder: HistoryBuilder, violating: bool) -> None:
    builder.add_request(10, "/hold/x", "fleet-1" if violating else "desk-1")


def wrong_tenant(builder: HistoryBuilder, violating: bool) -> None:
    builder.add_request(10, "/hold/x", "desk-1", tenant="t2" if violating else "t1")


def valid_requests_denied(builder: HistoryBuilder, violating: bool) -> None:
    for _ in range(8):
        builder.add_request(10, "/look/x", status=401, key="t1-a" if violating else "wrong")


def denied_after_acknowledgement(builder: HistoryBuilder, violating: bool) -> None:
    builder.add_change(2, 1, ["t+t9=10"], 10)
    builder.add_request(10.001 if violating else 9.9, "/look/x", status=401, key="t9-a", proxy="edge-2")


def outdated_version(builder: HistoryBuilder, violating: bool) -> None:
    builder.add_change(2, 1, ["look=desk"], 10)
    builder.add_request(13.2 if violating else 12.8, "/look/x", "fleet-1")


def new_key_denied(builder: HistoryBuilder, violating: bool) -> None:
    builder.add_change(2, 1, ["k+t1=new"], 10)
    builder.add_request(14, "/look/x", status=401, key="new" if violating else "other")


def downgraded_version(builder: HistoryBuilder, violating: bool) -> None:
    builder.add_change(2, 1, ["look=desk"], 10)
    builder.add_request(10.5, "/look/x", "desk-1")
    builder.add_request(11, "/look/x", "fleet-1", proxy="edge-1" if violating else "edge-2")


def conflicting_changes(builder: HistoryBuilder, violating: bool) -> None:
    builder.add_change(2, 1, ["look=desk"], 10)
    builder.add_change(3, 1 if violating else 2, ["hold=fleet"], 10.1)


def revoked_key_accepted(builder: HistoryBuilder, violating: bool) -> None:
    builder.add_change(2, 1, ["k-t1-a"], 10)
    builder.history.begin_fault("edge-1", 9.0)  # not in contact: only the revocation bound applies
    builder.add_request(15.1 if violating else 14.9, "/look/x", "fleet-1")


def outdated_read(builder: HistoryBuilder, violating: bool) -> None:
    builder.add_change(2, 1, ["look=desk"], 10)
    builder.add_read(11, 1 if violating else 2)


def altered_read(builder: HistoryBuilder, violating: bool) -> None:
    builder.add_read(11, 1, edit_configuration(builder.body, 1, ["look=desk"]) if violating else None)


def rejected_change_read(builder: HistoryBuilder, violating: bool) -> None:
    change = builder.add_change(2, 1, ["look=desk"], 10)
    change.acknowledged, change.rejected_status = math.inf, 412 if violating else 0
    builder.add_read(11, 2)


def lost_evacuation(builder: HistoryBuilder, violating: bool) -> None:
    builder.history.evacuations.append(EvacuationChange("z1", True, 9, 10))
    builder.add_read(11, 1, None, **{} if violating else {"Evacuations/z1": True})


def request_after_draining(builder: HistoryBuilder, violating: bool) -> None:
    (
        builder.history.workers["fleet-1"].draining_acknowledged,
        builder.history.workers["fleet-1"].draining_registry,
    ) = 10, "core-1"
    builder.add_request(13.1 if violating else 12.7, "/look/x", "fleet-1")


def draining_acknowledged_during_fault(builder: HistoryBuilder, violating: bool) -> None:
    """The acknowledgement counts even if the machine that gave it was not in contact."""
    builder.history.begin_fault("core-1", 9.5)
    builder.history.end_faults("core-1", 10.5)
    request_after_draining(builder, violating)


def request_to_evacuated_zone(builder: HistoryBuilder, violating: bool) -> None:
    builder.history.evacuations.append(EvacuationChange("z1", True, 9, 10))
    builder.add_request(15.1, "/look/x", "fleet-1" if violating else "fleet-2")


def retry_budget_exceeded(builder: HistoryBuilder, violating: bool) -> None:
    for number in range(70 if violating else 50):
        builder.add_arrival(
            builder.add_request(10 + number / 100, "/look/x", "fleet-1"), 10.2 + number / 100, "fleet-2"
        )


def rate_limit_exceeded(builder: HistoryBuilder, violating: bool) -> None:
    for number in range(90):  # limit: (10 x 5 + 10) x 1.1 + 20 = 86
        builder.add_request(10 + number / (20 if violating else 10), "/look/x", "fleet-1")


def slow_start_exceeded(builder: HistoryBuilder, violating: bool) -> None:
    builder.history.workers["fleet-1"].warmups.append((9, 20))
    for number in range(14):  # limit: 5 x 1.5 + 5 = 12.5
        builder.add_request(10 + number / (20 if violating else 10), "/look/x", "fleet-1")


def run_outside_home_region(builder: HistoryBuilder, violating: bool) -> None:
    builder.add_request(10, "/bill/x", "bill-2" if violating else "bill-1")


def lookup_outside_home_region(builder: HistoryBuilder, violating: bool) -> None:
    """The client and the home region of its route are in r1, the proxy is not."""
    builder.history.proxy_regions = {"edge-1": "r3" if violating else "r1"}
    builder.add_request(10, "/bill/x", "bill-1")


def busy_loop(builder: HistoryBuilder, violating: bool) -> None:
    builder.add_request(10, "/look/x", "fleet-1").pool_exhausted_count = 1000 if violating else 3


def response_to_other_request(builder: HistoryBuilder, violating: bool) -> None:
    request = builder.add_request(10, "/look/x", "fleet-1")
    request.arrivals[0].status, request.arrivals[0].seal = 200, "s-1"
    request.seal = "s-2" if violating else "s-1"


def success_of_failed_run(builder: HistoryBuilder, violating: bool) -> None:
    request = builder.add_request(10, "/look/x", "fleet-1")
    request.arrivals[0].status, request.arrivals[0].seal, request.seal = 500 if violating else 200, "s", "s"


def unexpected_arrival(builder: HistoryBuilder, violating: bool) -> None:
    if violating:
        builder.history.unexpected_arrivals.append(UnexpectedArrival(10, "fleet-1", "GET /look/y of id 1"))


def closed_without_response(builder: HistoryBuilder, violating: bool) -> None:
    request = builder.add_request(10, "/look/x", "fleet-1", status=0)
    request.connection_broken = True
    if not violating:
        builder.history.begin_fault("edge-1", 9.9)


def closed_during_grace_period(builder: HistoryBuilder, violating: bool) -> None:
    """Closed before the last sixth of the grace period (6 s), or in it while the worker runs the request."""
    request = builder.add_request(10, "/look/x", "fleet-1", status=0)
    request.connection_broken = True
    request.ended = 12.5
    builder.history.begin_fault("edge-1", 7.6 if violating else 7.4, termination=True)


def closed_long_after_sigterm(builder: HistoryBuilder, violating: bool) -> None:
    """Closed in the last sixth of the grace period, but sent more than 3 s after the SIGTERM."""
    request = builder.add_request(10, "/look/x", "fleet-1", status=0)
    request.connection_broken = True
    request.ended = 12.8
    builder.history.begin_fault("edge-1", 6.9 if violating else 7.1, termination=True)


def no_recovery(builder: HistoryBuilder, violating: bool) -> None:
    builder.history.final_fault_at = 20.0
    builder.history.begin_fault("core-1", 20.0)
    builder.history.end_faults("core-1", 21.0)
    for number in range(30):
        builder.add_request(10 + number / 10, "/look/x", "fleet-1")
        builder.add_request(40 + number / 10, "/look/x", status=503 if violating else 200)


def later_route_not_served(builder: HistoryBuilder, violating: bool) -> None:
    builder.add_change(2, 1, ["r+new=fleet"], 10)
    for number in range(30):
        builder.add_request(20 + number / 10, "/look/x", "fleet-1")
        builder.add_request(20 + number / 10, "/new/x", status=503 if violating else 200)


VIOLATIONS: dict[str, tuple[str, Callable[[HistoryBuilder, bool], None]]] = {
    "duplicate run": ("TWICE", duplicate_run),
    "rejected request ran": ("REFUSED", rejected_request_ran),
    "wrong service": ("ROUTE", wrong_service),
    "wrong tenant": ("ROUTE", wrong_tenant),
    "denied after acknowledgement": ("STOPPED", denied_after_acknowledgement),
    "valid requests denied": ("DENIED", valid_requests_denied),
    "outdated version": ("CONFIG", outdated_version),
    "new key denied": ("CONFIG", new_key_denied),
    "downgraded version": ("CONFIG", downgraded_version),
    "conflicting changes": ("CONFIG", conflicting_changes),
    "revoked key accepted": ("CONFIG", revoked_key_accepted),
    "outdated read": ("CONFIG", outdated_read),
    "altered read": ("CONFIG", altered_read),
    "rejected change read": ("CONFIG", rejected_change_read),
    "lost evacuation": ("LOST", lost_evacuation),
    "request after draining": ("DRAIN", request_after_draining),
    "draining acknowledged during fault": ("DRAIN", draining_acknowledged_during_fault),
    "request to evacuated zone": ("EVAC", request_to_evacuated_zone),
    "retry budget exceeded": ("BUDGET", retry_budget_exceeded),
    "rate limit exceeded": ("QUOTA", rate_limit_exceeded),
    "slow start exceeded": ("FAILBACK", slow_start_exceeded),
    "run outside home region": ("HOME", run_outside_home_region),
    "lookup outside home region": ("HOME", lookup_outside_home_region),
    "busy loop": ("Fault", busy_loop),
    "response to other request": ("MIXED", response_to_other_request),
    "success of failed run": ("MIXED", success_of_failed_run),
    "unexpected arrival": ("UNASKED", unexpected_arrival),
    "tenant without the key": ("UNASKED", wrong_tenant),
    "closed without response": ("LOST", closed_without_response),
    "closed during grace period": ("LOST", closed_during_grace_period),
    "closed long after sigterm": ("LOST", closed_long_after_sigterm),
    "no recovery": ("RECOVER", no_recovery),
    "later route not served": ("CONFIG", later_route_not_served),
}


@test("checkers: {name} is reported, and a history without it is not")
def _(name: str = each(*VIOLATIONS)) -> None:
    rule, record = VIOLATIONS[name]
    for violating in (True, False):
        builder = HistoryBuilder()
        record(builder, violating)
        found = [
            rule_name for rule_name, violation in check_rules(builder.history, BOUNDS).items() if violation
        ]
        assert (rule in found) == violating, f"{'with' if violating else 'without'} the violation: {found}"


@test("checkers: a change that appears and vanishes, or a partly applied PATCH, is not linearizable")
def _() -> None:
    for seen, partial in ((1, False), (2, True), (2, False)):
        builder = HistoryBuilder()
        change = builder.add_change(2, 1, ["look=desk", "r+new=desk"], 10)
        change.acknowledged = change.ended = math.inf  # the outcome is unknown
        change.patch = patch_between(builder.body, change.body)
        builder.add_read(11, 2)
        builder.add_read(12, seen, builder.body if partial else None)
        found = list(check_linearizability(CheckedHistory(builder.history, BOUNDS)))
        assert bool(found) == (seen == 1 or partial)


@test("checkers: a proxy that is not in contact may act on an old version")
def _() -> None:
    builder = HistoryBuilder()
    builder.history.begin_fault("edge-1", 8.0)
    outdated_version(builder, True)
    assert not list(check_configuration_in_force(CheckedHistory(builder.history, BOUNDS)))


@test("checkers: each rule has a planted violation; explanations end with the text of the rule")
def _() -> None:
    assert {rule for rule, _ in VIOLATIONS.values()} == {*RULE_TEXTS}
    builder = HistoryBuilder()
    duplicate_run(builder, True)
    rejected_request_ran(builder, True)
    found = first_violation(builder.history, BOUNDS)
    assert found is not None
    explanation = explain(found)
    assert explanation.startswith(
        "TWICE at 10.200: request 1 /hold/x (t1-a) sent 10.000 to edge-1 ran at desk-1"
    )
    assert explanation.endswith("TWICE: a request that is not repeatable runs at most once")
