"""Carries requests through the gate: greenlets for tries, one waiting place a request. Decides nothing."""

import time

import gevent
from gevent.event import Event

from ashlift.proxy.admission import AdmittedRequest
from ashlift.proxy.attempts import AttemptOutcome, AttemptResult
from ashlift.proxy.load_balancer import WorkerState
from ashlift.proxy.rejections import Rejection
from ashlift.proxy.request_reader import HOP_BY_HOP_HEADERS, BadRequestError, ClientRequest
from ashlift.proxy.request_router import RequestRouter
from ashlift.proxy.responses import ATTEMPT_ID_HEADER, ClientResponse, relay
from ashlift.proxy.upstream import Attempt, ConnectionPool

CONSUMED_HEADERS = HOP_BY_HOP_HEADERS | {
    b"x-tenant",
    b"x-target-instance",
    b"x-time-remaining",
    b"authorization",
}
MAX_REMAINING_SECONDS = 3600.0
MAX_AWAITING_CONFIGURATION = 64  # requests that wait for news at a time: more are turned away at once


class RequestContext:
    """A request with its tries under way. `before`: the id of the one before it on its connection."""

    def __init__(self, before: bytes = b"") -> None:
        self.previous_attempt_id, self.attempt_id = before, b""
        self.wake = Event()
        self.in_flight: dict[Attempt, WorkerState] = {}
        self.completed: list[tuple[Attempt, WorkerState, AttemptOutcome]] = []
        self.client_gone = self.closed = False


