"""Outcomes of attempts, and the rules for retrying after each of them. No I/O.

An attempt is one exchange with one worker. A non-idempotent request must never run twice, so it is retried
only if the worker has certainly not run it.

These rules are necessary, not sufficient: `RequestRouter.choose_worker` also requires time before the
deadline, an attempt left of the route's `max_attempts`, a worker that was not tried yet, and retry budget.
`RequestRouter.hedge_time` decides when a hedged request is sent.
"""

from collections.abc import Mapping
from enum import Enum, auto
from typing import Final, NamedTuple

from ashlift.proxy.responses import WorkerResponse


class AttemptResult(Enum):
    """How an attempt at a worker ended."""

    RESPONSE = auto()  # the worker sent a valid response
    NOT_RUN = auto()  # the worker reported that it has not run the request, or it was never sent
    CONNECT_FAILED = auto()  # no connection could be established
    CONNECTION_LOST = auto()  # the connection broke or the response was malformed: it may have run
    TIMED_OUT = auto()  # the deadline passed: it may still be running
    CONNECTION_LIMIT_REACHED = auto()  # all connections to the worker are in use: nothing was sent


class AttemptRule(NamedTuple):
    """What follows for a request from an attempt's result.

    `may_have_run`: the worker may have run it. `retry_idempotent`, `retry_non_idempotent`: whether a retry is
    allowed on idempotent and on other routes.
    """

    may_have_run: bool
    retry_idempotent: bool
    retry_non_idempotent: bool

    def allows_retry(self, idempotent: bool) -> bool:
        """Whether a retry is allowed on a route that is `idempotent` or not."""
        return self.retry_idempotent if idempotent else self.retry_non_idempotent


# The row RESPONSE applies to status 500 and above; responses below 500 are always final.
# Columns: may_have_run, retry_idempotent, retry_non_idempotent.
ATTEMPT_RULES: Final[Mapping[AttemptResult, AttemptRule]] = {
    AttemptResult.RESPONSE: AttemptRule(True, True, False),
    AttemptResult.NOT_RUN: AttemptRule(False, True, True),
    AttemptResult.CONNECT_FAILED: AttemptRule(False, True, True),
    AttemptResult.CONNECTION_LOST: AttemptRule(True, True, False),
    AttemptResult.TIMED_OUT: AttemptRule(True, True, False),
    AttemptResult.CONNECTION_LIMIT_REACHED: AttemptRule(False, True, True),
}


class AttemptOutcome(NamedTuple):
    """How an attempt ended.

    `elapsed`: seconds since it began. `idle_reset`: the worker had probably closed the idle connection, which
    does not count as a failure of the worker.
    """

    result: AttemptResult
    response: WorkerResponse | None = None
    elapsed: float = 0.0
    idle_reset: bool = False
