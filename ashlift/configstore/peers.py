"""What the leader of a term knows of the other replicas."""

from typing import TYPE_CHECKING, Final, NamedTuple

from ashlift.configstore.catch_up import ReplicaProgress
from ashlift.configstore.membership import LEARNER_PREFIX, VOTER_PREFIX, addresses_under
from ashlift.configstore.persistent_state import Snapshot

if TYPE_CHECKING:
    from ashlift.configstore.leader import Leader

LEARNER_TIMEOUT_SECONDS: Final = 3.0  # a learner that is silent for so long is not called any more


class RestoringLearner(NamedTuple):
    """A replica that answers as a learner. It may vote again from `promotion_index` on.

    That is an index proposed after the leader heard of this incarnation, thus committed without it.
    """

    incarnation: int
    promotion_index: int


class PeerState:
    """One other replica, in this term. Times are seconds of the leader's clock."""

    def __init__(self, progress: ReplicaProgress) -> None:
        self.progress = progress
        self.acknowledged_round = 0  # the newest round that it answered
        self.heard_at = float("-inf")  # when the newest answered request was sent
        self.match_index = 0  # the newest index that it holds durably
        self.clock_token = 0  # its newest one
        self.restoring_learner: RestoringLearner | None = None  # not None: it does not count
        self.join_requested_at = float("-inf")
        self.incarnation = 0  # that it named when it asked to join


class PeerTable:
    """All that were ever heard of in this term, in the order in which they were."""

    def __init__(self, leader: "Leader") -> None:
        self.leader = leader
        self.states: dict[str, PeerState] = {}
        self._initial_position = leader.replica.term_index  # what each holds unless it says another
        self._roles: tuple[Snapshot | None, list[str], list[str]] = (None, [], [])

    def get(self, ip: str) -> PeerState:
        """What is known of a replica; one that is new is entered."""
        state = self.states.get(ip)
        if state is None:
            state = self.states[ip] = PeerState(ReplicaProgress(self._initial_position))
        return state

    def voters(self) -> list[str]:
        """By the newest proposed map, this replica included."""
        return self._read_roles()[1]

    def learners(self) -> list[str]:
        """By the newest proposed map."""
        return self._read_roles()[2]

    def _read_roles(self) -> tuple[Snapshot | None, list[str], list[str]]:
        proposed = self.leader.proposed
        if self._roles[0] is not proposed:
            entries = proposed.entries.map
            voters = addresses_under(entries, VOTER_PREFIX)
            self._roles = proposed, voters, addresses_under(entries, LEARNER_PREFIX)
        return self._roles

    def heartbeat_targets(self) -> list[str]:
        """The other voters, and the learners that are heard."""
        earliest = self.leader.replica.now - LEARNER_TIMEOUT_SECONDS
        learners = [ip for ip in self.learners() if self.last_contact_at(ip) > earliest]
        return [ip for ip in [*self.voters(), *learners] if ip != self.leader.replica.ip]

    def last_contact_at(self, ip: str) -> float:
        """When it last answered or asked to join; in this term at the earliest."""
        peer = self.get(ip)
        return max(peer.heard_at, peer.join_requested_at, self.leader.elected_at)

    def counted_contact_at(self, ip: str) -> float:
        """When a voter was last heard; one that is learning does not count."""
        if ip == self.leader.replica.ip:
            return self.leader.replica.now
        peer = self.get(ip)
        return float("-inf") if peer.restoring_learner else peer.heard_at

    def acknowledged_round(self, ip: str) -> int:
        """The newest heartbeat round that a voter has answered; one that is learning does not count."""
        if ip == self.leader.replica.ip:
            return self.leader.rounds.newest
        peer = self.get(ip)
        return 0 if peer.restoring_learner else peer.acknowledged_round

    def holds(self, ip: str, index: int) -> bool:
        """Whether a voter holds the proposal at `index` durably."""
        if ip == self.leader.replica.ip:
            return self.leader.replica.term_index == self.leader.proposed.term_index
        peer = self.get(ip)
        return peer.restoring_learner is None and peer.match_index >= index
