"""Retry budget of one proxy for each service: its part of the rule BUDGET, which covers all proxies.

In any window, retries may be at most a ratio of the service's requests, plus a slack. Each proxy uses the
ratio of its own requests and an even part of the slack, so that no coordination is needed. Times are seconds
of the monotonic clock.
"""

from collections import deque
from typing import Final, Protocol

# Part of the budget that is used, as retries by workers and requests at other proxies are unknown.
SAFETY_FACTOR: Final = 0.8
# Part of the slack that is available at the start: the rest may have been used before a restart.
INITIAL_SLACK_RATIO: Final = 0.4
SLOT_SECONDS: Final = 0.25  # width of a slot of the sliding count


class RetryBudgetBounds(Protocol):
    """The settings of the rule BUDGET."""

    @property
    def retry_budget_ratio(self) -> float:
        """Retries for each request."""

    @property
    def retry_window(self) -> float:
        """Length of the sliding window, seconds."""

    @property
    def retry_slack(self) -> float:
        """Retries in a window that all proxies may make beyond the ratio."""


class _SlidingCount:
    """Number of events in a sliding window, counted in time slots."""

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._total = 0
        self._slots: deque[list[int]] = deque()  # [slot number, events], oldest first

    def add(self, now: float) -> None:
        slot = int(now // SLOT_SECONDS)
        if not self._slots or self._slots[-1][0] != slot:
            self._slots.append([slot, 0])
        self._slots[-1][1] += 1
        self._total += 1

    def total(self, now: float) -> int:
        while self._slots and (self._slots[0][0] + 1) * SLOT_SECONDS <= now - self._window_seconds:
            self._total -= self._slots.popleft()[1]
        return self._total


class RetryBudget:
    """The retries that this proxy may make for each service."""

    def __init__(self, bounds: RetryBudgetBounds) -> None:
        self._bounds = bounds
        self._first_request_at: float | None = None
        self._requests: dict[str, _SlidingCount] = {}  # by service
        self._retries: dict[str, _SlidingCount] = {}  # by service

    def record_request(self, now: float, service: str) -> None:
        """Count one client request for the service."""
        if self._first_request_at is None:
            self._first_request_at = now
        self._count_of(self._requests, service).add(now)

    def can_retry(self, now: float, service: str, proxy_count: int) -> bool:
        """Return whether the budget of this proxy, one of `proxy_count`, has room for one more retry."""
        requests = self._requests.get(service)
        retries = self._retries.get(service)
        earned = self._bounds.retry_budget_ratio * (requests.total(now) if requests else 0)
        budget = SAFETY_FACTOR * (earned + self._available_slack(now) / max(1, proxy_count))
        return (retries.total(now) if retries else 0) + 1 <= budget

    def record_retry(self, now: float, service: str) -> None:
        """Count one retry for the service."""
        self._count_of(self._retries, service).add(now)

    def _available_slack(self, now: float) -> float:
        """Available part of the slack: it rises to the whole within the first window."""
        elapsed_windows = 0.0
        if self._first_request_at is not None:
            elapsed_windows = (now - self._first_request_at) / self._bounds.retry_window
        available_ratio = min(1.0, INITIAL_SLACK_RATIO + (1 - INITIAL_SLACK_RATIO) * elapsed_windows)
        return self._bounds.retry_slack * available_ratio

    def _count_of(self, counts: dict[str, _SlidingCount], service: str) -> _SlidingCount:
        count = counts.get(service)
        if count is None:
            count = counts[service] = _SlidingCount(self._bounds.retry_window)
        return count
