"""Lab scenarios: the processes, the load, and the faults over time. Pure: no clock, no sockets.

`ashlift.lab.scenario_file` reads scenarios from files.
"""

import enum
from dataclasses import dataclass
from typing import Final, NamedTuple

from ashlift.lab.link_faults import Direction, LinkFault, LinkState, LinkStateKind

MAX_JOBS: Final = 20_000
MAX_SECONDS: Final = 120.0
MAX_GATEKEEPERS: Final = 9
MAX_NODES: Final = 60


class ScenarioError(ValueError):
    """An invalid scenario; the text is `[FILE:LINE:COLUMN: ]key: problem`."""


class ProcessActionKind(enum.StrEnum):
    """An action on the process of a gatekeeper; the values are the words of scenario files."""

    KILL = "kill"
    TERMINATE = "term"
    RESTART = "restart"
    PAUSE = "pause"


class ProcessAction(NamedTuple):
    """An action on the process of a gatekeeper; `second`: since the start of the run."""

    second: float
    kind: ProcessActionKind
    gatekeeper: int


# The `repr` of this dataclass is stored with runs started from options: keep the names of its fields.
@dataclass(frozen=True)
class Scenario:
    """A lab scenario. Gatekeepers and nodes are numbered from 0; times are in seconds of the run.

    `rate`: jobs per second of each firm over all gatekeepers, rising linearly to `ramp_to` if set;
    `quota`, `burst`: units per second and units of the plan of each firm; `work_ms`: service time of a node;
    `kills`, `restarts`, `terms`: gatekeeper and second; `pauses`, `counter_cuts`: gatekeeper, start and end;
    `faults`: on links; `allowed`: units beyond the bucket of a firm that the checker permits, twice the burst
    if None.
    """

    gatekeepers: int = 3
    nodes: int = 4
    seconds: float = 5.0
    seed: int = 1
    firms: int = 4
    rate: float = 20.0
    quota: float = 10.0
    burst: float = 20.0
    work_ms: float = 2.0
    kills: tuple[tuple[int, float], ...] = ()
    restarts: tuple[tuple[int, float], ...] = ()
    pauses: tuple[tuple[int, float, float], ...] = ()
    counter_cuts: tuple[tuple[int, float, float], ...] = ()
    terms: tuple[tuple[int, float], ...] = ()
    faults: tuple[LinkFault, ...] = ()
    ramp_to: float | None = None
    allowed: float | None = None
    name: str = "lab"

    def __post_init__(self) -> None:
        if not 1 <= self.gatekeepers <= MAX_GATEKEEPERS or not 1 <= self.nodes <= MAX_NODES:
            raise ScenarioError(f"gatekeepers: 1 to {MAX_GATEKEEPERS}, nodes: 1 to {MAX_NODES}")
        max_jobs = self.max_rate() * self.firms * self.seconds
        if not 0 < self.seconds <= MAX_SECONDS or max_jobs > MAX_JOBS:
            raise ScenarioError(f"seconds: at most {MAX_SECONDS:g} and {MAX_JOBS} jobs in all")
        timed = (*self.kills, *self.restarts, *self.pauses, *self.counter_cuts, *self.terms)
        if any(not 0 <= gatekeeper < self.gatekeepers for gatekeeper, *_ in timed):
            raise ScenarioError("kills, restarts, pauses, counter_cuts, terms: no such gatekeeper")
        endpoints = set(self.link_endpoints())
        for fault in self.faults:
            for direction in fault.directions:
                if direction.source not in endpoints or direction.target not in endpoints:
                    raise ScenarioError(f"faults: {direction}: no such endpoint in this scenario")

    def link_endpoints(self) -> list[str]:
        """Return the names of all link endpoints: gatekeepers, nodes, the counter and the machine list."""
        gatekeepers = [f"g{number}" for number in range(self.gatekeepers)]
        nodes = [f"n{number}" for number in range(self.nodes)]
        return [*gatekeepers, *nodes, "counter", "list"]

    def all_faults(self) -> list[LinkFault]:
        """Return the faults on links, with the counter cuts first."""
        counter_cuts = [
            LinkFault(
                frozenset({Direction(f"g{number}", "counter"), Direction("counter", f"g{number}")}),
                start * 1000,
                end * 1000,
                LinkState(LinkStateKind.CUT),
            )
            for number, start, end in self.counter_cuts
        ]
        return [*counter_cuts, *self.faults]

    def process_actions(self) -> list[ProcessAction]:
        """Return the actions on processes in order of time, without the ends of pauses."""
        actions = [ProcessAction(second, ProcessActionKind.KILL, number) for number, second in self.kills]
        for number, second in self.terms:
            actions.append(ProcessAction(second, ProcessActionKind.TERMINATE, number))
        for number, second in self.restarts:
            actions.append(ProcessAction(second, ProcessActionKind.RESTART, number))
        for number, start, _ in self.pauses:
            actions.append(ProcessAction(start, ProcessActionKind.PAUSE, number))
        return sorted(actions)

    def max_rate(self) -> float:
        """Return the maximum rate during the run, in jobs per second of each firm."""
        return max(self.rate, self.ramp_to or 0.0)

    def rate_at(self, second: float) -> float:
        """Return the rate at a second of the run, in jobs per second of each firm."""
        if self.ramp_to is None:
            return self.rate
        return self.rate + (self.ramp_to - self.rate) * min(1.0, second / self.seconds)
