"""Edits of single routes from the command line to the shelf: real commands, calls, shelves, decisions."""

import json
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from unittest.mock import patch
from urllib.parse import quote

import attrs
from cleo.testers.application_tester import ApplicationTester
from ward import fixture, test

from ashlift.cli import control_client
from ashlift.cli.application import create_application
from ashlift.cli.control_client import ControlResponse
from ashlift.configstore.commands import OperatorCommand, decide_command
from ashlift.configstore.pending_edits import PendingEditStorage
from ashlift.configstore.proposals import Proposal
from ashlift.configstore.snapshot_storage import SnapshotStorage
from ashlift.configstore.stored_names import PENDING_EDIT_STORAGE
from ashlift.errors import Failure, FailureReason
from ashlift.registry import codec
from ashlift.registry.api.messages import HttpRequest
from ashlift.registry.api.proposals import ProposalsResource
from ashlift.registry.api.route_edits import RouteEditService
from ashlift.registry.api.routes import RoutesResource
from ashlift.registry.identity import RegistryIdentity
from ashlift.registry.registry import Registry
from ashlift.route_reconciliation.edit_codec import encode_edit
from tests.support.route_edits import BASE, FIRST_ROUTES, Map, route

ORDER = route("c", "/hold/", "non_idempotent")


class Core:
    """Two core machines of one side; `fault`: why there is no leader in reach."""

    def __init__(self, folder: str) -> None:
        self.map, self.index, self.folder = dict(BASE), 1, folder
        self.fault: Failure | None = None
        me = RegistryIdentity("core-1", "1", "10.0.0.1", "z", "r", 8200, 1.5)
        self.registry = Registry(me, ["10.0.0.1"], {"z": "r"}, 0.0)
        self.registry.operator_config.replace(1, self.map)
        self.shelves = {ip: self.opened(ip) for ip in ("10.0.0.1", "10.0.0.2")}
        desk = RouteEditService(self.registry, self)  # type: ignore[arg-type]
        self.resources = {"routes": RoutesResource(desk), "proposals": ProposalsResource(desk)}

    def opened(self, ip: str) -> PendingEditStorage:
        shelf = SnapshotStorage(f"{self.folder}/{ip}", PENDING_EDIT_STORAGE)
        return PendingEditStorage(shelf, lambda: (self.index, self.map), lambda *_, **__: None)

    def submit(self, kind: str, if_match: str | None, body: Any, size: int = 0) -> Any:
        answer = self.execute(kind, if_match, body)
        return answer if isinstance(answer, Failure) else codec.decode_command_result(answer)

    def execute(self, kind: str, if_match: str | None, body: Any) -> Any:
        if self.fault is not None:
            return self.fault
        made = decide_command(self.map, OperatorCommand(kind, if_match, body))
        if isinstance(made, Proposal):
            self.map = {
                key: value for key, value in self.map.items() if key not in made.deletions
            } | made.updates
            self.index += 1
            self.registry.operator_config.replace(self.index, self.map)
        return dict(made.response)

    def exchange_pending_edits(self, add: list[Map]) -> Map:
        answers = {ip: one.handle_request({"add": add}) for ip, one in self.shelves.items()}
        return {
            ip: answer if isinstance(answer, Failure) else codec.decode_pending_edits(answer)
            for ip, answer in answers.items()
        }

    def merge(self) -> None:
        """What every store does once a second."""
        for one in self.shelves.values():
            order = one.merge_request()
            one.finish_merge(order and self.execute(order["kind"], None, order["body"]))

    def run(self, line: str) -> tuple[int, str]:
        """Exit code and all output of a command, its calls taken by this core."""

        def call(
            target: Any, method: str, path: str, label: str, body: bytes = b"", **_: Any
        ) -> ControlResponse:
            request = HttpRequest(method, path, {}, {}, body)
            answer = self.resources[path.split("/")[1]].handle(request)
            return ControlResponse(answer.status, "", json.dumps(answer.body).encode())

        tester = ApplicationTester(create_application())
        with patch.object(control_client, "_request", call):
            code = tester.execute(f"route {line}")
        return code, tester.io.fetch_output() + tester.io.fetch_error()

    def edit(self, name: str, text: Any, id: str) -> tuple[int, str]:
        path = Path(self.folder) / "text.json"
        path.write_text(json.dumps(text))
        what = "--withdraw" if text is None else f"--file {path}"
        return self.run(f"edit c:1 {quote(name)} {what} --id {id} --who ann")


@fixture
def core() -> Iterator[Core]:
    with tempfile.TemporaryDirectory() as folder:
        yield Core(folder)


@test("with a majority, an edit is in force; made on another text it is a conflict that shows both")
def _(core: Core = core) -> None:
    code, told = core.edit("hold", ORDER, "e1")
    assert code == 0 and "in force, version 00000002" in told and core.map["Routes/hold"] == ORDER
    core.registry.operator_config.replace(9, BASE)  # this registry lags behind
    code, told = core.edit("hold", FIRST_ROUTES["hold"], "e2")
    assert code == 3 and "conflict" in told and json.dumps(ORDER, sort_keys=True) in told
    assert core.map["Routes/hold"] == ORDER
    assert core.edit("hold", ORDER, "e1")[0] == 0 and core.map["Version"] == "00000002", "asked again: once"


