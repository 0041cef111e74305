"""Checks the invariants of the configuration store's replicas (docs/design/store.md) after every event.

`simulation.replica_host` and `simulation.explore` report elections, votes and replica states to an
`InvariantChecker`. It is immutable: each check returns an updated checker. Replicas decide commands by
`decide_history_command`, so that the committed map contains its whole history.
"""

from collections.abc import Iterable, Mapping
from typing import Any, Final, NamedTuple

from attrs import evolve, frozen

from ashlift.configstore.membership import VOTER_PREFIX, addresses_under, incarnation_matches, quorum
from ashlift.configstore.persistent_state import PersistentVote, Snapshot, TermIndex
from ashlift.configstore.proposals import Proposal, ReadOnlyResult
from ashlift.configstore.replica import Replica

ZONE: Final = "zone"  # the only zone that is evacuated
HISTORY: Final = "history"
ROTATING_KEYS: Final = 5  # keys of the map besides its history, set and removed in turn


class InvariantViolationError(AssertionError):
    """An invariant does not hold."""


def decide_history_command(entries: Any, command: Any) -> Proposal | ReadOnlyResult:
    """Decide a command `(base, name)`.

    The name is appended if the history has exactly `base` commands. The names `+` and `-` evacuate and
    restore the zone regardless of the history.
    """
    base, name = command
    if name in ("+", "-"):
        evacuated = name == "+"
        if entries.get(ZONE, False) == evacuated:
            return ReadOnlyResult({"status": 200})
        return Proposal({ZONE: evacuated}, [], {"status": 200}, (ZONE,))
    history = entries.get(HISTORY, [])
    if name in history:
        return ReadOnlyResult({"status": 200})
    if base != len(history):
        return ReadOnlyResult({"status": 412})
    changed = {HISTORY: [*history, name], f"k{base % ROTATING_KEYS}": name}
    removed = [f"k{(base + 2) % ROTATING_KEYS}"]
    return Proposal(changed, removed, {"status": 200})


def history_of(snapshot: Snapshot) -> list[str]:
    """Return the names of all commands applied to this snapshot."""
    return list(snapshot.entries.map.get(HISTORY, []))


class Leadership(NamedTuple):
    """The leader of a term, by the incarnation of its process."""

    term: int
    replica: str
    incarnation: int


class GrantedVote(NamedTuple):
    """A vote of a replica for a candidate; `disk` is the number of the machine's disk."""

    voter: str
    disk: int
    term: int
    candidate: str
    incarnation: int


