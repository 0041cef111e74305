"""Which votes count, and until when."""

from ward import test

from ashlift.configstore.codec import (
    CODE_LEARNER,
)
from ashlift.configstore.persistent_state import PersistentVote
from ashlift.configstore.replica_io import (
    ClockTicked,
    ResponseReceived,
)
from ashlift.configstore.timing import (
    CALL_TIMEOUT_SECONDS,
    LEARNER_QUARANTINE_SECONDS,
)
from ashlift.errors import Failure
from tests.support.replica_driver import (
    append_request,
    feed,
    held_snapshot,
    make_replica,
    replies,
    request_received,
    requests_sent,
)


@test("I2: a vote counts only within the call's time-out, and only from a voter")
def _() -> None:
    replica = make_replica(PersistentVote(1, None, True), held_snapshot())
    request = requests_sent(feed(replica, 2.0, ClockTicked()), "request_vote")[0]
    feed(replica, 2.1, ResponseReceived("9", "request_vote", 2.0, request.context, [1, True]))
    feed(
        replica,
        2.01 + CALL_TIMEOUT_SECONDS,
        ResponseReceived("2", "request_vote", 2.0, request.context, [1, True]),
    )
    assert replica.election.attempt is not None
    assert replica.election.attempt.is_pre_vote
    assert replica.vote.term == 1


@test("I8: a learner rejects requests in quarantine, then responds as a learner, and never votes")
def _() -> None:
    replica = make_replica(None, None)
    vote_request = request_received("request_vote", [5, "2", 9, 9, False])
    append = append_request([5, "2", 1, 3, 0, 0, 0, True])
    assert all(
        isinstance(body, Failure)
        for body in replies(feed(replica, LEARNER_QUARANTINE_SECONDS - 0.01, append))
    )
    assert replies(feed(replica, LEARNER_QUARANTINE_SECONDS + 0.01, append))[0][1] == CODE_LEARNER
    assert isinstance(replies(feed(replica, LEARNER_QUARANTINE_SECONDS + 0.02, vote_request))[0], Failure)
    feed(replica, 60.0, ClockTicked())
    assert replica.election.attempt is None
    assert not replica.vote.is_voter
