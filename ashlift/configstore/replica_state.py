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
        self.me, self.chance = me, chance
        self.vote, self.state = vote, state
        self.tolerated = 1  # losses at once that the voters must bear
        self.now = 0.0
        self.news = CommittedState()
        self.changes = ChangeLog()  # of all that was accepted in this life
        self.changes.advance(state.term_index, state.entries)
        self.effects: list[Effect] = []
        self.then: Callable[[bool], None] | None = None
        self.write_s = 0.0  # what the last write took
        self._kept_from = 0.0
        self._listed: tuple[RangedMap, list[str]] | None = None  # the members of the map asked for last
        self._keeping: tuple[PersistentVote | None, Snapshot | None] = (None, None)

    # ---- effects
    def keep(self, vote: PersistentVote | None, state: Snapshot | None, then: Callable[[bool], None]) -> None:
        """Make these durable and go on with `then(ok)`. Last thing a handler does."""
        if self.then is not None:
            raise InvariantError("two writes at a time")
        if vote is not None:
            if vote.term < self.vote.term:
                raise InvariantError(f"term {vote.term} after {self.vote.term}")
            if vote.term == self.vote.term and self.vote.voted_for not in (None, vote.voted_for):
                raise InvariantError(f"a second vote in term {vote.term}")
        if state is not None and self.vote.voter and state.term_index <= self.state.term_index:
            raise InvariantError(f"stamp {state.term_index} after {self.state.term_index}")
        self._keeping, self.then, self._kept_from = (vote, state), then, self.now
        self.effects.append(PersistState(vote, state))

    def kept(self, ok: bool) -> None:
        vote, state = self._keeping
        then, self.then = self.then, None
        self.write_s = min(self.now - self._kept_from, WRITE_MOST_S)
        if then is None:
            raise InvariantError("kept what was not to be kept")
        if ok:
            self.vote = vote or self.vote
            self.accept(state or self.state)
        then(ok)

    def send(self, peer: str, method: str, body: Any, context: Any) -> None:
        self.effects.append(SendRequest(peer, method, body, context))

    def reply(self, ref: Any, body: Any) -> None:
        if ref is not None:
            self.effects.append(SendReply(ref, body))

    def tell(self, event: tuple[int, str], **fields: Any) -> None:
        self.effects.append(LogEvent(event, fields))

    # ---- state
    def accept(self, state: Snapshot) -> None:
        self.state = state
        self.changes.advance(state.term_index, state.entries)

    @property
    def term_index(self) -> TermIndex:
        return self.state.term_index

    def members(self, state: Snapshot | None = None) -> list[str]:
        """The voters of the newest accepted map, in order."""
        entries = (state or self.state).entries
        if self._listed is None or self._listed[0] is not entries:
            self._listed = entries, addresses_under(entries.map, VOTER_PREFIX)
        return [*self._listed[1]]

    def committed(self, state: Snapshot) -> None:
        self.news.advance(state)

    def proven(self, at: float) -> None:
        """The committed map was the newest of all at the steady time `at`."""
        self.news.lease = max(self.news.lease, at)

    # ---- the member's part
    def step_down(self, why: str) -> None:
        raise NotImplementedError

    def higher(self, term: int) -> None:
        raise NotImplementedError
