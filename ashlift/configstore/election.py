"""Leader election as in raft: votes granted by this replica, and its own attempts to be elected.

An attempt starts with a pre-vote, which asks whether a majority would grant its vote, so that a replica that
cannot win does not raise the term and depose the leader. A vote is durable before it is granted.

The sequence of a successful attempt:

1. `Replica._tick` finds that `Election.deadline` has passed and calls `start_pre_vote`.
2. `handle_vote_response` counts a majority of pre-votes; `start_election` persists the replica's own vote.
3. `_handle_own_vote_persisted` requests the votes, and `handle_vote_response` counts them.
4. With a majority, `Replica.become_leader`. `Leader.start` recommits the accepted map in the new term; until
   that commit the leader serves no reads and executes no commands.

The target of a leadership transfer starts at `start_election`, without a pre-vote.
"""

from typing import TYPE_CHECKING, Any, Final, NamedTuple

from attrs import define, field

from ashlift.configstore.codec import decode_vote_response
from ashlift.configstore.membership import quorum, voter_incarnations
from ashlift.configstore.messages import TransferAccepted, TransferRequest, VoteRequest, VoteResponse
from ashlift.configstore.replica_io import ResponseReceived
from ashlift.configstore.timing import CALL_TIMEOUT_SECONDS, ELECTION_TIMEOUT_SECONDS
from ashlift.errors import Failure, FailureReason

if TYPE_CHECKING:
    from ashlift.configstore.replica import Replica

# Bounds of the randomized time-out before the next attempt; shorter, as the others are waiting as well.
RETRY_TIMEOUT_SECONDS: Final = (0.3, 0.7)
# Granting a vote or pre-vote delays other attempts by this much, since concurrent ones may split the vote.
GRANTED_VOTE_GRACE_SECONDS: Final = 0.3

_LEARNER_CANNOT_VOTE: Final = Failure(FailureReason.UNAVAILABLE, "learner")
_DISK_WRITE_FAILED: Final = Failure(FailureReason.REJECTED, "disk")
_TRANSFER_REJECTED: Final = Failure(FailureReason.REJECTED, "not now")


@define
class ElectionAttempt:
    """An attempt of this replica to be elected in `term` by the voters of its newest accepted map."""

    term: int
    is_pre_vote: bool
    voters: dict[str, int | None]  # the incarnation of each voter's disk; None: any
    started_at: float
    votes: set[str] = field(factory=set)


class VoteContext(NamedTuple):
    """Identifies the attempt that a vote response belongs to."""

    term: int
    is_pre_vote: bool


