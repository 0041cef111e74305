"""The proxy's process as `proxy.configuration_updates` and `proxy.request_handler` run it: real cores."""

import functools
import random
from collections.abc import Callable
from typing import Any, Protocol

from ashlift.config.settings import Settings
from ashlift.proxy.admission import AdmittedRequest
from ashlift.proxy.attempts import AttemptOutcome, AttemptResult
from ashlift.proxy.configuration_updates import RETRY_PAUSE_SECONDS
from ashlift.proxy.idle_connections import IdleConnectionAges
from ashlift.proxy.load_balancer import WorkerState
from ashlift.proxy.program import ACCEPT_FRACTION, EXIT_FRACTION
from ashlift.proxy.registry_client import LONG_POLL_SECONDS, RESPONSE_TIMEOUT_SECONDS, RegistryClient
from ashlift.proxy.rejections import Rejection
from ashlift.proxy.request_progress import RequestProgress, Step
from ashlift.proxy.request_router import RequestRouter
from ashlift.proxy.responses import WorkerResponse
from ashlift.proxy.upstream import MAX_IDLE_PER_WORKER, MAX_IDLE_SECONDS
from ashlift.simulation import board
from ashlift.simulation.event_loop import EventLoop
from ashlift.simulation.history import HOST, Request
from ashlift.simulation.network import SimulatedNetwork
from ashlift.simulation.process import Machine, Process, Task

KIND = "proxy"
TURN_S = 0.001  # a turn of the processor: what is tried again without waiting takes at least this


@functools.cache
def reply(status: int) -> WorkerResponse:
    """A worker's answer, as far as the gate looks at it."""
    made = WorkerResponse()
    made.status, made.done = status, True
    return made


class Way(Protocol):
    """How tries come to workers."""

    def carry(self, one: "Try", kept: bool, dial: float) -> None:
        """`kept`: on a connection that was used before; `dial`: s for a new one."""

    def hung_up(self, one: "Try") -> None:
        """The gatekeeper has closed the try's connection."""


class Try:
    """One try under way at a worker. Times are the world's."""

    __slots__ = ("begun", "cancelled", "case", "ended", "incarnation", "left", "rested", "sent", "view")

    def __init__(self, case: "Case", view: WorkerState, left: float) -> None:
        self.case, self.view, self.left = case, view, left
        self.incarnation, self.begun, self.rested = case.keeper.incarnation, 0.0, 0.0
        self.cancelled = self.sent = self.ended = False

    @property
    def gone(self) -> bool:
        """Whether its connection is closed at our end."""
        return self.cancelled or self.ended or self.case.keeper.incarnation != self.incarnation

    def end(self, outcome: AttemptOutcome, keep: bool = False) -> None:
        """In the gatekeeper: the outcome has come."""
        if not self.ended and self.case.keeper.incarnation == self.incarnation:
            self.ended = True
            self.case.keeper.release(self.view.record.id, keep and not self.cancelled)
            self.case.back(self, outcome)


class Case:
    """One request at the gatekeeper: what `ashlift.proxy.request_handler` does with it, on simulated time."""

    def __init__(
        self, keeper: "Keeper", request: Request, answered: Callable[[int, float | None], None]
    ) -> None:
        self.keeper = keeper
        self.request = request
        self.answered = answered
        self.live: AdmittedRequest | None = None
        self.closed = False
        self._progress: RequestProgress[Try] | None = None
        self._wake = 0

    def begin(self, remaining: float) -> None:
        self.request.received = self.keeper.loop.now
        self._came = self.keeper.clock()
        self._until = self.keeper.clock() + remaining
        self.enter()

    def enter(self) -> None:
        """Ask the router, which may need a newer configuration first."""
        keeper = self.keeper
        now = keeper.clock()
        request = self.request
        if self.closed or self.live is not None:
            return
        admitted = keeper.gate.admit(now, HOST, request.path, request.key, self._until - now, self._came)
        if isinstance(admitted, Rejection):
            if now >= admitted.reconsider_until:
                self._reject(admitted)
            elif self not in keeper.held:
                keeper.held.append(self)
                keeper.call_later(admitted.reconsider_until - now + 1e-6, self.enter)
            return
        self.live = admitted
        self._progress = RequestProgress(keeper.gate, admitted)
        self._go(self._progress, self._progress.first_step(now))

    def hang_up(self) -> None:
        """The client has gone."""
        if not self.closed:
            self._answer(0, "gone", None)

    def back(self, one: Try, outcome: AttemptOutcome) -> None:
        """An attempt has ended."""
        progress = self._progress
        assert progress is not None
        progress.attempt_ended(self.keeper.clock(), one, outcome)
        if not self.closed:
            self._look(progress)

    def _timer(self, wake: int) -> None:
        if not self.closed and wake == self._wake and self._progress is not None:
            self._look(self._progress)

    def _look(self, progress: RequestProgress[Try]) -> None:
        self._go(progress, progress.next_step(self.keeper.clock()))

    def _go(self, progress: RequestProgress[Try], step: Step) -> None:
        if isinstance(step, WorkerState):
            self._start(progress, step)
        elif isinstance(step, WorkerResponse):
            return self._answer(step.status, "", None)
        elif isinstance(step, Rejection):
            return self._reject(step)
        if self.closed or progress.has_completed:
            return
        self._wake += 1
        delay = max(0.0, progress.wake_at() - self.keeper.clock()) + 1e-6
        self.keeper.call_later(delay, self._timer, self._wake)

    def _start(self, progress: RequestProgress[Try], worker: WorkerState) -> None:
        one = Try(self, worker, progress.request.deadline - self.keeper.clock())
        progress.attempt_started(one, worker)
        self.keeper.exchange(one)

    def _reject(self, rejection: Rejection) -> None:
        self._answer(rejection.status, rejection.reason.value, rejection.retry_after)

    def _answer(self, status: int, cause: str, again: float | None) -> None:
        self.closed = True
        keeper = self.keeper
        keeper.cases.pop(self.request, None)
        if self._progress is not None:
            for one in self._progress.close(keeper.clock()):
                one.cancelled = True
                keeper.yard.hung_up(one)
                # Its connection is closed: the outcome comes at once.
                result = AttemptResult.CONNECTION_LOST if one.sent else AttemptResult.CONNECT_FAILED
                keeper.call_later(0.0, one.end, AttemptOutcome(result))
        word = cause or str(status)
        keeper.told[word] = keeper.told.get(word, 0) + 1
        self.request.cause = cause
        self.answered(status, again)


