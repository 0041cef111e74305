"""Outcomes of attempts, and whether another attempt may follow. Pure.

An attempt is one exchange with one worker. A request that is not idempotent must never run twice, so the only
attempts that another one may follow there are those of which it is certain that the worker has not run them.

The rules here are necessary, not sufficient: `RequestRouter.choose_worker` also asks for time before the
deadline, an attempt of the route's `max_attempts` left, a worker not attempted yet, and a unit of the retry
budget if a worker was reached or another attempt is in flight. `RequestRouter.hedge_time` says when one may
begin beside another.
"""

from collections.abc import Mapping
from enum import Enum, auto
from typing import Final, NamedTuple

from ashlift.proxy.responses import WorkerResponse


class AttemptResult(Enum):
    """How an attempt at a worker ended."""

    RESPONSE = auto()  # a valid response of the worker
    NOT_RUN = auto()  # the worker says that it has not run it, or it was never sent
    CONNECT_FAILED = auto()  # no connection could be established
    CONNECTION_LOST = auto()  # the connection broke, or its response was malformed: the request may have run
    TIMED_OUT = auto()  # the deadline passed: the request may still be running
    CONNECTION_LIMIT_REACHED = auto()  # the limit of connections to the worker is reached: nothing was sent


class AttemptRule(NamedTuple):
    """What an attempt's result says about its request.

    `may_have_run`: the worker may have executed it. `retry_idempotent`, `retry_non_idempotent`: whether
    another attempt is allowed on a route of that kind.
    """

    may_have_run: bool
    retry_idempotent: bool
    retry_non_idempotent: bool

    def allows_retry(self, idempotent: bool) -> bool:
        """Whether another attempt may follow on a route of that kind."""
        return self.retry_idempotent if idempotent else self.retry_non_idempotent


# A response below 500 is final on every route; the row RESPONSE is for failures that a worker reported.
# In each row: may_have_run, retry_idempotent, retry_non_idempotent.
ATTEMPT_RULES: Final[Mapping[AttemptResult, AttemptRule]] = {
    AttemptResult.RESPONSE: AttemptRule(True, True, False),
    AttemptResult.NOT_RUN: AttemptRule(False, True, True),
    AttemptResult.CONNECT_FAILED: AttemptRule(False, True, True),
    AttemptResult.CONNECTION_LOST: AttemptRule(True, True, False),
    AttemptResult.TIMED_OUT: AttemptRule(True, True, False),
    AttemptResult.CONNECTION_LIMIT_REACHED: AttemptRule(False, True, True),
}


class AttemptOutcome(NamedTuple):
    """The end of an attempt.

    `elapsed`: seconds since it began. `idle_reset`: the connection was lost because it had been idle for too
    long, which says nothing about the worker.
    """

    result: AttemptResult
    response: WorkerResponse | None = None
    elapsed: float = 0.0
    idle_reset: bool = False
