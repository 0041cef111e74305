"""Scenario files are read with place and key; a run from a file splits gatekeepers from nodes, and is kept,
listed, shown, compared and reported."""

import re
import sqlite3
from pathlib import Path

import pytest
from click.testing import CliRunner

from ashlift.gatekeeper.cli import ashlift
from ashlift.lab.link_faults import Direction
from ashlift.lab.scenario import ScenarioError
from ashlift.lab.scenario_file import load_scenario

ROOT = Path(__file__).resolve().parents[2]


def test_the_shipped_scenarios_read_and_a_partition_takes_the_rest_of_the_ends() -> None:
    five = load_scenario((ROOT / "scenarios" / "partition-five.sexp").read_text())
    split, drop, delay = five.faults
    assert Direction("g0", "counter") in split.directions and Direction("n5", "g1") in split.directions
    assert (
        Direction("g0", "n3") not in split.directions and Direction("g2", "g3") not in split.directions
    )  # same side
    assert drop.directions == {Direction("g2", "counter")} and (
        delay.state.delay_ms,
        delay.state.jitter_ms,
    ) == (20.0, 10.0)
    assert five.process_actions() == [(9.0, "pause", 4), (12.0, "kill", 1), (13.0, "restart", 1)]
    assert five.rate_at(0.0) == 10.0 and five.rate_at(16.0) == 24.0 and five.work_ms == 20.0
    assert load_scenario((ROOT / "scenarios" / "demo.sexp").read_text()).nodes == 12


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("(scenario (gatekeepers 2)\n  (speed 3))", "s:2:3: speed: no such key"),
        ("(scenario (gatekeepers 2) (seconds 3x))", "s:1:36: seconds: wants a time"),
        ("(scenario (gatekeepers 2) (faults (cut 1s 2s g0 g7)))", "s:1:49: faults.cut: g7: no such end"),
        (
            "(scenario (gatekeepers 2) (faults (partition 1 2 (g0 n3-n1) rest)))",
            "s:1:54: faults.partition: n3-n1: a range runs upwards",
        ),
        ("(scenario (gatekeepers 2) (faults (kill g0)))", "s:1:35: faults.kill: wants G AT"),
        ("(scenario (gatekeepers 2) (faults (restart g2 1s)))", "s:1:44: faults.restart: g2: no such end"),
        ("(scenario (seed 1))", "s:1:1: gatekeepers: is missing"),
        ("(scenario (gatekeepers 2)", "s:1:26: the file ends within a list"),
    ],
)
def test_a_scenario_that_cannot_be_run_is_told_by_line_column_and_key(text: str, told: str) -> None:
    with pytest.raises(ScenarioError, match=f"^{re.escape(told)}"):
        load_scenario(text, "s")


def test_a_run_from_a_file_splits_a_gatekeeper_from_nodes_and_is_kept_and_reported(tmp_path: Path) -> None:
    """Two real gatekeepers: g0 and n0 are split from the rest for a second; the split is met on the links to
    the nodes; the run is kept with its verdicts, and is listed, shown, compared and reported."""
    plan = tmp_path / "split.sexp"
    plan.write_text(
        "(scenario (name split) (seed 5) (seconds 3) (gatekeepers 2) (nodes 2) (work 5ms)\n"
        "  (firms 2) (rate 10) (quota 10) (faults (partition 1s 2s (g0 n0) rest)))"
    )
    db, page = tmp_path / "r.sqlite", tmp_path / "r.html"
    common = ["--results", str(db), "--history", str(tmp_path / "h.jsonl")]
    ran = CliRunner().invoke(ashlift, ["lab", "run", str(plan), *common, "--report", str(page)])
    assert ran.exit_code == 0, ran.output
    assert re.search(r"PASS crossed: cut \d+ ways: [1-9]\d* met", ran.output)
    with sqlite3.connect(db) as kept:
        ways = [w for (w,) in kept.execute("select ways from faults")]
        assert len(ways) == 1 and '"g0>n1"' in ways[0] and '"g1>n0"' in ways[0] and '"g0>n0"' not in ways[0]
        assert kept.execute("select sum(asked) from seconds").fetchone()[0] > 20
    html = page.read_text()
    assert html.count("data:image/png;base64,") == 3 and "split, seed 5" in html
    with sqlite3.connect(db) as kept:
        assert kept.execute("select ok from runs").fetchall() == [(1,)]
    listed = CliRunner().invoke(ashlift, ["lab", "list", "--results", str(db)])
    assert listed.exit_code == 0 and re.search(r"^\s+1\s+split .* ok$", listed.output, re.M)
    shown = CliRunner().invoke(ashlift, ["lab", "show", "1", "--results", str(db)])
    assert "fault 1-2 s: cut on" in shown.output and "one_answer: ok" in shown.output
    compared = CliRunner().invoke(ashlift, ["lab", "compare", "1", "1", "--results", str(db)])
    assert re.search(r"^jobs\s+\d+\s+\d+\s+1\.000$", compared.output, re.M)
    missing = CliRunner().invoke(ashlift, ["lab", "report", "9", "--results", str(db)])
    assert missing.exit_code == 1 and "run 9: no such run" in missing.output
