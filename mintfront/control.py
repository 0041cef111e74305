"""All decisions of one gateway. Read interface.py first: it holds the settings, events and actions.

How a request passes: `_arrive` asks whether its customer's quota lets it in (`_admit`), perhaps after a count
(`_hold`); `_enter` asks for room under ceiling, cap and pressure, and for a server (`_pick`). `_ended` learns
from each attempt and sends again only where that is harmless; a timer answers what still waits. Every
STEP_MS `_step` adds counts to the counter (`_sync`); every CARE_MS `_care` looks after servers and customers.
No clock, no input or output, no globals: time comes with each event and chance from one seeded generator.
"""

import math
import random
import zlib

from mintfront.interface import (
    Action, Admit, Cancel, ClientLeft, Count, Counted, Effect, Event, Fail, KeyScope, Outcome, Plan,
    Probe, Probed, Refuse, Request, Result, Send, Server, ServerList, ServerState, SetTimer, Settings,
    Sharing, StreamStarted, Subscribe, Timer,
)  # fmt: skip
from mintfront.state import Attempt, Bucket, Customer, Live, ServerView

# ---- quota
HARD_FACTOR = 3.0  # x soft limit: up to it a spike goes on at the quota's rate by chance, beyond it in bursts
BUCKET_MS = 125.0  # ms, width of a window's buckets: eight in the last second
NEAR = 0.3  # x soft limit: from this use on a customer's counts can soon change a decision
NEAR_MS = 200.0  # ms between a near customer's counter calls: few requests pass unseen meanwhile
FAR_WINDOWS = 0.5  # windows between the calls of a customer that is not near its limit
FADE_WINDOWS = 2.0  # windows after which a reading says nothing: most customers are calm most of the time
FADE_GAPS = 6.0  # gaps between requests here, if longer: a customer seen seldom is read seldom
BLIND_WINDOWS = 0.5  # windows after which a request waits for the count that it has just caused
EPOCH_WINDOWS = 4.0  # windows that one counter name lasts: a change of name loses what others add late
NAME_LIFE_MS = 50_000.0  # ms, longest life of a name: the counter forgets all after 60 s
PACK = 1000  # total x PACK + accepted in one number: one call brings both (seven digits are told)
IDLE_MS = 30_000.0  # ms without a request until a customer is forgotten: its window and ceiling are full
OPEN_EPOCH_MS = 6_000.0  # ms that one name for open attempts lasts: a dead gateway's share goes with it
OPEN_STALE_MS = 1_500.0  # ms after which a count of open attempts is no longer believed
# ---- counter
STEP_MS = 50.0  # ms between rounds of housekeeping that cost next to nothing when nothing is due
CARE_MS = 250.0  # ms between rounds over all servers and customers: a hundred gateways each pay for them
CALLS_MOST = 120.0  # calls a second for one gateway, however small the group
CALLS_GROUP = 600.0  # calls a second for all gateways together, to begin with: answers tell what goes
CALLS_LEAST = 12.0  # calls a second, together, kept up while the counter fails, to notice its return
CALLS_RISE = 0.02  # of the full share, each answer
CALLS_CUT = 0.7  # x, each call that failed
CALLS_CROWDED = 0.9  # x, each call that was turned away: a few are, in any bunch of calls
CUT_MS = 100.0  # ms between two cuts
CALLS_SAVED = 3.0  # calls saved up beyond a quarter second's: few requests come in bunches
CALLS_KEPT = 2.0  # calls kept for requests that wait, in a large group: what is told late decides nothing
FAILS_ROW = 3  # calls lost in a row that tell of a dead counter: a crowded one loses some, and calls are rare
# ---- servers
SUBSET = 8  # servers that a gateway with little traffic goes by: often enough seen to be judged
COVER = 12  # gateways that go by one server: their uneven traffic evens out over so many
GOLDEN = (5**0.5 - 1) / 2  # steps of so much of a circle come to lie evenly, however many they are
LATENCY_GAIN = 0.15  # weight of one answer in a server's latency ratio: about seven answers
LATENCY_MOST = 0.5  # weight at most: one answer alone does not leave a server out
LATENCY_MS = 10_000.0  # ms in which a judgement grows old: a server seen seldom is judged anew each time
CLASS_GAIN = 0.02  # weight of one answer in a class's usual latency: about fifty answers
SLOWER = 1.5  # x usual latency up to which servers count as alike: single answers vary more than machines
HANG_USUAL = 6.0  # x usual latency, and
HANG_SLOWEST = 1.5  # x the slowest answer of late, without any answer, and
HANG_PASSED = 3  # later attempts that its server has answered meanwhile: an attempt hangs, not its server
SLOWEST_FADE = 0.998  # x, each answer: halves in about 350
SUSPECT_AFTER = 3.0  # x usual latency without any answer: a silent server counts as that slow
LOAD_FADE_MS = 1_000.0  # ms in which a load report loses its meaning
EJECT_RATIO = 3.0  # x a sound server's latency: such a server is left out
EJECT_FAILS = 2  # failed connections, resets or errors in a row that leave a server out
EJECT_MS = 1_000.0  # ms left out at first, doubled each time
EJECT_LONGEST_MS = 8_000.0  # ms
EJECT_SHARE = 0.7  # at most this share of servers is left out for being slow: chance must not empty the list
MUTE_STEP = 0.4  # added to a server's mark for a class that it left unanswered, at most 1
MUTE_COST = 20.0  # x cost of a server with a full mark: taken only when there is no other
COLD_SAFETY = 0.5  # x the rule's multiple: true capacities and the load on the warm servers are not known
RETRY_SHARE = 0.15  # further attempts earned by each request
RETRY_SAVED = 10.0  # further attempts that can be saved up
LIST_PAUSE_MS = 250.0  # ms, half the pause after a first failed call for the list, doubled each time
# ---- overload
PRESSURE_GAIN = 0.06  # weight of one answer in the measure of pressure: about sixteen answers
PRESSED = 0.4  # mean latency over aim: above this, many of the answers come too late
LATE_SHARE = 0.3  # of the worth: under pressure answers that are worth this little late are not awaited
OVERDUE = 0.5  # x aim: an attempt that ended unanswered after this long tells of a late server
START_EACH = 4.0  # attempts a server, all gateways together, at the start: more is found out step by step
FLOOR_EACH = 3.0  # attempts a server, all gateways together, that stay allowed: less would idle its cores
LIMIT_CUT = 0.97  # x, each step under pressure: halves in about a second
LIMIT_RISE = 0.02  # attempts a server, each step without pressure: added, so that gateways even out
POOL = 10.0  # attempts out: a limit below it is held on average only, for a few requests come in bunches
SCATTER = 1.0  # x the root of a mean: all but a few of a hundred moments lie below
VALUE_GAIN = 0.02  # weight of one request in the mean value
DEADLINE_TICKS = 1.5  # ticks before the client gives up at which the final answer is given
SILENT = (Result.TIMEOUT, Result.CANCELLED)
MAY_HAVE_RUN = (Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED)


