"""`tenant plan`, `add`, `status`, `remove` against a made core: the store's real checks, and lost answers."""

import json
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from unittest.mock import patch

from cleo.testers.application_tester import ApplicationTester
from ward import each, fixture, test

from ashlift.cli import changing, sources
from ashlift.cli.commands import application
from ashlift.config.operator_config import export_configuration
from ashlift.configstore.commands import OperatorCommand, decide_command
from ashlift.configstore.messages import Proposal
from ashlift.errors import Failure, FailureReason
from tests.config.test_operator_config import PUT

CORE = "10.0.0.1:8200"
TENANT = {
    "ObjectType": "Tenants",
    "Metadata": {"Name": "new"},
    "Specification": {"ApiKeys": ["n-1", "n-2"], "RatePerS": 3, "BurstSize": 3},
}


class Core:
    """Two core machines over one store. `lost`: what befalls the next orders, in turn: `before` or `after`
    they are taken, `503`, or another operator's change that comes `between`."""

    def __init__(self, *lost: str, behind: int = 0) -> None:
        self.map: dict[str, Any] = {}
        self.index, self.lost, self.behind = 1, list(lost), behind
        self.paused = 0.0
        self.order("put", "0", PUT)

    def order(self, kind: str, if_match: str, body: Any) -> Any:
        found = decide_command(self.map, OperatorCommand(kind, if_match, body))
        if isinstance(found, Proposal):
            self.map = {
                key: value for key, value in self.map.items() if key not in found.deletions
            } | found.updates
            self.index += 1
        return found.response

    def ask(
        self,
        target: sources.Address,
        method: str,
        path: str,
        asked: str,
        body: bytes | None = None,
        headers: Any = None,
        wait: float = 0.0,
    ) -> Any:
        if path == "/status":
            rows = [{"node": "edge-1", "zone": "z1", "region": "r1", "ready": True}]
            if target[0] == "10.0.0.2":
                rows[0] |= {"index": self.index - self.behind, "heard": 0.1}
            worker = {"id": "i-1", "service": "s", "zone": "z1", "state": "ready", "capacity": 20}
            return self.say(
                200,
                {
                    "index": self.index,
                    "version": self.map["Version"],
                    "gatekeepers": rows,
                    "members": ["10.0.0.1", "10.0.0.2"],
                    "workers": [worker],
                },
            )
        if method == "GET":
            return self.say(200, export_configuration(self.map))
        befalls = self.lost.pop(0) if self.lost else ""
        if befalls == "between":
            base = self.map["Version"]
            other = {**TENANT, "Specification": {"ApiKeys": ["o-1"]}}
            taken = {"ConfigVersion": f"{int(base, 16) + 1:08x}", "Upsert": {"Objects": [other]}}
            assert self.order("patch", base, taken)["status"] == 200
        if befalls in ("before", "503"):
            return self.say(503, {}) if befalls == "503" else Failure(FailureReason.OUTCOME_UNKNOWN, asked)
        answer = self.order("patch", headers["If-Match"], json.loads(body or b""))
        return (
            Failure(FailureReason.OUTCOME_UNKNOWN, asked)
            if befalls == "after"
            else self.say(answer["status"], answer)
        )

    @staticmethod
    def say(status: int, value: Any) -> tuple[int, str, bytes]:
        return status, "", json.dumps(value).encode()

    def pause(self, seconds: float) -> None:
        self.paused += seconds

    def run(self, line: str) -> tuple[int, str, str]:
        tester = ApplicationTester(application())
        with patch.object(sources, "_ask", self.ask), patch.object(changing, "pause", self.pause):
            code = tester.execute(line)
        return code, tester.io.fetch_output(), tester.io.fetch_error()


@fixture
def file() -> Iterator[str]:
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "new.json"
        path.write_text(json.dumps(TENANT))
        yield str(path)


@test("tenant add: one version, whatever befalls the call ({befalls}); once more changes nothing")
def _(befalls: str = each("", "before", "after", "503 after", "after before 503"), file: str = file) -> None:
    core = Core(*befalls.split())
    before = int(core.map["Version"], 16)
    code, out, errors = core.run(f"tenant add {CORE} {file}")
    assert (code, errors) == (0, "") and "held by 1 of 1 gatekeepers in touch" in out
    assert core.map["Tenants/new"] == TENANT["Specification"] and int(core.map["Version"], 16) == before + 1
    assert "nothing to change" in core.run(f"tenant add {CORE} {file}")[1]
    assert int(core.map["Version"], 16) == before + 1


@test("tenant add: who comes second is told, also after a call without a clear answer, and changes nothing")
def _(befalls: str = each("between", "before between"), file: str = file) -> None:
    core = Core(*befalls.split())
    code, _, errors = core.run(f"tenant add {CORE} {file}")
    assert code == 2 and "412" in errors and core.map["Tenants/new"]["ApiKeys"] == ["o-1"]


@test("tenant add: a gatekeeper that does not hold it in time is named")
def _(file: str = file) -> None:
    core = Core(behind=1)
    code, out, _ = core.run(f"tenant add {CORE} {file}")
    assert code == 1 and "held by 0 of 1" in out and "edge-1" in out and core.paused > 1
    assert core.run(f"tenant status {CORE} new")[0] == 1


@test("tenant plan: faults and doubts are told before anything is sent")
def _(file: str = file) -> None:
    core, holder = Core(), next(one for one in PUT["Objects"] if one["ObjectType"] == "Tenants")
    version = core.map["Version"]
    for specification, words in (
        ({"ApiKeys": holder["Specification"]["ApiKeys"]}, "ApiKeys"),
        ({"ApiKeys": ["n"], "HomeRegions": ["r9"], "RatePerS": 1}, "no gatekeeper is in r9"),
        ({"ApiKeys": ["n"], "RatePerS": 900, "BurstSize": 1}, "more than the"),
        ({"ApiKeys": ["n"]}, "no limit at all"),
        ({"ApiKeys": [], "RatePerS": 1}, "has no key"),
    ):
        Path(file).write_text(json.dumps({"Objects": [{**TENANT, "Specification": specification}]}))
        _, out, errors = core.run(f"tenant plan {CORE} {file}")
        assert words in out + errors, (specification, out, errors)
        assert core.run(f"tenant add {CORE} {file}")[0] == 2 and core.map["Version"] == version
    assert core.run(f"tenant add {CORE} {file} --doubtful")[0] == 0 and "Tenants/new" in core.map


@test("tenant remove: first its keys, and after the longest timeout all of it; it goes on where it ended")
def _(file: str = file) -> None:
    core = Core()
    core.run(f"tenant add {CORE} {file}")
    version = int(core.map["Version"], 16)
    core.lost = ["after", *["before"] * changing.CALLS_MOST]
    code, _, errors = core.run(f"tenant remove {CORE} new")
    assert code == 2 and "may be in force" in errors and core.map["Tenants/new"]["ApiKeys"] == []
    core.lost, core.paused = [], 0.0
    code, out, errors = core.run(f"tenant remove {CORE} new")
    assert (code, errors) == (0, "") and "Tenants/new" not in core.map and core.paused >= 1.5
    assert int(core.map["Version"], 16) == version + 2
    assert core.run(f"tenant status {CORE} new")[0] == 1 and core.run(f"tenant remove {CORE} new")[0] == 2
