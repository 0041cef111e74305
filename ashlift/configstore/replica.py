"""One replica of the store: events in, effects out. Invariants and their tests: docs/design/store.md.

A replica is a non-voting learner (nothing that it holds counts), a follower, a candidate, or the leader. What
all roles share is in `replica_state`; the roles are in `joining` (learners, and replicas that were removed),
`follower`, `election` and `leader`. This module hands each event to the role that it concerns. Durable are
`vote` and `snapshot`, changed through `ReplicaState.persist`; while a write is under way, events wait.
"""

import random
from collections import deque
from typing import Any, Final

from ashlift.configstore import codec, events
from ashlift.configstore.election import Election
from ashlift.configstore.follower import Follower
from ashlift.configstore.freshness_lease import FreshnessLease
from ashlift.configstore.joining import Joining
from ashlift.configstore.leader import Leader
from ashlift.configstore.membership import VOTER_PREFIX, incarnation_matches
from ashlift.configstore.messages import AppendRequest, JoinRequest, Request, TransferRequest, VoteRequest
from ashlift.configstore.persistent_state import NO_TERM_INDEX, PersistentVote, Snapshot
from ashlift.configstore.proposal_queue import CommandHandler
from ashlift.configstore.ranged_map import RangedMap
from ashlift.configstore.replica_io import (
    ClockTicked,
    CommandSubmitted,
    Effect,
    Event,
    HandoverComplete,
    PersistState,
    ReadRequested,
    RequestReceived,
    ResponseReceived,
    ShutdownRequested,
    StatePersisted,
)
from ashlift.configstore.replica_state import ReplicaState, ignore_outcome
from ashlift.configstore.timing import (
    HEARTBEAT_INTERVAL_SECONDS,
    INITIAL_ELECTION_TIMEOUT_SECONDS,
    LEADERSHIP_TRANSFER_SECONDS,
    QUORUM_CONTACT_TIMEOUT_SECONDS,
)
from ashlift.errors import Failure, FailureReason

LEADER_CONTACT_TIMEOUT_SECONDS: Final = (
    3 * HEARTBEAT_INTERVAL_SECONDS
)  # a leader not heard for so long is not asked
INCARNATION_BITS: Final = 31

EMPTY_SNAPSHOT: Final = Snapshot(NO_TERM_INDEX, RangedMap())
NO_VOTE: Final = PersistentVote(0, None, False)
_NOT_LEADER: Final = Failure(FailureReason.UNAVAILABLE, "leads not")


