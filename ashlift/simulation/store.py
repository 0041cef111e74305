"""The store's process as `ashlift.configstore.server` runs it: the real member on a made disk."""

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from ashlift.configstore import requests, watch
from ashlift.configstore.commands import decide_command
from ashlift.configstore.leader_requests import (
    LEADER_WAIT_SECONDS,
    NO_LEADER,
    READ_TIMEOUT_SECONDS,
    RETRY_INTERVAL_SECONDS,
    SUBMIT_TIMEOUT_SECONDS,
    ForwardTo,
    Route,
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

KIND = "configstore"
SYNC_S = (0.002, 0.012)  # a durable write takes between these
HANGING_S = 0.02  # between two looks whether the disk hangs still
DISK_FAULTS = ("done", "undone", "half")  # what a write in the middle of which the process ends has come to


class _Records:
    """The shelf of edits on a made disk."""

    def __init__(self, disk: dict[str, Any]) -> None:
        self._disk = disk

    def read(self) -> dict[str, bytes] | Failure | None:
        found: dict[str, bytes] | None = self._disk.get(PENDING_EDIT_STORAGE)
        return found

    def write(self, records: Mapping[str, bytes]) -> Failure | None:
        self._disk[PENDING_EDIT_STORAGE] = dict(records)
        return None


class Store(Process):
    """`machine.disk` holds `vote` and `state` as they are durable. While a write lasts the process stands."""

    def __init__(
        self, loop: EventLoop, net: SimulatedNetwork, machine: Machine, seeds: Callable[[], list[str]]
    ) -> None:
        super().__init__(loop, net, machine, KIND)
        self.seeds = seeds
        self.bootstrap = True
        self.member: Replica | None = None
        self.writing: PersistState | None = None
        self._held: list[tuple[Callable[..., None], tuple[Any, ...]]] = []  # until the write is done
        calls = ("request_vote", "append", "join", "succeed")
        self.handlers = {method: self._handler(method) for method in calls}
        self.handlers |= {
            requests.SUBMIT: self.submit,
            requests.READ: self.read,
            requests.WATCH: self.watch,
            requests.PENDING_EDITS: self._handle_pending_edits,
        }
        self.pending_edits: PendingEditStorage | None = None

    def on_start(self) -> None:
        disk = self.machine.disk
        vote, state = disk.get("vote"), disk.get("state")
        self.member = Replica(
            self.name, sorted(self.seeds()), self.bootstrap, vote, state, decide_command, self.loop.rng
        )
        self.bootstrap = False
        self.writing, self._todo, self._doing = None, deque[Effect](), False
        self._held = []
        self._news, self._seen = Condition(self), 0
        self._do(self.member.start(self.clock()))
        self._fragmenter = watch.new_fragmenter(self.member)
        self.pending_edits = None
        if PENDING_EDIT_STORAGE in disk:
            self._open_pending_edits()
        self._tick()

    def on_killed(self, silently: bool) -> None:
        """A write under way may be done, not done, or half done: the state without the vote."""
        keep, self.writing, self.member = self.writing, None, None
        if keep is not None:
            came = self.loop.rng.choice(DISK_FAULTS)
            if came != "undone" and keep.snapshot is not None:
                self.machine.disk["state"] = keep.snapshot
            if came == "done" and keep.vote is not None:
                self.machine.disk["vote"] = keep.vote
            as_simulated(self.net).observer.stored(self)

    def deliver(self, action: Callable[..., None], args: tuple[Any, ...]) -> None:
        if self.writing is not None and not self.frozen and action != self._kept:
            self._held.append((action, args))
        else:
            super().deliver(action, args)

    def shut_down(self) -> None:
        self._feed(ShutdownRequested())

    def _tick(self) -> None:
        member = self.member
        if member is None:
            return
        if self.clock() >= member.next_tick_at():
            self._feed(ClockTicked())
        self.call_later(
            min(MAX_SLEEP_SECONDS, max(MIN_SLEEP_SECONDS, member.next_tick_at() - self.clock())), self._tick
        )

    def _feed(self, event: Any) -> None:
        if self.member is not None:
            self._do(self.member.handle(self.clock(), event))

    def _do(self, effects: list[Effect]) -> None:
        self._todo.extend(effects)
        if self._doing:
            return
        self._doing = True
        while self._todo:
            self._effect(self._todo.popleft())
        self._doing = False
        member = self.member
        if member is not None and member.committed_state.index != self._seen:
            self._seen = member.committed_state.index
            self._news.notify_all()

    def _effect(self, effect: Effect) -> None:
        match effect:
            case SendRequest():  # this and answers leave once all effects are done, a write too
                self.call_later(0.0, self.spawn, self._send(effect, self.clock()))
            case SendReply():
                self.call_later(0.0, effect.reply_to.set, effect.body)
            case PersistState():
                self.writing = effect
                self.call_later(self.loop.rng.uniform(*SYNC_S) + self.machine.disk_delay, self._kept)
            case HandoverComplete():
                self.kill()

    def _kept(self) -> None:
        machine, keep = self.machine, self.writing
        if machine.disk_hangs:
            return self.call_later(HANGING_S, self._kept)
        assert keep is not None
        self.writing = None
        if not machine.disk_fails:
            if keep.snapshot is not None:
                machine.disk["state"] = keep.snapshot
            if keep.vote is not None:
                machine.disk["vote"] = keep.vote
        as_simulated(self.net).observer.stored(self)
        held, self._held, incarnation = self._held, [], self.incarnation
        self._feed(StatePersisted(not machine.disk_fails))
        for action, args in held:
            if self.incarnation == incarnation:
                self.deliver(action, args)

    def _send(self, send: SendRequest, sent_at: float) -> Task:
        body = yield self.call(send.peer, KIND, send.method, send.body, CALL_TIMEOUT_SECONDS)
        self._feed(ResponseReceived(send.peer, send.method, sent_at, send.context, body))

    def _handler(self, method: str) -> Callable[[Any], Any]:
        return lambda body: self._ask(lambda ref: RequestReceived(ref, method, body), CALL_TIMEOUT_SECONDS)

    def _ask(self, event: Callable[[Any], Any], timeout: float) -> Task:
        ref = Future()
        self.call_later(timeout, ref.set, Failure(FailureReason.OUTCOME_UNKNOWN, f"{timeout:g} s"))
        self._feed(event(ref))
        return (yield ref)

    # ---- requests of registries, as `configstore.request_handlers` serves them
    def submit(self, body: Any) -> Task:
        request = requests.decode_submit(body)
        if isinstance(request, Failure):
            return request
        command, token = request.command, request.fencing_token
        response = yield from self._ask_leader(
            requests.SUBMIT,
            body,
            lambda reference: CommandSubmitted(reference, command, token),
            SUBMIT_TIMEOUT_SECONDS,
        )
        return response

    def read(self, body: Any) -> Task:
        snapshot = yield from self._ask_leader(requests.READ, body, ReadRequested, READ_TIMEOUT_SECONDS)
        return requests.encode_snapshot(snapshot) if isinstance(snapshot, Snapshot) else snapshot

    def _handle_pending_edits(self, body: Any) -> Any:
        return self._open_pending_edits().handle_request(body)

    def _open_pending_edits(self) -> PendingEditStorage:
        if self.pending_edits is None:
            storage = _Records(self.machine.disk)
            self.pending_edits = PendingEditStorage(storage, self._committed_map, lambda *_, **__: None)
            self.spawn(self._merge_pending_edits(self.pending_edits))
        return self.pending_edits

    def _committed_map(self) -> tuple[int, Mapping[str, Any]]:
        assert self.member is not None
        return self.member.committed_state.index, self.member.committed_state.snapshot.entries.map

    def _merge_pending_edits(self, pending_edits: PendingEditStorage) -> Task:
        while True:
            yield MERGE_INTERVAL_SECONDS
            request = pending_edits.merge_request()
            response = None
            if request:
                response = yield from self.submit(request)
            pending_edits.finish_merge(response)

    def _ask_leader(
        self, method: str, body: dict[str, Any], make_event: Callable[[Any], Any], timeout: float
    ) -> Task:
        deadline = self.clock() + LEADER_WAIT_SECONDS
        response: Any = NO_LEADER
        while self.member is not None:
            route = choose_route(self.member, body, self.clock())
            if isinstance(route, Failure):
                return route
            if route is Route.THIS_REPLICA:
                response = yield from self._ask(make_event, timeout)
            elif isinstance(route, ForwardTo):
                response = yield self.call(route.leader, KIND, method, requests.forwarded(body), timeout)
            if not may_retry(response, body, self.clock(), deadline):
                return response
            yield RETRY_INTERVAL_SECONDS
        return response

    def watch(self, body: Any) -> Task:
        member, request = self.member, requests.decode_watch(body)
        if member is None or isinstance(request, Failure):
            return Failure(FailureReason.INVALID, requests.WATCH)
        deadline = self.clock() + request.wait_seconds
        while member.committed_state.index <= request.known_index and self.clock() < deadline:
            yield self._news.wait(deadline - self.clock())
        return watch.respond(self._fragmenter, member, request, self.clock())
