"""A member while it leads one term: rounds, the one proposal under way, restoring, joining, handing over."""

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from attrs import define

from ashlift.configstore import events, membership
from ashlift.configstore.catch_up import CatchUp, ReplicaProgress
from ashlift.configstore.membership import (
    LEARNER_PREFIX,
    REPLACE_VOTER_AFTER_SECONDS,
    VOTER_PREFIX,
    MembershipCommand,
    ReplicaView,
    addresses_under,
    membership_entry,
    next_membership_change,
    quorum,
    removal_refusal,
)
from ashlift.configstore.messages import (
    BEHIND,
    CALL_TIMEOUT_SECONDS,
    EARLY_S,
    HEARTBEAT_INTERVAL_SECONDS,
    HEARTBEAT_ROUND_RETENTION_SECONDS,
    LEADERSHIP_TRANSFER_SECONDS,
    LEARNER,
    MAX_QUEUED_COMMANDS,
    OLD,
    PROMOTE,
    QUORUM_CONTACT_TIMEOUT_SECONDS,
    YES,
    FencingToken,
    Proposal,
    ReadOnlyResult,
    Snapshot,
)
from ashlift.configstore.replica_state import ReplicaState, pack
from ashlift.errors import Failure, FailureReason

CommandHandler = Callable[[Mapping[str, Any], Any], Proposal | ReadOnlyResult]
LEARNER_S = 3.0  # a learner that has not asked again, nor answered, for so long is not called any more
CLOSE = 2  # changes that one may be behind to be up to date, while they go on
AGAIN_S = 1.0  # a leader that leaves and leads still names a successor again


@define
class PeerState:
    """What the leader knows of another process, in this term."""

    progress: ReplicaProgress
    acknowledged_round: int = 0  # newest round that it answered
    heard_at: float = float("-inf")  # when the newest answered call was sent
    match_index: int = 0  # newest index that it holds durably
    clock_token: int = 0  # its newest steady time, as it named it
    learning: tuple[int, int] | None = None  # (incarnation, index to be committed before it votes)
    join_requested_at: float = float("-inf")  # when it last asked to join
    incarnation: int = 0  # the incarnation that it named then


