"""Lookups during rolling restarts of proxies send clients only to proxies in the home regions."""

from pathlib import Path

from ward import each, test

from ashlift.simulation.scenario import read_scenarios
from ashlift.simulation.scenario_player import ScenarioPlayer

SCENARIOS = {
    scenario.title: scenario
    for scenario in read_scenarios(Path(__file__).parent.parent / "scenarios" / "homes_rolling_restarts.txt")
}
SEEDS = (1, 2, 3)


@test("no lookup sends a client outside the home regions: {title}")
def _(title: str = each(*SCENARIOS)) -> None:
    for seed in SEEDS:
        failure = ScenarioPlayer(SCENARIOS[title], seed).run()
        assert failure is None, f"seed {seed}: {failure}"
