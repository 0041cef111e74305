"""Clients on real sockets. What they ask, and when, is `ashlift.simulation.clients.ClientPopulation`."""

from collections.abc import Callable, Mapping
from typing import Final

import attrs
import gevent

from ashlift.errors import Failure, FailureReason
from ashlift.gatekeeper.net.replies import Reply
from ashlift.lab.system.http_exchange import TIMED_OUT, exchange, request_head
from ashlift.lab.system.machine_layout import FRONT_PORT
from ashlift.lab.system.request_content import answer_fingerprint, content_of
from ashlift.simulation.clients import CONNECT_TIMEOUT_SECONDS, ClientOperation, ClientPopulation
from ashlift.simulation.event_loop import EventLoop
from ashlift.simulation.history import HOST, History, Request
from ashlift.simulation.process import Machine, Network

MAX_REQUESTS: Final = 20_000  # of a run; beyond these nothing is sent
MIN_TIMEOUT_SECONDS: Final = 0.001


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
    """The clients of one zone; each request has a connection and a greenlet of its own."""

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
        answer = exchange(address, head, content.body, timeout, record_received, CONNECT_TIMEOUT_SECONDS)
        if isinstance(answer, Failure):
            self._handle_failure(operation, request, answer)
        else:
            self._handle_answer(operation, request, answer)

    def _handle_answer(self, operation: ClientOperation, request: Request, answer: Reply) -> None:
        headers = dict(answer.headers)
        if 200 <= answer.status < 300:
            seal = headers.get(b"x-server-seal", b"").decode()
            request.seal = answer_fingerprint(seal, b"".join(answer.parts))
        retry_after = headers.get(b"retry-after", b"")
        self.receive_answer(operation, request, answer.status, float(retry_after) if retry_after else None)

    def _handle_failure(self, operation: ClientOperation, request: Request, failure: Failure) -> None:
        if failure.reason == FailureReason.UNREACHABLE:
            self.fail_attempt(operation, request, True)
        elif failure.detail == TIMED_OUT:
            request.ended = self.loop.now
            operation.finished = True
        else:
            self.receive_answer(operation, request, 0, None)
