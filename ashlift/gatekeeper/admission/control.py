"""One gateway: a request from arrival to answer. Read interface.py first: settings, events and actions.

How a request passes: `_arrive` asks whether its customer's quota lets it in (quota.py), perhaps after a count
(`_hold`, counter.py); `_enter` asks for room under ceiling, cap and pressure (overload.py), and for a server
(servers.py). `_ended` learns from each attempt and sends again only where that is harmless; a timer answers
what waits. Every STEP_MS `_step` adds counts; every CARE_MS `_care` looks after servers and customers.
No clock, no input or output, no globals: time comes with each event and chance from one seeded generator.
"""

import math

from ashlift.gatekeeper.admission.counter import CALLS_GROUP, CALLS_MOST, CALLS_SAVED, PACK, STEP_MS, Counter
from ashlift.gatekeeper.admission.interface import Action, Admit, Cancel, ClientLeft, Counted, Effect, Event
from ashlift.gatekeeper.admission.interface import Fail, Outcome, Probed, Refuse, Request, Result, Send
from ashlift.gatekeeper.admission.interface import ServerList, SetTimer, Settings, Sharing, StreamStarted
from ashlift.gatekeeper.admission.interface import Subscribe, Timer
from ashlift.gatekeeper.admission.overload import PRESSED
from ashlift.gatekeeper.admission.quota import HARD_FACTOR, HEARD_KEPT
from ashlift.gatekeeper.admission.servers import HANG_PASSED, LIST_PAUSE_MS, Servers
from ashlift.gatekeeper.admission.state import Attempt, Customer, Live, ServerView

BLIND_WINDOWS = 0.5  # windows after which a request waits for the count that it has just caused
IDLE_MS = 30_000.0  # ms without a request until a customer is forgotten: its window and ceiling are full
CARE_MS = 250.0  # ms between rounds over all servers and customers: a hundred gateways each pay for them
HANG_USUAL = 6.0  # x usual latency, and
HANG_SLOWEST = 1.5  # x the slowest answer of late, without any answer, and
RETRY_SHARE = 0.15  # further attempts earned by each request
RETRY_SAVED = 10.0  # further attempts that can be saved up
LATE_SHARE = 0.3  # of the worth: under pressure answers that are worth this little late are not awaited
DEADLINE_TICKS = 1.5  # ticks before the client gives up at which the final answer is given
MAY_HAVE_RUN = (Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED)


