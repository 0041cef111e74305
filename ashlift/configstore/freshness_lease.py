"""Freshness lease: a follower learns, without synchronized clocks, when its committed map was the newest.

Each response to the leader carries a token that stands for a time on the follower's clock. The leader echoes
the newest token in its next heartbeat round, and later reports that a majority has acknowledged that round.
Then there was no newer leader when the round started, so at the token's time nothing newer was committed.
"""

from typing import TYPE_CHECKING, Final, NamedTuple

from ashlift.configstore.messages import AppendRequest

if TYPE_CHECKING:
    from ashlift.configstore.replica import Replica

MAX_TOKENS: Final = 32  # bound on the remembered tokens, and on the remembered echoes
TOKEN_BITS: Final = 30


class ClockEcho(NamedTuple):
    """A token echoed by the leader, with the round that echoed it and the leader's commit index then."""

    heartbeat_round: int
    clock_token: int
    commit_index: int


class FreshnessLease:
    """Renews `CommittedState.freshness_confirmed_at`.

    Tokens are valid for the life of the process, echoes within one term.
    """

    def __init__(self, replica: "Replica") -> None:
        self.replica = replica
        self._last_token = replica.random.getrandbits(TOKEN_BITS)
        self._issued_at: dict[int, float] = {}
        self._echoes: list[ClockEcho] = []

    def issue_clock_token(self) -> int:
        """Issue a token that stands for the current time."""
        self._last_token += 1
        self._issued_at[self._last_token] = self.replica.now
        while len(self._issued_at) > MAX_TOKENS:
            del self._issued_at[next(iter(self._issued_at))]
        return self._last_token

    def renew(self, request: AppendRequest) -> None:
        """Confirm freshness for each echo whose round is confirmed and whose commit index is held locally."""
        newest = ClockEcho(request.heartbeat_round, request.echoed_clock_token, request.commit_index)
        self._echoes = [*self._echoes[-MAX_TOKENS:], newest]
        for echo in self._echoes:
            is_confirmed = echo.heartbeat_round <= request.confirmed_round
            if is_confirmed and self._holds_commit(echo) and echo.clock_token in self._issued_at:
                self.replica.confirm_freshness(self._issued_at[echo.clock_token])
        self._echoes = [echo for echo in self._echoes if echo.heartbeat_round > request.confirmed_round]

    def _holds_commit(self, echo: ClockEcho) -> bool:
        """Whether the index that the leader had committed when it echoed the token is committed locally."""
        commit = (self.replica.vote.term, echo.commit_index)
        return echo.commit_index != 0 and self.replica.committed_state.term_index >= commit

    def clear_echoes(self) -> None:
        """Discard the echoes of an ended term."""
        self._echoes = []
