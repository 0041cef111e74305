"""Forty gateways in one process: a scripted clock, and a small model of nodes, list and counter behind the
module's own interface. No sockets; the same seed gives the same run."""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ashlift.gatekeeper.admission import interface as i
from ashlift.gatekeeper.admission.control import Gateway

AIM = 3000.0
SETTINGS = i.Settings(
    classes=(i.RequestClass(i.Effect.PURE, AIM, 7500.0),),
    plans=(i.Plan(),),
    gateway_count=40,
    tick_ms=1,
    cancel_enabled=True,
    counter_timeout_ms=30,
    max_attempts=3,
    retry_after_enabled=True,
    max_retry_after_ms=1000,
    cold_capacity_ratio=0.25,
    warm_up_ms=18_000,
    cold_load_factor=2.5,
    cold_load_window_ms=1500,
)


@dataclass
class Node:
    """Two cores and a line before them; cold after a start."""

    started: float = 0.0  # 0: long ago
    up: bool = True
    slots: int = 2
    line: deque[Callable[[], None]] = field(default_factory=deque)
    got: list[float] = field(default_factory=list)  # when work came

    def pace(self, now: float) -> float:
        if not self.started:
            return 1.0
        share = min(1.0, (now - self.started) / SETTINGS.warm_up_ms)
        return SETTINGS.cold_capacity_ratio + (1 - SETTINGS.cold_capacity_ratio) * share


class Fleet:
    """`ask` and `at` script a run; what happened lies in `refused`, `served` and the nodes."""

    def __init__(
        self,
        size: int = 40,
        nodes: int = 60,
        work_ms: float = 400.0,
        seed: int = 1,
        settings: i.Settings = SETTINGS,
        calls_per_s: float = 0.0,
    ) -> None:
        self.now, self.random, self.work_ms = 1_000_000.0, random.Random(seed), work_ms
        self.settings, self.seed = replace(settings, gateway_count=size), seed
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._tick = self._requests = 0
        self.nodes = {f"n{at}": Node() for at in range(nodes)}
        self.listed = dict.fromkeys(self.nodes, 0.0)  # by name: the start that the list tells
        self.up: dict[int, Gateway] = {}
        self.attempts: Counter[tuple[int, int]] = Counter()
        self.served, self.refused, self.dials = Counter[int](), Counter[int](), Counter[str]()
        self.causes = Counter[str]()  # of refusals
        self.in_vain = Counter[str]()  # dials at nodes where nobody listens
        self.pairs: set[tuple[int, str]] = set()
        self.totals: dict[int, float] = {}
        self.asked_by: dict[int, str] = {}
        self.let_in: dict[str, list[float]] = {}  # by customer: when its requests were first sent on
        self.call_ms, self.call_free = 1000 / calls_per_s if calls_per_s else 0.0, 0.0
        for me in range(size):
            self.boot(me)

    def at(self, in_ms: float, what: Callable[[], None]) -> None:
        self._tick += 1
        heapq.heappush(self._queue, (self.now + in_ms, self._tick, what))

    def run(self, for_ms: float) -> None:
        end = self.now + for_ms
        while self._queue and self._queue[0][0] <= end:
            self.now, _, what = heapq.heappop(self._queue)
            what()
        self.now = end

    def boot(self, me: int) -> None:
        self.up[me] = Gateway(replace(self.settings, gateway_index=me), self.seed * 1000 + me)
        self.tell(me, complete=True)

    def kill(self, me: int) -> None:
        del self.up[me]

    def tell(self, me: int, complete: bool = False, **states: i.ServerState) -> None:
        """The list as it stands, or changes of it."""
        names = states or self.listed
        self.feed(
            me,
            self.up[me],
            i.ServerList(
                tuple(
                    i.Server(
                        name, states.get(name, i.ServerState.READY), ready_at_ms=self.listed.get(name, 0.0)
                    )
                    for name in names
                ),
                complete,
            ),
        )

    def arrivals(self, per_s: float, for_ms: float, ask: Callable[[int], None] | None = None) -> None:
        """Poisson arrivals at gateways that are up, all alike."""

        def next_one() -> None:
            if self.now < end:
                (ask or self.ask)(self.random.choice([*self.up]))
                self.at(self.random.expovariate(per_s / 1000), next_one)

        end = self.now + for_ms
        self.at(self.random.expovariate(per_s / 1000), next_one)

    def ask(self, me: int, customer: str = "", plan: int = 0, set_size: int = 1) -> None:
        self._requests += 1
        number = self._requests
        self.asked_by[number] = customer
        self.feed(
            me,
            self.up[me],
            i.Request(number, 0, plan, customer or f"c{number}", 7000.0, gateway_count=set_size),
        )

    def feed(self, me: int, gate: Gateway, event: i.Event) -> None:
        if self.up.get(me) is not gate:
            return  # it was killed meanwhile
        for action in gate.handle(self.now, event):
            match action:
                case i.SetTimer():
                    self.at(action.delay_ms, lambda one=action: self.feed(me, gate, i.Timer(one.token)))  # type: ignore[misc]
                case i.Send():
                    self._send(me, gate, action)
                case i.Refuse() | i.Fail():
                    self.refused[me] += 1
                    self.causes[action.reason if isinstance(action, i.Refuse) else "failed"] += 1
                case i.AddToCounter():
                    self._count(me, gate, action)
                case _:
                    pass

    def _send(self, me: int, gate: Gateway, send: i.Send) -> None:
        attempt, node, began = self.attempts[me, send.request_id], self.nodes[send.server], self.now
        self.attempts[me, send.request_id] += 1
        if not attempt:
            self.let_in.setdefault(self.asked_by[send.request_id], []).append(self.now)
        self.dials[send.server] += (me, send.server) not in self.pairs
        self.pairs.add((me, send.server))
        ended = False

        def end(result: i.Result) -> None:
            nonlocal ended
            if not ended:
                ended = True
                ok, waited = result is i.Result.OK, self.now - began
                self.served[me] += ok
                self.feed(me, gate, i.AttemptEnded(send.request_id, attempt, send.server, result, waited, ok))

        if not node.up:
            self.in_vain[send.server] += 1
            self.at(1.0, lambda: end(i.Result.CONNECT_FAILED))
            return
        node.got.append(self.now)

        def begin() -> None:
            node.slots -= 1
            self.at(self.random.expovariate(1 / self.work_ms) / node.pace(self.now), done)

        def done() -> None:
            node.slots += 1
            end(i.Result.OK)
            if node.line:
                node.line.popleft()()

        if node.slots:
            begin()
        else:
            node.line.append(begin)
        self.at(send.timeout_ms, lambda: end(i.Result.TIMEOUT))

    def _count(self, me: int, gate: Gateway, call: i.AddToCounter) -> None:
        """A line with a place a call; who has waited for too long has been added all the same."""
        self.call_free = max(self.call_free, self.now) + self.call_ms
        waited = self.call_free - self.now + 1.0
        self.totals[call.key] = self.totals.get(call.key, 0.0) + call.amount
        total, late = self.totals[call.key], waited > self.settings.counter_timeout_ms
        result = i.Result.TIMEOUT if late else i.Result.OK
        self.at(
            min(waited, self.settings.counter_timeout_ms),
            lambda: self.feed(me, gate, i.CounterCallEnded(call.key, result, waited, total)),
        )
