"""Numbered heartbeat rounds, and the reads that wait for one to be confirmed (raft's ReadIndex).

A round is confirmed once a majority has answered it, or a later one: so at its beginning there was no leader
of a higher term. What was asked for before a round began is linearizable once that round is confirmed.
"""

from typing import TYPE_CHECKING, Any, NamedTuple

from ashlift.configstore.membership import quorum
from ashlift.configstore.proposals import FencingToken
from ashlift.configstore.timing import (
    EARLY_HEARTBEAT_INTERVAL_SECONDS,
    EARLY_HEARTBEAT_PERIOD_SECONDS,
    HEARTBEAT_INTERVAL_SECONDS,
    HEARTBEAT_ROUND_RETENTION_SECONDS,
)
from ashlift.errors import Failure, FailureReason

if TYPE_CHECKING:
    from ashlift.configstore.leader import Leader


class PendingRead(NamedTuple):
    """Answered once `heartbeat_round` is confirmed. `response` None: with the committed snapshot."""

    heartbeat_round: int
    reply_to: Any
    response: Any


class HeartbeatRounds:
    """The rounds of one term. Times are seconds of the leader's clock."""

    def __init__(self, leader: "Leader") -> None:
        self.leader = leader
        self.newest = 0
        self.confirmed = 0
        self.started_at: dict[int, float] = {}
        self.next_at = leader.replica.now
        self.pending_reads: list[PendingRead] = []

    def begin(self) -> None:
        """Send a round of heartbeats, each with what its receiver lacks."""
        now = self.leader.replica.now
        self.newest += 1
        self.started_at[self.newest] = now
        is_early = now < self.leader.elected_at + EARLY_HEARTBEAT_PERIOD_SECONDS
        self.next_at = now + (EARLY_HEARTBEAT_INTERVAL_SECONDS if is_early else HEARTBEAT_INTERVAL_SECONDS)
        self.leader.replication.send_heartbeats()
        self.confirm()

    def confirm(self) -> None:
        """Note the newest round that a majority has answered, and answer the reads that waited for it."""
        acknowledged = [self.leader.peers.acknowledged_round(ip) for ip in self.leader.peers.voters()]
        acknowledged.sort(reverse=True)
        newest = acknowledged[quorum(len(acknowledged)) - 1]
        if newest > self.confirmed:
            self.confirmed = newest
            self._forget_rounds_before(newest)
        if not self.leader.commit_index or not self.confirmed:
            return
        self.leader.replica.confirm_freshness(self.started_at[self.confirmed])
        self._answer_confirmed_reads()

    def _forget_rounds_before(self, confirmed: int) -> None:
        """Rounds that began lately are kept: fencing tokens name them."""
        earliest = self.leader.replica.now - HEARTBEAT_ROUND_RETENTION_SECONDS
        forgotten = [
            number
            for number, started_at in self.started_at.items()
            if number < confirmed and started_at < earliest
        ]
        for number in forgotten:
            del self.started_at[number]

    def _answer_confirmed_reads(self) -> None:
        confirmed = [read for read in self.pending_reads if read.heartbeat_round <= self.confirmed]
        if not confirmed:
            return
        self.pending_reads = [read for read in self.pending_reads if read.heartbeat_round > self.confirmed]
        replica = self.leader.replica
        for read in confirmed:
            if read.response is None:
                replica.reply(read.reply_to, replica.committed_state.snapshot)
            else:
                replica.reply(read.reply_to, {**read.response, "index": self.leader.commit_index})

    def read(self, reply_to: Any) -> None:
        """Answer with the committed snapshot, once a round that begins now is confirmed."""
        self.reply_after_next_round(reply_to, None)
        self.begin()

    def reply_after_next_round(self, reply_to: Any, response: Any) -> None:
        """Answer once a round is confirmed that has not begun yet; the caller begins it."""
        self.pending_reads.append(PendingRead(self.newest + 1, reply_to, response))

    def started_seconds_ago(self, token: FencingToken) -> float | None:
        """The age of the token's round; None: it is of another leader, or too old to be known.

        A round begins before anybody can know of it, so what names it is at most as old.
        """
        if token.term != self.leader.term:
            return None
        started_at = self.started_at.get(token.heartbeat_round)
        return None if started_at is None else self.leader.replica.now - started_at

    def fail_pending_reads(self) -> None:
        """The term has ended: nothing was read."""
        for read in self.pending_reads:
            self.leader.replica.reply(read.reply_to, Failure(FailureReason.UNAVAILABLE, "lost the lead"))
        self.pending_reads.clear()
