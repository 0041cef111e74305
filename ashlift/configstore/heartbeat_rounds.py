"""Numbered heartbeat rounds, and the reads that wait for one to be confirmed (raft's ReadIndex).

A round is confirmed once a majority has acknowledged it or a later one, which proves that no leader of a
higher term existed when the round started. A read that was requested before a round started is linearizable
once that round is confirmed.
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
    """A read to answer once `heartbeat_round` is confirmed. `response` None: with the committed snapshot."""

    heartbeat_round: int
    reply_to: Any
    response: Any


class HeartbeatRounds:
    """The heartbeat rounds of one term. Times are seconds of the leader's clock."""

    def __init__(self, leader: "Leader") -> None:
        self.leader = leader
        self.newest = 0
        self.confirmed = 0
        self.started_at: dict[int, float] = {}
        self.next_at = leader.replica.now
        self.pending_reads: list[PendingRead] = []

    def start_round(self) -> None:
        """Send a round of heartbeats, each with the changes that its receiver lacks."""
        now = self.leader.replica.now
        self.newest += 1
        self.started_at[self.newest] = now
        is_early = now < self.leader.elected_at + EARLY_HEARTBEAT_PERIOD_SECONDS
        self.next_at = now + (EARLY_HEARTBEAT_INTERVAL_SECONDS if is_early else HEARTBEAT_INTERVAL_SECONDS)
        self.leader.replication.send_heartbeats()
        self.confirm()

    def confirm(self) -> None:
        """Update the newest round acknowledged by a majority, and answer the reads that waited for it."""
        acknowledged = [self.leader.peers.acknowledged_round(ip) for ip in self.leader.peers.voters()]
        acknowledged.sort(reverse=True)
        newest = acknowledged[quorum(len(acknowledged)) - 1]
        if newest > self.confirmed:
            self.confirmed = newest
            self._discard_rounds_before(newest)
        if not self.leader.commit_index or not self.confirmed:
            return
        self.leader.replica.confirm_freshness(self.started_at[self.confirmed])
        self._reply_to_confirmed_reads()

    def _discard_rounds_before(self, confirmed: int) -> None:
        """Discard old rounds. Recent ones are kept because fencing tokens refer to them."""
        earliest = self.leader.replica.now - HEARTBEAT_ROUND_RETENTION_SECONDS
        forgotten = [
            number
            for number, started_at in self.started_at.items()
            if number < confirmed and started_at < earliest
        ]
        for number in forgotten:
            del self.started_at[number]

    def _reply_to_confirmed_reads(self) -> None:
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
        """Start a round and reply with the committed snapshot once it is confirmed."""
        self.reply_after_next_round(reply_to, None)
        self.start_round()

    def reply_after_next_round(self, reply_to: Any, response: Any) -> None:
        """Reply once the next round is confirmed. The caller starts that round."""
        self.pending_reads.append(PendingRead(self.newest + 1, reply_to, response))

    def round_age_seconds(self, token: FencingToken) -> float | None:
        """The age of the token's round; None if it is of another term or no longer known.

        A token can only be issued after its round has started, so it is at most this old.
        """
        if token.term != self.leader.term:
            return None
        started_at = self.started_at.get(token.heartbeat_round)
        return None if started_at is None else self.leader.replica.now - started_at

    def fail_pending_reads(self) -> None:
        """Fail all pending reads because the leadership has ended."""
        for read in self.pending_reads:
            self.leader.replica.reply(read.reply_to, Failure(FailureReason.UNAVAILABLE, "lost the lead"))
        self.pending_reads.clear()
