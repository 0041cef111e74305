"""Adapter from the simulator's JSON lines on standard input and output to one Gateway for each node.

`python -m ashlift.gatekeeper.admission.wirehost` exits with 0 at the end of input, and with 1 and one line on
standard error if a line or the settings are invalid.
"""

import json
import math
import sys
from collections.abc import Callable
from typing import Any, TextIO

from ashlift.gatekeeper.admission import interface as i
from ashlift.gatekeeper.admission.control import Gateway

EFFECTS = {"pure": i.Effect.PURE, "token": i.Effect.KEYED, "side_effect": i.Effect.UNSAFE}
SCOPES = {"all": i.KeyScope.ALL, "zone": i.KeyScope.ZONE, "cell": i.KeyScope.CELL}
STATES = {"ready": i.ServerState.READY, "draining": i.ServerState.DRAINING, "gone": i.ServerState.GONE}
RESULTS = {
    200: i.Result.OK,
    502: i.Result.ERROR,
    429: i.Result.OVERLOADED,
    408: i.Result.TIMEOUT,
    521: i.Result.CONNECT_FAILED,
    520: i.Result.RESET,
    444: i.Result.CANCELLED,
    409: i.Result.NOT_SENT,
}

Json = dict[str, Any]


class WireError(Exception):
    """An invalid line or setting; the message names the key."""


def number(table: Json, where: str, key: str, low: float = 0.0, high: float = math.inf) -> float:
    value = table.get(key)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise WireError(f"setting {where}{key} is missing or not a number")
    if not low <= value <= high or math.isinf(value):
        raise WireError(f"setting {where}{key} is out of range: {value}")
    return float(value)


def flag(table: Json, where: str, key: str) -> bool:
    value = table.get(key, False)
    if not isinstance(value, bool):
        raise WireError(f"setting {where}{key} is not true or false")
    return value


def choice(table: Json, where: str, key: str, choices: dict[str, Any]) -> Any:
    value = table.get(key)
    if not isinstance(value, str) or value not in choices:
        raise WireError(f"setting {where}{key} is missing or unknown: {value!r}")
    return choices[value]


def table(table: Json, key: str) -> Json:
    value = table.get(key)
    if not isinstance(value, dict):
        raise WireError(f"setting {key} is missing or not a table")
    return value


def rows(table: Json, key: str) -> list[Json]:
    rows = table.get(key)
    if not isinstance(rows, list) or not rows or not all(isinstance(row, dict) for row in rows):
        raise WireError(f"setting {key} is missing or empty")
    return rows


def _class(row: Json, at: int) -> i.RequestClass:
    where = f"Categories[{at}]."
    effect = choice(row, where, "Effect", EFFECTS)
    keyed = effect is i.Effect.KEYED
    return i.RequestClass(
        effect=effect,
        target_latency_ms=number(row, where, "TargetMs"),
        client_timeout_ms=number(row, where, "GiveUpMs"),
        value=number(row, where, "Value"),
        late_value_ratio=number(row, where, "LateShare", 0.0, 1.0),
        key_scope=choice(row, where, "KeyScope", SCOPES) if keyed else i.KeyScope.ALL,
        key_ttl_ms=number(row, where, "KeyTtlMs") if keyed else 0.0,
    )


def _plan(row: Json, at: int) -> i.Plan:
    where = f"Plans[{at}]."
    rate = number(row, where, "QuotaRate")
    ceiling = number(row, where, "CeilingRate")
    return i.Plan(
        rate=rate,
        burst=number(row, where, "MostAtOnce", 1e-9 if rate else 0.0),
        max_in_flight=int(number(row, where, "MaxOut")),
        price=number(row, where, "Pays"),
        over_quota_value_ratio=number(row, where, "OverWorth"),
        over_quota_cost_ratio=number(row, where, "OverrunCost"),
        ceiling_rate=ceiling,
        ceiling_burst=number(row, where, "HardBurst", 1e-9 if ceiling else 0.0),
        ceiling_slack=number(row, where, "CeilingSlack"),
    )


