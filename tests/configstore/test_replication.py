"""The leader's append requests: promotion of a learner."""

from ward import test

from ashlift.configstore.codec import (
    CODE_LEARNER,
    KIND_DELTA,
    unpack,
)
from tests.support.replica_driver import (
    append_response,
    elected_replica,
    feed,
    requests_sent,
)


@test("I8: a learner is promoted only after a commit, made without it, since the leader learned of it")
def _() -> None:
    replica = elected_replica()
    index = replica.snapshot.term_index[1]
    for peer in "23":  # with the leader's own, a majority
        feed(
            replica,
            2.0,
            append_response(peer, 2.0, 1, index, [2, 1, 5]),
        )
    assert replica.leader_role is not None
    assert replica.leader_role.commit_index == index
    effects = feed(
        replica,
        2.1,
        append_response("2", 2.1, 2, index, [2, CODE_LEARNER, 6, 77, True, None], carried_payload=False),
    )
    payloads = [
        unpack(send.body[7]) for send in requests_sent(effects, "append") if isinstance(send.body[7], bytes)
    ]
    assert payloads
    assert all(payload[0] == KIND_DELTA for payload in payloads)
    assert replica.leader_role.proposed.term_index == (2, index + 1), (
        "nothing was proposed after the leader learned of the new incarnation"
    )
    learner = append_response("2", 2.15, 3, index + 1, [2, CODE_LEARNER, 7, 77, True, None])
    feed(
        replica,
        2.2,
        append_response("3", 2.15, 3, index + 1, [2, 1, 6]),
    )
    feed(replica, 2.2, learner)
    assert replica.leader_role.commit_index == index, "a learner was counted for the quorum"
    feed(
        replica,
        2.2,
        append_response("4", 2.15, 3, index + 1, [2, 1, 6]),
    )
    assert replica.leader_role.commit_index == index + 1
    promoted = [
        unpack(send.body[7])
        for send in requests_sent(feed(replica, 2.2, learner), "append")
        if send.peer == "2"
    ]
    assert promoted == [[3, 77]]
