"""Generates the scenarios of the soak test from a seed: overlapping faults of all supported kinds. Pure.

They extend the simulator's random faults by overlapping rolling restarts of proxies, by series of signals to
one proxy, by signals to programs that are just starting, by workers that lose answers, and by workers that
leave by DELETE, with a late heartbeat behind it and the registry that took it killed. A worker leaves while a
proxy is cut off and the whole core loses power behind it; a tenant asks for more than its quota while proxies
are cut off; and clients ask for more than the workers can do. Home regions are always set, so that lookups
from a region without ready proxies are exercised.
"""

import random
from collections.abc import Collection, Iterator
from typing import Final

from attrs import evolve

from ashlift.lab.system.supported_scenarios import unsupported_parts
from ashlift.simulation.base_world import RESTART_SECONDS
from ashlift.simulation.plan import Plan
from ashlift.simulation.random_faults import FAULT_FREE_SECONDS, FIRST_EVENT_SECONDS, random_scenario
from ashlift.simulation.scenario import Scenario, ScenarioEvent

MIN_SECONDS: Final = FIRST_EVENT_SECONDS + FAULT_FREE_SECONDS + 4.0
ROLLING_RESTARTS: Final = 2  # overlapping
RELOADS: Final = 3  # SIGHUP to every program
BASE_RATE: Final = 30.0  # requests per second
RATE_PER_PROXY: Final = 0.5
QUOTA_FACTOR: Final = 1.5  # of the usual rate of a tenant
HOMES: Final = (["r1"], ["r1", "r2"])
LOST_ANSWER_PROBABILITIES: Final = (0.2, 0.5)
SERVICES: Final = ("fleet", "desk", "bill")
LEAVING_WORKERS: Final = 3
LEAVE_BEFORE_CALM_SECONDS: Final = (2.5, 7.0)
CALL_TIMEOUT_SECONDS: Final = 1.0  # between a worker's last heartbeat, which is late, and its DELETE
LATE_AFTER_CALM_SECONDS: Final = (4.0, 7.5)  # when late heartbeats arrive: proxies are in contact again
KILL_AFTER_LEAVE_SECONDS: Final = (0.0, 1.2)
SIGNAL_SERIES: Final = 2  # each to one proxy
PROXY_STARTS_WITH_RELOAD: Final = 3
CORE_STARTS_WITH_RELOAD: Final = 1  # of each program
BLACKOUT_AFTER_LEAVE_SECONDS: Final = (0.1, 0.4)
BLACKOUT_SECONDS: Final = 0.4
CUT_BEFORE_LEAVE_SECONDS: Final = 0.1
CUT_PROXY_SHARE: Final = 0.3
HOT_TENANT: Final = "t1"
HOT_FACTOR: Final = 7.5
HOT_SECONDS: Final = 5.0
OVERLOAD_FACTORS: Final = (2, 4)
OVERLOAD_SECONDS: Final = 4.0
START_SECONDS: Final = (0.0, 0.6)  # after its restart, a program may still be starting
DEFAULT_FAULT_SECONDS: Final = 4.0  # assumed for a fault without a duration
FAULT_WORDS: Final = frozenset(
    {"kill", "freeze", "term", "power", "wipe", "cut", "oneway", "sick", "break", "crash"}
)


def soak_scenario(seed: int, proxies: int, seconds: float) -> Scenario:
    """Return the scenario of a seed. Raises ValueError if `seconds` leaves no time for faults."""
    if seconds < MIN_SECONDS:
        raise ValueError(f"{seconds:g} s: the minimum is {MIN_SECONDS:g} s")
    drawn = random_scenario(seed, proxies, seconds)
    rng = random.Random(f"soak {seed}")
    rate = BASE_RATE + RATE_PER_PROXY * proxies
    quota = QUOTA_FACTOR * rate / drawn.plan.tenants
    plan = evolve(drawn.plan, rate=rate, quota=quota, homes=rng.choice(HOMES))
    calm_at = seconds - FAULT_FREE_SECONDS
    added = [
        *_rolling_restarts(rng, plan, calm_at),
        *_core_restarts(rng, plan, calm_at),
        *_reloads(rng, plan, calm_at),
        *_lost_answers(rng, plan, calm_at),
        *_leaving_workers(rng, plan, calm_at),
        *_signal_series(rng, plan, calm_at),
        *_reloads_at_starts(rng, plan, calm_at),
        *_hot_tenant(rng, plan, calm_at),
        *_overload(rng, calm_at),
    ]
    added += _leave_before_blackout(rng, plan, calm_at, {event.words[1] for event in added})
    events = [event for event in drawn.events if _is_supported(plan, event)]
    ordered = sorted([*events, *added], key=lambda event: event.at)
    return Scenario(f"soak {seed}", plan, tuple(ordered))


