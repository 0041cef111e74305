"""The lab of the whole system: its pure parts, and how it keeps a run. No process starts."""

import json
import tempfile
from pathlib import Path

from attrs import evolve
from ward import test

from ashlift.config import settings
from ashlift.config.settings import Bounds
from ashlift.errors import Failure
from ashlift.lab.compare import lines as compare
from ashlift.lab.results import Results
from ashlift.lab.system import places, wire
from ashlift.lab.system.kept import as_lab, lines
from ashlift.lab.system.runs import simulated
from ashlift.lab.system.world import unfit
from ashlift.lab.system.yard import asked
from ashlift.registry.api.heartbeat_body import parse_heartbeat
from ashlift.simulation.checkers.rules import RULE_TEXTS, check_rules
from ashlift.simulation.plan import ZONES, Plan
from ashlift.simulation.scenario import parse_scenarios, read_scenarios
from ashlift.simulation.scenario_player import ScenarioPlayer

DEMO = Path(__file__).parents[2] / "scenarios" / "system-demo.txt"
BOUNDS = Bounds(revocation_strict=True, drain=2.5)


@test("settings of the lab's machines read back as they were meant")
def _() -> None:
    machines = places.places(Plan(core=3, edge=4), 77)
    for place in machines:
        text = places.settings(place, machines, ["core-1", "core-2"], "/disk", BOUNDS, True)
        found = settings.parse_settings(text)
        assert isinstance(found, settings.Settings), found
        assert found.bounds == BOUNDS and found.zones == ZONES and found.ip == place.ip
        assert found.internal_ports[0] == place.low and found.bootstrap
        assert [host for host, _ in found.seeds] == ["127.77.1.1", "127.77.1.2"]
        front = found.bindings.front
        assert (front is None) == (place.kind == "core") and (found.data_directory is None) != (front is None)


@test("every link between machines has an address of its own, told by the caller's ports")
def _() -> None:
    machines = places.places(Plan(core=3, edge=4), 77)
    found = list(places.wires(machines))
    assert len(found) == 3 * 2 * 2 + 4 * 3
    assert len({one.listen for one in found}) == len(found)
    own = {(one.ip, one.low + port) for one in machines for port in (0, 1)}
    assert own.isdisjoint(one.listen for one in found) and own.issuperset(one.target for one in found)
    low = {one.name: one.low for one in machines}
    assert all(one.listen[1] - low[one.near] == one.target[1] - low[one.far] for one in found)


@test("the lab's workers and operator speak as the pages say")
def _() -> None:
    told = {
        "service": "fleet",
        "address": "127.9.9.9:8080",
        "zone": "z1",
        "capacity": 4,
        "state": "ready",
        "seq": 3,
        "warm": 1.25,
        "version": "v1",
    }
    verb, target, body, _ = wire.spoken("beat", ("fleet-1", told))
    beat = parse_heartbeat(json.dumps(body).encode(), 10.0)
    assert (verb, target) == ("PUT", "/instances/fleet-1")
    assert (
        not isinstance(beat, Failure) and beat.warm_at == 11.25 and beat.call_seq == 3 and beat.capacity == 4
    )
    order = {"kind": "put", "if_match": "00000001", "body": {"ConfigVersion": "00000002"}}
    assert wire.spoken("order", order) == ("PUT", "/config", order["body"], {"If_Match": "00000001"})
    zone = {"kind": "restore", "if_match": None, "body": "z1"}
    assert wire.spoken("order", zone)[:3] == ("DELETE", "/evacuation/z1", None)
    head = wire.request_head("PUT", "/config", "h", b"12", If_Match="00000001")
    assert head == b"PUT /config HTTP/1.1\r\nHost: h\r\nIf-Match: 00000001\r\nContent-Length: 2\r\n\r\n"


@test("a scene says what of it cannot be played on processes")
def _() -> None:
    assert unfit(read_scenarios(DEMO)[0]) == []
    lines = ["until 500", "loss 0.1", "at 3 spoil core-1", "at 4 cut edge-1 | workers", "at 5 closing"]
    assert len(unfit(parse_scenarios("\n".join(["# bad", *lines]))[0])) == 5


@test("the demo's scene holds on simulated time, and is kept as the lab keeps runs")
def _() -> None:
    play = ScenarioPlayer(read_scenarios(DEMO)[0], 1)
    assert play.run() is None
    history = play.world.history
    told = lines(check_rules(history, play.world.bounds), play.failed_expectation)
    assert len(told) == len(RULE_TEXTS) + 1 and all(one.ok for one in told)
    lab = as_lab(history, [(10.0, "edge-2", "proxy killed")], 40.0)
    assert len(lab.jobs) > 800 and sum(bool(job.answers) for job in lab.jobs.values()) > 0.95 * len(lab.jobs)
    words = [what for _, _, what in lab.processes]
    assert {"version 4 taken", "leaves", "proxy killed"} <= {*words}
    troubles = {what: (since, until) for since, until, what, _ in lab.faults}
    assert troubles["trouble: core-1, core-2, core-3"] == (14000.0, 18000.0)
    assert troubles["trouble: edge-2"][0] == 10000.0
    assert asked(history.requests[0])[1].decode() == history.requests[0].path


@test("runs of several seeds are kept and compared with their spread")
def _() -> None:
    scene = parse_scenarios("# small\ncore 3\nedge 2\nworkers 2\nuntil 8\n")[0]
    with tempfile.TemporaryDirectory() as folder:
        results = Results(Path(folder) / "runs.sqlite")
        for rate, seeds in ((20.0, (1, 2, 3)), (40.0, (4, 5))):
            for seed in seeds:
                plan = evolve(scene.plan, rate=rate)
                assert simulated(evolve(scene, plan=plan), seed).keep(results, "abc", "now", "sim") == seed
        found = compare([results.summary(one) for one in (1, 2, 3)], [results.summary(4), results.summary(5)])
        alone = compare([results.summary(1)], [results.summary(2)])
        results.close()
    jobs = next(line for line in found if line.startswith("jobs"))
    assert ".." in jobs and jobs.endswith("apart") and 1.5 < float(jobs.split()[-2]) < 2.5, jobs
    assert found[0].split() == ["1-3", "(abc)", "4-5", "(abc)", "B/A"]
    assert found[-1].split() == ["verdicts", "3", "of", "3", "ok", "2", "of", "2", "ok"]
    assert not any(".." in line or "apart" in line for line in alone)
