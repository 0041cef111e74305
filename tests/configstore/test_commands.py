"""The operator's orders: resends, refusals that stay, calls that come too late. Pure, no sockets."""

import json
import random
from typing import Any

from ward import each, test

from ashlift.config.operator_config import request_digest
from ashlift.configstore.commands import (
    MAX_ACCEPTED_DIGESTS,
    MAX_REFUSED_DIGESTS,
    OperatorCommand,
    decide_command,
)
from ashlift.configstore.messages import Proposal, ReadOnlyResult
from ashlift.configstore.stored_names import ACCEPTED_PREFIX, ACCEPTED_TRIMMED, REFUSED_PREFIX
from ashlift.errors import Failure, FailureReason
from ashlift.registry.http_server import STALL_RECOVERY_SECONDS, STALL_THRESHOLD_SECONDS, StallDetector
from ashlift.registry.operator_request import HEDGE_DELAY_SECONDS, RETRY_ROUND_DELAY_SECONDS, OperatorRequest
from ashlift.registry.records import read_json
from ashlift.simulation.world import Plan, first_configuration

FIRST = first_configuration(Plan())
Map = dict[str, Any]


def patch(version: int, name: str = "a") -> Map:
    service = {"HealthCheck": "/", "MaxConnections": 2}
    one = {"ObjectType": "Services", "Metadata": {"Name": name}, "Specification": service}
    return {"ConfigVersion": f"{version:08x}", "Upsert": {"Objects": [one]}, "Withdraw": {}}


class Register:
    """The map under orders."""

    def __init__(self) -> None:
        self.map: Map = {}
        assert self.ask(0, FIRST, "put") == 200

    def ask(self, base: int, body: Map, kind: str = "patch") -> int:
        made = decide_command(self.map, OperatorCommand(kind, f"{base:08x}", body))
        if isinstance(made, Proposal):
            kept = {key: value for key, value in self.map.items() if key not in made.deletions}
            self.map = {**kept, **made.updates}
        return int(made.response["status"])

    @property
    def version(self) -> int:
        return int(self.map["Version"], 16)


@test("what was taken is acknowledged again, after as many changes as are kept, and never refused after more")
def _() -> None:
    register, sent = Register(), []
    for number in range(MAX_ACCEPTED_DIGESTS + 40):
        base = register.version
        sent.append((base, patch(base + 1 + number % 3, f"s{number % 9}")))
        assert register.ask(*sent[-1]) == 200
    before = dict(register.map)
    told = [register.ask(*one) for one in sent]
    assert told == [503] * 40 + [200] * MAX_ACCEPTED_DIGESTS and register.map == before
    lost = [register.ask(base, patch(int(body["ConfigVersion"], 16), "other")) for base, body in sent]
    assert lost == [503] * 40 + [412] * MAX_ACCEPTED_DIGESTS and register.map == before
    assert register.map[ACCEPTED_TRIMMED] == int(sent[39][1]["ConfigVersion"], 16)
    kept = [key for key in register.map if key.startswith(ACCEPTED_PREFIX)]
    assert len(kept) == MAX_ACCEPTED_DIGESTS and all(len(register.map[key]) == 8 for key in kept)


@test("a record of an earlier release is known again")
def _() -> None:
    register = Register()
    assert register.ask(1, patch(2)) == 200
    register.map["Taken/00000002"] = request_digest("patch", "1", patch(2))
    assert register.ask(1, patch(2)) == 200 and register.ask(1, patch(2, "b")) == 412


def written(value: Any, chance: random.Random) -> str:
    """The same JSON value in other bytes."""
    match value:
        case dict():
            items = list(value.items())
            chance.shuffle(items)
            inner = " ,".join(f"{written(key, chance)}:\n {written(one, chance)}" for key, one in items)
            return "{ " + inner + "}"
        case list():
            return "[" + ",\t".join(written(one, chance) for one in value) + " ]"
        case bool() | None:
            return json.dumps(value)
        case int() | float() if value == int(value):
            return chance.choice([f"{int(value)}", f"{int(value)}.0", f"{int(value)}e0"])
        case str() if value:
            return f'"\\u{ord(value[0]):04x}{value[1:]}"'
    return json.dumps(value)


@test("the same configuration in other bytes is the same order; another one under its number is not")
def _() -> None:
    chance = random.Random(3)
    register = Register()
    spec = {"HealthCheck": "/", "MaxConnections": 2, "Warmup": "3s", "WarmupRateS": 5.25, "Tls": True}
    one = {"ObjectType": "Services", "Metadata": {"Name": "a"}, "Specification": spec}
    body = {**patch(10), "Upsert": {"Objects": [one]}}
    assert register.ask(1, body) == 200
    before = dict(register.map)
    for version in ("0000000a", "0000000A", "a"):
        text = written({**body, "ConfigVersion": version}, chance)
        command = OperatorCommand("patch", "1", read_json(text.encode()))
        assert decide_command(register.map, command) == ReadOnlyResult({"status": 200}), text
    for other in ({**spec, "Tls": 1}, {**spec, "MaxConnections": 3}, {**spec, "WarmupRateS": 5.5}):
        changed = {**body, "Upsert": {"Objects": [{**one, "Specification": other}]}}
        assert register.ask(1, changed) == 412
    assert register.ask(1, body, "put") == 412 and register.map == before


