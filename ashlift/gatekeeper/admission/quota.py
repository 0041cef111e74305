"""Quotas: whether a customer's quota, ceiling and in-flight cap have room for a request."""

import math

from ashlift.gatekeeper.admission import window
from ashlift.gatekeeper.admission.state import Customer, DecayingRatio, GatewayState, PendingRequest

HARD_LIMIT_FACTOR = 3.0  # times the soft limit; between the two, requests are refused with a probability
TOTAL_FADE_WINDOWS = 2.0  # quota windows in which a counter total loses its meaning,
TOTAL_FADE_GAPS = 6.0  # or so many gaps between its requests here, if longer: rare ones are rarely read
ADHERENCE_DECAY = 0.98  # of the adherence ratios, with each counted request: some fifty of them weigh
ADHERENCE_PRIOR_WEIGHT = 3.0  # requests' weight of the wider group's ratio as prior of a narrower one
MAX_COUNTED_REQUESTS = 3  # of a customer: further ones tell nothing new, so those with more form one group
IN_FLIGHT_STALE_MS = 1_500.0  # after which a total of attempts in flight is ignored


class CustomerQuotas(GatewayState):
    """Estimates each customer's usage over all gateways and holds it against the plan's limits."""

    def _estimate_usage(self, now: float, customer: Customer) -> tuple[float, float, float]:
        """Units in the window (total, accepted) and in the last second (total) at all gateways. The others'
        rates of the last counter total fade; without a total, an even use of the quota is assumed."""
        buckets, window_ms = customer.buckets, customer.window_ms
        window.discard_before(buckets, now - max(window_ms, 1000.0))
        total, accepted, recent = window.usage(buckets, now, window_ms)
        if customer.gateway_share < 1:
            age_ms, plan_rate = now - customer.total_read_at, customer.plan.rate
            # This gateway's own part of the quota is at least one request in a window.
            least_rate = self.settings.max_request_units * 1000 / window_ms
            even_rate = max(0.0, plan_rate - max(least_rate, plan_rate * customer.gateway_share))
            enabled_since = now if self.settings.counter_enabled else -1e9
            no_total_ms = now - min(self.counter_failing_since, customer.call_overdue_since, enabled_since)
            unknown = 1.0 if age_ms == math.inf else min(1.0, no_total_ms / window_ms)
            fade_ms = max(TOTAL_FADE_WINDOWS * window_ms, TOTAL_FADE_GAPS * customer.request_gap_ms)
            known = max(0.0, 1 - age_ms / fade_ms)
            # Each other gateway may receive as much as this one; a few requests here are no evidence of it.
            alike_rate = total * (min(1 / customer.gateway_share, max(1.0, total)) - 1) * 1000 / window_ms
            total_rate = max(customer.remote_total_rate * known, unknown * max(even_rate, alike_rate))
            accepted_rate = max(customer.remote_accepted_rate * known, unknown * even_rate)
            total += total_rate * min(age_ms, window_ms) / 1000
            accepted += accepted_rate * min(age_ms, window_ms) / 1000
            recent += total_rate * min(age_ms, 1000.0) / 1000
        return total, accepted, recent

    def _fits_quota(self, now: float, pending: PendingRequest) -> bool:
        customer, plan, units = pending.customer, pending.customer.plan, pending.request.units
        if plan.rate <= 0:
            return True
        total, accepted, recent = self._estimate_usage(now, customer)
        customer.quota_use = (accepted + units) / plan.burst
        if now < customer.limit_exceeded_until or units > plan.burst:
            return False
        if customer.quota_use <= 1:
            return True
        if total >= plan.burst * HARD_LIMIT_FACTOR:
            return False
        return pending.quota_draw >= window.suppression_factor(plan.rate, customer.window_ms, total, recent)

    def _adherence_ratios(self, customer: Customer) -> list[DecayingRatio]:
        """Ratios of counted requests within quota: all, of as frequent customers, and those of its plan."""
        requests = min(customer.request_count, MAX_COUNTED_REQUESTS)
        groups = (None, requests, (customer.plan, requests))
        return [self.quota_adherence.setdefault(group, DecayingRatio()) for group in groups]

    def _is_guess_profitable(self, customer: Customer) -> bool:
        """Whether admitting without a counter call is expected to earn more than it is charged."""
        plan, within = customer.plan, 1.0
        for ratio in self._adherence_ratios(customer):
            within = ratio.estimate(within, ADHERENCE_PRIOR_WEIGHT)
        return within >= (1 - within) * (plan.over_quota_cost_ratio - plan.over_quota_value_ratio)

    def _record(self, now: float, customer: Customer, total: float, accepted: float) -> None:
        window.record(customer.buckets, now, total, accepted)
        customer.unsent_total += total
        customer.unsent_accepted += accepted
        shared = self.settings.counter_enabled and customer.gateway_share < 1
        if customer.plan.rate > 0 and shared and (total or accepted):
            self.unsent[customer.name] = customer

    def _take_ceiling_tokens(self, now: float, customer: Customer, units: float) -> bool:
        plan, share = customer.plan, customer.gateway_share / self.process_count
        rate, elapsed_ms = plan.ceiling_rate * share, now - customer.ceiling_updated_at
        refilled = customer.ceiling_tokens + rate * elapsed_ms / 1000
        customer.ceiling_tokens, customer.ceiling_updated_at = min(plan.ceiling_burst * share, refilled), now
        taken = units if plan.ceiling_rate > 0 and customer.ceiling_tokens >= units else 0.0
        customer.ceiling_tokens -= taken
        return plan.ceiling_rate <= 0 or taken > 0

    def _has_in_flight_room(self, now: float, customer: Customer) -> bool:
        cap = customer.plan.max_in_flight
        if now - customer.in_flight_read_at > IN_FLIGHT_STALE_MS or not self.settings.counter_enabled:
            own_cap = max(1.0, cap * customer.gateway_share / self.process_count)
            return not cap or customer.in_flight + 1 <= own_cap
        return not cap or customer.in_flight + customer.remote_in_flight < cap
