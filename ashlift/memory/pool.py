"""Shares a limited amount of memory among messages that are received in parts. No I/O.

A message's share grows as its bytes arrive. Deadlock is avoided as in Dijkstra's banker's algorithm: a share
may grow only if afterwards all shares can still reach their maximum size, one after the other. So a message
that must wait for memory always waits for others that can complete.
"""

import itertools
from bisect import bisect_left, insort
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, NamedTuple

MAX_REFUSED_WAKES: Final = 32  # waiting shares that are looked at in vain when memory is released


@dataclass(slots=True, eq=False)
class MemoryShare:
    """The memory of one message. `max_bytes`: as much as it may need. `number`: tells shares apart."""

    number: int
    max_bytes: int
    held_bytes: int = 0

    @property
    def need(self) -> "ShareNeed":
        """What the share may still take."""
        return ShareNeed(self.max_bytes - self.held_bytes, self.held_bytes, self.number)


class ShareNeed(NamedTuple):
    """What a share may still take, and what it holds, in bytes. `number`: tells shares apart."""

    needed_bytes: int
    held_bytes: int
    number: int


class WaitingShare(NamedTuple):
    """A share that waits until it may hold `wanted_bytes`; then `wake` is called."""

    wanted_bytes: int
    wake: Callable[[], object]


class MemoryPool:
    """A number of bytes, and the shares that hold a part of them.

    `waits`: how often a share had to wait. `peak_bytes`: the most that was held at once.
    """

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.held_bytes = 0
        self.peak_bytes = 0
        self.waits = 0
        self._needs: list[ShareNeed] = []  # of the shares that hold something, sorted
        self._share_numbers = itertools.count()
        # In the order in which they began to wait.
        self._waiting: dict[MemoryShare, WaitingShare] = {}

    @property
    def has_waiting(self) -> bool:
        """Whether any share waits for memory."""
        return bool(self._waiting)

    def fitting(self, max_bytes: int) -> int:
        """`max_bytes`, or the capacity if that is less."""
        return min(max_bytes, self.capacity_bytes)

    def open(self, max_bytes: int) -> MemoryShare:
        """A share for a message of at most `max_bytes`; empty until `try_grow`."""
        return MemoryShare(next(self._share_numbers), self.fitting(max_bytes))

    def try_grow(self, share: MemoryShare, held_bytes: int) -> bool:
        """Let a share hold `held_bytes`, unless too little memory is left; returns whether it does.

        A share that holds nothing yet is also refused while others wait, so that those get their turn.
        """
        if held_bytes <= share.held_bytes:
            return True
        if not share.held_bytes and self._is_behind_others(share):
            return False
        if not self._can_grow(share, held_bytes, self.capacity_bytes - self.held_bytes):
            return False
        self._set_held(share, held_bytes)
        return True

    def _can_grow(self, share: MemoryShare, held_bytes: int, free_bytes: int) -> bool:
        """Whether `free_bytes` suffice for a share to hold `held_bytes`, and for all to complete then."""
        free_bytes -= held_bytes - share.held_bytes
        return free_bytes >= 0 and self._all_can_complete(share, held_bytes, free_bytes)

    def take(self, share: MemoryShare, held_bytes: int) -> None:
        """Let a share hold bytes that have already been received, even beyond the capacity."""
        self._set_held(share, held_bytes)

    def complete(self, share: MemoryShare, held_bytes: int) -> None:
        """The message has been received completely, and has `held_bytes`."""
        self._remove_need(share)
        share.max_bytes = held_bytes
        self._set_held(share, held_bytes)

    def release(self, share: MemoryShare) -> None:
        """The message is no longer held."""
        self._waiting.pop(share, None)
        self.complete(share, 0)

    def start_waiting(self, share: MemoryShare, wanted_bytes: int, wake: Callable[[], object]) -> None:
        """Until `stop_waiting`, call `wake` whenever the share may be able to hold `wanted_bytes`."""
        self.waits += 1
        self._waiting[share] = WaitingShare(wanted_bytes, wake)

    def stop_waiting(self, share: MemoryShare) -> None:
        """End the wait, after the share has grown or the message has been given up."""
        if self._waiting.pop(share, None) is not None:
            self._wake_waiting()  # shares that had to queue behind it

    def _is_behind_others(self, share: MemoryShare) -> bool:
        return next(iter(self._waiting), share) is not share

    def _all_can_complete(self, grown: MemoryShare, held_bytes: int, free_bytes: int) -> bool:
        """Whether every share could reach its maximum if `grown` held `held_bytes`, leaving `free_bytes`."""
        if grown.max_bytes - held_bytes <= free_bytes:
            return True  # once it has completed, the others have as much as before
        grown_need = grown.max_bytes - held_bytes
        for need in self._needs:
            if grown_need <= free_bytes:
                return True  # as above
            if need.number == grown.number:
                continue
            if need.needed_bytes > free_bytes:
                return False
            free_bytes += need.held_bytes
        return grown_need <= free_bytes

    def _set_held(self, share: MemoryShare, held_bytes: int) -> None:
        growth = held_bytes - share.held_bytes
        self._remove_need(share)
        share.held_bytes = held_bytes
        if held_bytes:
            insort(self._needs, share.need)
        self.held_bytes += growth
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        if growth < 0:
            self._wake_waiting()

    def _remove_need(self, share: MemoryShare) -> None:
        need = share.need
        index = bisect_left(self._needs, need)
        if index < len(self._needs) and self._needs[index] == need:
            del self._needs[index]

    def _wake_waiting(self) -> None:
        """Wake as many shares as there is memory for, in their order."""
        free_bytes = self.capacity_bytes - self.held_bytes
        refused = 0
        for share, waiting in list(self._waiting.items()):
            if free_bytes <= 0 or refused > MAX_REFUSED_WAKES:
                return
            if not share.held_bytes and refused:
                return  # it queues behind the others
            if self._can_grow(share, waiting.wanted_bytes, free_bytes):
                free_bytes -= waiting.wanted_bytes - share.held_bytes
                waiting.wake()
            else:
                refused += 1
