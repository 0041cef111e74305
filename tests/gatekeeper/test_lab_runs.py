"""Lab runs with real gatekeeper processes: faults of processes and links, and saved results."""

import io
import re
import sqlite3
from pathlib import Path

from click.testing import CliRunner, Result

from ashlift.gatekeeper.cli import ashlift
from ashlift.lab.checker import check_history
from ashlift.lab.history import read_history
from ashlift.lab.run import Run
from ashlift.lab.scenario import Scenario

SPLIT_SCENARIO = (
    "(scenario (name split) (seed 5) (seconds 3) (gatekeepers 2) (nodes 2) (work 5ms)\n"
    "  (firms 2) (rate 10) (quota 10) (faults (partition 1s 2s (g0 n0) rest)))"
)


def test_three_gatekeeper_processes_killed_restarted_paused_and_cut_keep_one_answer_a_job() -> None:
    """Jobs open at the kill are reported for that gatekeeper; the paused one answers its jobs once resumed;
    the restarted one serves again; the cut from the counter affects traffic."""
    stream = io.StringIO()
    scenario = Scenario(
        3,
        3,
        3.0,
        seed=4,
        work_ms=400.0,
        kills=((1, 1.2),),
        restarts=((1, 1.8),),
        pauses=((0, 0.6, 1.6),),
        counter_cuts=((2, 0.5, 1.5),),
    )
    Run(scenario, stream).play()
    history = read_history(stream.getvalue().splitlines())
    verdicts = {verdict.name: verdict for verdict in check_history(history, allowed=40.0)}
    assert all(verdict.ok for verdict in verdicts.values()), [v.line() for v in verdicts.values()]
    assert re.search(r"open at a kill: g1 [1-9]", verdicts["one_answer"].text)
    # The cut from the counter affected traffic.
    assert "cut counter>g2,g2>counter" in verdicts["crossed"].text
    assert [event.text for event in history.process_events] == ["paused", "resumed", "restarted"]
    restarted_ms = history.process_events[-1].at_ms
    jobs_after = [
        job for job in history.jobs.values() if job.gatekeeper == "g1" and job.sent_at_ms > restarted_ms
    ]
    assert jobs_after
    assert all(job.answers for job in jobs_after)


def run_lab(*arguments: str) -> Result:
    return CliRunner().invoke(ashlift, ["lab", *arguments])


def test_a_run_from_a_file_splits_a_gatekeeper_from_nodes_and_is_saved_and_reported(tmp_path: Path) -> None:
    """g0 and n0 are partitioned from the rest for a second, which affects the links to the nodes; the saved
    run is listed, shown, compared and reported."""
    scenario_file = tmp_path / "split.sexp"
    scenario_file.write_text(SPLIT_SCENARIO)
    database = tmp_path / "r.sqlite"
    results = ("--results", str(database))
    report = tmp_path / "r.html"
    history = str(tmp_path / "h.jsonl")
    run = run_lab("run", str(scenario_file), *results, "--history", history, "--report", str(report))
    assert run.exit_code == 0, run.output
    assert re.search(r"PASS crossed: cut \d+ ways: [1-9]\d* met", run.output)
    with sqlite3.connect(database) as connection:
        rows = connection.execute("select ways from faults").fetchall()
        assert len(rows) == 1
        directions = rows[0][0]
        assert '"g0>n1"' in directions
        assert '"g1>n0"' in directions
        assert '"g0>n0"' not in directions
        assert connection.execute("select sum(asked) from seconds").fetchone()[0] > 20
        assert connection.execute("select ok from runs").fetchall() == [(1,)]
    html = report.read_text()
    assert html.count("data:image/png;base64,") == 3
    assert "split, seed 5" in html
    runs = run_lab("list", *results)
    assert runs.exit_code == 0
    assert re.search(r"^\s+1\s+split .* ok$", runs.output, re.MULTILINE)
    shown = run_lab("show", "1", *results)
    assert "fault 1-2 s: cut on" in shown.output
    assert "one_answer: ok" in shown.output
    compared = run_lab("compare", "1", "1", *results)
    assert re.search(r"^jobs\s+\d+\s+\d+\s+1\.000$", compared.output, re.MULTILINE)
    missing = run_lab("report", "9", *results)
    assert missing.exit_code == 1
    assert "run 9: no such run" in missing.output
