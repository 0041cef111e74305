"""A few real members of the store as one value: machines, messages on their way, clients' calls.

A `Cell` is never changed; a step (`simulation.moves`) gives a new one that shares what did not change. Writes
are done within the event that asks for them: a member with a write out takes nothing else, so any other order
of the others' events comes to the same. Time is simulated, s; all steady clocks are one.
"""

import random
from collections import deque
from collections.abc import Hashable
from typing import Any, Final, Literal

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

PAUSE_S = 0.1  # between two ends of one timer at least
PLAIN: Final = (int, str, bytes, bool, type(None))
IDLE: Final = frozenset(  # of a member between two events, or for good
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
MUTABLE: Final = frozenset(
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

Asked = tuple[int, ConfigurationWrite | None, float]  # number, of a read None, the moment
Kind = Literal["lose", "double", "late", "crash", "refuse", "wipe", "power", "early", "freeze", "timer"]


class Draw(random.Random):
    """Falls alike in all lives of one member: the explorer chooses when timers end, not chance."""

    def __init__(self, number: int, life: int) -> None:
        super().__init__(0)
        self.share, self.bits = number * 0.3 % 1.0, number * 10_000 + life * 1000

    def uniform(self, a: float, b: float) -> float:
        return a + (b - a) * self.share

    def getrandbits(self, k: int, /) -> int:
        return self.bits


def _names(one: Any) -> list[str]:
    return [name.name for name in attrs.fields(type(one))] if attrs.has(type(one)) else list(vars(one))


def forked(one: Any, made: dict[int, Any]) -> Any:
    """A copy of all that a member changes in place; the rest is shared."""
    if type(one) in MUTABLE:
        if id(one) not in made:
            other = made[id(one)] = object.__new__(type(one))
            for name in _names(one):
                setattr(other, name, forked(getattr(one, name), made))
        return made[id(one)]
    if type(one) is dict:
        return {key: forked(value, made) for key, value in one.items()}
    if type(one) in (list, deque):
        return type(one)(forked(value, made) for value in one)
    return set(one) if type(one) is set else one


def known(one: Any, seen: set[int]) -> Any:
    """What tells two members apart, or two messages: equal values for those that go on alike."""
    kind = type(one)
    if kind in PLAIN:
        return one
    if kind is float:
        return round(one, 6)
    if kind in MUTABLE:
        if id(one) in seen:
            return None
        seen.add(id(one))
        return tuple([known(getattr(one, name), seen) for name in _names(one) if name not in IDLE])
    if kind is RangedMap:
        return one.digest()
    if kind is dict:
        return tuple([(key, known(value, seen)) for key, value in one.items()])
    if kind is set:
        return tuple(sorted(one))
    if kind in (ReadRequested, CommandSubmitted):
        return kind.__name__, getattr(one, "command", None), getattr(one, "fencing_token", None)
    if isinstance(one, (list, tuple, deque)):
        return tuple([known(value, seen) for value in one])
    return kind.__name__


@define(eq=False)
class Place:
    """A machine: its disk, its process if one runs, how often either began anew."""

    vote: PersistentVote | None = None
    state: Snapshot | None = None
    member: Replica | None = None
    life: int = 0
    disk: int = 0
    woken: float = -1.0  # by its timer
    frozen: float = -1.0  # until then
    turned: bool = False  # what clients ask meanwhile is taken before all else
    _key: Hashable = field(default=None, init=False)

    def due(self) -> float:
        """When its timer ends; as in the daemon, it is not asked without a pause."""
        if self.member is None:
            return float("inf")
        due = self.member.next_tick_at()
        return max(self.frozen, due if due > self.woken else round(self.woken + PAUSE_S, 6))

    def leads(self) -> bool:
        """Whether it believes so."""
        return self.member is not None and self.member.leader_role is not None

    def key(self) -> Hashable:
        if self._key is None:
            parts = [self.vote, self.state, self.member, self.life, self.disk, self.woken]
            self._key = known([*parts, self.frozen, self.turned], set())
        return self._key


@define(eq=False)
class Mail:
    """A call, an answer, the end of a call's patience, or a process to be started; `ref` of the call."""

    due: float
    order: int
    kind: str  # call, answer, over, start
    to: str
    ref: Any  # (number, from, life, method, sent at, context)
    body: Any = None
    _key: Hashable = field(default=None, init=False)

    def key(self, free: bool, open: frozenset[int]) -> Hashable:
        """What tells it from another, but for its number. Unless `free`, its time counts."""
        if self._key is None:
            due = 0.0 if free else self.due
            ref = () if self.ref is None else self.ref[1:]
            self._key = due, self.kind, self.to, known(ref, set()), known(self.body, set())
        return self._key, self.ref is not None and self.ref[0] in open

    def __str__(self) -> str:
        if self.kind in ("start", "ask"):
            return f"{self.to} starts" if self.kind == "start" else f"{self.to} is asked"
        number, one, _, method, *_ = self.ref
        way = f"{one} -> {self.to}" if self.kind == "call" else f"{self.to} hears"
        return f"{self.kind} {number} {method} {way}"


@frozen
class Rules:
    """What is explored. `budgets`: how often each kind of trouble may come; `most`: how often all together.
    `free`: no leader at first, messages come in any order or never; the end of a timer is a trouble too."""

    members: int = 3
    seeds: int = 3
    budgets: dict[Kind, int] = field(factory=dict)
    most: int = 1
    # `put BASE NAME...` (at once), `again` (the last one), `read`, `zone +` or `-` (evacuated, taken back),
    # `add IP`, `remove IP` (or leader), `replace IP`: at all that lead, one after another. `held +`: a call
    # that its client gives up and that arrives after that.
    script: tuple[str, ...] = ()
    span: float = 0.1  # s in which trouble comes; then the cell must agree (`AGREE`)
    first: bool = False  # from the very first start; else from a leader with all members voting
    turned: bool = False  # a process that starts again is told other seeds: the last ones
    free: bool = False
    held: int = 0  # the last of the members were taken off, and have learnt all since
    wiped: int = 1  # disks that may be lost, their members learners, at a time


@frozen(eq=False)
class Cell:
    rules: Rules
    now: float
    places: dict[str, Place]
    left: dict[Kind, int]
    most: int
    mail: tuple[Mail, ...] = ()
    count: int = 0
    open: frozenset[int] = frozenset()
    calls: tuple[tuple[int, Call], ...] = ()
    invariants: InvariantChecker = InvariantChecker()
    script: tuple[str, ...] = ()
    calm_at: float = 0.0  # trouble comes before this only
    asked_at: float = float("-inf")  # when the script's last line was asked
    asking: tuple[Asked, ...] = ()  # calls without an answer
    line: int = 0  # the number from which on they are of that line
    heard: bool = True  # one of that line is answered: the script goes on
    moments: int = 0  # clients' calls begun and ended so far: their history goes by these

    def key(self) -> int:
        """Cells with the same key go on alike (64 bits: a clash among a million is not to be expected)."""
        free = self.rules.free
        mail = [one.key(free, self.open) for one in sorted(self.mail, key=lambda one: (one.due, one.order))]
        if free:
            mail.sort(key=hash)
        places = tuple(place.key() for place in self.places.values())
        asking = tuple((change, moment) for _, change, moment in self.asking)
        calls = tuple(call for _, call in self.calls)
        clients = (calls, self.script, self.asked_at, asking, self.heard)
        budget = (self.calm_at, self.most, tuple(self.left.values()))
        return hash((round(self.now, 6), places, tuple(mail), self.invariants, clients, budget))

    def over(self) -> bool:
        """All is agreed on, and who was frozen has heard its clients."""
        return not self.script and all(one.kind != "ask" for one in self.mail)

    def calm(self) -> bool:
        """No trouble can come any more."""
        return not self.most or self.now >= self.calm_at

    def learners(self) -> int:
        """Members by the newest map on a disk that do not count."""
        states = [one.state for one in self.places.values() if one.state]
        newest = max(states, key=lambda state: state.term_index, default=None)
        names = [ip for ip in self.places if newest and VOTER_PREFIX + ip in newest.entries.map]
        begun = [self.places[ip] for ip in names if self.places[ip].life]
        return sum(one.vote is None or not one.vote.is_voter for one in begun)