class Gateway:
    """One gateway. Feed it events in order; do the actions it returns in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.booted: float | None = None
        self.customers: dict[str, Customer] = {}
        self.dirty: dict[str, Customer] = {}
        self.names: dict[int, tuple[Customer, bool]] = {}
        self.servers: dict[str, ServerView] = {}
        self.live: dict[int, Live] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.timers: dict[int, int] = {}
        self.usual = [cls.aim_ms / 4 for cls in settings.classes]  # ms, until answers tell
        self.slowest = [*self.usual]
        self.calls_most = min(CALLS_MOST, CALLS_GROUP / settings.group_size)
        self.calls, self.call_rate, self.cut_at = CALLS_SAVED, self.calls_most, -math.inf
        self.retries, self.next_token = RETRY_SAVED, 1
        self.out, self.mean_out, self.limit, self.pressure, self.mean_value = 0, 0.0, 0.0, 0.0, 0.0
        self.sound_ratio, self.fleet, self.answers = 1.0, 0.0, 0
        self.cared, self.list_pause, self.ask_at = 0.0, LIST_PAUSE_MS, math.inf
        self.subset: list[ServerView] = []
        self.round = 0.0  # where the servers' round stands, ms of work
        # How much wider the load of one gateway scatters than its share of all: none where there is no other.
        self.unseen = 1 - 1 / math.sqrt(settings.group_size)
        self.suspects: dict[str, ServerView] = {}  # left out until a probe (or else a request) is answered
        self.failed = 0  # calls to the counter in a row
        self.failing_at = math.inf  # when the counter last began to fail
        self.parts = 1  # processes that this gateway runs as, side by side
        self.actions: list[Action] = []

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
                self._counted(now_ms, event)
            case ServerList():
                self._list(now_ms, event)
            case Probed():
                self._probed(now_ms, event)
            case StreamStarted() if event.request in self.live:
                self._flowing(self.live[event.request], event)
            case ClientLeft():
                self._close(event.request)
            case Sharing():
                self.parts = max(1, event.parts)
        return self.actions

    # ---- a request from arrival to answer

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
        spare = customer.calling is not None or self.calls >= 1
        if not spare:
            self.dirty.pop(customer.name, None)  # a lone late count would take the call of the next request
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
                self._record(now, customer, 0.0, -live.ask.units * live.inside)
                live.inside = self._admit(now, live)
                self._record(now, customer, 0.0, live.ask.units * live.inside)
                self._enter(now, live)

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
            self.live[live.ask.request] = live
            token, self.next_token = self.next_token, self.next_token + 1
            self.timers[token] = live.ask.request
            margin = DEADLINE_TICKS * self.settings.tick_ms
            self.actions.append(SetTimer(token, max(0.0, live.deadline - now - margin)))

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
        server.out += 1
        server.work += work
        if server.out == 1:
            server.heard = max(server.heard, now)
        self.out += 1
        live.customer.open += 1
        self._open_changed(live.customer)
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
        self._learn(now, attempt, event)
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

    def _flowing(self, live: Live, event: StreamStarted) -> None:
        """Bodies that move are timed where they do; they take no core that a request could wait for."""
        live.streaming, live.spent = True, live.spent or event.spent
        attempt = self.attempts.get((event.request, event.attempt))
        if attempt is not None:
            self._leave_core(attempt)

    def _leave_core(self, attempt: Attempt) -> None:
        if not attempt.flows:
            attempt.flows = True
            attempt.server.out -= 1
            attempt.server.work -= attempt.work
            self.out -= 1

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

    def _may_repeat(self, now: float, live: Live, server: Server | None) -> bool:
        """Whether one more attempt (on this server) cannot make the effect happen twice."""
        cls = self.settings.classes[live.ask.request_class]
        if live.may_run is None or cls.effect is Effect.PURE:
            return True
        if cls.effect is Effect.UNSAFE:
            return False
        first, at = live.may_run
        if now >= at + cls.key_ttl_ms - 2 * self.settings.tick_ms:
            return False
        if server is None or cls.key_scope is KeyScope.ALL:
            return True
        return server.zone == first.zone if cls.key_scope is KeyScope.ZONE else server.cell == first.cell

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

    # ---- quota: three regimes over a window of buckets

    def _seen(self, now: float, customer: Customer) -> tuple[float, float, float]:
        """Units in the window (total, accepted) and in the last second, all gateways together.

        Since the last reading the others are taken to go on as they did, ever less so; once the counter
        fails, has no call to spare or has not told yet, to use an even share of the quota.
        """
        buckets, window = customer.buckets, customer.window
        for old in [at for at in buckets if (at + 1) * BUCKET_MS <= now - max(window, 1000.0)]:
            del buckets[old]
        total = accepted = last = 0.0
        for at, bucket in buckets.items():
            end = (at + 1) * BUCKET_MS
            if end > now - window:
                total += bucket.total + bucket.far_total
                accepted += bucket.accepted + bucket.far_accepted
            if end > now - 1000.0:
                last += bucket.total + bucket.far_total
        if customer.share < 1:
            stale = now - customer.read_at
            # One request passes unheard: a small share of the quota would otherwise be less than one.
            one = self.settings.max_units * 1000 / window
            even = max(0.0, customer.plan.rate - max(one, customer.plan.rate * customer.share))
            # Crowded out is as blinding as a dead counter: unheard, every gateway would grant all.
            failing = now - min(self.failing_at, customer.starved_at, now if self.settings.counter else -1e9)
            blind = 1.0 if stale == math.inf else min(1.0, failing / window)
            fades = max(0.0, 1 - stale / max(FADE_WINDOWS * window, FADE_GAPS * customer.gap))
            # Unheard, what is asked elsewhere may be as much as here, or all would grant the same chance;
            # but few requests speak for few others.
            here = total * (min(1 / customer.share, max(1.0, total)) - 1) * 1000 / window
            asked = max(customer.far_asked * fades, blind * max(even, here))
            rate = max(customer.far_rate * fades, blind * even)
            total += asked * min(stale, window) / 1000
            accepted += rate * min(stale, window) / 1000
            last += asked * min(stale, 1000.0) / 1000
        return total, accepted, last

    def _admit(self, now: float, live: Live) -> bool:
        customer, plan, units = live.customer, live.customer.plan, live.ask.units
        if plan.rate <= 0:
            return True
        total, accepted, last = self._seen(now, customer)
        customer.near = (accepted + units) / plan.burst
        if now < customer.over_until or units > plan.burst:
            return False
        if customer.near <= 1:
            return True
        if total >= plan.burst * HARD_FACTOR:
            return False
        perceived = max(total * 1000 / customer.window, last)
        return live.chance >= (1 - plan.rate / perceived if perceived > 0 else 0.0)

    def _record(self, now: float, customer: Customer, asked: float, accepted: float) -> None:
        bucket = customer.buckets.setdefault(int(now // BUCKET_MS), Bucket())
        bucket.total += asked
        bucket.accepted += accepted
        customer.fresh_total += asked
        customer.fresh_accepted += accepted
        if customer.plan.rate > 0 and self.settings.counter and customer.share < 1 and (asked or accepted):
            self.dirty[customer.name] = customer

    def _take_ceiling(self, now: float, customer: Customer, units: float) -> bool:
        plan, share = customer.plan, customer.share / self.parts
        grown = customer.ceiling + plan.ceiling_rate * share * (now - customer.ceiling_at) / 1000
        customer.ceiling, customer.ceiling_at = min(plan.ceiling_burst * share, grown), now
        taken = units if plan.ceiling_rate > 0 and customer.ceiling >= units else 0.0
        customer.ceiling -= taken
        return plan.ceiling_rate <= 0 or taken > 0

    def _open_room(self, now: float, customer: Customer) -> bool:
        most = customer.plan.max_out
        if now - customer.open_read_at > OPEN_STALE_MS or not self.settings.counter:
            return not most or customer.open + 1 <= max(1.0, most * customer.share / self.parts)
        return not most or customer.open + customer.open_far < most

    def _open_changed(self, customer: Customer) -> None:
        if customer.plan.max_out and customer.open != customer.open_sent:
            self.dirty[customer.name] = customer

    # ---- the shared counter

    def _sync(self, now: float) -> None:
        """Add fresh counts, nearest to their limit first, as far as the call budget goes."""
        self.calls = min(self.call_rate / 4 + CALLS_SAVED, self.calls + self.call_rate * STEP_MS / 1000)
        waits = {True: 0.0, False: FAR_WINDOWS}  # windows, for those near their limit and the others
        fresh = [c for c in self.dirty.values() if c.fresh_total or c.fresh_accepted or c.plan.rate <= 0]
        self.dirty = {c.name: c for c in fresh}
        due = [c for c in fresh if not c.calling and now >= c.call_at + waits[c.near >= NEAR] * c.window]
        due.sort(key=lambda customer: -customer.near)
        for customer in due:
            if self.calls < 1 + CALLS_KEPT * self.unseen:
                customer.starved_at = min(customer.starved_at, now)
                continue
            self.calls -= 1
            del self.dirty[customer.name]
            (self._call if customer.plan.rate > 0 else self._call_open)(now, customer)

    def _call(self, now: float, customer: Customer) -> None:
        life = min(NAME_LIFE_MS / 2, EPOCH_WINDOWS * customer.window)
        epoch = int((now + customer.phase % 60_000) // life)
        if epoch != customer.epoch:
            customer.epoch = epoch
            customer.mine_total = customer.mine_accepted = customer.far_total = customer.far_accepted = 0.0
            customer.doubt_total = customer.doubt_accepted = 0.0
        quantum = customer.quantum
        total, accepted = int(customer.fresh_total / quantum), int(customer.fresh_accepted / quantum)
        # Accepted may be below 0: a held request was refused after all.
        total = max(0, min(total, int(10 * PACK * customer.share - customer.mine_total) - 1))
        customer.fresh_total -= total * quantum
        customer.fresh_accepted -= accepted * quantum
        customer.call_at = now + NEAR_MS
        self._count(customer, "use", epoch, (total, accepted), min(NAME_LIFE_MS, 2 * life))

    def _count(self, customer: Customer, kind: str, epoch: int, parts: tuple[int, int], life: float) -> None:
        name = zlib.crc32(f"{kind}{epoch}".encode(), customer.phase) << 20 | customer.phase & 0xFFFFF
        customer.calling = (name, *parts)
        self.names[name] = (customer, kind == "open")
        self.actions.append(Count(name, parts[0] * (1 if kind == "open" else PACK) + parts[1], life))

    def _call_open(self, now: float, customer: Customer) -> None:
        epoch = int((now + customer.phase % 60_000) // OPEN_EPOCH_MS)
        if epoch != customer.open_epoch:
            customer.open_epoch, customer.open_sent = epoch, 0
        self._count(customer, "open", epoch, (customer.open - customer.open_sent, 0), 2 * OPEN_EPOCH_MS)

    def _counted(self, now: float, event: Counted) -> None:
        customer, is_open = self.names.pop(event.name, (None, False))
        if customer is None or customer.calling is None or customer.calling[0] != event.name:
            return
        _, total, accepted = customer.calling
        customer.calling = None
        ok, full = event.result is Result.OK, event.result is Result.FULL
        self.failed = 0 if ok or full else self.failed + 1  # turned away is crowded; silent or refusing fails
        self.failing_at = min(self.failing_at, now) if self.failed >= FAILS_ROW else math.inf
        if ok:
            self.call_rate = min(self.calls_most, self.call_rate + CALLS_RISE * self.calls_most)
        elif now >= self.cut_at + CUT_MS:  # calls that fail together have one cause
            least, cut = CALLS_LEAST / self.settings.group_size, CALLS_CROWDED if full else CALLS_CUT
            self.call_rate, self.cut_at = max(least, self.call_rate * cut), now
        # A time-out may have added, and so may a service that is over its limit: never add again.
        added = event.result in (Result.OK, Result.TIMEOUT)
        told = event.result is Result.OK and not event.over
        if event.result is Result.OK:
            customer.over_until = now + customer.window if event.over else -math.inf
        if is_open:
            customer.open_sent += total if added else 0
            if event.result is Result.OK:
                customer.open_far = max(0.0, event.total - customer.open_sent) if told else math.inf
                customer.open_read_at = now
            self._release(now, customer)
            self._open_changed(customer)
            return
        if added:
            customer.mine_total += total
            customer.mine_accepted += accepted
            if event.result is Result.TIMEOUT:
                customer.doubt_total += total
                customer.doubt_accepted += accepted
        else:
            customer.fresh_total += total * customer.quantum
            customer.fresh_accepted += accepted * customer.quantum
            self.dirty[customer.name] = customer
        if told:
            self._read(now, customer, round(event.total), (total, accepted))
        self._release(now, customer)

    def _read(self, now: float, customer: Customer, level: int, added: tuple[float, float]) -> None:
        """Take the others' new units from a total and lay them over the time since the last reading."""
        all_total, all_accepted = divmod(level, PACK)
        short = customer.mine_total + customer.far_total - all_total
        if 0 < short <= customer.doubt_total:
            # Calls without an answer were never added. Guards against taking all of the total for news.
            # They go along with the next call: the others must hear of them.
            lost = round(short / customer.doubt_total * customer.doubt_accepted)
            customer.mine_total -= short
            customer.mine_accepted -= lost
            customer.doubt_total -= short
            customer.doubt_accepted -= lost
            customer.fresh_total += short * customer.quantum
            customer.fresh_accepted += lost * customer.quantum
            self.dirty[customer.name] = customer
        elif short > 0:  # the counter came back empty
            customer.mine_total, customer.mine_accepted = added
            customer.doubt_total = customer.doubt_accepted = 0.0
            customer.far_total = customer.far_accepted = 0.0
        total = max(0.0, all_total - customer.mine_total - customer.far_total)
        accepted = all_accepted - customer.mine_accepted - customer.far_accepted
        customer.far_total += total
        customer.far_accepted += accepted
        since = now - (now + customer.phase % 60_000) % min(NAME_LIFE_MS / 2, EPOCH_WINDOWS * customer.window)
        first, last = int(max(since, customer.read_at) // BUCKET_MS), int(now // BUCKET_MS)
        for at in range(max(first, last - int(customer.window / BUCKET_MS)), last + 1):
            bucket = customer.buckets.setdefault(at, Bucket())
            bucket.far_total += total * customer.quantum / (last - first + 1)
            bucket.far_accepted += accepted * customer.quantum / (last - first + 1)
        customer.read_at, customer.starved_at = now, math.inf
        per_s = 1000 / max(customer.window, 1000.0)
        customer.far_rate = sum(bucket.far_accepted for bucket in customer.buckets.values()) * per_s
        customer.far_asked = sum(bucket.far_total for bucket in customer.buckets.values()) * per_s

    # ---- servers

    def _list(self, now: float, event: ServerList) -> None:
        if event.servers is None:
            # Asked again with growing pauses: a list service that is overwhelmed must not be asked at once.
            self.list_pause = min(EJECT_LONGEST_MS, 2 * self.list_pause)
            self.ask_at = now + self.list_pause if self.settings.subscribe else math.inf
            return
        self.list_pause, self.ask_at = LIST_PAUSE_MS, math.inf
        if event.complete:
            named = {entry.name for entry in event.servers}
            self.servers = {name: view for name, view in self.servers.items() if name in named}
        for entry in event.servers:
            view = self.servers.get(entry.name)
            if entry.state is ServerState.GONE:
                self.servers.pop(entry.name, None)
            elif view is None:
                self.servers[entry.name] = ServerView(entry, EJECT_MS)
            else:
                if entry.ready_at_ms > view.entry.ready_at_ms:
                    view.out_until, view.fails, view.ratio, view.backoff = -math.inf, 0, 1.0, EJECT_MS
                    view.turn = None
                    self.suspects.pop(entry.name, None)
                view.entry = entry
        self.suspects = {name: view for name, view in self.suspects.items() if name in self.servers}
        self._choose_subset()
        self._care(now)

    def _choose_subset(self) -> None:
        """The few servers it goes by, as its traffic can judge no more and as a server holds only so many
        connections: a stretch of one order for all. Stretches begin at steps of the golden section, so that
        any number of gateways cover all servers alike, and a server more or less moves them by one."""
        order = sorted(self.servers.values(), key=lambda view: zlib.crc32(view.entry.name.encode()))
        most = max(SUBSET, math.ceil(COVER * len(order) / self.settings.group_size))
        start = int(self.settings.me * GOLDEN % 1 * len(order))
        self.subset = (order[start:] + order[:start])[:most]

    def _warmth(self, now: float, entry: Server) -> float:
        """Share of its capacity that a server has at least, as the settings promise it."""
        cfg, age = self.settings, max(0.0, now - entry.ready_at_ms)
        if entry.ready_at_ms <= 0 or age >= cfg.cold_ms:
            return 1.0
        return cfg.cold_from + (1 - cfg.cold_from) * age / cfg.cold_ms

    def _pick(self, now: float, live: Live) -> ServerView | None:
        """The server that should answer first: least work out for its capacity, weighed by its latency."""
        best = self._best(now, live, self.subset)
        few = len(self.subset) < len(self.servers) and (best is None or now < best.out_until)
        return self._best(now, live, [*self.servers.values()]) if few else best

    def _best(self, now: float, live: Live, among: list[ServerView]) -> ServerView | None:
        work = self.usual[live.ask.request_class]
        usual = sum(self.usual) / len(self.usual)
        best: ServerView | None = None
        best_cost, best_share, paces = math.inf, 0.0, 0.0
        # What is out here tells the least loaded server only where it is several each: one of many gateways
        # has nothing out at most of them, and all would shun the same cold ones. It goes round them instead:
        # a server's turn moves on by what it is sent at its own pace, the round by that at the pace of all.
        thin = self.mean_out < len(among) * self.unseen / 2
        for view in among:
            entry = view.entry
            if entry.state is not ServerState.READY or not self._may_repeat(now, live, entry):
                continue
            warmth = self._warmth(now, entry)
            pace = entry.size * warmth
            mark = view.mute.get(live.ask.request_class, 0.0)
            if view.turn is None or mark or now < view.out_until:
                # At random within its share, or all gateways would send to one that comes (back) at once.
                view.turn = self.round + work / pace * self.random.random()
            else:  # bounded: what kept it from its turns, or gave it others', is no reason to make up for it
                view.turn = max(self.round - work / 2, min(self.round + 2 * work / pace, view.turn))
                paces += pace
            # All gateways together send a cold server this share of what a warm one gets, however many they
            # are; with nothing but cold ones the rest is refused. One draw serves all attempts.
            if warmth < 1 and live.luck >= self.settings.fall_multiple * COLD_SAFETY * warmth:
                continue
            ratio = max(1.0, view.ratio / self.sound_ratio / SLOWER)
            if view.out:
                ratio = max(ratio, (now - view.heard) / (SUSPECT_AFTER * usual))
            there = view.work + view.load * work
            cost = there / pace + work + view.turn - self.round if thin else (there + work) / pace
            cost *= ratio
            cost *= 1 + 0.02 * self.random.random()
            cost += MUTE_COST * mark * work / pace
            if entry.name in live.tried:
                cost += 1e6
            if now < view.out_until:
                cost += 1e9
            if cost < best_cost:
                best, best_cost, best_share = view, cost, work / pace * ratio
        if thin and best is not None and best.turn is not None:
            best.turn += best_share
            self.round += work / max(1.0, paces)
        return best

    def _learn(self, now: float, attempt: Attempt, event: Outcome) -> None:
        view, kind, flowed = attempt.server, attempt.kind, attempt.flows
        self._leave_core(attempt)
        attempt.customer.open -= 1
        self._open_changed(attempt.customer)
        broke = event.result in (Result.CONNECT_FAILED, Result.RESET, Result.ERROR)
        if broke or (flowed and event.result is Result.TIMEOUT):  # the latter stopped amid a body
            # A server that fails fast looks idle and draws ever more requests, whatever ails it.
            view.fails += 1
            # Where nobody listens, one refusal tells: a gateway that comes by seldom has no second one soon.
            if view.fails >= EJECT_FAILS or event.result is Result.CONNECT_FAILED:
                self._eject(now, view)
        elif event.result in (Result.OK, Result.FULL):
            view.heard, view.fails = now, 0
        if event.load and "busy_reqs" in self.settings.report_fields:
            busy = event.load[self.settings.report_fields.index("busy_reqs")]
            view.load = max(0.0, busy - view.out)
        aim = self.settings.classes[kind].aim_ms
        # Pressure is the fleet's: a server known to be bad or cut off says nothing of the others.
        gain = PRESSURE_GAIN if now >= view.out_until and view.ratio <= 2 * self.sound_ratio else 0.0
        self.answers += gain > 0
        overdue = event.waited_ms >= OVERDUE * aim and event.result in SILENT and attempt.passed < HANG_PASSED
        overdue = overdue and not flowed  # its client may have been what held it up
        if event.result is Result.OK:
            view.mute.pop(kind, None)
            relative = event.waited_ms / max(1.0, self.usual[kind])
            self.slowest[kind] = max(event.waited_ms, SLOWEST_FADE * self.slowest[kind])
            for other in self.attempts.values():
                other.passed += other.server is view and other.at < attempt.at
            self.usual[kind] += CLASS_GAIN * (event.waited_ms - self.usual[kind])
            self._observe(now, view, relative)
            self.pressure += gain * (min(2.0, event.waited_ms / aim) - self.pressure)
        elif event.result is Result.FULL or overdue:
            # Withdrawn at the aim it is as late as a time-out: unheard, overload would look like calm.
            # Marked by class: a server may leave one unanswered and serve the others; with two it is all.
            mark = view.mute.get(kind, 0.0)
            if overdue:
                view.mute[kind] = min(1.0, mark + MUTE_STEP)
            if event.result is Result.FULL or len(view.mute) >= min(2, len(self.usual)):
                self._observe(now, view, 2 * EJECT_RATIO)
            self.pressure += gain * (mark < MUTE_STEP) * (2.0 - self.pressure)

    def _observe(self, now: float, view: ServerView, relative: float) -> None:
        gain = max(LATENCY_GAIN, min(LATENCY_MOST, (now - view.judged) / LATENCY_MS))
        view.judged = now
        view.ratio += gain * (min(relative, 4 * EJECT_RATIO) - view.ratio)
        if view.ratio <= EJECT_RATIO * self.sound_ratio:
            return
        left_out = sum(1 for other in self.subset if now < other.out_until)
        if left_out + 1 <= EJECT_SHARE * len(self.subset):
            self._eject(now, view)
            view.ratio = self.sound_ratio * EJECT_RATIO / 2

    def _eject(self, now: float, view: ServerView) -> None:
        if now >= view.out_until:
            view.out_until = now + view.backoff
            self.suspects[view.entry.name] = view
            view.backoff = min(EJECT_LONGEST_MS, 2 * view.backoff)

    def _probed(self, now: float, event: Probed) -> None:
        view = self.suspects.get(event.server)
        if view and event.result is Result.OK:
            view.out_until, view.fails = now, 0
            del self.suspects[event.server]
        elif view:
            view.out_until = -math.inf
            self._eject(now, view)

    # ---- overload

    def _pressed(self, ask: Request, plan: Plan) -> bool:
        """Whether attempts out fill the limit that answers in time; more worth for its work may fill more."""
        cls = self.settings.classes[ask.request_class]
        value = cls.worth * plan.price * ask.units / max(1.0, self.usual[ask.request_class])
        self.mean_value += VALUE_GAIN * (value - self.mean_value)
        rank = value / (value + self.mean_value) if value > 0 else 0.0
        # A small share of the fleet is a limit of less than one: the mean over arrivals stands for it then.
        self.mean_out += min(1.0, self.limit / POOL) * (self.out - self.mean_out)
        # And its share is a mean: what is out of it at a moment scatters by the root. Only under pressure is
        # the scatter held down too, or forty gateways would turn away work that the fleet has room for.
        calm = max(0.0, 1 - self.pressure / PRESSED)
        scatter = SCATTER * calm * self.unseen * math.sqrt(max(0.0, self.limit))
        return self.limit > 0 and self.mean_out >= self.limit * (0.75 + 0.5 * rank) + scatter

    def _step(self, now: float) -> None:
        self.actions.append(SetTimer(0, STEP_MS))
        each = len(self.servers) / self.settings.group_size
        if self.limit <= 0:
            self.limit = START_EACH * each
        elif self.pressure > PRESSED:
            # Paced by answers: with few out, news is rare, and cuts on old news would go far too deep.
            cut = LIMIT_CUT if self.answers else 1.0
            self.limit = max(FLOOR_EACH * each, min(self.limit, self.mean_out) * cut)
        elif self.mean_out > 0.7 * self.limit:
            self.limit += LIMIT_RISE * each
        self.answers = 0
        for view in [view for view in self.suspects.values() if now >= view.out_until]:
            # Its return is asked for with a probe, not with somebody's request.
            if self.settings.probing:
                view.out_until = now + view.backoff
                self.actions.append(Probe(view.entry.name))
            else:
                del self.suspects[view.entry.name]
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
        views = self.servers.values()
        fleet = sum(view.entry.size * self._warmth(now, view.entry) for view in views)
        self.limit *= fleet / self.fleet if self.fleet > 0 else 1.0  # a fleet that grows can take more
        self.fleet = fleet
        # Relative to the better quarter: a slow fleet has no slow servers, one cut off has sound ones left.
        ratios = sorted(view.ratio for view in self.subset)
        self.sound_ratio = max(1.0, ratios[len(ratios) // 4]) if ratios else 1.0
        for view in views:
            view.ratio += dt / 10_000 * (1.0 - view.ratio)
            if view.mute:
                view.mute = {kind: mark - dt / LATENCY_MS for kind, mark in view.mute.items() if mark > 0.1}
            view.load *= max(0.0, 1 - dt / LOAD_FADE_MS)  # an old report must not keep us away for good
            if now > view.out_until + EJECT_LONGEST_MS:
                view.backoff = EJECT_MS
        customers = self.customers.values()
        for old in [c for c in customers if now > c.seen + IDLE_MS and not (c.open or c.calling)]:
            del self.customers[old.name]
            self.dirty.pop(old.name, None)
