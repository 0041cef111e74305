"""The proxy as a simulated process: runs the real routing code as `ashlift.proxy` does.

A `ProxyRequest` does what `ashlift.proxy.request_handler` does, and a `ProxyProcess` what
`ashlift.proxy.registry_poller` and `ashlift.proxy.upstream` do with sockets.
"""

import random
from collections.abc import Callable
from typing import Any, Final

from ashlift.config.settings import Settings
from ashlift.proxy.admission import AdmittedRequest
from ashlift.proxy.attempts import AttemptOutcome, AttemptResult
from ashlift.proxy.idle_timeout_estimator import IdleTimeoutEstimator
from ashlift.proxy.load_balancer import WorkerState
from ashlift.proxy.registry_client import LONG_POLL_SECONDS, RESPONSE_TIMEOUT_SECONDS, RegistryClient
from ashlift.proxy.registry_poller import RETRY_PAUSE_SECONDS
from ashlift.proxy.rejections import Rejection
from ashlift.proxy.request_progress import RequestProgress, Step
from ashlift.proxy.request_router import RequestRouter
from ashlift.proxy.responses import WorkerResponse
from ashlift.proxy.shutdown import SERVE_FRACTION, accept_seconds
from ashlift.proxy.upstream import MAX_IDLE_PER_WORKER, MAX_IDLE_SECONDS
from ashlift.simulation import registry_process
from ashlift.simulation.event_loop import EventLoop
from ashlift.simulation.history import HOST, Request
from ashlift.simulation.network import SimulatedNetwork
from ashlift.simulation.process import Machine, Process, Task
from ashlift.simulation.worker_attempts import WorkerAttempt, WorkerTransport

KIND: Final = "proxy"
SCHEDULING_DELAY_SECONDS: Final = 0.001  # before an immediate retry, so that simulated time advances
TIMER_SLACK_SECONDS: Final = 1e-6  # timers run just after the time that they wait for
DRAIN_POLL_SECONDS: Final = 0.02

ResponseCallback = Callable[[int, float | None], None]  # status (0: reset), retry-after in seconds