class RequestHandler:
    def __init__(self, gate: RequestRouter) -> None:
        self.router, self.connection_pool = gate, ConnectionPool()
        self.in_flight = 0  # requests under way
        self.responses: dict[str, int] = {}  # answers by cause or status
        self._awaiting_configuration: set[RequestContext] = set()  # wait for news

    def handle(self, asked: ClientRequest, case: RequestContext) -> ClientResponse | None:
        """The answer to a request; None: there is none to give, and its connection is to end."""
        self.in_flight += 1
        try:
            answer = self._handle(asked, case)
        except BadRequestError as bad:
            answer = ClientResponse(bad.status, cause="bad")
        finally:
            self.in_flight -= 1
        if answer is not None:
            word = answer.cause or str(answer.status)
            self.responses[word] = self.responses.get(word, 0) + 1
        return answer

    def configuration_changed(self) -> None:
        """There is news: those that wait for it look again."""
        for case in self._awaiting_configuration:
            case.wake.set()

    def _handle(self, asked: ClientRequest, case: RequestContext) -> ClientResponse | None:
        attempt, told = asked.header(ATTEMPT_ID_HEADER), asked.header(b"x-time-remaining")
        try:
            remaining = float(told) / 1000 if told else MAX_REMAINING_SECONDS
            path = asked.target.decode("ascii").partition("?")[0]
            host = asked.header(b"host").decode("ascii")
            scheme, _, key = asked.header(b"authorization").decode("ascii").partition(" ")
        except ValueError:
            raise BadRequestError(400) from None
        if not attempt or not path.startswith("/") or not 0 < remaining <= MAX_REMAINING_SECONDS:
            raise BadRequestError(400)
        if attempt == case.previous_attempt_id:
            return None  # every try has its own id: these are bytes of the last one, come twice
        case.attempt_id = attempt
        live = self._let_in(case, host, path, key.strip() if scheme.lower() == "bearer" else "", remaining)
        if not isinstance(live, AdmittedRequest):
            return _own(live) if live is not None else None
        live.size_bytes = asked.head_bytes + asked.body_bytes
        try:
            return self._run(asked, attempt, live, case)
        finally:
            case.closed = True
            now = time.monotonic()
            for _, view, outcome in case.completed:
                self.router.record_outcome(now, live, view, outcome, True)
            for one in list(case.in_flight):
                one.cancel()
            if not live.may_have_run and not live.attempts_in_flight:
                self.router.refund_admission(now, live)

    def _let_in(
        self, case: RequestContext, host: str, path: str, key: str, remaining: float
    ) -> AdmittedRequest | Rejection | None:
        """What the gate says, which may need news first; None: the client has gone meanwhile."""
        came = now = time.monotonic()
        found = self.router.admit(now, host, path, key, remaining)
        while (
            isinstance(found, Rejection)
            and now < found.reconsider_until
            and len(self._awaiting_configuration) < MAX_AWAITING_CONFIGURATION
        ):
            self._awaiting_configuration.add(case)
            case.wake.wait(found.reconsider_until - now)
            self._awaiting_configuration.discard(case)
            if case.client_gone:
                return None
            case.wake.clear()
            now = time.monotonic()
            found = self.router.admit(now, host, path, key, remaining - (now - came), came)
        return found

    def _run(
        self, asked: ClientRequest, attempt: bytes, live: AdmittedRequest, case: RequestContext
    ) -> ClientResponse | None:
        gate, head = self.router, _head(asked, live)
        failure: ClientResponse | None = None  # a worker's own word, kept while there is hope of a better one
        view = gate.choose_worker(time.monotonic(), live, False)
        while True:
            if isinstance(view, WorkerState):
                self._start(head, asked, attempt, live, case, view)
            elif not case.in_flight:
                return failure or _own(view)
            now = time.monotonic()
            if not case.completed:
                at = gate.hedge_time(live) if len(case.in_flight) == 1 else None
                case.wake.wait(max(0.0, min(live.deadline, live.deadline if at is None else at) - now))
                case.wake.clear()
                now = time.monotonic()
            if case.client_gone:
                return None
            while case.completed:
                one, tried, outcome = case.completed.pop()
                final = gate.record_outcome(now, live, tried, outcome, one.cancelled)
                if outcome.result is AttemptResult.RESPONSE and outcome.response is not None:
                    failure = relay(outcome.response)
                    if final:
                        return failure
            if now >= live.deadline:
                return failure or ClientResponse(504, cause="late")
            view = (
                gate.choose_worker(now, live, True)
                if not case.in_flight or gate.hedge_is_due(now, live)
                else gate.final_rejection(live)
            )

    def _start(
        self,
        head: bytes,
        asked: ClientRequest,
        attempt: bytes,
        live: AdmittedRequest,
        case: RequestContext,
        view: WorkerState,
    ) -> None:
        one = Attempt()
        case.in_flight[one] = view
        gevent.spawn(self._try, one, head, asked, attempt, live, case, view)

    def _try(
        self,
        one: Attempt,
        head: bytes,
        asked: ClientRequest,
        attempt: bytes,
        live: AdmittedRequest,
        case: RequestContext,
        view: WorkerState,
    ) -> None:
        left = live.deadline - time.monotonic()
        request, worker = _request(head, asked, view, left), view.record
        most, dial = self.router.max_connections(view), self.router.connect_timeout(view)
        outcome = self.connection_pool.exchange(
            one, worker.id, worker.address, request, attempt, most, dial, left, live.route.idempotent
        )
        del case.in_flight[one]
        if case.closed:
            self.router.record_outcome(time.monotonic(), live, view, outcome, True)
        else:
            case.completed.append((one, view, outcome))
            case.wake.set()


def _own(turn: Rejection) -> ClientResponse:
    return ClientResponse(turn.status, retry_after=turn.retry_after, cause=turn.reason.value)


def _head(asked: ClientRequest, live: AdmittedRequest) -> bytes:
    """What of a request's head is the same for all tries."""
    named = {token.strip().lower() for token in asked.header_list(b"connection").split(b",")}
    lines = [b"%b %b HTTP/1.1" % (asked.method, asked.target)]
    lines += [
        b"%b: %b" % (name, value)
        for name, value in asked.headers
        if (low := name.lower()) not in CONSUMED_HEADERS and low not in named
    ]
    if live.tenant is not None:
        lines.append(b"X-Tenant: " + live.tenant.name.encode())
    if asked.has_body:
        lines.append(b"Content-Length: %d" % asked.body_bytes)
    return b"\r\n".join(lines)


def _request(head: bytes, asked: ClientRequest, view: WorkerState, left: float) -> bytes:
    return b"%b\r\nX-Time-Remaining: %d\r\nX-Target-Instance: %b\r\n\r\n%b" % (
        head,
        max(1, int(left * 1000)),
        view.record.id.encode(),
        asked.body,
    )


__all__ = ["RequestContext", "RequestHandler"]
