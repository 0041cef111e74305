"""The state that a gateway keeps between events, and its bookkeeping. Decisions are made elsewhere."""

from __future__ import annotations

import math
import random
import zlib
from dataclasses import dataclass, field

from ashlift.gatekeeper.admission import Bucket
from ashlift.gatekeeper.admission.interface import (
    Action,
    AddToCounter,
    Plan,
    Request,
    Server,
    SetTimer,
    Settings,
    StreamStarted,
)


@dataclass(slots=True, eq=False)
class ServerStats:
    """Statistics of one server as this gateway sees it."""

    entry: Server
    ejection_ms: float  # duration of the next ejection
    in_flight: int = 0  # attempts of this gateway
    in_flight_ms: float = 0.0  # their expected work
    latency_ratio: float = 1.0  # mean latency over the usual latency
    failures_in_row: int = 0
    ejected_until: float = -math.inf
    last_answer_at: float = -math.inf  # or when the first attempt in flight was started, if that is later
    ratio_updated_at: float = -math.inf
    unanswered_scores: dict[int, float] = field(default_factory=dict)  # by request class
    other_load: float = 0.0  # requests of other gateways, by its last load report
    virtual_time: float | None = None  # for fair queueing, ms of work; None: not scheduled yet


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt in flight."""

    server: ServerStats
    started_at: float
    expected_ms: float  # usual latency of its class
    customer: Customer
    request_class: int
    later_answers: int = 0  # answers of its server to attempts that were started later
    cancelled: bool = False
    streaming: bool = False  # its bodies are being transferred: it occupies none of the server's cores


class Customer:
    """Usage of one customer: its quota window, counts exchanged with the counter, ceiling and caps."""

    def __init__(
        self,
        name: str,
        plan: Plan,
        gateway_count: int,
        now: float,
        gateway_started_at: float,
        units_per_count: float,
    ) -> None:
        self.name, self.plan, self.gateway_share, self.last_request_at = name, plan, 1.0 / gateway_count, now
        self.window_ms = 1000.0 * plan.burst / plan.rate if plan.rate > 0 else 1000.0
        self.buckets: dict[int, Bucket] = {}  # by start, in widths of a bucket
        self.unsent_total = self.unsent_accepted = 0.0  # units
        self.pending_call: tuple[int, int, int] | None = None  # counter key, and the two counts sent
        self.key_epoch = self.in_flight_epoch = -1
        # Counts under the current key: added by this gateway, and by others as last read.
        self.own_total = self.own_accepted = self.remote_total = self.remote_accepted = 0.0
        # Part of the own counts whose call timed out: they may not have been added.
        self.unconfirmed_total = self.unconfirmed_accepted = 0.0
        self.total_read_at = -math.inf
        self.call_overdue_since = math.inf  # a call is due, but the call rate does not allow it
        self.remote_accepted_rate = self.remote_total_rate = 0.0  # units a second, as last read
        self.request_gap_ms, self.quota_use = 0.0, 1.0  # mean gap; accepted units over the soft limit
        self.held_requests: list[PendingRequest] = []  # waiting for a counter call
        self.next_call_at = now
        # Empty at the start of the gateway: the process before it may have used up the burst.
        self.ceiling_tokens, self.ceiling_updated_at = 0.0, gateway_started_at
        self.limit_exceeded_until = -math.inf  # by a limit of the counter service
        self.in_flight = self.in_flight_sent = 0  # attempts here, and those of them that the counter knows
        self.remote_in_flight, self.in_flight_read_at = 0.0, -math.inf
        self.name_hash = zlib.crc32(name.encode())
        self.units_per_count = units_per_count
        self.request_count = 0  # requests here

    def start_epoch(self, epoch: int) -> None:
        """Use a new counter key, whose counts are 0."""
        self.key_epoch = epoch
        self.own_total = self.own_accepted = self.remote_total = self.remote_accepted = 0.0
        self.unconfirmed_total = self.unconfirmed_accepted = 0.0

    def take_unsent(self, deferred: tuple[float, float], max_total: float) -> tuple[int, int]:
        """Take the counts to send (total, accepted), which include the deferred units of other customers."""
        self.unsent_total += deferred[0]
        self.unsent_accepted += deferred[1]
        total = int(self.unsent_total / self.units_per_count)
        accepted = int(self.unsent_accepted / self.units_per_count)
        # `accepted` may be below 0: a held request was counted as accepted and then refused.
        total = max(0, min(total, int(max_total - self.own_total) - 1))
        self.unsent_total -= total * self.units_per_count
        self.unsent_accepted -= accepted * self.units_per_count
        return total, accepted

    def finish_call(self, total: int, accepted: int, added: bool, timed_out: bool) -> None:
        """Count what a call has added, or may have added (`timed_out`); else keep it for the next call."""
        if not added:
            self.unsent_total += total * self.units_per_count
            self.unsent_accepted += accepted * self.units_per_count
            return
        self.own_total += total
        self.own_accepted += accepted
        self.unconfirmed_total += total * timed_out
        self.unconfirmed_accepted += accepted * timed_out

    def update_remote_rates(self) -> None:
        """Compute the units a second of other gateways from their units in the window."""
        per_s = 1000 / max(self.window_ms, 1000.0)
        self.remote_accepted_rate = sum(bucket.remote_accepted for bucket in self.buckets.values()) * per_s
        self.remote_total_rate = sum(bucket.remote_total for bucket in self.buckets.values()) * per_s

    def handle_counter_reset(self, added: tuple[float, float]) -> None:
        """The counter has lost its counts: the key holds no more than what was just added."""
        self.start_epoch(self.key_epoch)
        self.own_total, self.own_accepted = added

    def requeue_unconfirmed(self, missing: float) -> None:
        """Send unconfirmed counts again that are missing from a total."""
        missing_accepted = round(missing / self.unconfirmed_total * self.unconfirmed_accepted)
        self.own_total -= missing
        self.own_accepted -= missing_accepted
        self.unconfirmed_total -= missing
        self.unconfirmed_accepted -= missing_accepted
        self.unsent_total += missing * self.units_per_count
        self.unsent_accepted += missing_accepted * self.units_per_count


class DecayingRatio:
    """How often something was true, with weights that decay with each observation."""

    def __init__(self) -> None:
        self.true_weight = self.total_weight = 0.0

    def add(self, observed: bool, decay: float) -> None:
        """Add an observation; `decay` is the factor on the weight of the earlier ones."""
        self.true_weight = self.true_weight * decay + observed
        self.total_weight = self.total_weight * decay + 1

    def estimate(self, prior: float, prior_weight: float) -> float:
        """Return the ratio, with a prior that counts as `prior_weight` observations."""
        return (self.true_weight + prior * prior_weight) / (self.total_weight + prior_weight)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request without a final answer."""

    request: Request
    customer: Customer
    deadline: float
    cold_server_draw: float  # random; below the cold load it may go to a cold server
    quota_draw: float  # random; below the suppression factor it is refused
    within_quota: bool = False
    reserved_in_flight: int = 0  # attempts counted for it in advance, while it is held
    attempt_count: int = 0
    streaming: bool = False
    request_body_sent: bool = False  # it cannot be sent again
    in_flight: list[int] = field(default_factory=list)  # numbers of its attempts
    first_may_have_run: tuple[Server, float] | None = None  # server and start of the first such attempt
    tried_servers: list[str] = field(default_factory=list)


