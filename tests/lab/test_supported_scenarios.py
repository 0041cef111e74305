"""Checks for scenarios that cannot be run on processes. Starts no processes."""

from pathlib import Path

from ward import test

from ashlift.lab.system.supported_scenarios import unsupported_parts
from ashlift.simulation.scenario import parse_scenarios, read_scenarios

DEMO = Path(__file__).parents[2] / "scenarios" / "system-demo.txt"


@test("parts of a scenario that cannot be played on processes are named")
def _() -> None:
    assert unsupported_parts(read_scenarios(DEMO)[0]) == []
    lines = ["until 500", "loss 0.1", "at 3 spoil core-1", "at 4 cut edge-1 | workers", "at 5 closing"]
    lines += ["at 6 disk hang core-1", "at 6 reset core-1", "at 6 slow 0.3 core-1", "at 6 torn 0.1"]
    assert len(unsupported_parts(parse_scenarios("\n".join(["# bad", *lines]))[0])) == 9
