"""The common part of the fault-injecting proxies for TCP and UDP.

A proxy serves one link between two processes of a run: the caller, which sends first, is configured with the
proxy's address in place of the callee's. Loopback addresses only. `counts` holds the number of actions of the
proxy by direction and action (`g1>counter refused`); they are recorded in the history of the run.
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
    """Return the address. Raises ValueError if it is not on loopback."""
    if not address[0].startswith("127."):
        raise ValueError(f"address: {address[0]} is not a loopback address")
    return address


class FaultProxy:
    """The two directions of a link, the address of the callee, and the schedule with its clock."""

    def __init__(
        self,
        caller: str,
        callee: str,
        target: Address,
        schedule: FaultSchedule,
        seed: int,
        clock: Callable[[], float],
    ) -> None:
        """`target`: address of the callee; `seed`: for random delays; `clock`: returns seconds."""
        self.to_callee = Direction(caller, callee)
        self.to_caller = Direction(callee, caller)
        self.counts: Counter[str] = Counter()
        self._target = require_loopback(target)
        self._schedule = schedule
        self._rng = random.Random(seed)
        self._clock = clock
        self._began = clock()

    def begin(self, at: float) -> None:
        """Set the start of the schedule, a reading of the clock."""
        self._began = at

    def now_ms(self) -> float:
        """Return the milliseconds since the start of the schedule."""
        return (self._clock() - self._began) * 1000

    def _state(self, direction: Direction) -> LinkState:
        return self._schedule.state(direction, self.now_ms())

    def _delay_seconds(self, state: LinkState) -> float:
        return (state.delay_ms + state.jitter_ms * self._rng.random()) / 1000

    def _count(self, direction: Direction, action: str, amount: int = 1) -> None:
        self.counts[f"{direction} {action}"] += amount
