"""The store's process as `ashlift.configstore.server` runs it: the real member on a made disk."""

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from ashlift.configstore.commands import decide, read_fence
from ashlift.configstore.messages import (
    CALL_TIMEOUT_SECONDS,
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
    Snapshot,
    StatePersisted,
)
from ashlift.configstore.pending_edits import NAME, Drafts
from ashlift.configstore.replica import Replica
from ashlift.configstore.server import (
    MERGE_S,
    ORDER_S,
    PAUSE_S,
    READ_S,
    SEEK_S,
    STEP_S,
    WATCH_MOST_S,
    WATCH_PIECE,
    watched,
)
from ashlift.errors import Failure, FailureReason
from ashlift.rpc.fragmentation import Fragmenter
from ashlift.simulation.engine import Future, Loop, Machine, Net, Process, Signal, Steps, simulated

KIND = "configstore"
SYNC_S = (0.002, 0.012)  # a durable write takes between these
HANGING_S = 0.02  # between two looks whether the disk hangs still
DISK_FAULTS = ("done", "undone", "half")  # what a write in the middle of which the process ends has come to


class _Records:
    """The shelf of edits on a made disk."""

    def __init__(self, disk: dict[str, Any]) -> None:
        self._disk = disk

    def read(self) -> dict[str, bytes] | Failure | None:
        found: dict[str, bytes] | None = self._disk.get(NAME)
        return found

    def write(self, records: Mapping[str, bytes]) -> Failure | None:
        self._disk[NAME] = dict(records)
        return None


