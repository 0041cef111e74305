"""Shrinks a failing scenario by delta debugging: removes events that the failure does not need."""

from typing import Final

from attrs import evolve

from ashlift.simulation.checkers.violation import Violation
from ashlift.simulation.scenario import Scenario
from ashlift.simulation.scenario_player import ScenarioPlayer

MAX_RUNS: Final = 200


def shrink(scenario: Scenario, seed: int, max_runs: int = MAX_RUNS) -> Scenario:
    """Return the scenario without events that are not needed to violate the same rule."""
    scenario = evolve(scenario, plan=evolve(scenario.plan, seed=seed))
    failure = _failure_of(scenario)
    if failure is None:
        return scenario
    chunk_size = max(1, len(scenario.events) // 2)
    runs = 0
    while runs < max_runs:
        index = 0
        shortened = False
        while index < len(scenario.events) and runs < max_runs:
            remaining = scenario.events[:index] + scenario.events[index + chunk_size :]
            candidate = evolve(scenario, events=remaining)
            runs += 1
            if _failure_of(candidate) == failure:
                scenario = candidate
                shortened = True
            else:
                index += chunk_size
        if chunk_size == 1 and not shortened:
            break
        chunk_size = max(1, chunk_size // 2)
    return scenario


def _failure_of(scenario: Scenario) -> str | None:
    """The violated rule, or `expect` for an expectation; None if it passes or cannot be run."""
    try:
        result = ScenarioPlayer(scenario).run()
    except (KeyError, ValueError):  # an event depends on a removed one
        return None
    if result is None:
        return None
    return result.rule if isinstance(result, Violation) else "expect"
