"""A replica while it leads one term: what its parts share, and who of them handles what comes.

The parts are heartbeat rounds and linearizable reads (`heartbeat_rounds`), replication to the others
(`replication`), commands and the one proposal under way (`proposal_queue`), changes of the membership
(`membership_manager`) and the transfer of the leadership (`leadership_transfer`). Each owns its state.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from ashlift.configstore import events
from ashlift.configstore.heartbeat_rounds import HeartbeatRounds
from ashlift.configstore.leadership_transfer import LeadershipTransfer
from ashlift.configstore.membership import quorum
from ashlift.configstore.membership_manager import MembershipManager
from ashlift.configstore.peers import PeerTable
from ashlift.configstore.persistent_state import Snapshot
from ashlift.configstore.proposal_queue import CommandHandler, ProposalQueue
from ashlift.configstore.proposals import Proposal
from ashlift.configstore.replication import Replication
from ashlift.configstore.timing import QUORUM_CONTACT_TIMEOUT_SECONDS

if TYPE_CHECKING:
    from ashlift.configstore.replica import Replica


class Leader:
    """Made once a majority has voted; ends with `end`, when the replica steps down.

    `command_handler` decides on commands: it is given the newest proposed map, and is pure.
    """

    def __init__(self, replica: "Replica", command_handler: CommandHandler) -> None:
        self.replica = replica
        self.command_handler = command_handler
        self.term = replica.vote.term
        self.elected_at = replica.now
        self.proposed: Snapshot = replica.snapshot  # the newest proposed map, durable here or not yet
        self.commit_index = 0  # the newest committed index of this term; 0: none
        self.peers = PeerTable(self)
        self.rounds = HeartbeatRounds(self)
        self.replication = Replication(self)
        self.proposals = ProposalQueue(self)
        self.membership = MembershipManager(self)
        self.transfer = LeadershipTransfer(self)

    def start(self) -> None:
        """Commit the accepted map again, under this term: until then nothing may be read or proposed."""
        self.replica.log_event(events.LEADER_ELECTED, term=self.term, voters=len(self.peers.voters()))
        self.proposals.propose(Proposal({}, [], None))

    def tick(self) -> None:
        """Step down if no majority is heard, transfer the leadership if that is due, send heartbeats."""
        now = self.replica.now
        contacts = sorted((self._contact_at(ip) for ip in self.peers.voters()), reverse=True)
        if contacts[quorum(len(contacts)) - 1] < now - QUORUM_CONTACT_TIMEOUT_SECONDS:
            self.replica.step_down("no majority heard")
            return
        self.transfer.tick()
        if now >= self.rounds.next_at:
            self.rounds.begin()

    def _contact_at(self, ip: str) -> float:
        """When a voter was heard; at the earliest the election, after which all times begin anew."""
        return max(self.peers.counted_contact_at(ip), self.elected_at)

    def handle_join_request(self, ip: str, incarnation: int) -> None:
        """A process that is no voter, as far as it knows, asks to join."""
        peer = self.peers.get(ip)
        peer.join_requested_at = self.replica.now
        peer.incarnation = incarnation
        if not self.replica.is_persisting:
            self.proposals.advance()

    def end(self) -> None:
        """Lead no longer: what was proposed may be committed yet, what was not begun may be sent again."""
        self.proposals.fail_in_flight()
        self.rounds.fail_pending_reads()
        self.proposals.reject_queued()

    def current_map(self) -> Mapping[str, Any]:
        """The entries of the newest proposed map, on which commands and members are decided."""
        return self.proposed.entries.map

    def membership_table(self) -> list[dict[str, Any]]:
        """Voters and learners, for operators."""
        return self.membership.table()
