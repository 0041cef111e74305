"""Quotas: whether a customer's window, its store under the ceiling and its cap let a request in."""

import math

from ashlift.gatekeeper.admission import window
from ashlift.gatekeeper.admission.state import Customer, Desk, Live, Tally

HARD_FACTOR = 3.0  # x soft limit: up to it a spike goes on at the quota's rate by chance, beyond it in bursts
FADE_WINDOWS = 2.0  # windows after which a reading says nothing: most customers are calm most of the time
FADE_GAPS = 6.0  # gaps between requests here, if longer: a customer seen seldom is read seldom
HEARD_KEPT = 0.98  # of what the heard have shown, each heard one: some fifty of them weigh
HEARD_FIRST = 3.0  # heard ones of its own kind that weigh as much as all those of a wider one
FEW = 3  # requests of a customer here from which on more of them tell nothing new
OPEN_STALE_MS = 1_500.0  # ms after which a count of open attempts is no longer believed


class Quota(Desk):
    """What each customer has used, here and as the counter told."""

    def _seen(self, now: float, customer: Customer) -> tuple[float, float, float]:
        """Units in the window (total, accepted) and in the last second, all gateways together.

        Since the last reading the others are taken to go on as they did, ever less so; once the counter
        fails, has no call to spare or has not told yet, to use an even share of the quota.
        """
        buckets, span = customer.buckets, customer.window
        window.trim(buckets, now - max(span, 1000.0))
        total, accepted, last = window.seen(buckets, now, span)
        if customer.share < 1:
            stale = now - customer.read_at
            # One request passes unheard: a small share of the quota would otherwise be less than one.
            one = self.settings.max_units * 1000 / span
            even = max(0.0, customer.plan.rate - max(one, customer.plan.rate * customer.share))
            # Crowded out is as blinding as a dead counter: unheard, every gateway would grant all.
            failing = now - min(self.failing_at, customer.starved_at, now if self.settings.counter else -1e9)
            blind = 1.0 if stale == math.inf else min(1.0, failing / span)
            fades = max(0.0, 1 - stale / max(FADE_WINDOWS * span, FADE_GAPS * customer.gap))
            # Unheard, what is asked elsewhere may be as much as here, or all would grant the same chance;
            # but few requests speak for few others.
            here = total * (min(1 / customer.share, max(1.0, total)) - 1) * 1000 / span
            asked = max(customer.far_asked * fades, blind * max(even, here))
            rate = max(customer.far_rate * fades, blind * even)
            total += asked * min(stale, span) / 1000
            accepted += rate * min(stale, span) / 1000
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
        return live.chance >= window.suppression(plan.rate, customer.window, total, last)

    def _likes(self, customer: Customer) -> list[Tally]:
        """What the heard have shown: all, those who came as often here, and those of them of its plan."""
        often = min(customer.tries, FEW)
        return [self.within.setdefault(key, Tally()) for key in (None, often, (customer.plan, often))]

    def _worth_a_guess(self, customer: Customer) -> bool:
        """Whether a request that no call can ask for earns more, by what the heard ones like it showed, than
        it is charged beyond the quota. Where more is asked than the quota holds, it earns nothing: the room
        goes to the heard. Who comes often to one gateway of many mostly asks too much at all of them."""
        plan, share = customer.plan, 1.0
        for tally in self._likes(customer):
            share = tally.share(share, HEARD_FIRST)
        return share >= (1 - share) * (plan.over_cost - plan.over_worth)

    def _record(self, now: float, customer: Customer, asked: float, accepted: float) -> None:
        window.record(customer.buckets, now, asked, accepted)
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
