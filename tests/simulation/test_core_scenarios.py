"""The whole system by text scenes of the core and of soft state (scenes/system_core.txt, system_soft.txt)."""

from ward import each, test

from ashlift.simulation.scenario import read_scenarios
from ashlift.simulation.scenario_player import ScenarioPlayer
from tests.simulation.test_system_scenarios import CORE, FOLDER

SCENES = {scene.title: scene for name in CORE for scene in read_scenarios(FOLDER / name)}


@test("the whole system: {title}")
def _(title: str = each(*SCENES)) -> None:
    found = ScenarioPlayer(SCENES[title]).run()
    assert found is None, str(found)
