"""Processes a request: reads its headers, admits it, forwards it to workers, relays the response.

Owns the greenlets of the attempts. The decisions are made by `ashlift.proxy.request_router` (admission,
worker selection) and `ashlift.proxy.request_progress` (when to retry, to hedge or to respond).
"""

import math
import time
from collections import Counter
from typing import Final

import gevent
from gevent.event import Event

from ashlift.proxy.admission import AdmittedRequest
from ashlift.proxy.attempts import AttemptOutcome, AttemptResult
from ashlift.proxy.forwarding import RoutingHeaders, attempt_head, forwarded_head, routing_headers
from ashlift.proxy.load_balancer import WorkerState
from ashlift.proxy.memory import ProxyMemory
from ashlift.proxy.rejections import STOPPING, Rejection, RejectionReason
from ashlift.proxy.request_counters import RequestCounters
from ashlift.proxy.request_progress import RequestProgress
from ashlift.proxy.request_reader import BadRequestError, ClientRequest
from ashlift.proxy.request_router import RequestRouter
from ashlift.proxy.responses import ClientResponse, WorkerResponse, rejection_response, relay
from ashlift.proxy.upstream import Attempt, ConnectionPool, WorkerRequest

MAX_AWAITING_CONFIGURATION: Final = 64  # requests; further ones are rejected without waiting


class RequestContext:
    """State of one request, shared between its handler and the connection that received it.

    `previous_attempt_id`: of the preceding request on the connection. `wake` is set when an attempt ends or
    the configuration changes, and together with `client_disconnected` and `process_exiting`.
    """

    def __init__(self, previous_attempt_id: bytes = b"") -> None:
        self.previous_attempt_id = previous_attempt_id
        self.attempt_id = b""
        self.wake = Event()
        self.client_disconnected = False
        self.process_exiting = False


class RequestHandler:
    """Forwards clients' requests to workers, and counts the responses."""

    def __init__(self, router: RequestRouter) -> None:
        self.router = router
        self.memory = ProxyMemory(router.settings.machine_limits)
        self.connection_pool = ConnectionPool(self.memory.responses, self.memory.max_worker_connections)
        self.in_flight = 0
        self.request_counters = RequestCounters()
        self.responses: dict[str, int] = {}  # counts by rejection reason, or by status if relayed
        self.requests_outside_home: Counter[str] = Counter()  # by route, outside its home regions
        self.serve_until = math.inf  # monotonic time; requests with a later deadline are rejected
        self._open_contexts: set[RequestContext] = set()
        self._awaiting_configuration: set[RequestContext] = set()

    def handle(self, request: ClientRequest, context: RequestContext) -> ClientResponse | None:
        """Process a request; returns None if it gets no response, and the connection is to be closed."""
        self.in_flight += 1
        self._open_contexts.add(context)
        try:
            response = self._handle(request, context)
        except BadRequestError as error:
            response = ClientResponse(error.status, reason=RejectionReason.BAD_REQUEST)
        finally:
            self.in_flight -= 1
            self._open_contexts.discard(context)
        if response is not None:
            self.count_response(response)
        return response

    def count_response(self, response: ClientResponse) -> None:
        """Count a response by the reason of its rejection, or by its status if it is relayed."""
        counter = response.reason or str(response.status)
        self.responses[counter] = self.responses.get(counter, 0) + 1

    def configuration_changed(self) -> None:
        """Wake the requests that wait for a newer configuration."""
        for context in self._awaiting_configuration:
            context.wake.set()

    def end_open_requests(self) -> None:
        """End all open requests with a rejection, because the process is about to exit."""
        for context in self._open_contexts:
            context.process_exiting = True
            context.wake.set()

    def _handle(self, request: ClientRequest, context: RequestContext) -> ClientResponse | None:
        headers = routing_headers(request)
        if headers.attempt_id == context.previous_attempt_id:
            return None  # ids are unique, so this is a duplicate of the preceding request
        context.attempt_id = headers.attempt_id
        admitted = self._admit(headers, context)
        if admitted is None:
            return None
        if isinstance(admitted, Rejection):
            return rejection_response(admitted)
        if admitted.deadline > self.serve_until:
            self.router.refund_admission(time.monotonic(), admitted)
            return rejection_response(STOPPING)
        admitted.size_bytes = request.head_bytes + request.body_bytes
        if not admitted.route.allows_region(self.router.settings.region):
            self.requests_outside_home[admitted.route.name] += 1
        return _RequestForwarder(self, request, headers.attempt_id, admitted, context).run()

    def _admit(self, headers: RoutingHeaders, context: RequestContext) -> AdmittedRequest | Rejection | None:
        """Admit or reject, after waiting for a newer configuration if needed; None: client disconnected."""
        received_at = time.monotonic()
        now = received_at
        while True:
            remaining = headers.remaining - (now - received_at)
            admitted = self.router.admit(
                now, headers.host, headers.path, headers.api_key, remaining, received_at
            )
            if isinstance(admitted, AdmittedRequest) or now >= admitted.reconsider_until:
                return admitted
            if len(self._awaiting_configuration) >= MAX_AWAITING_CONFIGURATION:
                return admitted
            self._await_configuration(context, admitted.reconsider_until - now)
            if context.client_disconnected:
                return None
            if context.process_exiting:
                return STOPPING
            now = time.monotonic()

    def _await_configuration(self, context: RequestContext, seconds: float) -> None:
        self._awaiting_configuration.add(context)
        context.wake.wait(seconds)
        self._awaiting_configuration.discard(context)
        if not context.client_disconnected and not context.process_exiting:
            context.wake.clear()


