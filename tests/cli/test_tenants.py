"""The `tenant` commands against a simulated core: real store validation, lost requests and responses."""

import json
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from unittest.mock import patch

from cleo.testers.application_tester import ApplicationTester
from ward import each, fixture, test

from ashlift.cli import config_rollout, control_client
from ashlift.cli.application import create_application
from ashlift.cli.control_client import Address, ControlResponse
from ashlift.cli.tenants import without_api_keys
from ashlift.config.operator_config import export_configuration
from ashlift.configstore.commands import OperatorCommand, decide_command
from ashlift.configstore.proposals import Proposal
from ashlift.errors import Failure, FailureReason
from tests.config.test_operator_config import PUT

CORE = "10.0.0.1:8200"
TENANT = {
    "ObjectType": "Tenants",
    "Metadata": {"Name": "new"},
    "Specification": {"ApiKeys": ["n-1", "n-2"], "RatePerS": 3, "BurstSize": 3},
}


class SimulatedCore:
    """Two core machines that share one store.

    `faults` apply to the next commands, one each: the connection is lost `before` or `after` the store has
    accepted it, the response is `503`, or another operator's change is applied first (`between`).
    """

    def __init__(self, *faults: str, behind: int = 0) -> None:
        self.entries: dict[str, Any] = {}
        self.index = 1
        self.faults = list(faults)
        self.behind = behind  # number of changes that the proxy has not received
        self.slept_seconds = 0.0
        self.apply_command("put", "0", PUT)

    @property
    def version(self) -> int:
        return int(self.entries["Version"], 16)

    def apply_command(self, kind: str, if_match: str, body: Any) -> Any:
        """Validate and apply a command as the store does."""
        decision = decide_command(self.entries, OperatorCommand(kind, if_match, body))
        if isinstance(decision, Proposal):
            kept = {key: value for key, value in self.entries.items() if key not in decision.deletions}
            self.entries = kept | decision.updates
            self.index += 1
        return decision.response

    def request(
        self,
        target: Address,
        method: str,
        path: str,
        label: str,
        body: bytes | None = None,
        headers: Any = None,
        timeout_seconds: float = 0.0,
    ) -> ControlResponse | Failure:
        """Replaces `control_client._request`."""
        if path == "/status":
            return respond(200, self.status(target))
        if method == "GET":
            return respond(200, export_configuration(self.entries))
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "between":
            self.apply_concurrent_change()
        if fault == "before":
            return Failure(FailureReason.OUTCOME_UNKNOWN, label)
        if fault == "503":
            return respond(503, {})
        response = self.apply_command("patch", headers["If-Match"], json.loads(body or b""))
        if fault == "after":
            return Failure(FailureReason.OUTCOME_UNKNOWN, label)
        return respond(response["status"], response)

    def status(self, target: Address) -> dict[str, Any]:
        """Return the status of one machine; the proxy pulls from the second one."""
        proxy = {"node": "edge-1", "zone": "z1", "region": "r1", "ready": True}
        if target[0] == "10.0.0.2":
            proxy |= {"index": self.index - self.behind, "heard": 0.1}
        worker = {"id": "i-1", "service": "s", "zone": "z1", "state": "ready", "capacity": 20}
        return {
            "index": self.index,
            "version": self.entries["Version"],
            "gatekeepers": [proxy],
            "members": ["10.0.0.1", "10.0.0.2"],
            "workers": [worker],
        }

    def apply_concurrent_change(self) -> None:
        base = self.entries["Version"]
        other = {**TENANT, "Specification": {"ApiKeys": ["o-1"]}}
        patch_body = {"ConfigVersion": f"{self.version + 1:08x}", "Upsert": {"Objects": [other]}}
        assert self.apply_command("patch", base, patch_body)["status"] == 200

    def sleep(self, seconds: float) -> None:
        self.slept_seconds += seconds

    def run(self, line: str) -> tuple[int, str, str]:
        """Return exit code, standard output and standard error of a command."""
        tester = ApplicationTester(create_application())
        with (
            patch.object(control_client, "_request", self.request),
            patch.object(config_rollout, "sleep", self.sleep),
        ):
            code = tester.execute(line)
        return code, tester.io.fetch_output(), tester.io.fetch_error()


def respond(status: int, value: Any) -> ControlResponse:
    return ControlResponse(status, "", json.dumps(value).encode())


@fixture
def tenant_file() -> Iterator[str]:
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "new.json"
        path.write_text(json.dumps(TENANT))
        yield str(path)


