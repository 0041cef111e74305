"""Schedules of faults on the links of a lab run. Pure.

A link connects two named endpoints (`g1` and `counter`, `g2` and `n3`, `g1` and `g2`); each of its directions
(`g1>counter`, `counter>g1`) is in one state at a time. Where faults overlap, the last one in the scenario
wins. The proxy of a link looks up `FaultSchedule.state`.

A partition is a set of directions that are cut or dropped. An asymmetric one, in which B receives from A but
not A from B, drops only `B>A`.
"""

import enum
from typing import Final

import attrs


class LinkStateKind(enum.StrEnum):
    """What a direction does. The values are the words of scenario files and histories.

    DUPLICATE and REORDER apply to datagrams only; TCP traffic passes unchanged.
    """

    PASS = "pass"
    DROP = "drop"  # data is discarded; neither end is notified
    DELAY = "delay"
    CUT = "cut"  # new connections are refused, and established ones are reset
    HOLD = "hold"  # data is buffered, and forwarded afterwards if the connection is still open
    DUPLICATE = "duplicate"  # each datagram is sent twice
    REORDER = "reorder"  # each datagram is delayed until after the next one


class LinkFaultError(ValueError):
    """An invalid fault; the text names the key."""


@attrs.frozen
class Direction:
    """One direction of a link: bytes from `source` to `target`."""

    source: str
    target: str

    def __str__(self) -> str:
        return f"{self.source}>{self.target}"


@attrs.frozen
class LinkState:
    """The state of a direction; a delay is `delay_ms` plus up to `jitter_ms`."""

    kind: LinkStateKind = LinkStateKind.PASS
    delay_ms: float = 0.0
    jitter_ms: float = 0.0


PASS: Final = LinkState()


@attrs.frozen
class LinkFault:
    """Puts `directions` in `state` from `started_ms` to `ended_ms` of the run."""

    directions: frozenset[Direction]
    started_ms: float
    ended_ms: float
    state: LinkState

    def __attrs_post_init__(self) -> None:
        if not self.directions:
            raise LinkFaultError("ways: a fault needs at least one direction")
        if not 0 <= self.started_ms < self.ended_ms:
            raise LinkFaultError(f"at: expected 0 <= begin < end, got {self.started_ms} to {self.ended_ms}")
        if self.state.delay_ms < 0 or self.state.jitter_ms < 0:
            raise LinkFaultError("delay: milliseconds must not be negative")


def partition_fault(
    sides: list[set[str]], started_ms: float, ended_ms: float, kind: LinkStateKind = LinkStateKind.CUT
) -> LinkFault:
    """Return a fault of all directions between different sides; within a side traffic passes."""
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
    """Return a fault that drops traffic from `source` to `target`, but not the reverse."""
    directions = frozenset({Direction(source, target)})
    return LinkFault(directions, started_ms, ended_ms, LinkState(LinkStateKind.DROP))


class FaultSchedule:
    """The faults of a run, in the order of the scenario."""

    def __init__(self, faults: list[LinkFault]) -> None:
        self.faults = list(faults)

    def state(self, direction: Direction, now_ms: float) -> LinkState:
        """Return the state of a direction: that of the last fault that covers it, or PASS."""
        for fault in reversed(self.faults):
            if fault.started_ms <= now_ms < fault.ended_ms and direction in fault.directions:
                return fault.state
        return PASS

    def change_times(self) -> list[float]:
        """Return the times (ms) at which a direction may change its state, in order."""
        return sorted({moment for fault in self.faults for moment in (fault.started_ms, fault.ended_ms)})
