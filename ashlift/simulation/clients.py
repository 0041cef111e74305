"""Simulated clients: request patterns, lookup and choice of proxies, retries."""

import math
from collections.abc import Callable

from attrs import define

from ashlift.simulation import proxy_process, registry_process
from ashlift.simulation.event_loop import EventLoop
from ashlift.simulation.history import History, Request
from ashlift.simulation.network import as_simulated
from ashlift.simulation.process import Machine, Network, Process, Task
from ashlift.simulation.proxy_process import ProxyProcess
from ashlift.simulation.registry_methods import RegistryMethod

MAX_ATTEMPTS = 3
CONNECT_TIMEOUT_SECONDS = 1.0
LOOKUP_INTERVAL_SECONDS = 1.0
LOOKUP_TIMEOUT_SECONDS = 1.0
REGISTRIES_ASKED = 3
HOP_SECONDS = 0.001  # one-way delay between a client and a proxy of its zone
PROXY_AVOIDANCE_SECONDS = 2.0  # after a failure
NO_PROXY_RETRY_SECONDS = 0.3
IDLE_POLL_SECONDS = 0.2  # between checks of the rate while it is 0


@define(slots=True)
class RequestPattern:
    """A kind of request that clients send at a rate.

    `rate`: operations a second over all zones; `timeout`: seconds for an operation with all its attempts.
    """

    path: str
    idempotent: bool
    key: str
    rate: float
    timeout: float = 3.0


@define(eq=False, slots=True)
class ClientOperation:
    """One operation of a client, with all its attempts."""

    pattern: RequestPattern
    deadline: float
    attempts: int = 0
    served: bool = False
    finished: bool = False

    @property
    def started(self) -> float:
        """When the operation was started."""
        return self.deadline - self.pattern.timeout


class ClientPopulation(Process):
    """The clients of one zone, which share the latest lookup result."""

    def __init__(
        self,
        loop: EventLoop,
        net: Network,
        machine: Machine,
        history: History,
        registries: list[str],
        rate_share: Callable[[], float],
    ) -> None:
        """`rate_share`: the share of each pattern's rate that these clients send."""
        super().__init__(loop, net, machine, "clients")
        self.history = history
        self.registries = registries
        self.rate_share = rate_share
        self.patterns: list[RequestPattern] = []
        self.operations: list[ClientOperation] = []
        self.proxies: list[str] = []
        self._avoided_until: dict[str, float] = {}  # by proxy

    def on_start(self) -> None:
        """Start the periodic lookup of proxies."""
        self.spawn(self._look_up_proxies())

    def _look_up_proxies(self) -> Task:
        by_distance = sorted(self.registries, key=self._distance)
        yield self.loop.rng.random()
        while True:
            for registry in by_distance[:REGISTRIES_ASKED]:
                body = (self.machine.zone, self.machine.region)
                response = yield self.call(
                    registry, registry_process.KIND, RegistryMethod.LOOKUP, body, LOOKUP_TIMEOUT_SECONDS
                )
                if isinstance(response, tuple) and response[0] == 200:
                    self.proxies = [address.partition(":")[0] for address in response[1]]
                    break
            yield LOOKUP_INTERVAL_SECONDS

    def _distance(self, machine_name: str) -> tuple[bool, bool]:
        machine = self.net.machines[machine_name]
        return machine.zone != self.machine.zone, machine.region != self.machine.region

    # ---- operations
    def add_pattern(self, pattern: RequestPattern) -> None:
        """Start to send requests of this pattern."""
        self.patterns.append(pattern)
        self._schedule_next(pattern)

    def _schedule_next(self, pattern: RequestPattern) -> None:
        rate = pattern.rate * self.rate_share()
        if rate > 0:
            self.loop.call_later(self.loop.rng.expovariate(rate), self._start_operation, pattern)
        else:
            self.loop.call_later(IDLE_POLL_SECONDS, self._schedule_next, pattern)

    def _start_operation(self, pattern: RequestPattern) -> None:
        if pattern not in self.patterns:
            return
        operation = ClientOperation(pattern, self.loop.now + pattern.timeout)
        self.operations.append(operation)
        self.attempt(operation)
        self._schedule_next(pattern)

    def attempt(self, operation: ClientOperation) -> None:
        """Send a request for the operation to a random proxy, if it has attempts and time left."""
        now = self.loop.now
        if operation.attempts >= MAX_ATTEMPTS or now >= operation.deadline:
            operation.finished = True
            return
        operation.attempts += 1
        usable = [proxy for proxy in self.proxies if self._avoided_until.get(proxy, 0.0) <= now]
        candidates = usable or self.proxies
        if not candidates:
            self.loop.call_later(NO_PROXY_RETRY_SECONDS, self.attempt, operation)
            return
        proxy = self.loop.rng.choice(candidates)
        pattern = operation.pattern
        request = self.history.add_request(
            pattern.path, pattern.idempotent, pattern.key, self.machine.zone, self.machine.region, now
        )
        request.proxy = proxy
        self.send_request(operation, request)

    def send_request(self, operation: ClientOperation, request: Request) -> None:
        """Send the request to its proxy."""
        net = as_simulated(self.net)
        machine = net.machines[request.proxy]
        proxy = machine.processes[proxy_process.KIND]
        assert isinstance(proxy, ProxyProcess)
        delay = HOP_SECONDS
        if machine.zone != self.machine.zone:
            delay += net.delay(self.machine, machine)
        if not machine.powered or not net.is_connected(self.machine.link_name, machine.link_name):
            self.loop.call_later(CONNECT_TIMEOUT_SECONDS, self.fail_attempt, operation, request, True)
        elif not proxy.up:
            self.loop.call_later(2 * delay, self.fail_attempt, operation, request, True)
        else:
            exchange = _ProxyExchange(self, operation, request, proxy, delay)
            self.loop.call_later(delay, exchange.arrive)

    # ---- outcomes of attempts
    def fail_attempt(self, operation: ClientOperation, request: Request, unread: bool) -> None:
        """Handle a failed connection; `unread`: the proxy cannot have read the request."""
        request.ended = self.loop.now
        self._avoided_until[request.proxy] = self.loop.now + PROXY_AVOIDANCE_SECONDS
        if unread or operation.pattern.idempotent:
            self.attempt(operation)
        else:
            operation.finished = True

    def receive_response(
        self, operation: ClientOperation, request: Request, status: int, retry_after: float | None
    ) -> None:
        """Handle the proxy's response; `status` 0: the connection ended without one."""
        if not math.isinf(request.ended):
            return
        now = self.loop.now
        request.status = status
        request.ended = now
        request.connection_broken = status == 0
        if status == 0:
            self.fail_attempt(operation, request, False)
        elif 200 <= status < 300:
            operation.served = True
            operation.finished = True
        elif status in (429, 503):
            wait = min(retry_after or 0.0, (operation.deadline - now) / 3)
            self.loop.call_later(wait, self.attempt, operation)
        elif status in (400, 401, 404, 413, 431) or not operation.pattern.idempotent:
            operation.finished = True
        else:
            self.attempt(operation)


