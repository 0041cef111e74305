"""Home regions while proxies come and go: where the directory sends clients (docs/incidents)."""

from pathlib import Path

from ward import each, test

from ashlift.simulation.scenario import read_scenarios
from ashlift.simulation.scenario_player import ScenarioPlayer

SCENARIOS = {
    scenario.title: scenario
    for scenario in read_scenarios(Path(__file__).parent.parent / "scenarios" / "homes_rolling_restarts.txt")
}
SEEDS = (1, 2, 3)


@test("no client is led out of the home regions: {title}")
def _(title: str = each(*SCENARIOS)) -> None:
    for seed in SEEDS:
        found = ScenarioPlayer(SCENARIOS[title], seed).run()
        assert found is None, f"seed {seed}: {found}"