class _RequestForwarder:
    """Runs the attempts of one admitted request, each in a greenlet."""

    def __init__(
        self,
        handler: RequestHandler,
        request: ClientRequest,
        attempt_id: bytes,
        admitted: AdmittedRequest,
        context: RequestContext,
    ) -> None:
        self._router = handler.router
        self._connection_pool = handler.connection_pool
        self._request = request
        self._attempt_id = attempt_id
        self._admitted = admitted
        self._context = context
        self._head = forwarded_head(request, admitted)
        self._progress: RequestProgress[Attempt] = RequestProgress(handler.router, admitted)
        self._worker_responses: list[WorkerResponse] = []

    def run(self) -> ClientResponse | None:
        """Make attempts until there is a response; None: the client disconnected."""
        response: ClientResponse | None = None
        try:
            response = self._run()
        finally:
            for attempt in self._progress.close(time.monotonic()):
                attempt.cancel()
            relayed = None if response is None else response.source
            for worker_response in self._worker_responses:
                if worker_response is not relayed:
                    worker_response.discard()
        return response

    def _run(self) -> ClientResponse | None:
        progress = self._progress
        step = progress.first_step(time.monotonic())
        while True:
            if isinstance(step, WorkerState):
                self._start(step)
            elif isinstance(step, WorkerResponse):
                return relay(step)
            elif isinstance(step, Rejection):
                return rejection_response(step)
            if self._context.process_exiting and not progress.has_completed:
                return rejection_response(self._router.final_rejection(self._admitted))
            self._wait()
            if self._context.client_disconnected:
                return None
            step = progress.next_step(time.monotonic())

    def _wait(self) -> None:
        if self._progress.has_completed:
            return
        self._context.wake.wait(max(0.0, self._progress.wake_at() - time.monotonic()))
        self._context.wake.clear()

    def _start(self, worker: WorkerState) -> None:
        attempt = Attempt()
        self._progress.attempt_started(attempt, worker)
        gevent.spawn(self._attempt, attempt, worker)

    def _attempt(self, attempt: Attempt, worker: WorkerState) -> None:
        """Run one attempt; the body of its greenlet."""
        outcome = self._exchange(attempt, worker)
        self._progress.attempt_ended(time.monotonic(), attempt, outcome)
        if not self._progress.closed:
            if outcome.response is not None:
                self._worker_responses.append(outcome.response)
            self._context.wake.set()
        elif outcome.response is not None:
            outcome.response.discard()

    def _exchange(self, attempt: Attempt, worker: WorkerState) -> AttemptOutcome:
        if not self._router.may_send(self._admitted, worker):
            return AttemptOutcome(AttemptResult.NOT_RUN)
        record = worker.record
        time_left = self._admitted.deadline - time.monotonic()
        request = WorkerRequest(
            worker_id=record.id,
            address=record.address,
            head=attempt_head(self._head, record.id, time_left),
            body=self._request.body,
            attempt_id=self._attempt_id,
            idempotent=self._admitted.route.idempotent,
            time_left=time_left,
            connect_timeout=self._router.connect_timeout(worker),
            max_connections=self._router.max_connections(worker),
        )
        return self._connection_pool.exchange(attempt, request)
