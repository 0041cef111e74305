"""What a member has in every role: its durable state, its effects, the committed map."""

import random
import zlib
from collections.abc import Callable
from typing import Any

import cbor2

from ashlift.configstore.change_log import ChangeLog
from ashlift.configstore.committed_state import CommittedState
from ashlift.configstore.membership import VOTER_PREFIX, addresses_under
from ashlift.configstore.messages import (
    Effect,
    LogEvent,
    PersistentVote,
    PersistState,
    SendReply,
    SendRequest,
    Snapshot,
    TermIndex,
)
from ashlift.configstore.ranged_map import RangedMap
from ashlift.events import EventType

WRITE_MOST_S = 0.4  # a slower disk is not waited for by others


class InvariantError(Exception):  # noqa: N818  (it is no error to be handled)
    """An invariant of the agreement does not hold: the process must stop."""


def pack(payload: list[Any]) -> bytes:
    return zlib.compress(cbor2.dumps(payload), 1)


def unpack(payload: bytes) -> list[Any]:
    """Raises ValueError."""
    try:
        value = cbor2.loads(zlib.decompress(payload))
    except (zlib.error, cbor2.CBORDecodeError) as error:
        raise ValueError(str(error)) from None
    if not isinstance(value, list):
        raise ValueError("no payload")
    return value


class ReplicaState:
    """Durable state changes only through `keep`; nothing that depends on it is said before it is kept."""

    def __init__(self, me: str, chance: random.Random, vote: PersistentVote, state: Snapshot) -> None:
        self.ip, self.random = me, chance
        self.vote, self.snapshot = vote, state
        self.tolerated_failures = 1  # losses at once that the voters must bear
        self.now = 0.0
        self.committed_state = CommittedState()
        self.change_log = ChangeLog()  # of all that was accepted in this life
        self.change_log.record(state.term_index, state.entries)
        self.effects: list[Effect] = []
        self._after_persist: Callable[[bool], None] | None = None
        self.last_write_seconds = 0.0  # what the last write took
        self._persist_started_at = 0.0
        self._voters_cache: tuple[RangedMap, list[str]] | None = None  # the members of the map asked for last
        self._pending_persist: tuple[PersistentVote | None, Snapshot | None] = (None, None)

    # ---- effects
    def persist(
        self, vote: PersistentVote | None, state: Snapshot | None, then: Callable[[bool], None]
    ) -> None:
        """Make these durable and go on with `then(ok)`. Last thing a handler does."""
        if self._after_persist is not None:
            raise InvariantError("two writes at a time")
        if vote is not None:
            if vote.term < self.vote.term:
                raise InvariantError(f"term {vote.term} after {self.vote.term}")
            if vote.term == self.vote.term and self.vote.voted_for not in (None, vote.voted_for):
                raise InvariantError(f"a second vote in term {vote.term}")
        if state is not None and self.vote.is_voter and state.term_index <= self.snapshot.term_index:
            raise InvariantError(f"stamp {state.term_index} after {self.snapshot.term_index}")
        self._pending_persist, self._after_persist, self._persist_started_at = (vote, state), then, self.now
        self.effects.append(PersistState(vote, state))

    def complete_persist(self, ok: bool) -> None:
        vote, state = self._pending_persist
        then, self._after_persist = self._after_persist, None
        self.last_write_seconds = min(self.now - self._persist_started_at, WRITE_MOST_S)
        if then is None:
            raise InvariantError("kept what was not to be kept")
        if ok:
            self.vote = vote or self.vote
            self.accept_snapshot(state or self.snapshot)
        then(ok)

    def send(self, peer: str, method: str, body: Any, context: Any) -> None:
        self.effects.append(SendRequest(peer, method, body, context))

    def reply(self, ref: Any, body: Any) -> None:
        if ref is not None:
            self.effects.append(SendReply(ref, body))

    def log_event(self, event: EventType, **fields: Any) -> None:
        self.effects.append(LogEvent(event, fields))

    # ---- state
    def accept_snapshot(self, state: Snapshot) -> None:
        self.snapshot = state
        self.change_log.record(state.term_index, state.entries)

    @property
    def term_index(self) -> TermIndex:
        return self.snapshot.term_index

    def voters(self, state: Snapshot | None = None) -> list[str]:
        """The voters of the newest accepted map, in order."""
        entries = (state or self.snapshot).entries
        if self._voters_cache is None or self._voters_cache[0] is not entries:
            self._voters_cache = entries, addresses_under(entries.map, VOTER_PREFIX)
        return [*self._voters_cache[1]]

    def advance_committed(self, state: Snapshot) -> None:
        self.committed_state.advance(state)

    def confirm_freshness(self, at: float) -> None:
        """The committed map was the newest of all at the steady time `at`."""
        self.committed_state.freshness_confirmed_at = max(self.committed_state.freshness_confirmed_at, at)

    # ---- the member's part
    def step_down(self, why: str) -> None:
        raise NotImplementedError

    def observe_higher_term(self, term: int) -> None:
        raise NotImplementedError
