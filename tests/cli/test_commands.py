"""The system's command line: its commands run in this process; what a core machine says is given as text."""

import json
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from unittest.mock import patch

from cleo.testers.application_tester import ApplicationTester
from ward import each, fixture, test

from ashlift.cli import sources
from ashlift.cli.commands import application
from ashlift.errors import Failure
from tests.config.test_operator_config import PATCH, PUT, damaged
from tests.support.config_play import SCENARIOS

STATUS: dict[str, Any] = {
    "node": "core-a-1",
    "source": "core-a-1#9",
    "leader": "10.0.0.1",
    "term": 3,
    "index": 12,
    "age": 0.25,
    "version": "00000007",
    "members": ["10.0.0.1", "10.0.0.2"],
    "sources": {"core-b-1#4": {"version": 9, "silent": 0.1}},
    "gatekeepers": [
        {"node": "edge-a-1", "zone": "a", "region": "r", "front": "10.0.1.1:80", "ready": True},
        {"node": "edge-b-1", "zone": "b", "region": "r", "front": "10.0.1.2:80", "ready": False},
    ],
    "workers": [
        {"id": "i-1", "service": "s", "zone": "a", "state": "ready", "warm": 0},
        {"id": "i-2", "service": "s", "zone": "b", "state": "ready", "warm": 2.5},
        {"id": "i-3", "service": "<t>", "zone": "b", "state": "draining", "warm": None},
    ],
}
CORE = "10.0.0.1:8200"


def run(line: str, answers: dict[str, Any] | None = None) -> tuple[int, str, str]:
    """Exit code, standard output, standard error. `answers`: by `ADDRESS PATH`: (status, location, text)."""

    def get(target: sources.Address, method: str, path: str, asked: str, **_: Any) -> Any:
        return (answers or {}).get(
            f"{target[0]}:{target[1]} {path}", Failure("unreached", f"{asked}: no connection")
        )

    tester = ApplicationTester(application())
    with patch.object(sources, "_ask", get):
        code = tester.execute(line)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def saying(path: str, value: Any) -> dict[str, Any]:
    return {f"{CORE} {path}": (200, "", json.dumps(value).encode())}


@fixture
def folder() -> Iterator[Path]:
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


def keep(folder: Path, name: str, value: Any) -> str:
    (folder / name).write_text(value if isinstance(value, str) else json.dumps(value))
    return str(folder / name)


@test("check: sound files are told so, and every fault by place and key")
def _(folder: Path = folder) -> None:
    assert run(f"check {SCENARIOS / 'config_settings.toml'}")[0] == 0
    assert run(f"check {keep(folder, 'c.json', PUT)}")[::2] == (0, "")
    bad = keep(folder, "s.toml", 'Ip = 3\nSeedNodes = ["10.0.0.1:80"]\n')
    code, _, errors = run(f"check {bad}")
    assert code == 2 and [line.split(": ")[:2] for line in errors.splitlines()] == [
        [bad, key] for key in ("NodeName", "Ip", "InternalPortRange")
    ]
    worse = json.loads(json.dumps(PUT))
    worse["Objects"][0]["Specification"] |= {"Timeout": 3, "TrafficSplit": [{"Service": "x", "Weight": -1}]}
    code, _, errors = run(f"check {keep(folder, 'd.json', worse)}")
    assert code == 2 and len(errors.splitlines()) == 3 and "d.json: Routes r: Timeout: is no time" in errors


@test("check --on: what is to follow a configuration is held against it")
def _(folder: Path = folder) -> None:
    first, change = keep(folder, "a.json", PUT), keep(folder, "b.json", PATCH)
    assert run(f"check {change}")[0] == 2
    assert run(f"check {change} --on {first}")[::2] == (0, "")
    assert run(f"check {change} --on {CORE}", saying("/config", PUT))[0] == 0
    code, _, errors = run(f"check {first} --on {first}")
    assert code == 2 and errors == f"{first}: ConfigVersion: 00000007 is not above the current 00000007\n"


@test("status and members: what a core machine knows, its words unchanged")
def _() -> None:
    code, out, _ = run(f"status {CORE}", saying("/status", STATUS))
    assert code == 0 and "00000007, proven current 0.25 s ago" in out and "2, 1 ready" in out
    assert (
        "s: 1 ready, 1 ready (cold)" in out and "<t>: 1 draining" in out and "core-b-1#4 (0.1 s ago)" in out
    )
    code, out, _ = run(f"members {CORE}", saying("/status", STATUS))
    assert code == 0 and out.index("10.0.0.2") < out.index("edge-a-1") < out.index("i-1")
    assert "edge-b-1  b     r       10.0.1.2:80  no" in out
    assert json.loads(run(f"status {CORE} --json", saying("/status", STATUS))[1]) == STATUS
    assert (
        run(f"status {CORE}", saying("/status", {}))[0] == 0
        and "not proven" in run(f"status {CORE}", saying("/status", {"age": None}))[1]
    )


@test("config: shown as it can be sent, and compared with files and core machines")
def _(folder: Path = folder) -> None:
    assert json.loads(run(f"config show {CORE}", saying("/config", PUT))[1]) == PUT
    file = keep(folder, "a.json", PUT)
    assert run(f"config diff {file} {CORE}", saying("/config", PUT)) == (0, "", "")
    other = json.loads(json.dumps(PUT))
    other["ConfigVersion"] = "8"
    other["Objects"][0]["Specification"]["Timeout"] = "2s"
    other["Objects"][5:] = [{"ObjectType": "Services", "Metadata": {"Name": "v"}, "Specification": {}}]
    assert run(f"config diff {file} {keep(folder, 'b.json', other)}") == (
        1,
        '~ ConfigVersion: 00000007 -> 00000008\n~ Routes r: Timeout: "1500ms" -> "2s"\n'
        "- Limits\n+ Services v\n",
        "",
    )


@test("errors: `{line}` gives one clear line")
def _(
    line: str = each(
        "check /none", "status here", f"status {CORE}", f"config show {CORE}", "config diff 10.0.0.1:8200 x"
    ),
    words: str = each(
        "cannot be read", "is no address", "no connection", "404 nobody home", "cannot be read"
    ),
) -> None:
    answers = {f"{CORE} /config": (404, "", b"nobody\n home")} if "show" in line else {}
    if "diff" in line:
        answers = saying("/config", PUT)
    code, out, errors = run(line, answers)
    assert (code, out, errors.count("\n")) == (2, "", 1) and words in errors


@test("calls: sent on twice at most, and what is no JSON is told")
def _() -> None:
    hops = {f"10.0.0.{n}:8200 /status": (307, f"http://10.0.0.{n + 1}:8200/status", b"") for n in (1, 2, 3)}
    last = {"10.0.0.4:8200 /status": (200, "", b"{}")}
    assert run("status 10.0.0.2:8200", hops | last)[0] == 0 and run(f"status {CORE}", hops | last)[0] == 2
    there = (307, "http://10.0.0.2:8200/status", b"")
    answers = {f"{CORE} /status": there, "10.0.0.2:8200 /status": (200, "", b'{"node": "core-b-1"}')}
    assert "core-b-1" in run(f"status {CORE}", answers)[1]
    assert (
        "sent on more than 2 times" in run(f"status {CORE}", {**answers, "10.0.0.2:8200 /status": there})[2]
    )
    assert "is no JSON" in run(f"status {CORE}", {f"{CORE} /status": (200, "", b"<html>")})[2]
    assert damaged(PUT, [("set", 0, 3)]) == 3 and run(f"status {CORE}", saying("/status", 3))[0] == 2
