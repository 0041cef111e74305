"""How a follower knows, without comparing clocks, at what time its committed map was the newest of all.

Each response to the leader carries a token that stands for the follower's time. The leader echoes the newest
one in its next round, and says later that a majority has answered that round. Then there was no newer leader
when the round began, so nothing newer was committed at the follower's time that the token stands for.
"""

from typing import TYPE_CHECKING, Final, NamedTuple

from ashlift.configstore.messages import AppendRequest

if TYPE_CHECKING:
    from ashlift.configstore.replica import Replica

MAX_TOKENS: Final = 32  # tokens, and echoes of them, that are remembered
TOKEN_BITS: Final = 30


class ClockEcho(NamedTuple):
    """A token that the leader echoed, the round it did so in, and its commit index then."""

    heartbeat_round: int
    clock_token: int
    commit_index: int


class FreshnessLease:
    """Renews `CommittedState.freshness_confirmed_at`. Tokens are of this process; echoes of one term."""

    def __init__(self, replica: "Replica") -> None:
        self.replica = replica
        self._last_token = replica.random.getrandbits(TOKEN_BITS)
        self._issued_at: dict[int, float] = {}
        self._echoes: list[ClockEcho] = []

    def issue_clock_token(self) -> int:
        """A token that stands for the time now."""
        self._last_token += 1
        self._issued_at[self._last_token] = self.replica.now
        while len(self._issued_at) > MAX_TOKENS:
            del self._issued_at[next(iter(self._issued_at))]
        return self._last_token

    def renew(self, request: AppendRequest) -> None:
        """Confirm freshness by all echoes whose rounds are confirmed, once their commit is held here."""
        newest = ClockEcho(request.heartbeat_round, request.echoed_clock_token, request.commit_index)
        self._echoes = [*self._echoes[-MAX_TOKENS:], newest]
        for echo in self._echoes:
            is_confirmed = echo.heartbeat_round <= request.confirmed_round
            if is_confirmed and self._holds_commit(echo) and echo.clock_token in self._issued_at:
                self.replica.confirm_freshness(self._issued_at[echo.clock_token])
        self._echoes = [echo for echo in self._echoes if echo.heartbeat_round > request.confirmed_round]

    def _holds_commit(self, echo: ClockEcho) -> bool:
        """Whether what the leader had committed when it echoed the token is known to be committed here."""
        commit = (self.replica.vote.term, echo.commit_index)
        return echo.commit_index != 0 and self.replica.committed_state.term_index >= commit

    def forget_echoes(self) -> None:
        """The term has ended."""
        self._echoes = []
