"""Scenarios of the soak, drawn from a seed: overlapping faults of all kinds that processes can have. Pure.

To the random faults of the simulator come rolling restarts of proxies that overlap, and workers whose answers
are lost. Home regions are always set, so that a region without ready proxies shows where clients are led.
"""

import random
from collections.abc import Iterator
from typing import Final

from attrs import evolve

from ashlift.lab.system.supported_scenarios import unsupported_parts
from ashlift.simulation.plan import Plan
from ashlift.simulation.random_faults import FAULT_FREE_SECONDS, FIRST_EVENT_SECONDS, random_scenario
from ashlift.simulation.scenario import Scenario, ScenarioEvent

MIN_SECONDS: Final = FIRST_EVENT_SECONDS + FAULT_FREE_SECONDS + 4.0
ROLLING_RESTARTS: Final = 2  # that overlap
RELOADS: Final = 3  # SIGHUP to every program
BASE_RATE: Final = 30.0  # requests a second
RATE_PER_PROXY: Final = 0.5
QUOTA: Final = 200.0
HOMES: Final = (["r1"], ["r1", "r2"])
LOST_ANSWER_SHARES: Final = (0.2, 0.5)
SERVICES: Final = ("fleet", "desk", "bill")
DEFAULT_FAULT_SECONDS: Final = 4.0  # that a fault without a duration of its own counts
FAULT_WORDS: Final = frozenset(
    {"kill", "freeze", "term", "power", "wipe", "cut", "oneway", "sick", "break", "crash"}
)


def soak_scenario(seed: int, proxies: int, seconds: float) -> Scenario:
    """Return the scenario of a seed. Raises ValueError where `seconds` leave no time for faults."""
    if seconds < MIN_SECONDS:
        raise ValueError(f"{seconds:g} s: {MIN_SECONDS:g} s is the least")
    drawn = random_scenario(seed, proxies, seconds)
    rng = random.Random(f"soak {seed}")
    plan = evolve(drawn.plan, rate=BASE_RATE + RATE_PER_PROXY * proxies, quota=QUOTA, homes=rng.choice(HOMES))
    calm_at = seconds - FAULT_FREE_SECONDS
    added = [
        *_rolling_restarts(rng, plan, calm_at),
        *_core_restarts(rng, plan, calm_at),
        *_reloads(rng, plan, calm_at),
        *_lost_answers(rng, plan, calm_at),
    ]
    events = [event for event in drawn.events if _is_supported(plan, event)]
    ordered = sorted([*events, *added], key=lambda event: event.at)
    return Scenario(f"soak {seed}", plan, tuple(ordered))


def max_concurrent_faults(scenario: Scenario) -> int:
    """How many faults of the scenario are under way at the same moment."""
    spans = [
        (event.at, event.at + _duration(event)) for event in scenario.events if event.words[0] in FAULT_WORDS
    ]
    return max((sum(start <= at < end for start, end in spans) for at, _ in spans), default=0)


def _is_supported(plan: Plan, event: ScenarioEvent) -> bool:
    return not unsupported_parts(Scenario("", plan, (event,)))


def _duration(event: ScenarioEvent) -> float:
    words = event.words
    return float(words[words.index("for") + 1]) if "for" in words else DEFAULT_FAULT_SECONDS


def _rolling_restarts(rng: random.Random, plan: Plan, calm_at: float) -> Iterator[ScenarioEvent]:
    """Each restarts proxies in an order of its own; all begin while the first is under way."""
    names = [f"edge-{number + 1}" for number in range(plan.edge)]
    for _ in range(ROLLING_RESTARTS):
        at = FIRST_EVENT_SECONDS + rng.uniform(0.0, 2.0)
        gap = rng.uniform(0.4, 1.4)
        for name in rng.sample(names, len(names)):
            if at < calm_at:
                yield ScenarioEvent(round(at, 2), ("term", "proxy", name))
            at += gap


def _core_restarts(rng: random.Random, plan: Plan, calm_at: float) -> Iterator[ScenarioEvent]:
    """A registry or a store at a time is told to end, each machine once, in half of the seeds."""
    if rng.random() < 0.5:
        return
    at = FIRST_EVENT_SECONDS + rng.uniform(0.0, 2.0)
    for number in rng.sample(range(1, plan.core + 1), plan.core):
        if at < calm_at:
            kind = rng.choice(("registry", "configstore"))
            yield ScenarioEvent(round(at, 2), ("term", kind, f"core-{number}"))
        at += rng.uniform(1.5, 2.5)


def _reloads(rng: random.Random, plan: Plan, calm_at: float) -> Iterator[ScenarioEvent]:
    """The seeds change: all settings files are written anew, and all programs get SIGHUP."""
    core = [f"core-{number + 1}" for number in range(plan.core)]
    for _ in range(RELOADS):
        at = rng.uniform(FIRST_EVENT_SECONDS, calm_at)
        yield ScenarioEvent(round(at, 2), ("seeds", *rng.sample(core, 3)))


def _lost_answers(rng: random.Random, plan: Plan, calm_at: float) -> Iterator[ScenarioEvent]:
    """A worker of each service loses answers that it has worked for, or breaks connections; then no more."""
    for service in SERVICES:
        worker = f"{service}-{rng.randint(1, plan.workers)}"
        fault = rng.choice(("sick", "break"))
        share = rng.choice(LOST_ANSWER_SHARES)
        at = rng.uniform(FIRST_EVENT_SECONDS, calm_at)
        yield ScenarioEvent(round(at, 2), (fault, worker, f"{share:g}"))
        yield ScenarioEvent(round(calm_at, 2), (fault, worker, "0"))
