"""When a follower confirms that its committed map was the newest."""

from ward import test

from ashlift.configstore.codec import (
    pack,
)
from ashlift.configstore.persistent_state import PersistentVote
from tests.support.replica_driver import (
    append_request,
    feed,
    held_snapshot,
    make_replica,
    replies,
)


@test("I7: an echoed token confirms nothing before its round is confirmed and its commit is held")
def _() -> None:
    replica = make_replica(PersistentVote(1, None, True), held_snapshot())
    entries = held_snapshot().entries
    delta = pack([1, 1, 3, {}, [], entries.digest()])
    response = replies(feed(replica, 5.0, append_request([2, "2", 1, 4, 0, 0, 0, delta])))[0]
    token = response[2]
    feed(replica, 5.2, append_request([2, "2", 2, 4, 5, token, 1, None]))  # commit 5 is not held
    assert replica.committed_state.freshness_confirmed_at == float("-inf")
    feed(replica, 5.3, append_request([2, "2", 3, 4, 4, token, 1, None]))
    assert replica.committed_state.index == 4
    assert replica.committed_state.freshness_confirmed_at == float("-inf")
    feed(replica, 5.4, append_request([2, "2", 4, 4, 4, 0, 3, None]))
    assert replica.committed_state.freshness_confirmed_at == 5.0
