"""A hybrid logical clock: stamps near the time of day that never go back, whatever the time of day does."""

from typing import Final, NamedTuple

SLACK_MS: Final = 500  # so far the time of day may lead or lag the steady clock's count within a life
AHEAD_MS: Final = 10_000  # a stamp further ahead of this clock than that does not drag it along


class Stamp(NamedTuple):
    """`ms` of the time of day, a `turn` within it, and the node as the tie-break. Ordered as a tuple."""

    ms: int
    turn: int
    node: str


NEVER: Final = Stamp(0, 0, "")


def above(stamp: Stamp, other: Stamp) -> Stamp:
    """`stamp`, or the least of its node that is above `other`."""
    return stamp if stamp > other else Stamp(other.ms, other.turn + 1, stamp.node)


class Clock:
    """One node's. Times are given: `wall` and `steady` in s.

    Within a life the time of day is followed at most SLACK_MS away from its first reading plus the steady
    time since then: a jump of the time of day moves stamps by no more.
    """

    def __init__(self, node: str, wall: float, steady: float) -> None:
        self.node = node
        self._wall, self._steady = wall, steady
        self._last = NEVER

    def _reading(self, wall: float, steady: float) -> int:
        counted = (self._wall + steady - self._steady) * 1000
        return int(min(counted + SLACK_MS, max(counted - SLACK_MS, wall * 1000)))

    def seen(self, stamp: Stamp, wall: float, steady: float) -> None:
        """A stamp of another node: what is stamped here from now on is above it, unless it is mad."""
        if stamp.ms <= self._reading(wall, steady) + AHEAD_MS:
            self._last = max(self._last, stamp)

    def stamp(self, past: Stamp, wall: float, steady: float) -> Stamp:
        """A new stamp, above all of this clock and above `past` (of the edit that is replaced)."""
        fresh = above(Stamp(self._reading(wall, steady), 0, self.node), self._last)
        self._last = fresh
        return above(fresh, past)
