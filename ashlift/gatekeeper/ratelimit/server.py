"""The gRPC rate limit service: ShouldRateLimit, decided by the same admission gateway as HTTP requests.

Each descriptor names a customer (`firm`) and its plan and becomes one job that is admitted or refused but not
sent to a node. The call is over the limit if any of its descriptors is; as in Envoy's reference service, the
units of the others are counted all the same.
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
from ashlift.gatekeeper.jobs import Answer, Clock, Inbox, Job, JobAbandoned, Verdict
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.ratelimit.bridge import Bridge
from ashlift.gatekeeper.ratelimit.messages import is_negative

WORKER_THREADS = 16  # calls usually wait a few ms for the owner, longer only for the shared counter
MAX_CONCURRENT_CALLS = 256  # further calls are rejected
MAX_WAIT_S = 60.0  # for calls without a deadline
MAX_DESCRIPTORS = 32
ENTRY_KEYS = ("firm", "plan", "class", "spread")
Code = rls_pb2.RateLimitResponse.Code


class InvalidRequestError(Exception):
    """The request is invalid; the message names the field."""


def _set_answer(future: Future[Answer], answer: Answer) -> None:
    """Sets the result unless it is set: the owner's answer races with the end of the call."""
    with contextlib.suppress(InvalidStateError):
        future.set_result(answer)


