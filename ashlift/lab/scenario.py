"""A lab scenario: what runs, what load it gets, and what fails when. Pure: no clock, no socket.

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
    """A scenario that cannot be run; the text is `[FILE:LINE:COLUMN: ]key: problem`."""


class ProcessActionKind(enum.StrEnum):
    """What is done to a gatekeeper's process; the values are the words of scenario files."""

    KILL = "kill"
    TERMINATE = "term"
    RESTART = "restart"
    PAUSE = "pause"


class ProcessAction(NamedTuple):
    """Something that is done to a gatekeeper's process at a second of the run."""

    second: float
    kind: ProcessActionKind
    gatekeeper: int


# A dataclass whose fields stay as they are: its `repr` is saved with runs that the command line describes.
@dataclass(frozen=True)
class Scenario:
    """What is run. Gatekeepers and nodes are numbered from 0; times are seconds of the run.

    `rate`: jobs a second of each firm over all gatekeepers, which rises evenly to `ramp_to` at the end where
    that is given; `quota`, `burst`: units a second and units of each firm's plan; `work_ms`: a node's time
    for a job; `kills`, `restarts`, `terms`: gatekeeper and second; `pauses`, `counter_cuts`: gatekeeper,
    start and end; `faults`: on links; `allowed`: units beyond a firm's bucket that the checker lets pass,
    twice the burst where it is None.
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
        ends = set(self.link_ends())
        for fault in self.faults:
            for direction in fault.directions:
                if direction.source not in ends or direction.target not in ends:
                    raise ScenarioError(f"faults: {direction}: no such end in this scenario")

    def link_ends(self) -> list[str]:
        """Return the names of all ends of links: gatekeepers, nodes, the counter and the machine list."""
        gatekeepers = [f"g{number}" for number in range(self.gatekeepers)]
        nodes = [f"n{number}" for number in range(self.nodes)]
        return [*gatekeepers, *nodes, "counter", "list"]

    def all_faults(self) -> list[LinkFault]:
        """Return the faults on links, the counter cuts of the command line first."""
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
        """Return what is done to processes, in the order of time; pauses end by themselves."""
        actions = [ProcessAction(second, ProcessActionKind.KILL, number) for number, second in self.kills]
        for number, second in self.terms:
            actions.append(ProcessAction(second, ProcessActionKind.TERMINATE, number))
        for number, second in self.restarts:
            actions.append(ProcessAction(second, ProcessActionKind.RESTART, number))
        for number, start, _ in self.pauses:
            actions.append(ProcessAction(start, ProcessActionKind.PAUSE, number))
        return sorted(actions)

    def max_rate(self) -> float:
        """Return the highest rate of the run, in jobs a second of each firm."""
        return max(self.rate, self.ramp_to or 0.0)

    def rate_at(self, second: float) -> float:
        """Return the jobs a second of each firm at a second of the run."""
        if self.ramp_to is None:
            return self.rate
        return self.rate + (self.ramp_to - self.rate) * min(1.0, second / self.seconds)
