"""One replica as a state machine: events in, effects out. For the invariants see docs/design/store.md.

A replica is a learner (non-voting, not counted in any quorum), a follower, a candidate or the leader. The
state that all roles share is in `replica_state`; the roles are in `joining` (learners and removed replicas),
`follower`, `election` and `leader`. This module dispatches each event to the role that handles it. `vote`
and `snapshot` are durable and change only through `ReplicaState.persist`; events are deferred while a write
is in flight.
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

# Requests are not forwarded to a leader that has sent no heartbeat for this long.
LEADER_CONTACT_TIMEOUT_SECONDS: Final = 3 * HEARTBEAT_INTERVAL_SECONDS
INCARNATION_BITS: Final = 31

EMPTY_SNAPSHOT: Final = Snapshot(NO_TERM_INDEX, RangedMap())
NO_VOTE: Final = PersistentVote(0, None, False)
_NOT_LEADER: Final = Failure(FailureReason.UNAVAILABLE, "leads not")


class Replica(ReplicaState):
    """A replica of the store, started from what its disk holds.

    `vote` and `snapshot` are the stored state: None if nothing was ever stored, a Failure if unreadable.
    With `bootstrap`, a replica that is one of the `seeds` and has an empty disk writes the initial
    membership.
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
        initial_vote = _restored_vote(stored_vote, stored) if is_voter else NO_VOTE
        super().__init__(ip, random_source, initial_vote, stored if is_voter else EMPTY_SNAPSHOT)
        self.seeds = seeds
        self.command_handler = command_handler
        self._bootstraps = vote is None and snapshot is None and bootstrap and ip in seeds
        self._must_clear_vote = stored_vote.is_voter and not is_voter  # the snapshot was lost
        # Of this process, and of its disk if this process initializes it.
        self.incarnation = random_source.getrandbits(INCARNATION_BITS)
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
        """Start the replica. Called once, before `handle`."""
        self.now = now
        self.effects = []
        self.election.reset_timer(INITIAL_ELECTION_TIMEOUT_SECONDS)
        self.follower.last_leader_contact_at = now - QUORUM_CONTACT_TIMEOUT_SECONDS
        if self._bootstraps:
            self._bootstrap_membership()
        elif not self.vote.is_voter:
            self.joining.become_learner()
            if self._must_clear_vote:
                self.persist(self.vote, None, ignore_outcome)
        return self._take_effects()

    def _bootstrap_membership(self) -> None:
        members: dict[str, Any] = {VOTER_PREFIX + ip: {} for ip in self.seeds}
        first = Snapshot(NO_TERM_INDEX, RangedMap(members))
        self.log_event(events.STORE_BOOTSTRAPPED, voters=len(members))
        self.persist(PersistentVote(0, None, True, self.incarnation), first, self._handle_bootstrap_persisted)

    def _handle_bootstrap_persisted(self, succeeded: bool) -> None:
        if not succeeded:
            self.joining.become_learner()

    def handle(self, now: float, event: Event) -> list[Effect]:
        """Handle one event and return the effects, which the caller executes in order.

        Raises InvariantError, after which the process must stop.
        """
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
        """Return the effects so far, with a `PersistState` last.

        Effects that depend on the write are not included: the write's callback adds them once it completes.
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
        """Serve another replica's request. A malformed one changes nothing and is answered INVALID."""
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

    # ---- queries
    def newest_heartbeat_round(self) -> tuple[int, int]:
        """Term and number of the newest heartbeat round known to this replica (see `FencingToken`)."""
        if self.leader_role:
            return self.leader_role.term, self.leader_role.rounds.newest
        return self.follower.newest_heartbeat_round

    def lacks_leader_contact(self, now: float) -> bool:
        """Whether this replica neither leads nor has had recent contact with a leader.

        Clients that need the leader should try another replica.
        """
        return (
            self.leader_role is None
            and now - self.follower.last_leader_contact_at > LEADER_CONTACT_TIMEOUT_SECONDS
        )

    def next_tick_at(self) -> float:
        """When the next `ClockTicked` is due, if no other event comes first."""
        if self.leader_role:
            return self.leader_role.rounds.next_at
        return self.election.deadline if self.can_stand_for_election() else self.joining.next_request_at

    def can_stand_for_election(self) -> bool:
        """Whether this replica's disk belongs to a voter according to its newest accepted map."""
        entries = self.snapshot.entries.map
        return self.vote.is_voter and incarnation_matches(entries, self.ip, self.vote.incarnation)

    # ---- changes of role
    def become_leader(self) -> None:
        """Take the leadership after winning an election in the current term."""
        self.leader_ip = self.ip
        self.follower.staged_entries = None
        self.freshness.clear_echoes()
        self.leader_role = Leader(self, self.command_handler)
        self.leader_role.start()

    def observe_higher_term(self, term: int) -> None:
        """Adopt a higher term seen at another replica, stepping down if necessary."""
        if term <= self.vote.term:
            return
        self.step_down("a higher term")
        self.leader_ip = None
        self.persist(self.vote._replace(term=term, voted_for=None), None, ignore_outcome)

    def step_down(self, reason: str) -> None:
        """Become a follower, ending the current election attempt or leadership."""
        self.election.attempt = None
        self.freshness.clear_echoes()
        if self.leader_role:
            self.log_event(events.STEPPED_DOWN, term=self.leader_role.term, reason=reason)
            ended = self.leader_role
            self.leader_role = None
            self.leader_ip = None
            ended.end()
            self.election.reset_timer()


def _restored_vote(stored: PersistentVote, snapshot: Snapshot) -> PersistentVote:
    """The vote to start with.

    A crash between the writes of snapshot and vote can leave the vote behind, so its term is raised to the
    snapshot's.
    """
    term = max(stored.term, snapshot.term_index[0])
    voted_for = stored.voted_for if term == stored.term else None
    return PersistentVote(term, voted_for, True, stored.incarnation)
