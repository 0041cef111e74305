"""Learners: how a replica joins the store, and how a removed replica finds out.

A process without usable stored state is a learner and asks to join. It stays in quarantine at first, and is
promoted once the leader has committed a map without it. A voter that receives no heartbeats also sends a join
request, and may learn from the response that a committed map no longer includes its disk.

The steps from an empty disk to a vote:

1. `_send_join_requests` asks the seeds, and `handle_response` repeats the request at the leader that they
   name. `Leader.handle_join_request` records it. A replica that is already in the map gets heartbeats without
   asking.
2. `MembershipManager.next_change` adds a new replica as a learner. For a voter whose disk was replaced,
   `_record_incarnations` writes the new incarnation to the map.
3. `Replication._restore_learner` commits an empty change without the replica, then sends it a `Promotion`.
4. `Follower._persist_accepted` writes vote and snapshot, and the disk counts from then on. For a voter whose
   disk was replaced this is the last step.
5. `membership_rules.next_membership_change` makes the learner a voter, one learner per commit.
"""

from typing import TYPE_CHECKING, Any, Final

from ashlift.configstore import events
from ashlift.configstore.change_log import ChangeLog
from ashlift.configstore.codec import decode_join_response
from ashlift.configstore.membership import is_displaced
from ashlift.configstore.messages import JoinRequest, JoinResponse
from ashlift.configstore.persistent_state import NO_TERM_INDEX, PersistentVote, Snapshot, TermIndex
from ashlift.configstore.ranged_map import RangedMap
from ashlift.configstore.replica_io import ResponseReceived
from ashlift.configstore.replica_state import ignore_outcome
from ashlift.configstore.timing import LEARNER_QUARANTINE_SECONDS, QUORUM_CONTACT_TIMEOUT_SECONDS

if TYPE_CHECKING:
    from ashlift.configstore.replica import Replica

REQUEST_INTERVAL_SECONDS: Final = 0.5
# A voter without contact to a leader for this long asks whether it is still a voter.
LEADERLESS_VOTER_TIMEOUT_SECONDS: Final = 3.0
INCARNATION_COUNT: Final = 1 << 31


class Joining:
    """The join protocol of one replica, on both sides. Times are seconds of the monotonic clock."""

    def __init__(self, replica: "Replica") -> None:
        self.replica = replica
        self.next_request_at = 0.0
        self.quarantined_until = 0.0

    def is_quarantined(self) -> bool:
        """Whether a learner must not respond yet: responses of its previous incarnation may still count."""
        return not self.replica.vote.is_voter and self.replica.now < self.quarantined_until

    def become_learner(self) -> None:
        """Become a learner, which counts in no quorum until the leader promotes it."""
        self.replica.vote = self.replica.vote._replace(is_voter=False)
        self.quarantined_until = self.replica.now + LEARNER_QUARANTINE_SECONDS
        self.replica.log_event(events.LEARNER_STARTED, incarnation=self.replica.incarnation)

    # ---- sending join requests
    def tick_as_learner(self) -> None:
        """Ask to join while no leader sends heartbeats."""
        now = self.replica.now
        is_due = now >= max(self.next_request_at, self.quarantined_until)
        if is_due and now - self.replica.follower.last_leader_contact_at >= QUORUM_CONTACT_TIMEOUT_SECONDS:
            self._send_join_requests()

    def tick_without_leader(self) -> None:
        """Ask whether this replica is still a voter, when a leader has been out of contact for long."""
        contact_deadline = self.replica.follower.last_leader_contact_at + LEADERLESS_VOTER_TIMEOUT_SECONDS
        if self.replica.now >= max(self.next_request_at, contact_deadline):
            self._send_join_requests()

    def _send_join_requests(self) -> None:
        replica = self.replica
        self.next_request_at = replica.now + REQUEST_INTERVAL_SECONDS
        for ip in sorted({*replica.seeds, *replica.voters()} - {replica.ip}):
            self._send_join_request(ip)

    def _send_join_request(self, ip: str) -> None:
        """Send a join request with the incarnation of the disk, or of the process on a learner."""
        replica = self.replica
        incarnation = replica.vote.incarnation if replica.vote.is_voter else replica.incarnation
        replica.send_request(ip, JoinRequest(replica.ip, incarnation, replica.can_stand_for_election()))

    def handle_response(self, event: ResponseReceived) -> None:
        """Repeat the request at the leader that is named, or become a learner if this disk was displaced."""
        response = decode_join_response(event.body)
        if response is None:
            return
        replica = self.replica
        position = response.displaced_by
        if position is not None and position > replica.term_index and replica.can_stand_for_election():
            self.reset_to_learner()
            return
        if response.leader_ip not in (None, event.peer, replica.ip):
            self._send_join_request(str(response.leader_ip))

    def reset_to_learner(self) -> None:
        """Continue as a learner with an empty disk, in a new incarnation."""
        replica = self.replica
        replica.step_down("is no voter any more")
        term, index = replica.term_index
        incarnation = replica.vote.incarnation
        replica.log_event(events.VOTER_DISPLACED, incarnation=incarnation, term=term, index=index)
        replica.incarnation = max(replica.incarnation, replica.vote.incarnation) % INCARNATION_COUNT + 1
        replica.follower.staged_entries = replica.snapshot.entries
        replica.snapshot = Snapshot(NO_TERM_INDEX, RangedMap())
        replica.change_log = ChangeLog()
        replica.vote = PersistentVote(0, None, False)
        replica.leader_ip = None
        self.become_learner()
        replica.persist(replica.vote, None, ignore_outcome)

    # ---- handling join requests
    def handle_request(self, reply_to: Any, request: JoinRequest) -> None:
        """Respond with the leader's address; the leader also records the request."""
        replica = self.replica
        if replica.leader_role and not request.is_voter:
            replica.leader_role.handle_join_request(request.ip, request.incarnation)
        displaced_by = self._displacing_position(request) if request.is_voter else None
        replica.respond(reply_to, JoinResponse(replica.leader_ip, displaced_by))

    def _displacing_position(self, request: JoinRequest) -> TermIndex | None:
        """Term and index of the committed map if it no longer includes the requesting replica's disk."""
        committed = self.replica.committed_state.snapshot
        if committed.term_index == NO_TERM_INDEX:
            return None
        if not is_displaced(committed.entries.map, request.ip, request.incarnation):
            return None
        return committed.term_index
