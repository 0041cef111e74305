"""What a replica has in every role: durable vote and snapshot, the committed map, and its effects so far."""

import random
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from ashlift.configstore import codec
from ashlift.configstore.change_log import ChangeLog
from ashlift.configstore.committed_state import CommittedState
from ashlift.configstore.membership import VOTER_PREFIX, addresses_under
from ashlift.configstore.messages import Request, Response
from ashlift.configstore.persistent_state import PersistentVote, Snapshot, TermIndex
from ashlift.configstore.ranged_map import RangedMap
from ashlift.configstore.replica_io import Effect, LogEvent, PersistState, SendReply, SendRequest
from ashlift.events import EventType

MAX_WRITE_WAIT_SECONDS: Final = 0.4  # the others do not wait for a slower disk

PersistCallback = Callable[[bool], None]  # gets whether the write succeeded


def ignore_outcome(_succeeded: bool) -> None:
    """For writes that nothing waits for."""


class InvariantError(Exception):
    """An invariant of the replication protocol does not hold: the process must stop."""


class PendingWrite(NamedTuple):
    """What a `PersistState` under way makes durable, and what follows it."""

    vote: PersistentVote | None
    snapshot: Snapshot | None
    on_done: PersistCallback
    started_at: float


class ReplicaState:
    """Durable state changes through `persist` alone; nothing that depends on it is sent before."""

    def __init__(
        self, ip: str, random_source: random.Random, vote: PersistentVote, snapshot: Snapshot
    ) -> None:
        self.ip = ip
        self.random = random_source
        self.vote = vote
        self.snapshot = snapshot
        self.tolerated_failures = 1  # simultaneous losses that the voters must bear
        self.now = 0.0
        self.committed_state = CommittedState()
        self.change_log = ChangeLog()  # of all that was accepted since the process started
        self.change_log.record(snapshot.term_index, snapshot.entries)
        self.effects: list[Effect] = []
        self.last_write_seconds = 0.0
        self._pending_write: PendingWrite | None = None
        self._voters_cache: tuple[RangedMap, list[str]] | None = None

    # ---- effects
    @property
    def is_persisting(self) -> bool:
        """Whether a write is under way; until it is done no event is handled."""
        return self._pending_write is not None

    def persist(
        self, vote: PersistentVote | None, snapshot: Snapshot | None, on_done: PersistCallback
    ) -> None:
        """Make these durable and go on with `on_done`. The last thing that a handler does.

        `vote` and `snapshot` of this replica change once the write has succeeded (`complete_persist`). So
        what must be durable first, a vote or an acknowledgement, is sent by `on_done`.
        """
        if self._pending_write is not None:
            raise InvariantError("two writes at a time")
        if vote is not None:
            self._check_vote(vote)
        if snapshot is not None and self.vote.is_voter and snapshot.term_index <= self.term_index:
            raise InvariantError(f"stamp {snapshot.term_index} after {self.term_index}")
        self._pending_write = PendingWrite(vote, snapshot, on_done, self.now)
        self.effects.append(PersistState(vote, snapshot))

    def _check_vote(self, vote: PersistentVote) -> None:
        if vote.term < self.vote.term:
            raise InvariantError(f"term {vote.term} after {self.vote.term}")
        if vote.term == self.vote.term and self.vote.voted_for not in (None, vote.voted_for):
            raise InvariantError(f"a second vote in term {vote.term}")

    def complete_persist(self, succeeded: bool) -> None:
        """The write under way has ended."""
        write = self._pending_write
        if write is None:
            raise InvariantError("kept what was not to be kept")
        self._pending_write = None
        self.last_write_seconds = min(self.now - write.started_at, MAX_WRITE_WAIT_SECONDS)
        if succeeded:
            self.vote = write.vote or self.vote
            self.accept_snapshot(write.snapshot or self.snapshot)
        write.on_done(succeeded)

    def send_request(self, peer: str, request: Request, context: Any = None) -> None:
        """The response is fed with the same `context`."""
        method, body = codec.encode_request(request)
        self.effects.append(SendRequest(peer, method, body, context))

    def respond(self, reply_to: Any, response: Response) -> None:
        """Answer another replica's request."""
        self.reply(reply_to, codec.encode_response(response))

    def reply(self, reply_to: Any, body: Any) -> None:
        """Answer a client, or any request with a Failure. `reply_to` None: nobody waits."""
        if reply_to is not None:
            self.effects.append(SendReply(reply_to, body))

    def log_event(self, event: EventType, **fields: Any) -> None:
        """Write a numbered event of `configstore.events`."""
        self.effects.append(LogEvent(event, fields))

    # ---- state
    def accept_snapshot(self, snapshot: Snapshot) -> None:
        """Hold this one from now on; it is durable, or this replica does not count."""
        self.snapshot = snapshot
        self.change_log.record(snapshot.term_index, snapshot.entries)

    @property
    def term_index(self) -> TermIndex:
        """That of the newest accepted map."""
        return self.snapshot.term_index

    def voters(self, snapshot: Snapshot | None = None) -> list[str]:
        """The voters by the newest accepted map, or by that snapshot, in order."""
        entries = (snapshot or self.snapshot).entries
        if self._voters_cache is None or self._voters_cache[0] is not entries:
            self._voters_cache = entries, addresses_under(entries.map, VOTER_PREFIX)
        return [*self._voters_cache[1]]

    def advance_committed(self, snapshot: Snapshot) -> None:
        """This one is committed."""
        self.committed_state.advance(snapshot)

    def confirm_freshness(self, at: float) -> None:
        """At the time `at` no newer map than the committed one known here was committed anywhere."""
        committed = self.committed_state
        committed.freshness_confirmed_at = max(committed.freshness_confirmed_at, at)
