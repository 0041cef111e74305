"""The gateway: turns events into actions. Time comes with each event, chance from one seeded generator."""

import math

from ashlift.gatekeeper.admission.counter import GROUP_CALL_RATE, MAX_CALL_RATE, MAX_SAVED_CALLS, PACK_FACTOR
from ashlift.gatekeeper.admission.counter import STEP_INTERVAL_MS, CounterSync
from ashlift.gatekeeper.admission.interface import Action, Admit, AttemptEnded, Cancel, ClientDisconnected
from ashlift.gatekeeper.admission.interface import CounterCallEnded, Effect, Event, Fail, ProbeEnded
from ashlift.gatekeeper.admission.interface import ProcessCountChanged, Refuse, Request, Result, Send
from ashlift.gatekeeper.admission.interface import ServerList, SetTimer, Settings, StreamStarted
from ashlift.gatekeeper.admission.interface import Subscribe, Timer
from ashlift.gatekeeper.admission.overload import HIGH_PRESSURE
from ashlift.gatekeeper.admission.quota import ADHERENCE_DECAY, HARD_LIMIT_FACTOR
from ashlift.gatekeeper.admission.servers import HUNG_LATER_ANSWERS, LIST_RETRY_MS, ServerSelection
from ashlift.gatekeeper.admission.state import Attempt, Customer, PendingRequest, ServerStats

FRESH_TOTAL_WINDOWS = 0.5  # age in quota windows up to which a counter total is used without a new call
CUSTOMER_IDLE_MS = 30_000.0  # without requests; then its state is dropped, as its quota is full again
MAINTENANCE_MS = 250.0  # between passes over all servers and customers, for which each gateway pays
HUNG_USUAL_FACTOR = 6.0  # an attempt is hung after this many times the usual latency of its class,
HUNG_SLOWEST_FACTOR = 1.5  # and this many times its slowest recent latency
RETRIES_PER_REQUEST = 0.15  # retry tokens that each request adds
MAX_RETRY_TOKENS = 10.0
LOW_LATE_VALUE_RATIO = 0.3  # under overload, answers worth no more than this when late are not awaited
MARGIN_TICKS = 1.5  # between the final answer and the client's deadline
MAY_HAVE_RUN = (Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED)


