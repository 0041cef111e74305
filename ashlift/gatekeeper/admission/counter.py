"""The shared counter: when a gateway calls it, what it adds, and what totals say of the other gateways."""

import math

from ashlift.gatekeeper.admission import window
from ashlift.gatekeeper.admission.interface import CounterCallEnded, Result
from ashlift.gatekeeper.admission.quota import CustomerQuotas
from ashlift.gatekeeper.admission.state import Customer

NEAR_QUOTA_RATIO = 0.3  # of the soft limit, from which a customer's counts may soon change a decision
NEAR_CALL_MS = 200.0  # between the calls for such a customer: few requests pass uncounted meanwhile
FAR_CALL_WINDOWS = 0.5  # added to that for other customers, in quota windows
KEY_EPOCH_WINDOWS = 4.0  # quota windows for which a counter key is used; counts that arrive later are lost
MAX_KEY_TTL_MS = 50_000.0  # below the 60 s after which the counter drops a key
PACK_FACTOR = 1000  # one number carries both counts: total x PACK_FACTOR + accepted, seven digits in all
IN_FLIGHT_EPOCH_MS = 6_000.0  # after which the attempts of a crashed gateway no longer count
STEP_INTERVAL_MS = 50.0  # between periodic steps
MAX_CALL_RATE = 120.0  # calls a second of one gateway
GROUP_CALL_RATE = 600.0  # calls a second of all gateways, at the start: the responses tell what it bears
GROUP_MIN_CALL_RATE = 12.0  # calls a second of all gateways while the counter fails, to notice its recovery
CALL_RATE_RISE = 0.02  # of the maximum, with each successful call
FAILED_CUT_FACTOR = 0.7  # of the call rate, with a failed call
OVERLOADED_CUT_FACTOR = 0.9  # with a call that the counter rejected: a few are, in any burst of calls
CUT_INTERVAL_MS = 100.0  # between two cuts of the call rate
MAX_SAVED_CALLS = 3.0  # call tokens beyond those of a quarter of a second: few requests come in bunches
RESERVED_CALLS = 2.0  # call tokens kept for held requests in a large group: a late total decides nothing
COUNTER_DOWN_FAILURES = 3  # failed calls in a row, after which it is down: a busy counter loses some


