"""Operator commands by text scenarios of the worst days (orders_*.txt), with every checker."""

from pathlib import Path

from ward import each, test

from ashlift.simulation.scenario import read_scenarios
from ashlift.simulation.scenario_player import ScenarioPlayer
from tests.support.mutants import COMMAND_MUTANTS, mutated

FOLDER = Path(__file__).parent.parent / "scenarios"
SCENARIOS = {
    scenario.title: scenario
    for path in sorted(FOLDER.glob("orders_*.txt"))
    for scenario in read_scenarios(path)
}


@test("orders: {title}")
def _(title: str = each(*SCENARIOS)) -> None:
    found = ScenarioPlayer(SCENARIOS[title]).run()
    assert found is None, str(found)


@test("orders without their guard, {broken}: found")
def _(broken: str = each(*COMMAND_MUTANTS)) -> None:
    with mutated(broken):
        assert ScenarioPlayer(SCENARIOS[COMMAND_MUTANTS[broken].scenario]).run() is not None
