"""Discrete-event loop: simulated time, the event heap and the run's random source. Times are in seconds."""

import heapq
import random
from collections.abc import Callable
from typing import Any, Protocol


class EventOwner(Protocol):
    """The process that an event belongs to, as the loop uses it."""

    incarnation: int

    def deliver(self, action: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Run the action now, or later if the process is suspended."""


class EventLoop:
    """Runs events in the order of time, and events of the same time in the order of scheduling."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.event_count = 0
        self._heap: list[tuple[float, int, EventOwner | None, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0

    def call_later(self, delay: float, action: Callable[..., None], *args: Any) -> None:
        """Run the action after the delay."""
        self._sequence += 1
        heapq.heappush(self._heap, (self.now + delay, self._sequence, None, 0, action, args))

    def call_process_later(
        self, process: EventOwner, delay: float, action: Callable[..., None], *args: Any
    ) -> None:
        """Run the action in the process after the delay.

        The action is dropped if this incarnation of the process has ended, and deferred while it is frozen.
        """
        self._sequence += 1
        event = (self.now + delay, self._sequence, process, process.incarnation, action, args)
        heapq.heappush(self._heap, event)

    def run(self, until: float) -> None:
        """Run all events up to that time, and set `now` to it."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, process, incarnation, action, args = heapq.heappop(heap)
            self.event_count += 1
            if process is None:
                action(*args)
            elif process.incarnation == incarnation:
                process.deliver(action, args)
        self.now = until


class Future:
    """A value that will be set later. At most one task waits for it."""

    __slots__ = ("callback", "done", "value")

    def __init__(self) -> None:
        self.done = False
        self.value: Any = None
        self.callback: Callable[[Any], None] | None = None

    def set(self, value: Any) -> None:
        """Set the value; later calls have no effect."""
        if not self.done:
            self.done = True
            self.value = value
            if self.callback is not None:
                self.callback(value)

    def forward_to(self, other: "Future") -> None:
        """Set `other` to the value of this future as soon as it is set."""
        if self.done:
            other.set(self.value)
        else:
            self.callback = other.set
