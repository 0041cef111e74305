"""A simulation of many admission gateways with models of nodes, server list and counter, in simulated time.

No sockets; the same seed gives the same run.
"""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ashlift.gatekeeper.admission import interface as i
from ashlift.gatekeeper.admission.control import Gateway

TARGET_LATENCY_MS = 3000.0
SETTINGS = i.Settings(
    classes=(i.RequestClass(i.Effect.PURE, TARGET_LATENCY_MS, 7500.0),),
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
    """A server with two slots and a queue; slower for a while after its start."""

    started: float = 0.0  # 0: warm
    up: bool = True
    slots: int = 2
    queue: deque[Callable[[], None]] = field(default_factory=deque)
    request_times: list[float] = field(default_factory=list)

    def speed(self, now: float) -> float:
        if not self.started:
            return 1.0
        share = min(1.0, (now - self.started) / SETTINGS.warm_up_ms)
        return SETTINGS.cold_capacity_ratio + (1 - SETTINGS.cold_capacity_ratio) * share


class Fleet:
    """Gateways and nodes; `request`, `arrivals` and `at` schedule a run, counters hold its results."""

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
        self.listed = dict.fromkeys(self.nodes, 0.0)  # start time in the server list, by name
        self.up: dict[int, Gateway] = {}
        self.attempts: Counter[tuple[int, int]] = Counter()
        self.served, self.refused, self.connections = Counter[int](), Counter[int](), Counter[str]()
        self.refusal_reasons = Counter[str]()
        self.failed_connections = Counter[str]()  # by node
        self.connected: set[tuple[int, str]] = set()
        self.totals: dict[int, float] = {}
        self.customers: dict[int, str] = {}
        self.admitted: dict[str, list[float]] = {}  # times of admitted requests by customer
        self.counter_call_ms, self.counter_free_at = 1000 / calls_per_s if calls_per_s else 0.0, 0.0
        for index in range(size):
            self.start(index)

    def at(self, in_ms: float, function: Callable[[], None]) -> None:
        self._tick += 1
        heapq.heappush(self._queue, (self.now + in_ms, self._tick, function))

    def run(self, for_ms: float) -> None:
        end = self.now + for_ms
        while self._queue and self._queue[0][0] <= end:
            self.now, _, function = heapq.heappop(self._queue)
            function()
        self.now = end

    def start(self, index: int) -> None:
        self.up[index] = Gateway(replace(self.settings, gateway_index=index), self.seed * 1000 + index)
        self.send_list(index, complete=True)

    def kill(self, index: int) -> None:
        del self.up[index]

    def send_list(self, index: int, complete: bool = False, **states: i.ServerState) -> None:
        """Sends the server list, or these changes of it, to a gateway."""
        names = states or self.listed
        self.send_event(
            index,
            self.up[index],
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

    def arrivals(self, per_s: float, for_ms: float, request: Callable[[int], None] | None = None) -> None:
        """Schedules Poisson arrivals, spread evenly over the gateways that are up."""

        def next_one() -> None:
            if self.now < end:
                (request or self.request)(self.random.choice([*self.up]))
                self.at(self.random.expovariate(per_s / 1000), next_one)

        end = self.now + for_ms
        self.at(self.random.expovariate(per_s / 1000), next_one)

    def request(self, index: int, customer: str = "", plan: int = 0, set_size: int = 1) -> None:
        self._requests += 1
        number = self._requests
        self.customers[number] = customer
        self.send_event(
            index,
            self.up[index],
            i.Request(number, 0, plan, customer or f"c{number}", 7000.0, gateway_count=set_size),
        )

    def send_event(self, index: int, gateway: Gateway, event: i.Event) -> None:
        if self.up.get(index) is not gateway:
            return  # it has been killed
        for action in gateway.handle(self.now, event):
            match action:
                case i.SetTimer():
                    self.at(
                        action.delay_ms,
                        lambda one=action: self.send_event(index, gateway, i.Timer(one.token)),  # type: ignore[misc]
                    )
                case i.Send():
                    self._send(index, gateway, action)
                case i.Refuse() | i.Fail():
                    self.refused[index] += 1
                    self.refusal_reasons[action.reason if isinstance(action, i.Refuse) else "failed"] += 1
                case i.AddToCounter():
                    self._add_to_counter(index, gateway, action)
                case _:
                    pass

    def _send(self, index: int, gateway: Gateway, send: i.Send) -> None:
        attempt, node, began = self.attempts[index, send.request_id], self.nodes[send.server], self.now
        self.attempts[index, send.request_id] += 1
        if not attempt:
            self.admitted.setdefault(self.customers[send.request_id], []).append(self.now)
        self.connections[send.server] += (index, send.server) not in self.connected
        self.connected.add((index, send.server))
        ended = False

        def end(result: i.Result) -> None:
            nonlocal ended
            if not ended:
                ended = True
                ok, waited = result is i.Result.OK, self.now - began
                self.served[index] += ok
                self.send_event(
                    index, gateway, i.AttemptEnded(send.request_id, attempt, send.server, result, waited, ok)
                )

        if not node.up:
            self.failed_connections[send.server] += 1
            self.at(1.0, lambda: end(i.Result.CONNECT_FAILED))
            return
        node.request_times.append(self.now)

        def begin() -> None:
            node.slots -= 1
            self.at(self.random.expovariate(1 / self.work_ms) / node.speed(self.now), done)

        def done() -> None:
            node.slots += 1
            end(i.Result.OK)
            if node.queue:
                node.queue.popleft()()

        if node.slots:
            begin()
        else:
            node.queue.append(begin)
        self.at(send.timeout_ms, lambda: end(i.Result.TIMEOUT))

    def _add_to_counter(self, index: int, gateway: Gateway, call: i.AddToCounter) -> None:
        """A queue with a fixed time for each call; calls that time out are counted all the same."""
        self.counter_free_at = max(self.counter_free_at, self.now) + self.counter_call_ms
        waited = self.counter_free_at - self.now + 1.0
        self.totals[call.key] = self.totals.get(call.key, 0.0) + call.amount
        total, late = self.totals[call.key], waited > self.settings.counter_timeout_ms
        result = i.Result.TIMEOUT if late else i.Result.OK
        self.at(
            min(waited, self.settings.counter_timeout_ms),
            lambda: self.send_event(index, gateway, i.CounterCallEnded(call.key, result, waited, total)),
        )
