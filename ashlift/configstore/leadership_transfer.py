"""Leadership transfer: before it shuts down or is removed, a leader asks a voter to start an election."""

from typing import TYPE_CHECKING, Final

from ashlift.configstore import events
from ashlift.configstore.messages import TransferRequest
from ashlift.configstore.timing import LEADERSHIP_TRANSFER_SECONDS, QUORUM_CONTACT_TIMEOUT_SECONDS

if TYPE_CHECKING:
    from ashlift.configstore.leader import Leader

# A leader that still leads this long after requesting a transfer resumes its work.
RETRY_AFTER_SECONDS: Final = 1.0


class LeadershipTransfer:
    """Transfer of one leadership.

    `deadline` is when the transfer is requested even if a proposal is in flight; None unless shutting down.
    """

    def __init__(self, leader: "Leader") -> None:
        self.leader = leader
        self.deadline: float | None = None
        self.transfer_requested = False
        self._requested_at = leader.replica.now

    def is_pending(self) -> bool:
        """Whether the process is shutting down and the transfer is not requested yet."""
        return self.deadline is not None and not self.transfer_requested

    def start(self) -> None:
        """Begin the transfer at shutdown. The in-flight proposal may still commit; queued commands fail."""
        self.deadline = self.leader.replica.now + LEADERSHIP_TRANSFER_SECONDS / 2
        self.leader.proposals.reject_queued()
        if not self.leader.proposals.in_flight:
            self.request_transfer()

    def tick(self) -> None:
        """Request the transfer once it is due, or abandon one that did not succeed in time."""
        now = self.leader.replica.now
        gave_up = self.deadline is None and now - self._requested_at >= RETRY_AFTER_SECONDS
        if self.transfer_requested and gave_up:
            self.transfer_requested = False
        if self.deadline is None or self.transfer_requested:
            return
        if now >= self.deadline or not self.leader.proposals.in_flight:
            self.request_transfer()

    def request_transfer(self) -> None:
        """Ask the most up-to-date voter with recent contact, if there is one, to start an election."""
        leader = self.leader
        self.transfer_requested = True
        self._requested_at = leader.replica.now
        earliest = leader.replica.now - QUORUM_CONTACT_TIMEOUT_SECONDS
        candidates = []
        for ip in leader.peers.voters():
            if ip == leader.replica.ip:
                continue
            peer = leader.peers.get(ip)
            if peer.restoring_learner is None and peer.last_answered_request_at > earliest:
                candidates.append((peer.match_index, peer.acknowledged_round, ip))
        if candidates:
            _, _, successor = max(candidates)
            leader.replica.log_event(events.LEADERSHIP_TRANSFERRED, successor=successor, term=leader.term)
            leader.replica.send_request(successor, TransferRequest(leader.term))
