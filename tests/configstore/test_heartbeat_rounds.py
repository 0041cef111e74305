"""Linearizable reads: answered after a heartbeat round that a majority has acknowledged."""

from ward import test

from ashlift.configstore.codec import (
    CODE_LEARNER,
)
from ashlift.configstore.replica_io import (
    ClockTicked,
    CommandSubmitted,
    ReadRequested,
)
from ashlift.configstore.timing import (
    QUORUM_CONTACT_TIMEOUT_SECONDS,
)
from tests.support.replica_driver import (
    append_response,
    elected_replica,
    feed,
    replies,
)


@test("I6 I8: late responses, learners and rounds started before a read do not confirm it")
def _() -> None:
    replica = elected_replica()
    index = replica.snapshot.term_index[1]
    for peer in "23":
        feed(
            replica,
            2.0,
            append_response(peer, 2.0, 1, index, [2, 1, 5]),
        )
    effects = feed(replica, 2.1, ReadRequested("read")) + feed(
        replica, 2.1, CommandSubmitted("stale", (9, "x"))
    )
    assert not replies(effects), "answered without a heartbeat round"
    for peer, at, body in (("2", 1.2, [2, 1, 6]), ("4", 2.1, [2, CODE_LEARNER, 6, 77, False, None])):
        assert not replies(
            feed(replica, 2.1, append_response(peer, at, 4, index, body, carried_payload=False))
        )
    for peer, number in (("3", 4), ("5", 2)):
        accepted = append_response(peer, 2.1, number, index, [2, 1, 6], carried_payload=False)
        assert not replies(feed(replica, 2.1, accepted))
    answers = replies(
        feed(replica, 2.1, append_response("5", 2.1, 4, index, [2, 1, 6], carried_payload=False))
    )
    assert answers == [replica.committed_state.snapshot, {"status": 412, "index": index}]
    feed(replica, 2.1 + QUORUM_CONTACT_TIMEOUT_SECONDS + 0.1, ClockTicked())
    assert replica.leader_role is None, "still leader without contact to a majority"
