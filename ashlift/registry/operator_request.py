"""Retries and hedging of an operator's request over the stores. Does no I/O; monotonic times in seconds.

Sending a command to several stores is safe: an accepted command is only acknowledged again, and the fencing
token (`ashlift.registry.store_position`) prevents execution after its caller may have timed out.
"""

from collections import deque
from typing import Any, Final

from ashlift.errors import Failure, FailureReason

# The command was not executed and is safe to retry.
RETRYABLE_REASONS: Final = frozenset(
    (FailureReason.UNREACHABLE, FailureReason.UNAVAILABLE, FailureReason.NOT_FOUND)
)
NOT_EXECUTED_REASONS: Final = RETRYABLE_REASONS | {FailureReason.EXPIRED}
HEDGE_DELAY_SECONDS: Final = 0.3  # without a response, before another store is called as well
RETRY_ROUND_DELAY_SECONDS: Final = 0.2  # after all stores have returned a retryable failure
MIN_ATTEMPT_SECONDS: Final = 0.1  # remaining time below which no store is called
MIN_WAIT_SECONDS: Final = 0.001


class OperatorRequest:
    """Attempts in progress, stores to try next, and the outcome so far of one request."""

    def __init__(self, stores: list[str], now: float, deadline: float) -> None:
        """`stores`: IPs in the order in which to try them; `deadline`: latest time of the outcome."""
        self.deadline = deadline
        self.is_finished = not stores
        self._outcome: Any = Failure(FailureReason.UNREACHABLE, "there is no store")
        self._untried = deque(stores)
        self._retryable: list[str] = []
        self._in_progress: set[str] = set()
        self._next_attempt_at = now

    @property
    def outcome(self) -> Any:
        """The conclusive response, or a Failure: OUTCOME_UNKNOWN if the request may have been executed."""
        outcome = self._outcome
        is_not_executed = isinstance(outcome, Failure) and outcome.reason in NOT_EXECUTED_REASONS
        if self._in_progress and is_not_executed:
            return Failure(FailureReason.OUTCOME_UNKNOWN, "no store has answered")
        return outcome

    def next_store(self, now: float) -> str | None:
        """The store to call now, if any."""
        if now < self._next_attempt_at or self.deadline - now < MIN_ATTEMPT_SECONDS:
            return None
        if not self._untried:
            self._untried = deque(self._retryable)
            self._retryable = []
        if self.is_finished or not self._untried:
            return None
        ip = self._untried.popleft()
        self._in_progress.add(ip)
        self._next_attempt_at = now + HEDGE_DELAY_SECONDS
        return ip

    def wait_seconds(self, now: float) -> float:
        """How long to wait for a response before calling `next_store` again; 0 if the request has ended."""
        if self.is_finished or now >= self.deadline:
            return 0.0
        may_try_another = bool(self._untried or self._retryable) and now < self.deadline - MIN_ATTEMPT_SECONDS
        wake_at = self._next_attempt_at if may_try_another else self.deadline
        return max(MIN_WAIT_SECONDS, wake_at - now)

    def record_response(self, ip: str, response: Any, now: float) -> None:
        """Record the response of a store, or the Failure of the attempt."""
        self._in_progress.discard(ip)
        if self.is_finished:
            return
        is_retryable = isinstance(response, Failure) and response.reason in RETRYABLE_REASONS
        if not is_retryable and not _is_outcome_unknown(response):
            self._finish(response)
            return
        if not _is_outcome_unknown(self._outcome):  # takes precedence over not executed
            self._outcome = response
        if is_retryable:
            self._retryable.append(ip)
        if self._untried:
            self._next_attempt_at = now
        elif not self._in_progress:
            self._next_attempt_at = now + RETRY_ROUND_DELAY_SECONDS

    def _finish(self, response: Any) -> None:
        is_expired = isinstance(response, Failure) and response.reason == FailureReason.EXPIRED
        if not (is_expired and _is_outcome_unknown(self._outcome)):
            self._outcome = response  # otherwise another attempt may have executed the request
        self.is_finished = True


def _is_outcome_unknown(response: Any) -> bool:
    return isinstance(response, Failure) and response.reason == FailureReason.OUTCOME_UNKNOWN
