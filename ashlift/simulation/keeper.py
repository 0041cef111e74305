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
from ashlift.proxy.registry_client import LONG_POLL_SECONDS, RESPONSE_TIMEOUT_SECONDS, RegistryClient
from ashlift.proxy.rejections import Rejection
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
LEAVE_SHARE, END_SHARE = 0.55, 0.93  # of Grace, as `ashlift.proxy.__main__` has them


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
    """One request at the gatekeeper: what `ashlift.proxy.request_handler` does with it."""

    def __init__(
        self, keeper: "Keeper", request: Request, answered: Callable[[int, float | None], None]
    ) -> None:
        self.keeper, self.request, self.answered = keeper, request, answered
        self.live: AdmittedRequest | None = None
        self.out: dict[Try, WorkerState] = {}
        self.ended: list[tuple[Try, WorkerState, AttemptOutcome]] = []
        self.failure = 0  # a worker's own word, kept while there is hope of a better one
        self.closed = False
        self._wake = 0

    def begin(self, remaining: float) -> None:
        self.request.received = self.keeper.loop.now
        self._came, self._until = self.keeper.clock(), self.keeper.clock() + remaining
        self.enter()

    def enter(self) -> None:
        """Ask the gate, which may need news first."""
        keeper, now, request = self.keeper, self.keeper.clock(), self.request
        if self.closed or self.live is not None:
            return
        live = keeper.gate.admit(now, HOST, request.path, request.key, self._until - now, self._came)
        if isinstance(live, Rejection):
            if now >= live.reconsider_until:
                return self._answer(live.status, live.reason.value, live.retry_after)
            if self not in keeper.held:
                keeper.held.append(self)
                keeper.call_later(live.reconsider_until - now + 1e-6, self.enter)
            return
        self.live = live
        self._go(keeper.gate.choose_worker(now, live, False))

    def hang_up(self) -> None:
        """The client has gone."""
        if not self.closed:
            self._answer(0, "gone", None)

    def back(self, one: Try, outcome: AttemptOutcome) -> None:
        assert self.live is not None
        view = self.out.pop(one)
        if self.closed:
            self.keeper.gate.record_outcome(self.keeper.clock(), self.live, view, outcome, True)
        else:
            self.ended.append((one, view, outcome))
            self._look()

    def _timer(self, wake: int) -> None:
        if not self.closed and wake == self._wake:
            self._look()

    def _go(self, view: WorkerState | Rejection) -> None:
        gate, live = self.keeper.gate, self.live
        assert live is not None
        if isinstance(view, WorkerState):
            self._start(view)
        elif not self.out:
            if self.failure:
                return self._answer(self.failure, "", None)
            return self._answer(view.status, view.reason.value, view.retry_after)
        if self.closed or self.ended:
            return
        now = self.keeper.clock()
        at = gate.hedge_time(live) if len(self.out) == 1 else None
        until = min(live.deadline, live.deadline if at is None else at)
        self._wake += 1
        self.keeper.call_later(max(0.0, until - now) + 1e-6, self._timer, self._wake)

    def _look(self) -> None:
        gate, live, now = self.keeper.gate, self.live, self.keeper.clock()
        assert live is not None
        while self.ended:
            one, view, outcome = self.ended.pop()
            final = gate.record_outcome(now, live, view, outcome, one.cancelled)
            if outcome.result is AttemptResult.RESPONSE and outcome.response is not None:
                self.failure = outcome.response.status
                if final:
                    return self._answer(self.failure, "", None)
        if now >= live.deadline:
            return self._answer(self.failure or 504, "" if self.failure else "late", None)
        self._go(
            gate.choose_worker(now, live, True)
            if not self.out or gate.hedge_is_due(now, live)
            else gate.final_rejection(live)
        )

    def _start(self, view: WorkerState) -> None:
        assert self.live is not None
        one = Try(self, view, self.live.deadline - self.keeper.clock())
        self.out[one] = view
        self.keeper.exchange(one)

    def _answer(self, status: int, cause: str, again: float | None) -> None:
        self.closed = True
        keeper, live = self.keeper, self.live
        keeper.cases.pop(self.request, None)
        if live is not None:
            now = keeper.clock()
            for _, view, outcome in self.ended:
                keeper.gate.record_outcome(now, live, view, outcome, True)
            for one in list(self.out):
                one.cancelled = True
                keeper.yard.hung_up(one)
                # Its connection is closed: the outcome comes at once.
                keeper.call_later(
                    0.0,
                    one.end,
                    AttemptOutcome(
                        AttemptResult.CONNECTION_LOST if one.sent else AttemptResult.CONNECT_FAILED
                    ),
                )
            if not live.may_have_run and not live.attempts_in_flight:
                keeper.gate.refund_admission(now, live)
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
        yield LEAVE_SHARE * grace
        while self.cases and self.clock() < began + END_SHARE * grace:
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
