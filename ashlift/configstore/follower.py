"""Followers and learners: handle the leader's append requests and acknowledge only durable state."""

from typing import TYPE_CHECKING, Any, Final, NamedTuple

from ashlift.configstore import events
from ashlift.configstore.codec import decode_payload
from ashlift.configstore.membership import is_displaced
from ashlift.configstore.messages import (
    AppendAccepted,
    AppendBehind,
    AppendRejected,
    AppendRequest,
    AppendResponse,
    Delta,
    LearnerStatus,
    Payload,
    Promotion,
    RangeUpdate,
)
from ashlift.configstore.persistent_state import PersistentVote, Snapshot, TermIndex
from ashlift.configstore.ranged_map import RangedMap
from ashlift.configstore.replica_state import InvariantError, PersistCallback
from ashlift.errors import Failure, FailureReason

if TYPE_CHECKING:
    from ashlift.configstore.replica import Replica

_DISK_WRITE_FAILED: Final = Failure(FailureReason.REJECTED, "disk")


class AcceptedAppend(NamedTuple):
    """The changes that an append request makes to this replica."""

    vote: PersistentVote | None  # if the request starts a new term
    snapshot: Snapshot | None  # if the payload yields a newer map
    is_promotion: bool
    is_repair: bool  # the snapshot was assembled from hash ranges