@test("cut off: a proposal is kept on every shelf in reach, never in force, and confirmed after the rejoin")
def _(core: Core = core) -> None:
    core.fault = Failure(FailureReason.UNAVAILABLE, "no leader")
    code, told = core.edit("hold", ORDER, "p1")
    assert code == 3 and "NOT in force" in told and "10.0.0.1, 10.0.0.2" in told and "confirm" in told
    code, told = core.run("confirm c:1 p1 --on 00000001 --who bob")
    assert code == 2 and "503" in told and core.map == BASE
    core.fault = None
    core.merge()
    assert core.map["Routes/hold"] == FIRST_ROUTES["hold"], "it does not merge by itself"
    assert Path(core.folder, "10.0.0.1", "edits-b.dat").exists(), "what a daemon looks for at its start"
    core.shelves["10.0.0.1"] = core.opened("10.0.0.1")  # it starts anew
    del core.shelves["10.0.0.2"]  # and the other is gone
    code, told = core.run("proposals c:1")
    assert code == 0 and "p1  hold  by ann at core-1" in told and "kind" in told
    assert core.run("confirm c:1 p1")[0] == 2, "it must say on which version"
    assert core.run("confirm c:1 p1 --on 00000009")[0] == 3 and core.map == BASE
    assert core.run("confirm c:1 p1 --on 00000001 --who bob") == (0, "in force 00000002\n")
    assert core.map["Routes/hold"] == ORDER
    assert core.run("reject c:1 p1 --on 00000002") == (0, "in force 00000002\n"), "settled once"
    core.merge()
    assert not core.shelves["10.0.0.1"].pending.edits and "none" in core.run("proposals c:1")[1]
    code, told = core.run("history c:1 hold")
    assert code == 0 and all(word in told for word in ("p1", "ann", "bob", "core-1", "00000001", "00000002"))


@test("an edit in doubt that came into force is not done again; a conflict waits until it is rejected")
def _(core: Core = core) -> None:
    core.fault = Failure(FailureReason.OUTCOME_UNKNOWN, "lost the lead")
    code, told = core.edit("hold", ORDER, "d1")
    assert code == 3 and "in doubt" in told
    core.fault = None
    kept = core.shelves["10.0.0.1"].pending.edits["d1"]
    core.submit("edit", None, {"edit": encode_edit(kept)})
    assert core.run("confirm c:1 d1 --on 00000001") == (0, "in force 00000002\n")
    assert core.map["Version"] == "00000002"
    core.fault = Failure(FailureReason.UNAVAILABLE, "no leader")
    assert core.edit("hold", FIRST_ROUTES["hold"], "c1")[0] == 3
    core.fault = None
    assert core.edit("hold", route("a", "/hold/", "non_idempotent"), "m1")[0] == 0
    code, told = core.run("confirm c:1 c1 --on 00000003")
    assert code == 3 and "conflict" in told and "CONFLICT" in core.run("proposals c:1")[1]
    assert core.run("reject c:1 c1 --on 00000003")[0] == 0 and core.map["Version"] == "00000003"
    assert core.run("confirm c:1 c1 --on 00000003 --over") == (0, "rejected\n")


@test("look-ups' edits of a cut-off side merge by themselves, and what each lost to is told")
def _(core: Core = core) -> None:
    core.fault = Failure(FailureReason.UNAVAILABLE, "no leader")
    assert "merges by itself" in core.edit("x", route("b"), "x1")[1]
    (kept,) = core.shelves["10.0.0.1"].pending.edits.values()
    ahead = {
        "x1": attrs.evolve(kept, timestamp=kept.timestamp._replace(wall_ms=kept.timestamp.wall_ms + 9000))
    }
    core.shelves["10.0.0.2"].pending.edits = ahead  # of another machine, whose clock is ahead
    assert "merges by itself" in core.edit("x", None, "x2")[1]
    assert "confirm" in core.edit("y", route("a", "/hold/new/"), "y1")[1], "it takes an order's paths"
    core.merge()
    assert core.map == BASE
    core.fault = None
    core.merge()
    assert "Routes/x" not in core.map and "Routes/y" not in core.map
    told = core.run("history c:1 x")[1]
    assert "lost" in told and "x2" in told and "no such route" in told
    assert core.shelves["10.0.0.1"].merge_request() is None, (
        "what waits for an operator is not sent again and again"
    )


@test("a shelf that is full refuses, and what is no edit is no call")
def _(core: Core = core) -> None:
    core.fault = Failure(FailureReason.UNAVAILABLE, "no leader")
    with patch("ashlift.configstore.pending_edits.MAX_PENDING_EDITS", 1):
        assert core.edit("hold", ORDER, "p1")[0] == 3
        code, told = core.edit("hold", ORDER, "p2")
        assert code == 2 and "no store has kept it" in told
    bodies: list[Any] = [None, {}, {"add": 3}, {"add": [{}]}]
    for body in bodies:
        assert isinstance(core.shelves["10.0.0.1"].handle_request(body), Failure)
    assert core.run("edit c:1 x")[0] == 2 and core.run("confirm c:1 none --on 00000001")[0] == 2
    assert (
        core.resources["proposals"].handle(HttpRequest("POST", "/proposals/p1", {}, {}, b"[]")).status == 400
    )
    assert core.resources["routes"].handle(HttpRequest("POST", "/routes/x", {}, {}, b"{}")).status == 400