def max_concurrent_faults(scenario: Scenario) -> int:
    """Return the maximum number of faults of the scenario that are active at the same time."""
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
    """Yield restarts of all proxies in random orders; each series starts while the first is in progress."""
    names = [f"edge-{number + 1}" for number in range(plan.edge)]
    for _ in range(ROLLING_RESTARTS):
        at = FIRST_EVENT_SECONDS + rng.uniform(0.0, 2.0)
        gap = rng.uniform(0.4, 1.4)
        for name in rng.sample(names, len(names)):
            if at < calm_at:
                yield ScenarioEvent(round(at, 2), ("term", "proxy", name))
            at += gap


def _core_restarts(rng: random.Random, plan: Plan, calm_at: float) -> Iterator[ScenarioEvent]:
    """In half of the seeds, yield a termination of a registry or store on each core machine in turn."""
    if rng.random() < 0.5:
        return
    at = FIRST_EVENT_SECONDS + rng.uniform(0.0, 2.0)
    for number in rng.sample(range(1, plan.core + 1), plan.core):
        if at < calm_at:
            kind = rng.choice(("registry", "configstore"))
            yield ScenarioEvent(round(at, 2), ("term", kind, f"core-{number}"))
        at += rng.uniform(1.5, 2.5)


def _reloads(rng: random.Random, plan: Plan, calm_at: float) -> Iterator[ScenarioEvent]:
    """Yield changes of the seed nodes: all settings files are rewritten, and all programs get SIGHUP."""
    core = [f"core-{number + 1}" for number in range(plan.core)]
    for _ in range(RELOADS):
        at = rng.uniform(FIRST_EVENT_SECONDS, calm_at)
        yield ScenarioEvent(round(at, 2), ("seeds", *rng.sample(core, 3)))


def _lost_answers(rng: random.Random, plan: Plan, calm_at: float) -> Iterator[ScenarioEvent]:
    """Yield, for each service, a worker that loses answers or breaks connections until `calm_at`."""
    for service in SERVICES:
        worker = f"{service}-{rng.randint(1, plan.workers)}"
        fault = rng.choice(("sick", "break"))
        probability = rng.choice(LOST_ANSWER_PROBABILITIES)
        at = rng.uniform(FIRST_EVENT_SECONDS, calm_at)
        yield ScenarioEvent(round(at, 2), (fault, worker, f"{probability:g}"))
        yield ScenarioEvent(round(calm_at, 2), (fault, worker, "0"))


def _leaving_workers(rng: random.Random, plan: Plan, calm_at: float) -> Iterator[ScenarioEvent]:
    """Yield workers that leave by DELETE, with the registry that they call killed around it.

    Their late heartbeats arrive when the faults are over and proxies are in contact again, while they still
    serve. A second registry is killed behind the first in half of the cases.
    """
    core = [f"core-{number + 1}" for number in range(plan.core)]
    for service in rng.sample(SERVICES, LEAVING_WORKERS):
        at = max(FIRST_EVENT_SECONDS, calm_at - rng.uniform(*LEAVE_BEFORE_CALM_SECONDS))
        late_seconds = calm_at + rng.uniform(*LATE_AFTER_CALM_SECONDS) - at
        registry, next_registry = rng.sample(core, 2)
        worker = f"{service}-{rng.randint(1, plan.workers)}"
        words = ["leave", worker, "at", registry, "on", f"{FAULT_FREE_SECONDS + calm_at - at:.2f}"]
        yield ScenarioEvent(round(at, 2), (*words, "late", f"{late_seconds:.2f}"))
        killed_at = at + CALL_TIMEOUT_SECONDS + rng.uniform(*KILL_AFTER_LEAVE_SECONDS)
        yield ScenarioEvent(round(min(killed_at, calm_at), 2), ("kill", "registry", registry))
        if rng.random() < 0.5:
            killed_at += rng.uniform(*KILL_AFTER_LEAVE_SECONDS)
            yield ScenarioEvent(round(min(killed_at, calm_at), 2), ("kill", "registry", next_registry))