@test("tenant add: one new version despite faults ({faults}); repeating it changes nothing")
def _(
    faults: str = each("", "before", "after", "503 after", "after before 503"), tenant_file: str = tenant_file
) -> None:
    core = SimulatedCore(*faults.split())
    version = core.version
    code, out, errors = core.run(f"tenant add {CORE} {tenant_file}")
    assert (code, errors) == (0, "")
    assert "held by 1 of 1 proxies with a session" in out
    assert core.entries["Tenants/new"] == TENANT["Specification"]
    assert core.version == version + 1
    assert "nothing to change" in core.run(f"tenant add {CORE} {tenant_file}")[1]
    assert core.version == version + 1


@test("tenant add: rejected after another operator's change, also on a retry, and changes nothing")
def _(faults: str = each("between", "before between"), tenant_file: str = tenant_file) -> None:
    core = SimulatedCore(*faults.split())
    code, _, errors = core.run(f"tenant add {CORE} {tenant_file}")
    assert code == 2
    assert "412" in errors
    assert core.entries["Tenants/new"]["ApiKeys"] == ["o-1"]


@test("tenant add: a proxy that does not hold the change in time is printed")
def _(tenant_file: str = tenant_file) -> None:
    core = SimulatedCore(behind=1)
    code, out, _ = core.run(f"tenant add {CORE} {tenant_file}")
    assert code == 1
    assert "held by 0 of 1" in out
    assert "edge-1" in out
    assert core.slept_seconds > 1
    assert core.run(f"tenant status {CORE} new")[0] == 1


@test("tenant plan: errors and warnings are printed, and stop `tenant add` before it sends anything")
def _(tenant_file: str = tenant_file) -> None:
    core = SimulatedCore()
    other_tenant = next(item for item in PUT["Objects"] if item["ObjectType"] == "Tenants")
    version = core.version
    for specification, text in (
        ({"ApiKeys": other_tenant["Specification"]["ApiKeys"]}, "ApiKeys"),
        ({"ApiKeys": ["n"], "HomeRegions": ["r9"], "RatePerS": 1}, "no proxy is in r9"),
        ({"ApiKeys": ["n"], "RatePerS": 900, "BurstSize": 1}, "more than the"),
        ({"ApiKeys": ["n"]}, "no limit at all"),
        ({"ApiKeys": [], "RatePerS": 1}, "has no key"),
    ):
        Path(tenant_file).write_text(json.dumps({"Objects": [{**TENANT, "Specification": specification}]}))
        _, out, errors = core.run(f"tenant plan {CORE} {tenant_file}")
        assert text in out + errors, (specification, out, errors)
        assert core.run(f"tenant add {CORE} {tenant_file}")[0] == 2
        assert core.version == version
    assert core.run(f"tenant add {CORE} {tenant_file} --doubtful")[0] == 0
    assert "Tenants/new" in core.entries


@test("tenant remove: first the keys, then, after draining, the tenant; it resumes after an interruption")
def _(tenant_file: str = tenant_file) -> None:
    core = SimulatedCore()
    core.run(f"tenant add {CORE} {tenant_file}")
    version = core.version
    core.faults = ["after", *["before"] * config_rollout.MAX_ATTEMPTS]
    code, _, errors = core.run(f"tenant remove {CORE} new")
    assert code == 2
    assert "may be in force" in errors
    assert core.entries["Tenants/new"]["ApiKeys"] == []
    core.faults = []
    core.slept_seconds = 0.0
    code, out, errors = core.run(f"tenant remove {CORE} new")
    assert (code, errors) == (0, "")
    assert "Tenants/new" not in core.entries
    assert core.slept_seconds >= 1.5
    assert core.version == version + 2
    assert core.run(f"tenant status {CORE} new")[0] == 1
    assert core.run(f"tenant remove {CORE} new")[0] == 2


@test("tenant remove: other fields of a stored object stay when its keys are removed")
def _() -> None:
    entries: dict[str, Any] = {"Tenants/new": {"ApiKeys": ["n-1"], "RatePerS": 3}}
    assert without_api_keys(entries, "new") == {
        "ObjectType": "Tenants",
        "Metadata": {"Name": "new"},
        "Specification": {"ApiKeys": [], "RatePerS": 3},
    }
    other_fields = {"ObjectType": "Tenants", "Metadata": {"Name": "new", "Team": "x"}}
    entries["Rest/Tenants/new"] = other_fields
    assert without_api_keys(entries, "new") == {
        **other_fields,
        "Specification": {"ApiKeys": [], "RatePerS": 3},
    }