class Election:
    """Election timer, current attempt and vote handling of one replica.

    `deadline` is when the replica starts an attempt unless it hears from a leader first; seconds, monotonic.
    """

    def __init__(self, replica: "Replica") -> None:
        self.replica = replica
        self.attempt: ElectionAttempt | None = None
        self.deadline = 0.0
        # After granting a vote, gives the candidate time to take the leadership before granting a pre-vote.
        self.pre_votes_withheld_until = 0.0

    def reset_timer(self, bounds: tuple[float, float] = ELECTION_TIMEOUT_SECONDS) -> None:
        """Restart the election timer with a random time-out within `bounds`."""
        timeout = self.replica.random.uniform(*bounds)
        self.deadline = self.replica.now + timeout
        if bounds is RETRY_TIMEOUT_SECONDS:
            # Votes are persisted before they are granted.
            self.deadline += 2 * self.replica.last_write_seconds

    # ---- own attempts
    def start_pre_vote(self) -> None:
        """Ask whether a majority would vote for this replica."""
        self.reset_timer(RETRY_TIMEOUT_SECONDS)
        self.replica.leader_ip = None
        self.attempt = self._new_attempt(self.replica.vote.term + 1, is_pre_vote=True)
        self._request_votes(self.attempt)

    def start_election(self) -> None:
        """Vote for this replica in a new term, and request the others' votes once that vote is durable."""
        self.reset_timer(RETRY_TIMEOUT_SECONDS)
        self.replica.leader_ip = None
        self.attempt = None
        vote = self.replica.vote
        own_vote = vote._replace(term=vote.term + 1, voted_for=self.replica.ip)
        self.replica.persist(
            own_vote, None, lambda succeeded: self._handle_own_vote_persisted(own_vote.term, succeeded)
        )

    def _handle_own_vote_persisted(self, term: int, succeeded: bool) -> None:
        if not succeeded:
            self.reset_timer()
            return
        self.reset_timer(RETRY_TIMEOUT_SECONDS)
        self.attempt = self._new_attempt(term, is_pre_vote=False)
        self._request_votes(self.attempt)

    def _new_attempt(self, term: int, *, is_pre_vote: bool) -> ElectionAttempt:
        replica = self.replica
        voters = voter_incarnations(replica.snapshot.entries.map)
        return ElectionAttempt(term, is_pre_vote, voters, replica.now, {replica.ip})

    def _request_votes(self, attempt: ElectionAttempt) -> None:
        replica = self.replica
        request = VoteRequest(attempt.term, replica.ip, *replica.term_index, attempt.is_pre_vote)
        for ip in attempt.voters:
            if ip != replica.ip:
                replica.send_request(ip, request, VoteContext(attempt.term, attempt.is_pre_vote))
        self._count_votes()

    def handle_vote_response(self, event: ResponseReceived) -> None:
        """Count a vote if it arrives in time and from the incarnation that the accepted map names."""
        attempt = self.attempt
        if isinstance(event.body, Failure) or not self.replica.vote.is_voter:
            return
        response = decode_vote_response(event.body)
        own_term = self.replica.vote.term if attempt is None or attempt.is_pre_vote else attempt.term
        if response.term > own_term:
            self.replica.observe_higher_term(response.term)
            return
        if attempt is None or event.context != (attempt.term, attempt.is_pre_vote):
            return
        now = self.replica.now
        if now - event.sent_at >= CALL_TIMEOUT_SECONDS or now - attempt.started_at >= CALL_TIMEOUT_SECONDS:
            return
        if response.granted is not True:
            return
        if attempt.voters.get(event.peer) not in (None, response.incarnation):
            return  # from another disk than the membership names: it may lack votes cast since
        attempt.votes.add(event.peer)
        self._count_votes()

    def _count_votes(self) -> None:
        attempt = self.attempt
        if attempt is None or len(attempt.votes & {*attempt.voters}) < quorum(len(attempt.voters)):
            return
        if attempt.is_pre_vote:
            self.start_election()
            return
        self.attempt = None
        self.replica.become_leader()

    # ---- requests of other replicas
    def handle_vote_request(self, reply_to: Any, request: VoteRequest) -> None:
        """Grant or refuse a vote or pre-vote."""
        replica = self.replica
        if not replica.vote.is_voter:
            replica.reply(reply_to, _LEARNER_CANNOT_VOTE)
            return
        if request.is_pre_vote:
            self._handle_pre_vote(reply_to, request)
            return
        if request.term < replica.vote.term:
            replica.respond(reply_to, VoteResponse(replica.vote.term, False))
            return
        if request.term == replica.vote.term and replica.vote.voted_for is not None:
            granted = replica.vote.voted_for == request.candidate
            response = VoteResponse(request.term, granted, replica.vote.incarnation)
            replica.respond(reply_to, response)
            return
        self._vote(reply_to, request)

    def _is_current(self, request: VoteRequest) -> bool:
        """Whether the candidate's map is at least as new as the local one."""
        return (request.last_term, request.last_index) >= self.replica.term_index

    def _handle_pre_vote(self, reply_to: Any, request: VoteRequest) -> None:
        replica = self.replica
        withheld_until = max(
            self.pre_votes_withheld_until,
            replica.follower.last_leader_contact_at + ELECTION_TIMEOUT_SECONDS[0],
        )
        lacks_leader_contact = replica.leader_role is None and replica.now >= withheld_until
        granted = self._is_current(request) and lacks_leader_contact and request.term > replica.vote.term
        if granted:
            self.deadline = max(self.deadline, replica.now + GRANTED_VOTE_GRACE_SECONDS)
        replica.respond(reply_to, VoteResponse(replica.vote.term, granted, replica.vote.incarnation))

    def _vote(self, reply_to: Any, request: VoteRequest) -> None:
        """Decide on a vote in a term in which this replica has not voted yet."""
        replica = self.replica
        granted = self._is_current(request)
        replica.step_down("a higher term")
        replica.leader_ip = None
        if granted:
            self.reset_timer()
            self.pre_votes_withheld_until = replica.now + GRANTED_VOTE_GRACE_SECONDS
            self.pre_votes_withheld_until += 2 * replica.last_write_seconds
        vote = replica.vote._replace(term=request.term, voted_for=request.candidate if granted else None)
        if vote == replica.vote:
            replica.respond(reply_to, VoteResponse(request.term, False))
            return
        response = VoteResponse(request.term, granted, vote.incarnation)

        def send_response(succeeded: bool) -> None:
            if not succeeded:
                replica.reply(reply_to, _DISK_WRITE_FAILED)
                return
            replica.respond(reply_to, response)

        replica.persist(vote, None, send_response)

    def handle_transfer_request(self, reply_to: Any, request: TransferRequest) -> None:
        """Start an election, without a pre-vote, at the request of a leader that transfers its leadership."""
        replica = self.replica
        is_outdated = request.term != replica.vote.term or replica.leader_role is not None
        if is_outdated or not replica.can_stand_for_election() or replica.shutdown_deadline is not None:
            replica.reply(reply_to, _TRANSFER_REJECTED)
            return
        replica.respond(reply_to, TransferAccepted())
        self.start_election()