class Gateway(Servers, Counter):
    """One gateway. Feed it events in order; do the actions it returns in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.calls_most = self.call_rate = min(CALLS_MOST, CALLS_GROUP / settings.group_size)
        self.calls, self.retries, self.list_pause = CALLS_SAVED, RETRY_SAVED, LIST_PAUSE_MS

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Take one event and return what to do."""
        self.actions = []
        if self.booted is None:
            self.booted = self.cared = now_ms
            # At random, or gateways that start together would call the counter together: its line is short.
            self.actions.append(SetTimer(0, STEP_MS * self.random.random()))
            if self.settings.subscribe:
                self.actions.append(Subscribe())
        match event:
            case Request():
                self._arrive(now_ms, event)
            case Outcome():
                self._ended(now_ms, event)
            case Timer(0):
                self._step(now_ms)
            case Timer():
                live = self.live.get(self.timers.pop(event.token, -1))
                if live and not live.streaming:
                    self._answer(live)  # its client is about to give up
            case Counted():
                if customer := self._counted(now_ms, event):
                    self._release(now_ms, customer)
            case ServerList():
                if self._list(now_ms, event):
                    self._care(now_ms)
            case Probed():
                self._probed(now_ms, event)
            case StreamStarted() if event.request in self.live:
                self._flowing(self.live[event.request], event)
            case ClientLeft():
                self._close(event.request)
            case Sharing():
                self.parts = max(1, event.parts)
        return self.actions

    def _arrive(self, now: float, ask: Request) -> None:
        if ask.request in self.live:
            return
        plan, customer = self.settings.plans[ask.plan], self.customers.get(ask.customer)
        if customer is None or customer.plan is not plan:
            quantum = max(1.0, plan.burst * 10 / PACK)  # so that PACK never overflows
            customer = Customer(ask.customer, plan, ask.set_size, now, self.booted or 0.0, quantum)
            self.customers[ask.customer] = customer
        else:
            customer.gap = (customer.gap + now - customer.seen) / 2
        customer.seen = now
        customer.tries += 1
        live = Live(ask, customer, now + self._patience(ask), self.random.random(), self.random.random())
        live.inside = self._admit(now, live)
        # Counted up to the hard limit alone: what one huge request asks for would fill the counter.
        asked = min(ask.units, HARD_FACTOR * plan.burst) if plan.rate > 0 else ask.units
        self._record(now, customer, asked, ask.units * live.inside)
        if not self._hold(now, live):
            self._enter(now, live)

    def _hold(self, now: float, live: Live) -> bool:
        """Whether to wait for the count that this request causes: its answer is back in milliseconds.

        A customer spread over many gateways comes by each so seldom that nothing read before still holds.
        While the counter answers, the same three regimes then decide here after the count, not before it.
        A cap on open attempts always waits: no count of them is true for longer than an attempt lasts.
        """
        customer, rated = live.customer, live.customer.plan.rate > 0
        if not self.settings.counter or customer.share >= 1 or not (rated or customer.plan.max_out):
            return False
        fresh = rated and now - customer.read_at < BLIND_WINDOWS * customer.window
        if fresh or self.failing_at <= now:
            return False
        if customer.calling is None and self.calls < 1:  # a lone late count would take the next one's call
            self._decide(now, live, live.inside and (not rated or self._worth_a_guess(customer)))
            self._pass_on(customer)
            return False
        if customer.calling is None:
            self.calls -= 1
            self.dirty.pop(customer.name, None)
            live.reserved = 0 if rated else 1
            customer.open += live.reserved
            (self._call if rated else self._call_open)(now, customer)
        self._expect(now, live)
        customer.held.append(live)
        return True

    def _release(self, now: float, customer: Customer) -> None:
        """Decide the held requests anew, with what the counter told or without."""
        held, customer.held = customer.held, []
        for live in held:
            customer.open -= live.reserved
            if live.ask.request in self.live:
                self._decide(now, live, self._admit(now, live))
                for tally in self._likes(customer) if customer.read_at == now else ():
                    tally.add(self._seen(now, customer)[0] <= customer.plan.burst, HEARD_KEPT)
                self._enter(now, live)
        if customer.plan.rate <= 0:
            self._open_changed(customer)

    def _decide(self, now: float, live: Live, inside: bool) -> None:
        """Decide anew whether the quota lets a request in."""
        self._record(now, live.customer, 0.0, live.ask.units * (inside - live.inside))
        live.inside = inside

    def _enter(self, now: float, live: Live) -> None:
        """Past the quota: room under the caps, the back end's state and a server decide."""
        ask, customer = live.ask, live.customer
        cause, server = "" if live.inside else "quota", None
        if not cause and not self._open_room(now, customer):
            cause = "open"
        if not cause and not ask.admit_only:  # the back end's state says nothing of what it is not sent
            cause = "pressure" if self._pressed(ask, customer.plan) else ""
            server = None if cause else self._pick(now, live)
            cause = cause or ("" if server else "no_server")
        if not cause and not self._take_ceiling(now, customer, ask.units):
            cause = "ceiling"
        if cause:
            self._record(now, customer, 0.0, -ask.units * live.inside)
            self.live.pop(ask.request, None)
            self.actions.append(self._refusal(ask.request, customer, cause))
            return
        if server is None:
            self.live.pop(ask.request, None)
            self.actions.append(Admit(ask.request))
            return
        self._expect(now, live)
        self.retries = min(RETRY_SAVED, self.retries + RETRY_SHARE)
        self._attempt(now, live, server)

    def _refusal(self, number: int, customer: Customer, cause: str) -> Refuse:
        """With advice: about the time in which one more request's units come free."""
        advice = min(self.settings.max_retry_after_ms, 1000 / (customer.plan.rate or 1.0))
        return Refuse(number, advice if self.settings.retry_after else 0.0, cause)

    def _expect(self, now: float, live: Live) -> None:
        if live.ask.request not in self.live:
            margin = DEADLINE_TICKS * self.settings.tick_ms
            self._keep(live, max(0.0, live.deadline - now - margin))

    def _patience(self, ask: Request) -> float:
        """No longer than an answer is worth something: work on late ones keeps a crowded fleet slow."""
        cls = self.settings.classes[ask.request_class]
        worthless = cls.late_share <= (LATE_SHARE if self.pressure > PRESSED else 0.0)
        return min(ask.patience_ms, cls.aim_ms) if worthless else ask.patience_ms

    def _attempt(self, now: float, live: Live, server: ServerView) -> None:
        ask, work = live.ask, self.usual[live.ask.request_class]
        attempt = Attempt(server, now, work, live.customer, ask.request_class)
        self.attempts[ask.request, live.tries] = attempt
        live.out.append(live.tries)
        live.tries += 1
        live.tried.append(server.entry.name)
        self._enter_core(attempt)
        self._opened(live.customer, 1)
        self.actions.append(Send(ask.request, server.entry.name, self._patience_with(now, live)))

    def _patience_with(self, now: float, live: Live) -> float:
        """How long an attempt is waited for. A connection may die without a word: where a repeat is harmless
        and there is time for one, an attempt that takes far longer than any answer of late is given up."""
        kind, left = live.ask.request_class, live.deadline - now
        usual, repeat = self.usual[kind], self.settings.classes[kind].effect is Effect.PURE
        hangs = max(HANG_USUAL * usual, HANG_SLOWEST * self.slowest[kind])
        again = repeat and live.tries < self.settings.max_attempts and self.pressure <= PRESSED
        return hangs if again and hangs + 2 * usual < left else left

    def _ended(self, now: float, event: Outcome) -> None:
        attempt = self.attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        flowed = attempt.flows
        self._leave_core(attempt)
        self._opened(attempt.customer, -1)
        self._learn(now, attempt, event, flowed)
        live = self.live.get(event.request)
        if live is None:
            return
        live.out.remove(event.attempt)
        if event.final:
            self._close(event.request)
            return
        if event.result in MAY_HAVE_RUN and live.may_run is None:
            live.may_run = (attempt.server.entry, attempt.at)
        if not live.out:
            self._again(now, live, free=event.result is Result.CONNECT_FAILED)

    def _again(self, now: float, live: Live, free: bool) -> None:
        """Send once more where the rules, the time left and the budget allow; else answer. The budget holds
        back work done twice: what reached no server (`free`) is none; it comes in floods from an old list."""
        left = live.deadline - now - DEADLINE_TICKS * self.settings.tick_ms
        in_time = left > self.usual[live.ask.request_class] / 2 and live.tries < self.settings.max_attempts
        may = in_time and not live.spent and (free or self.retries >= 1) and self._may_repeat(now, live, None)
        server = self._pick(now, live) if may else None
        if server is None:
            return self._answer(live)
        self.retries -= not free
        self._attempt(now, live, server)

    def _withdraw_hanging(self, now: float) -> None:
        """Withdraw attempts whose connection seems to have died without a word, where a repeat is harmless,
        and time and budget allow one: `_again` makes it when the attempt has ended."""
        for (number, at), attempt in self.attempts.items():
            live = self.live.get(number)
            if live is None or attempt.passed < HANG_PASSED or attempt.withdrawn or live.streaming:
                continue
            usual, slowest = self.usual[attempt.kind], self.slowest[attempt.kind]
            hangs = now - attempt.at > max(HANG_USUAL * usual, HANG_SLOWEST * slowest)
            again = live.tries < self.settings.max_attempts and live.deadline - now > 2 * usual
            pure = self.settings.classes[attempt.kind].effect is Effect.PURE
            if hangs and again and pure and self.retries >= 1:
                attempt.withdrawn = True
                self.actions.append(Cancel(number, at))

    def _answer(self, live: Live) -> None:
        """The final answer: a refusal promises that nothing has run, a failure promises nothing."""
        number, effect = live.ask.request, self.settings.classes[live.ask.request_class].effect
        # A client that waits for a long answer is told of a failure as such: it may ask for less.
        harmless = (effect is Effect.PURE and not live.ask.streamed) or not (live.may_run or live.out)
        cause = "late" if live.out or not live.tries else "unserved"
        self.actions.append(self._refusal(number, live.customer, cause) if harmless else Fail(number))
        self._close(number)

    def _close(self, number: int) -> None:
        live = self.live.pop(number, None)
        if live and self.settings.cancel and not live.streaming:
            self.actions.extend(Cancel(number, attempt) for attempt in live.out)

    def _step(self, now: float) -> None:
        self.actions.append(SetTimer(0, STEP_MS))
        self._adapt()
        self._return(now)
        if self.settings.cancel:
            self._withdraw_hanging(now)
        if self.settings.counter:
            self._sync(now)
        if now >= self.ask_at:
            self.ask_at = math.inf
            self.actions.append(Subscribe())
        if now - self.cared >= CARE_MS:
            self._care(now)

    def _care(self, now: float) -> None:
        """Look after all servers and customers: what needs no step-by-step attention."""
        dt = max(1.0, now - self.cared)
        self.cared = now
        self._tend(now, dt)
        customers = self.customers.values()
        for old in [c for c in customers if now > c.seen + IDLE_MS and not (c.open or c.calling)]:
            del self.customers[old.name]
            self.dirty.pop(old.name, None)