class GatewayState:
    """All state of one gateway; its subclasses handle one concern each."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.started_at: float | None = None
        self.customers: dict[str, Customer] = {}
        self.unsent: dict[str, Customer] = {}  # customers with counts to send
        self.calls_by_key: dict[int, tuple[Customer, bool]] = {}  # bool: call for attempts in flight
        self.servers: dict[str, ServerStats] = {}
        self.pending: dict[int, PendingRequest] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}  # by request and number
        self.timers: dict[int, int] = {}  # request by timer token
        # By request class: usual and slowest recent latency.
        self.usual_ms = [cls.target_latency_ms / 4 for cls in settings.classes]
        self.slowest_ms = [*self.usual_ms]
        self.max_call_rate = self.call_rate = self.call_tokens = (
            0.0  # counter calls a second; calls allowed now
        )
        self.call_rate_cut_at = -math.inf
        self.retry_tokens, self.next_timer_token = 0.0, 1
        self.in_flight, self.mean_in_flight, self.in_flight_limit = 0, 0.0, 0.0  # attempts
        self.pressure, self.mean_value = 0.0, 0.0  # mean of latency over target; mean value of a request
        self.healthy_ratio, self.fleet_capacity, self.recent_answers = 1.0, 0.0, 0
        self.maintained_at, self.list_retry_ms, self.subscribe_at = 0.0, 0.0, math.inf
        self.subset: list[ServerStats] = []  # the servers that this gateway uses
        self.virtual_time = 0.0  # of all servers, ms of work
        # From 0 for a single gateway to 1: how small this gateway's part of the traffic is.
        self.sparsity = 1 - 1 / math.sqrt(settings.gateway_count)
        self.ejected: dict[str, ServerStats] = {}  # until a probe or, without probes, the expiry
        self.failed_calls_in_row = 0
        # Ratio of counted requests within quota: of all, by requests of the customer, and by plan and those.
        self.quota_adherence: dict[tuple[Plan, int] | int | None, DecayingRatio] = {}
        self.deferred_units: dict[Plan, tuple[float, float]] = {}  # for which no counter call was allowed
        self.counter_failing_since = math.inf
        self.process_count = 1  # processes that run as this gateway
        self.actions: list[Action] = []

    def _add_in_flight(self, attempt: Attempt) -> None:
        stats = attempt.server
        stats.in_flight += 1
        stats.in_flight_ms += attempt.expected_ms
        if stats.in_flight == 1:
            stats.last_answer_at = max(stats.last_answer_at, attempt.started_at)
        self.in_flight += 1

    def _remove_in_flight(self, attempt: Attempt) -> None:
        if not attempt.streaming:
            attempt.streaming = True
            attempt.server.in_flight -= 1
            attempt.server.in_flight_ms -= attempt.expected_ms
            self.in_flight -= 1

    def _on_stream_started(self, pending: PendingRequest, event: StreamStarted) -> None:
        """Take the attempt out of the load: a transfer occupies no core that a request could wait for."""
        pending.streaming = True
        pending.request_body_sent = pending.request_body_sent or event.request_body_sent
        attempt = self.attempts.get((event.request_id, event.attempt))
        if attempt is not None:
            self._remove_in_flight(attempt)

    def _defer_counts(self, customer: Customer) -> None:
        """Leave unsent counts to the next call for any customer of the plan.

        They are counted for that customer, so that they are kept below one burst.
        """
        burst, (total, accepted) = customer.plan.burst, self.deferred_units.get(customer.plan, (0.0, 0.0))
        total, accepted = total + customer.unsent_total, accepted + customer.unsent_accepted
        self.deferred_units[customer.plan] = min(burst, total), min(burst, accepted)
        customer.unsent_total = customer.unsent_accepted = 0.0
        self.unsent.pop(customer.name, None)

    def _change_in_flight(self, customer: Customer, change: int) -> None:
        customer.in_flight += change
        self._mark_in_flight_unsent(customer)

    def _mark_in_flight_unsent(self, customer: Customer) -> None:
        if customer.plan.max_in_flight and customer.in_flight != customer.in_flight_sent:
            self.unsent[customer.name] = customer

    def _track(self, pending: PendingRequest, timeout_ms: float) -> None:
        """Keep a request until its final answer, which a timer brings about at the latest."""
        self.pending[pending.request.request_id] = pending
        token, self.next_timer_token = self.next_timer_token, self.next_timer_token + 1
        self.timers[token] = pending.request.request_id
        self.actions.append(SetTimer(token, timeout_ms))

    def _add_to_counter(
        self, customer: Customer, kind: str, epoch: int, counts: tuple[int, int], amount: int, ttl_ms: float
    ) -> None:
        """Call the counter under the key of this kind and epoch; `counts` are applied when the call ends."""
        key = zlib.crc32(f"{kind}{epoch}".encode(), customer.name_hash) << 20 | customer.name_hash & 0xFFFFF
        customer.pending_call = (key, *counts)
        self.calls_by_key[key] = (customer, kind == "open")
        self.actions.append(AddToCounter(key, amount, ttl_ms))