class Follower:
    """Handles append requests.

    `staged_entries` is the map being assembled from hash ranges; None if no such repair is in progress.
    """

    def __init__(self, replica: "Replica", staged_entries: RangedMap | None) -> None:
        self.replica = replica
        self.staged_entries = staged_entries
        self.last_leader_contact_at = 0.0
        self.newest_heartbeat_round = (0, 0)  # (term, round) of the newest append request

    def handle_append(self, reply_to: Any, request: AppendRequest) -> None:
        """Follow the sender unless its term is outdated, and apply the payload."""
        replica = self.replica
        if request.term < replica.vote.term:
            replica.respond(reply_to, AppendRejected(replica.vote.term))
            return
        if request.term == replica.vote.term and replica.leader_role:
            raise InvariantError(f"two leaders in term {request.term}")
        self._recognize_leader(request)
        accepted = self._accept_append(request)

        def finish(succeeded: bool) -> None:
            if not succeeded:
                replica.reply(reply_to, _DISK_WRITE_FAILED)
                return
            self._finish_append(reply_to, request, accepted)

        self._persist_accepted(request, accepted, finish)

    def _recognize_leader(self, request: AppendRequest) -> None:
        replica = self.replica
        if request.term > replica.vote.term or replica.leader_ip != request.leader:
            replica.step_down("another leads")
            replica.log_event(events.FOLLOWING_LEADER, term=request.term, leader=request.leader)
        replica.election.attempt = None
        replica.leader_ip = request.leader
        self.last_leader_contact_at = replica.now
        self.newest_heartbeat_round = max(
            self.newest_heartbeat_round, (request.term, request.heartbeat_round)
        )
        replica.election.reset_timer()

    def _accept_append(self, request: AppendRequest) -> AcceptedAppend:
        """Work out the changes. Raises ValueError, TypeError or LookupError for a malformed payload."""
        replica = self.replica
        requested = (request.term, request.proposed_index)
        self._update_committed(request)
        payload = None if request.payload is None else decode_payload(request.payload)
        entries = self._apply_payload(payload)
        vote = None
        if request.term > replica.vote.term:
            vote = replica.vote._replace(term=request.term, voted_for=request.leader)
        snapshot = None
        if entries is not None and requested > replica.term_index:
            snapshot = Snapshot(requested, entries)
        return AcceptedAppend(
            vote=vote,
            snapshot=snapshot,
            is_promotion=self._is_promotion(payload, requested),
            is_repair=snapshot is not None and entries is self.staged_entries,
        )

    def _apply_payload(self, payload: Payload | None) -> RangedMap | None:
        """The map that the request proposes, or None if the payload does not yield it."""
        own = self.replica.snapshot
        match payload:
            case Delta(base, updates, deletions):
                if base != own.term_index:
                    return None
                entries = own.entries.with_changes(updates, deletions)
            case RangeUpdate(ranges, updates, deletions):
                staged = self.staged_entries or own.entries
                entries = staged.with_ranges(ranges).with_changes(updates, deletions)
                self.staged_entries = entries
            case _:
                return None
        return entries if entries.digest() == payload.digest else None

    def _is_promotion(self, payload: Payload | None, requested: TermIndex) -> bool:
        """Whether the payload promotes this learner, in this incarnation and with the map it holds."""
        replica = self.replica
        if replica.vote.is_voter or not isinstance(payload, Promotion):
            return False
        position = payload.term_index or requested
        return payload.incarnation == replica.incarnation and replica.term_index == position

    def _persist_accepted(
        self, request: AppendRequest, accepted: AcceptedAppend, finish: PersistCallback
    ) -> None:
        """Persist the accepted changes. A learner keeps them in memory until its promotion."""
        replica = self.replica
        if accepted.is_promotion:
            voted_for = replica.vote.voted_for or request.leader
            vote = PersistentVote(request.term, voted_for, True, replica.incarnation)
            replica.persist(vote, replica.snapshot, finish)
        elif not replica.vote.is_voter:
            replica.vote = accepted.vote or replica.vote
            replica.accept_snapshot(accepted.snapshot or replica.snapshot)
            finish(True)
        elif accepted.vote or accepted.snapshot:
            replica.persist(accepted.vote, accepted.snapshot, finish)
        else:
            finish(True)

    def _finish_append(self, reply_to: Any, request: AppendRequest, accepted: AcceptedAppend) -> None:
        """Respond once the accepted changes are durable, or at once on a learner."""
        replica = self.replica
        if accepted.is_promotion:
            replica.log_event(events.LEARNER_PROMOTED, term=request.term, index=request.proposed_index)
        elif accepted.is_repair:
            replica.log_event(events.CAUGHT_UP, term=request.term, index=request.proposed_index)
        if accepted.snapshot is not None or accepted.is_promotion:
            self.staged_entries = None
        self._update_committed(request)
        replica.freshness.renew(request)
        replica.respond(reply_to, self._append_response(request))
        if self._is_displaced():
            replica.joining.reset_to_learner()

    def _update_committed(self, request: AppendRequest) -> None:
        """Mark the local map committed if the request implies it.

        A leader has one proposal in flight at a time, so a map of its term is committed once `commit_index`
        has reached it.
        """
        replica = self.replica
        if replica.term_index[0] == request.term and replica.term_index[1] <= request.commit_index:
            replica.advance_committed(replica.snapshot)

    def _append_response(self, request: AppendRequest) -> AppendResponse:
        replica = self.replica
        clock_token = replica.freshness.issue_clock_token()
        requested = (request.term, request.proposed_index)
        is_caught_up = replica.term_index == requested
        range_digests = None
        has_payload = request.payload is not None or request.wants_digests
        if has_payload and replica.term_index < requested:
            range_digests = (self.staged_entries or replica.snapshot.entries).range_digests()
        if not replica.vote.is_voter:
            return LearnerStatus(
                request.term,
                clock_token,
                replica.incarnation,
                is_caught_up,
                range_digests,
                replica.term_index,
            )
        if not is_caught_up:
            return AppendBehind(request.term, clock_token, range_digests, replica.term_index)
        incarnation = None if replica.can_stand_for_election() else replica.vote.incarnation
        return AppendAccepted(request.term, clock_token, incarnation)

    def _is_displaced(self) -> bool:
        """Whether the local map is committed and no longer includes this disk as a voter or learner."""
        replica = self.replica
        return (
            replica.vote.is_voter
            and replica.committed_state.term_index == replica.term_index
            and is_displaced(replica.snapshot.entries.map, replica.ip, replica.vote.incarnation)
        )
