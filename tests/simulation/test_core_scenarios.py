"""The whole system in text scenarios of the core, of soft state and of departures (`CORE_FILES`)."""

from ward import each, test

from ashlift.simulation.scenario import read_scenarios
from ashlift.simulation.scenario_player import ScenarioPlayer
from tests.simulation.test_system_scenarios import CORE_FILES, FOLDER

SCENARIOS = {scenario.title: scenario for name in CORE_FILES for scenario in read_scenarios(FOLDER / name)}


@test("the whole system: {title}")
def _(title: str = each(*SCENARIOS)) -> None:
    failure = ScenarioPlayer(SCENARIOS[title]).run()
    assert failure is None, str(failure)
