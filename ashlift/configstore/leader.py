"""The leader role of a replica during one term.

Its parts are heartbeat rounds and linearizable reads (`heartbeat_rounds`), replication to the other replicas
(`replication`), queued commands and the in-flight proposal (`proposal_queue`), membership changes
(`membership_manager`) and leadership transfer (`leadership_transfer`). Each part owns its state; `Leader`
holds what they share.
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
    """One leadership, created when the election is won and closed by `end` when the replica steps down.

    `command_handler` is a pure function that decides a command, given the newest proposed map.
    """

    def __init__(self, replica: "Replica", command_handler: CommandHandler) -> None:
        self.replica = replica
        self.command_handler = command_handler
        self.term = replica.vote.term
        self.elected_at = replica.now
        # The newest proposed map, not necessarily durable here yet.
        self.proposed: Snapshot = replica.snapshot
        self.commit_index = 0  # the newest index committed in this term; 0: none
        self.peers = PeerTable(self)
        self.rounds = HeartbeatRounds(self)
        self.replication = Replication(self)
        self.proposals = ProposalQueue(self)
        self.membership = MembershipManager(self)
        self.transfer = LeadershipTransfer(self)

    def start(self) -> None:
        """Recommit the accepted map in this term. Until then no read or command may be served."""
        self.replica.log_event(events.LEADER_ELECTED, term=self.term, voters=len(self.peers.voters()))
        self.proposals.propose(Proposal({}, [], None))

    def tick(self) -> None:
        """Step down without contact to a majority, advance a leadership transfer, and send due heartbeats."""
        now = self.replica.now
        contacts = sorted((self._contact_at(ip) for ip in self.peers.voters()), reverse=True)
        if contacts[quorum(len(contacts)) - 1] < now - QUORUM_CONTACT_TIMEOUT_SECONDS:
            self.replica.step_down("no majority heard")
            return
        self.transfer.tick()
        if now >= self.rounds.next_at:
            self.rounds.start_round()

    def _contact_at(self, ip: str) -> float:
        """When a voter was last in contact, counting the election as a contact with each of them."""
        return max(self.peers.last_voter_contact_at(ip), self.elected_at)

    def handle_join_request(self, ip: str, incarnation: int) -> None:
        """Record a join request of a process that does not consider itself a voter."""
        peer = self.peers.get(ip)
        peer.join_requested_at = self.replica.now
        peer.incarnation = incarnation
        if not self.replica.is_persisting:
            self.proposals.advance()

    def end(self) -> None:
        """Fail all pending requests.

        The in-flight proposal may still be committed by the next leader; queued commands were not started.
        """
        self.proposals.fail_in_flight()
        self.rounds.fail_pending_reads()
        self.proposals.reject_queued()

    def current_map(self) -> Mapping[str, Any]:
        """The entries of the newest proposed map, on which commands and membership changes are decided."""
        return self.proposed.entries.map

    def membership_table(self) -> list[dict[str, Any]]:
        """The voters and learners as shown to operators."""
        return self.membership.table()
