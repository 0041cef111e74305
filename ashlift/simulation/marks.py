"""What befalls machines, told to the history: troubles, cut links, an unsettled core (RULES.md, In touch)."""

import math
from abc import ABC, abstractmethod

from ashlift.simulation.history import FaultInterval, History


class Marks(ABC):
    """Of a world, simulated or of processes; it says which machines run and which links are open."""

    def __init__(self, core: list[str], edge: list[str]) -> None:
        self.history = History()
        self.core, self.edge = core, edge
        self.standing: set[str] = set()  # machines with a trouble that lasts

    @abstractmethod
    def now(self) -> float: ...

    @abstractmethod
    def runs(self, name: str) -> bool:
        """Whether the machine has power and all its programs run."""

    @abstractmethod
    def open(self, one: str, other: str) -> bool:
        """Whether nothing between these two is cut."""

    def befalls(self, machine: str, planned: bool = False) -> None:
        """Something begins; `planned`: a SIGTERM, which excuses less."""
        self.history.begin_fault(machine, self.now(), planned)
        if machine in self.core:
            self.shaken()

    def passes(self, machine: str) -> None:
        self.history.end_faults(machine, self.now())
        if machine in self.core:
            self.shaken()

    def shaken(self) -> None:
        """The core has changed: unsettled now, and on while no majority of it runs and is connected."""
        now, spans = self.now(), self.history.core_unsettled
        if spans and math.isinf(spans[-1].ended):
            spans[-1].ended = now
        spans.append(FaultInterval(now, now if self.majority() else math.inf))

    def majority(self) -> set[str]:
        """The core machines that run and reach more than half of the core, if there are such."""
        well = [name for name in self.core if self.runs(name)]
        for name in well:
            group = {other for other in well if other == name or self.open(name, other)}
            if 2 * len(group) > len(self.core):
                return group
        return set()

    def links(self, names: set[str], still: set[str]) -> None:
        """Links of these have changed: who is out of touch, by the rule's third condition. `still`: machines
        with a link that is cut."""
        now = self.now()
        if names & {*self.core}:
            self.shaken()
        most = self.majority()
        for name in self.edge:
            away = any(not self.open(name, other) for other in most)
            if away and name not in self.standing:
                self.standing.add(name)
                self.history.begin_fault(name, now)
            elif not away and name in self.standing:
                self.standing.discard(name)
                self.history.end_faults(name, now)
        for name in self.core:
            if name in names and name in still:
                self.history.begin_fault(name, now)
            elif name in names and self.runs(name):
                self.history.end_faults(name, now)