class Keeper(Process):
    """A gatekeeper."""

    def __init__(
        self,
        loop: EventLoop,
        net: SimulatedNetwork,
        machine: Machine,
        settings: Callable[[], Settings],
        yard: "Way",
    ) -> None:
        super().__init__(loop, net, machine, KIND)
        self.settings, self.yard = settings, yard
        self.told: dict[str, int] = {}  # answers by cause or status, over all lives
        self.cases: dict[Request, Case] = {}

    def on_start(self) -> None:
        settings, rng = self.settings(), random.Random(self.loop.rng.getrandbits(64))
        self.gate = RequestRouter(settings, rng, self.clock())
        self.pulling = RegistryClient(settings, self.gate, f"{rng.getrandbits(32):08x}", rng)
        self.cases = {}
        self.held: list[Case] = []  # wait for news
        self.idle: dict[str, list[float]] = {}  # by worker: since when each connection rests
        self.rests = IdleConnectionAges()
        self.open: dict[str, int] = {}
        self.spawn(self._news())

    def on_killed(self, silently: bool) -> None:
        cases, self.cases = self.cases, {}
        for case in cases.values() if not silently else ():
            case.closed = True
            case.answered(0, None)  # the client sees the connection reset

    def _news(self) -> Task:
        while True:
            pull = self.pulling.next_request(self.clock())
            if pull is not None:
                within = LONG_POLL_SECONDS + RESPONSE_TIMEOUT_SECONDS
                answer: Any = yield self.call(
                    pull.registry_ip, board.KIND, "pull", pull.body, within, pull.connect_timeout
                )
                if self.pulling.handle_response(pull, self.clock(), answer):
                    held, self.held = self.held, []
                    for case in held:
                        case.enter()
                    continue
            yield RETRY_PAUSE_SECONDS

    def leave(self) -> None:
        """SIGTERM."""
        self.gate.draining = True
        self.spawn(self._leave())

    def _leave(self) -> Task:
        began, grace = self.clock(), self.gate.bounds.grace
        yield ACCEPT_FRACTION * grace
        while self.cases and self.clock() < began + EXIT_FRACTION * grace:
            yield 0.02
        self.kill()

    def ready(self) -> bool:
        return self.up and not self.frozen and self.gate.is_ready(self.clock())

    def take(self, request: Request, remaining: float, answered: Callable[[int, float | None], None]) -> None:
        """A request of a client has come whole."""
        request.proxy, request.proxy_incarnation = self.name, self.incarnation
        case = self.cases[request] = Case(self, request, answered)
        case.begin(remaining)

    # ---- connections to workers (ashlift.proxy.upstream)
    def exchange(self, one: Try) -> None:
        worker, live = one.view.record, one.case.live
        kept, now = self.idle.get(worker.id), self.clock()
        most = min(MAX_IDLE_SECONDS, self.rests.max_idle(now, live is not None and live.route.idempotent))
        while kept:
            one.rested = now - kept.pop()
            if one.rested < most:
                self.call_later(max(0.0, one.left), self._late, one)
                return self.yard.carry(one, True, 0.0)
            self.open[worker.id] -= 1
        if self.open.get(worker.id, 0) >= self.gate.max_connections(one.view):
            self.open[worker.id] = self.open.get(worker.id, 0) + 1  # given back with its outcome
            one.case.request.pool_exhausted_count += 1
            return self.call_later(TURN_S, one.end, AttemptOutcome(AttemptResult.NO_CONNECTION_FREE))
        self.open[worker.id] = self.open.get(worker.id, 0) + 1
        self.call_later(max(0.0, one.left), self._late, one)
        self.yard.carry(one, False, min(self.gate.connect_timeout(one.view), one.left))

    def forgotten(self, one: Try) -> None:
        """Its connection, kept from before, was reset."""
        waited = self.loop.now - one.begun
        rested = self.rests.record_reset(self.clock(), one.rested, waited)
        one.end(AttemptOutcome(AttemptResult.CONNECTION_LOST, None, waited, rested))

    def _late(self, one: Try) -> None:
        one.end(
            AttemptOutcome(
                AttemptResult.TIMED_OUT if one.sent else AttemptResult.CONNECT_FAILED, None, one.left
            )
        )

    def release(self, worker: str, keep: bool) -> None:
        idle = self.idle.setdefault(worker, [])
        if keep and len(idle) < MAX_IDLE_PER_WORKER:
            idle.append(self.clock())
        else:
            self.open[worker] -= 1
