"""Random scenarios by seed: faults, configuration changes, evacuations and worker events."""

import random
from collections.abc import Callable
from typing import Final

from ashlift.simulation.plan import Plan
from ashlift.simulation.scenario import Scenario, ScenarioEvent

FAULT_FREE_SECONDS: Final = 9.0  # at the end, to recover and read back acknowledged changes
FIRST_EVENT_SECONDS: Final = 6.0
CORE_RETURN_SECONDS: Final = 4.0  # after the end of a fault, until a core machine counts as available
READ_BACK_SECONDS: Final = 1.5  # before the end of the scenario
ZONES: Final = ["z1", "z2", "z3", "z4", "z5", "z6"]
EVACUATED_ZONES: Final = ZONES[:5]
SERVICES: Final = ["fleet", "desk", "bill"]


def random_scenario(seed: int, proxies: int = 11, until: float = 30.0) -> Scenario:
    """Return the random scenario of a seed.

    At most a minority of the core is unavailable at a time, except when all of it is killed.
    """
    return _RandomFaults(seed, proxies, until).scenario()


class _RandomFaults:
    """Generates one scenario. Reordering random calls changes the scenario of every seed."""

    def __init__(self, seed: int, proxies: int, until: float) -> None:
        self._rng = rng = random.Random(seed)
        self._plan = Plan(
            seed=seed,
            edge=proxies,
            until=until,
            rate=rng.choice([40.0, 80.0]),
            quota=rng.choice([10.0, 200.0]),
            homes=rng.choice([[], ["r1"]]),
        )
        self._core = [f"core-{number + 1}" for number in range(self._plan.core)]
        self._proxies = [f"edge-{number + 1}" for number in range(proxies)]
        self._version = 1
        self._next_core_fault_at = 0.0  # earliest time of the next core fault
        self._evacuated: list[str] = []

    def scenario(self) -> Scenario:
        """Generate the events."""
        event_generators: list[Callable[[float], list[str]]] = [
            self._change,
            self._evacuation,
            self._core_fault,
            self._proxy_fault,
            self._worker_event,
        ]
        weights = [3, 1, 3, 4, 3]
        faults_end_at = self._plan.until - FAULT_FREE_SECONDS
        events: list[ScenarioEvent] = []
        at = FIRST_EVENT_SECONDS
        while at < faults_end_at:
            generate = self._rng.choices(event_generators, weights)[0]
            events.append(ScenarioEvent(round(at, 2), tuple(generate(at))))
            at += self._rng.expovariate(1.0)
        if self._rng.random() < 0.3:
            events.append(ScenarioEvent(round(at, 2), ("hot", "t1", "10")))
        events.append(ScenarioEvent(faults_end_at, ("join",)))
        events.append(ScenarioEvent(faults_end_at, ("start", "*")))
        events.append(ScenarioEvent(self._plan.until - READ_BACK_SECONDS, ("read",)))
        ordered = sorted(events, key=lambda event: event.at)
        return Scenario(f"by chance {self._plan.seed}", self._plan, tuple(ordered))

    def _change(self, _at: float) -> list[str]:
        base = self._version
        self._version = version = base + 1
        words = self._rng.choice(
            [
                ["look=desk"],
                ["look=fleet"],
                ["bill=desk"],
                ["bill=bill"],
                [f"k-t{version % 4 + 1}-a"],
                [f"r+new{version}=fleet"],
                [f"q:t{version % 4 + 1}=8"],
            ]
        )
        machine = ["at", self._rng.choice(self._core)] if self._rng.random() < 0.5 else []
        kind = "patch" if version % 2 else "put"
        return [kind, str(version), "on", str(base), *machine, *words]

    def _evacuation(self, _at: float) -> list[str]:
        if self._evacuated and self._rng.random() < 0.6:
            return ["restore", self._evacuated.pop()]
        self._evacuated.append(self._rng.choice(EVACUATED_ZONES))
        return ["evacuate", self._evacuated[-1]]

    def _core_fault(self, at: float) -> list[str]:
        """A fault of one core machine, or a change while another core machine recovers."""
        if at < self._next_core_fault_at:
            return self._change(at)
        seconds = self._rng.uniform(0.3, 3.0)
        self._next_core_fault_at = at + seconds + CORE_RETURN_SECONDS
        machine = self._rng.choice([*self._core, "leader"])
        others = [name for name in self._core if name != machine]
        duration = ["for", f"{seconds:.2f}"]
        return self._rng.choice(
            [
                ["kill", "core", machine, *duration],
                ["freeze", "all", machine, *duration],
                ["power", machine, *duration],
                ["wipe", machine, *duration],
                ["cut", machine, "|", "core", *duration],
                ["oneway", machine, "|", "core", *duration],
                ["oneway", "core", "|", machine, *duration],
                ["cut", *self._core[:2], "|", *self._core[2:], *duration],
                ["kill", "core", "*"],
                ["kill", "registry", "*"],
                ["cut", machine, "|", *others, "edge", *duration],
            ]
        )

    def _proxy_fault(self, _at: float) -> list[str]:
        rng = self._rng
        proxies = rng.sample(self._proxies, rng.choice([1, 1, 2, max(1, len(self._proxies) // 3)]))
        duration = ["for", f"{rng.uniform(0.3, 7.0):.2f}"]
        return rng.choice(
            [
                ["kill", "proxy", *proxies],
                ["freeze", "proxy", *proxies, *duration],
                ["cut", *proxies, "|", "core", *duration],
                ["oneway", *proxies, "|", "core", *duration],
                ["oneway", "core", "|", *proxies, *duration],
                ["term", "proxy", proxies[0]],
                ["cut", *proxies, "|", "workers", *duration],
                ["cut", *proxies, "|", "clients", *duration],
            ]
        )

    def _worker_event(self, _at: float) -> list[str]:
        service = self._rng.choice(SERVICES)
        worker = f"{service}-{self._rng.randint(1, self._plan.workers)}"
        return self._rng.choice(
            [
                ["crash", worker],
                ["drain", worker],
                ["chill", worker, "3"],
                ["sick", worker, "0.2"],
                ["add", service, self._rng.choice(ZONES), "cold", "3"],
            ]
        )
