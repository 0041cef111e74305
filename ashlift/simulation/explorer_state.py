"""Immutable state of a small explored cluster: replicas, disks, messages in flight and client calls.

A step (`simulation.explorer_transition`) creates a new `ClusterState` that shares all unchanged parts with
the previous one. A durable write completes within the event that requests it: a replica accepts no other
event while it waits for its disk, so interleaving the events of other replicas would lead to the same states.
Times are in seconds, and all machines share one monotonic clock.
"""

import math
import random
from collections import deque
from collections.abc import Hashable
from typing import Any, Final, Literal, NamedTuple

import attrs
from attrs import define, field, frozen

from ashlift.configstore.catch_up import CatchUp, ReplicaProgress
from ashlift.configstore.change_log import ChangeLog
from ashlift.configstore.committed_state import CommittedState
from ashlift.configstore.election import Election, ElectionAttempt
from ashlift.configstore.follower import Follower
from ashlift.configstore.freshness_lease import FreshnessLease
from ashlift.configstore.heartbeat_rounds import HeartbeatRounds
from ashlift.configstore.joining import Joining
from ashlift.configstore.leader import Leader
from ashlift.configstore.leadership_transfer import LeadershipTransfer
from ashlift.configstore.membership import VOTER_PREFIX
from ashlift.configstore.membership_manager import MembershipManager
from ashlift.configstore.peers import PeerState, PeerTable
from ashlift.configstore.persistent_state import PersistentVote, Snapshot
from ashlift.configstore.proposal_queue import ProposalQueue
from ashlift.configstore.ranged_map import RangedMap
from ashlift.configstore.replica import Replica
from ashlift.configstore.replica_io import CommandSubmitted, ReadRequested
from ashlift.configstore.replication import Replication
from ashlift.simulation.invariant_checker import InvariantChecker
from ashlift.simulation.linearizability import Call, ConfigurationWrite

MIN_TIMER_INTERVAL_SECONDS: Final = 0.1
PLAIN_TYPES: Final = (int, str, bytes, bool, type(None))
# Attributes of a replica that are constant, or have no effect once an event has been handled.
EXCLUDED_ATTRIBUTES: Final = frozenset(
    (
        "now",
        "effects",
        "last_write_seconds",
        "_pending_write",
        "_deferred",
        "ip",
        "seeds",
        "command_handler",
        "random",
        "_encoded_deltas",
        "_ranged",
    )
)
MUTABLE_TYPES: Final = frozenset(
    (
        Replica,
        Election,
        ElectionAttempt,
        Follower,
        FreshnessLease,
        Joining,
        Leader,
        PeerTable,
        PeerState,
        HeartbeatRounds,
        Replication,
        ProposalQueue,
        MembershipManager,
        LeadershipTransfer,
        CommittedState,
        ChangeLog,
        CatchUp,
        ReplicaProgress,
    )
)

FaultKind = Literal["lose", "double", "late", "crash", "refuse", "wipe", "power", "early", "freeze", "timer"]


@frozen
class UnansweredCall:
    """A client call without an answer.

    `write` is None for any call other than a put. `started` is a logical time: the number of starts and ends
    of client calls before this one.
    """

    number: int
    write: ConfigurationWrite | None
    started: float


class FixedRandom(random.Random):
    """Deterministic stand-in for a random generator: timers fire when the explorer decides, not at random."""

    def __init__(self, number: int, incarnation: int) -> None:
        super().__init__(0)
        self._share = number * 0.3 % 1.0
        self._bits = number * 10_000 + incarnation * 1000

    def uniform(self, a: float, b: float) -> float:
        """Return a value at a fixed position between the bounds, which depends on the replica only."""
        return a + (b - a) * self._share

    def getrandbits(self, _count: int, /) -> int:
        """Return a fixed number that identifies the replica and its incarnation."""
        return self._bits


def _attribute_names(value: Any) -> list[str]:
    if attrs.has(type(value)):
        return [attribute.name for attribute in attrs.fields(type(value))]
    return list(vars(value))


def copy_replica(value: Any, copies: dict[int, Any]) -> Any:
    """Return a copy of all objects that a replica mutates in place; immutable ones are shared.

    `copies` maps the id of each object that was copied already to its copy.
    """
    kind = type(value)
    if kind in MUTABLE_TYPES:
        if id(value) not in copies:
            copy = copies[id(value)] = object.__new__(kind)
            for name in _attribute_names(value):
                setattr(copy, name, copy_replica(getattr(value, name), copies))
        return copies[id(value)]
    if kind is dict:
        return {key: copy_replica(item, copies) for key, item in value.items()}
    if kind in (list, deque):
        return kind(copy_replica(item, copies) for item in value)
    return set(value) if kind is set else value


