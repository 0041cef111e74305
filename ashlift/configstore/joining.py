"""How a replica becomes a learner, and how one that was removed finds out.

A process without a usable disk asks to join. It is a learner, in quarantine at first, until the leader has
committed something without it and promotes it. A voter that no leader calls asks too whether it is one still:
the answer may be a committed map by which nothing on its disk counts.

From an empty disk to a vote, in order:

1. `_ask_all` asks the seeds, `handle_response` the leader that they name; `Leader.handle_join_request` notes
   it. The leader calls a replica that the map names by itself.
2. `MembershipManager.next_change` enters a replica that is new as a learner. For a voter whose disk is new,
   and which stays a voter in the map, `_enter_incarnations` puts the new incarnation there.
3. `Replication._restore_learner` has something committed without it, and then sends a `Promotion`.
4. `Follower._hold` writes vote and snapshot: from now on this disk counts. A voter with a new disk is done.
5. A learner becomes a voter by a commit of its own: `membership_rules.next_membership_change`, one at a time.
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
VOTER_WITHOUT_LEADER_SECONDS: Final = 3.0  # a voter that hears no leader for so long asks whether it is one
INCARNATIONS: Final = 1 << 31


class Joining:
    """Times are seconds of the monotonic clock."""

    def __init__(self, replica: "Replica") -> None:
        self.replica = replica
        self.next_request_at = 0.0
        self.quarantined_until = 0.0

    def is_quarantined(self) -> bool:
        """Whether a learner must not answer yet: responses of its previous incarnation may still count."""
        return not self.replica.vote.is_voter and self.replica.now < self.quarantined_until

    def become_learner(self) -> None:
        """Nothing that this replica holds counts until the leader promotes it."""
        self.replica.vote = self.replica.vote._replace(is_voter=False)
        self.quarantined_until = self.replica.now + LEARNER_QUARANTINE_SECONDS
        self.replica.log_event(events.LEARNER_STARTED, incarnation=self.replica.incarnation)

    # ---- asking
    def tick_as_learner(self) -> None:
        """Ask to join while no leader calls."""
        now = self.replica.now
        is_due = now >= max(self.next_request_at, self.quarantined_until)
        if is_due and now - self.replica.follower.leader_heard_at >= QUORUM_CONTACT_TIMEOUT_SECONDS:
            self._ask_all()

    def tick_without_leader(self) -> None:
        """A voter whose election timer has ended: it may have been removed meanwhile."""
        lonely_at = self.replica.follower.leader_heard_at + VOTER_WITHOUT_LEADER_SECONDS
        if self.replica.now >= max(self.next_request_at, lonely_at):
            self._ask_all()

    def _ask_all(self) -> None:
        replica = self.replica
        self.next_request_at = replica.now + REQUEST_INTERVAL_SECONDS
        for ip in sorted({*replica.seeds, *replica.voters()} - {replica.ip}):
            self._ask(ip)

    def _ask(self, ip: str) -> None:
        """With the incarnation of the disk; a learner's is that of its process."""
        replica = self.replica
        incarnation = replica.vote.incarnation if replica.vote.is_voter else replica.incarnation
        replica.send_request(ip, JoinRequest(replica.ip, incarnation, replica.can_stand_for_election()))

    def handle_response(self, event: ResponseReceived) -> None:
        """Ask the leader that is named, or give up one's standing."""
        response = decode_join_response(event.body)
        if response is None:
            return
        replica = self.replica
        position = response.displaced_by
        if position is not None and position > replica.term_index and replica.can_stand_for_election():
            self.give_up_standing()
            return
        if response.leader_ip not in (None, event.peer, replica.ip):
            self._ask(str(response.leader_ip))

    def give_up_standing(self) -> None:
        """Nothing on this disk counts: go on as with an empty one, in a new incarnation."""
        replica = self.replica
        replica.step_down("is no voter any more")
        term, index = replica.term_index
        incarnation = replica.vote.incarnation
        replica.log_event(events.VOTER_DISPLACED, incarnation=incarnation, term=term, index=index)
        replica.incarnation = max(replica.incarnation, replica.vote.incarnation) % INCARNATIONS + 1
        replica.follower.staged_entries = replica.snapshot.entries
        replica.snapshot = Snapshot(NO_TERM_INDEX, RangedMap())
        replica.change_log = ChangeLog()
        replica.vote = PersistentVote(0, None, False)
        replica.leader_ip = None
        self.become_learner()
        replica.persist(replica.vote, None, ignore_outcome)

    # ---- answering
    def handle_request(self, reply_to: Any, request: JoinRequest) -> None:
        """Name the leader; the leader itself enters who asks."""
        replica = self.replica
        if replica.leader_role and not request.is_voter:
            replica.leader_role.handle_join_request(request.ip, request.incarnation)
        displaced_by = self._displacing_position(request) if request.is_voter else None
        replica.respond(reply_to, JoinResponse(replica.leader_ip, displaced_by))

    def _displacing_position(self, request: JoinRequest) -> TermIndex | None:
        """Term and index of the committed map, if by it nothing on the asking replica's disk counts."""
        committed = self.replica.committed_state.snapshot
        if committed.term_index == NO_TERM_INDEX:
            return None
        if not is_displaced(committed.entries.map, request.ip, request.incarnation):
            return None
        return committed.term_index
