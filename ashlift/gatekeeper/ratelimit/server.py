"""The gRPC front: ShouldRateLimit, answered by the same owner and Gateway as the platform's jobs.

A descriptor names one firm and its plan; each becomes one job that asks only whether it may pass. Units of
a descriptor that may pass are taken even where another of the same call is over: the counts are made the
moment each is decided, as Envoy's own service makes them. The call is over if any of its descriptors is.
"""

import contextlib
from concurrent.futures import Future, InvalidStateError, ThreadPoolExecutor
from concurrent.futures import wait as wait_all
from functools import partial

import gevent
import grpc
from envoy.config.core.v3 import base_pb2
from envoy.extensions.common.ratelimit.v3 import ratelimit_pb2
from envoy.service.ratelimit.v3 import rls_pb2, rls_pb2_grpc

from ashlift.gatekeeper.config import RequestSchema, normalize_customer
from ashlift.gatekeeper.jobs import Answer, Clock, Inbox, Job, Left, Verdict
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.ratelimit.bridge import Bridge
from ashlift.gatekeeper.ratelimit.messages import is_negative

WORKERS = 16  # calls waiting for the owner at once: each waits a few ms at most, unless held for a count
QUEUED_MOST = 256  # calls beyond that are turned away at once
LONGEST_S = 60.0  # a call without a deadline waits no longer, whatever becomes of the owner
DESCRIPTORS_MOST = 32
ENTRIES = ("firm", "plan", "class", "spread")
Code = rls_pb2.RateLimitResponse.Code


class AskError(Exception):
    """A call that cannot be right; the text names the field."""


def _settle(waiting: Future[Answer], answer: Answer) -> None:
    """Guards against the race of the owner's answer with the end of the call: the first one counts."""
    with contextlib.suppress(InvalidStateError):
        waiting.set_result(answer)