def fingerprint(value: Any, seen: set[int]) -> Any:
    """Return a value that is equal for replicas, or messages, with the same future behaviour.

    `seen` holds the ids of the mutable objects visited so far; a repeated or cyclic reference becomes None.
    """
    kind = type(value)
    if kind in PLAIN_TYPES:
        return value
    if kind is float:
        return round(value, 6)
    if kind in MUTABLE_TYPES:
        return _replica_fingerprint(value, seen)
    if isinstance(value, (list, tuple, deque)) and kind not in (ReadRequested, CommandSubmitted):
        return tuple([fingerprint(item, seen) for item in value])
    return _other_fingerprint(value, seen)


def _replica_fingerprint(value: Any, seen: set[int]) -> Any:
    if id(value) in seen:
        return None
    seen.add(id(value))
    names = [name for name in _attribute_names(value) if name not in EXCLUDED_ATTRIBUTES]
    return tuple([fingerprint(getattr(value, name), seen) for name in names])


def _other_fingerprint(value: Any, seen: set[int]) -> Any:
    kind = type(value)
    if kind is RangedMap:
        return value.digest()
    if kind is dict:
        return tuple([(key, fingerprint(item, seen)) for key, item in value.items()])
    if kind is set:
        return tuple(sorted(value))
    if kind in (ReadRequested, CommandSubmitted):
        return kind.__name__, getattr(value, "command", None), getattr(value, "fencing_token", None)
    return kind.__name__


@define(eq=False)
class MachineState:
    """A machine with its disk, its process if one is running, and the number of both so far.

    `timer_fired_at` is when its timer fired last. Until `frozen_until` the process handles no event. With
    `clients_first`, client requests that arrive meanwhile are handled before all other messages.
    """

    vote: PersistentVote | None = None
    snapshot: Snapshot | None = None
    replica: Replica | None = None
    incarnation: int = 0
    disk_number: int = 0
    timer_fired_at: float = -1.0
    frozen_until: float = -1.0
    clients_first: bool = False
    _key: Hashable = field(default=None, init=False)

    def timer_due(self) -> float:
        """When its timer fires next, at least `MIN_TIMER_INTERVAL_SECONDS` after the last time."""
        if self.replica is None:
            return math.inf
        due = self.replica.next_tick_at()
        if due <= self.timer_fired_at:
            due = round(self.timer_fired_at + MIN_TIMER_INTERVAL_SECONDS, 6)
        return max(self.frozen_until, due)

    def believes_to_lead(self) -> bool:
        """Whether its replica is in the leader role; its term may have been superseded."""
        return self.replica is not None and self.replica.leader_role is not None

    def key(self) -> Hashable:
        """Return a key that is equal for machines with the same future behaviour."""
        if self._key is None:
            disk_and_process = [self.vote, self.snapshot, self.replica, self.incarnation, self.disk_number]
            timing = [self.timer_fired_at, self.frozen_until, self.clients_first]
            self._key = fingerprint([*disk_and_process, *timing], set())
        return self._key


class CallReference(NamedTuple):
    """Identifies a call between replicas in its request, its answer and its timeout."""

    number: int
    caller: str
    caller_incarnation: int
    method: str
    sent_at: float
    peer_and_context: tuple[str, Any]


@define(eq=False)
class PendingMessage:
    """An event scheduled for a machine.

    `kind` is `call`, `answer`, `timeout` (of a call), `start` (of the process) or `ask` (a client request).
    `reference` identifies the call and is None for `start` and `ask`. Messages due at the same time are
    delivered by `order`.
    """

    due: float
    order: int
    kind: str
    to: str
    reference: Any
    body: Any = None
    _key: Hashable = field(default=None, init=False)

    def key(self, any_order: bool, pending_calls: frozenset[int]) -> Hashable:
        """Return a key that ignores the message's number and, in `any_order` mode, its due time."""
        if self._key is None:
            due = 0.0 if any_order else self.due
            reference = () if self.reference is None else tuple(self.reference[1:])
            parts = fingerprint(reference, set()), fingerprint(self.body, set())
            self._key = due, self.kind, self.to, *parts
        return self._key, self.reference is not None and self.reference[0] in pending_calls

    def __str__(self) -> str:
        if self.kind == "start":
            return f"{self.to} starts"
        if self.kind == "ask":
            return f"client request to {self.to}"
        reference = self.reference
        route = f"{reference.caller} -> {self.to}" if self.kind == "call" else f"to {self.to}"
        return f"{self.kind} {reference.number} {reference.method} {route}"


