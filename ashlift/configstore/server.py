"""The store's process: one member of the agreement on sockets, disk and clock."""

import os
import random
import time
from collections import deque
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import AsyncResult, Event

from ashlift.config.settings import Settings
from ashlift.configstore import events, snapshot_storage
from ashlift.configstore.commands import decide, read_fence
from ashlift.configstore.membership import MembershipCommand
from ashlift.configstore.messages import (
    CALL_TIMEOUT_SECONDS,
    ClockTicked,
    CommandSubmitted,
    Effect,
    HandoverComplete,
    LogEvent,
    PersistState,
    Proposal,
    ReadOnlyResult,
    ReadRequested,
    RequestReceived,
    ResponseReceived,
    SendReply,
    SendRequest,
    ShutdownRequested,
    Snapshot,
    StatePersisted,
)
from ashlift.configstore.replica import Replica
from ashlift.configstore.replica_storage import ReplicaStorage
from ashlift.configstore.snapshot_storage import SnapshotStorage
from ashlift.errors import Failure, FailureReason
from ashlift.events import ERROR, WARNING, log_event
from ashlift.rpc.client import ClientPool
from ashlift.rpc.fragmentation import Fragmenter
from ashlift.rpc.server import serve

if TYPE_CHECKING:
    from ashlift.configstore.pending_edits import Drafts

STEP_S = 0.15  # longest sleep between two looks at the clock
SEEK_S = 0.5  # how long an order or a read waits for a leader
ORDER_S = 5.0  # how long an order may be under way
READ_S = 2.0
PAUSE_S = 0.05
WATCH_MOST_S = 30.0
MERGE_S = 1.0  # between two attempts to have edits of routes merged
SLOW_S = 0.5  # a write that took so long is told: the whole process has stood still
WATCH_PIECE = 256 << 10  # bytes; what is smaller packed or not is told whole, as it is
FLUSH_S = 0.05  # for the last answers to leave before the process ends


def watched(cutter: Fragmenter, told: dict[str, Any], body: Any, now: float) -> dict[str, Any]:
    """What a watcher lacks, in pieces if it is large."""
    if "part" not in body or not told["set"]:
        return told
    difference = {"version": told["index"], **told}
    index = difference.pop("index")
    cut = cutter.next_message(body["have"], difference, body["part"], now)
    return {**cut, "index": index, "late": cut["version"] < index or "part" in cut}


def decide_safely(current: Mapping[str, Any], order: Any) -> Proposal | ReadOnlyResult:
    """A fault in the checks must not take the store down, one leader after the other."""
    try:
        return decide(current, order)
    except Exception as error:
        log_event(events.UNDECIDED, level=ERROR, error=repr(error))
        return ReadOnlyResult({"status": 503, "reason": "the order could not be worked out"})


