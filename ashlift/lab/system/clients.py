"""Clients of one zone on real sockets: what they want, and when, is `simulation.clients.ClientPopulation`."""

from collections.abc import Callable, Mapping
from typing import Any

import gevent

from ashlift.errors import Failure, FailureReason
from ashlift.lab.system.http_exchange import TIMED_OUT, exchange, request_head
from ashlift.lab.system.machine_layout import FRONT_PORT
from ashlift.lab.system.yard import asked, print_of
from ashlift.simulation.clients import CONNECT_TIMEOUT_SECONDS, ClientOperation, ClientPopulation
from ashlift.simulation.history import HOST, Request

REQUESTS_MOST = 20_000  # of a run


class WireCrowd(ClientPopulation):
    def reach(self, ips: Mapping[str, str], sent: dict[str, Request], life: Callable[[str], int]) -> None:
        """`ips`: of gatekeepers; `sent`: requests by attempt id; `life`: of a gatekeeper now."""
        self._ips, self._sent, self._life = ips, sent, life

    def send_request(self, operation: ClientOperation, request: Request) -> None:
        if len(self._sent) < REQUESTS_MOST:
            gevent.spawn(self._exchange, operation, request)

    def _exchange(self, operation: ClientOperation, request: Request) -> None:
        loop, left = self.loop, max(0.001, operation.deadline - self.loop.now)
        attempt = f"{request.id:016x}"
        self._sent[attempt] = request
        request.proxy_incarnation = self._life(request.proxy)
        method, target, body = asked(request)
        head = request_head(
            method.decode(),
            target.decode(),
            HOST,
            body,
            X_Attempt_Id=attempt,
            X_Time_Remaining=str(round(left * 1000)),
            Authorization=f"Bearer {request.key}",
        )

        def read() -> None:
            request.received = loop.now

        answer: Any = exchange(
            (self._ips[request.proxy], FRONT_PORT), head, body, left, read, CONNECT_TIMEOUT_SECONDS
        )
        if not isinstance(answer, Failure):
            told = dict(answer.headers)
            if 200 <= answer.status < 300:
                request.seal = print_of(told.get(b"x-server-seal", b"").decode(), b"".join(answer.parts))
            again = told.get(b"retry-after", b"")
            self.receive_answer(operation, request, answer.status, float(again) if again else None)
        elif answer.reason == FailureReason.UNREACHABLE:
            self.fail_attempt(operation, request, True)
        elif answer.detail == TIMED_OUT:
            request.ended, operation.finished = loop.now, True
        else:
            self.receive_answer(operation, request, 0, None)
