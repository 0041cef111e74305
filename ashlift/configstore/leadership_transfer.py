"""A leader that is to end, or is to be removed, names a successor and lets it stand for election at once."""

from typing import TYPE_CHECKING, Final

from ashlift.configstore import events
from ashlift.configstore.messages import TransferRequest
from ashlift.configstore.timing import LEADERSHIP_TRANSFER_SECONDS, QUORUM_CONTACT_TIMEOUT_SECONDS

if TYPE_CHECKING:
    from ashlift.configstore.leader import Leader

RETRY_AFTER_SECONDS: Final = 1.0  # a leader that leads still, though it named a successor, goes on as before


class LeadershipTransfer:
    """`deadline`: by then a successor is named, whatever is under way; None: the process does not end."""

    def __init__(self, leader: "Leader") -> None:
        self.leader = leader
        self.deadline: float | None = None
        self.successor_named = False
        self._named_at = leader.replica.now

    def is_wanted(self) -> bool:
        """Whether the process is to end, and no successor is named yet."""
        return self.deadline is not None and not self.successor_named

    def start(self) -> None:
        """The process is to end: the proposal under way may still be committed, nothing new is begun."""
        self.deadline = self.leader.replica.now + LEADERSHIP_TRANSFER_SECONDS / 2
        self.leader.proposals.reject_queued()
        if not self.leader.proposals.in_flight:
            self.name_successor()

    def tick(self) -> None:
        """Name a successor once that is due, or give one up that did not come to lead."""
        now = self.leader.replica.now
        gave_up = self.deadline is None and now - self._named_at >= RETRY_AFTER_SECONDS
        if self.successor_named and gave_up:
            self.successor_named = False
        if self.deadline is None or self.successor_named:
            return
        if now >= self.deadline or not self.leader.proposals.in_flight:
            self.name_successor()

    def name_successor(self) -> None:
        """Ask the voter that is furthest to stand for election; if none is heard, nobody is asked."""
        leader = self.leader
        self.successor_named = True
        self._named_at = leader.replica.now
        earliest = leader.replica.now - QUORUM_CONTACT_TIMEOUT_SECONDS
        candidates = []
        for ip in leader.peers.voters():
            if ip == leader.replica.ip:
                continue
            peer = leader.peers.get(ip)
            if peer.restoring_learner is None and peer.heard_at > earliest:
                candidates.append((peer.match_index, peer.acknowledged_round, ip))
        if candidates:
            _, _, successor = max(candidates)
            leader.replica.log_event(events.LEADERSHIP_TRANSFERRED, successor=successor, term=leader.term)
            leader.replica.send_request(successor, TransferRequest(leader.term))
