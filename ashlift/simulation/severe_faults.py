"""Random scenarios by seed with every kind of fault that the simulator has, also overlapping and repeated.

In addition to `random_faults`: partitions longer than every lease, disk faults, power loss of the whole core,
loss of a disk right after an acknowledgement, changes sent to a machine that is just recovering, concurrent
operators, changes of the seed list, and workers that drop idle connections. At most one core machine fails at
a time, and it has `CORE_RETURN_SECONDS` to recover.
"""

import random
from collections.abc import Callable, Iterator
from typing import Final

from ashlift.simulation.plan import Plan
from ashlift.simulation.random_faults import (
    CORE_RETURN_SECONDS,
    EVACUATED_ZONES,
    FAULT_FREE_SECONDS,
    FIRST_EVENT_SECONDS,
    READ_BACK_SECONDS,
    SERVICES,
    ZONES,
)
from ashlift.simulation.scenario import Scenario, ScenarioEvent

OPERATOR_TIMEOUT_SECONDS: Final = 6.0  # from an evacuation to its end, so that they do not race
LONG_PARTITION_SECONDS: Final = 21.0  # longer than every lease
VERSION_PLACEHOLDER: Final = "#"

TimedEvent = tuple[float, list[str]]  # time in seconds, words


def random_scenario(seed: int) -> Scenario:
    """Return the random scenario of a seed."""
    return _SevereFaults(seed).scenario()