class Store(Process):
    """`machine.disk` holds `vote` and `state` as they are durable. While a write lasts the process stands."""

    def __init__(self, loop: Loop, net: Net, machine: Machine, seeds: Callable[[], list[str]]) -> None:
        super().__init__(loop, net, machine, KIND)
        self.seeds = seeds
        self.bootstrap = True
        self.member: Replica | None = None
        self.writing: PersistState | None = None
        self._held: list[tuple[Callable[..., None], tuple[Any, ...]]] = []  # until the write is done
        calls = ("request_vote", "append", "join", "succeed")
        self.handlers = {method: self._handler(method) for method in calls}
        self.handlers |= {"submit": self.submit, "read": self.read, "watch": self.watch, "drafts": self._add}
        self.drafts: Drafts | None = None

    def begin(self) -> None:
        disk = self.machine.disk
        vote, state = disk.get("vote"), disk.get("state")
        self.member = Replica(
            self.name, sorted(self.seeds()), self.bootstrap, vote, state, decide, self.loop.chance
        )
        self.bootstrap = False
        self.writing, self._todo, self._doing = None, deque[Effect](), False
        self._held = []
        self._news, self._seen = Signal(self), 0
        self._do(self.member.begin(self.clock()))
        self._cutter = Fragmenter(str(self.member.incarnation), WATCH_PIECE, WATCH_PIECE)
        self.drafts = None
        if NAME in disk:
            self._waiting()
        self._tick()

    def ended(self, silently: bool) -> None:
        """A write under way may be done, not done, or half done: the state without the vote."""
        keep, self.writing, self.member = self.writing, None, None
        if keep is not None:
            came = self.loop.chance.choice(DISK_FAULTS)
            if came != "undone" and keep.state is not None:
                self.machine.disk["state"] = keep.state
            if came == "done" and keep.vote is not None:
                self.machine.disk["vote"] = keep.vote
            simulated(self.net).observer.stored(self)

    def do(self, action: Callable[..., None], args: tuple[Any, ...]) -> None:
        if self.writing is not None and not self.frozen and action != self._kept:
            self._held.append((action, args))
        else:
            super().do(action, args)

    def leave(self) -> None:
        self._feed(ShutdownRequested())

    def _tick(self) -> None:
        member = self.member
        if member is None:
            return
        if self.clock() >= member.due():
            self._feed(ClockTicked())
        self.later(min(STEP_S, max(0.01, member.due() - self.clock())), self._tick)

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
        if member is not None and member.news.index != self._seen:
            self._seen = member.news.index
            self._news.ring()

    def _effect(self, effect: Effect) -> None:
        match effect:
            case SendRequest():  # this and answers leave once all effects are done, a write too
                self.later(0.0, self.spawn, self._send(effect, self.clock()))
            case SendReply():
                self.later(0.0, effect.ref.set, effect.body)
            case PersistState():
                self.writing = effect
                self.later(self.loop.chance.uniform(*SYNC_S) + self.machine.disk_s, self._kept)
            case HandoverComplete():
                self.kill()

    def _kept(self) -> None:
        machine, keep = self.machine, self.writing
        if machine.disk_hangs:
            return self.later(HANGING_S, self._kept)
        assert keep is not None
        self.writing = None
        if not machine.disk_refuses:
            if keep.state is not None:
                machine.disk["state"] = keep.state
            if keep.vote is not None:
                machine.disk["vote"] = keep.vote
        simulated(self.net).observer.stored(self)
        held, self._held, life = self._held, [], self.life
        self._feed(StatePersisted(not machine.disk_refuses))
        for action, args in held:
            if self.life == life:
                self.do(action, args)

    def _send(self, send: SendRequest, sent_at: float) -> Steps:
        body = yield self.call(send.peer, KIND, send.method, send.body, CALL_TIMEOUT_SECONDS)
        self._feed(ResponseReceived(send.peer, send.method, sent_at, send.context, body))

    def _handler(self, method: str) -> Callable[[Any], Any]:
        return lambda body: self._ask(lambda ref: RequestReceived(ref, method, body), CALL_TIMEOUT_SECONDS)

    def _ask(self, event: Callable[[Any], Any], timeout: float) -> Steps:
        ref = Future()
        self.later(timeout, ref.set, Failure(FailureReason.OUTCOME_UNKNOWN, f"{timeout:g} s"))
        self._feed(event(ref))
        return (yield ref)

    # ---- calls of pegboards, as the daemon serves them
    def submit(self, body: Any) -> Steps:
        fence = read_fence(body)
        if isinstance(fence, Failure):
            return fence
        found = yield from self._led("submit", body, lambda ref: CommandSubmitted(ref, body, fence), ORDER_S)
        return found

    def read(self, body: Any) -> Steps:
        found = yield from self._led("read", body, ReadRequested, READ_S)
        if not isinstance(found, Snapshot):
            return found
        map = dict(found.entries.map)
        return {"version": map.get("Version"), "objects": map}

    def _add(self, body: Any) -> Any:
        return self._waiting().call(body)

    def _waiting(self) -> Drafts:
        if self.drafts is None:
            self.drafts = Drafts(_Records(self.machine.disk), self._committed, lambda *_, **__: None)
            self.spawn(self._merge(self.drafts))
        return self.drafts

    def _committed(self) -> tuple[int, Mapping[str, Any]]:
        assert self.member is not None
        return self.member.news.index, self.member.news.state.entries.map

    def _merge(self, drafts: Drafts) -> Steps:
        while True:
            yield MERGE_S
            order = drafts.order()
            answer = None
            if order:
                answer = yield from self.submit(order)
            drafts.answered(answer)

    def _led(self, method: str, body: dict[str, Any], event: Callable[[Any], Any], timeout: float) -> Steps:
        until = self.clock() + SEEK_S
        found: Any = Failure(FailureReason.UNAVAILABLE, "no leader")
        while self.member is not None:
            leader = self.member.leader
            if self.member.silent(self.clock()):
                return Failure(FailureReason.UNAVAILABLE, "no leader is heard here")
            if self.member.lead is not None:
                found = yield from self._ask(event, timeout)
            elif leader is not None and not body.get("passed"):
                found = yield self.call(leader, KIND, method, {**body, "passed": True}, timeout)
            if not isinstance(found, Failure) or found.reason not in (
                FailureReason.UNAVAILABLE,
                FailureReason.UNREACHABLE,
            ):
                return found
            if self.clock() >= until or body.get("passed"):
                return found
            yield PAUSE_S
        return found

    def watch(self, body: Any) -> Steps:
        member = self.member
        if member is None:
            return Failure(FailureReason.INVALID, "watch")
        have, until = body["have"], self.clock() + min(body["wait"], WATCH_MOST_S)
        while member.news.index <= have and self.clock() < until:
            yield self._news.wait(until - self.clock())
        age = self.clock() - member.news.lease
        known = age if age != float("inf") else None
        told = {"age": known, "term": member.vote.term, "leader": member.leader}
        news = watched(self._cutter, member.news.since(have), body, self.clock())
        return {**news, **told, "round": [*member.round_known()]}
