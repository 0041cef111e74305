"""Saving and comparing runs of the whole system. Starts no processes."""

import tempfile
from pathlib import Path

from attrs import evolve
from ward import test

from ashlift.lab.results import Results
from ashlift.lab.run_comparison import compare_runs
from ashlift.lab.system.request_content import content_of
from ashlift.lab.system.runs import play_simulated
from ashlift.lab.system.saved_runs import RunEvent, rule_verdicts, to_lab_history
from ashlift.simulation.checkers.rules import RULE_TEXTS, check_rules
from ashlift.simulation.scenario import parse_scenarios, read_scenarios
from ashlift.simulation.scenario_player import ScenarioPlayer

DEMO = Path(__file__).parents[2] / "scenarios" / "system-demo.txt"


@test("the demo scenario passes on simulated time and is converted to a lab history")
def _() -> None:
    player = ScenarioPlayer(read_scenarios(DEMO)[0], 1)
    assert player.run() is None
    history = player.world.history
    verdicts = rule_verdicts(check_rules(history, player.world.bounds), player.failed_expectation)
    assert len(verdicts) == len(RULE_TEXTS) + 1
    assert all(verdict.ok for verdict in verdicts)
    lab_history = to_lab_history(history, [RunEvent(10.0, "edge-2", "proxy killed")], 40.0)
    jobs = lab_history.jobs.values()
    assert len(jobs) > 800
    assert sum(bool(job.answers) for job in jobs) > 0.95 * len(jobs)
    texts = {event.text for event in lab_history.process_events}
    assert texts >= {"version 4 taken", "leaves", "proxy killed"}
    spans = {fault.text: (fault.started_ms, fault.ended_ms) for fault in lab_history.faults}
    assert spans["trouble: core-1, core-2, core-3"] == (14000.0, 18000.0)
    assert spans["trouble: edge-2"][0] == 10000.0
    assert content_of(history.requests[0]).target.decode() == history.requests[0].path


@test("runs of several seeds are saved and compared with their spread")
def _() -> None:
    scenario = parse_scenarios("# small\ncore 3\nedge 2\nworkers 2\nuntil 8\n")[0]
    with tempfile.TemporaryDirectory() as directory:
        results = Results(Path(directory) / "runs.sqlite")
        for rate, seeds in ((20.0, (1, 2, 3)), (40.0, (4, 5))):
            plan = evolve(scenario.plan, rate=rate)
            for seed in seeds:
                run = play_simulated(evolve(scenario, plan=plan), seed)
                assert run.save(results, "abc", "now", "sim") == seed
        compared = compare_runs(
            [results.summary(seed) for seed in (1, 2, 3)], [results.summary(4), results.summary(5)]
        )
        single_runs = compare_runs([results.summary(1)], [results.summary(2)])
        results.close()
    jobs = next(line for line in compared if line.startswith("jobs"))
    assert ".." in jobs, jobs
    assert jobs.endswith("apart"), jobs
    assert 1.5 < float(jobs.split()[-2]) < 2.5, jobs
    assert compared[0].split() == ["1-3", "(abc)", "4-5", "(abc)", "B/A"]
    assert compared[-1].split() == ["verdicts", "3", "of", "3", "ok", "2", "of", "2", "ok"]
    assert not any(".." in line or "apart" in line for line in single_runs)
