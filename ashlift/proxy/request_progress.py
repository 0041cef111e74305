"""State machine for the attempts of one admitted request. No I/O.

The driver asks for the next step, carries it out, and reports attempts that ended. Drivers are
`ashlift.proxy.request_handler`, which uses greenlets, and the simulation, which uses simulated time.
"""

from enum import Enum, auto
from typing import Final, Generic, Protocol, TypeVar

from ashlift.proxy.admission import AdmittedRequest
from ashlift.proxy.attempts import AttemptOutcome, AttemptResult
from ashlift.proxy.load_balancer import WorkerState
from ashlift.proxy.rejections import DEADLINE_EXCEEDED, Rejection
from ashlift.proxy.request_router import RequestRouter
from ashlift.proxy.responses import WorkerResponse


class Cancellable(Protocol):
    """The driver's handle for an attempt."""

    cancelled: bool


AttemptT = TypeVar("AttemptT", bound=Cancellable)


class Wait(Enum):
    """The step of waiting for an attempt to end, or until `RequestProgress.wake_at`."""

    WAIT = auto()


WAIT: Final = Wait.WAIT
# Start an attempt at a worker, wait, or respond.
Step = WorkerState | Wait | WorkerResponse | Rejection


class RequestProgress(Generic[AttemptT]):
    """Decides after each event whether to start an attempt, to wait or to respond."""

    def __init__(self, router: RequestRouter, request: AdmittedRequest) -> None:
        self.request = request
        self.in_flight: dict[AttemptT, WorkerState] = {}
        self.closed = False
        self._router = router
        self._completed: list[tuple[AttemptT, WorkerState, AttemptOutcome]] = []
        # The last failure from a worker, used if no other attempt succeeds.
        self._failure: WorkerResponse | None = None

    @property
    def has_completed(self) -> bool:
        """Whether any attempt has ended since the last step."""
        return bool(self._completed)

    def first_step(self, now: float) -> Step:
        """The step after admission."""
        return self._step(self._router.choose_worker(now, self.request, retry=False))

    def next_step(self, now: float) -> Step:
        """The step after attempts ended, or at `wake_at`."""
        while self._completed:
            attempt, worker, outcome = self._completed.pop()
            is_final = self._router.record_outcome(now, self.request, worker, outcome, attempt.cancelled)
            if outcome.result is AttemptResult.RESPONSE and outcome.response is not None:
                self._failure = outcome.response
                if is_final:
                    return outcome.response
        if now >= self.request.deadline:
            return self._failure or DEADLINE_EXCEEDED
        if not self.in_flight or self._router.hedge_is_due(now, self.request):
            return self._step(self._router.choose_worker(now, self.request, retry=True))
        return WAIT

    def _step(self, choice: WorkerState | Rejection) -> Step:
        if isinstance(choice, WorkerState):
            return choice
        if self.in_flight:
            return WAIT
        return self._failure or choice

    def wake_at(self) -> float:
        """When to ask for the next step if no attempt ends: the deadline, or the time of a hedged request."""
        hedge_at = self._router.hedge_time(self.request) if len(self.in_flight) == 1 else None
        if hedge_at is None:
            return self.request.deadline
        return min(self.request.deadline, hedge_at)

    def attempt_started(self, attempt: AttemptT, worker: WorkerState) -> None:
        """Record that the driver has started an attempt."""
        self.in_flight[attempt] = worker

    def attempt_ended(self, now: float, attempt: AttemptT, outcome: AttemptOutcome) -> None:
        """Record the end of an attempt; after `close` it only updates the statistics of the worker."""
        worker = self.in_flight.pop(attempt)
        if self.closed:
            self._router.record_outcome(now, self.request, worker, outcome, cancelled=True)
        else:
            self._completed.append((attempt, worker, outcome))

    def close(self, now: float) -> list[AttemptT]:
        """End the request, after its response or a disconnect; returns the attempts to be cancelled."""
        self.closed = True
        for _, worker, outcome in self._completed:
            self._router.record_outcome(now, self.request, worker, outcome, cancelled=True)
        if not self.request.may_have_run and not self.request.attempts_in_flight:
            self._router.refund_admission(now, self.request)
        return list(self.in_flight)