class _ProxyExchange:
    """A request in transit to a running proxy, and the response to it."""

    __slots__ = ("_clients", "_delay", "_operation", "_proxy", "_proxy_incarnation", "_request")

    def __init__(
        self,
        clients: ClientPopulation,
        operation: ClientOperation,
        request: Request,
        proxy: ProxyProcess,
        delay: float,
    ) -> None:
        self._clients = clients
        self._operation = operation
        self._request = request
        self._proxy = proxy
        self._proxy_incarnation = proxy.incarnation
        self._delay = delay

    def arrive(self) -> None:
        """Handle the arrival of the request at the proxy's machine."""
        proxy = self._proxy
        if not proxy.up or proxy.incarnation != self._proxy_incarnation:
            self._clients.fail_attempt(self._operation, self._request, True)
            return
        remaining = self._operation.deadline - self._clients.loop.now
        proxy.deliver(self._hand_over, (remaining,))
        self._clients.loop.call_later(remaining, self._give_up)

    def _hand_over(self, remaining: float) -> None:
        if math.isinf(self._request.ended):
            self._proxy.receive_request(self._request, remaining, self._respond)

    def _respond(self, status: int, retry_after: float | None) -> None:
        clients = self._clients
        net = as_simulated(clients.net)
        if net.is_connected(clients.machine.link_name, self._proxy.machine.link_name):
            clients.loop.call_later(
                self._delay, clients.receive_response, self._operation, self._request, status, retry_after
            )

    def _give_up(self) -> None:
        """Close the connection after the client's timeout."""
        request = self._request
        if not math.isinf(request.ended):
            return
        request.ended = self._clients.loop.now
        self._operation.finished = True
        proxy_request = self._proxy.requests.get(request)
        if proxy_request is not None:
            self._proxy.deliver(proxy_request.client_disconnected, ())