class ProxyRequest:
    """One client's request at the proxy."""

    def __init__(self, proxy: "ProxyProcess", request: Request, on_response: ResponseCallback) -> None:
        self.proxy = proxy
        self.request = request
        self.on_response = on_response
        self.admitted: AdmittedRequest | None = None
        self.closed = False
        self._progress: RequestProgress[WorkerAttempt] | None = None
        self._received_at = 0.0
        self._deadline = 0.0
        self._timer_number = 0  # of the latest timer; earlier timers are ignored

    def start(self, remaining: float) -> None:
        """Handle a request that was read completely; `remaining`: seconds until the client times out."""
        self.request.received = self.proxy.loop.now
        self._received_at = self.proxy.clock()
        self._deadline = self.proxy.clock() + remaining
        self.admit()

    def admit(self) -> None:
        """Ask the router for admission; the router may defer it until a newer configuration arrives."""
        proxy = self.proxy
        if self.closed or self.admitted is not None:
            return
        now = proxy.clock()
        remaining = self._deadline - now
        decision = proxy.router.admit(
            now, HOST, self.request.path, self.request.key, remaining, self._received_at
        )
        if isinstance(decision, Rejection):
            if now >= decision.reconsider_until:
                self._reject(decision)
            elif self not in proxy.waiting_for_configuration:
                proxy.waiting_for_configuration.append(self)
                proxy.call_later(decision.reconsider_until - now + TIMER_SLACK_SECONDS, self.admit)
            return
        self.admitted = decision
        self._progress = RequestProgress(proxy.router, decision)
        self._follow(self._progress, self._progress.first_step(now))

    def client_disconnected(self) -> None:
        """Cancel the request: the client has closed its connection."""
        if not self.closed:
            self._respond(0, "gone", None)

    def attempt_ended(self, attempt: WorkerAttempt, outcome: AttemptOutcome) -> None:
        """Handle the outcome of an attempt."""
        progress = self._progress
        assert progress is not None
        progress.attempt_ended(self.proxy.clock(), attempt, outcome)
        if not self.closed:
            self._decide(progress)

    def _timer_expired(self, timer_number: int) -> None:
        if not self.closed and timer_number == self._timer_number and self._progress is not None:
            self._decide(self._progress)

    def _decide(self, progress: RequestProgress[WorkerAttempt]) -> None:
        self._follow(progress, progress.next_step(self.proxy.clock()))

    def _follow(self, progress: RequestProgress[WorkerAttempt], step: Step) -> None:
        if isinstance(step, WorkerState):
            self._start_attempt(progress, step)
        elif isinstance(step, WorkerResponse):
            self._respond(step.status, "", None)
            return
        elif isinstance(step, Rejection):
            self._reject(step)
            return
        if self.closed or progress.has_completed:
            return
        self._timer_number += 1
        delay = max(0.0, progress.wake_at() - self.proxy.clock()) + TIMER_SLACK_SECONDS
        self.proxy.call_later(delay, self._timer_expired, self._timer_number)

    def _start_attempt(self, progress: RequestProgress[WorkerAttempt], worker: WorkerState) -> None:
        attempt = WorkerAttempt(self, worker, progress.request.deadline - self.proxy.clock())
        progress.attempt_started(attempt, worker)
        self.proxy.start_exchange(attempt)

    def _reject(self, rejection: Rejection) -> None:
        self._respond(rejection.status, rejection.reason.value, rejection.retry_after)

    def _respond(self, status: int, cause: str, retry_after: float | None) -> None:
        self.closed = True
        proxy = self.proxy
        proxy.requests.pop(self.request, None)
        if self._progress is not None:
            for attempt in self._progress.close(proxy.clock()):
                self._cancel(attempt)
        outcome = cause or str(status)
        proxy.response_counts[outcome] = proxy.response_counts.get(outcome, 0) + 1
        self.request.cause = cause
        self.on_response(status, retry_after)

    def _cancel(self, attempt: WorkerAttempt) -> None:
        attempt.cancelled = True
        self.proxy.transport.close(attempt)
        # The proxy closed the connection itself, so it knows the outcome at once.
        result = AttemptResult.CONNECTION_LOST if attempt.sent else AttemptResult.CONNECT_FAILED
        self.proxy.call_later(0.0, attempt.finish, AttemptOutcome(result))