class CounterSync(CustomerQuotas):
    """Calls the shared counter at a limited rate, and applies the totals that it returns."""

    def _send_counts(self, now: float) -> None:
        """Send unsent counts as far as the call rate allows, customers near their limit first."""
        earned = self.call_rate * STEP_INTERVAL_MS / 1000
        self.call_tokens = min(self.call_rate / 4 + MAX_SAVED_CALLS, self.call_tokens + earned)
        waits = {True: 0.0, False: FAR_CALL_WINDOWS}  # by whether the customer is near its limit
        unsent = [c for c in self.unsent.values() if c.unsent_total or c.unsent_accepted or c.plan.rate <= 0]
        self.unsent = {c.name: c for c in unsent}
        due = [c for c in unsent if not c.pending_call]
        due = [c for c in due if now >= c.next_call_at + waits[c.quota_use >= NEAR_QUOTA_RATIO] * c.window_ms]
        due.sort(key=lambda customer: -customer.quota_use)
        for customer in due:
            if self.call_tokens < 1 + RESERVED_CALLS * self.sparsity:
                customer.call_overdue_since = min(customer.call_overdue_since, now)
                continue
            self.call_tokens -= 1
            del self.unsent[customer.name]
            (self._send_usage if customer.plan.rate > 0 else self._send_in_flight)(now, customer)

    def _send_usage(self, now: float, customer: Customer) -> None:
        epoch_ms = min(MAX_KEY_TTL_MS / 2, KEY_EPOCH_WINDOWS * customer.window_ms)
        epoch = int((now + customer.name_hash % 60_000) // epoch_ms)
        if epoch != customer.key_epoch:
            customer.start_epoch(epoch)
        deferred = self.deferred_units.pop(customer.plan, (0.0, 0.0))
        total, accepted = customer.take_unsent(deferred, 10 * PACK_FACTOR * customer.gateway_share)
        customer.next_call_at = now + NEAR_CALL_MS
        packed = total * PACK_FACTOR + accepted
        self._add_to_counter(customer, "use", epoch, (total, accepted), packed, 2 * epoch_ms)

    def _send_in_flight(self, now: float, customer: Customer) -> None:
        epoch = int((now + customer.name_hash % 60_000) // IN_FLIGHT_EPOCH_MS)
        if epoch != customer.in_flight_epoch:
            customer.in_flight_epoch, customer.in_flight_sent = epoch, 0
        change = customer.in_flight - customer.in_flight_sent
        self._add_to_counter(customer, "open", epoch, (change, 0), change, 2 * IN_FLIGHT_EPOCH_MS)

    def _on_counter_call_ended(self, now: float, event: CounterCallEnded) -> Customer | None:
        """Apply the result of a call; return the customer that it was for, None if it is not pending."""
        customer, is_in_flight = self.calls_by_key.pop(event.key, (None, False))
        if customer is None or customer.pending_call is None or customer.pending_call[0] != event.key:
            return None
        _, total, accepted = customer.pending_call
        customer.pending_call = None
        ok, overloaded = event.result is Result.OK, event.result is Result.OVERLOADED
        self.failed_calls_in_row = 0 if ok or overloaded else self.failed_calls_in_row + 1
        down = self.failed_calls_in_row >= COUNTER_DOWN_FAILURES
        self.counter_failing_since = min(self.counter_failing_since, now) if down else math.inf
        if ok:
            self.call_rate = min(self.max_call_rate, self.call_rate + CALL_RATE_RISE * self.max_call_rate)
        elif now >= self.call_rate_cut_at + CUT_INTERVAL_MS:  # calls that fail together have one cause
            reduced = self.call_rate * (OVERLOADED_CUT_FACTOR if overloaded else FAILED_CUT_FACTOR)
            self.call_rate = max(GROUP_MIN_CALL_RATE / self.settings.gateway_count, reduced)
            self.call_rate_cut_at = now
        # After a time-out the counter may have added the counts: they are never sent twice.
        added = event.result in (Result.OK, Result.TIMEOUT)
        has_total = event.result is Result.OK and not event.limit_exceeded
        if event.result is Result.OK:
            customer.limit_exceeded_until = now + customer.window_ms if event.limit_exceeded else -math.inf
        if is_in_flight:
            customer.in_flight_sent += total if added else 0
            if event.result is Result.OK:
                remote = max(0.0, event.total - customer.in_flight_sent) if has_total else math.inf
                customer.remote_in_flight, customer.in_flight_read_at = remote, now
            return customer
        customer.finish_call(total, accepted, added, event.result is Result.TIMEOUT)
        if not added:
            self.unsent[customer.name] = customer
        if has_total:
            self._apply_total(now, customer, round(event.total), (total, accepted))
        return customer

    def _apply_total(self, now: float, customer: Customer, packed: int, added: tuple[float, float]) -> None:
        """Record what the others have added since the last reading, spread evenly over that time."""
        all_total, all_accepted = divmod(packed, PACK_FACTOR)
        missing = customer.own_total + customer.remote_total - all_total
        if 0 < missing <= customer.unconfirmed_total:
            # Calls that timed out were never added: their counts go along with the next call.
            customer.requeue_unconfirmed(missing)
            self.unsent[customer.name] = customer
        elif missing > 0:
            customer.handle_counter_reset(added)
        total = max(0.0, all_total - customer.own_total - customer.remote_total)
        accepted = all_accepted - customer.own_accepted - customer.remote_accepted
        customer.remote_total += total
        customer.remote_accepted += accepted
        epoch_ms = min(MAX_KEY_TTL_MS / 2, KEY_EPOCH_WINDOWS * customer.window_ms)
        since = max(now - (now + customer.name_hash % 60_000) % epoch_ms, customer.total_read_at)
        total, accepted = total * customer.units_per_count, accepted * customer.units_per_count
        window.record_remote(customer.buckets, since, now, customer.window_ms, total, accepted)
        customer.total_read_at, customer.call_overdue_since = now, math.inf
        customer.update_remote_rates()
