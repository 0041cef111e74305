"""The planners: capacity after failures, batches of a rollout, effects of a change on recorded requests."""

import json
from collections import defaultdict
from pathlib import Path
from typing import Any

from ward import each, test

from ashlift.cli.capacity_planner import OfferedLoad, PlannedWorker, plan_capacity
from ashlift.cli.change_planner import Outcome, OutcomeKind, RecordedRequest, RouteOutcomes, compare_outcomes
from ashlift.cli.rollout_planner import RolloutTarget, plan_rollout
from ashlift.config.operator_config import load_configuration
from ashlift.config.routing_table import RoutingTable
from ashlift.errors import Failure
from ashlift.simulation.configurations import edit_configuration, first_configuration, patch_between
from ashlift.simulation.plan import ZONES, Plan
from tests.cli.test_commands import CORE, STATUS, folder, run, write

BODY = first_configuration(Plan(homes=["r1"], quota=10.0))
HOST = "app.example"
TO_FLEET = Outcome(OutcomeKind.FORWARDED, ("fleet 1",))
TO_DESK = Outcome(OutcomeKind.FORWARDED, ("desk 1",))
TO_BILL = Outcome(OutcomeKind.FORWARDED, ("bill 1",))
OVER_QUOTA = Outcome(OutcomeKind.REJECTED, ("quota",))
NO_KEY = Outcome(OutcomeKind.REJECTED, ("key",))
NO_ROUTE = Outcome(OutcomeKind.NO_ROUTE)


def routing_table(body: dict[str, Any]) -> RoutingTable:
    entries = load_configuration(body)
    assert isinstance(entries, dict), entries
    return RoutingTable.from_entries(entries)


def planned_workers(count: int = 6, capacity: int = 4) -> list[PlannedWorker]:
    return [
        PlannedWorker(f"{service}-{number}", service, f"z{number + 1}", ZONES[f"z{number + 1}"], capacity)
        for service in ("fleet", "desk", "bill")
        for number in range(count)
    ]


@test("plan capacity: the load served after a failure, by priority and within home regions")
def _() -> None:
    load = {"look": OfferedLoad(100.0, 0.2), "bill": OfferedLoad(50.0, 0.1)}
    results = plan_capacity(planned_workers(), routing_table(BODY), load)
    served = {(result.failed_domain, result.route): result for result in results}
    assert served["nothing", "look"].rejected_rate == 0
    assert served["nothing", "look"].workers == 6
    # 5 workers of 4 slots (one zone lost) serve 100 requests/s of 0.2 s; 4 (one region lost) serve 80.
    assert served["zone z1", "look"].rejected_rate == 0
    assert abs(served["region r2", "look"].rejected_rate - 20.0) < 1e-9
    assert served["nothing", "bill"].workers == 2  # the zones of r1: z1 and z4
    assert served["nothing", "bill"].rejected_rate == 0
    assert served["region r1", "bill"].served_rate == 0
    assert abs(served["zone z1", "bill"].rejected_rate - 10.0) < 1e-9
    assert abs(served["region r2", "bill"].rejected_rate) < 1e-9


@test("plan capacity: of routes that share a service, the one of higher priority is served first")
def _() -> None:
    body = edit_configuration(BODY, 2, ["hold=fleet"])
    for item in body["Objects"]:
        if item["Metadata"].get("Name") == "hold":
            item["Specification"] = {**item["Specification"], "Priority": 0}
    load = {"look": OfferedLoad(100.0, 0.2), "hold": OfferedLoad(60.0, 0.2)}
    results = plan_capacity(planned_workers(), routing_table(body), load)
    served = {result.route: result for result in results if result.failed_domain == "nothing"}
    assert served["hold"].rejected_rate < 1e-9
    assert abs(served["look"].served_rate - 60.0) < 1e-9


