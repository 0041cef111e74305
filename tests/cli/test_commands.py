"""The read-only commands, run in this process with canned responses of core machines."""

import json
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from unittest.mock import patch

from cleo.testers.application_tester import ApplicationTester
from ward import each, fixture, test

from ashlift.cli import control_client
from ashlift.cli.application import create_application
from ashlift.cli.control_client import Address, ControlResponse
from ashlift.errors import Failure, FailureReason
from tests.config.test_operator_config import PATCH, PUT, mutated
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


def run(line: str, responses: dict[str, ControlResponse] | None = None) -> tuple[int, str, str]:
    """Return exit code, standard output and standard error; `responses` are keyed by `ADDRESS PATH`."""

    def request(target: Address, method: str, path: str, label: str, **_: Any) -> ControlResponse | Failure:
        host, port = target
        unreachable = Failure(FailureReason.UNREACHABLE, f"{label}: no connection")
        return (responses or {}).get(f"{host}:{port} {path}", unreachable)

    tester = ApplicationTester(create_application())
    with patch.object(control_client, "_request", request):
        code = tester.execute(line)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def json_responses(path: str, value: Any) -> dict[str, ControlResponse]:
    """Return the responses of a core machine that serves a JSON value on one path."""
    return {f"{CORE} {path}": ControlResponse(200, "", json.dumps(value).encode())}


@fixture
def folder() -> Iterator[Path]:
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


def write(folder: Path, name: str, value: Any) -> str:
    """Write a string, or another value as JSON, to a file; return its path."""
    (folder / name).write_text(value if isinstance(value, str) else json.dumps(value))
    return str(folder / name)


@test("check: valid files pass, and every error is printed with its file and key")
def _(folder: Path = folder) -> None:
    assert run(f"check {SCENARIOS / 'config_settings.toml'}")[0] == 0
    assert run(f"check {write(folder, 'c.json', PUT)}")[::2] == (0, "")
    bad_settings = write(folder, "s.toml", 'Ip = 3\nSeedNodes = ["10.0.0.1:80"]\n')
    code, _, errors = run(f"check {bad_settings}")
    assert code == 2
    assert [line.split(": ")[:2] for line in errors.splitlines()] == [
        [bad_settings, key] for key in ("NodeName", "Ip", "InternalPortRange")
    ]
    bad_configuration = json.loads(json.dumps(PUT))
    bad_configuration["Objects"][0]["Specification"] |= {
        "Timeout": 3,
        "TrafficSplit": [{"Service": "x", "Weight": -1}],
    }
    code, _, errors = run(f"check {write(folder, 'd.json', bad_configuration)}")
    assert code == 2
    assert len(errors.splitlines()) == 3
    assert "d.json: Routes r: Timeout: is no time" in errors


@test("check --on: a change is validated against the configuration that it applies to")
def _(folder: Path = folder) -> None:
    first = write(folder, "a.json", PUT)
    change = write(folder, "b.json", PATCH)
    assert run(f"check {change}")[0] == 2
    assert run(f"check {change} --on {first}")[::2] == (0, "")
    assert run(f"check {change} --on {CORE}", json_responses("/config", PUT))[0] == 0
    code, _, errors = run(f"check {first} --on {first}")
    assert code == 2
    assert errors == f"{first}: ConfigVersion: 00000007 is not above the current 00000007\n"


@test("status: a summary of the response, and with --json the response unchanged")
def _() -> None:
    code, out, _ = run(f"status {CORE}", json_responses("/status", STATUS))
    assert code == 0
    assert "00000007, confirmed current 0.25 s ago" in out
    assert "proxies        2, 1 ready" in out
    assert "s: 1 ready, 1 ready (warming up)" in out
    assert "<t>: 1 draining" in out
    assert "core-b-1#4 (0.1 s ago)" in out
    assert json.loads(run(f"status {CORE} --json", json_responses("/status", STATUS))[1]) == STATUS
    assert run(f"status {CORE}", json_responses("/status", {}))[0] == 0
    assert "not confirmed" in run(f"status {CORE}", json_responses("/status", {"age": None}))[1]


@test("members: core machines, proxies and workers in this order")
def _() -> None:
    code, out, _ = run(f"members {CORE}", json_responses("/status", STATUS))
    assert code == 0
    assert out.index("10.0.0.2") < out.index("edge-a-1") < out.index("i-1")
    assert "edge-b-1  b     r       10.0.1.2:80  no" in out


@test("config: shown as it can be sent, and compared with files and core machines")
def _(folder: Path = folder) -> None:
    assert json.loads(run(f"config show {CORE}", json_responses("/config", PUT))[1]) == PUT
    file = write(folder, "a.json", PUT)
    assert run(f"config diff {file} {CORE}", json_responses("/config", PUT)) == (0, "", "")
    other = json.loads(json.dumps(PUT))
    other["ConfigVersion"] = "8"
    other["Objects"][0]["Specification"]["Timeout"] = "2s"
    other["Objects"][5:] = [{"ObjectType": "Services", "Metadata": {"Name": "v"}, "Specification": {}}]
    assert run(f"config diff {file} {write(folder, 'b.json', other)}") == (
        1,
        '~ ConfigVersion: 00000007 -> 00000008\n~ Routes r: Timeout: "1500ms" -> "2s"\n'
        "- Limits\n+ Services v\n",
        "",
    )


@test("errors: `{line}` prints one clear line")
def _(
    line: str = each(
        "check /none", "status here", f"status {CORE}", f"config show {CORE}", "config diff 10.0.0.1:8200 x"
    ),
    text: str = each("cannot be read", "is no address", "no connection", "404 nobody home", "cannot be read"),
) -> None:
    responses: dict[str, ControlResponse] = {}
    if "show" in line:
        responses = {f"{CORE} /config": ControlResponse(404, "", b"nobody\n home")}
    if "diff" in line:
        responses = json_responses("/config", PUT)
    code, out, errors = run(line, responses)
    assert (code, out, errors.count("\n")) == (2, "", 1)
    assert text in errors


@test("requests: at most two redirects are followed, and a body that is not JSON is an error")
def _() -> None:
    redirects = {
        f"10.0.0.{n}:8200 /status": ControlResponse(307, f"http://10.0.0.{n + 1}:8200/status", b"")
        for n in (1, 2, 3)
    }
    last = {"10.0.0.4:8200 /status": ControlResponse(200, "", b"{}")}
    assert run("status 10.0.0.2:8200", redirects | last)[0] == 0
    assert run(f"status {CORE}", redirects | last)[0] == 2
    redirect = ControlResponse(307, "http://10.0.0.2:8200/status", b"")
    peer = "10.0.0.2:8200 /status"
    responses = {f"{CORE} /status": redirect, peer: ControlResponse(200, "", b'{"node": "core-b-1"}')}
    assert "core-b-1" in run(f"status {CORE}", responses)[1]
    assert "more than 2 redirects" in run(f"status {CORE}", responses | {peer: redirect})[2]
    page = {f"{CORE} /status": ControlResponse(200, "", b"<html>")}
    assert "is no JSON" in run(f"status {CORE}", page)[2]
    assert run(f"status {CORE}", json_responses("/status", 3))[0] == 2


@test("mutated configurations: the whole configuration can be replaced by a single value")
def _() -> None:
    assert mutated(PUT, [("set", 0, 3)]) == 3