def read_settings(facts: Json) -> i.Settings:
    """Convert and validate the settings; unknown keys are ignored."""
    info, limits, rules = table(facts, "FamilyInfo"), table(facts, "Limits"), table(facts, "Rules")
    report = table(facts, "Report")
    discovery = choice(facts, "", "Discovery", {"automatic": False, "subscribe": True})
    counter = flag(info, "FamilyInfo.", "MayCount")
    size = int(number(facts, "", "GroupSize", 1))
    return i.Settings(
        classes=tuple(_class(row, at) for at, row in enumerate(rows(facts, "Categories"))),
        plans=tuple(_plan(row, at) for at, row in enumerate(rows(facts, "Plans"))),
        gateway_index=int(number(facts, "", "Me", 0, size - 1)),
        gateway_count=size,
        zone=int(number(facts, "", "Zone")),
        tick_ms=number(facts, "", "TickMs"),
        counter_enabled=counter,
        counter_timeout_ms=number(info, "FamilyInfo.", "CounterTimeoutMs") if counter else 0.0,
        counter_call_fee=number(info, "FamilyInfo.", "CountFee") if counter else 0.0,
        usage_meter_ms=number(info, "FamilyInfo.", "MeterMs"),
        max_request_units=number(info, "FamilyInfo.", "MaxUnits"),
        units_known_after=flag(info, "FamilyInfo.", "CostAfter"),
        cancel_enabled=flag(limits, "Limits.", "Cancel"),
        probes_enabled=flag(limits, "Limits.", "Probing"),
        retry_after_enabled=flag(limits, "Limits.", "RetryAfter"),
        max_retry_after_ms=number(limits, "Limits.", "MaxRetryAfterMs"),
        hedging_enabled=flag(limits, "Limits.", "SecondCopies"),
        max_attempts=int(number(limits, "Limits.", "TryLimit", 1)),
        report_fields=tuple(str(field) for field in report.get("Fields") or ()),
        subscribe_enabled=discovery,
        max_poll_interval_ms=number(rules, "Rules.", "MustAskInMs") if discovery else 0.0,
        cold_capacity_ratio=number(rules, "Rules.", "ColdFrom", 0.0, 1.0),
        warm_up_ms=number(rules, "Rules.", "ColdMs"),
        cold_load_factor=number(rules, "Rules.", "FallMultiple"),
        cold_load_window_ms=number(rules, "Rules.", "TipAfterMs"),
    )


def _result(body: Json) -> i.Result:
    return RESULTS[body["StateCode"]]


def _load(body: Json) -> tuple[float, ...]:
    return tuple(float(value) for value in body.get("HealthInfo") or ())


def _server(row: Json) -> i.Server:
    return i.Server(
        name=row["Server"],
        state=STATES[row["StageState"]],
        cell=row.get("Cell", 0),
        zone=row.get("Campus", 0),
        capacity=float(row.get("Nominal", 1)),
        ready_at_ms=float(row.get("ReadyAtMs", 0.0)),
    )


def _request(body: Json) -> i.Event:
    return i.Request(
        request_id=body["RequestId"],
        request_class=body.get("TierClass", 0),
        plan=body.get("Contract", 0),
        customer=body.get("Customer", ""),
        time_left_ms=float(body["PatienceLeftMs"]),
        units=float(body.get("SizeUnits", 1)),
        gateway_count=max(1, int(body.get("SetSize", 1))),
        retry=bool(body.get("Retry", False)),
    )


def _outcome(body: Json) -> i.Event:
    return i.AttemptEnded(
        request_id=body["RequestId"],
        attempt=body.get("N", 0),
        server=body["Server"],
        result=_result(body),
        elapsed_ms=float(body.get("WaitTimeMs", 0.0)),
        final=bool(body.get("Final", False)),
        quota_use_percent=float(body["QuotaUse"] - 1) if body.get("QuotaUse") else None,
        units=float(body["FinalUnits"]) if body.get("FinalUnits") else None,
        load_report=_load(body),
    )


