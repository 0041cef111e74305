"""The configuration store as a simulated process: runs the real replica as `ashlift.configstore.server` does.

The machine's `disk` holds the durable `vote` and `state` of the replica and the pending edits.
"""

import enum
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, Final

from ashlift.configstore import requests, watch
from ashlift.configstore.codec import METHODS
from ashlift.configstore.commands import decide_command
from ashlift.configstore.leader_requests import (
    LEADER_WAIT_SECONDS,
    NO_LEADER,
    READ_TIMEOUT_SECONDS,
    RETRY_INTERVAL_SECONDS,
    SUBMIT_TIMEOUT_SECONDS,
    ForwardTo,
    RoutingDecision,
    choose_route,
    may_retry,
)
from ashlift.configstore.pending_edits import MERGE_INTERVAL_SECONDS, PendingEditStorage
from ashlift.configstore.persistent_state import Snapshot
from ashlift.configstore.replica import Replica
from ashlift.configstore.replica_io import (
    ClockTicked,
    CommandSubmitted,
    Effect,
    HandoverComplete,
    PersistState,
    ReadRequested,
    RequestReceived,
    ResponseReceived,
    SendReply,
    SendRequest,
    ShutdownRequested,
    StatePersisted,
)
from ashlift.configstore.replica_runner import MAX_SLEEP_SECONDS, MIN_SLEEP_SECONDS
from ashlift.configstore.stored_names import PENDING_EDIT_STORAGE
from ashlift.configstore.timing import CALL_TIMEOUT_SECONDS
from ashlift.errors import Failure, FailureReason
from ashlift.simulation.event_loop import EventLoop, Future
from ashlift.simulation.network import SimulatedNetwork, as_simulated
from ashlift.simulation.process import Condition, Machine, Process, Task

KIND: Final = "configstore"
DISK_WRITE_SECONDS: Final = (0.002, 0.012)  # shortest and longest durable write
HANGING_DISK_POLL_SECONDS: Final = 0.02


class InterruptedWrite(enum.Enum):
    """What is on the disk after the process ended during a write."""

    COMPLETE = enum.auto()
    NOTHING_WRITTEN = enum.auto()
    ONLY_STATE_WRITTEN = enum.auto()


INTERRUPTED_WRITES: Final = tuple(InterruptedWrite)


class SimulatedRecordStorage:
    """Stores the records of pending edits on a simulated disk."""

    def __init__(self, disk: dict[str, Any]) -> None:
        self._disk = disk

    def read(self) -> dict[str, bytes] | Failure | None:
        """Return all records, or None if none were ever written."""
        records: dict[str, bytes] | None = self._disk.get(PENDING_EDIT_STORAGE)
        return records

    def write(self, records: Mapping[str, bytes]) -> Failure | None:
        """Replace all records."""
        self._disk[PENDING_EDIT_STORAGE] = dict(records)
        return None


