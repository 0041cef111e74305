"""What one tenant can get beyond its quota: scenarios in which totals are late."""

from pathlib import Path

from ward import each, test

from ashlift.simulation.checkers.violation import Violation
from ashlift.simulation.scenario import Scenario, read_scenarios
from ashlift.simulation.scenario_player import FailedExpectation, ScenarioPlayer

SCENARIOS = {
    scenario.title: scenario
    for scenario in read_scenarios(Path(__file__).parent.parent / "scenarios" / "quota_accounts.txt")
}
(LATE,) = SCENARIOS


def play(scenario: Scenario, seed: int) -> Violation | FailedExpectation | None:
    """Run the scenario; the hot tenant must have used its rate for a second, or the run says little."""
    player = ScenarioPlayer(scenario, seed)
    failure = player.run()
    runs = [
        run.at
        for request in player.world.history.requests
        for run in request.arrivals
        if run.ran and run.tenant == "t1"
    ]
    hot_at = next(event.at for event in scenario.events if event.words[:2] == ("hot", "t1"))
    assert sum(at >= hot_at for at in runs) >= scenario.plan.quota, "the tenant got hardly anything"
    return failure


# Guards against: a tenant gets more than its quota, as totals are later than proxies assume.
@test("quota: {LATE}, seed {seed}")
def _(seed: int = each(3, 4)) -> None:
    assert play(SCENARIOS[LATE], seed) is None
