"""Records in the history which machines have a fault, and when the core is unsettled.

The users' rules bind a machine that is in touch: without a fault for a while, with links to a core that is
settled. `FaultRecorder` notes both, of a simulated world or of one of processes.
"""

import math
from abc import ABC, abstractmethod

from ashlift.simulation.history import FaultInterval, History


class FaultRecorder(ABC):
    """Owns the history of a world, which says what runs and what is connected."""

    def __init__(self, core: list[str], edge: list[str]) -> None:
        self.history = History()
        self.core = core
        self.edge = edge
        self._cut_off: set[str] = set()  # edge machines that do not reach all of the core's majority

    @abstractmethod
    def now(self) -> float:
        """Return the time in seconds since the start."""

    @abstractmethod
    def is_running(self, machine: str) -> bool:
        """Whether the machine has power and all its programs run."""

    @abstractmethod
    def is_connected(self, one: str, other: str) -> bool:
        """Whether the link between two machines is open in both directions."""

    def begin_fault(self, machine: str, termination: bool = False) -> None:
        """A fault of the machine starts; `termination`: a SIGTERM, which excuses less."""
        self.history.begin_fault(machine, self.now(), termination)
        if machine in self.core:
            self.core_changed()

    def end_faults(self, machine: str) -> None:
        """All faults of the machine are over."""
        self.history.end_faults(machine, self.now())
        if machine in self.core:
            self.core_changed()

    def core_changed(self) -> None:
        """The core is unsettled now, and stays so while it has no connected majority."""
        now = self.now()
        intervals = self.history.core_unstable
        if intervals and math.isinf(intervals[-1].ended):
            intervals[-1].ended = now
        intervals.append(FaultInterval(now, now if self._connected_majority() else math.inf))

    def _connected_majority(self) -> set[str]:
        """The running core machines that reach more than half of the core, if there are such."""
        running = [name for name in self.core if self.is_running(name)]
        for name in running:
            group = {other for other in running if other == name or self.is_connected(name, other)}
            if 2 * len(group) > len(self.core):
                return group
        return set()

    def links_changed(self, machines: set[str], blocked: set[str]) -> None:
        """Links of these machines were blocked or unblocked; `blocked`: all machines with a blocked link."""
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
