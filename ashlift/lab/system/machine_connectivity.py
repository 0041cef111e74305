"""The links between machines of a run, and which of them are blocked.

Each link passes through a fault-injecting proxy (`TcpFaultProxy`), which buffers the bytes of a blocked
direction. Neither end is notified, as with packet loss.
"""

import math
from collections.abc import Iterable
from typing import Final

from ashlift.lab.link_faults import Direction, FaultSchedule, LinkFault, LinkState, LinkStateKind
from ashlift.lab.system.machine_layout import LabMachine, machine_links
from ashlift.lab.tcp_fault_proxy import TcpFaultProxy

HOLD_STATE: Final = LinkState(LinkStateKind.HOLD)


class MachineConnectivity:
    """Owns the proxies of all links. Each pair of machine names is a direction: (source, target)."""

    def __init__(self) -> None:
        self._blocked: set[tuple[str, str]] = set()
        self._schedule = FaultSchedule([])
        self._links: list[TcpFaultProxy] = []

    def open_links(self, machines: list[LabMachine]) -> None:
        """Start a proxy for each link. Raises OSError if an address cannot be bound."""
        for seed, link in enumerate(machine_links(machines)):
            proxy = TcpFaultProxy(
                link.caller, link.callee, link.target_address, self._schedule, seed, link.listen_address
            )
            self._links.append(proxy)

    def begin(self, started: float) -> None:
        """Set the start of the schedule, a reading of the monotonic clock."""
        for link in self._links:
            link.begin(started)

    def close(self) -> None:
        """Close all links and their connections."""
        for link in self._links:
            link.close()

    def is_connected(self, one: str, other: str) -> bool:
        """Whether neither direction is blocked."""
        return (one, other) not in self._blocked and (other, one) not in self._blocked

    def machines_with_blocked_link(self) -> set[str]:
        """Return the machines that have a link with a blocked direction."""
        return {name for pair in self._blocked for name in pair}

    def block(self, sources: Iterable[str], targets: Iterable[str], both: bool) -> None:
        """Block the links between two groups, from `sources` to `targets` or in both directions."""
        target_names = list(targets)
        for source in sources:
            for target in target_names:
                if source == target:
                    continue
                self._blocked.add((source, target))
                if both:
                    self._blocked.add((target, source))
        self._apply()

    def unblock(self, sources: list[str] | None, targets: list[str] | None) -> set[str]:
        """Unblock the links between two groups, or all links if `sources` is None.

        Returns the names of the machines on those links.
        """
        pairs = {(source, target) for source in sources or () for target in targets or ()}
        unblocked = {
            pair for pair in self._blocked if sources is None or pair in pairs or pair[::-1] in pairs
        }
        self._blocked -= unblocked
        self._apply()
        return {name for pair in unblocked for name in pair}

    def _apply(self) -> None:
        directions = frozenset(Direction(source, target) for source, target in self._blocked)
        # Changed in place, since all links share the schedule.
        self._schedule.faults[:] = [LinkFault(directions, 0.0, math.inf, HOLD_STATE)] if directions else []
