"""The budget of further tries, per service, at one gatekeeper: its part of the rule BUDGET over all machines.

Over any window, arrivals after the first of each request stay within a ratio of the requests for the service
and a slack. A gatekeeper spends on what came to itself, and its even part of the slack. Times are seconds.
"""

from collections import deque
from typing import Protocol

SAFETY = 0.8  # x what the rule gives: counts of others, and of calls that workers make, are not known here
AT_START = 0.4  # x the slack: the life before may have spent it, and most may have been killed at once
SLOT = 0.25  # s, width of a slot of counts


class RetryBudgetBounds(Protocol):
    """What the settings say of the rule BUDGET: a share, s, tries."""

    @property
    def retry_budget_ratio(self) -> float: ...
    @property
    def retry_window(self) -> float: ...
    @property
    def retry_slack(self) -> float: ...


class _Slots:
    """Counts in slots of time, oldest first, kept for a span (s), and their sum."""

    def __init__(self, span: float) -> None:
        self.span, self.sum = span, 0
        self.slots: deque[list[int]] = deque()

    def add(self, now: float) -> None:
        at = int(now // SLOT)
        if not self.slots or self.slots[-1][0] != at:
            self.slots.append([at, 0])
        self.slots[-1][1] += 1
        self.sum += 1

    def count(self, now: float) -> int:
        while self.slots and (self.slots[0][0] + 1) * SLOT <= now - self.span:
            self.sum -= self.slots.popleft()[1]
        return self.sum


class RetryBudget:
    """What further tries this gatekeeper may make for each service."""

    def __init__(self, bounds: RetryBudgetBounds) -> None:
        self._bounds = bounds
        self._born: float | None = None
        self._requests: dict[str, _Slots] = {}
        self._spent: dict[str, _Slots] = {}

    def record_request(self, now: float, service: str) -> None:
        """Count one request of a client for the service."""
        self._born = now if self._born is None else self._born
        slots = self._requests.get(service)
        if slots is None:
            slots = self._requests[service] = _Slots(self._bounds.retry_window)
        slots.add(now)

    def can_retry(self, now: float, service: str, members: int) -> bool:
        """Whether one more further try stays inside this gatekeeper's part."""
        bounds, requests, spent = self._bounds, self._requests.get(service), self._spent.get(service)
        age = (now - self._born) / bounds.retry_window if self._born is not None else 0.0
        slack = bounds.retry_slack * min(1.0, AT_START + (1 - AT_START) * age)
        earned = bounds.retry_budget_ratio * (requests.count(now) if requests else 0)
        most = SAFETY * (earned + slack / max(1, members))
        return (spent.count(now) if spent else 0) + 1 <= most

    def record_retry(self, now: float, service: str) -> None:
        """Count one further try."""
        slots = self._spent.get(service)
        if slots is None:
            slots = self._spent[service] = _Slots(self._bounds.retry_window)
        slots.add(now)