@frozen
class InvariantChecker:
    """Observations of all replicas so far.

    `committed_history` is the longest committed history of any replica, `committed_at` when each of its
    commands was first seen as committed. `membership` is the position of the newest committed map, and its
    voters.
    """

    leaderships: frozenset[Leadership] = frozenset()
    votes: frozenset[GrantedVote] = frozenset()
    committed_history: tuple[str, ...] = ()
    committed_at: tuple[float, ...] = ()
    membership: tuple[TermIndex, tuple[str, ...]] = ((0, 0), ())

    def record_leader(self, term: int, replica: Replica, incarnation: int) -> "InvariantChecker":
        """Check I1 and M3 when a replica was elected."""
        entries = replica.snapshot.entries.map
        granted = {
            (vote.voter, vote.incarnation)
            for vote in self.votes
            if vote.term == term and vote.candidate == replica.ip
        }
        granted.add((replica.ip, replica.vote.incarnation))
        voters = addresses_under(entries, VOTER_PREFIX)
        electors = {voter for voter, disk in granted if incarnation_matches(entries, voter, disk)}
        if len(electors) < quorum(len(voters)):
            raise InvariantViolationError(
                f"M3: {replica.ip} elected in term {term} without a quorum: {sorted(electors)} of {voters}"
            )
        leadership = Leadership(term, replica.ip, incarnation)
        if any(other.term == term and other != leadership for other in self.leaderships):
            raise InvariantViolationError(f"I1: two leaders in term {term}: {sorted(self.leaderships)}")
        return evolve(self, leaderships=self.leaderships | {leadership})

    def record_vote(
        self, voter: str, disk: int, term: int, candidate: str, stored: PersistentVote | None
    ) -> "InvariantChecker":
        """Check I2 when a replica grants a vote; `stored` is what its disk holds."""
        if any(vote[:3] == (voter, disk, term) and vote.candidate != candidate for vote in self.votes):
            raise InvariantViolationError(f"I2: {voter} voted for two candidates in term {term}")
        if stored is None or not stored.is_voter or stored.term < term:
            raise InvariantViolationError(f"I2: the vote of {voter} in term {term} is not durable")
        vote = GrantedVote(voter, disk, term, candidate, stored.incarnation)
        return evolve(self, votes=self.votes | {vote})

    def check_replica(
        self, now: float, replica: Replica, clock_offset: float, stored: PersistentVote | None
    ) -> "InvariantChecker":
        """Check I3, I7, I8 and M4 after an event of a replica, whose clock shows `now + clock_offset`."""
        _check_leader_votes(replica, stored)
        history = tuple(history_of(replica.committed_state.snapshot))
        common = min(len(history), len(self.committed_history))
        if history[:common] != self.committed_history[:common]:
            raise InvariantViolationError(
                f"I3: history {history} of {replica.ip} diverges from {self.committed_history}"
            )
        checker = self
        if len(history) > len(self.committed_history):
            new_count = len(history) - len(self.committed_history)
            committed_at = self.committed_at + (now,) * new_count
            checker = evolve(self, committed_history=history, committed_at=committed_at)
        confirmed_at = replica.committed_state.freshness_confirmed_at - clock_offset
        required = sum(at < confirmed_at for at in checker.committed_at)
        if len(history) < required:
            raise InvariantViolationError(
                f"I7: {replica.ip} fresh at {confirmed_at:.3f} s with {len(history)} of {required} commands"
            )
        return checker

    def check_commit(
        self, replica: Replica, disks: Iterable[tuple[str, PersistentVote | None, Snapshot | None]]
    ) -> "InvariantChecker":
        """Check M1 and M2 after an event of a leader, with the contents of all disks."""
        committed = replica.committed_state.snapshot
        newest, voters_before = self.membership
        if replica.leader_role is None or committed.term_index <= newest:
            return self
        entries = committed.entries.map
        voters = tuple(addresses_under(entries, VOTER_PREFIX))
        if voters_before and len({*voters} ^ {*voters_before}) > 1:
            raise InvariantViolationError(
                f"M1: more than one voter changed at once: {voters_before} to {voters}"
            )
        if min(len(voters_before), 2) > len(voters):
            raise InvariantViolationError(f"M1: too few voters left: {voters_before} to {voters}")
        holders = [
            ip
            for ip, vote, snapshot in disks
            if ip in voters and _holds_committed_map(entries, ip, vote, snapshot, committed.term_index)
        ]
        if len(holders) < quorum(len(voters)):
            raise InvariantViolationError(
                f"M2: {committed.term_index} was committed without a quorum: {holders} of {voters}"
            )
        return evolve(self, membership=(committed.term_index, voters))


def _check_leader_votes(replica: Replica, stored: PersistentVote | None) -> None:
    """Check I8 and M4: a leader is a voter by its disk and by the map that it proposed last."""
    role = replica.leader_role
    if role is None:
        return
    if not (replica.vote.is_voter and stored is not None and stored.is_voter):
        raise InvariantViolationError(f"I8: leader {replica.ip} is a learner")
    if not incarnation_matches(role.proposed.entries.map, replica.ip, replica.vote.incarnation):
        raise InvariantViolationError(f"M4: leader {replica.ip} is not a voter of its proposed map")


def _holds_committed_map(
    entries: Mapping[str, Any],
    ip: str,
    vote: PersistentVote | None,
    snapshot: Snapshot | None,
    term_index: TermIndex,
) -> bool:
    """Whether a voter's disk holds a committed map.

    A wiped disk counts as well: it may have held the map before.
    """
    if vote is None or not vote.is_voter:
        return True
    if not incarnation_matches(entries, ip, vote.incarnation):
        return False
    return snapshot is not None and snapshot.term_index >= term_index
