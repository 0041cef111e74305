"""What a gateway keeps between events: plain state, and the bookkeeping of it. No decisions."""

from __future__ import annotations

import math
import random
import zlib
from dataclasses import dataclass, field

from ashlift.gatekeeper.admission import Bucket
from ashlift.gatekeeper.admission.interface import (
    Action,
    Count,
    Plan,
    Request,
    Server,
    SetTimer,
    Settings,
    StreamStarted,
)


@dataclass(slots=True, eq=False)
class ServerView:
    """What this gateway knows of one server."""

    entry: Server
    backoff: float  # ms it is left out next
    out: int = 0  # attempts out there
    work: float = 0.0  # ms of work out there
    ratio: float = 1.0  # its latency x the usual
    fails: int = 0  # failures in a row
    out_until: float = -math.inf  # left out until then
    heard: float = -math.inf  # last sign of life
    judged: float = -math.inf  # when its ratio last changed
    mute: dict[int, float] = field(default_factory=dict)  # marks by class left unanswered
    load: float = 0.0  # requests of others there, as it reported
    turn: float | None = None  # its place in the round, ms of work; None: it has yet to be given one


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt that is out."""

    server: ServerView
    at: float
    work: float
    customer: Customer
    kind: int  # class of its request
    passed: int = 0  # attempts begun later that its server has answered since
    withdrawn: bool = False
    flows: bool = False  # its bodies move: it waits for no core


class Customer:
    """What this gateway knows of one customer: its window, its counts on the way, its ceiling store."""

    def __init__(
        self, name: str, plan: Plan, set_size: int, now: float, booted: float, quantum: float
    ) -> None:
        self.name, self.plan, self.share, self.seen = name, plan, 1.0 / set_size, now
        self.window = 1000.0 * plan.burst / plan.rate if plan.rate > 0 else 1000.0
        self.buckets: dict[int, Bucket] = {}  # by number since the clock's start
        self.fresh_total = self.fresh_accepted = 0.0
        self.calling: tuple[int, int, int] | None = None
        self.epoch = self.open_epoch = -1
        self.mine_total = self.mine_accepted = self.far_total = self.far_accepted = 0.0
        self.doubt_total = self.doubt_accepted = 0.0  # of mine: sent, and perhaps never added
        self.read_at = -math.inf
        self.starved_at = math.inf  # since when a call is due that the budget does not allow
        self.far_rate = self.far_asked = 0.0  # units a second elsewhere, let in and asked, as last read
        self.gap, self.near = 0.0, 1.0  # ms between requests here; use x soft limit when last looked at
        self.held: list[Live] = []  # requests that wait for a first count
        self.call_at = now
        # Each gateway has its share of the ceiling. One that has just started may have spent it in the life
        # before, and would be granted even a share of the slack anew at each restart: it begins with nothing.
        self.ceiling, self.ceiling_at = 0.0, booted
        self.over_until = -math.inf  # the counter's service said that there is no room
        self.open = self.open_sent = 0
        self.open_far, self.open_read_at = 0.0, -math.inf
        self.phase = zlib.crc32(name.encode())
        self.quantum = quantum  # units in one count
        self.tries = 0  # requests here

    def begin(self, epoch: int) -> None:
        """Go on under a new counter name, which holds nothing yet."""
        self.epoch = epoch
        self.mine_total = self.mine_accepted = self.far_total = self.far_accepted = 0.0
        self.doubt_total = self.doubt_accepted = 0.0

    def take(self, untold: tuple[float, float], most: float) -> tuple[int, int]:
        """Counts to tell (total, accepted): all that is fresh here, and the units `untold` of others."""
        self.fresh_total += untold[0]
        self.fresh_accepted += untold[1]
        total, accepted = int(self.fresh_total / self.quantum), int(self.fresh_accepted / self.quantum)
        # Accepted may be below 0: a held request was refused after all.
        total = max(0, min(total, int(most - self.mine_total) - 1))
        self.fresh_total -= total * self.quantum
        self.fresh_accepted -= accepted * self.quantum
        return total, accepted

    def settle(self, total: int, accepted: int, added: bool, doubtful: bool) -> None:
        """Book counts whose call has ended: added, perhaps added (`doubtful`), or still to be told."""
        if not added:
            self.fresh_total += total * self.quantum
            self.fresh_accepted += accepted * self.quantum
            return
        self.mine_total += total
        self.mine_accepted += accepted
        self.doubt_total += total * doubtful
        self.doubt_accepted += accepted * doubtful

    def measure_far(self) -> None:
        """Units a second of the others, as what was told of them lies in the window."""
        per_s = 1000 / max(self.window, 1000.0)
        self.far_rate = sum(bucket.far_accepted for bucket in self.buckets.values()) * per_s
        self.far_asked = sum(bucket.far_total for bucket in self.buckets.values()) * per_s

    def emptied(self, added: tuple[float, float]) -> None:
        """Go on with a name that holds no more than these counts: the counter came back empty."""
        self.begin(self.epoch)
        self.mine_total, self.mine_accepted = added

    def never_added(self, short: float) -> None:
        """Take so many of the counts in doubt back: they are to be added anew."""
        lost = round(short / self.doubt_total * self.doubt_accepted)
        self.mine_total -= short
        self.mine_accepted -= lost
        self.doubt_total -= short
        self.doubt_accepted -= lost
        self.fresh_total += short * self.quantum
        self.fresh_accepted += lost * self.quantum


class Tally:
    """How often something was so, of late: the older the less it weighs."""

    def __init__(self) -> None:
        self.so = self.all = 0.0

    def add(self, so: bool, keep: float) -> None:
        self.so, self.all = self.so * keep + so, self.all * keep + 1

    def share(self, before: float, weight: float) -> float:
        """The share that was so; `before` is held to be it until much more than `weight` was seen."""
        return (self.so + before * weight) / (self.all + weight)


@dataclass(slots=True, eq=False)
class Live:
    """A request that is owed a final answer, or about to be."""

    ask: Request
    customer: Customer
    deadline: float
    luck: float  # draw for cold servers
    chance: float  # draw for the quota
    inside: bool = False  # let in by the quota, as far as known
    reserved: int = 0  # open attempts counted for it in advance
    tries: int = 0
    streaming: bool = False
    spent: bool = False  # its body is gone
    out: list[int] = field(default_factory=list)  # attempts out
    may_run: tuple[Server, float] | None = None  # where and when the first one that may have run was sent
    tried: list[str] = field(default_factory=list)  # servers


class Desk:
    """All that one gateway keeps, for each concern to work on."""

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
        self.calls_most = self.call_rate = self.calls = 0.0  # calls to the counter a second, and saved up
        self.cut_at = -math.inf
        self.retries, self.next_token = 0.0, 1
        self.out, self.mean_out, self.limit, self.pressure, self.mean_value = 0, 0.0, 0.0, 0.0, 0.0
        self.sound_ratio, self.fleet, self.answers = 1.0, 0.0, 0
        self.cared, self.list_pause, self.ask_at = 0.0, 0.0, math.inf
        self.subset: list[ServerView] = []
        self.round = 0.0  # where the servers' round stands, ms of work
        # How much wider the load of one gateway scatters than its share of all: none where there is no other.
        self.unseen = 1 - 1 / math.sqrt(settings.group_size)
        self.suspects: dict[str, ServerView] = {}  # left out until a probe (or else a request) is answered
        self.failed = 0  # calls to the counter in a row
        self.within: dict[tuple[Plan, int] | int | None, Tally] = {}  # of the heard: who keeps to the quota
        self.untold: dict[Plan, tuple[float, float]] = {}  # units that no call could tell of
        self.failing_at = math.inf  # when the counter last began to fail
        self.parts = 1  # processes that this gateway runs as, side by side
        self.actions: list[Action] = []

    def _enter_core(self, attempt: Attempt) -> None:
        view = attempt.server
        view.out += 1
        view.work += attempt.work
        if view.out == 1:
            view.heard = max(view.heard, attempt.at)
        self.out += 1

    def _leave_core(self, attempt: Attempt) -> None:
        if not attempt.flows:
            attempt.flows = True
            attempt.server.out -= 1
            attempt.server.work -= attempt.work
            self.out -= 1

    def _flowing(self, live: Live, event: StreamStarted) -> None:
        """Bodies that move are timed where they do; they take no core that a request could wait for."""
        live.streaming, live.spent = True, live.spent or event.spent
        attempt = self.attempts.get((event.request, event.attempt))
        if attempt is not None:
            self._leave_core(attempt)

    def _pass_on(self, customer: Customer) -> None:
        """Leave what no call can tell of to the next call of the plan. No more than a burst: it is told under
        one customer's name, and must not shut that one out after a time without calls."""
        most, (total, accepted) = customer.plan.burst, self.untold.get(customer.plan, (0.0, 0.0))
        total, accepted = total + customer.fresh_total, accepted + customer.fresh_accepted
        self.untold[customer.plan] = min(most, total), min(most, accepted)
        customer.fresh_total = customer.fresh_accepted = 0.0
        self.dirty.pop(customer.name, None)

    def _opened(self, customer: Customer, by: int) -> None:
        customer.open += by
        self._open_changed(customer)

    def _open_changed(self, customer: Customer) -> None:
        if customer.plan.max_out and customer.open != customer.open_sent:
            self.dirty[customer.name] = customer

    def _keep(self, live: Live, after: float) -> None:
        """Keep a request until its answer, with a timer for when it must be given."""
        self.live[live.ask.request] = live
        token, self.next_token = self.next_token, self.next_token + 1
        self.timers[token] = live.ask.request
        self.actions.append(SetTimer(token, after))

    def _count(
        self, customer: Customer, kind: str, epoch: int, parts: tuple[int, int], amount: int, life: float
    ) -> None:
        """Call the counter under the name of this kind and epoch; `parts` wait for the answer."""
        name = zlib.crc32(f"{kind}{epoch}".encode(), customer.phase) << 20 | customer.phase & 0xFFFFF
        customer.calling = (name, *parts)
        self.names[name] = (customer, kind == "open")
        self.actions.append(Count(name, amount, life))