@test("what was refused before its base was current is refused for good, in any order of arrival")
def _() -> None:
    register = Register()
    assert register.ask(5, patch(6)) == 412 and register.ask(5, patch(6)) == 412
    assert register.ask(1, patch(5, "b")) == 200, "the base comes"
    assert register.ask(5, patch(6)) == 412, "refused once, and taken by a late copy"
    assert register.ask(5, patch(6, "c")) == 200
    assert not [key for key in register.map if key.startswith(REFUSED_PREFIX)], (
        "kept though its base has passed"
    )
    assert register.ask(5, patch(6)) == 412
    for number in range(MAX_REFUSED_DIGESTS):
        assert register.ask(9, patch(10, f"s{number}")) == 412
    assert register.ask(9, patch(10, "more")) == 503 and register.ask(9, patch(10, "s1")) == 412
    assert register.ask(6, patch(9)) == 200 and register.ask(9, patch(10, "more")) == 200


@test("an evacuation changes its zone whatever it holds, and says so; a configuration is guarded by its base")
def _() -> None:
    for kind, map in (("evacuate", {}), ("restore", {"Evacuations/z": True})):
        made = decide_command(map, OperatorCommand(kind, None, "z"))
        assert isinstance(made, Proposal) and made.unconditional_keys == ("Evacuations/z",)
    made = decide_command({}, OperatorCommand("put", "0", FIRST))
    assert isinstance(made, Proposal) and not made.unconditional_keys


@test("stores are asked in turn: at once after a refusal, beside a silent one, until one answers: {story}")
def _(
    story: str = each("a refused, b answers", "a silent, b answers", "a silent, alone", "none is ready"),
) -> None:
    now, asking = 10.0, OperatorRequest(["a"] if "alone" in story else ["a", "b"], 10.0, 10.9)
    assert asking.next_store(now) == "a" and asking.next_store(now) is None
    match story:
        case "a refused, b answers":
            asking.record_response("a", Failure(FailureReason.UNAVAILABLE), now + 0.1)
            assert asking.next_store(now + 0.1) == "b"
            asking.record_response("b", {"status": 412}, now + 0.2)
            assert asking.is_finished and asking.outcome == {"status": 412}
        case "a silent, b answers":
            assert (
                asking.next_store(now + HEDGE_DELAY_SECONDS - 0.01) is None
                and asking.next_store(now + HEDGE_DELAY_SECONDS) == "b"
            )
            asking.record_response("b", {"status": 200}, now + 0.4)
            asking.record_response("a", {"status": 503}, now + 0.5)
            assert asking.outcome == {"status": 200} and asking.wait_seconds(now + 0.5) == 0.0
        case "a silent, alone":
            assert asking.next_store(now + 0.5) is None and asking.wait_seconds(now + 0.5) > 0.3
            assert asking.wait_seconds(10.9) == 0.0 and asking.outcome.reason == FailureReason.OUTCOME_UNKNOWN
        case _:
            asking.record_response("a", Failure(FailureReason.UNAVAILABLE), now)
            assert asking.next_store(now) == "b"
            asking.record_response("b", Failure(FailureReason.UNREACHABLE), now)
            assert asking.outcome.reason == FailureReason.UNREACHABLE and asking.next_store(now) is None
            assert asking.next_store(now + RETRY_ROUND_DELAY_SECONDS) == "a"
            asking.record_response("a", Failure(FailureReason.OUTCOME_UNKNOWN), now + 0.5)
            asking.record_response("b", Failure(FailureReason.UNAVAILABLE), now + 0.6)
            assert asking.outcome.reason == FailureReason.OUTCOME_UNKNOWN, "in doubt goes before not done"
            asking.record_response("a", Failure(FailureReason.EXPIRED), now + 0.7)
            assert asking.is_finished and asking.outcome.reason == FailureReason.OUTCOME_UNKNOWN
            asking = OperatorRequest(["a"], now, 10.9)
            assert asking.next_store(now) == "a"
            asking.record_response("a", Failure(FailureReason.EXPIRED), now + 0.1)
            assert asking.is_finished and asking.outcome.reason == FailureReason.EXPIRED, (
                "void: the caller may say it again"
            )


@test("a connection that may have waited for a process that stood is as old as the stand")
def _() -> None:
    awake = StallDetector(0.0)
    for tenth in range(1, 20):
        awake.beat(tenth / 10)
    assert awake.earliest_write(1.95) == 1.95
    assert awake.earliest_write(22.0) == 1.95, "the bytes came first"
    awake.beat(22.01)
    assert (
        awake.earliest_write(22.0 + STALL_RECOVERY_SECONDS - 0.01) == 1.95
        and awake.earliest_write(22.0 + STALL_RECOVERY_SECONDS) == 22.0 + STALL_RECOVERY_SECONDS
    )
    awake = StallDetector(0.0)
    awake.beat(STALL_THRESHOLD_SECONDS + 20.0)
    assert awake.earliest_write(STALL_THRESHOLD_SECONDS + 20.0) == 0.0, "the timer came first"
