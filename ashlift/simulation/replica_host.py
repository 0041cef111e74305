"""Runs replicas of the configuration store in simulated time: their events, durable writes and messages.

Links lose, duplicate, delay and reorder messages, and can be blocked in one or both directions. A seed is
reproducible only while the order of the draws from `rng` stays the same. All times are in seconds.
"""

import enum
import functools
import heapq
import random
from collections.abc import Callable
from typing import Any, Final

from ashlift.configstore import events
from ashlift.configstore.codec import decode_request, decode_vote_response
from ashlift.configstore.messages import VoteRequest
from ashlift.configstore.persistent_state import Snapshot
from ashlift.configstore.replica_io import (
    ClockTicked,
    HandoverComplete,
    LogEvent,
    PersistState,
    RequestReceived,
    ResponseReceived,
    SendReply,
    SendRequest,
    StatePersisted,
)
from ashlift.configstore.timing import CALL_TIMEOUT_SECONDS
from ashlift.errors import Failure, FailureReason
from ashlift.simulation.invariant_checker import InvariantChecker, history_of
from ashlift.simulation.replica_node import ClientCall, ReplicaNode

MIN_TICK_SECONDS: Final = 0.01
MAX_TICK_SECONDS: Final = 0.15
DISK_WRITE_SECONDS: Final = (0.002, 0.012)
LINK_DELAY_SECONDS: Final = (0.001, 0.02)
SLOW_LINK_FACTOR: Final = 30
LATE_SECONDS: Final = 0.6
DUPLICATE_DELAY_FACTOR: Final = 3
RESTART_SECONDS: Final = 0.5  # from the end of a leadership handover to the next start


class MessageFault(enum.Enum):
    """A fault of one message."""

    DROPPED = enum.auto()
    DUPLICATED = enum.auto()
    LATE = enum.auto()


MessageFaultFunction = Callable[[str, str, str], MessageFault | None]  # sender, receiver, kind


