"""The leader's view of the other replicas during its term."""

from typing import TYPE_CHECKING, Final, NamedTuple

from ashlift.configstore.catch_up import ReplicaProgress
from ashlift.configstore.membership import LEARNER_PREFIX, VOTER_PREFIX, addresses_under
from ashlift.configstore.persistent_state import Snapshot

if TYPE_CHECKING:
    from ashlift.configstore.leader import Leader

LEARNER_TIMEOUT_SECONDS: Final = 3.0  # heartbeats to a learner stop after this long without contact


class RestoringLearner(NamedTuple):
    """A replica that responds as a learner and may be promoted once it holds `promotion_index`.

    That index was proposed after this incarnation became known to the leader, so it is committed without it.
    """

    incarnation: int
    promotion_index: int


class PeerState:
    """The state of one other replica in this term. Times are seconds of the leader's clock."""

    def __init__(self, progress: ReplicaProgress) -> None:
        self.progress = progress
        self.acknowledged_round = 0  # the newest heartbeat round that it acknowledged
        self.last_answered_request_at = float("-inf")  # when the newest answered request was sent
        self.match_index = 0  # the newest index that it holds durably
        self.clock_token = 0  # the newest one it sent
        self.restoring_learner: RestoringLearner | None = None  # if set, excluded from quorums
        self.join_requested_at = float("-inf")
        self.incarnation = 0  # from its join request


class PeerTable:
    """All replicas known in this term, in the order in which they became known."""

    def __init__(self, leader: "Leader") -> None:
        self.leader = leader
        self.states: dict[str, PeerState] = {}
        self._initial_position = leader.replica.term_index  # assumed of each until it reports its own
        self._roles: tuple[Snapshot | None, list[str], list[str]] = (None, [], [])

    def get(self, ip: str) -> PeerState:
        """The state of a replica, created on first use."""
        state = self.states.get(ip)
        if state is None:
            state = self.states[ip] = PeerState(ReplicaProgress(self._initial_position))
        return state

    def voters(self) -> list[str]:
        """The voters in the newest proposed map, this replica included."""
        return self._read_roles()[1]

    def learners(self) -> list[str]:
        """The learners in the newest proposed map."""
        return self._read_roles()[2]

    def _read_roles(self) -> tuple[Snapshot | None, list[str], list[str]]:
        proposed = self.leader.proposed
        if self._roles[0] is not proposed:
            entries = proposed.entries.map
            voters = addresses_under(entries, VOTER_PREFIX)
            self._roles = proposed, voters, addresses_under(entries, LEARNER_PREFIX)
        return self._roles

    def heartbeat_targets(self) -> list[str]:
        """The other voters, and the learners with recent contact."""
        earliest = self.leader.replica.now - LEARNER_TIMEOUT_SECONDS
        learners = [ip for ip in self.learners() if self.last_contact_at(ip) > earliest]
        return [ip for ip in [*self.voters(), *learners] if ip != self.leader.replica.ip]

    def last_contact_at(self, ip: str) -> float:
        """When the replica last responded or asked to join, or else the start of the term."""
        peer = self.get(ip)
        return max(peer.last_answered_request_at, peer.join_requested_at, self.leader.elected_at)

    def last_voter_contact_at(self, ip: str) -> float:
        """When a voter was last in contact; never for one that is being restored as a learner."""
        if ip == self.leader.replica.ip:
            return self.leader.replica.now
        peer = self.get(ip)
        return float("-inf") if peer.restoring_learner else peer.last_answered_request_at

    def acknowledged_round(self, ip: str) -> int:
        """The newest round that a voter acknowledged; 0 for one that is being restored as a learner."""
        if ip == self.leader.replica.ip:
            return self.leader.rounds.newest
        peer = self.get(ip)
        return 0 if peer.restoring_learner else peer.acknowledged_round

    def holds(self, ip: str, index: int) -> bool:
        """Whether a voter holds the proposal at `index` durably and counts for the quorum."""
        if ip == self.leader.replica.ip:
            return self.leader.replica.term_index == self.leader.proposed.term_index
        peer = self.get(ip)
        return peer.restoring_learner is None and peer.match_index >= index
