"""Operator commands: resends, permanent refusals, and commands that arrive late."""

import json
import random
from typing import Any

from ward import test

from ashlift.config.operator_config import request_digest
from ashlift.configstore.commands import (
    COMMAND_DIGEST_BYTES,
    MAX_ACCEPTED_DIGESTS,
    MAX_REFUSED_DIGESTS,
    OperatorCommand,
    decide_command,
)
from ashlift.configstore.proposals import Proposal, ReadOnlyResult
from ashlift.configstore.stored_names import ACCEPTED_PREFIX, ACCEPTED_TRIMMED, REFUSED_PREFIX
from ashlift.registry.api.resource import parse_json
from ashlift.simulation.configurations import first_configuration
from ashlift.simulation.plan import Plan

FIRST = first_configuration(Plan())
Map = dict[str, Any]


def patch(version: int, name: str = "a") -> Map:
    """A patch that sets one service."""
    specification = {"HealthCheck": "/", "MaxConnections": 2}
    service = {"ObjectType": "Services", "Metadata": {"Name": name}, "Specification": specification}
    return {"ConfigVersion": f"{version:08x}", "Upsert": {"Objects": [service]}, "Withdraw": {}}


class ReplicatedMap:
    """A map to which commands are applied one after another."""

    def __init__(self, first: Map | None = FIRST) -> None:
        self.entries: Map = {}
        self.changed = False  # by the last command
        if first is not None:
            assert self.execute(0, first, "put") == 200

    def execute(self, base: int, body: Map, kind: str = "patch") -> int:
        """The status of the answer to a configuration that builds on the version `base`."""
        return self.execute_command(OperatorCommand(kind, f"{base:08x}", body))

    def execute_command(self, command: OperatorCommand) -> int:
        outcome = decide_command(self.entries, command)
        assert isinstance(outcome, Proposal | ReadOnlyResult)
        self.changed = isinstance(outcome, Proposal)
        if isinstance(outcome, Proposal):
            remaining = {key: self.entries[key] for key in self.entries if key not in outcome.deletions}
            self.entries = {**remaining, **outcome.updates}
        return int(outcome.response["status"])

    def keys(self, prefix: str) -> list[str]:
        return [key for key in self.entries if key.startswith(prefix)]

    @property
    def version(self) -> int:
        return int(self.entries["Version"], 16)


@test("an accepted command is acknowledged again while its digest is kept, and never refused afterwards")
def _() -> None:
    replicated = ReplicatedMap()
    sent: list[tuple[int, Map]] = []
    for number in range(MAX_ACCEPTED_DIGESTS + 40):
        base = replicated.version
        sent.append((base, patch(base + 1 + number % 3, f"s{number % 9}")))
        assert replicated.execute(*sent[-1]) == 200
    before = dict(replicated.entries)
    resent = [replicated.execute(base, body) for base, body in sent]
    assert resent == [503] * 40 + [200] * MAX_ACCEPTED_DIGESTS
    assert replicated.entries == before
    conflicting = [(base, patch(int(body["ConfigVersion"], 16), "other")) for base, body in sent]
    refused = [replicated.execute(base, body) for base, body in conflicting]
    assert refused == [503] * 40 + [412] * MAX_ACCEPTED_DIGESTS
    assert replicated.entries == before
    assert replicated.entries[ACCEPTED_TRIMMED] == int(sent[39][1]["ConfigVersion"], 16)
    accepted = replicated.keys(ACCEPTED_PREFIX)
    assert len(accepted) == MAX_ACCEPTED_DIGESTS
    assert all(len(replicated.entries[key]) == COMMAND_DIGEST_BYTES == 8 for key in accepted)


@test("a digest stored by an earlier release is recognized")
def _() -> None:
    replicated = ReplicatedMap()
    assert replicated.execute(1, patch(2)) == 200
    replicated.entries["Taken/00000002"] = request_digest("patch", "1", patch(2))
    assert replicated.execute(1, patch(2)) == 200
    assert replicated.execute(1, patch(2, "b")) == 412


def rewritten(value: Any, random_source: random.Random) -> str:
    """The same JSON value in another encoding."""
    match value:
        case dict():
            items = list(value.items())
            random_source.shuffle(items)
            pairs = (
                f"{rewritten(key, random_source)}:\n {rewritten(item, random_source)}" for key, item in items
            )
            return "{ " + " ,".join(pairs) + "}"
        case list():
            return "[" + ",\t".join(rewritten(item, random_source) for item in value) + " ]"
        case bool() | None:
            return json.dumps(value)
        case int() | float() if value == int(value):
            return random_source.choice([f"{int(value)}", f"{int(value)}.0", f"{int(value)}e0"])
        case str() if value:
            return f'"\\u{ord(value[0]):04x}{value[1:]}"'
    return json.dumps(value)