class ProxyProcess(Process):
    """A proxy on an edge machine."""

    def __init__(
        self,
        loop: EventLoop,
        net: SimulatedNetwork,
        machine: Machine,
        settings: Callable[[], Settings],
        transport: WorkerTransport,
    ) -> None:
        """`settings`: read at each start."""
        super().__init__(loop, net, machine, KIND)
        self.settings = settings
        self.transport = transport
        self.response_counts: dict[str, int] = {}  # by cause or status, over all incarnations
        self.requests: dict[Request, ProxyRequest] = {}

    def on_start(self) -> None:
        """Start with an empty router, and poll the registry."""
        settings = self.settings()
        rng = random.Random(self.loop.rng.getrandbits(64))
        self.router = RequestRouter(settings, rng, self.clock())
        self.registry_client = RegistryClient(settings, self.router, f"{rng.getrandbits(32):08x}", rng)
        self.requests = {}
        self.waiting_for_configuration: list[ProxyRequest] = []
        self._idle_since: dict[str, list[float]] = {}  # by worker: since when each idle connection is unused
        self._idle_ages = IdleTimeoutEstimator()
        self._open_connections: dict[str, int] = {}  # by worker
        self.spawn(self._watch_registry())

    def on_killed(self, silently: bool) -> None:
        """Reset the connections of clients."""
        requests, self.requests = self.requests, {}
        if silently:
            return
        for request in requests.values():
            request.closed = True
            request.on_response(0, None)

    def _watch_registry(self) -> Task:
        while True:
            pull = self.registry_client.next_request(self.clock())
            if pull is not None:
                timeout = LONG_POLL_SECONDS + RESPONSE_TIMEOUT_SECONDS
                response: Any = yield self.call(
                    pull.registry_ip, registry_process.KIND, "pull", pull.body, timeout, pull.connect_timeout
                )
                if self.registry_client.handle_response(pull, self.clock(), response):
                    self._reconsider_waiting()
                    continue
            yield RETRY_PAUSE_SECONDS

    def _reconsider_waiting(self) -> None:
        waiting, self.waiting_for_configuration = self.waiting_for_configuration, []
        for request in waiting:
            request.admit()

    def shut_down(self) -> None:
        """Handle SIGTERM: end when all requests are answered or most of the grace period is over."""
        self.router.draining = True
        self.spawn(self._drain())

    def _drain(self) -> Task:
        started = self.clock()
        grace = self.router.bounds.grace
        yield accept_seconds(grace)
        while self.requests and self.clock() < started + SERVE_FRACTION * grace:
            yield DRAIN_POLL_SECONDS
        self.kill()

    def receive_request(self, request: Request, remaining: float, on_response: ResponseCallback) -> None:
        """Accept a client's complete request; `remaining`: seconds until the client times out."""
        request.proxy = self.name
        request.proxy_incarnation = self.incarnation
        proxy_request = self.requests[request] = ProxyRequest(self, request, on_response)
        proxy_request.start(remaining)

    # ---- connections to workers, as `ashlift.proxy.upstream` manages them
    def start_exchange(self, attempt: WorkerAttempt) -> None:
        """Send the attempt on an idle connection, or on a new one."""
        worker_id = attempt.worker.record.id
        if self._take_idle_connection(attempt):
            self.call_later(max(0.0, attempt.remaining), self._time_out, attempt)
            self.transport.send(attempt, True, 0.0)
            return
        open_count = self._open_connections.get(worker_id, 0)
        self._open_connections[worker_id] = open_count + 1  # until `release_connection`
        if open_count >= self.router.max_connections(attempt.worker):
            attempt.proxy_request.request.pool_exhausted_count += 1
            outcome = AttemptOutcome(AttemptResult.CONNECTION_LIMIT_REACHED)
            self.call_later(SCHEDULING_DELAY_SECONDS, attempt.finish, outcome)
            return
        self.call_later(max(0.0, attempt.remaining), self._time_out, attempt)
        connect_timeout = min(self.router.connect_timeout(attempt.worker), attempt.remaining)
        self.transport.send(attempt, False, connect_timeout)

    def _take_idle_connection(self, attempt: WorkerAttempt) -> bool:
        """Take an idle connection that is not too old, and close older ones; whether there is one."""
        worker_id = attempt.worker.record.id
        now = self.clock()
        admitted = attempt.proxy_request.admitted
        is_idempotent = admitted is not None and admitted.route.idempotent
        max_idle = min(MAX_IDLE_SECONDS, self._idle_ages.max_idle_seconds(now, is_idempotent))
        idle_since = self._idle_since.get(worker_id)
        while idle_since:
            attempt.idle_seconds = now - idle_since.pop()
            if attempt.idle_seconds < max_idle:
                return True
            self._open_connections[worker_id] -= 1
        return False

    def connection_was_reset(self, attempt: WorkerAttempt) -> None:
        """End the attempt: the worker had dropped its idle connection, which was reset."""
        waited = self.loop.now - attempt.started
        is_idle_reset = self._idle_ages.record_reset(self.clock(), attempt.idle_seconds, waited)
        attempt.finish(AttemptOutcome(AttemptResult.CONNECTION_LOST, None, waited, is_idle_reset))

    def _time_out(self, attempt: WorkerAttempt) -> None:
        result = AttemptResult.TIMED_OUT if attempt.sent else AttemptResult.CONNECT_FAILED
        attempt.finish(AttemptOutcome(result, None, attempt.remaining))

    def release_connection(self, worker_id: str, keep: bool) -> None:
        """Return an attempt's connection to the pool of idle ones, or close it."""
        idle_since = self._idle_since.setdefault(worker_id, [])
        if keep and len(idle_since) < MAX_IDLE_PER_WORKER:
            idle_since.append(self.clock())
        else:
            self._open_connections[worker_id] -= 1
