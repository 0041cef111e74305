"""Which scenarios can be played on processes. Pure."""

from typing import Final

from ashlift.simulation.scenario import Scenario, ScenarioEvent

MAX_SCENARIO_SECONDS: Final = 120.0
MAX_REQUESTS_PER_SECOND: Final = 300.0
UNSUPPORTED_WORDS: Final = {  # first words of events, and `loss` of a plan, with the reason
    "spoil": "disks are the real machine's",
    "disk": "disks are the real machine's",
    "reset": "connections between machines are not reset alone",
    "slow": "the real machine's speed is what it is",
    "torn": "writes are not broken off",
    "loss": "links lose nothing at random",
    "closing": "there is no loss of power to play",
    "clock": "the time of day is the real machine's",
    "edit": "edits of single routes are simulated only",
    "confirm": "edits of single routes are simulated only",
    "reject": "edits of single routes are simulated only",
}
LINK_EVENT_WORDS: Final = ("cut", "oneway")
UNPROXIED_GROUPS: Final = frozenset({"workers", "clients"})


def unsupported_parts(scenario: Scenario) -> list[str]:
    """Return what of a scenario cannot be played on processes, a line each."""
    plan = scenario.plan
    problems = []
    if plan.until > MAX_SCENARIO_SECONDS:
        problems.append(f"until {plan.until:g}: {MAX_SCENARIO_SECONDS:g} s is the most")
    if plan.rate > MAX_REQUESTS_PER_SECOND:
        problems.append(f"rate {plan.rate:g}: {MAX_REQUESTS_PER_SECOND:g} a second is the most")
    if plan.loss:
        problems.append(f"loss: {UNSUPPORTED_WORDS['loss']}")
    for event in scenario.events:
        problem = _problem(event)
        if problem is not None:
            problems.append(f"{event}: {problem}")
    return problems


def _problem(event: ScenarioEvent) -> str | None:
    word = event.words[0]
    if word in UNSUPPORTED_WORDS:
        return UNSUPPORTED_WORDS[word]
    if word in LINK_EVENT_WORDS and UNPROXIED_GROUPS.intersection(event.words):
        return "only links between machines pass through our proxies"
    return None
