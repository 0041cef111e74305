"""A simulated worker: request slots, a short queue, slow start, heartbeats, draining and faults."""

import functools
import math
from collections import deque
from typing import TYPE_CHECKING, Any, Final

from ashlift.proxy.attempts import AttemptOutcome, AttemptResult
from ashlift.proxy.responses import WorkerResponse
from ashlift.simulation import registry_process
from ashlift.simulation.event_loop import EventLoop
from ashlift.simulation.history import WorkerRecord
from ashlift.simulation.process import Machine, Network, Process, Task
from ashlift.simulation.registry_methods import RegistryMethod
from ashlift.simulation.worker_attempts import WorkerAttempt

if TYPE_CHECKING:
    from ashlift.simulation.worker_pool import WorkerPool

KIND: Final = "worker"
QUEUE_PER_SLOT: Final = 2
CALL_TIMEOUT_SECONDS: Final = 1.0
RETRY_SECONDS: Final = 0.3  # after a heartbeat that no registry acknowledged
MAX_DRAINING_HEARTBEATS: Final = 12  # without an acknowledgement, before the worker ends anyway
DEREGISTER_DELAY_SECONDS: Final = 0.3  # after the end of draining
WARMING_UP_SLOWDOWN: Final = 2
READY_STATE: Final = "ready"
LEAVING_STATE: Final = "leaving"  # not reported: the worker has deregistered, or is about to


@functools.cache
def worker_response(status: int) -> WorkerResponse:
    """Return a worker's response with this status, as far as the router reads it."""
    response = WorkerResponse()
    response.status = status
    response.done = True
    return response