def _signal_series(rng: random.Random, plan: Plan, calm_at: float) -> Iterator[ScenarioEvent]:
    """Yield signals to one proxy in quick succession: SIGHUP, SIGTERM twice, and in some cases SIGKILL."""
    core = [f"core-{number + 1}" for number in range(plan.core)]
    for _ in range(SIGNAL_SERIES):
        proxy = f"edge-{rng.randint(1, plan.edge)}"
        at = rng.uniform(FIRST_EVENT_SECONDS, calm_at - 4.0)
        reload = ("seeds", *rng.sample(core, 3))
        yield ScenarioEvent(round(at, 2), reload)
        yield ScenarioEvent(round(at + rng.uniform(0.0, 0.3), 2), ("term", "proxy", proxy))
        yield ScenarioEvent(round(at + rng.uniform(0.3, 0.8), 2), reload)
        yield ScenarioEvent(round(at + rng.uniform(0.3, 2.0), 2), ("term", "proxy", proxy))
        if rng.random() < 0.3:
            yield ScenarioEvent(round(at + rng.uniform(1.0, 4.0), 2), ("kill", "proxy", proxy))


def _reloads_at_starts(rng: random.Random, plan: Plan, calm_at: float) -> Iterator[ScenarioEvent]:
    """Yield kills of programs of all kinds, and SIGHUP to every program while they start again."""
    core = [f"core-{number + 1}" for number in range(plan.core)]
    edge = [f"edge-{number + 1}" for number in range(plan.edge)]
    starts = [("proxy", name) for name in rng.sample(edge, min(PROXY_STARTS_WITH_RELOAD, len(edge)))]
    for kind in ("registry", "configstore"):
        starts += [(kind, name) for name in rng.sample(core, CORE_STARTS_WITH_RELOAD)]
    for kind, machine in starts:
        killed_at = rng.uniform(FIRST_EVENT_SECONDS, calm_at - RESTART_SECONDS - START_SECONDS[1])
        reloaded_at = killed_at + RESTART_SECONDS + rng.uniform(*START_SECONDS)
        yield ScenarioEvent(round(killed_at, 2), ("kill", kind, machine))
        yield ScenarioEvent(round(reloaded_at, 2), ("seeds", *rng.sample(core, 3)))


def _leave_before_blackout(
    rng: random.Random, plan: Plan, calm_at: float, used: Collection[str]
) -> Iterator[ScenarioEvent]:
    """Yield a worker that leaves while a proxy is cut off, and a loss of power of the whole core behind it.

    `used`: the machines and workers of other events, to which the worker must not belong.
    """
    core = [f"core-{number + 1}" for number in range(plan.core)]
    workers = [f"{service}-{number + 1}" for service in SERVICES for number in range(plan.workers)]
    worker = rng.choice([name for name in workers if name not in used])
    at = rng.uniform(FIRST_EVENT_SECONDS, calm_at - HOT_SECONDS)
    cut = ("cut", f"edge-{rng.randint(1, plan.edge)}", "|", *core, "for", f"{BLACKOUT_SECONDS:g}")
    yield ScenarioEvent(round(at - CUT_BEFORE_LEAVE_SECONDS, 2), cut)
    on_seconds = f"{rng.uniform(5.0, 8.0):.2f}"
    yield ScenarioEvent(round(at, 2), ("leave", worker, "at", rng.choice(core), "on", on_seconds))
    dark_at = at + rng.uniform(*BLACKOUT_AFTER_LEAVE_SECONDS)
    yield ScenarioEvent(round(dark_at, 2), ("power", *core, "for", f"{BLACKOUT_SECONDS:g}"))


def _hot_tenant(rng: random.Random, plan: Plan, calm_at: float) -> Iterator[ScenarioEvent]:
    """Yield a tenant that asks for more than its quota while some proxies are cut off from the core."""
    core = [f"core-{number + 1}" for number in range(plan.core)]
    edge = [f"edge-{number + 1}" for number in range(plan.edge)]
    cut_off = rng.sample(edge, max(1, round(CUT_PROXY_SHARE * len(edge))))
    at = rng.uniform(FIRST_EVENT_SECONDS, calm_at - HOT_SECONDS)
    yield ScenarioEvent(round(at, 2), ("cut", *cut_off, "|", *core, "for", f"{HOT_SECONDS:g}"))
    hot_at = at + rng.uniform(0.0, 1.0)
    yield ScenarioEvent(round(hot_at, 2), ("hot", HOT_TENANT, f"{HOT_FACTOR:g}"))
    yield ScenarioEvent(round(hot_at + HOT_SECONDS, 2), ("hot", HOT_TENANT, "1"))


def _overload(rng: random.Random, calm_at: float) -> Iterator[ScenarioEvent]:
    """Yield a time in which clients ask for several times their usual."""
    at = rng.uniform(FIRST_EVENT_SECONDS, calm_at - OVERLOAD_SECONDS)
    yield ScenarioEvent(round(at, 2), ("load", f"{rng.choice(OVERLOAD_FACTORS)}"))
    yield ScenarioEvent(round(at + OVERLOAD_SECONDS, 2), ("load", "1"))
