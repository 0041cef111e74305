"""A few real replicas of the store as one value: machines, messages on their way, clients' calls.

A `ClusterState` is never changed; a step (`simulation.explorer_transition`) gives a new one that shares what
did not change. Writes are done within the event that asks for them: a replica with a write under way takes
nothing else, so any other order of the others' events comes to the same. Times are seconds; all steady clocks
are one.
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
EXCLUDED_ATTRIBUTES: Final = frozenset(  # of a replica between two events, or for good
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
    """A client's call; `write` is None for a read, `started` counts the event_count of clients' calls."""

    number: int
    write: ConfigurationWrite | None
    started: float


class FixedRandom(random.Random):
    """Draws alike in all incarnations of one replica: the explorer chooses when timers end, not chance."""

    def __init__(self, number: int, incarnation: int) -> None:
        super().__init__(0)
        self._share = number * 0.3 % 1.0
        self._bits = number * 10_000 + incarnation * 1000

    def uniform(self, a: float, b: float) -> float:
        """Return the same place between the bounds each time."""
        return a + (b - a) * self._share

    def getrandbits(self, _count: int, /) -> int:
        """Return the same bits each time."""
        return self._bits


def _attribute_names(value: Any) -> list[str]:
    if attrs.has(type(value)):
        return [attribute.name for attribute in attrs.fields(type(value))]
    return list(vars(value))


def copy_replica(value: Any, copies: dict[int, Any]) -> Any:
    """Return a copy of all that a replica changes in place; the rest is shared. `copies`: by id."""
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
    """Return what tells two replicas or two messages apart: equal values for those that go on alike."""
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
    """A machine: its disk, its process if one runs, and how often either began anew.

    `timer_fired_at`: when its timer ended last; `frozen_until`; `clients_first`: what clients ask while it is
    frozen is taken before all else.
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
        """When its timer ends; as in the program, it is not asked again without a pause."""
        if self.replica is None:
            return math.inf
        due = self.replica.next_tick_at()
        if due <= self.timer_fired_at:
            due = round(self.timer_fired_at + MIN_TIMER_INTERVAL_SECONDS, 6)
        return max(self.frozen_until, due)

    def believes_to_lead(self) -> bool:
        """Whether its replica has the leader's role."""
        return self.replica is not None and self.replica.leader_role is not None

    def key(self) -> Hashable:
        """Machines with the same key go on alike."""
        if self._key is None:
            disk_and_process = [self.vote, self.snapshot, self.replica, self.incarnation, self.disk_number]
            timing = [self.timer_fired_at, self.frozen_until, self.clients_first]
            self._key = fingerprint([*disk_and_process, *timing], set())
        return self._key


class CallReference(NamedTuple):
    """A call between replicas, as its messages carry it."""

    number: int
    caller: str
    caller_incarnation: int
    method: str
    sent_at: float
    peer_and_context: tuple[str, Any]


@define(eq=False)
class PendingMessage:
    """What is to come to a machine: a call, an answer, a call's time-out, a start, or a client's request.

    `kind` is call, answer, timeout, start or ask; `reference` is that of the call.
    """

    due: float
    order: int
    kind: str
    to: str
    reference: Any
    body: Any = None
    _key: Hashable = field(default=None, init=False)

    def key(self, any_order: bool, pending_calls: frozenset[int]) -> Hashable:
        """What tells it from another, but for its number; its time does not count in `any_order`."""
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
            return f"{self.to} is asked"
        reference = self.reference
        way = f"{reference.caller} -> {self.to}" if self.kind == "call" else f"{self.to} hears"
        return f"{self.kind} {reference.number} {reference.method} {way}"


@frozen
class ExplorationRules:
    """What is explored.

    `budgets`: how often each kind of fault may come; `max_faults`: how often all together. `any_order`: no
    leader at first, messages come in any order or never, and the end of a timer is a fault too. `script`:
    `put BASE NAME...` (at once), `again` (the last one), `read`, `zone +` or `-` (evacuated, restored),
    `add IP`, `remove IP` (or leader), `replace IP`: at all that lead, one after another; `held +`: a call
    that its client gives up and that arrives after that. `fault_seconds`: in which faults come; then the
    cluster must agree (`AGREEMENT`). `from_bootstrap`: else from a leader with all members voting.
    `restart_with_last_seeds`: a process that starts again is told the last machines as seeds. `held_learners`: the last of the
    members were taken off, and have learnt all since. `max_wiped_disks`: disks lost at a time, their members
    learners.
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
    """All machines and messages at one moment, and what clients know."""

    rules: ExplorationRules
    now: float
    machines: dict[str, MachineState]
    budgets: dict[FaultKind, int]  # left
    faults_left: int
    messages: tuple[PendingMessage, ...] = ()
    count: int = 0  # of messages and calls so far: their numbers
    pending_calls: frozenset[int] = frozenset()
    client_calls: tuple[tuple[int, Call], ...] = ()
    invariants: InvariantChecker = InvariantChecker()
    script: tuple[str, ...] = ()
    faults_until: float = 0.0
    line_submitted_at: float = -math.inf  # when the script's last line was asked
    unanswered_calls: tuple[UnansweredCall, ...] = ()
    first_call_of_line: int = 0  # the number from which on calls are of that line
    line_answered: bool = True  # one call of that line is answered: the script goes on
    event_count: int = 0  # clients' calls begun and ended so far: their history goes by these

    def key(self) -> int:
        """States with the same key go on alike; of 64 bits, so a clash is not to be expected."""
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
        """Whether all is agreed on, and who was frozen has heard its clients."""
        return not self.script and all(message.kind != "ask" for message in self.messages)

    def is_fault_free(self) -> bool:
        """Whether no fault can come any more."""
        return not self.faults_left or self.now >= self.faults_until

    def learner_count(self) -> int:
        """Return the members by the newest map on a disk whose disks do not vote."""
        snapshots = [machine.snapshot for machine in self.machines.values() if machine.snapshot]
        newest = max(snapshots, key=lambda snapshot: snapshot.term_index, default=None)
        members = [ip for ip in self.machines if newest and VOTER_PREFIX + ip in newest.entries.map]
        started = [self.machines[ip] for ip in members if self.machines[ip].incarnation]
        return sum(machine.vote is None or not machine.vote.is_voter for machine in started)