class Worker(Process):
    """One incarnation of a worker; its machine's name is its id.

    After its end another worker may take over its `address`. Its faults are the shares of responses that are
    lost, of requests that fail with 500, and of requests whose connection breaks after they have run.
    `connection_idle_timeout`: seconds until it drops an idle connection without closing it.
    """

    def __init__(
        self,
        loop: EventLoop,
        net: Network,
        machine: Machine,
        pool: "WorkerPool",
        record: WorkerRecord,
        capacity: int,
        latency: float,
    ) -> None:
        super().__init__(loop, net, machine, KIND)
        self.pool = pool
        self.record = record
        self.id = record.id
        self.service = record.service
        self.address = record.address
        self.capacity = capacity
        self.latency = latency
        self.state = "ready"
        self.warm_at = loop.now
        self.lost_response_share = 0.0
        self.failure_share = 0.0
        self.broken_connection_share = 0.0
        self.connection_idle_timeout = math.inf
        self._running: dict[WorkerAttempt, None] = {}
        self._queue: deque[tuple[WorkerAttempt, float]] = deque()  # with their deadlines
        self._heartbeat_number = 0

    def on_start(self) -> None:
        """Start to send heartbeats."""
        self.spawn(self._send_heartbeats())

    def warm_up(self, seconds: float) -> None:
        """Enter slow start for some seconds: respond slowly, and report it in heartbeats."""
        self.warm_at = self.loop.now + seconds
        self.record.warmups.append((self.loop.now, self.warm_at))

    def on_killed(self, silently: bool) -> None:
        """Reset the connections of proxies, and release the address."""
        self.record.ended = self.loop.now
        attempts = [*self._running, *(attempt for attempt, _ in self._queue)]
        self._running = {}
        self._queue = deque()
        if not silently:
            for attempt in attempts:
                self.pool.send_response(self, attempt, AttemptOutcome(AttemptResult.CONNECTION_LOST))
        self.pool.release_address(self)

    # ---- requests
    def receive(self, attempt: WorkerAttempt, remaining: float) -> None:
        """Run, queue or reject a request; `remaining`: seconds until its proxy times out."""
        if len(self._running) < self.capacity:
            self._run(attempt, remaining)
        elif len(self._queue) < QUEUE_PER_SLOT * self.capacity:
            self._queue.append((attempt, self.loop.now + remaining))
        else:
            self._reject(attempt)

    def _reject(self, attempt: WorkerAttempt) -> None:
        self.pool.record_arrival(self, attempt, False, 503)
        outcome = AttemptOutcome(AttemptResult.NOT_RUN, worker_response(503))
        self.pool.send_response(self, attempt, outcome)

    def _run(self, attempt: WorkerAttempt, remaining: float) -> None:
        rng = self.loop.rng
        self.pool.record_arrival(self, attempt, True)
        self._running[attempt] = None
        slowdown = WARMING_UP_SLOWDOWN if self.loop.now < self.warm_at else 1
        duration = self.latency * rng.lognormvariate(-0.045, 0.3) * slowdown
        if duration > remaining:
            self.call_later(remaining, self._finish, attempt, 504)
            return
        status = 500 if self.failure_share and rng.random() < self.failure_share else 200
        is_lost = bool(self.lost_response_share) and rng.random() < self.lost_response_share
        self.call_later(duration, self._finish, attempt, 0 if is_lost else status)

    def _finish(self, attempt: WorkerAttempt, status: int) -> None:
        """Complete a request that has run; `status` 0: the response is lost."""
        if attempt not in self._running:
            return
        del self._running[attempt]
        share = self.broken_connection_share
        if status == 200 and share and self.loop.rng.random() < share:
            self.pool.send_response(self, attempt, AttemptOutcome(AttemptResult.CONNECTION_LOST))
        elif status:
            outcome = AttemptOutcome(AttemptResult.RESPONSE, worker_response(status), 0.0)
            self.pool.send_response(self, attempt, outcome)
        self._start_queued()

    def connection_closed(self, attempt: WorkerAttempt) -> None:
        """Abort the request: the proxy has closed the attempt's connection."""
        if attempt in self._running:
            del self._running[attempt]
            self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and len(self._running) < self.capacity:
            attempt, deadline = self._queue.popleft()
            if attempt.is_closed:
                continue
            if deadline <= self.loop.now:
                self._reject(attempt)
            else:
                self._run(attempt, deadline - self.loop.now)

    # ---- registration
    def drain(self) -> None:
        """Shut down gracefully: report draining, wait until proxies have applied it, deregister and end."""
        self.state = "draining"
        self.spawn(self._leave())

    def leave(self, serve_seconds: float, late_seconds: float, registry: str | None) -> None:
        """Deregister without draining before, serve on for `serve_seconds`, and end.

        `late_seconds`: how late the last heartbeat arrives at the registry that it is sent to; 0: no such.
        `registry`: the one to deregister at, a random one if None.
        """
        if self.up and self.state == READY_STATE:
            self.spawn(self._leave_without_draining(serve_seconds, late_seconds, registry))

    def _leave_without_draining(
        self, serve_seconds: float, late_seconds: float, registry: str | None
    ) -> Task:
        registries = self.loop.rng.sample(self.pool.registries, len(self.pool.registries))
        registries.sort(key=lambda name: name != registry)
        if late_seconds:
            self._send_late_heartbeat(registries.pop(), late_seconds)
            yield CALL_TIMEOUT_SECONDS
        self.state = LEAVING_STATE
        yield from self._deregister(registries)
        yield serve_seconds
        self.kill()

    def _send_late_heartbeat(self, registry: str, late_seconds: float) -> None:
        timeout = late_seconds + CALL_TIMEOUT_SECONDS
        self.call(
            registry,
            registry_process.KIND,
            RegistryMethod.HEARTBEAT,
            self._heartbeat(),
            timeout,
            held_seconds=late_seconds,
        )

    def _heartbeat(self) -> tuple[str, dict[str, Any]]:
        self._heartbeat_number += 1
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": self.machine.zone,
            "capacity": self.capacity,
            "state": self.state,
            "seq": self._heartbeat_number,
            "warm": max(0.0, self.warm_at - self.loop.now),
            "version": "v1",
        }
        return self.id, fields

    def _send_heartbeat(self, target: str | None) -> Task:
        """Send a heartbeat to one registry after the other until one accepts it; returns the next target."""
        registries = [target] if target else []
        registries += self.loop.rng.sample(self.pool.registries, len(self.pool.registries))
        for registry in registries:
            state = self.state
            if state == LEAVING_STATE:
                return None
            body = self._heartbeat()
            response = yield self.call(
                registry, registry_process.KIND, RegistryMethod.HEARTBEAT, body, CALL_TIMEOUT_SECONDS
            )
            if isinstance(response, tuple) and response[0] == 200:
                if state == "draining" and self.record.draining_acknowledged == math.inf:
                    self.record.draining_acknowledged = self.loop.now
                    self.record.draining_registry = registry
                return response[1].rpartition(":")[0]
        return None

    def _send_heartbeats(self) -> Task:
        target: str | None = None
        yield self.loop.rng.uniform(0.0, 0.3)
        while self.state == "ready":
            target = yield from self._send_heartbeat(target)
            interval = self.pool.heartbeat_interval
            yield interval * self.loop.rng.uniform(0.9, 1.1) if target else RETRY_SECONDS

    def _leave(self) -> Task:
        target: str | None = None
        heartbeats = 0
        while self.record.draining_acknowledged == math.inf and heartbeats < MAX_DRAINING_HEARTBEATS:
            target = yield from self._send_heartbeat(target)
            heartbeats += 1
            yield 0.0 if target else RETRY_SECONDS
        drained_at = self.loop.now + self.pool.drain_seconds + DEREGISTER_DELAY_SECONDS
        while self.loop.now < drained_at:
            yield min(self.pool.heartbeat_interval, max(0.01, drained_at - self.loop.now))
            target = yield from self._send_heartbeat(target)
        yield from self._deregister([*([target] if target else []), *self.pool.registries])
        self.kill()

    def _deregister(self, registries: list[str]) -> Task:
        for registry in registries:
            response = yield self.call(
                registry, registry_process.KIND, RegistryMethod.DEREGISTER, self.id, CALL_TIMEOUT_SECONDS
            )
            if isinstance(response, tuple) and response[0] == 200:
                self.record.deregistered = self.loop.now
                self.record.deregistration_registry = registry
                break