class _SevereFaults:
    """Generates one scenario. Reordering random calls changes the scenario of every seed."""

    def __init__(self, seed: int, proxies: int = 7, until: float = 60.0) -> None:
        self._rng = rng = random.Random(f"worst {seed}")
        self._plan = Plan(
            seed=seed,
            edge=proxies,
            until=until,
            rate=rng.choice([30.0, 60.0]),
            quota=rng.choice([10.0, 200.0]),
            loss=rng.choice([0.0, 0.0, 0.01]),
            homes=rng.choice([[], ["r1"]]),
        )
        self._core = [f"core-{number + 1}" for number in range(self._plan.core)]
        self._proxies = [f"edge-{number + 1}" for number in range(proxies)]
        self._next_core_fault_at = 0.0  # earliest time of the next core fault
        self._zones = rng.sample(EVACUATED_ZONES, len(EVACUATED_ZONES))  # each is evacuated at most once
        self._evacuated: list[tuple[float, str]] = []  # time of the evacuation, zone
        self._event_generators: list[tuple[int, Callable[[float], Iterator[TimedEvent]]]] = [
            (3, self._single_change),
            (2, self._racing_changes),
            (1, self._evacuation),
            (5, self._core_fault),
            (1, self._whole_core),
            (2, self._disk_fault),
            (3, self._proxy_fault),
            (2, self._worker_event),
            (1, self._new_seeds),
            (1, self._burst_of_changes),
            (1, self._load_or_clock),
        ]

    def scenario(self) -> Scenario:
        """Generate the events."""
        faults_end_at = self._plan.until - FAULT_FREE_SECONDS
        generated = self._generate_until(faults_end_at)
        events = [
            ScenarioEvent(round(at, 3), tuple(words))
            for at, words in _numbered(generated)
            if at < faults_end_at
        ]
        for words in (("join",), ("start", "*"), ("disk", "well", "*")):
            events.append(ScenarioEvent(faults_end_at, words))
        events.append(ScenarioEvent(self._plan.until - READ_BACK_SECONDS, ("read",)))
        ordered = sorted(events, key=lambda event: event.at)
        return Scenario(f"worst {self._plan.seed}", self._plan, tuple(ordered))

    def _generate_until(self, end: float) -> list[TimedEvent]:
        rng = self._rng
        weights, event_generators = zip(*self._event_generators, strict=True)
        generated: list[TimedEvent] = []
        at = FIRST_EVENT_SECONDS
        while at < end:
            generate = rng.choices(event_generators, weights)[0]
            for _ in range(rng.choice([1, 1, 1, 3])):  # one event, or three of the same kind
                generated += generate(at)
                at += rng.choice([0.05, 0.4, 1.5, 3.0])
            at += rng.expovariate(0.8)
        return generated

    # ---- operators
    def _change(self, at: float, *options: str) -> TimedEvent:
        """A change with a placeholder for its version, which `_numbered` replaces."""
        rng = self._rng
        words = rng.choice(
            [
                ["look=desk"],
                ["look=fleet"],
                ["bill=desk"],
                ["bill=bill"],
                [f"k-t{rng.randint(1, 4)}-a"],
                [f"r+new{VERSION_PLACEHOLDER}=fleet"],
                [f"q:t{rng.randint(1, 4)}=8"],
            ]
        )
        return at, [rng.choice(["put", "patch"]), VERSION_PLACEHOLDER, *options, *words]

    def _single_change(self, at: float) -> Iterator[TimedEvent]:
        options = ["at", self._rng.choice(self._core)] if self._rng.random() < 0.5 else []
        yield self._change(at, *options)

    def _racing_changes(self, at: float, machine: str = "") -> Iterator[TimedEvent]:
        """Two concurrent changes by different operators, both based on the last acknowledged version."""
        for name in ("A", "B"):
            options = []
            if self._rng.random() < 0.7:
                options = ["at", machine or self._rng.choice(self._core)]
            sent = at + self._rng.uniform(0.0, 0.05)
            yield self._change(sent, "on", "acked", "by", name, *options)

    def _burst_of_changes(self, at: float) -> Iterator[TimedEvent]:
        """Changes each based on the previous one, acknowledged or not; some by a second operator."""
        gap = self._rng.choice([0.05, 0.15, 0.3])
        for number in range(self._rng.randint(5, 15)):
            yield self._change(at + number * gap, "by", self._rng.choice(["A", "A", "B"]))

    def _evacuation(self, at: float) -> Iterator[TimedEvent]:
        """An evacuation, or the end of one whose operator no longer retries it."""
        if self._evacuated and at - self._evacuated[0][0] > OPERATOR_TIMEOUT_SECONDS:
            yield at, ["restore", self._evacuated.pop(0)[1]]
        elif self._zones:
            self._evacuated.append((at, self._zones.pop()))
            yield at, ["evacuate", self._evacuated[-1][1]]

    # ---- the core
    def _core_fault(self, at: float) -> Iterator[TimedEvent]:
        """A fault of one core machine, and an event while it recovers."""
        rng = self._rng
        if at < self._next_core_fault_at:
            yield from self._single_change(at)
            return
        machine = rng.choice([*self._core, "leader", "leader"])
        is_cut = rng.random() < 0.5
        seconds = LONG_PARTITION_SECONDS if is_cut and rng.random() < 0.4 else rng.uniform(0.3, 5.0)
        self._next_core_fault_at = at + seconds + CORE_RETURN_SECONDS
        duration = ["for", f"{seconds:.2f}"]
        if is_cut:
            yield at, self._cut_of_core_machine(machine, duration)
        else:
            if rng.random() < 0.4:  # shortly before the fault, near the acknowledgement
                yield self._change(at - rng.uniform(0.005, 0.4))
            yield at, self._loss_of_core_machine(machine, duration)
        yield from self._return_of_core_machine(at, seconds, machine, is_cut)

    def _cut_of_core_machine(self, machine: str, duration: list[str]) -> list[str]:
        return self._rng.choice(
            [
                ["cut", machine, "|", "core", *duration],
                ["oneway", machine, "|", "core", *duration],
                ["oneway", "core", "|", machine, *duration],
            ]
        )

    def _loss_of_core_machine(self, machine: str, duration: list[str]) -> list[str]:
        return self._rng.choice(
            [
                ["kill", "core", machine, *duration],
                ["freeze", "all", machine, *duration],
                ["power", machine, *duration],
                ["wipe", machine, *duration],
                ["wipe", machine, *duration],
            ]
        )

    def _return_of_core_machine(
        self, lost_at: float, seconds: float, machine: str, was_cut: bool
    ) -> Iterator[TimedEvent]:
        """A change, two concurrent ones or a worker's draining while the machine recovers, or nothing."""
        returns_at = lost_at + seconds + self._rng.uniform(0.0, 0.8)
        first_asked = machine if machine != "leader" else self._rng.choice(self._core)
        match self._rng.choice(["alone", "meet", "race", "drain", "cut"]):
            case "meet":
                yield self._change(returns_at, "at", first_asked)
            case "race":
                yield from self._racing_changes(returns_at, first_asked)
            case "drain":
                yield returns_at, ["drain", self._any_worker()]
            case "cut" if was_cut:
                yield self._change(lost_at + 0.5, "at", first_asked)

    def _whole_core(self, at: float) -> Iterator[TimedEvent]:
        duration = ["for", f"{self._rng.uniform(0.4, 1.5):.2f}"]
        if self._rng.random() < 0.6:
            yield self._change(at - self._rng.uniform(0.005, 0.4))
        words = self._rng.choice(
            [
                ["kill", "core", "*"],
                ["kill", "registry", "*"],
                ["kill", "configstore", "*"],
                ["kill", "all", "*"],
                ["power", *self._core, *duration],
                ["power", "*", *duration],
            ]
        )
        yield at, words

    def _disk_fault(self, at: float) -> Iterator[TimedEvent]:
        rng = self._rng
        if at < self._next_core_fault_at:
            yield from self._single_change(at)
            return
        seconds = rng.uniform(0.5, 6.0)
        self._next_core_fault_at = at + seconds + CORE_RETURN_SECONDS
        machine = rng.choice([*self._core, "leader"])
        fault = rng.choice([["hang", machine], ["refuse", machine], ["slow", machine, "0.6"]])
        yield at, ["disk", *fault, "for", f"{seconds:.2f}"]
        yield self._change(at + 0.2)

    # ---- proxies, clients and workers
    def _proxy_fault(self, at: float) -> Iterator[TimedEvent]:
        rng = self._rng
        proxies = rng.sample(self._proxies, rng.choice([1, 1, 2, max(1, len(self._proxies) // 3)]))
        seconds = LONG_PARTITION_SECONDS if rng.random() < 0.25 else rng.uniform(0.3, 7.0)
        duration = ["for", f"{seconds:.2f}"]
        words = rng.choice(
            [
                ["kill", "proxy", *proxies],
                ["kill", "proxy", "*"],
                ["freeze", "proxy", *proxies, *duration],
                ["cut", *proxies, "|", "core", *duration],
                ["oneway", *proxies, "|", "core", *duration],
                ["oneway", "core", "|", *proxies, *duration],
                ["term", "proxy", proxies[0]],
                ["cut", *proxies, "|", "workers", *duration],
                ["cut", *proxies, "|", "clients", *duration],
            ]
        )
        yield at, words

    def _load_or_clock(self, at: float) -> Iterator[TimedEvent]:
        """A high rate of one tenant or twice the load for 5 s, or a skewed wall clock."""
        match self._rng.choice(["hot", "load", "clock"]):
            case "hot":
                yield at, ["hot", "t1", "10"]
                yield at + 5.0, ["hot", "t1", "0.1"]
            case "load":
                yield at, ["load", "2"]
                yield at + 5.0, ["load", "1"]
            case _:
                skew = str(self._rng.choice([-4, 3, 9]))
                yield at, ["clock", self._rng.choice(self._core), skew]

    def _any_worker(self) -> str:
        service = self._rng.choice(SERVICES)
        return f"{service}-{self._rng.randint(1, self._plan.workers)}"

    def _worker_event(self, at: float) -> Iterator[TimedEvent]:
        rng = self._rng
        worker = self._any_worker()
        service = worker.partition("-")[0]
        words = rng.choice(
            [
                ["crash", worker],
                ["drain", worker],
                ["sick", worker, "0.2"],
                ["grey", worker, "0.3"],
                ["forget", worker, "0.3"],
                ["add", service, rng.choice(ZONES), "cold", "3"],
            ]
        )
        yield at, words

    def _new_seeds(self, at: float) -> Iterator[TimedEvent]:
        yield at, ["seeds", *self._rng.sample(self._core, 3)]
        if self._rng.random() < 0.5:
            yield at + 0.1, ["kill", "proxy", *self._rng.sample(self._proxies, 2)]


def _numbered(generated: list[TimedEvent]) -> Iterator[TimedEvent]:
    """Yield the events ordered by time, with increasing versions in place of the placeholders."""
    version = 1
    for at, words in sorted(generated, key=lambda event: event[0]):
        version += words[0] in ("put", "patch")
        yield at, [word.replace(VERSION_PLACEHOLDER, str(version)) for word in words]