@test("plan rollout: {kind}, each batch within the limit, a minority, and of one zone; the leader last")
def _(kind: str = each("gatekeepers", "core", "workers")) -> None:
    count = 5 if kind == "core" else 11
    items = [RolloutTarget(f"n{number}", f"z{number % 3}", kind, number == 2) for number in range(count)]
    zones = {item.name: item.zone for item in items}
    for max_unavailable in (1, 2, 9):
        batches = plan_rollout(items, max_unavailable, kind == "core")
        assert not isinstance(batches, Failure)
        assert sorted(name for batch in batches for name in batch) == sorted(zones)
        assert batches[-1] == ["n2"]
        for batch in batches:
            assert 0 < len(batch) <= min(max_unavailable, (count - 1) // 2)
            assert len({zones[name] for name in batch}) == 1
    assert isinstance(plan_rollout(items, 0), Failure)
    assert isinstance(plan_rollout(items[:2], 1, True), Failure) == (kind == "core") or kind != "core"


@test("plan change: forwarded elsewhere, no route, without a key, over the quota, or as before")
def _() -> None:
    requests = [RecordedRequest(10 + number / 100, HOST, "/look/x", "t1-a") for number in range(30)]
    requests += [
        RecordedRequest(20, HOST, "/hold/x", "t2-a"),
        RecordedRequest(21, HOST, "/none/x", "t2-a"),
        RecordedRequest(22, HOST, "/bill/x", "t3-a"),
        RecordedRequest(23, HOST, "/bill/x", "t4-a"),
    ]
    new = edit_configuration(
        BODY, 2, ["hold=desk", "look=desk", "k-t3-a", "q:t1=5", "r-bill", "r+other=fleet"]
    )
    counts = defaultdict(int, compare_outcomes(routing_table(BODY), routing_table(new), requests))
    # The old quota (10 requests/s, burst 10) admits 20 plus the refill, the new one half of that.
    moved = counts[RouteOutcomes("look", TO_FLEET, TO_DESK)]
    over_new_quota = counts[RouteOutcomes("look", TO_FLEET, OVER_QUOTA)]
    assert counts[RouteOutcomes("look", OVER_QUOTA, OVER_QUOTA)] + moved + over_new_quota == 30
    assert moved in (10, 11)
    assert over_new_quota >= 10
    assert counts[RouteOutcomes("hold", TO_DESK, TO_DESK)] == 1
    assert counts[RouteOutcomes(f"{HOST}/none/x", NO_ROUTE, NO_ROUTE)] == 1
    assert counts[RouteOutcomes("bill", TO_BILL, NO_ROUTE)] == 2
    without_key = routing_table(edit_configuration(BODY, 2, ["k-t3-a"]))
    counts = defaultdict(int, compare_outcomes(routing_table(BODY), without_key, requests))
    assert counts[RouteOutcomes("bill", TO_BILL, NO_KEY)] == 1


@test("plan commands: exit codes and lines")
def _(folder_path: Path = folder) -> None:
    before = edit_configuration(BODY, 1, [])
    after = edit_configuration(BODY, 2, ["look=desk"])
    rows = [{"at": 1, "host": HOST, "path": "/look/x", "key": "t1-a", "status": 200}]
    old = write(folder_path, "old.json", before)
    new = write(folder_path, "new.json", patch_between(before, after))
    record = write(folder_path, "hour.jsonl", "\n".join(map(json.dumps, rows)))
    code, out, _ = run(f"plan change {new} {old} {record}")
    assert code == 1
    assert "forwarded to fleet 1" in out
    assert "1 of 1 requests" in out
    assert run(f"plan change {old} {old} {record}")[0] == 2  # its version is not higher
    assert run(f"plan change {new} {old} {write(folder_path, 'bad.jsonl', '{}')}")[0] == 2
    workers = [{"id": "f1", "service": "fleet", "zone": "a", "state": "ready", "capacity": 4}]
    status = write(folder_path, "status.json", {**STATUS, "workers": workers})
    code, out, _ = run(f"plan capacity {status} --on {old} --ask look=50:100")
    assert code == 1
    assert "quotas: 40 a second" in out
    assert run(f"plan capacity {status} --on {old} --ask look=30:100")[0] == 0
    assert run(f"plan capacity {status} --on {old} --ask nothing=30:100")[0] == 2
    code, out, _ = run(f"plan rollout {status} gatekeepers")
    assert (code, out.splitlines()) == (0, ["1. edge-a-1", "2. edge-b-1"])
    assert run(f"plan rollout {status} core")[0] == 2
    assert run(f"plan rollout {CORE} core")[0] == 2