class RateLimitService(rls_pb2_grpc.RateLimitServiceServicer):  # type: ignore[misc]
    """Turns calls into jobs, and answers into responses, in gRPC's threads."""

    def __init__(
        self, domain: str, schema: RequestSchema, bridge: Bridge, clock: Clock, inbox: Inbox, metrics: Metrics
    ) -> None:
        self._domain, self._schema, self._bridge, self._clock = domain, schema, bridge, clock
        self._inbox, self._metrics = inbox, metrics
        self._server: grpc.Server | None = None

    def listen(self, address: str) -> int:
        """Start; the port is told for where the address leaves it open."""
        self._server = grpc.server(
            ThreadPoolExecutor(WORKERS, "ratelimit"),
            maximum_concurrent_rpcs=QUEUED_MOST,
            options=[("grpc.so_reuseport", 0), ("grpc.max_receive_message_length", 64 * 1024)],
        )
        rls_pb2_grpc.add_RateLimitServiceServicer_to_server(self, self._server)
        port = self._server.add_insecure_port(address)
        self._server.start()
        return port

    def close(self, grace_s: float) -> None:
        """No new calls; those taken are answered first. Waits in the loop, which their answers need."""
        if self._server is not None:
            stopped = self._server.stop(grace_s)
            while not stopped.is_set():
                gevent.sleep(0.01)

    def ShouldRateLimit(  # noqa: N802  (the name in the protocol)
        self,
        request: rls_pb2.RateLimitRequest,
        context: grpc.ServicerContext,
    ) -> rls_pb2.RateLimitResponse:
        answers: list[Future[Answer]] = []
        left = context.time_remaining()
        try:
            jobs = self._jobs(request, left, answers)
        except AskError as error:
            self._bridge.post(self._metrics.add, "ratelimit.invalid")
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        self._bridge.post(self._metrics.add, "ratelimit.calls")
        if left is not None and left <= 0:
            self._expire(context)
        context.add_callback(lambda: self._ended(jobs))  # also where the caller went away
        for job in jobs:
            self._bridge.post(self._inbox.put, job)
        wait_all(answers, timeout=left if left is not None else LONGEST_S)
        # At the deadline the end of the call may settle the answers before the wait gives up.
        if not all(answer.done() for answer in answers) or context.time_remaining() == 0:
            self._expire(context)
        return self._response([answer.result() for answer in answers], context)

    def _ended(self, jobs: list[Job]) -> None:
        """The call is over, however it ended: what is not decided yet is not wanted any more."""
        for job in jobs:
            self._bridge.post(self._inbox.put, Left(job))
            job.reply(Answer(Verdict.FAILED))  # lets its thread go, if that still waits

    def _expire(self, context: grpc.ServicerContext) -> None:
        self._bridge.post(self._metrics.add, "ratelimit.expired")
        context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "the deadline passed before the quota was known")

    def _response(self, answers: list[Answer], context: grpc.ServicerContext) -> rls_pb2.RateLimitResponse:
        if any(answer.verdict is Verdict.FAILED for answer in answers):
            context.abort(grpc.StatusCode.INTERNAL, "the quota could not be decided")
        response = rls_pb2.RateLimitResponse(overall_code=Code.OK)
        longest = 0.0
        for answer in answers:
            over = answer.verdict is Verdict.REFUSED
            status = response.statuses.add(code=Code.OVER_LIMIT if over else Code.OK)
            if over:
                response.overall_code = Code.OVER_LIMIT
                status.duration_until_reset.FromMilliseconds(round(answer.retry_after_ms))
                longest = max(longest, answer.retry_after_ms)
        if longest > 0:
            response.response_headers_to_add.append(
                base_pb2.HeaderValue(key="retry-after", value=f"{longest / 1000:.3f}")
            )
        return response

    # ---- reading a call

    def _jobs(
        self, request: rls_pb2.RateLimitRequest, left_s: float | None, answers: list[Future[Answer]]
    ) -> list[Job]:
        if request.domain != self._domain:
            raise AskError(f"domain: not known here: {request.domain!r}")
        if not 1 <= len(request.descriptors) <= DESCRIPTORS_MOST:
            raise AskError(f"descriptors: 1 to {DESCRIPTORS_MOST} are taken, not {len(request.descriptors)}")
        return [
            self._job(f"descriptors[{at}]", one, request.hits_addend, left_s, answers)
            for at, one in enumerate(request.descriptors)
        ]

    def _job(
        self,
        where: str,
        one: ratelimit_pb2.RateLimitDescriptor,
        shared: int,
        left_s: float | None,
        answers: list[Future[Answer]],
    ) -> Job:
        entries: dict[str, str] = {}
        for at, entry in enumerate(one.entries):
            if entry.key not in ENTRIES or entry.key in entries:
                raise AskError(f"{where}.entries[{at}].key: not known or given twice: {entry.key!r}")
            entries[entry.key] = entry.value
        if one.HasField("limit"):
            raise AskError(f"{where}.limit: quotas come with the plan")
        if is_negative(one):
            raise AskError(f"{where}.is_negative_hits: units are not given back")
        plan = self._schema.plans.get(entries.get("plan", "").encode())
        if plan is None:
            raise AskError(f"{where}.entries plan: missing or not known: {entries.get('plan')!r}")
        kind = self._schema.classes.get(entries["class"].encode()) if "class" in entries else 0
        if kind is None:
            raise AskError(f"{where}.entries class: not known: {entries['class']!r}")
        try:
            firm = normalize_customer(entries.get("firm", ""))
        except ValueError:
            raise AskError(f"{where}.entries firm: missing or not 16 hex digits") from None
        # Its calls may come to any gatekeeper, unless told otherwise.
        spread = entries.get("spread", str(self._schema.gateway_count))
        if not (spread.isascii() and spread.isdigit() and 1 <= int(spread) <= self._schema.gateway_count):
            raise AskError(f"{where}.entries spread: not from 1 to {self._schema.gateway_count}: {spread!r}")
        units = one.hits_addend.value if one.HasField("hits_addend") else shared
        give_up_ms = self._schema.client_timeouts_ms[kind]
        patience = give_up_ms if left_s is None else min(give_up_ms, 1000 * left_s)
        answer: Future[Answer] = Future()
        answers.append(answer)
        return Job(
            kind,
            plan,
            firm,
            patience,
            self._clock.now(),
            partial(_settle, answer),
            None,
            float(units or 1),
            int(spread),
        )
