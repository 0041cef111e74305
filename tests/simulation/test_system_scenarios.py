"""The whole system in text scenarios (system_*.txt) and random ones, with all checkers."""

from math import inf
from pathlib import Path

from ward import each, raises, test

from ashlift.simulation import severe_faults
from ashlift.simulation.clients import ClientOperation, RequestPattern
from ashlift.simulation.failover_figures import measure_failover, recovery_seconds_after
from ashlift.simulation.random_faults import random_scenario
from ashlift.simulation.scenario import ScenarioEvent, parse_scenarios, read_scenarios
from ashlift.simulation.scenario_player import ScenarioPlayer
from ashlift.simulation.shrinking import shrink

FOLDER = Path(__file__).parent.parent / "scenarios"
# Run by test_core_scenarios.py, in another process.
CORE_FILES = ("system_core.txt", "system_soft.txt", "system_departures.txt")
FILES = [path for path in sorted(FOLDER.glob("system_*.txt")) if path.name not in CORE_FILES]
SCENARIOS = {scenario.title: scenario for path in FILES for scenario in read_scenarios(path)}
OPEN_SCENARIOS = {
    scenario.title: scenario
    for path in sorted(FOLDER.glob("open_*.txt"))
    for scenario in read_scenarios(path)
}
RANDOM_SEEDS = (1, 2, 3, 5, 8)


@test("the whole system: {title}")
def _(title: str = each(*SCENARIOS)) -> None:
    failure = ScenarioPlayer(SCENARIOS[title]).run()
    assert failure is None, str(failure)


@test("not mended yet, with any of four seeds: {title}")
def _(title: str = each(*OPEN_SCENARIOS)) -> None:
    failures = [
        str(failure)
        for seed in (1, 2, 3, 4)
        if (failure := ScenarioPlayer(OPEN_SCENARIOS[title], seed).run()) is not None
    ]
    assert not failures, "\n".join(failures)  # ward truncates the diff of lists


@test("the whole system with random faults, seed {seed}")
def _(seed: int = each(*RANDOM_SEEDS)) -> None:
    player = ScenarioPlayer(random_scenario(seed), seed)
    failure = player.run()
    assert failure is None, str(failure)
    served = sum(request.status == 200 for request in player.world.history.requests)
    assert served > 300, "too few requests succeeded for the test to be meaningful"


@test("the whole system with every kind of fault, overlapping and repeated, seed {seed}")
def _(seed: int = each(3, 111)) -> None:
    player = ScenarioPlayer(severe_faults.random_scenario(seed), seed)
    failure = player.run()
    assert failure is None, str(failure)
    assert sum(change.acknowledged < inf for change in player.world.history.changes) > 5, (
        "too few changes were acknowledged"
    )


@test("the same scenario and seed give the same history")
def _() -> None:
    histories = []
    for _ in range(2):
        player = ScenarioPlayer(random_scenario(2, until=16.0), 2)
        player.run()
        histories.append(
            [
                (request.sent, request.proxy, request.status, request.ended)
                for request in player.world.history.requests
            ]
        )
    assert histories[0] == histories[1]


@test("a failing scenario shrinks to the events that it needs, and its text parses back")
def _() -> None:
    lines = ["until 8", "at 6 load 0.5", "at 6.1 kill proxy edge-1", "at 6.5 expect acked 9", "at 7 load 1"]
    scenario = parse_scenarios("\n".join(["# fails", *lines]))[0]
    short = shrink(scenario, 1)
    assert short.events == (ScenarioEvent(6.5, ("expect", "acked", "9")),)
    assert parse_scenarios(short.to_text())[0].events == short.events
    with raises(ValueError):
        parse_scenarios("# none\nwhatever 3\n")


@test("failover figures: seconds until a change is acknowledged, and until service recovers")
def _() -> None:
    times = measure_failover(["power leader"], 3)
    assert 0.3 < times.acknowledged < 3.0
    assert times.recovery_seconds < 2.0
    pattern = RequestPattern("/x", True, "k", 1.0)
    operations = [
        ClientOperation(pattern, 10.0 + number / 100 + pattern.timeout, served=not 300 <= number < 400)
        for number in range(-200, 900)
    ]
    assert 3.9 < recovery_seconds_after(operations, 10.0) < 4.0
    assert recovery_seconds_after(operations, 12.0) < 2.0
    lost = [
        ClientOperation(pattern, operation.deadline, served=operation.deadline < 14.0)
        for operation in operations
    ]
    assert recovery_seconds_after(lost, 10.5) == inf
