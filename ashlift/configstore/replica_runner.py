"""Runs a replica: feeds it events and executes its effects on the network, the disk and the log.

The replica itself does no input or output. The greenlet that feeds an event also executes the resulting
effects without yielding, disk writes included. So a write completes before any later event is handled, and
before any request of the same batch is sent: each request is sent from its own greenlet, which starts
afterwards.
"""

import time
from collections import deque
from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent.event import AsyncResult, Event

from ashlift.configstore import events
from ashlift.configstore.replica import Replica
from ashlift.configstore.replica_io import (
    ClockTicked,
    Effect,
    HandoverComplete,
    LogEvent,
    PersistState,
    ResponseReceived,
    SendReply,
    SendRequest,
    StatePersisted,
)
from ashlift.configstore.replica_io import Event as ReplicaEvent
from ashlift.configstore.replica_storage import ReplicaStorage
from ashlift.configstore.timing import CALL_TIMEOUT_SECONDS
from ashlift.errors import Failure, FailureReason
from ashlift.events import WARNING, log_event
from ashlift.rpc.client import ClientPool

MAX_SLEEP_SECONDS: Final = 0.15  # between two checks of the clock
MIN_SLEEP_SECONDS: Final = 0.01
SLOW_WRITE_SECONDS: Final = 0.5  # slower writes are logged, since a write blocks the whole process

Clock = Callable[[], float]


class ReplicaRunner:
    """Runs the replica of this process. `port` is the port on which all replicas listen."""

    def __init__(
        self,
        replica: Replica,
        storage: ReplicaStorage,
        clients: ClientPool,
        port: int,
        clock: Clock = time.monotonic,
    ) -> None:
        self.replica = replica
        self.clock = clock
        self.stopped = Event()  # set once the replica has handed over its role and the process may exit
        self._storage = storage
        self._clients = clients
        self._port = port
        self._effects: deque[Effect] = deque()
        self._executing = False
        self._commit_event = Event()  # set and replaced at each commit
        self._waits_cancelled = False
        self._committed_index = 0
        self._last_contact: dict[str, float] = {}  # when each peer last responded or was disconnected

    def start(self) -> None:
        """Start the replica and execute its first effects."""
        self._execute(self.replica.start(self.clock()))

    def run(self) -> None:
        """Feed clock ticks to the replica until it has handed over its role."""
        while not self.stopped.is_set():
            if self.clock() >= self.replica.next_tick_at():
                self.feed(ClockTicked())
            seconds_until_tick = self.replica.next_tick_at() - self.clock()
            self.stopped.wait(min(MAX_SLEEP_SECONDS, max(MIN_SLEEP_SECONDS, seconds_until_tick)))

    def feed(self, event: ReplicaEvent) -> None:
        """Let the replica handle an event and execute the resulting effects."""
        self._execute(self.replica.handle(self.clock(), event))

    def request(self, make_event: Callable[[Any], ReplicaEvent], timeout: float) -> Any:
        """Feed the event that `make_event` builds around a reply reference, and wait for the reply.

        :param timeout: seconds.
        :returns: the reply, or a Failure `OUTCOME_UNKNOWN` on time-out.
        """
        reply: Any = AsyncResult()
        self.feed(make_event(reply))
        try:
            return reply.get(timeout=timeout)
        except gevent.Timeout:
            return Failure(FailureReason.OUTCOME_UNKNOWN, f"{timeout:g} s")

    def wait_for_commit(self, timeout: float) -> bool:
        """Wait up to `timeout` seconds for a commit. Returns False if the process is shutting down."""
        if not self._waits_cancelled:
            self._commit_event.wait(timeout)
        return not self._waits_cancelled

    def cancel_waits(self) -> None:
        """Wake all waiters for a commit, because the process is shutting down."""
        self._waits_cancelled = True
        self._commit_event.set()

    def _execute(self, effects: list[Effect]) -> None:
        """Execute effects in order. Effects of a nested call are queued behind them."""
        self._effects.extend(effects)
        if self._executing:
            return
        self._executing = True
        try:
            while self._effects:
                self._execute_one(self._effects.popleft())
        finally:
            self._executing = False
        self._notify_watchers()

    def _execute_one(self, effect: Effect) -> None:
        match effect:
            case SendRequest():
                gevent.spawn(self._send, effect, self.clock())
            case SendReply():
                effect.reply_to.set(effect.body)
            case PersistState():
                self._persist(effect)
            case LogEvent():
                log_event(effect.event, **effect.fields)
            case HandoverComplete():
                self.stopped.set()

    def _persist(self, effect: PersistState) -> None:
        started_at = self.clock()
        failure = self._storage.persist(effect)
        seconds = self.clock() - started_at
        if seconds >= SLOW_WRITE_SECONDS:
            log_event(events.DISK_WRITE_SLOW, level=WARNING, seconds=round(seconds, 1))
        if failure is not None:
            log_event(events.DISK_WRITE_FAILED, level=WARNING, error=failure)
        self._effects.extend(self.replica.handle(self.clock(), StatePersisted(failure is None)))

    def _notify_watchers(self) -> None:
        index = self.replica.committed_state.index
        if index == self._committed_index:
            return
        self._committed_index = index
        self._commit_event.set()
        self._commit_event = Event()

    def _send(self, request: SendRequest, sent_at: float) -> None:
        client = self._clients.client((request.peer, self._port))
        response = client.call(request.method, request.body, CALL_TIMEOUT_SECONDS)
        if not isinstance(response, Failure):
            self._last_contact[request.peer] = self.clock()
        elif response.reason == FailureReason.OUTCOME_UNKNOWN and self._is_out_of_contact(request.peer):
            # After a partition a new connection is established sooner than TCP retransmits on the old one.
            self._last_contact[request.peer] = self.clock()
            client.close()
        self.feed(ResponseReceived(request.peer, request.method, sent_at, request.context, response))

    def _is_out_of_contact(self, peer: str) -> bool:
        return self.clock() - self._last_contact.get(peer, 0.0) >= CALL_TIMEOUT_SECONDS
