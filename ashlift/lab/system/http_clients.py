"""Clients on real sockets. What they ask, and when, is `ashlift.simulation.clients.ClientPopulation`."""

from collections.abc import Callable, Mapping
from typing import Final

import attrs
import gevent

from ashlift.errors import Failure, FailureReason
from ashlift.gatekeeper.net.http_response import HttpResponse
from ashlift.lab.system.http_exchange import TIMED_OUT, request_head
from ashlift.lab.system.kept_connections import KeptConnections
from ashlift.lab.system.machine_layout import FRONT_PORT
from ashlift.lab.system.request_content import answer_fingerprint, content_of
from ashlift.simulation.clients import CONNECT_TIMEOUT_SECONDS, ClientOperation, ClientPopulation
from ashlift.simulation.event_loop import EventLoop
from ashlift.simulation.history import HOST, History, Request
from ashlift.simulation.process import Machine, Network

MAX_REQUESTS: Final = 20_000  # of a run; beyond these nothing is sent
MIN_TIMEOUT_SECONDS: Final = 0.001
KEPT_SHARE: Final = 0.7  # of requests that go on a connection used before, if there is one
# What is sent to a proxy that was told to end, whether /lookup names it or not: spread over its last seconds,
# and most of it around the moment at which it stops accepting connections.
REQUESTS_BEFORE_END: Final = 3
REQUESTS_AROUND_END: Final = 12
AROUND_END_SECONDS: Final = (-0.06, 0.08)


@attrs.frozen
class ProxyAccess:
    """What clients need to reach proxies.

    `ips`: of proxies by name; `sent_requests`: of all clients by attempt id, where each request is added
    before it is sent; `incarnation`: of a proxy now.
    """

    ips: Mapping[str, str]
    sent_requests: dict[str, Request]
    incarnation: Callable[[str], int]


class HttpClients(ClientPopulation):
    """The clients of one zone; a greenlet a request. Connections are kept, and used again."""

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
        self._connections = KeptConnections()

    def meet_end_of(self, proxy: str, accept_seconds: float) -> None:
        """A proxy was told to end: go on asking it. `accept_seconds`: for which it accepts connections."""
        rng = self.loop.rng
        for _ in range(REQUESTS_BEFORE_END):
            self.loop.call_later(rng.uniform(0.0, accept_seconds), self._ask_proxy, proxy)
        for _ in range(REQUESTS_AROUND_END):
            delay = accept_seconds + rng.uniform(*AROUND_END_SECONDS)
            self.loop.call_later(max(0.0, delay), self._ask_proxy, proxy)

    def _ask_proxy(self, proxy: str) -> None:
        """Send a request of any pattern to this proxy."""
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
        self.send_request(operation, request)

    def close_connections(self) -> None:
        """Close the connections that are kept."""
        self._connections.close()

    def send_request(self, operation: ClientOperation, request: Request) -> None:
        """Begin to send the request to its proxy."""
        if len(self._access.sent_requests) < MAX_REQUESTS:
            gevent.spawn(self._exchange, operation, request)

    def _exchange(self, operation: ClientOperation, request: Request) -> None:
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
        use_kept = self.loop.rng.random() < KEPT_SHARE
        answer = self._connections.exchange(
            address, head + content.body, timeout, CONNECT_TIMEOUT_SECONDS, record_received, use_kept
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