@frozen
class ExplorationRules:
    """Cluster size, faults and client calls of one exploration.

    members, seeds: number of machines, and how many of them are seeds.
    budgets: maximum number of faults of each kind on one path.
    max_faults: maximum number of faults of all kinds on one path.
    script: lines of client calls, each sent to every replica that believes that it leads: `put BASE NAME...`
        (concurrent puts), `again` (resends the last put), `read`, `zone +` and `zone -` (evacuate, restore),
        `add IP`, `remove IP`, `replace IP` (`leader` stands for the replica itself), `held +` (an evacuation
        that arrives after its client has given up).
    fault_seconds: span in which faults are injected; afterwards the cluster must recover (`AGREEMENT`).
    from_bootstrap: start with the first start of all machines instead of a leader with all members voting.
    restart_with_last_seeds: restarted processes get the last machines as seeds instead of the first.
    any_order: start without a leader; messages arrive in any order or never, and each timer is a fault.
    held_learners: number of members, from the last, that were removed and have caught up as learners.
    max_wiped_disks: maximum number of machines at a time whose disk was lost and that do not vote yet.
    """

    members: int = 3
    seeds: int = 3
    budgets: dict[FaultKind, int] = field(factory=dict)
    max_faults: int = 1
    script: tuple[str, ...] = ()
    fault_seconds: float = 0.1
    from_bootstrap: bool = False
    restart_with_last_seeds: bool = False
    any_order: bool = False
    held_learners: int = 0
    max_wiped_disks: int = 1


@frozen(eq=False)
class ClusterState:
    """All machines, messages and client calls at one point in time.

    budgets, faults_left: faults that may still be injected, by kind and in total.
    count: number of messages and client calls so far, from which their numbers are drawn.
    pending_calls: numbers of the calls between replicas that wait for an answer.
    client_calls: history of the client calls by their number, for the linearizability check.
    script, line_submitted_at: lines that are left, and when the current one was submitted last.
    first_call_of_line: number of the first call of the current line.
    line_answered: whether a call of the current line was answered, so that the script may continue.
    event_count: starts and ends of client calls so far, the logical time of their history.
    """

    rules: ExplorationRules
    now: float
    machines: dict[str, MachineState]
    budgets: dict[FaultKind, int]
    faults_left: int
    messages: tuple[PendingMessage, ...] = ()
    count: int = 0
    pending_calls: frozenset[int] = frozenset()
    client_calls: tuple[tuple[int, Call], ...] = ()
    invariants: InvariantChecker = InvariantChecker()
    script: tuple[str, ...] = ()
    faults_until: float = 0.0
    line_submitted_at: float = -math.inf
    unanswered_calls: tuple[UnansweredCall, ...] = ()
    first_call_of_line: int = 0
    line_answered: bool = True
    event_count: int = 0

    def key(self) -> int:
        """Return a 64-bit hash that is equal for states with the same future; collisions are negligible."""
        any_order = self.rules.any_order
        ordered = sorted(self.messages, key=lambda message: (message.due, message.order))
        messages = [message.key(any_order, self.pending_calls) for message in ordered]
        if any_order:
            messages.sort(key=hash)
        machines = tuple(machine.key() for machine in self.machines.values())
        unanswered_calls = tuple((call.write, call.started) for call in self.unanswered_calls)
        calls = tuple(call for _, call in self.client_calls)
        clients = (calls, self.script, self.line_submitted_at, unanswered_calls, self.line_answered)
        faults = (self.faults_until, self.faults_left, tuple(self.budgets.values()))
        return hash((round(self.now, 6), machines, tuple(messages), self.invariants, clients, faults))

    def is_finished(self) -> bool:
        """Whether the script is complete and no client request is still waiting to be delivered."""
        return not self.script and all(message.kind != "ask" for message in self.messages)

    def is_fault_free(self) -> bool:
        """Whether no more faults are injected."""
        return not self.faults_left or self.now >= self.faults_until

    def learner_count(self) -> int:
        """Return how many voters of the newest stored map are learners by their own disk."""
        snapshots = [machine.snapshot for machine in self.machines.values() if machine.snapshot]
        newest = max(snapshots, key=lambda snapshot: snapshot.term_index, default=None)
        members = [ip for ip in self.machines if newest and VOTER_PREFIX + ip in newest.entries.map]
        started = [self.machines[ip] for ip in members if self.machines[ip].incarnation]
        return sum(machine.vote is None or not machine.vote.is_voter for machine in started)
