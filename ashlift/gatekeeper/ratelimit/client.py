"""A quota counter kept behind a gRPC rate limit service, in the text counter's place."""

import math
from dataclasses import dataclass
from typing import Any

import grpc
from envoy.extensions.common.ratelimit.v3 import ratelimit_pb2
from envoy.service.ratelimit.v3 import rls_pb2, rls_pb2_grpc
from envoy.type.v3 import ratelimit_unit_pb2

from ashlift.gatekeeper.admission.interface import Result
from ashlift.gatekeeper.calls import Call, Calls, Patience
from ashlift.gatekeeper.jobs import Clock, Inbox
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.ratelimit.bridge import Bridge
from ashlift.gatekeeper.ratelimit.messages import set_hits

MOST = 9_999_999  # no total is higher: the limit asked for, so that what is left tells the total
OPTIONS = [
    ("grpc.enable_retries", 0),  # a call sent twice may be added twice
    ("grpc.use_local_subchannel_pool", 1),  # a new channel is to have a connection of its own
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 250),
    ("grpc.max_reconnect_backoff_ms", 1000),
]
NOT_SENT = "failed to connect to all addresses"  # gRPC's own words where no connection came up


@dataclass(slots=True, eq=False)
class _Call(Call):
    future: Any = None


class GrpcCounter:
    """One call of the service for each call of the counter; ended by its answer or its own timer."""

    def __init__(
        self,
        address: str,
        domain: str,
        timeout_ms: float,
        bridge: Bridge,
        clock: Clock,
        inbox: Inbox,
        metrics: Metrics,
    ) -> None:
        self._address, self._domain, self._bridge = address, domain, bridge
        self._clock, self._metrics = clock, metrics
        self._calls, self._patience = Calls(timeout_ms, clock, inbox, metrics), Patience(timeout_ms)
        self._open()

    def _open(self) -> None:
        self._channel = grpc.insecure_channel(self._address, options=OPTIONS)
        self._channel.subscribe(lambda state: None, try_to_connect=True)  # up before the first call
        self._stub = rls_pb2_grpc.RateLimitServiceStub(self._channel)
        self._heard, self._since = False, math.inf  # since when calls have gone unanswered

    def add(self, name: int, amount: float, expire_ms: float) -> None:
        now = self._clock.now()
        if self._patience.is_over(now - self._since, self._heard):
            self._metrics.add("counter.overdue")
            self._channel.close()  # what is under way may have been added: its own timers say so
            self._open()
        self._since = min(self._since, now)
        call = _Call(name)
        self._calls.begin(call, self._give_up)
        request = build_request(self._domain, name, round(amount), expire_ms)
        call.future = self._stub.ShouldRateLimit.future(request, timeout=self._calls.timeout_ms / 1000)
        call.future.add_done_callback(lambda done: self._bridge.post(self._done, call, done))

    def close(self) -> None:
        self._channel.close()

    def _give_up(self, call: _Call) -> None:
        self._calls.end(call, Result.TIMEOUT)
        call.future.cancel()

    def _done(self, call: _Call, done: Any) -> None:
        if done.cancelled():
            return
        if done.code() is not grpc.StatusCode.DEADLINE_EXCEEDED:
            self._heard, self._since = True, math.inf
            self._patience.heard()
        if done.code() is grpc.StatusCode.OK:
            self._calls.end(call, *read_response(done.result()))
        else:
            self._calls.end(call, read_error(done.code(), done.details() or ""))


def build_request(domain: str, name: int, amount: int, expire_ms: float) -> rls_pb2.RateLimitRequest:
    """One call: the count's name, the life that a new one is to have, and a limit that no total reaches."""
    request = rls_pb2.RateLimitRequest(domain=domain)
    one = request.descriptors.add()
    one.entries.add(key="count", value=str(name))
    one.entries.add(key="life_ms", value=str(max(1, round(expire_ms))))
    override = ratelimit_pb2.RateLimitDescriptor.RateLimitOverride
    one.limit.CopyFrom(override(requests_per_unit=MOST, unit=ratelimit_unit_pb2.HOUR))
    set_hits(one, amount)
    return request


def read_response(response: rls_pb2.RateLimitResponse) -> tuple[Result, float, bool]:
    """Result, total, and whether it is over its limit.

    Guards against reading room into an answer that tells of none: over its limit, the service's own limit
    bounds what is left, and without a limit there is no total at all.
    """
    codes = [response.overall_code, *(status.code for status in response.statuses)]
    if rls_pb2.RateLimitResponse.OVER_LIMIT in codes:
        return Result.OK, 0.0, True
    if len(response.statuses) != 1 or codes != [rls_pb2.RateLimitResponse.OK] * 2:
        return Result.TIMEOUT, 0.0, False
    status = response.statuses[0]
    total = status.current_limit.requests_per_unit - status.limit_remaining
    if not status.HasField("current_limit") or total < 0:
        return Result.TIMEOUT, 0.0, False
    return Result.OK, float(total), False


def read_error(code: grpc.StatusCode, details: str) -> Result:
    """What a failed call leaves behind; wherever that is in doubt, it may have been added."""
    if code is grpc.StatusCode.RESOURCE_EXHAUSTED:
        return Result.OVERLOADED
    if code is grpc.StatusCode.UNAVAILABLE and details.startswith(NOT_SENT):
        return Result.CONNECT_FAILED
    return Result.TIMEOUT
