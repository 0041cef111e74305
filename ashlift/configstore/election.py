"""Elections: votes that this replica gives, and its own attempts to be elected, as raft has them.

An attempt begins with a pre-vote, which asks whether a majority would vote: a replica that cannot win must
not raise the term and so end a leadership. Votes are durable before they are given.

In order: `Replica._tick` finds `Election.deadline` past, `start_pre_vote`, `handle_vote_response` of a
majority, `stand` (the own vote becomes durable), `_stand_with`, `handle_vote_response` of a majority again,
`Replica.become_leader`. `Leader.start` then commits the accepted map anew; until that is done it answers
no read and begins no command. A successor that the leader has named begins with `stand`.
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

# Bounds of the randomized time-out after an attempt: all others have been waiting as well.
RETRY_TIMEOUT_SECONDS: Final = (0.3, 0.7)
# A vote or pre-vote that was granted puts off other attempts by so much: two at once may elect nobody.
GRANTED_VOTE_GRACE_SECONDS: Final = 0.3

_LEARNER: Final = Failure(FailureReason.UNAVAILABLE, "learner")
_NOT_WRITTEN: Final = Failure(FailureReason.REJECTED, "disk")
_NOT_NOW: Final = Failure(FailureReason.REJECTED, "not now")


@define
class ElectionAttempt:
    """An attempt of this replica to be elected in `term`, by the voters of its newest accepted map."""

    term: int
    is_pre_vote: bool
    voters: dict[str, int | None]  # who votes, with the incarnation of its disk; None: any
    started_at: float
    votes: set[str] = field(factory=set)


class VoteContext(NamedTuple):
    """What a response to a vote request is understood by."""

    term: int
    is_pre_vote: bool


class Election:
    """`deadline`: when this replica stands for election, unless it hears a leader; s, monotonic."""

    def __init__(self, replica: "Replica") -> None:
        self.replica = replica
        self.attempt: ElectionAttempt | None = None
        self.deadline = 0.0
        # After a vote its candidate is given the time to lead before another one gets a pre-vote.
        self.pre_votes_withheld_until = 0.0

    def reset_timer(self, bounds: tuple[float, float] = ELECTION_TIMEOUT_SECONDS) -> None:
        """Put off the next attempt by a random time."""
        timeout = self.replica.random.uniform(*bounds)
        self.deadline = self.replica.now + timeout
        if bounds is RETRY_TIMEOUT_SECONDS:
            self.deadline += 2 * self.replica.last_write_seconds  # votes are written before they are given

    # ---- standing for election
    def start_pre_vote(self) -> None:
        """Ask whether a majority would vote for this replica."""
        self.reset_timer(RETRY_TIMEOUT_SECONDS)
        self.replica.leader_ip = None
        self.attempt = self._new_attempt(self.replica.vote.term + 1, is_pre_vote=True)
        self._request_votes(self.attempt)

    def stand(self) -> None:
        """Vote for oneself in a new term, and once that is durable ask the others for their votes."""
        self.reset_timer(RETRY_TIMEOUT_SECONDS)
        self.replica.leader_ip = None
        self.attempt = None
        vote = self.replica.vote
        own_vote = vote._replace(term=vote.term + 1, voted_for=self.replica.ip)
        self.replica.persist(own_vote, None, lambda succeeded: self._stand_with(own_vote.term, succeeded))

    def _stand_with(self, term: int, succeeded: bool) -> None:
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
        """A vote counts only in time, and only of the disk that the accepted map names."""
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
            return  # the disk of an earlier incarnation: what it has voted since is forgotten there
        attempt.votes.add(event.peer)
        self._count_votes()

    def _count_votes(self) -> None:
        attempt = self.attempt
        if attempt is None or len(attempt.votes & {*attempt.voters}) < quorum(len(attempt.voters)):
            return
        if attempt.is_pre_vote:
            self.stand()
            return
        self.attempt = None
        self.replica.become_leader()

    # ---- requests of others
    def handle_vote_request(self, reply_to: Any, request: VoteRequest) -> None:
        """Grant a vote or pre-vote, or refuse it."""
        replica = self.replica
        if not replica.vote.is_voter:
            replica.reply(reply_to, _LEARNER)
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
        """Whether the candidate's map is not older than the one held here."""
        return (request.last_term, request.last_index) >= self.replica.term_index

    def _handle_pre_vote(self, reply_to: Any, request: VoteRequest) -> None:
        replica = self.replica
        withheld_until = max(
            self.pre_votes_withheld_until, replica.follower.leader_heard_at + ELECTION_TIMEOUT_SECONDS[0]
        )
        hears_no_leader = replica.leader_role is None and replica.now >= withheld_until
        granted = self._is_current(request) and hears_no_leader and request.term > replica.vote.term
        if granted:
            self.deadline = max(self.deadline, replica.now + GRANTED_VOTE_GRACE_SECONDS)
        replica.respond(reply_to, VoteResponse(replica.vote.term, granted, replica.vote.incarnation))

    def _vote(self, reply_to: Any, request: VoteRequest) -> None:
        """In a term in which this replica has not voted yet."""
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
                replica.reply(reply_to, _NOT_WRITTEN)
                return
            replica.respond(reply_to, response)

        replica.persist(vote, None, send_response)

    def handle_transfer_request(self, reply_to: Any, request: TransferRequest) -> None:
        """The leader ends, and has chosen this replica as its successor: no pre-vote is needed."""
        replica = self.replica
        is_outdated = request.term != replica.vote.term or replica.leader_role is not None
        if is_outdated or not replica.can_stand_for_election() or replica.shutdown_deadline is not None:
            replica.reply(reply_to, _NOT_NOW)
            return
        replica.respond(reply_to, TransferAccepted())
        self.stand()
