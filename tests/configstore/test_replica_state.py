"""Invariant violations raise `InvariantError`, which stops the process."""

from ward import raises, test

from ashlift.configstore.persistent_state import PersistentVote
from ashlift.configstore.replica_state import InvariantError, ignore_outcome
from tests.support.replica_driver import (
    append_request,
    elected_replica,
    feed,
    held_snapshot,
    make_replica,
)


@test("InvariantError is raised for a second vote, an older snapshot and two leaders in a term")
def _() -> None:
    replica = make_replica(PersistentVote(1, "2", True), held_snapshot())
    with raises(InvariantError):
        replica.persist(PersistentVote(1, "3", True), None, ignore_outcome)
    with raises(InvariantError):
        replica.persist(None, held_snapshot(2), ignore_outcome)
    with raises(InvariantError):
        feed(elected_replica(), 2.0, append_request([2, "2", 1, 9, 0, 0, 0, None]))