@test("a configuration in another JSON encoding is the same command; another one of its version is not")
def _() -> None:
    random_source = random.Random(3)
    replicated = ReplicatedMap()
    specification = {
        "HealthCheck": "/",
        "MaxConnections": 2,
        "Warmup": "3s",
        "WarmupRateS": 5.25,
        "Tls": True,
    }
    service = {"ObjectType": "Services", "Metadata": {"Name": "a"}, "Specification": specification}
    body = {**patch(10), "Upsert": {"Objects": [service]}}
    assert replicated.execute(1, body) == 200
    before = dict(replicated.entries)
    for version in ("0000000a", "0000000A", "a"):
        text = rewritten({**body, "ConfigVersion": version}, random_source)
        command = OperatorCommand("patch", "1", parse_json(text.encode()))
        assert decide_command(replicated.entries, command) == ReadOnlyResult({"status": 200}), text
    for change in ({"Tls": 1}, {"MaxConnections": 3}, {"WarmupRateS": 5.5}):
        other = {**service, "Specification": {**specification, **change}}
        assert replicated.execute(1, {**body, "Upsert": {"Objects": [other]}}) == 412
    assert replicated.execute(1, body, "put") == 412
    assert replicated.entries == before


@test("a command refused before its base was current stays refused, in any order of arrival")
def _() -> None:
    replicated = ReplicatedMap()
    assert replicated.execute(5, patch(6)) == 412
    assert replicated.execute(5, patch(6)) == 412
    assert replicated.execute(1, patch(5, "b")) == 200, "the base is accepted"
    assert replicated.execute(5, patch(6)) == 412, "a late copy of a refused command was accepted"
    assert replicated.execute(5, patch(6, "c")) == 200
    assert not replicated.keys(REFUSED_PREFIX), "a refusal was kept although its base has passed"
    assert replicated.execute(5, patch(6)) == 412
    for number in range(MAX_REFUSED_DIGESTS):
        assert replicated.execute(9, patch(10, f"s{number}")) == 412
    assert replicated.execute(9, patch(10, "more")) == 503
    assert replicated.execute(9, patch(10, "s1")) == 412
    assert replicated.execute(6, patch(9)) == 200
    assert replicated.execute(9, patch(10, "more")) == 200


@test("an evacuation declares its key unconditional; a configuration is guarded by its base version")
def _() -> None:
    for kind, entries in (("evacuate", {}), ("restore", {"Evacuations/z": True})):
        outcome = decide_command(entries, OperatorCommand(kind, None, "z"))
        assert isinstance(outcome, Proposal)
        assert outcome.unconditional_keys == ("Evacuations/z",)
    outcome = decide_command({}, OperatorCommand("put", "0", FIRST))
    assert isinstance(outcome, Proposal)
    assert not outcome.unconditional_keys


def limits_only(version: int) -> Map:
    """A complete configuration that consists of limits only."""
    specification = {"MaxHeaderBytes": 1, "MaxBodyBytes": 1, "HeaderTimeout": "1s", "IdleTimeout": "1s"}
    limits = {"ObjectType": "Limits", "Metadata": {}, "Specification": specification}
    return {"ConfigVersion": f"{version:08x}", "Objects": [limits]}


@test("commands: a resend is answered 200, another command on the same base 412, an invalid one 400")
def _() -> None:
    replicated = ReplicatedMap(first=None)

    def execute(kind: str, body: Any, if_match: str | None = None) -> int:
        return replicated.execute_command(OperatorCommand(kind, if_match, body))

    assert execute("evacuate", "z1") == 200
    assert replicated.changed
    assert execute("evacuate", "z1") == 200
    assert not replicated.changed
    assert execute("put", limits_only(5), "0") == 200
    assert replicated.changed
    assert execute("put", limits_only(5), "0") == 200
    assert not replicated.changed
    assert execute("put", limits_only(6), "0") == 412
    assert execute("put", limits_only(5), "5") == 400
    for kind, body in (("patch", []), ("put", None), ("sing", {}), ("evacuate", 3)):
        assert execute(kind, body, "5") == 400
    for version in range(6, 6 + 2 * MAX_ACCEPTED_DIGESTS):
        assert execute("put", limits_only(version), f"{version - 1:08x}") == 200
    assert len(replicated.keys(ACCEPTED_PREFIX)) == MAX_ACCEPTED_DIGESTS
    assert execute("restore", "z1") == 200
    assert replicated.changed
    assert "Evacuations/z1" not in replicated.entries
