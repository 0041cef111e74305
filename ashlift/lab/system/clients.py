"""Clients of one zone on real sockets: what they want, and when, is `simulation.people.Crowd`."""

from collections.abc import Callable, Mapping
from typing import Any

import gevent

from ashlift.errors import Failure, FailureReason
from ashlift.lab.system.places import FRONT
from ashlift.lab.system.wire import exchange, request_head
from ashlift.lab.system.yard import asked, print_of
from ashlift.simulation.history import HOST, Request
from ashlift.simulation.people import CONNECT_S, Crowd, Errand

REQUESTS_MOST = 20_000  # of a run


class WireCrowd(Crowd):
    def reach(self, ips: Mapping[str, str], sent: dict[str, Request], life: Callable[[str], int]) -> None:
        """`ips`: of gatekeepers; `sent`: requests by attempt id; `life`: of a gatekeeper now."""
        self._ips, self._sent, self._life = ips, sent, life

    def send_request(self, errand: Errand, request: Request) -> None:
        if len(self._sent) < REQUESTS_MOST:
            gevent.spawn(self._exchange, errand, request)

    def _exchange(self, errand: Errand, request: Request) -> None:
        loop, left = self.loop, max(0.001, errand.until - self.loop.now)
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

        answer: Any = exchange((self._ips[request.proxy], FRONT), head, body, left, read, CONNECT_S)
        if not isinstance(answer, Failure):
            told = dict(answer.headers)
            if 200 <= answer.status < 300:
                request.seal = print_of(told.get(b"x-server-seal", b"").decode(), b"".join(answer.parts))
            again = told.get(b"retry-after", b"")
            self._answered(errand, request, answer.status, float(again) if again else None)
        elif answer.reason == FailureReason.UNREACHABLE:
            self._failed(errand, request, True)
        elif answer.detail == "late":
            request.ended, errand.over = loop.now, True
        else:
            self._answered(errand, request, 0, None)
