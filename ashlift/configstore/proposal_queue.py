"""Queued commands at the leader, and the single proposal in flight until a majority holds it durably."""

from collections import deque
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

from ashlift.configstore import events
from ashlift.configstore.membership import quorum
from ashlift.configstore.membership_rules import MembershipCommand
from ashlift.configstore.persistent_state import Snapshot
from ashlift.configstore.proposals import FencingToken, Proposal, ReadOnlyResult
from ashlift.configstore.timing import MAX_QUEUED_COMMANDS
from ashlift.errors import Failure, FailureReason

if TYPE_CHECKING:
    from ashlift.configstore.leader import Leader

CommandHandler = Callable[[Mapping[str, Any], Any], Proposal | ReadOnlyResult]


class QueuedCommand(NamedTuple):
    """A command that is not started yet."""

    reply_to: Any
    command: Any
    fencing_token: FencingToken | None


class InFlightProposal(NamedTuple):
    """The reply to send once the newest proposed map is committed."""

    reply_to: Any
    response: Any


class ProposalQueue:
    """Executes commands one proposal at a time, starting once the term's first proposal is committed."""

    def __init__(self, leader: "Leader") -> None:
        self.leader = leader
        self.in_flight: InFlightProposal | None = None
        self.queue: deque[QueuedCommand] = deque()

    def submit(self, reply_to: Any, command: Any, fencing_token: FencingToken | None) -> None:
        """Start a command or queue it."""
        if self.leader.transfer.deadline is not None or len(self.queue) >= MAX_QUEUED_COMMANDS:
            failure = Failure(FailureReason.UNAVAILABLE, "full or leaving")
            self.leader.replica.reply(reply_to, failure)
            return
        self.queue.append(QueuedCommand(reply_to, command, fencing_token))
        self.advance()

    def is_idle(self) -> bool:
        """Whether no proposal is in flight and no leadership transfer is requested."""
        return not self.in_flight and not self.leader.transfer.transfer_requested

    def advance(self) -> None:
        """Start what is pending, membership changes first."""
        leader = self.leader
        needs_round = False
        while not self.in_flight and leader.commit_index and not leader.transfer.transfer_requested:
            change = leader.membership.next_change()
            if change is not None:
                self.propose(change)
                return
            if leader.transfer.transfer_requested or not self.queue:
                break
            queued = self.queue.popleft()
            outcome = self._decide(queued.command)
            if queued.fencing_token is not None and self._is_expired(queued.fencing_token, outcome):
                failure = Failure(FailureReason.EXPIRED, "its caller may have gone")
                leader.replica.reply(queued.reply_to, failure)
                continue
            if isinstance(outcome, Proposal):
                self.propose(outcome, queued.reply_to)
                return
            leader.rounds.reply_after_next_round(queued.reply_to, outcome.response)
            needs_round = True
        if needs_round:
            leader.rounds.start_round()

    def _decide(self, command: Any) -> Proposal | ReadOnlyResult:
        if isinstance(command, MembershipCommand):
            return self.leader.membership.decide(command)
        return self.leader.command_handler(self.leader.current_map(), command)

    def _is_expired(self, token: FencingToken, outcome: Proposal | ReadOnlyResult) -> bool:
        """Whether the command may have outlived its caller's wait, or was superseded."""
        age_seconds = self.leader.rounds.round_age_seconds(token)
        if age_seconds is None or age_seconds >= token.remaining_seconds:
            return True
        committed = self.leader.replica.committed_state
        keys = outcome.unconditional_keys if isinstance(outcome, Proposal) else ()
        return any(committed.may_have_changed_since(key, token.known_index) for key in keys)

    def propose(self, proposal: Proposal, reply_to: Any = None) -> None:
        """Send the changed map to the other replicas and persist it locally.

        The order does not affect safety: each copy counts once it is durable, the local one included
        (`PeerTable.holds`). In practice the local write comes first, as it blocks the process
        (`ReplicaRunner`).
        """
        leader = self.leader
        index = leader.proposed.term_index[1] + 1
        entries = leader.proposed.entries.with_changes(proposal.updates, proposal.deletions)
        leader.proposed = Snapshot((leader.term, index), entries)
        self.in_flight = InFlightProposal(reply_to, proposal.response)
        leader.replica.change_log.record(leader.proposed.term_index, entries)
        leader.rounds.start_round()
        leader.replica.persist(None, leader.proposed, self._handle_persisted)

    def _handle_persisted(self, succeeded: bool) -> None:
        if not succeeded:
            self.leader.replica.step_down("the disk refused")
            return
        self.commit_if_replicated()

    def commit_if_replicated(self) -> None:
        """Commit the in-flight proposal once a majority of the voters in its map holds it durably."""
        leader = self.leader
        index = leader.proposed.term_index[1]
        if self.in_flight is None or leader.commit_index == index:
            return
        voters = leader.peers.voters()
        if sum(leader.peers.holds(ip, index) for ip in voters) < quorum(len(voters)):
            return
        committed = self.in_flight
        self.in_flight = None
        leader.commit_index = index
        leader.replica.advance_committed(leader.proposed)
        leader.replica.reply(committed.reply_to, {**(committed.response or {}), "index": index})
        leader.replica.log_event(events.CHANGE_COMMITTED, term=leader.term, index=index)
        leader.rounds.start_round()  # notify the followers of the commit at once
        if leader.transfer.is_pending():
            leader.transfer.request_transfer()
            return
        self.advance()

    def fail_in_flight(self) -> None:
        """Fail the in-flight proposal as the leadership ends. The next leader may still commit it."""
        if self.in_flight is not None:
            failure = Failure(FailureReason.OUTCOME_UNKNOWN, "lost the lead")
            self.leader.replica.reply(self.in_flight.reply_to, failure)

    def reject_queued(self) -> None:
        """Fail the queued commands. None was started, so callers may retry them."""
        while self.queue:
            failure = Failure(FailureReason.UNAVAILABLE, "lost the lead")
            self.leader.replica.reply(self.queue.popleft().reply_to, failure)
