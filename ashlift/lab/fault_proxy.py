"""What the lab's fault-injecting proxies for TCP and UDP share.

A proxy is on one link between two processes of a run: the near end, which sends first, is given the proxy's
address in place of the far end's. Loopback addresses only. `counts` say, by direction and action (`g1>counter
refused`), what the proxy did; they go into the run's history as faults seen, not as verdicts.
"""

import random
from collections import Counter
from collections.abc import Callable
from typing import Final

from ashlift.lab.link_faults import Direction, FaultSchedule, LinkState

Address = tuple[str, int]
RECEIVE_BYTES: Final = 65536
ANY_LOOPBACK_PORT: Final[Address] = ("127.0.0.1", 0)


def require_loopback(address: Address) -> Address:
    """Return the address. Raises ValueError where it is not on loopback."""
    if not address[0].startswith("127."):
        raise ValueError(f"address: {address[0]} is not a loopback address")
    return address


class FaultProxy:
    """The two directions of a link, the far end's address, and the schedule with its clock."""

    def __init__(
        self,
        near: str,
        far: str,
        target: Address,
        schedule: FaultSchedule,
        seed: int,
        clock: Callable[[], float],
    ) -> None:
        """`target`: where the far end listens; `seed`: of delays; `clock`: seconds."""
        self.outward = Direction(near, far)
        self.backward = Direction(far, near)
        self.counts: Counter[str] = Counter()
        self._target = require_loopback(target)
        self._schedule = schedule
        self._rng = random.Random(seed)
        self._clock = clock
        self._began = clock()

    def begin(self, at: float) -> None:
        """Count the schedule's time from a reading of the clock: the start of the run."""
        self._began = at

    def now_ms(self) -> float:
        """Return the schedule's time: milliseconds since the run began."""
        return (self._clock() - self._began) * 1000

    def _state(self, direction: Direction) -> LinkState:
        return self._schedule.state(direction, self.now_ms())

    def _delay_seconds(self, state: LinkState) -> float:
        return (state.delay_ms + state.jitter_ms * self._rng.random()) / 1000

    def _count(self, direction: Direction, action: str, amount: int = 1) -> None:
        self.counts[f"{direction} {action}"] += amount
