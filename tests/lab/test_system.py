"""The lab of the whole system: its pure parts, and how it keeps a run. No process starts."""

import tempfile
from pathlib import Path

from attrs import evolve
from ward import test

from ashlift.lab.compare import lines as compare
from ashlift.lab.results import Results
from ashlift.lab.system.kept import as_lab, lines
from ashlift.lab.system.runs import simulated
from ashlift.lab.system.world import unfit
from ashlift.lab.system.yard import asked
from ashlift.simulation.checkers.rules import RULE_TEXTS, check_rules
from ashlift.simulation.scenario import parse_scenarios, read_scenarios
from ashlift.simulation.scenario_player import ScenarioPlayer

DEMO = Path(__file__).parents[2] / "scenarios" / "system-demo.txt"


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
