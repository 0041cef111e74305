"""State that a replica has in every role: durable vote and snapshot, committed map, and pending effects."""

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

MAX_WRITE_WAIT_SECONDS: Final = 0.4  # cap on the write time that extends election time-outs

PersistCallback = Callable[[bool], None]  # called with whether the write succeeded


def ignore_outcome(_succeeded: bool) -> None:
    """Callback for writes that nothing depends on."""


class InvariantError(Exception):
    """An invariant of the replication protocol is violated; the process must stop."""


class PendingWrite(NamedTuple):
    """The state that an in-flight `PersistState` makes durable, and the callback to run afterwards."""

    vote: PersistentVote | None
    snapshot: Snapshot | None
    on_done: PersistCallback
    started_at: float


class ReplicaState:
    """State shared by all roles.

    Durable state changes only through `persist`; messages that depend on it are sent once the write has
    succeeded.
    """

    def __init__(
        self, ip: str, random_source: random.Random, vote: PersistentVote, snapshot: Snapshot
    ) -> None:
        self.ip = ip
        self.random = random_source
        self.vote = vote
        self.snapshot = snapshot
        self.tolerated_failures = 1  # simultaneous replica failures that the voters must survive
        self.now = 0.0
        self.committed_state = CommittedState()
        self.change_log = ChangeLog()  # of the maps accepted since the process started
        self.change_log.record(snapshot.term_index, snapshot.entries)
        self.effects: list[Effect] = []
        self.last_write_seconds = 0.0
        self._pending_write: PendingWrite | None = None
        self._voters_cache: tuple[RangedMap, list[str]] | None = None

    # ---- effects
    @property
    def is_persisting(self) -> bool:
        """Whether a write is in flight. Until it completes no other event is handled."""
        return self._pending_write is not None

    def persist(
        self, vote: PersistentVote | None, snapshot: Snapshot | None, on_done: PersistCallback
    ) -> None:
        """Make `vote` and `snapshot` durable, then call `on_done`. Must be the last step of a handler.

        The in-memory `vote` and `snapshot` change once the write has succeeded (`complete_persist`), so votes
        and acknowledgements that require durability are sent by `on_done`.
        """
        if self._pending_write is not None:
            raise InvariantError("persist called while another write is in flight")
        if vote is not None:
            self._check_vote(vote)
        if snapshot is not None and self.vote.is_voter and snapshot.term_index <= self.term_index:
            raise InvariantError(f"snapshot at {snapshot.term_index} is not newer than {self.term_index}")
        self._pending_write = PendingWrite(vote, snapshot, on_done, self.now)
        self.effects.append(PersistState(vote, snapshot))

    def _check_vote(self, vote: PersistentVote) -> None:
        if vote.term < self.vote.term:
            raise InvariantError(f"term {vote.term} is lower than {self.vote.term}")
        if vote.term == self.vote.term and self.vote.voted_for not in (None, vote.voted_for):
            raise InvariantError(f"second vote in term {vote.term}")

    def complete_persist(self, succeeded: bool) -> None:
        """Apply the outcome of the in-flight write and run its callback."""
        write = self._pending_write
        if write is None:
            raise InvariantError("write completed while none was in flight")
        self._pending_write = None
        self.last_write_seconds = min(self.now - write.started_at, MAX_WRITE_WAIT_SECONDS)
        if succeeded:
            self.vote = write.vote or self.vote
            self.accept_snapshot(write.snapshot or self.snapshot)
        write.on_done(succeeded)

    def send_request(self, peer: str, request: Request, context: Any = None) -> None:
        """Send a request to another replica. `context` comes back in the `ResponseReceived`."""
        method, body = codec.encode_request(request)
        self.effects.append(SendRequest(peer, method, body, context))

    def respond(self, reply_to: Any, response: Response) -> None:
        """Send the response to another replica's request."""
        self.reply(reply_to, codec.encode_response(response))

    def reply(self, reply_to: Any, body: Any) -> None:
        """Send a reply to a client, or a Failure to any caller. With `reply_to` None nothing is sent."""
        if reply_to is not None:
            self.effects.append(SendReply(reply_to, body))

    def log_event(self, event: EventType, **fields: Any) -> None:
        """Add an effect that writes a numbered event of `configstore.events` to the log."""
        self.effects.append(LogEvent(event, fields))

    # ---- state
    def accept_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the accepted snapshot. The caller has made it durable unless this replica is a learner."""
        self.snapshot = snapshot
        self.change_log.record(snapshot.term_index, snapshot.entries)

    @property
    def term_index(self) -> TermIndex:
        """Term and index of the newest accepted map."""
        return self.snapshot.term_index

    def voters(self, snapshot: Snapshot | None = None) -> list[str]:
        """The sorted addresses of the voters in `snapshot`, by default the newest accepted one."""
        entries = (snapshot or self.snapshot).entries
        if self._voters_cache is None or self._voters_cache[0] is not entries:
            self._voters_cache = entries, addresses_under(entries.map, VOTER_PREFIX)
        return [*self._voters_cache[1]]

    def advance_committed(self, snapshot: Snapshot) -> None:
        """Record that `snapshot` is committed."""
        self.committed_state.advance(snapshot)

    def confirm_freshness(self, at: float) -> None:
        """Record that at time `at` no newer map than the local committed one was committed anywhere."""
        committed = self.committed_state
        committed.freshness_confirmed_at = max(committed.freshness_confirmed_at, at)
