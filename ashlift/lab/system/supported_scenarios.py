"""Checks which scenarios can be run on processes. Pure."""

from typing import Final

from ashlift.simulation.scenario import Scenario, ScenarioEvent

MAX_SCENARIO_SECONDS: Final = 120.0
MAX_REQUESTS_PER_SECOND: Final = 300.0
UNSUPPORTED_REASONS: Final = {  # by first word of an event, or `loss` of a plan
    "spoil": "faults of disks are only simulated",
    "disk": "faults of disks are only simulated",
    "reset": "resets of single connections are only simulated",
    "slow": "slow machines are only simulated",
    "torn": "torn writes are only simulated",
    "loss": "random packet loss is only simulated",
    "closing": "closing faults are only simulated",
    "clock": "clock changes are only simulated",
    "edit": "edits of single routes are only simulated",
    "confirm": "edits of single routes are only simulated",
    "reject": "edits of single routes are only simulated",
}
LINK_EVENT_WORDS: Final = ("cut", "oneway")
UNPROXIED_GROUPS: Final = frozenset({"workers", "clients"})


def unsupported_parts(scenario: Scenario) -> list[str]:
    """Return a line for each part of a scenario that cannot be run on processes."""
    plan = scenario.plan
    problems = []
    if plan.until > MAX_SCENARIO_SECONDS:
        problems.append(f"until {plan.until:g}: the maximum is {MAX_SCENARIO_SECONDS:g} s")
    if plan.rate > MAX_REQUESTS_PER_SECOND:
        problems.append(f"rate {plan.rate:g}: the maximum is {MAX_REQUESTS_PER_SECOND:g} requests per second")
    if plan.loss:
        problems.append(f"loss: {UNSUPPORTED_REASONS['loss']}")
    for event in scenario.events:
        problem = _problem(event)
        if problem is not None:
            problems.append(f"{event}: {problem}")
    return problems


def _problem(event: ScenarioEvent) -> str | None:
    word = event.words[0]
    if word in UNSUPPORTED_REASONS:
        return UNSUPPORTED_REASONS[word]
    if word in LINK_EVENT_WORDS and UNPROXIED_GROUPS.intersection(event.words):
        return "only links between machines have a fault-injecting proxy"
    return None
