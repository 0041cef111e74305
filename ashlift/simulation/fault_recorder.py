"""Records in the history which machines have a fault, and when the core machines are unstable.

Most checks apply only to a machine without recent faults that is connected to a stable core. A
`FaultRecorder` records both, for simulated worlds and for worlds of real processes.
"""

import math
from abc import ABC, abstractmethod

from ashlift.simulation.history import FaultInterval, History


class FaultRecorder(ABC):
    """Keeps the history of a world; subclasses report which machines are running and connected."""

    def __init__(self, core: list[str], edge: list[str]) -> None:
        self.history = History()
        self.core = core
        self.edge = edge
        self._cut_off: set[str] = set()  # edge machines not connected to all of the core's majority

    @abstractmethod
    def now(self) -> float:
        """Return the time in seconds since the start."""

    @abstractmethod
    def is_running(self, machine: str) -> bool:
        """Whether the machine has power and all its processes are running."""

    @abstractmethod
    def is_connected(self, one: str, other: str) -> bool:
        """Whether the link between two machines is open in both directions."""

    def begin_fault(self, machine: str, termination: bool = False) -> None:
        """Record the start of a fault; `termination` marks a SIGTERM."""
        self.history.begin_fault(machine, self.now(), termination)
        if machine in self.core:
            self.core_changed()

    def end_faults(self, machine: str) -> None:
        """Record the end of all faults of the machine."""
        self.history.end_faults(machine, self.now())
        if machine in self.core:
            self.core_changed()

    def core_changed(self) -> None:
        """Record that the core is unstable now, and for as long as it has no connected majority."""
        now = self.now()
        intervals = self.history.core_unstable
        if intervals and math.isinf(intervals[-1].ended):
            intervals[-1].ended = now
        intervals.append(FaultInterval(now, now if self._connected_majority() else math.inf))

    def _connected_majority(self) -> set[str]:
        """Return the running core machines connected to one of them, if they are a majority of the core."""
        running = [name for name in self.core if self.is_running(name)]
        for name in running:
            group = {other for other in running if other == name or self.is_connected(name, other)}
            if 2 * len(group) > len(self.core):
                return group
        return set()

    def links_changed(self, machines: set[str], blocked: set[str]) -> None:
        """Record that links of `machines` changed; `blocked` holds all machines with a blocked link."""
        now = self.now()
        if machines & {*self.core}:
            self.core_changed()
        majority = self._connected_majority()
        for name in self.edge:
            is_cut_off = any(not self.is_connected(name, other) for other in majority)
            if is_cut_off and name not in self._cut_off:
                self._cut_off.add(name)
                self.history.begin_fault(name, now)
            elif not is_cut_off and name in self._cut_off:
                self._cut_off.discard(name)
                self.history.end_faults(name, now)
        for name in self.core:
            if name in machines and name in blocked:
                self.history.begin_fault(name, now)
            elif name in machines and self.is_running(name):
                self.history.end_faults(name, now)
