"""The JSON adapter: conversion of events and actions, and errors for invalid lines."""

import copy
import io
import json
from typing import Any

import pytest

from ashlift.gatekeeper.admission import control
from ashlift.gatekeeper.admission.wirehost import Host, WireError, main, read_settings

FACTS: dict[str, Any] = {
    "Categories": [{"Effect": "pure", "GiveUpMs": 2000.0, "TargetMs": 600.0, "LateShare": 0.0, "Value": 3.0}],
    "Discovery": "automatic",
    "FamilyInfo": {"MayCount": True, "CountFee": 0.02, "CounterTimeoutMs": 30, "MaxUnits": 1, "MeterMs": 0},
    "GroupSize": 3,
    "Me": 0,
    "TickMs": 4.0,
    "Zone": 1,
    "Unheard": {"of": 1},
    "Limits": {"Cancel": True, "MaxRetryAfterMs": 2000.0, "Probing": True, "RetryAfter": True, "TryLimit": 4},
    "Plans": [
        {
            "CeilingRate": 0.0,
            "CeilingSlack": 0.0,
            "HardBurst": 0.0,
            "MaxOut": 0,
            "MostAtOnce": 2.0,
            "OverWorth": 0.0,
            "OverrunCost": 1.0,
            "Pays": 0.8,
            "QuotaRate": 0.64,
        }
    ],
    "Report": {"Fields": [], "Via": "none"},
    "Rules": {"ColdFrom": 0.18, "ColdMs": 17000.0, "FallMultiple": 2.0, "TipAfterMs": 3000.0},
}


def batch(now: float, *events: dict[str, Any]) -> str:
    return json.dumps({"SimTimeMs": now, "happened": list(events)})


BOOT = {"Boot": {"NodeId": 3, "RandomSeed": 5, "Facts": FACTS}}
POOL = {"Pool": {"RosterId": 0, "Records": [{"Server": "server-a", "StageState": "ready", "Nominal": 1}]}}
SYNC = {"Sync": {"NodeId": 3, "Mode": "disk", "Version": 1, "RosterId": 0}}
ASK = {"Incoming": {"NodeId": 3, "RequestId": 9, "Customer": "aa", "PatienceLeftMs": 900.0, "SetSize": 1}}


def test_a_request_makes_the_round_trip() -> None:
    host = Host()
    host.batch(batch(100.0, BOOT, POOL, SYNC))
    out = json.loads(host.batch(batch(104.0, ASK)))["out"]
    sent = [action["Send"] for action in out if "Send" in action]
    assert sent == [{"NodeId": 3, "RequestId": 9, "Server": "server-a", "CapMs": 600.0}]
    done = {"NodeId": 3, "RequestId": 9, "N": 0, "Server": "server-a", "StateCode": 200, "Final": True}
    assert json.loads(host.batch(batch(150.0, {"Outcome": done})))["out"] == []


def test_stop_forgets_everything() -> None:
    host = Host()
    host.batch(batch(100.0, BOOT, POOL, SYNC, ASK))
    host.batch(batch(104.0, {"Stop": {"NodeId": 3}}))
    assert host.gateways == {}


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        (("Plans",), [], "Plans"),
        (("Plans",), None, "Plans"),
        (("GroupSize",), 0, "GroupSize"),
        (("Plans", 0, "QuotaRate"), -1, "QuotaRate"),
        (("Categories", 0, "TargetMs"), None, "TargetMs"),
        (("Rules", "ColdFrom"), 1.5, "ColdFrom"),
        (("Plans", 0, "MostAtOnce"), 0, "MostAtOnce"),
        (("Categories", 0, "Effect"), "odd", "Effect"),
        (("Limits", "TryLimit"), "x", "TryLimit"),
    ],
)
def test_invalid_settings_are_reported_with_their_key(path: tuple[Any, ...], value: Any, named: str) -> None:
    facts = copy.deepcopy(FACTS)
    at: Any = facts
    for step in path[:-1]:
        at = at[step]
    at[path[-1]] = value
    with pytest.raises(WireError, match=named):
        read_settings(facts)


@pytest.mark.parametrize("line", ["{", "[]", "{}", batch(1.0, {"Ring": {"Ref": 1}})])
def test_an_invalid_line_is_reported_in_one_line(line: str) -> None:
    out, errors = io.StringIO(), io.StringIO()
    assert main(io.StringIO(line + "\n"), out, errors) == 1
    assert len(errors.getvalue().splitlines()) == 1 and "Traceback" not in errors.getvalue()


def test_the_end_of_input_gives_exit_status_0() -> None:
    out = io.StringIO()
    assert main(io.StringIO(batch(1.0) + "\n"), out, io.StringIO()) == 0
    assert json.loads(out.getvalue()) == {"out": []}


def test_an_exception_of_the_module_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    host = Host()
    host.batch(batch(100.0, BOOT, POOL, SYNC))

    def broken(self: control.Gateway, now_ms: float, event: object) -> None:
        raise RuntimeError("broken")

    monkeypatch.setattr(control.Gateway, "handle", broken)
    out = json.loads(host.batch(batch(104.0, ASK)))["out"]
    assert out == [{"InternalError": {"NodeId": 3, "ReasonText": "RuntimeError: broken"}}]