READERS: dict[str, Callable[[Json], i.Event]] = {
    "Incoming": _request,
    "Outcome": _outcome,
    "Flowing": lambda b: i.StreamStarted(b["RequestId"], b.get("N", 0)),
    "Dropped": lambda b: i.ClientDisconnected(b["RequestId"]),
    "Ring": lambda b: i.Timer(b["Ref"]),
    "Checked": lambda b: i.ProbeEnded(b["Server"], _result(b), float(b.get("WaitTimeMs", 0.0)), _load(b)),
    "CountResult": lambda b: i.CounterCallEnded(
        b["Book"], _result(b), float(b.get("WaitTimeMs", 0.0)), float(b.get("Level", 0.0))
    ),
    "NoteFrom": lambda b: i.PeerMessage(b.get("From", 0), bytes.fromhex(b.get("Content", ""))),
}

WRITERS: dict[type, Callable[[Any], tuple[str, Json]]] = {
    i.Send: lambda a: ("Send", {"RequestId": a.request_id, "Server": a.server, "CapMs": a.timeout_ms}),
    i.Refuse: lambda a: ("TurnAway", {"RequestId": a.request_id, "PauseMs": a.retry_after_ms}),
    i.Fail: lambda a: ("Abort", {"RequestId": a.request_id}),
    i.Cancel: lambda a: ("AbortAttempt", {"RequestId": a.request_id, "N": a.attempt}),
    i.SetTimer: lambda a: ("SetAlarm", {"Ref": a.token, "InMs": a.delay_ms}),
    i.AddToCounter: lambda a: ("AddTo", {"Book": a.key, "N": a.amount, "ExpireInMs": a.ttl_ms}),
    i.Probe: lambda a: ("HealthCheck", {"Server": a.server}),
    i.Subscribe: lambda a: ("Watch", {"Active": True}),
    i.Log: lambda a: ("Record", {"ReasonText": a.text}),
}


class Host:
    """The gateways of all simulated nodes; each batch of events is answered by one batch of actions."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.pools: dict[int, tuple[i.Server, ...]] = {}

    def batch(self, line: str) -> str:
        """Process one input line and return the line that answers it."""
        try:
            batch = json.loads(line)
            now, events = float(batch["SimTimeMs"]), batch["happened"]
            out: list[Json] = []
            for event in events:
                ((kind, body),) = event.items()
                self._process(now, kind, body, out)
        except WireError:
            raise
        except KeyError as error:
            raise WireError(f"field {error} is missing or has an unknown value") from error
        except (ValueError, TypeError, AttributeError) as error:
            raise WireError(f"line is not a batch: {error}") from error
        return json.dumps({"out": out}, separators=(",", ":"))

    def _process(self, now: float, kind: str, body: Json, out: list[Json]) -> None:
        if kind == "Pool":
            self.pools[body["RosterId"]] = tuple(_server(row) for row in body["Records"])
            return
        node = body["NodeId"]
        if kind == "Boot":
            self.gateways[node] = Gateway(read_settings(body["Facts"]), body["RandomSeed"])
        elif kind == "Stop":
            self.gateways.pop(node, None)
        elif node in self.gateways:
            event = self._sync(body) if kind == "Sync" else READERS[kind](body) if kind in READERS else None
            if event is not None:
                self._handle(node, now, event, out)

    def _sync(self, body: Json) -> i.Event:
        mode = body["Mode"]
        if mode == "error":
            return i.ServerList(None)
        return i.ServerList(self.pools[body["RosterId"]], complete=mode != "diff")

    def _handle(self, node: int, now: float, event: i.Event, out: list[Json]) -> None:
        try:
            actions = self.gateways[node].handle(now, event)
        except Exception as error:  # reported to the simulator
            text = f"{type(error).__name__}: {error}"
            out.append({"InternalError": {"NodeId": node, "ReasonText": text}})
            return
        for action in actions:
            name, fields = WRITERS[type(action)](action)
            out.append({name: {"NodeId": node, **fields}})


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout, errors: TextIO = sys.stderr) -> int:
    """Answer batches until the input ends; return the exit status."""
    host = Host()
    for line in source:
        try:
            reply = host.batch(line)
        except WireError as error:
            print(f"mintfront: {error}", file=errors)
            return 1
        sink.write(reply + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
