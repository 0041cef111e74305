"""Carries requests through the gate: greenlets for tries, one waiting place a request. Decides nothing."""

import time

import gevent
from gevent.event import Event

from ashlift.proxy.load_balancer import WorkerState
from ashlift.proxy.request_reader import HOP, BadRequestError, ClientRequest
from ashlift.proxy.request_router import AdmittedRequest, Rejection, RequestRouter
from ashlift.proxy.responses import ATTEMPT, ClientResponse, relay
from ashlift.proxy.upstream import Attempt, AttemptOutcome, AttemptResult, ConnectionPool

OURS = HOP | {b"x-tenant", b"x-target-instance", b"x-time-remaining", b"authorization"}
REMAINING_MOST = 3600.0
HELD_MOST = 64  # requests that wait for news at a time: more are turned away at once


class RequestContext:
    """A request with its tries under way. `before`: the id of the one before it on its connection."""

    def __init__(self, before: bytes = b"") -> None:
        self.before, self.attempt = before, b""
        self.woken = Event()
        self.out: dict[Attempt, WorkerState] = {}
        self.ended: list[tuple[Attempt, WorkerState, AttemptOutcome]] = []
        self.gone = self.closed = False


class RequestHandler:
    def __init__(self, gate: RequestRouter) -> None:
        self.gate, self.links = gate, ConnectionPool()
        self.busy = 0  # requests under way
        self.told: dict[str, int] = {}  # answers by cause or status
        self._held: set[RequestContext] = set()  # wait for news

    def handle(self, asked: ClientRequest, case: RequestContext) -> ClientResponse | None:
        """The answer to a request; None: there is none to give, and its connection is to end."""
        self.busy += 1
        try:
            answer = self._handle(asked, case)
        except BadRequestError as bad:
            answer = ClientResponse(bad.status, cause="bad")
        finally:
            self.busy -= 1
        if answer is not None:
            word = answer.cause or str(answer.status)
            self.told[word] = self.told.get(word, 0) + 1
        return answer

    def heard(self) -> None:
        """There is news: those that wait for it look again."""
        for case in self._held:
            case.woken.set()

    def _handle(self, asked: ClientRequest, case: RequestContext) -> ClientResponse | None:
        attempt, told = asked.one(ATTEMPT), asked.one(b"x-time-remaining")
        try:
            remaining = float(told) / 1000 if told else REMAINING_MOST
            path = asked.target.decode("ascii").partition("?")[0]
            host = asked.one(b"host").decode("ascii")
            scheme, _, key = asked.one(b"authorization").decode("ascii").partition(" ")
        except ValueError:
            raise BadRequestError(400) from None
        if not attempt or not path.startswith("/") or not 0 < remaining <= REMAINING_MOST:
            raise BadRequestError(400)
        if attempt == case.before:
            return None  # every try has its own id: these are bytes of the last one, come twice
        case.attempt = attempt
        live = self._let_in(case, host, path, key.strip() if scheme.lower() == "bearer" else "", remaining)
        if not isinstance(live, AdmittedRequest):
            return _own(live) if live is not None else None
        live.size = asked.head + asked.size
        try:
            return self._run(asked, attempt, live, case)
        finally:
            case.closed = True
            now = time.monotonic()
            for _, view, outcome in case.ended:
                self.gate.ended(now, live, view, outcome, True)
            for one in list(case.out):
                one.cancel()
            if not live.may_run and not live.out:
                self.gate.never_ran(now, live)

    def _let_in(
        self, case: RequestContext, host: str, path: str, key: str, remaining: float
    ) -> AdmittedRequest | Rejection | None:
        """What the gate says, which may need news first; None: the client has gone meanwhile."""
        came = now = time.monotonic()
        found = self.gate.arrive(now, host, path, key, remaining)
        while isinstance(found, Rejection) and now < found.until and len(self._held) < HELD_MOST:
            self._held.add(case)
            case.woken.wait(found.until - now)
            self._held.discard(case)
            if case.gone:
                return None
            case.woken.clear()
            now = time.monotonic()
            found = self.gate.arrive(now, host, path, key, remaining - (now - came), came)
        return found

    def _run(
        self, asked: ClientRequest, attempt: bytes, live: AdmittedRequest, case: RequestContext
    ) -> ClientResponse | None:
        gate, head = self.gate, _head(asked, live)
        failure: ClientResponse | None = None  # a worker's own word, kept while there is hope of a better one
        view = gate.pick(time.monotonic(), live, False)
        while True:
            if isinstance(view, WorkerState):
                self._start(head, asked, attempt, live, case, view)
            elif not case.out:
                return failure or _own(view)
            now = time.monotonic()
            if not case.ended:
                at = gate.hedge(live) if len(case.out) == 1 else None
                case.woken.wait(max(0.0, min(live.deadline, live.deadline if at is None else at) - now))
                case.woken.clear()
                now = time.monotonic()
            if case.gone:
                return None
            while case.ended:
                one, tried, outcome = case.ended.pop()
                final = gate.ended(now, live, tried, outcome, one.cancelled)
                if outcome.ended is AttemptResult.ANSWERED and outcome.reply is not None:
                    failure = relay(outcome.reply)
                    if final:
                        return failure
            if now >= live.deadline:
                return failure or ClientResponse(504, cause="late")
            view = gate.pick(now, live, True) if not case.out or gate.hedges(now, live) else gate.stay(live)

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
        case.out[one] = view
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
        request, worker = _request(head, asked, view, left), view.worker
        most, dial = self.gate.connections(view), self.gate.dial(view)
        outcome = self.links.exchange(
            one, worker.id, worker.address, request, attempt, most, dial, left, live.route.idempotent
        )
        del case.out[one]
        if case.closed:
            self.gate.ended(time.monotonic(), live, view, outcome, True)
        else:
            case.ended.append((one, view, outcome))
            case.woken.set()


def _own(turn: Rejection) -> ClientResponse:
    return ClientResponse(turn.status, again=turn.again, cause=turn.cause)


def _head(asked: ClientRequest, live: AdmittedRequest) -> bytes:
    """What of a request's head is the same for all tries."""
    named = {token.strip().lower() for token in asked.all(b"connection").split(b",")}
    lines = [b"%b %b HTTP/1.1" % (asked.method, asked.target)]
    lines += [
        b"%b: %b" % (name, value)
        for name, value in asked.headers
        if (low := name.lower()) not in OURS and low not in named
    ]
    if live.tenant is not None:
        lines.append(b"X-Tenant: " + live.tenant.name.encode())
    if asked.framed:
        lines.append(b"Content-Length: %d" % asked.size)
    return b"\r\n".join(lines)


def _request(head: bytes, asked: ClientRequest, view: WorkerState, left: float) -> bytes:
    return b"%b\r\nX-Time-Remaining: %d\r\nX-Target-Instance: %b\r\n\r\n%b" % (
        head,
        max(1, int(left * 1000)),
        view.worker.id.encode(),
        asked.body,
    )


__all__ = ["RequestContext", "RequestHandler"]