class Leader:
    """Begun once a majority voted. `decide(map, order)` is pure."""

    def __init__(self, seat: ReplicaState, decide: CommandHandler) -> None:
        self.replica, self.command_handler = seat, decide
        self.term = seat.vote.term
        self.proposed: Snapshot = seat.snapshot  # newest proposed map; `seat.state` once it is kept here
        self._roles: tuple[Snapshot | None, tuple[list[str], list[str]]] = (None, ([], []))
        self.commit_index = 0  # newest committed index of this term
        self.peers: dict[str, PeerState] = {}
        self.catch_up = CatchUp(seat.change_log)
        self._first = seat.term_index  # what each holds, unless it says another
        self.heartbeat_round = self.confirmed_round = 0
        self.round_started_at: dict[int, float] = {}
        self.next_heartbeat_at = seat.now
        self.proposal_in_flight: tuple[Any, Any] | None = None  # (ref, answer) of the one proposal
        self.queue: deque[tuple[Any, Any, FencingToken | None]] = deque()
        self.pending_reads: list[
            tuple[int, Any, Any]
        ] = []  # (round to be confirmed, ref, answer; None: the map)
        self.transfer_deadline: float | None = None
        self.transferred = False
        self.elected_at = seat.now
        self.transferred_at = seat.now
        self.last_removal_refusal = ""  # why a leaving voter stays, as it was told last

    def begin(self) -> None:
        """Commit the accepted map again, under this term."""
        self.replica.log_event(events.LEADER_ELECTED, term=self.term, voters=len(self._members()))
        self._propose({}, [], None, None)

    # ---- what comes
    def tick(self) -> None:
        now = self.replica.now
        heard = sorted((max(self._heard_at(ip), self.elected_at) for ip in self._members()), reverse=True)
        if heard[quorum(len(heard)) - 1] < now - QUORUM_CONTACT_TIMEOUT_SECONDS:
            return self.replica.step_down("no majority heard")
        if self.transferred and self.transfer_deadline is None and now - self.transferred_at >= AGAIN_S:
            self.transferred = False  # its successor did not come to lead: on as before
        if (
            self.transfer_deadline is not None
            and not self.transferred
            and (now >= self.transfer_deadline or not self.proposal_in_flight)
        ):
            self._hand()
        if now >= self.next_heartbeat_at:
            self._round()

    def submit(self, ref: Any, order: Any, fence: FencingToken | None = None) -> None:
        if self.transfer_deadline is not None or len(self.queue) >= MAX_QUEUED_COMMANDS:
            return self.replica.reply(ref, Failure(FailureReason.UNAVAILABLE, "full or leaving"))
        self.queue.append((ref, order, fence))
        self._advance()

    def read(self, ref: Any) -> None:
        self.pending_reads.append((self.heartbeat_round + 1, ref, None))
        self._round()

    def learn(self, ip: str, life: int) -> None:
        """A process asks to join, that is no voter as far as it knows."""
        known = self._peer(ip)
        known.join_requested_at, known.incarnation = self.replica.now, life
        if self.replica._after_persist is None:
            self._advance()

    def leave(self) -> None:
        self.transfer_deadline = self.replica.now + LEADERSHIP_TRANSFER_SECONDS / 2
        self._drop_queue()
        if not self.proposal_in_flight:
            self._hand()

    def end(self) -> None:
        """Lead no longer: what was sent is in doubt, what was not begun may come again."""
        if self.proposal_in_flight:
            self.replica.reply(
                self.proposal_in_flight[0], Failure(FailureReason.OUTCOME_UNKNOWN, "lost the lead")
            )
        for _, ref, _ in self.pending_reads:
            self.replica.reply(ref, Failure(FailureReason.UNAVAILABLE, "lost the lead"))
        self.pending_reads.clear()
        self._drop_queue()

    def _drop_queue(self) -> None:
        while self.queue:
            self.replica.reply(self.queue.popleft()[0], Failure(FailureReason.UNAVAILABLE, "lost the lead"))

    def answered(self, ip: str, sent_at: float, context: Any, body: Any) -> None:
        """An answer to `append`."""
        term, round_, index, payload = context
        if term != self.term:
            return
        peer = self._peer(ip)
        lost = isinstance(body, Failure) or self.replica.now - sent_at >= CALL_TIMEOUT_SECONDS
        if payload is not None:
            unsent = isinstance(body, Failure) and body.reason == FailureReason.UNREACHABLE
            peer.progress.payload_answered(payload and not unsent, not lost)
        if lost:
            return
        theirs, code, token, *more = body
        if code == OLD or theirs > self.term:
            if (
                membership_entry(self.proposed.entries.map, ip) is not None
            ):  # whoever was taken off disturbs nobody
                self.replica.observe_higher_term(theirs)
            return
        newest = round_ >= peer.acknowledged_round
        if newest:
            peer.clock_token = token
        peer.acknowledged_round, peer.heard_at = (
            max(peer.acknowledged_round, round_),
            max(peer.heard_at, sent_at),
        )
        incarnation, holds, digests, *told = [0, code == YES, None]
        if code == LEARNER:
            incarnation, holds, digests, *told = more
        elif code == BEHIND:
            digests, *told = more
        if newest:
            named = told and told[0][1] > 0  # index 0 is of one that has nothing, and of the seeds at first
            peer.progress.acknowledge((self.term, index) if holds else (*told[0],) if named else None)
        if code == LEARNER:
            self._learner(ip, peer, incarnation)
        else:
            peer.learning = None
            peer.match_index = max(peer.match_index, index) if holds else peer.match_index
            peer.incarnation = more[0] if holds and more else peer.incarnation
        if newest:
            self._mend(ip, peer, digests)
        self._confirm()
        if self.replica._after_persist is None:
            self._count()
        if self.replica._after_persist is None:
            self._advance()

    # ---- rounds
    def _members(self) -> list[str]:
        return self._named()[0]

    def _learners(self) -> list[str]:
        return self._named()[1]

    def _named(self) -> tuple[list[str], list[str]]:
        """Voters and learners of the newest proposed map."""
        if self._roles[0] is not self.proposed:
            map = self.proposed.entries.map
            self._roles = (
                self.proposed,
                (addresses_under(map, VOTER_PREFIX), addresses_under(map, LEARNER_PREFIX)),
            )
        return self._roles[1]

    def _peer(self, ip: str) -> PeerState:
        peer = self.peers.get(ip)
        if peer is None:
            peer = self.peers[ip] = PeerState(ReplicaProgress(self._first))
        return peer

    def _targets(self) -> list[str]:
        late = self.replica.now - LEARNER_S
        learners = [ip for ip in self._learners() if self._spoke(ip) > late]
        return [ip for ip in [*self._members(), *learners] if ip != self.replica.ip]

    def _spoke(self, ip: str) -> float:
        """When it last said anything, learner or not; in this term at the earliest."""
        peer = self._peer(ip)
        return max(peer.heard_at, peer.join_requested_at, self.elected_at)

    def _round(self) -> None:
        """Begin a round of heartbeats, each with what the other lacks."""
        now = self.replica.now
        self.heartbeat_round += 1
        self.round_started_at[self.heartbeat_round] = now
        early, lasts = EARLY_S
        self.next_heartbeat_at = now + (
            early if now < self.elected_at + lasts else HEARTBEAT_INTERVAL_SECONDS
        )
        for ip in self._targets():
            peer = self._peer(ip)
            level = peer.progress.payload_in_flight or peer.progress.held == self.proposed.term_index
            self._append(
                ip, peer, None if level else self.catch_up.next_payload(peer.progress, self.proposed)
            )
        self._confirm()

    def _append(self, ip: str, peer: PeerState, payload: bytes | bool | None) -> None:
        """`payload`: True: its digests are asked for; None: it lacks nothing, or something is on its way."""
        index = self.proposed.term_index[1]
        sent = None if payload is None else payload is not True
        peer.progress.payload_in_flight = peer.progress.payload_in_flight or payload is not None
        body = [
            self.term,
            self.replica.ip,
            self.heartbeat_round,
            index,
            self.commit_index,
            peer.clock_token,
            self.confirmed_round,
            payload,
        ]
        self.replica.send(ip, "append", body, (self.term, self.heartbeat_round, index, sent))

    def _confirm(self) -> None:
        """The newest round that a majority of those who count has answered."""
        answered = sorted((self._answered_round(ip) for ip in self._members()), reverse=True)
        newest = answered[quorum(len(answered)) - 1]
        if newest > self.confirmed_round:
            self.confirmed_round = newest
            known = self.replica.now - HEARTBEAT_ROUND_RETENTION_SECONDS
            for old in [
                number for number, at in self.round_started_at.items() if number < newest and at < known
            ]:
                del self.round_started_at[old]
        if not self.commit_index or not self.confirmed_round:
            return
        self.replica.confirm_freshness(self.round_started_at[self.confirmed_round])
        ready = [one for one in self.pending_reads if one[0] <= self.confirmed_round]
        if ready:
            self.pending_reads = [one for one in self.pending_reads if one[0] > self.confirmed_round]
            for _, ref, answer in ready:
                done = (
                    self.replica.committed_state.snapshot
                    if answer is None
                    else {**answer, "index": self.commit_index}
                )
                self.replica.reply(ref, done)

    def _heard_at(self, ip: str) -> float:
        if ip == self.replica.ip:
            return self.replica.now
        peer = self._peer(ip)
        return float("-inf") if peer.learning else peer.heard_at

    def _answered_round(self, ip: str) -> int:
        if ip == self.replica.ip:
            return self.heartbeat_round
        peer = self._peer(ip)
        return 0 if peer.learning else peer.acknowledged_round

    # ---- proposals
    def _advance(self) -> None:
        """Begin what waits: one proposal at a time, none before this term's first is committed."""
        ask = False
        while not self.proposal_in_flight and self.commit_index and not self.transferred:
            change = self._change_of_members()
            if change is not None:
                return self._propose(change.updates, change.deletions, None, None)
            if self.transferred or not self.queue:
                break
            ref, order, fence = self.queue.popleft()
            map = self.proposed.entries.map
            if isinstance(order, MembershipCommand):
                outcome = membership.decide(map, order, self.replica_views(), self.replica.tolerated_failures)
            else:
                outcome = self.command_handler(map, order)
            if fence is not None and self._late(fence, outcome):
                self.replica.reply(ref, Failure(FailureReason.EXPIRED, "its caller may have gone"))
                continue
            if isinstance(outcome, Proposal):
                return self._propose(outcome.updates, outcome.deletions, ref, outcome.response)
            self.pending_reads.append((self.heartbeat_round + 1, ref, outcome.response))
            ask = True
        if ask:
            self._round()

    def _late(self, fence: FencingToken, outcome: Proposal | ReadOnlyResult) -> bool:
        """Whether the order may have been on its way for longer than its caller waits, or is void.

        A round began before anybody could know of it, so the order is at most as old as that.
        """
        began = self.round_started_at.get(fence.heartbeat_round) if fence.term == self.term else None
        if began is None or self.replica.now - began >= fence.remaining_seconds:
            return True
        keys = outcome.unconditional_keys if isinstance(outcome, Proposal) else ()
        return any(
            self.replica.committed_state.may_have_changed_since(key, fence.known_index) for key in keys
        )

    def replica_views(self) -> dict[str, ReplicaView]:
        """Of every voter and learner, as seen from here."""
        now, newest = self.replica.now, self.proposed.term_index
        found = {self.replica.ip: ReplicaView(0.0, self.replica.term_index == newest)}
        for ip in [*self._members(), *self._learners()]:
            peer = self._peer(ip)
            if ip != self.replica.ip:
                level = peer.learning is None and peer.match_index + CLOSE >= newest[1]
                able = level and peer.heard_at > now - QUORUM_CONTACT_TIMEOUT_SECONDS
                found[ip] = ReplicaView(now - self._spoke(ip), able, peer.incarnation if able else None)
        return found

    def membership_table(self) -> list[dict[str, Any]]:
        """Voters and learners: how far each is behind, and why a voter may not be taken off (`stays`)."""
        map, now, views, tolerated = (
            self.proposed.entries.map,
            self.replica.now,
            self.replica_views(),
            self.replica.tolerated_failures,
        )
        rows = []
        for ip in [*self._members(), *self._learners()]:
            told, peer, mine = membership_entry(map, ip) or {}, self._peer(ip), ip == self.replica.ip
            voter = VOTER_PREFIX + ip in map
            do = told.get("leaving", membership.REMOVE)
            rows.append(
                {
                    "ip": ip,
                    "role": "voter" if voter else "held learner" if told.get("held") else "learner",
                    "leaving": told.get("leaving"),
                    "life": told.get("life"),
                    "leads": mine,
                    "behind": 0 if mine else max(0, self.proposed.term_index[1] - peer.match_index),
                    "unheard": 0.0 if mine else round(now - self._spoke(ip), 1),
                    "counts": voter and (mine or peer.learning is None),
                    "stays": removal_refusal(map, ip, views, tolerated, do) if voter else None,
                }
            )
        return rows

    def _change_of_members(self) -> Proposal | None:
        """The next one, if any. A leader that leaves hands over instead: its successor takes it off."""
        now, map, members = self.replica.now, self.proposed.entries.map, self._members()
        asked = {
            ip: one.incarnation for ip, one in self.peers.items() if one.join_requested_at > now - LEARNER_S
        }
        lost = any(
            self._spoke(ip) <= now - REPLACE_VOTER_AFTER_SECONDS for ip in members if ip != self.replica.ip
        )
        goes = [ip for ip in members if map[VOTER_PREFIX + ip].get("leaving")]
        lives = {
            ip: peer.learning[0]
            for ip, peer in self.peers.items()
            if peer.learning
            and (told := membership_entry(map, ip)) is not None
            and told.get("life") != peer.learning[0]
        }
        if lives:
            return self._name(lives)
        if not (lost or goes or asked or self._learners()):
            return None
        views, tolerated = self.replica_views(), self.replica.tolerated_failures
        change = next_membership_change(map, self.replica.ip, asked, views, tolerated)
        if change is not None:
            self._tell_change(change)
        elif self.replica.ip in goes and any(
            views[ip].is_up_to_date for ip in members if ip != self.replica.ip
        ):
            self._hand()
        elif goes:
            why = (
                removal_refusal(map, goes[0], views, tolerated, map[VOTER_PREFIX + goes[0]]["leaving"]) or ""
            )
            if why != self.last_removal_refusal:
                self.last_removal_refusal = why
                self.replica.log_event(events.VOTER_REMOVAL_DELAYED, ip=goes[0], reason=why)
        return change

    def _name(self, lives: dict[str, int]) -> Proposal:
        """What was learning from the start counts with these disks from now on, once it holds this."""
        map, index, set = self.proposed.entries.map, self.proposed.term_index[1] + 1, {}
        for ip, life in lives.items():
            self._peer(ip).learning = (life, index)
            key = VOTER_PREFIX + ip if VOTER_PREFIX + ip in map else LEARNER_PREFIX + ip
            set[key] = {**map[key], "life": life}
        return Proposal(set, [], None)

    def _tell_change(self, change: Proposal) -> None:
        for key in change.updates:
            if key.startswith(VOTER_PREFIX):
                self.replica.log_event(events.VOTER_ADDED, ip=key.removeprefix(VOTER_PREFIX))
            else:
                self.replica.log_event(events.LEARNER_ADDED, ip=key.removeprefix(LEARNER_PREFIX))
        for key in change.deletions:
            if key.startswith(VOTER_PREFIX):
                ip = key.removeprefix(VOTER_PREFIX)
                self.replica.log_event(events.VOTER_REMOVED, ip=ip, voters=len(self._members()) - 1)

    def _propose(self, set: dict[str, Any], gone: list[str], ref: Any, answer: Any) -> None:
        old = self.proposed
        new = Snapshot((self.term, old.term_index[1] + 1), old.entries.with_changes(set, gone))
        self.proposed, self.proposal_in_flight = new, (ref, answer)
        self.replica.change_log.record(new.term_index, new.entries)
        self._round()
        self.replica.persist(None, new, self._proposed)

    def _proposed(self, ok: bool) -> None:
        if not ok:
            return self.replica.step_down("the disk refused")
        self._count()

    def _count(self) -> None:
        """Commit the proposal under way once a majority holds it durably."""
        index = self.proposed.term_index[1]
        if not self.proposal_in_flight or self.commit_index == index:
            return
        members = self._members()
        if sum(self._holds(ip, index) for ip in members) < quorum(len(members)):
            return
        (ref, answer), self.proposal_in_flight = self.proposal_in_flight, None
        self.commit_index = index
        self.replica.advance_committed(self.proposed)
        self.replica.reply(ref, {**(answer or {}), "index": index})
        self.replica.log_event(events.CHANGE_COMMITTED, term=self.term, index=index)
        self._round()  # those who hold it learn at once that it counts
        if self.transfer_deadline is not None and not self.transferred:
            return self._hand()
        self._advance()

    def _holds(self, ip: str, index: int) -> bool:
        if ip == self.replica.ip:
            return self.replica.term_index == self.proposed.term_index
        peer = self._peer(ip)
        return peer.learning is None and peer.match_index >= index

    # ---- restoring and repair
    def _mend(self, ip: str, peer: PeerState, digests: bytes | None) -> None:
        """Send at once what is known to be lacking."""
        if not peer.progress.payload_in_flight and peer.progress.held != self.proposed.term_index:
            payload = self.catch_up.next_payload(peer.progress, self.proposed, digests)
            if payload is not True:
                self._append(ip, peer, payload)

    def _learner(self, ip: str, peer: PeerState, incarnation: int) -> None:
        """It votes again once it holds what was committed without it after that life was heard of."""
        newest = self.proposed.term_index[1]
        if peer.learning is None or peer.learning[0] != incarnation:
            peer.learning, peer.match_index = (incarnation, newest + 1), 0
            peer.progress.reset()
            self.replica.log_event(events.LEARNER_RESTORING, ip=ip, index=newest)
        term, index = peer.progress.held or (0, 0)
        told = membership_entry(self.proposed.entries.map, ip)
        if (
            term != self.term
            or peer.progress.payload_in_flight
            or told is None
            or told.get("life") != incarnation
        ):
            return  # `_change_of_members` names its disk first
        if peer.learning[1] <= index <= self.commit_index:
            held = [] if index == newest else [term, index]
            self._append(ip, peer, pack([PROMOTE, incarnation, *held]))
        elif index == newest == self.commit_index and not self.proposal_in_flight and not self.transferred:
            self._propose({}, [], None, None)

    # ---- handing over
    def _hand(self) -> None:
        self.transferred, self.transferred_at = True, self.replica.now
        fresh = self.replica.now - QUORUM_CONTACT_TIMEOUT_SECONDS
        able = [
            (peer.match_index, peer.acknowledged_round, ip)
            for ip in self._members()
            if ip != self.replica.ip and (peer := self._peer(ip)).learning is None and peer.heard_at > fresh
        ]
        if able:
            successor = max(able)[2]
            self.replica.log_event(events.LEADERSHIP_TRANSFERRED, successor=successor, term=self.term)
            self.replica.send(successor, "succeed", [self.term], None)