class ConfigstoreProcess(Process):
    """A configuration store on a core machine. A durable write blocks the whole process."""

    def __init__(
        self, loop: EventLoop, net: SimulatedNetwork, machine: Machine, seeds: Callable[[], list[str]]
    ) -> None:
        """`seeds`: read at each start."""
        super().__init__(loop, net, machine, KIND)
        self.seeds = seeds
        self.replica: Replica | None = None
        self.pending_edits: PendingEditStorage | None = None
        self._may_bootstrap = True  # only at the first start
        self._write: PersistState | None = None  # in progress
        self._deferred_by_write: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.handlers = {method: self._replica_handler(method) for method in METHODS}
        self.handlers |= {
            requests.SUBMIT: self._handle_submit,
            requests.READ: self._handle_read,
            requests.WATCH: self._handle_watch,
            requests.PENDING_EDITS: self._handle_pending_edits,
        }

    def on_start(self) -> None:
        """Start the replica from the state on the disk."""
        disk = self.machine.disk
        self.replica = Replica(
            self.name,
            sorted(self.seeds()),
            self._may_bootstrap,
            disk.get("vote"),
            disk.get("state"),
            decide_command,
            self.loop.rng,
        )
        self._may_bootstrap = False
        self._write = None
        self._deferred_by_write = []
        self._effects: deque[Effect] = deque()
        self._is_performing = False
        self._committed = Condition(self)
        self._notified_index = 0
        self._perform(self.replica.start(self.clock()))
        self._fragmenter = watch.new_fragmenter(self.replica)
        self.pending_edits = None
        if PENDING_EDIT_STORAGE in disk:
            self._open_pending_edits()
        self._tick()

    def on_killed(self, _silently: bool) -> None:
        """Finish a write in progress completely, not at all, or for the state without the vote."""
        write, self._write = self._write, None
        self.replica = None
        if write is not None:
            outcome = self.loop.rng.choice(INTERRUPTED_WRITES)
            if outcome is not InterruptedWrite.NOTHING_WRITTEN and write.snapshot is not None:
                self.machine.disk["state"] = write.snapshot
            if outcome is InterruptedWrite.COMPLETE and write.vote is not None:
                self.machine.disk["vote"] = write.vote
            as_simulated(self.net).observer.stored(self)

    def deliver(self, action: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Run the action now, or after the write in progress, or after `thaw` if the process is frozen."""
        if self._write is not None and not self.frozen and action != self._finish_write:
            self._deferred_by_write.append((action, args))
        else:
            super().deliver(action, args)

    def shut_down(self) -> None:
        """Handle SIGTERM: transfer leadership, and end."""
        self.handle_event(ShutdownRequested())

    # ---- the replica
    def _tick(self) -> None:
        replica = self.replica
        if replica is None:
            return
        if self.clock() >= replica.next_tick_at():
            self.handle_event(ClockTicked())
        sleep_seconds = max(MIN_SLEEP_SECONDS, replica.next_tick_at() - self.clock())
        self.call_later(min(MAX_SLEEP_SECONDS, sleep_seconds), self._tick)

    def handle_event(self, event: Any) -> None:
        """Let the replica handle an event, and perform its effects."""
        if self.replica is not None:
            self._perform(self.replica.handle(self.clock(), event))

    def _perform(self, effects: list[Effect]) -> None:
        self._effects.extend(effects)
        if self._is_performing:
            return
        self._is_performing = True
        while self._effects:
            self._perform_one(self._effects.popleft())
        self._is_performing = False
        replica = self.replica
        if replica is not None and replica.committed_state.index != self._notified_index:
            self._notified_index = replica.committed_state.index
            self._committed.notify_all()

    def _perform_one(self, effect: Effect) -> None:
        match effect:
            case SendRequest():  # requests and replies are sent after all effects, durable writes included
                self.call_later(0.0, self.spawn, self._send_request(effect, self.clock()))
            case SendReply():
                self.call_later(0.0, effect.reply_to.set, effect.body)
            case PersistState():
                self._write = effect
                seconds = self.loop.rng.uniform(*DISK_WRITE_SECONDS) + self.machine.disk_delay
                self.call_later(seconds, self._finish_write)
            case HandoverComplete():
                self.kill()

    def _finish_write(self) -> None:
        machine = self.machine
        if machine.disk_hangs:
            self.call_later(HANGING_DISK_POLL_SECONDS, self._finish_write)
            return
        write, self._write = self._write, None
        assert write is not None
        if not machine.disk_fails:
            if write.snapshot is not None:
                machine.disk["state"] = write.snapshot
            if write.vote is not None:
                machine.disk["vote"] = write.vote
        as_simulated(self.net).observer.stored(self)
        deferred, self._deferred_by_write = self._deferred_by_write, []
        incarnation = self.incarnation
        self.handle_event(StatePersisted(not machine.disk_fails))
        for action, args in deferred:
            if self.incarnation == incarnation:
                self.deliver(action, args)

    def _send_request(self, request: SendRequest, sent_at: float) -> Task:
        body = yield self.call(request.peer, KIND, request.method, request.body, CALL_TIMEOUT_SECONDS)
        self.handle_event(ResponseReceived(request.peer, request.method, sent_at, request.context, body))

    def _replica_handler(self, method: str) -> Callable[[Any], Any]:
        def handle(body: Any) -> Task:
            return self._await_reply(
                lambda reply_to: RequestReceived(reply_to, method, body), CALL_TIMEOUT_SECONDS
            )

        return handle

    def _await_reply(self, make_event: Callable[[Any], Any], timeout: float) -> Task:
        """Let the replica handle an event, and return its reply or a Failure after the timeout."""
        reply = Future()
        self.call_later(timeout, reply.set, Failure(FailureReason.OUTCOME_UNKNOWN, f"{timeout:g} s"))
        self.handle_event(make_event(reply))
        return (yield reply)

    # ---- requests from registries, as `configstore.request_handlers` serves them
    def _handle_submit(self, body: Any) -> Task:
        request = requests.decode_submit(body)
        if isinstance(request, Failure):
            return request
        command = request.command
        token = request.fencing_token
        response = yield from self._ask_leader(
            requests.SUBMIT,
            body,
            lambda reply_to: CommandSubmitted(reply_to, command, token),
            SUBMIT_TIMEOUT_SECONDS,
        )
        return response

    def _handle_read(self, body: Any) -> Task:
        snapshot = yield from self._ask_leader(requests.READ, body, ReadRequested, READ_TIMEOUT_SECONDS)
        return requests.encode_snapshot(snapshot) if isinstance(snapshot, Snapshot) else snapshot

    def _handle_watch(self, body: Any) -> Task:
        replica = self.replica
        request = requests.decode_watch(body)
        if replica is None or isinstance(request, Failure):
            return Failure(FailureReason.INVALID, requests.WATCH)
        deadline = self.clock() + request.wait_seconds
        while replica.committed_state.index <= request.known_index and self.clock() < deadline:
            yield self._committed.wait(deadline - self.clock())
        return watch.respond(self._fragmenter, replica, request, self.clock())

    def _ask_leader(
        self, method: str, body: dict[str, Any], make_event: Callable[[Any], Any], timeout: float
    ) -> Task:
        """Return the leader's response; without a leader, retry for up to `LEADER_WAIT_SECONDS`."""
        deadline = self.clock() + LEADER_WAIT_SECONDS
        response: Any = NO_LEADER
        while self.replica is not None:
            route = choose_route(self.replica, body, self.clock())
            if isinstance(route, Failure):
                return route
            if route is RoutingDecision.THIS_REPLICA:
                response = yield from self._await_reply(make_event, timeout)
            elif isinstance(route, ForwardTo):
                response = yield self.call(route.leader, KIND, method, requests.forwarded(body), timeout)
            if not may_retry(response, body, self.clock(), deadline):
                return response
            yield RETRY_INTERVAL_SECONDS
        return response

    # ---- pending edits of routes
    def _handle_pending_edits(self, body: Any) -> Any:
        return self._open_pending_edits().handle_request(body)

    def _open_pending_edits(self) -> PendingEditStorage:
        if self.pending_edits is None:
            storage = SimulatedRecordStorage(self.machine.disk)
            self.pending_edits = PendingEditStorage(storage, self._committed_map, lambda *_, **__: None)
            self.spawn(self._merge_pending_edits(self.pending_edits))
        return self.pending_edits

    def _committed_map(self) -> tuple[int, Mapping[str, Any]]:
        assert self.replica is not None
        committed = self.replica.committed_state
        return committed.index, committed.snapshot.entries.map

    def _merge_pending_edits(self, pending_edits: PendingEditStorage) -> Task:
        while True:
            yield MERGE_INTERVAL_SECONDS
            request = pending_edits.merge_request()
            response = None
            if request:
                response = yield from self._handle_submit(request)
            pending_edits.finish_merge(response)
