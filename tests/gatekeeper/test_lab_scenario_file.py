"""Parsing of scenario files of the lab, and its errors with position and key."""

import re
from pathlib import Path

import pytest

from ashlift.lab.link_faults import Direction
from ashlift.lab.scenario import ScenarioError
from ashlift.lab.scenario_file import load_scenario

SCENARIOS = Path(__file__).resolve().parents[2] / "scenarios"


def test_the_shipped_scenarios_read_and_a_partition_takes_the_rest_of_the_ends() -> None:
    scenario = load_scenario((SCENARIOS / "partition-five.sexp").read_text())
    split, drop, delay = scenario.faults
    assert Direction("g0", "counter") in split.directions
    assert Direction("n5", "g1") in split.directions
    # Endpoints on the same side.
    assert Direction("g0", "n3") not in split.directions
    assert Direction("g2", "g3") not in split.directions
    assert drop.directions == {Direction("g2", "counter")}
    assert (delay.state.delay_ms, delay.state.jitter_ms) == (20.0, 10.0)
    assert scenario.process_actions() == [(9.0, "pause", 4), (12.0, "kill", 1), (13.0, "restart", 1)]
    assert scenario.rate_at(0.0) == 10.0
    assert scenario.rate_at(16.0) == 24.0
    assert scenario.work_ms == 20.0
    assert load_scenario((SCENARIOS / "demo.sexp").read_text()).nodes == 12


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("(scenario (gatekeepers 2)\n  (speed 3))", "s:2:3: speed: no such key"),
        ("(scenario (gatekeepers 2) (seconds 3x))", "s:1:36: seconds: expected a time"),
        ("(scenario (gatekeepers 2) (faults (cut 1s 2s g0 g7)))", "s:1:49: faults.cut: g7: no such endpoint"),
        (
            "(scenario (gatekeepers 2) (faults (partition 1 2 (g0 n3-n1) rest)))",
            "s:1:54: faults.partition: n3-n1: a range must be ascending",
        ),
        ("(scenario (gatekeepers 2) (faults (kill g0)))", "s:1:35: faults.kill: expected G AT"),
        (
            "(scenario (gatekeepers 2) (faults (restart g2 1s)))",
            "s:1:44: faults.restart: g2: no such endpoint",
        ),
        ("(scenario (seed 1))", "s:1:1: gatekeepers: is missing"),
        ("(scenario (gatekeepers 2)", "s:1:26: unexpected end of file: missing )"),
    ],
)
def test_an_error_in_a_scenario_is_reported_by_line_column_and_key(text: str, message: str) -> None:
    with pytest.raises(ScenarioError, match=f"^{re.escape(message)}"):
        load_scenario(text, "s")
