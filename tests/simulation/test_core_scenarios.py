"""The whole system by text scenes of the core and of soft state (scenes/system_core.txt, system_soft.txt)."""

from ward import each, test

from ashlift.simulation.scene import Play, read_file
from tests.simulation.test_system_scenarios import CORE, FOLDER

SCENES = {scene.title: scene for name in CORE for scene in read_file(FOLDER / name)}


@test("the whole system: {title}")
def _(title: str = each(*SCENES)) -> None:
    found = Play(SCENES[title]).run()
    assert found is None, str(found)
