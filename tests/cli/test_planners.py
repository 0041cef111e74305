"""The planners: capacity after losses, order of a rollout, what a change does to recorded requests."""

import json
from pathlib import Path
from typing import Any

from ward import each, test

from ashlift.cli.planners import Asked, Part, Recorded, Station, capacity, change, rollout
from ashlift.config.operator_config import load_configuration
from ashlift.config.routing_table import RoutingTable
from ashlift.errors import Failure
from ashlift.simulation.people import edited, patched
from ashlift.simulation.world import ZONES, Plan, first_configuration
from tests.cli.test_commands import CORE, STATUS, folder, keep, run

BODY = first_configuration(Plan(homes=["r1"], quota=10.0))
HOST = "app.example"


def table(body: dict[str, Any]) -> RoutingTable:
    found = load_configuration(body)
    assert isinstance(found, dict), found
    return RoutingTable.from_entries(found)


def stations(count: int = 6, capacity_: int = 4) -> list[Station]:
    return [
        Station(f"{service}-{number}", service, f"z{number + 1}", ZONES[f"z{number + 1}"], capacity_)
        for service in ("fleet", "desk", "bill")
        for number in range(count)
    ]


@test("plan capacity: what a loss leaves, rank before rank, and homes bind")
def _() -> None:
    asked = {"look": Asked(100.0, 0.2), "bill": Asked(50.0, 0.1)}
    found = {(one.lost, one.route): one for one in capacity(stations(), table(BODY), asked)}
    assert found["nothing", "look"].refused == 0 and found["nothing", "look"].workers == 6
    # After a zone 5 workers of 4 slots carry 100 a second of 0.2 s; after a region 4, that is 80.
    assert found["zone z1", "look"].refused == 0
    assert abs(found["region r2", "look"].refused - 20.0) < 1e-9
    assert found["nothing", "bill"].workers == 2 and found["nothing", "bill"].refused == 0  # r1: z1, z4
    assert found["region r1", "bill"].carried == 0 and abs(found["zone z1", "bill"].refused - 10.0) < 1e-9
    assert abs(found["region r2", "bill"].refused) < 1e-9


@test("plan capacity: of routes that share a service, the one of higher rank is carried first")
def _() -> None:
    body = edited(BODY, 2, ["hold=fleet"])
    for one in body["Objects"]:
        if one["Metadata"].get("Name") == "hold":
            one["Specification"] = {**one["Specification"], "Priority": 0}
    asked = {"look": Asked(100.0, 0.2), "hold": Asked(60.0, 0.2)}
    found = {one.route: one for one in capacity(stations(), table(body), asked) if one.lost == "nothing"}
    assert found["hold"].refused < 1e-9 and abs(found["look"].carried - 60.0) < 1e-9


@test("plan rollout: {kind}, never more than may be out, nor a majority, one zone at a time, the leader last")
def _(kind: str = each("gatekeepers", "core", "workers")) -> None:
    count = 5 if kind == "core" else 11
    parts = [Part(f"n{number}", f"z{number % 3}", kind, number == 2) for number in range(count)]
    for most in (1, 2, 9):
        found = rollout(parts, most, kind == "core")
        assert not isinstance(found, Failure)
        assert sorted(name for batch in found for name in batch) == sorted(one.name for one in parts)
        assert found[-1] == ["n2"]
        zones = {one.name: one.zone for one in parts}
        for batch in found:
            assert 0 < len(batch) <= min(most, (count - 1) // 2) and len({zones[name] for name in batch}) == 1
    assert isinstance(rollout(parts, 0), Failure)
    assert isinstance(rollout(parts[:2], 1, True), Failure) == (kind == "core") or kind != "core"


@test("plan change: elsewhere, unknown, without a key, over the quota, or as before")
def _() -> None:
    requests = [Recorded(10 + number / 100, HOST, "/look/x", "t1-a") for number in range(30)]
    requests += [
        Recorded(20, HOST, "/hold/x", "t2-a"),
        Recorded(21, HOST, "/none/x", "t2-a"),
        Recorded(22, HOST, "/bill/x", "t3-a"),
        Recorded(23, HOST, "/bill/x", "t4-a"),
    ]
    new = edited(BODY, 2, ["hold=desk", "look=desk", "k-t3-a", "q:t1=5", "r-bill", "r+other=fleet"])
    found = change(table(BODY), table(new), requests)
    fleet, desk = ("goes", "fleet 1"), ("goes", "desk 1")
    # 20 pass at 10 a second with 10 on top (and what time gives back), 10 at half of that.
    assert (
        found["look", ("refused", "quota"), ("refused", "quota")]
        + found["look", fleet, desk]
        + found["look", fleet, ("refused", "quota")]
        == 30
    )
    assert found["look", fleet, desk] in (10, 11) and found["look", fleet, ("refused", "quota")] >= 10
    assert found["hold", desk, desk] == 1 and found[f"{HOST}/none/x", ("unknown",), ("unknown",)] == 1
    assert found["bill", ("goes", "bill 1"), ("unknown",)] == 2
    key = change(table(BODY), table(edited(BODY, 2, ["k-t3-a"])), requests)
    assert key["bill", ("goes", "bill 1"), ("refused", "key")] == 1


@test("the command line plans: exit codes and lines")
def _(place: Path = folder) -> None:
    whole, after = edited(BODY, 1, []), edited(BODY, 2, ["look=desk"])
    rows = [{"at": 1, "host": HOST, "path": "/look/x", "key": "t1-a", "status": 200}]
    old, new = keep(place, "old.json", whole), keep(place, "new.json", patched(whole, after))
    record = keep(place, "hour.jsonl", "\n".join(map(json.dumps, rows)))
    code, out, _ = run(f"plan change {new} {old} {record}")
    assert code == 1 and "goes to fleet 1" in out and "1 of 1 requests" in out
    assert run(f"plan change {old} {old} {record}")[0] == 2  # its version is not higher
    assert run(f"plan change {new} {old} {keep(place, 'bad.jsonl', '{}')}")[0] == 2
    workers = [{"id": "f1", "service": "fleet", "zone": "a", "state": "ready", "capacity": 4}]
    told = keep(place, "status.json", {**STATUS, "workers": workers})
    code, out, _ = run(f"plan capacity {told} --on {old} --ask look=50:100")
    assert code == 1 and "quotas: 40 a second" in out
    assert run(f"plan capacity {told} --on {old} --ask look=30:100")[0] == 0
    assert run(f"plan capacity {told} --on {old} --ask nothing=30:100")[0] == 2
    code, out, _ = run(f"plan rollout {told} gatekeepers")
    assert (code, out.splitlines()) == (0, ["1. edge-a-1", "2. edge-b-1"])
    assert run(f"plan rollout {told} core")[0] == 2 and run(f"plan rollout {CORE} core")[0] == 2
