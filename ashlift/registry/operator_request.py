"""Which stores are asked for one call, and when. Pure; times are of this machine's steady clock, s.

A call may be asked for at several stores: an order that was taken is acknowledged again, and none is begun
once its caller may have gone (`ashlift.configstore.messages.Fence`).
"""

from collections import deque
from typing import Any

from ashlift.errors import Failure, FailureReason

RETRYABLE_REASONS = frozenset(
    (FailureReason.UNREACHABLE, FailureReason.UNAVAILABLE, FailureReason.NOT_FOUND)
)  # not done, and it may be asked for again
NOT_EXECUTED_REASONS = RETRYABLE_REASONS | {FailureReason.EXPIRED}  # not done
HEDGE_DELAY_SECONDS = 0.3  # a store that says nothing for so long is not waited for alone
RETRY_ROUND_DELAY_SECONDS = 0.2  # between two times that all have been asked
MIN_ATTEMPT_SECONDS = 0.1  # nobody is asked with less time than this


class OperatorRequest:
    """`stores`: in the order in which to ask them; `until`: when there must be an answer."""

    def __init__(self, stores: list[str], now: float, until: float) -> None:
        self.until = until
        self._answer: Any = Failure(FailureReason.UNREACHABLE, "there is no store")
        self.is_finished = not stores
        self._todo, self._again = deque(stores), list[str]()
        self._out: set[str] = set()
        self._next_at = now

    def next_store(self, now: float) -> str | None:
        """Whom to ask now."""
        if now < self._next_at or self.until - now < MIN_ATTEMPT_SECONDS:
            return None
        if not self._todo:
            self._todo, self._again = deque(self._again), []
        if self.is_finished or not self._todo:
            return None
        ip = self._todo.popleft()
        self._out.add(ip)
        self._next_at = now + HEDGE_DELAY_SECONDS
        return ip

    @property
    def outcome(self) -> Any:
        """The clear answer; else a Failure: what is not known to be undone is in doubt."""
        if self._out and isinstance(self._answer, Failure) and self._answer.reason in NOT_EXECUTED_REASONS:
            return Failure(FailureReason.OUTCOME_UNKNOWN, "no store has answered")
        return self._answer

    def wait_seconds(self, now: float) -> float:
        """s to wait for an answer before `due` is to be asked again; 0: it is over."""
        if self.is_finished or now >= self.until:
            return 0.0
        able = bool(self._todo or self._again) and now < self.until - MIN_ATTEMPT_SECONDS
        return max(0.001, (self._next_at if able else self.until) - now)

    def record_response(self, ip: str, answer: Any, now: float) -> None:
        """That store's answer to the call, or its Failure."""
        self._out.discard(ip)
        if self.is_finished:
            return
        undone = isinstance(answer, Failure) and answer.reason in RETRYABLE_REASONS
        if not undone and not _doubtful(answer):
            late = isinstance(answer, Failure) and answer.reason == FailureReason.EXPIRED
            if not (late and _doubtful(self._answer)):
                self._answer = answer  # else another copy is in doubt
            self.is_finished = True
            return
        if not _doubtful(self._answer):  # in doubt goes before not done
            self._answer = answer
        if undone:
            self._again.append(ip)
        if self._todo:
            self._next_at = now
        elif not self._out:
            self._next_at = now + RETRY_ROUND_DELAY_SECONDS


def _doubtful(answer: Any) -> bool:
    return isinstance(answer, Failure) and answer.reason == FailureReason.OUTCOME_UNKNOWN