class Daemon:
    """Serves `submit`, `read`, `watch` to registries, and what members ask: see `methods`."""

    def __init__(self, settings: Settings, folder: str, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock, self.port = clock, settings.internal_ports[0]
        self.disk = ReplicaStorage(folder)
        vote, state = self.disk.read()
        for name, held in (("vote", vote), ("map", state)):
            if isinstance(held, Failure):
                log_event(events.UNREADABLE, level=WARNING, shelf=name, fault=held)
        seeds = sorted({host for host, _ in settings.seeds})
        chance = random.Random(os.urandom(16))
        self.member = Replica(settings.ip, seeds, settings.bootstrap, vote, state, decide_safely, chance)
        self.member.tolerated = max(1, settings.tolerance.machines)
        self.callers = ClientPool()
        self.ended = Event()
        self._news = Event()
        self._seen = 0
        self._heard: dict[str, float] = {}  # when a member last answered, or its connection was given up
        methods = ("request_vote", "append", "join", "succeed")
        handlers: dict[str, Callable[[Any], Any]] = {method: self._handler(method) for method in methods}
        handlers |= {"submit": self.submit, "read": self.read, "watch": self.watch}
        handlers |= {"drafts": self.drafts, "members": self.members}
        self._todo: deque[Effect] = deque()
        self._doing = False
        self._folder = folder
        self._drafts: Drafts | None = None
        self._cutter = Fragmenter(str(self.member.incarnation), WATCH_PIECE, WATCH_PIECE)
        self._do(self.member.begin(self.clock()))
        if snapshot_storage.exists(folder, "edits"):
            self._waiting()
        self.server = serve((settings.ip, self.port), handlers)

    def run(self) -> None:
        """Until it has handed over."""
        while not self.ended.is_set():
            now = self.clock()
            if now >= self.member.due():
                self.feed(ClockTicked())
            self.ended.wait(min(STEP_S, max(0.01, self.member.due() - self.clock())))
        gevent.sleep(FLUSH_S)

    def leave(self) -> None:
        self.feed(ShutdownRequested())

    # ---- the member's events and effects
    def feed(self, event: Any) -> None:
        self._do(self.member.handle(self.clock(), event))

    def _do(self, effects: list[Effect]) -> None:
        """Do effects in order. Nothing here gives way to other greenlets: a write is done before all else."""
        self._todo.extend(effects)
        if self._doing:
            return
        self._doing = True
        try:
            while self._todo:
                self._effect(self._todo.popleft())
        finally:
            self._doing = False
        self._wake()

    def _effect(self, effect: Effect) -> None:
        match effect:
            case SendRequest():
                gevent.spawn(self._call, effect, self.clock())
            case SendReply():
                effect.ref.set(effect.body)
            case PersistState():
                began = self.clock()
                fault = self.disk.persist(effect)
                took = self.clock() - began
                if took >= SLOW_S:
                    log_event(events.DISK_SLOW, level=WARNING, seconds=round(took, 1))
                if fault is not None:
                    log_event(events.DISK_FAULT, level=WARNING, fault=fault)
                self._todo.extend(self.member.handle(self.clock(), StatePersisted(fault is None)))
            case LogEvent():
                log_event(effect.event, **effect.fields)
            case HandoverComplete():
                self.ended.set()

    def _wake(self) -> None:
        index = self.member.news.index
        if index != self._seen:
            self._seen = index
            self._news.set()
            self._news = Event()

    def _call(self, send: SendRequest, sent_at: float) -> None:
        caller = self.callers.client((send.peer, self.port))
        body = caller.call(send.method, send.body, CALL_TIMEOUT_SECONDS)
        if not isinstance(body, Failure):
            self._heard[send.peer] = self.clock()
        elif (
            body.reason == FailureReason.OUTCOME_UNKNOWN
            and self.clock() - self._heard.get(send.peer, 0.0) >= CALL_TIMEOUT_SECONDS
        ):
            self._heard[send.peer] = self.clock()
            caller.close()  # a new connection comes up sooner than an old one sends again after a cut
        self.feed(ResponseReceived(send.peer, send.method, sent_at, send.context, body))

    def _handler(self, method: str) -> Callable[[Any], Any]:
        def handler(body: Any) -> Any:
            return self._ask(lambda ref: RequestReceived(ref, method, body), CALL_TIMEOUT_SECONDS)

        return handler

    def _ask(self, event: Callable[[Any], Any], timeout: float) -> Any:
        ref: Any = AsyncResult()
        self.feed(event(ref))
        try:
            return ref.get(timeout=timeout)
        except gevent.Timeout:
            return Failure(FailureReason.OUTCOME_UNKNOWN, f"{timeout:g} s")

    # ---- calls of registries
    def submit(self, body: Any) -> Any:
        """`{kind, if_match, body, fence}` -> `{status, reason?, index}`; a Failure: no clear answer."""
        fence = read_fence(body)
        if isinstance(fence, Failure):
            return fence
        return self._led("submit", body, lambda ref: CommandSubmitted(ref, body, fence), ORDER_S)

    def read(self, body: Any) -> Any:
        """-> `{version, objects}`: the committed map, seen after the call came."""
        body = body if isinstance(body, dict) else {}
        found = self._led("read", body, ReadRequested, READ_S)
        if not isinstance(found, Snapshot):
            return found
        map = dict(found.entries.map)
        return {"version": map.get("Version"), "objects": map}

    def members(self, body: Any) -> Any:
        """`{do, ip}` -> `{status, reason?}`; do: remove, replace, add, or show: `{status, members}`."""
        if not isinstance(body, dict) or not isinstance(body.get("do"), str):
            return Failure(FailureReason.INVALID, "members")
        order = MembershipCommand(body["do"], str(body.get("ip", "")))
        if order.do == "show" and self.member.lead is not None:
            return {"status": 200, "members": self.member.lead.table()}
        return self._led("members", body, lambda ref: CommandSubmitted(ref, order), ORDER_S)

    def drafts(self, body: Any) -> Any:
        """`{add: [edit]}` -> `{edits: [edit]}`: edits of routes that wait here, no part of the map."""
        return self._waiting().call(body)

    def _waiting(self) -> "Drafts":
        if self._drafts is None:
            from ashlift.configstore.pending_edits import NAME, Drafts  # no route is edited on most systems

            self._drafts = Drafts(SnapshotStorage(self._folder, NAME), self._committed)
            gevent.spawn(self._merge, self._drafts)
        return self._drafts

    def _committed(self) -> tuple[int, Mapping[str, Any]]:
        return self.member.news.index, self.member.news.state.entries.map

    def _merge(self, drafts: "Drafts") -> None:
        """Have what may merge merged, once there is a leader."""
        while True:
            gevent.sleep(MERGE_S)
            order = drafts.order()
            drafts.answered(self.submit(order) if order else None)

    def _led(self, method: str, body: dict[str, Any], event: Callable[[Any], Any], timeout: float) -> Any:
        """Have the leader do it: this process, or the one it knows. Tried again while nothing was begun."""
        until = self.clock() + SEEK_S
        found: Any = Failure(FailureReason.UNAVAILABLE, "no leader")
        while True:
            leader = self.member.leader
            if self.member.silent(self.clock()):
                return Failure(FailureReason.UNAVAILABLE, "no leader is heard here")
            if self.member.lead is not None:
                found = self._ask(event, timeout)
            elif leader is not None and not body.get("passed"):
                caller = self.callers.client((leader, self.port))
                found = caller.call(method, {**body, "passed": True}, timeout)
            if not isinstance(found, Failure) or found.reason not in (
                FailureReason.UNAVAILABLE,
                FailureReason.UNREACHABLE,
            ):
                return found
            if self.clock() >= until or body.get("passed"):
                return found
            gevent.sleep(PAUSE_S)

    def watch(self, body: Any) -> Any:
        """`{have, wait, part}` -> `{index, set, gone, full, age, term, leader, round}`, once there is more
        than `have`; `round`: the newest known, with its term. Who tells a `part` can join pieces: a large one
        comes as `ashlift.rpc.fragmentation` tells it."""
        try:
            have, wait = int(body["have"]), min(float(body["wait"]), WATCH_MOST_S)
        except (LookupError, TypeError, ValueError):
            return Failure(FailureReason.INVALID, "watch")
        until = self.clock() + wait
        while self.member.news.index <= have and self.clock() < until:
            self._news.wait(max(0.0, until - self.clock()))
        news = self.member.news
        age = self.clock() - news.lease
        known = age if age != float("inf") else None
        told = {"age": known, "term": self.member.vote.term, "leader": self.member.leader}
        return {
            **watched(self._cutter, news.since(have), body, self.clock()),
            **told,
            "round": [*self.member.round_known()],
        }
