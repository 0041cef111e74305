"""Faults by time between the processes of a lab run: which way of which link does what, at a moment.

A link joins two named ends (`g1` and `counter`, `g2` and `n3`, `g1` and `g2`); each way of it (`g1>counter`,
`counter>g1`) is in one state at a time. A scenario's faults are laid over one another in order; the last
that covers a moment wins. Pure: no clock, no socket; the proxy asks `state(way, now_ms)`.

States: `pass`; `drop` (bytes or datagrams are read and thrown away: the far end hears nothing, the near
end is not told); `delay` by `ms` with `jitter` ms more at most (drawn by the proxy's seeded generator);
`cut` (new connections are refused, and what stands is reset); `hold` (a silent cut: bytes wait, nobody is
told, and they go on where their connection still stands once it is over). A partition of any shape is cuts or
drops of ways: "A sees B, B does not see A" is a drop of `B>A` alone. Datagrams alone may also be `duplicate`
(each sent twice) or `reorder` (each held back and sent behind the next); on TCP these pass.
"""

from dataclasses import dataclass
from typing import Literal

Kind = Literal["pass", "drop", "delay", "cut", "hold", "duplicate", "reorder"]


class FaultError(ValueError):
    """A fault that cannot be right; the text names the key."""


@dataclass(frozen=True)
class Way:
    """One direction of a link: bytes from `source` to `target`."""

    source: str
    target: str

    def __str__(self) -> str:
        return f"{self.source}>{self.target}"


@dataclass(frozen=True)
class State:
    kind: Kind = "pass"
    ms: float = 0.0  # delay
    jitter: float = 0.0  # delay, at most this much more


PASS = State()


@dataclass(frozen=True)
class Fault:
    """`state` on each of `ways` from `begin` until `end` (ms of the run)."""

    ways: frozenset[Way]
    begin: float
    end: float
    state: State

    def __post_init__(self) -> None:
        if not self.ways:
            raise FaultError("ways: a fault needs at least one way")
        if not 0 <= self.begin < self.end:
            raise FaultError(f"at: wants 0 <= begin < end, has {self.begin} to {self.end}")
        if self.state.ms < 0 or self.state.jitter < 0:
            raise FaultError("delay: wants milliseconds of 0 or more")


def partition(sides: list[set[str]], begin: float, end: float, kind: Kind = "cut") -> Fault:
    """Every way between different sides, both directions: the ends in one side hear only each other."""
    ways = {Way(a, b) for one in sides for other in sides if one is not other for a in one for b in other}
    return Fault(frozenset(ways), begin, end, State(kind))


def one_way(source: str, target: str, begin: float, end: float) -> Fault:
    """`target` hears nothing of `source`, while `source` still hears `target`."""
    return Fault(frozenset({Way(source, target)}), begin, end, State("drop"))


class Schedule:
    """The faults of a run in the order given."""

    def __init__(self, faults: list[Fault]) -> None:
        self.faults = list(faults)

    def state(self, way: Way, now_ms: float) -> State:
        """What `way` does at `now_ms`: the last fault that covers it then, or `pass`."""
        for fault in reversed(self.faults):
            if fault.begin <= now_ms < fault.end and way in fault.ways:
                return fault.state
        return PASS

    def changes(self) -> list[float]:
        """The moments at which some way may change state, in order: where a proxy looks again."""
        return sorted({t for fault in self.faults for t in (fault.begin, fault.end)})

    def shaded(self) -> list[tuple[float, float, str]]:
        """(begin, end, text) of each fault, for a history and a report."""
        return [
            (fault.begin, fault.end, f"{fault.state.kind} {','.join(sorted(map(str, fault.ways)))}")
            for fault in self.faults
        ]