class Replica(ReplicaState):
    """`vote` and `snapshot`: what the disk holds; None: nothing was ever there, Failure: it cannot be read.

    `bootstrap` lets one of the `seeds` write the first membership, if its disk holds nothing.
    """

    def __init__(
        self,
        ip: str,
        seeds: list[str],
        bootstrap: bool,
        vote: PersistentVote | Failure | None,
        snapshot: Snapshot | Failure | None,
        command_handler: CommandHandler,
        random_source: random.Random,
    ) -> None:
        stored_vote = vote if isinstance(vote, PersistentVote) else NO_VOTE
        stored = snapshot if isinstance(snapshot, Snapshot) else EMPTY_SNAPSHOT
        is_voter = stored_vote.is_voter and isinstance(snapshot, Snapshot)
        initial_vote = _vote_for_start(stored_vote, stored) if is_voter else NO_VOTE
        super().__init__(ip, random_source, initial_vote, stored if is_voter else EMPTY_SNAPSHOT)
        self.seeds = seeds
        self.command_handler = command_handler
        self._bootstraps = vote is None and snapshot is None and bootstrap and ip in seeds
        self._must_clear_vote = stored_vote.is_voter and not is_voter  # its snapshot is lost
        self.incarnation = random_source.getrandbits(INCARNATION_BITS)  # of this process, and of its disk
        self.leader_ip: str | None = None
        self.leader_role: Leader | None = None
        self.shutdown_deadline: float | None = None
        self._deferred: deque[Event] = deque()
        self.election = Election(self)
        self.follower = Follower(self, staged_entries=None if is_voter else stored.entries)
        self.joining = Joining(self)
        self.freshness = FreshnessLease(self)

    # ---- events
    def start(self, now: float) -> list[Effect]:
        """The process has started; called once, before `handle`."""
        self.now = now
        self.effects = []
        self.election.reset_timer(INITIAL_ELECTION_TIMEOUT_SECONDS)
        self.follower.leader_heard_at = now - QUORUM_CONTACT_TIMEOUT_SECONDS
        if self._bootstraps:
            self._write_first_membership()
        elif not self.vote.is_voter:
            self.joining.become_learner()
            if self._must_clear_vote:
                self.persist(self.vote, None, ignore_outcome)
        return self._take_effects()

    def _write_first_membership(self) -> None:
        members: dict[str, Any] = {VOTER_PREFIX + ip: {} for ip in self.seeds}
        first = Snapshot(NO_TERM_INDEX, RangedMap(members))
        self.log_event(events.STORE_BOOTSTRAPPED, voters=len(members))
        self.persist(PersistentVote(0, None, True, self.incarnation), first, self._handle_first_membership)

    def _handle_first_membership(self, succeeded: bool) -> None:
        if not succeeded:
            self.joining.become_learner()

    def handle(self, now: float, event: Event) -> list[Effect]:
        """Take one event; execute the effects in order. Raises InvariantError: stop the process."""
        self.now = max(now, self.now)
        self.effects = []
        if isinstance(event, StatePersisted):
            self.complete_persist(event.succeeded)
        else:
            self._deferred.append(event)
        while self._deferred and not self.is_persisting:
            self._dispatch(self._deferred.popleft())
        return self._take_effects()

    def _take_effects(self) -> list[Effect]:
        """The effects, a `PersistState` last.

        What depends on the write is not among them: its callback makes those effects once it has ended.
        """
        if self.shutdown_deadline is not None and self.leader_role is None and not self.is_persisting:
            self.effects.append(HandoverComplete())
        return sorted(self.effects, key=lambda effect: isinstance(effect, PersistState))

    def _dispatch(self, event: Event) -> None:
        match event:
            case ClockTicked():
                self._tick()
            case RequestReceived():
                self._handle_request(event)
            case ResponseReceived():
                self._handle_response(event)
            case CommandSubmitted() | ReadRequested():
                self._handle_client(event)
            case ShutdownRequested() if self.shutdown_deadline is None:
                self.shutdown_deadline = self.now + LEADERSHIP_TRANSFER_SECONDS
                if self.leader_role:
                    self.leader_role.transfer.start()

    def _tick(self) -> None:
        if self.leader_role:
            if self.shutdown_deadline is not None and self.now >= self.shutdown_deadline:
                self.step_down("the process ends")
                return
            self.leader_role.tick()
            return
        if not self.can_stand_for_election():
            self.joining.tick_as_learner()
        elif self.now >= self.election.deadline and self.shutdown_deadline is None:
            self.joining.tick_without_leader()
            self.election.start_pre_vote()

    def _handle_client(self, event: CommandSubmitted | ReadRequested) -> None:
        if self.leader_role is None:
            self.reply(event.reply_to, _NOT_LEADER)
        elif isinstance(event, ReadRequested):
            self.leader_role.rounds.read(event.reply_to)
        else:
            self.leader_role.proposals.submit(event.reply_to, event.command, event.fencing_token)

    def _handle_request(self, event: RequestReceived) -> None:
        """Another replica's request. One that cannot be right changes nothing and is answered INVALID."""
        if self.joining.is_quarantined():
            self.reply(event.reply_to, Failure(FailureReason.UNAVAILABLE, "mute"))
            return
        try:
            self._serve(event.reply_to, codec.decode_request(event.method, event.body))
        except (ValueError, TypeError, LookupError) as error:
            self.reply(event.reply_to, Failure(FailureReason.INVALID, str(error)))

    def _serve(self, reply_to: Any, request: Request) -> None:
        match request:
            case AppendRequest():
                self.follower.handle_append(reply_to, request)
            case VoteRequest():
                self.election.handle_vote_request(reply_to, request)
            case JoinRequest():
                self.joining.handle_request(reply_to, request)
            case TransferRequest():
                self.election.handle_transfer_request(reply_to, request)

    def _handle_response(self, event: ResponseReceived) -> None:
        if event.method == codec.METHOD_APPEND and self.leader_role:
            self.leader_role.replication.handle_response(event)
        elif event.method == codec.METHOD_VOTE:
            self.election.handle_vote_response(event)
        elif event.method == codec.METHOD_JOIN:
            self.joining.handle_response(event)

    # ---- what others ask
    def newest_heartbeat_round(self) -> tuple[int, int]:
        """The newest round of a leader known here, with its term (`FencingToken`)."""
        if self.leader_role:
            return self.leader_role.term, self.leader_role.rounds.newest
        return self.follower.newest_heartbeat_round

    def hears_no_leader(self, now: float) -> bool:
        """Whether no leader is to be expected here: who wants one had better ask another replica."""
        return (
            self.leader_role is None and now - self.follower.leader_heard_at > LEADER_CONTACT_TIMEOUT_SECONDS
        )

    def next_tick_at(self) -> float:
        """When the next `ClockTicked` is wanted, if nothing comes before."""
        if self.leader_role:
            return self.leader_role.rounds.next_at
        return self.election.deadline if self.can_stand_for_election() else self.joining.next_request_at

    def can_stand_for_election(self) -> bool:
        """Whether this replica's disk is that of a voter, by its newest accepted map."""
        entries = self.snapshot.entries.map
        return self.vote.is_voter and incarnation_matches(entries, self.ip, self.vote.incarnation)

    # ---- changes of role
    def become_leader(self) -> None:
        """A majority has voted for this replica in its term."""
        self.leader_ip = self.ip
        self.follower.staged_entries = None
        self.freshness.forget_echoes()
        self.leader_role = Leader(self, self.command_handler)
        self.leader_role.start()

    def observe_higher_term(self, term: int) -> None:
        """Another replica is at a higher term: so is this one from now on."""
        if term <= self.vote.term:
            return
        self.step_down("a higher term")
        self.leader_ip = None
        self.persist(self.vote._replace(term=term, voted_for=None), None, ignore_outcome)

    def step_down(self, reason: str) -> None:
        """Be a follower: an election or a leadership under way ends."""
        self.election.attempt = None
        self.freshness.forget_echoes()
        if self.leader_role:
            self.log_event(events.STEPPED_DOWN, term=self.leader_role.term, reason=reason)
            ended = self.leader_role
            self.leader_role = None
            self.leader_ip = None
            ended.end()
            self.election.reset_timer()


def _vote_for_start(stored: PersistentVote, snapshot: Snapshot) -> PersistentVote:
    """A write may have been cut off between snapshot and vote: the term is at least the snapshot's."""
    term = max(stored.term, snapshot.term_index[0])
    voted_for = stored.voted_for if term == stored.term else None
    return PersistentVote(term, voted_for, True, stored.incarnation)
