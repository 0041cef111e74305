"""The shared counter: when to call it, what to add, and what its totals tell of the other gateways."""

import math

from ashlift.gatekeeper.admission import window
from ashlift.gatekeeper.admission.interface import Counted, Result
from ashlift.gatekeeper.admission.quota import Quota
from ashlift.gatekeeper.admission.state import Customer

NEAR = 0.3  # x soft limit: from this use on a customer's counts can soon change a decision
NEAR_MS = 200.0  # ms between a near customer's counter calls: few requests pass unseen meanwhile
FAR_WINDOWS = 0.5  # windows between the calls of a customer that is not near its limit
EPOCH_WINDOWS = 4.0  # windows that one counter name lasts: a change of name loses what others add late
NAME_LIFE_MS = 50_000.0  # ms, longest life of a name: the counter forgets all after 60 s
PACK = 1000  # total x PACK + accepted in one number: one call brings both (seven digits are told)
OPEN_EPOCH_MS = 6_000.0  # ms that one name for open attempts lasts: a dead gateway's share goes with it
STEP_MS = 50.0  # ms between rounds of housekeeping that cost next to nothing when nothing is due
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


class Counter(Quota):
    """Calls of the counter under a budget, and readings of it."""

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
            customer.begin(epoch)
        # It speaks for what could not be told as well: customers are heard in proportion to what they ask.
        untold = self.untold.pop(customer.plan, (0.0, 0.0))
        total, accepted = customer.take(untold, 10 * PACK * customer.share)
        customer.call_at = now + NEAR_MS
        self._count(customer, "use", epoch, (total, accepted), total * PACK + accepted, 2 * life)

    def _call_open(self, now: float, customer: Customer) -> None:
        epoch = int((now + customer.phase % 60_000) // OPEN_EPOCH_MS)
        if epoch != customer.open_epoch:
            customer.open_epoch, customer.open_sent = epoch, 0
        opened = customer.open - customer.open_sent
        self._count(customer, "open", epoch, (opened, 0), opened, 2 * OPEN_EPOCH_MS)

    def _counted(self, now: float, event: Counted) -> Customer | None:
        """Take what a call told; the customer whose call it was, if it was one that was awaited."""
        customer, is_open = self.names.pop(event.name, (None, False))
        if customer is None or customer.calling is None or customer.calling[0] != event.name:
            return None
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
            return customer
        customer.settle(total, accepted, added, event.result is Result.TIMEOUT)
        if not added:
            self.dirty[customer.name] = customer
        if told:
            self._read(now, customer, round(event.total), (total, accepted))
        return customer

    def _read(self, now: float, customer: Customer, level: int, added: tuple[float, float]) -> None:
        """Take the others' new units from a total and lay them over the time since the last reading."""
        all_total, all_accepted = divmod(level, PACK)
        short = customer.mine_total + customer.far_total - all_total
        if 0 < short <= customer.doubt_total:
            # Calls without an answer were never added. Guards against taking all of the total for news.
            # They go along with the next call: the others must hear of them.
            customer.never_added(short)
            self.dirty[customer.name] = customer
        elif short > 0:  # the counter came back empty
            customer.emptied(added)
        total = max(0.0, all_total - customer.mine_total - customer.far_total)
        accepted = all_accepted - customer.mine_accepted - customer.far_accepted
        customer.far_total += total
        customer.far_accepted += accepted
        since = now - (now + customer.phase % 60_000) % min(NAME_LIFE_MS / 2, EPOCH_WINDOWS * customer.window)
        quantum, since = customer.quantum, max(since, customer.read_at)
        window.spread(customer.buckets, since, now, customer.window, total * quantum, accepted * quantum)
        customer.read_at, customer.starved_at = now, math.inf
        customer.measure_far()
