"""Operator commands during faults, in text scenarios (orders_*.txt) with all checkers."""

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


@test("operator commands: {title}")
def _(title: str = each(*SCENARIOS)) -> None:
    failure = ScenarioPlayer(SCENARIOS[title]).run()
    assert failure is None, str(failure)


@test("operator commands with a safeguard removed, {mutant}: violation found")
def _(mutant: str = each(*COMMAND_MUTANTS)) -> None:
    with mutated(mutant):
        assert ScenarioPlayer(SCENARIOS[COMMAND_MUTANTS[mutant].scenario]).run() is not None
