"""What followers and learners acknowledge, and when a learner is promoted."""

from ward import test

from ashlift.configstore.codec import (
    CODE_BEHIND,
    KIND_DELTA,
    KIND_PROMOTION,
    KIND_RANGES,
    pack,
)
from ashlift.configstore.persistent_state import PersistentVote
from ashlift.configstore.replica_io import (
    StatePersisted,
)
from ashlift.errors import Failure
from tests.support.replica_driver import (
    append_request,
    feed,
    held_snapshot,
    make_replica,
    replies,
)


@test("I2 I4: only complete and durable maps are acknowledged, and only this incarnation is promoted")
def _() -> None:
    replica = make_replica(PersistentVote(2, "2", True), held_snapshot())
    for prev, digest in ((2, held_snapshot().entries.digest()), (3, b"no")):
        body = [2, "2", 1, 4, 0, 0, 0, pack([KIND_DELTA, 1, prev, {}, [], digest])]
        assert replies(feed(replica, 5.0, append_request(body)))[0][1] == CODE_BEHIND
    sound = [2, "2", 1, 4, 0, 0, 0, pack([KIND_DELTA, 1, 3, {}, [], held_snapshot().entries.digest()])]
    assert not replies(replica.handle(5.0, append_request(sound))), "responded before the write completed"
    assert isinstance(replies(replica.handle(5.0, StatePersisted(False)))[0], Failure)
    assert replica.term_index == (
        1,
        3,
    )
    learner = make_replica(None, held_snapshot())
    assert not learner.vote.is_voter, "a replica without its vote record is a voter"
    ranges = pack([KIND_RANGES, {}, held_snapshot().entries.digest()])
    for payload in (
        pack([KIND_PROMOTION, learner.incarnation]),
        ranges,
        pack([KIND_PROMOTION, learner.incarnation + 1]),
    ):
        feed(learner, 5.0, append_request([2, "2", 1, 4, 0, 0, 0, payload]))
        assert not learner.vote.is_voter
    feed(
        learner,
        5.0,
        append_request([2, "2", 1, 4, 0, 0, 0, pack([KIND_PROMOTION, learner.incarnation])]),
    )
    assert learner.vote == PersistentVote(2, "2", True, learner.incarnation)
    assert learner.term_index == (2, 4)
