"""A quota counter whose counts are kept by a gRPC rate limit service; replaces the text counter."""

import math
from dataclasses import dataclass
from typing import Any

import grpc
from envoy.extensions.common.ratelimit.v3 import ratelimit_pb2
from envoy.service.ratelimit.v3 import rls_pb2, rls_pb2_grpc
from envoy.type.v3 import ratelimit_unit_pb2

from ashlift.gatekeeper.admission.interface import Result
from ashlift.gatekeeper.counter_calls import CounterCall, CounterCalls, ReconnectPolicy
from ashlift.gatekeeper.jobs import Clock, Inbox
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.ratelimit.bridge import Bridge
from ashlift.gatekeeper.ratelimit.messages import set_hits

MAX_TOTAL = 9_999_999  # sent as the limit, above any total, so that the response's remainder gives the total
OPTIONS = [
    ("grpc.enable_retries", 0),  # a retried call could be counted twice
    ("grpc.use_local_subchannel_pool", 1),  # a new channel opens a new connection
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 250),
    ("grpc.max_reconnect_backoff_ms", 1000),
]
CONNECT_FAILED_DETAILS = "failed to connect to all addresses"  # start of gRPC's error message


@dataclass(slots=True, eq=False)
class _Call(CounterCall):
    future: Any = None


class GrpcCounter:
    """Sends one RPC for each counter call, which ends with the response or on its own timer."""

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
        self._calls, self._reconnect_policy = (
            CounterCalls(timeout_ms, clock, inbox, metrics),
            ReconnectPolicy(timeout_ms),
        )
        self._open()

    def _open(self) -> None:
        self._channel = grpc.insecure_channel(self._address, options=OPTIONS)
        self._channel.subscribe(lambda state: None, try_to_connect=True)  # connect before the first call
        self._stub = rls_pb2_grpc.RateLimitServiceStub(self._channel)
        self._answered, self._unanswered_since = False, math.inf  # state of the current channel

    def add(self, name: int, amount: float, expire_ms: float) -> None:
        now = self._clock.now()
        if self._reconnect_policy.should_reconnect(now - self._unanswered_since, self._answered):
            self._metrics.add("counter.overdue")
            self._channel.close()  # calls in flight end by their timers: they may have been counted
            self._open()
        self._unanswered_since = min(self._unanswered_since, now)
        call = _Call(name)
        self._calls.begin(call, self._on_timeout)
        request = build_request(self._domain, name, round(amount), expire_ms)
        call.future = self._stub.ShouldRateLimit.future(request, timeout=self._calls.timeout_ms / 1000)
        call.future.add_done_callback(lambda future: self._bridge.post(self._on_done, call, future))

    def close(self) -> None:
        self._channel.close()

    def _on_timeout(self, call: _Call) -> None:
        self._calls.end(call, Result.TIMEOUT)
        call.future.cancel()

    def _on_done(self, call: _Call, future: Any) -> None:
        if future.cancelled():
            return
        if future.code() is not grpc.StatusCode.DEADLINE_EXCEEDED:
            self._answered, self._unanswered_since = True, math.inf
            self._reconnect_policy.reset()
        if future.code() is grpc.StatusCode.OK:
            self._calls.end(call, *read_response(future.result()))
        else:
            self._calls.end(call, read_error(future.code(), future.details() or ""))


def build_request(domain: str, name: int, amount: int, expire_ms: float) -> rls_pb2.RateLimitRequest:
    """A request that adds to the count `name`; `expire_ms` is the lifetime of the count if it is new."""
    request = rls_pb2.RateLimitRequest(domain=domain)
    descriptor = request.descriptors.add()
    descriptor.entries.add(key="count", value=str(name))
    descriptor.entries.add(key="life_ms", value=str(max(1, round(expire_ms))))
    override = ratelimit_pb2.RateLimitDescriptor.RateLimitOverride
    descriptor.limit.CopyFrom(override(requests_per_unit=MAX_TOTAL, unit=ratelimit_unit_pb2.HOUR))
    set_hits(descriptor, amount)
    return request


def read_response(response: rls_pb2.RateLimitResponse) -> tuple[Result, float, bool]:
    """The result, the total, and whether a limit of the service is exceeded.

    There is no valid total if the service's own limit is exceeded, and none in a response without the limit.
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
    """The result of a failed call; TIMEOUT (it may have been counted) unless it certainly was not."""
    if code is grpc.StatusCode.RESOURCE_EXHAUSTED:
        return Result.OVERLOADED
    if code is grpc.StatusCode.UNAVAILABLE and details.startswith(CONNECT_FAILED_DETAILS):
        return Result.CONNECT_FAILED
    return Result.TIMEOUT