class RateLimitService(rls_pb2_grpc.RateLimitServiceServicer):  # type: ignore[misc]
    """Converts calls to jobs and their answers to responses, in gRPC's threads."""

    def __init__(
        self, domain: str, schema: RequestSchema, bridge: Bridge, clock: Clock, inbox: Inbox, metrics: Metrics
    ) -> None:
        self._domain, self._schema, self._bridge, self._clock = domain, schema, bridge, clock
        self._inbox, self._metrics = inbox, metrics
        self._server: grpc.Server | None = None

    def listen(self, address: str) -> int:
        """Starts the server and returns its port, which the system chooses if the address has port 0."""
        self._server = grpc.server(
            ThreadPoolExecutor(WORKER_THREADS, "ratelimit"),
            maximum_concurrent_rpcs=MAX_CONCURRENT_CALLS,
            options=[("grpc.so_reuseport", 0), ("grpc.max_receive_message_length", 64 * 1024)],
        )
        rls_pb2_grpc.add_RateLimitServiceServicer_to_server(self, self._server)
        port = self._server.add_insecure_port(address)
        self._server.start()
        return port

    def close(self, grace_s: float) -> None:
        """Stops accepting calls and waits until those in progress end, while the gevent loop runs on."""
        if self._server is not None:
            stopped = self._server.stop(grace_s)
            while not stopped.is_set():
                gevent.sleep(0.01)

    def ShouldRateLimit(  # noqa: N802  (name given by the protocol)
        self,
        request: rls_pb2.RateLimitRequest,
        context: grpc.ServicerContext,
    ) -> rls_pb2.RateLimitResponse:
        answers: list[Future[Answer]] = []
        time_left_s = context.time_remaining()
        try:
            jobs = self._jobs(request, time_left_s, answers)
        except InvalidRequestError as error:
            self._bridge.post(self._metrics.add, "ratelimit.invalid")
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        self._bridge.post(self._metrics.add, "ratelimit.calls")
        if time_left_s is not None and time_left_s <= 0:
            self._abort_expired(context)
        context.add_callback(lambda: self._abandon(jobs))  # also called when the client disconnects
        for job in jobs:
            self._bridge.post(self._inbox.put, job)
        wait_all(answers, timeout=time_left_s if time_left_s is not None else MAX_WAIT_S)
        # At the deadline, _abandon may complete the answers before the wait times out.
        if not all(answer.done() for answer in answers) or context.time_remaining() == 0:
            self._abort_expired(context)
        return self._response([answer.result() for answer in answers], context)

    def _abandon(self, jobs: list[Job]) -> None:
        """Ends the jobs of a finished call that are still undecided."""
        for job in jobs:
            self._bridge.post(self._inbox.put, JobAbandoned(job))
            job.reply(Answer(Verdict.FAILED))  # releases the thread if it still waits

    def _abort_expired(self, context: grpc.ServicerContext) -> None:
        self._bridge.post(self._metrics.add, "ratelimit.expired")
        context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "the deadline passed before the quota was known")

    def _response(self, answers: list[Answer], context: grpc.ServicerContext) -> rls_pb2.RateLimitResponse:
        if any(answer.verdict is Verdict.FAILED for answer in answers):
            context.abort(grpc.StatusCode.INTERNAL, "the quota could not be decided")
        response = rls_pb2.RateLimitResponse(overall_code=Code.OK)
        retry_after_ms = 0.0
        for answer in answers:
            over = answer.verdict is Verdict.REFUSED
            status = response.statuses.add(code=Code.OVER_LIMIT if over else Code.OK)
            if over:
                response.overall_code = Code.OVER_LIMIT
                status.duration_until_reset.FromMilliseconds(round(answer.retry_after_ms))
                retry_after_ms = max(retry_after_ms, answer.retry_after_ms)
        if retry_after_ms > 0:
            response.response_headers_to_add.append(
                base_pb2.HeaderValue(key="retry-after", value=f"{retry_after_ms / 1000:.3f}")
            )
        return response

    # ---- parsing of requests

    def _jobs(
        self, request: rls_pb2.RateLimitRequest, time_left_s: float | None, answers: list[Future[Answer]]
    ) -> list[Job]:
        if request.domain != self._domain:
            raise InvalidRequestError(f"domain: not known here: {request.domain!r}")
        if not 1 <= len(request.descriptors) <= MAX_DESCRIPTORS:
            raise InvalidRequestError(
                f"descriptors: 1 to {MAX_DESCRIPTORS} are taken, not {len(request.descriptors)}"
            )
        return [
            self._job(f"descriptors[{index}]", descriptor, request.hits_addend, time_left_s, answers)
            for index, descriptor in enumerate(request.descriptors)
        ]

    def _job(
        self,
        field: str,
        descriptor: ratelimit_pb2.RateLimitDescriptor,
        default_hits: int,
        time_left_s: float | None,
        answers: list[Future[Answer]],
    ) -> Job:
        entries: dict[str, str] = {}
        for index, entry in enumerate(descriptor.entries):
            if entry.key not in ENTRY_KEYS or entry.key in entries:
                raise InvalidRequestError(
                    f"{field}.entries[{index}].key: not known or given twice: {entry.key!r}"
                )
            entries[entry.key] = entry.value
        if descriptor.HasField("limit"):
            raise InvalidRequestError(f"{field}.limit: quotas come with the plan")
        if is_negative(descriptor):
            raise InvalidRequestError(f"{field}.is_negative_hits: units are not given back")
        plan = self._schema.plans.get(entries.get("plan", "").encode())
        if plan is None:
            raise InvalidRequestError(f"{field}.entries plan: missing or not known: {entries.get('plan')!r}")
        request_class = self._schema.classes.get(entries["class"].encode()) if "class" in entries else 0
        if request_class is None:
            raise InvalidRequestError(f"{field}.entries class: not known: {entries['class']!r}")
        try:
            firm = normalize_customer(entries.get("firm", ""))
        except ValueError:
            raise InvalidRequestError(f"{field}.entries firm: missing or not 16 hex digits") from None
        # By default, a customer's calls are assumed to be spread over all gatekeepers.
        spread = entries.get("spread", str(self._schema.gateway_count))
        if not (spread.isascii() and spread.isdigit() and 1 <= int(spread) <= self._schema.gateway_count):
            raise InvalidRequestError(
                f"{field}.entries spread: not from 1 to {self._schema.gateway_count}: {spread!r}"
            )
        units = descriptor.hits_addend.value if descriptor.HasField("hits_addend") else default_hits
        client_timeout_ms = self._schema.client_timeouts_ms[request_class]
        time_left_ms = (
            client_timeout_ms if time_left_s is None else min(client_timeout_ms, 1000 * time_left_s)
        )
        answer: Future[Answer] = Future()
        answers.append(answer)
        return Job(
            request_class,
            plan,
            firm,
            time_left_ms,
            self._clock.now(),
            partial(_set_answer, answer),
            None,
            float(units or 1),
            int(spread),
        )
