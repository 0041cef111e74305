"""Faults by time on the links of a lab run: which direction of which link does what, at a moment. Pure.

A link joins two named ends (`g1` and `counter`, `g2` and `n3`, `g1` and `g2`); each direction of it
(`g1>counter`, `counter>g1`) is in one state at a time. A scenario's faults are laid over one another in
order; the last that covers a moment wins. The proxy of a link asks `FaultSchedule.state`.

A partition of any shape is cuts or drops of directions: "A sees B, B does not see A" is a drop of `B>A`
alone.
"""

import enum
from typing import Final

import attrs


class LinkStateKind(enum.StrEnum):
    """What a direction does. The values are the words of scenario files and histories.

    Datagrams alone may be duplicated or reordered; on TCP these two pass.
    """

    PASS = "pass"
    DROP = "drop"  # what is read is thrown away: the target gets nothing, and the source is not told
    DELAY = "delay"
    CUT = "cut"  # new connections are refused, and established ones are reset
    HOLD = "hold"  # bytes wait, neither end is told, and they go on where their connection still stands
    DUPLICATE = "duplicate"  # each datagram is sent twice
    REORDER = "reorder"  # each datagram is held back and sent after the next


class LinkFaultError(ValueError):
    """A fault that cannot be right; the text names the key."""


@attrs.frozen
class Direction:
    """One direction of a link: bytes from `source` to `target`."""

    source: str
    target: str

    def __str__(self) -> str:
        return f"{self.source}>{self.target}"


@attrs.frozen
class LinkState:
    """What a direction does; a delay lasts `delay_ms` and up to `jitter_ms` more."""

    kind: LinkStateKind = LinkStateKind.PASS
    delay_ms: float = 0.0
    jitter_ms: float = 0.0


PASS: Final = LinkState()


@attrs.frozen
class LinkFault:
    """`state` in each of `directions` from `started_ms` until `ended_ms` of the run."""

    directions: frozenset[Direction]
    started_ms: float
    ended_ms: float
    state: LinkState

    def __attrs_post_init__(self) -> None:
        if not self.directions:
            raise LinkFaultError("ways: a fault needs at least one way")
        if not 0 <= self.started_ms < self.ended_ms:
            raise LinkFaultError(f"at: wants 0 <= begin < end, has {self.started_ms} to {self.ended_ms}")
        if self.state.delay_ms < 0 or self.state.jitter_ms < 0:
            raise LinkFaultError("delay: wants milliseconds of 0 or more")


def partition_fault(
    sides: list[set[str]], started_ms: float, ended_ms: float, kind: LinkStateKind = LinkStateKind.CUT
) -> LinkFault:
    """Return a fault in every direction between different sides: the ends of a side reach only each other."""
    directions = {
        Direction(source, target)
        for source_side in sides
        for target_side in sides
        if source_side is not target_side
        for source in source_side
        for target in target_side
    }
    return LinkFault(frozenset(directions), started_ms, ended_ms, LinkState(kind))


def one_way_fault(source: str, target: str, started_ms: float, ended_ms: float) -> LinkFault:
    """Return a fault by which `target` gets nothing from `source`, while `source` still hears `target`."""
    directions = frozenset({Direction(source, target)})
    return LinkFault(directions, started_ms, ended_ms, LinkState(LinkStateKind.DROP))


class FaultSchedule:
    """The faults of a run in the order given."""

    def __init__(self, faults: list[LinkFault]) -> None:
        self.faults = list(faults)

    def state(self, direction: Direction, now_ms: float) -> LinkState:
        """Return what a direction does now: the last fault that covers it, or PASS."""
        for fault in reversed(self.faults):
            if fault.started_ms <= now_ms < fault.ended_ms and direction in fault.directions:
                return fault.state
        return PASS

    def change_times(self) -> list[float]:
        """Return the moments (ms) at which some direction may change its state, in order."""
        return sorted({moment for fault in self.faults for moment in (fault.started_ms, fault.ended_ms)})
