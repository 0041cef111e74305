"""Orders on the worst days by text scenes (scenes/orders_*.txt), on the real cores, with every checker."""

from pathlib import Path

from ward import each, test

from ashlift.simulation.scenario import read_scenarios
from ashlift.simulation.scenario_player import ScenarioPlayer
from tests.support.mutants import COMMAND_MUTANTS, mutated

FOLDER = Path(__file__).parent.parent / "scenarios"
SCENES = {
    scene.title: scene for path in sorted(FOLDER.glob("orders_*.txt")) for scene in read_scenarios(path)
}


@test("orders: {title}")
def _(title: str = each(*SCENES)) -> None:
    found = ScenarioPlayer(SCENES[title]).run()
    assert found is None, str(found)


@test("orders without their guard, {broken}: found")
def _(broken: str = each(*COMMAND_MUTANTS)) -> None:
    with mutated(broken):
        assert ScenarioPlayer(SCENES[COMMAND_MUTANTS[broken].scenario]).run() is not None