class Gateway(ServerSelection, CounterSync):
    """Takes events in order of time; the caller carries out the returned actions in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.max_call_rate = self.call_rate = min(MAX_CALL_RATE, GROUP_CALL_RATE / settings.gateway_count)
        self.call_tokens = MAX_SAVED_CALLS
        self.retry_tokens, self.list_retry_ms = MAX_RETRY_TOKENS, LIST_RETRY_MS

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Process one event and return the actions that it causes."""
        self.actions = []
        if self.started_at is None:
            self.started_at = self.maintained_at = now_ms
            # A random offset keeps gateways that start together from calling the counter together.
            self.actions.append(SetTimer(0, STEP_INTERVAL_MS * self.random.random()))
            if self.settings.subscribe_enabled:
                self.actions.append(Subscribe())
        match event:
            case Request():
                self._on_request(now_ms, event)
            case AttemptEnded():
                self._on_attempt_ended(now_ms, event)
            case Timer(0):
                self._on_step_timer(now_ms)
            case Timer():
                pending = self.pending.get(self.timers.pop(event.token, -1))
                if pending and not pending.streaming:
                    self._give_final_answer(pending)
            case CounterCallEnded():
                if customer := self._on_counter_call_ended(now_ms, event):
                    self._release_held(now_ms, customer)
            case ServerList():
                if self._update_servers(now_ms, event):
                    self._maintain(now_ms)
            case ProbeEnded():
                self._on_probe_ended(now_ms, event)
            case StreamStarted() if event.request_id in self.pending:
                self._on_stream_started(self.pending[event.request_id], event)
            case ClientDisconnected():
                self._close(event.request_id)
            case ProcessCountChanged():
                self.process_count = max(1, event.process_count)
        return self.actions

    def _on_request(self, now: float, request: Request) -> None:
        if request.request_id in self.pending:
            return
        plan, customer = self.settings.plans[request.plan], self.customers.get(request.customer)
        if customer is None or customer.plan is not plan:
            units_per_count = max(1.0, plan.burst * 10 / PACK_FACTOR)  # coarse enough for packed totals
            name, started_at = request.customer, self.started_at or 0.0
            customer = Customer(name, plan, request.gateway_count, now, started_at, units_per_count)
            self.customers[name] = customer
        else:
            customer.request_gap_ms = (customer.request_gap_ms + now - customer.last_request_at) / 2
        customer.last_request_at = now
        customer.request_count += 1
        deadline = now + self._useful_ms(request)
        pending = PendingRequest(request, customer, deadline, self.random.random(), self.random.random())
        pending.within_quota = self._fits_quota(now, pending)
        # Counted up to the hard limit only: one huge request would overflow the counter.
        asked = min(request.units, HARD_LIMIT_FACTOR * plan.burst) if plan.rate > 0 else request.units
        self._record(now, customer, asked, request.units * pending.within_quota)
        if not self._hold_for_count(now, pending):
            self._dispatch(now, pending)

    def _hold_for_count(self, now: float, pending: PendingRequest) -> bool:
        """Whether the request waits for a counter call, as the last total may be outdated."""
        customer, rated = pending.customer, pending.customer.plan.rate > 0
        limited = rated or customer.plan.max_in_flight
        if not self.settings.counter_enabled or customer.gateway_share >= 1 or not limited:
            return False
        fresh = rated and now - customer.total_read_at < FRESH_TOTAL_WINDOWS * customer.window_ms
        if fresh or self.counter_failing_since <= now:
            return False
        if customer.pending_call is None and self.call_tokens < 1:
            guess = pending.within_quota and (not rated or self._is_guess_profitable(customer))
            self._set_within_quota(now, pending, guess)
            self._defer_counts(customer)
            return False
        if customer.pending_call is None:
            self.call_tokens -= 1
            self.unsent.pop(customer.name, None)
            pending.reserved_in_flight = 0 if rated else 1
            customer.in_flight += pending.reserved_in_flight
            (self._send_usage if rated else self._send_in_flight)(now, customer)
        self._track_until_deadline(now, pending)
        customer.held_requests.append(pending)
        return True

    def _release_held(self, now: float, customer: Customer) -> None:
        """Decide the held requests: the counter call ended, with a total or without."""
        held, customer.held_requests = customer.held_requests, []
        for pending in held:
            customer.in_flight -= pending.reserved_in_flight
            if pending.request.request_id in self.pending:
                self._set_within_quota(now, pending, self._fits_quota(now, pending))
                for ratio in self._adherence_ratios(customer) if customer.total_read_at == now else ():
                    ratio.add(self._estimate_usage(now, customer)[0] <= customer.plan.burst, ADHERENCE_DECAY)
                self._dispatch(now, pending)
        if customer.plan.rate <= 0:
            self._mark_in_flight_unsent(customer)

    def _set_within_quota(self, now: float, pending: PendingRequest, fits: bool) -> None:
        """Replace the quota decision on a request and correct the accepted units."""
        self._record(now, pending.customer, 0.0, pending.request.units * (fits - pending.within_quota))
        pending.within_quota = fits

    def _dispatch(self, now: float, pending: PendingRequest) -> None:
        """Start the first attempt, or refuse the request with the first limit that it exceeds as reason."""
        request, customer = pending.request, pending.customer
        reason, server = "" if pending.within_quota else "quota", None
        if not reason and not self._has_in_flight_room(now, customer):
            reason = "open"
        if not reason and not request.admit_only:
            reason = "pressure" if self._is_overloaded(request, customer.plan) else ""
            server = None if reason else self._pick_server(now, pending)
            reason = reason or ("" if server else "no_server")
        if not reason and not self._take_ceiling_tokens(now, customer, request.units):
            reason = "ceiling"
        if reason:
            self._record(now, customer, 0.0, -request.units * pending.within_quota)
            self.pending.pop(request.request_id, None)
            self.actions.append(self._refusal(request.request_id, customer, reason))
            return
        if server is None:
            self.pending.pop(request.request_id, None)
            self.actions.append(Admit(request.request_id))
            return
        self._track_until_deadline(now, pending)
        self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRIES_PER_REQUEST)
        self._start_attempt(now, pending, server)

    def _refusal(self, request_id: int, customer: Customer, reason: str) -> Refuse:
        """A refusal whose retry-after is about the time in which the quota refills by one unit."""
        retry_after_ms = min(self.settings.max_retry_after_ms, 1000 / (customer.plan.rate or 1.0))
        return Refuse(request_id, retry_after_ms if self.settings.retry_after_enabled else 0.0, reason)

    def _track_until_deadline(self, now: float, pending: PendingRequest) -> None:
        if pending.request.request_id not in self.pending:
            self._track(pending, max(0.0, pending.deadline - now - MARGIN_TICKS * self.settings.tick_ms))

    def _useful_ms(self, request: Request) -> float:
        """Time until the answer loses its value: work on late answers would prolong an overload."""
        cls = self.settings.classes[request.request_class]
        worthless = cls.late_value_ratio <= (LOW_LATE_VALUE_RATIO if self.pressure > HIGH_PRESSURE else 0.0)
        return min(request.time_left_ms, cls.target_latency_ms) if worthless else request.time_left_ms

    def _start_attempt(self, now: float, pending: PendingRequest, server: ServerStats) -> None:
        request, expected_ms = pending.request, self.usual_ms[pending.request.request_class]
        attempt = Attempt(server, now, expected_ms, pending.customer, request.request_class)
        self.attempts[request.request_id, pending.attempt_count] = attempt
        pending.in_flight.append(pending.attempt_count)
        pending.attempt_count += 1
        pending.tried_servers.append(server.entry.name)
        self._add_in_flight(attempt)
        self._change_in_flight(pending.customer, 1)
        timeout_ms = self._attempt_timeout_ms(now, pending)
        self.actions.append(Send(request.request_id, server.entry.name, timeout_ms))

    def _attempt_timeout_ms(self, now: float, pending: PendingRequest) -> float:
        """Time until the deadline, or less where a retry is safe and the connection may be dead by then."""
        kind, left_ms = pending.request.request_class, pending.deadline - now
        usual_ms, pure = self.usual_ms[kind], self.settings.classes[kind].effect is Effect.PURE
        hung_ms = max(HUNG_USUAL_FACTOR * usual_ms, HUNG_SLOWEST_FACTOR * self.slowest_ms[kind])
        retry = pure and pending.attempt_count < self.settings.max_attempts and self.pressure <= HIGH_PRESSURE
        return hung_ms if retry and hung_ms + 2 * usual_ms < left_ms else left_ms

    def _on_attempt_ended(self, now: float, event: AttemptEnded) -> None:
        attempt = self.attempts.pop((event.request_id, event.attempt), None)
        if attempt is None:
            return
        was_streaming = attempt.streaming
        self._remove_in_flight(attempt)
        self._change_in_flight(attempt.customer, -1)
        self._record_result(now, attempt, event, was_streaming)
        pending = self.pending.get(event.request_id)
        if pending is None:
            return
        pending.in_flight.remove(event.attempt)
        if event.final:
            self._close(event.request_id)
            return
        if event.result in MAY_HAVE_RUN and pending.first_may_have_run is None:
            pending.first_may_have_run = (attempt.server.entry, attempt.started_at)
        if not pending.in_flight:
            self._retry_or_answer(now, pending, unreached=event.result is Result.CONNECT_FAILED)

    def _retry_or_answer(self, now: float, pending: PendingRequest, unreached: bool) -> None:
        """Start another attempt or answer. After one that reached no server, a retry costs no token."""
        kind = pending.request.request_class
        left_ms = pending.deadline - now - MARGIN_TICKS * self.settings.tick_ms
        in_time = left_ms > self.usual_ms[kind] / 2 and pending.attempt_count < self.settings.max_attempts
        retry = in_time and not pending.request_body_sent and (unreached or self.retry_tokens >= 1)
        retry = retry and self._may_retry(now, pending, None)
        server = self._pick_server(now, pending) if retry else None
        if server is None:
            return self._give_final_answer(pending)
        self.retry_tokens -= not unreached
        self._start_attempt(now, pending, server)

    def _cancel_hung_attempts(self, now: float) -> None:
        """Cancel attempts that seem to hang where a retry is safe; it follows when the attempt has ended."""
        for (request_id, number), attempt in self.attempts.items():
            pending, kind = self.pending.get(request_id), attempt.request_class
            overtaken = attempt.later_answers >= HUNG_LATER_ANSWERS
            if pending is None or not overtaken or attempt.cancelled or pending.streaming:
                continue
            usual, slowest, left = self.usual_ms[kind], self.slowest_ms[kind], pending.deadline - now
            hung = now - attempt.started_at > max(HUNG_USUAL_FACTOR * usual, HUNG_SLOWEST_FACTOR * slowest)
            retry = pending.attempt_count < self.settings.max_attempts and left > 2 * usual
            pure = self.settings.classes[kind].effect is Effect.PURE
            if hung and retry and pure and self.retry_tokens >= 1:
                attempt.cancelled = True
                self.actions.append(Cancel(request_id, number))

    def _give_final_answer(self, pending: PendingRequest) -> None:
        """Refuse where nothing has run or a repeat is safe; fail where the request may have run."""
        request_id, kind = pending.request.request_id, pending.request.request_class
        # A streamed request gets a failure even if it is pure: its client may ask for less.
        pure = self.settings.classes[kind].effect is Effect.PURE and not pending.request.streamed
        harmless = pure or not (pending.first_may_have_run or pending.in_flight)
        reason = "late" if pending.in_flight or not pending.attempt_count else "unserved"
        refusal = self._refusal(request_id, pending.customer, reason)
        self.actions.append(refusal if harmless else Fail(request_id))
        self._close(request_id)

    def _close(self, request_id: int) -> None:
        pending = self.pending.pop(request_id, None)
        if pending and self.settings.cancel_enabled and not pending.streaming:
            self.actions.extend(Cancel(request_id, number) for number in pending.in_flight)

    def _on_step_timer(self, now: float) -> None:
        self.actions.append(SetTimer(0, STEP_INTERVAL_MS))
        self._adapt_limit()
        self._probe_ejected(now)
        if self.settings.cancel_enabled:
            self._cancel_hung_attempts(now)
        if self.settings.counter_enabled:
            self._send_counts(now)
        if now >= self.subscribe_at:
            self.subscribe_at = math.inf
            self.actions.append(Subscribe())
        if now - self.maintained_at >= MAINTENANCE_MS:
            self._maintain(now)

    def _maintain(self, now: float) -> None:
        """Age the statistics of all servers and drop idle customers."""
        elapsed_ms = max(1.0, now - self.maintained_at)
        self.maintained_at = now
        self._age_statistics(now, elapsed_ms)
        idle = [c for c in self.customers.values() if now > c.last_request_at + CUSTOMER_IDLE_MS]
        for customer in [c for c in idle if not (c.in_flight or c.pending_call)]:
            del self.customers[customer.name]
            self.unsent.pop(customer.name, None)
