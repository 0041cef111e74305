"""Clients on real sockets; `ashlift.simulation.clients.ClientPopulation` decides what they send and when."""

from collections.abc import Callable, Mapping
from typing import Final

import attrs
import gevent

from ashlift.errors import Failure, FailureReason
from ashlift.gatekeeper.net.http_response import HttpResponse
from ashlift.lab.system.connection_pool import ConnectionPool
from ashlift.lab.system.http_exchange import TIMED_OUT, request_head
from ashlift.lab.system.machine_layout import FRONT_PORT
from ashlift.lab.system.request_content import answer_fingerprint, content_of
from ashlift.simulation.clients import CONNECT_TIMEOUT_SECONDS, ClientOperation, ClientPopulation
from ashlift.simulation.event_loop import EventLoop
from ashlift.simulation.history import HOST, History, Request
from ashlift.simulation.process import Machine, Network

MAX_REQUESTS: Final = 20_000  # of a run; further requests are not sent
MIN_TIMEOUT_SECONDS: Final = 0.001
REUSE_PROBABILITY: Final = 0.7  # that a request uses an idle connection, if there is one
# Requests to a proxy that is shutting down, sent even if /lookup no longer lists it: spread over the time in
# which it accepts connections, with most of them around the end of that time.
REQUESTS_WHILE_ACCEPTING: Final = 3
REQUESTS_AROUND_CLOSE: Final = 12
# On connections that are open already, until the process is gone.
REQUESTS_ON_OPEN_CONNECTIONS: Final = 16
CLOSE_OFFSET_SECONDS: Final = (-0.06, 0.08)


@attrs.frozen
class ProxyAccess:
    """What clients need to reach proxies.

    `ips`: by proxy name; `sent_requests`: requests of all clients by attempt id, added before they
    are sent; `incarnation`: returns the current incarnation of a proxy.
    """

    ips: Mapping[str, str]
    sent_requests: dict[str, Request]
    incarnation: Callable[[str], int]


class HttpClients(ClientPopulation):
    """The clients of one zone. Each request runs in a greenlet; connections are pooled."""

    def __init__(
        self,
        loop: EventLoop,
        net: Network,
        machine: Machine,
        history: History,
        registries: list[str],
        rate_share: Callable[[], float],
        access: ProxyAccess,
    ) -> None:
        super().__init__(loop, net, machine, history, registries, rate_share)
        self._access = access
        self._connections = ConnectionPool()

    def send_during_shutdown(self, proxy: str, accept_seconds: float, grace_seconds: float) -> None:
        """Keep sending to a proxy that shuts down.

        `accept_seconds`: how long it accepts connections; `grace_seconds`: how long it may run on.
        """
        rng = self.loop.rng
        for _ in range(REQUESTS_ON_OPEN_CONNECTIONS):
            self.loop.call_later(rng.uniform(0.0, grace_seconds), self._send_on_open_connection, proxy)
        for _ in range(REQUESTS_WHILE_ACCEPTING):
            self.loop.call_later(rng.uniform(0.0, accept_seconds), self._send_to_proxy, proxy)
        for _ in range(REQUESTS_AROUND_CLOSE):
            delay = accept_seconds + rng.uniform(*CLOSE_OFFSET_SECONDS)
            self.loop.call_later(max(0.0, delay), self._send_to_proxy, proxy)

    def _send_on_open_connection(self, proxy: str) -> None:
        """Send a request to this proxy if one of the connections to it is idle and has not been closed."""
        if self._connections.has_open((self._access.ips[proxy], FRONT_PORT)):
            self._send_to_proxy(proxy, reuse=True)

    def _send_to_proxy(self, proxy: str, reuse: bool | None = None) -> None:
        """Send a request of a random pattern to this proxy; `reuse`: as for `_exchange`."""
        if not self.patterns:
            return
        now = self.loop.now
        pattern = self.loop.rng.choice(self.patterns)
        operation = ClientOperation(pattern, now + pattern.timeout, attempts=1)
        self.operations.append(operation)
        request = self.history.add_request(
            pattern.path, pattern.idempotent, pattern.key, self.machine.zone, self.machine.region, now
        )
        request.proxy = proxy
        self._start_exchange(operation, request, reuse)

    def close_connections(self) -> None:
        """Close all idle connections."""
        self._connections.close()

    def send_request(self, operation: ClientOperation, request: Request) -> None:
        """Start sending the request to its proxy."""
        self._start_exchange(operation, request, None)

    def _start_exchange(self, operation: ClientOperation, request: Request, reuse: bool | None) -> None:
        if len(self._access.sent_requests) < MAX_REQUESTS:
            gevent.spawn(self._exchange, operation, request, reuse)

    def _exchange(self, operation: ClientOperation, request: Request, reuse: bool | None) -> None:
        """Send the request and handle its answer; `reuse`: whether on an idle connection, None: at random."""
        timeout = max(MIN_TIMEOUT_SECONDS, operation.deadline - self.loop.now)
        attempt_id = f"{request.id:016x}"
        self._access.sent_requests[attempt_id] = request
        request.proxy_incarnation = self._access.incarnation(request.proxy)
        content = content_of(request)
        head = request_head(
            content.method.decode(),
            content.target.decode(),
            HOST,
            content.body,
            X_Attempt_Id=attempt_id,
            X_Time_Remaining=str(round(timeout * 1000)),
            Authorization=f"Bearer {request.key}",
        )

        def record_received() -> None:
            request.received = self.loop.now

        address = (self._access.ips[request.proxy], FRONT_PORT)
        if reuse is None:
            reuse = self.loop.rng.random() < REUSE_PROBABILITY
        answer = self._connections.exchange(
            address, head + content.body, timeout, CONNECT_TIMEOUT_SECONDS, record_received, reuse
        )
        if isinstance(answer, Failure):
            self._handle_failure(operation, request, answer)
        else:
            self._handle_answer(operation, request, answer)

    def _handle_answer(self, operation: ClientOperation, request: Request, answer: HttpResponse) -> None:
        headers = dict(answer.headers)
        if 200 <= answer.status < 300:
            seal = headers.get(b"x-server-seal", b"").decode()
            request.seal = answer_fingerprint(seal, b"".join(answer.parts))
        retry_after = headers.get(b"retry-after", b"")
        self.receive_response(operation, request, answer.status, float(retry_after) if retry_after else None)

    def _handle_failure(self, operation: ClientOperation, request: Request, failure: Failure) -> None:
        if failure.reason == FailureReason.UNREACHABLE:
            self.fail_attempt(operation, request, True)
        elif failure.detail == TIMED_OUT:
            request.ended = self.loop.now
            operation.finished = True
        else:
            self.receive_response(operation, request, 0, None)