class ReplicaHost:
    """Runs the replicas of all nodes, and checks the invariants after every event."""

    def __init__(self, seed: int, loss_rate: float, duplicate_rate: float, slow_rate: float) -> None:
        self.rng = random.Random(seed)
        self.loss_rate = loss_rate
        self.duplicate_rate = duplicate_rate
        self.slow_rate = slow_rate
        self.now = 0.0
        self.step = 0
        self.nodes: dict[str, ReplicaNode] = {}
        self.blocked_links: set[tuple[str, str]] = set()  # (sender, receiver)
        self.actions_by_step: dict[int, Callable[[], None]] = {}  # run before that step
        self.message_fault: MessageFaultFunction | None = None
        self.invariants = InvariantChecker()
        self.voter_changes = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._pending_calls: set[tuple[str, int, int]] = set()
        self._call_count = 0

    # ---- time
    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule the action after the delay."""
        self._sequence += 1
        heapq.heappush(self._heap, (self.now + delay, self._sequence, action))

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Run for `seconds`, or until the condition holds; returns whether it holds."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            if until is not None and until():
                return True
            self.now, _, action = heapq.heappop(self._heap)
            self.step += 1
            if self.step in self.actions_by_step:
                self.actions_by_step.pop(self.step)()
            action()
        self.now = end
        return until is not None and until()

    # ---- processes
    def start(self, ip: str) -> None:
        """Start the process of a machine unless it is running or the machine is lost."""
        raise NotImplementedError

    def kill(self, ip: str) -> None:
        """Kill the process. Of a pending write, nothing, only the snapshot or all of it is stored."""
        node = self.nodes[ip]
        write, node.pending_write = node.pending_write, None
        node.replica = None
        if write is not None:
            written_parts = self.rng.randrange(3)
            if written_parts and write.snapshot is not None:
                node.snapshot = write.snapshot
            if written_parts == 2 and write.vote is not None:
                node.vote = write.vote

    def clock(self, node: ReplicaNode) -> float:
        """Return the time of the node's monotonic clock."""
        return self.now + node.clock_offset

    def tick(self, node: ReplicaNode, incarnation: int) -> None:
        """Send the replica a clock tick, and schedule the next one."""
        if node.incarnation != incarnation or node.replica is None:
            return
        if node.frozen_events is None:
            self.handle_event(node, incarnation, ClockTicked())
        if node.replica is not None:
            wait = node.replica.next_tick_at() - self.clock(node)
            delay = min(MAX_TICK_SECONDS, max(MIN_TICK_SECONDS, wait))
            self.call_later(delay, lambda: self.tick(node, incarnation))

    def handle_event(self, node: ReplicaNode, incarnation: int, event: Any) -> None:
        """Pass an event to the replica, or queue it while the process is frozen."""
        if node.incarnation != incarnation or node.replica is None:
            return
        if node.frozen_events is not None:
            node.frozen_events.append(event)
            return
        self.perform(node, node.replica.handle(self.clock(node), event))

    def perform(self, node: ReplicaNode, effects: list[Any]) -> None:
        """Apply the effects of a replica and check its invariants."""
        for effect in effects:
            match effect:
                case SendRequest():
                    self._send_request(node, effect)
                case SendReply(reply_to=ClientCall() as call):
                    self._answer_client(call, effect.body)
                case SendReply():
                    self._send_reply(node, effect)
                case PersistState():
                    self._start_write(node, effect)
                case LogEvent(event=events.LEADER_ELECTED) if node.replica is not None:
                    term = effect.fields["term"]
                    self.invariants = self.invariants.record_leader(term, node.replica, node.incarnation)
                case HandoverComplete():
                    self.kill(node.ip)
                    self.call_later(RESTART_SECONDS, lambda: self.start(node.ip))
                    return
        self._check_invariants(node)

    # ---- disks
    def _start_write(self, node: ReplicaNode, write: PersistState) -> None:
        node.pending_write = write
        seconds = self.rng.uniform(*DISK_WRITE_SECONDS) + node.disk_delay
        self.call_later(seconds, functools.partial(self._finish_write, node, node.incarnation))

    def _finish_write(self, node: ReplicaNode, incarnation: int) -> None:
        write = node.pending_write
        if node.incarnation != incarnation or write is None:
            return
        node.pending_write = None
        if node.disk_fails:
            if write.snapshot is not None and self.rng.random() < 0.5:
                node.snapshot = write.snapshot
            self.handle_event(node, incarnation, StatePersisted(False))
            return
        node.snapshot = write.snapshot or node.snapshot
        node.vote = write.vote or node.vote
        self.handle_event(node, incarnation, StatePersisted(True))

    # ---- messages
    def _delay(self) -> float:
        return self.rng.uniform(*LINK_DELAY_SECONDS) * (
            SLOW_LINK_FACTOR if self.rng.random() < self.slow_rate else 1
        )

    def _transmit(self, sender: str, receiver: str, kind: str, deliver: Callable[[], None]) -> None:
        if (sender, receiver) in self.blocked_links or self.rng.random() < self.loss_rate:
            return
        fault = self.message_fault(sender, receiver, kind) if self.message_fault else None
        if fault is MessageFault.DROPPED:
            return
        self.call_later(self._delay() + (LATE_SECONDS if fault is MessageFault.LATE else 0.0), deliver)
        if fault is MessageFault.DUPLICATED or self.rng.random() < self.duplicate_rate:
            self.call_later(self._delay() * DUPLICATE_DELAY_FACTOR, deliver)

    def _send_request(self, node: ReplicaNode, request: SendRequest) -> None:
        self._call_count += 1
        call = (node.ip, node.incarnation, self._call_count)
        sent_at = self.clock(node)
        self._pending_calls.add(call)
        target = self.nodes[request.peer]

        def arrive() -> None:
            reply_to = (call, request, sent_at)
            event = RequestReceived(reply_to, request.method, request.body)
            self.handle_event(target, target.incarnation, event)

        def time_out() -> None:
            reason = FailureReason.OUTCOME_UNKNOWN if target.replica else FailureReason.UNREACHABLE
            self._finish_call(node, call, request, sent_at, Failure(reason))

        self._transmit(node.ip, request.peer, request.method, arrive)
        self.call_later(CALL_TIMEOUT_SECONDS, time_out)

    def _send_reply(self, node: ReplicaNode, reply: SendReply) -> None:
        call, request, sent_at = reply.reply_to
        decoded = decode_request(request.method, request.body)
        if isinstance(decoded, VoteRequest) and isinstance(reply.body, list):
            self._record_vote(node, decoded, reply.body)
        caller = self.nodes[call[0]]
        self._transmit(
            node.ip,
            caller.ip,
            "answer",
            lambda: self._finish_call(caller, call, request, sent_at, reply.body),
        )

    def _finish_call(
        self, caller: ReplicaNode, call: tuple[str, int, int], request: SendRequest, sent_at: float, body: Any
    ) -> None:
        """Deliver the first answer or the timeout of a call, whichever comes first; ignore all others."""
        if call in self._pending_calls:
            self._pending_calls.discard(call)
            response = ResponseReceived(request.peer, request.method, sent_at, request.context, body)
            self.handle_event(caller, call[1], response)

    def _answer_client(self, call: ClientCall, body: Any) -> None:
        if call.answer is not None:
            raise AssertionError(f"{call.kind} call of {call.started:.3f} s was answered twice")
        call.ended = self.now
        call.answer = history_of(body) if isinstance(body, Snapshot) else body

    # ---- invariants
    def _record_vote(self, node: ReplicaNode, request: VoteRequest, body: list[Any]) -> None:
        if not request.is_pre_vote and decode_vote_response(body).granted:
            self.invariants = self.invariants.record_vote(
                node.ip, node.disk_number, request.term, request.candidate, node.vote
            )

    def _check_invariants(self, node: ReplicaNode) -> None:
        if node.replica is None:
            return
        checker = self.invariants.check_replica(self.now, node.replica, node.clock_offset, node.vote)
        disks = [(ip, other.vote, other.snapshot) for ip, other in self.nodes.items()]
        voters_before = checker.membership[1]
        self.invariants = checker.check_commit(node.replica, disks)
        self.voter_changes += voters_before != self.invariants.membership[1]
