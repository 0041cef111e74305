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

    copy: ReplicaProgress
    round: int = 0  # newest round that it answered
    heard_at: float = float("-inf")  # when the newest answered call was sent
    match: int = 0  # newest index that it holds durably
    token: int = 0  # its newest steady time, as it named it
    learning: tuple[int, int] | None = None  # (incarnation, index to be committed before it votes)
    learner_at: float = float("-inf")  # when it last asked to join
    life: int = 0  # the incarnation that it named then


class Leader:
    """Begun once a majority voted. `decide(map, order)` is pure."""

    def __init__(self, seat: ReplicaState, decide: CommandHandler) -> None:
        self.seat, self.decide = seat, decide
        self.term = seat.vote.term
        self.naming: Snapshot = seat.state  # newest proposed map; `seat.state` once it is kept here
        self._roles: tuple[Snapshot | None, tuple[list[str], list[str]]] = (None, ([], []))
        self.commit = 0  # newest committed index of this term
        self.peers: dict[str, PeerState] = {}
        self.mending = CatchUp(seat.changes)
        self._first = seat.term_index  # what each holds, unless it says another
        self.round = self.confirmed = 0
        self.round_at: dict[int, float] = {}
        self.next_beat = seat.now
        self.under_way: tuple[Any, Any] | None = None  # (ref, answer) of the one proposal
        self.queue: deque[tuple[Any, Any, FencingToken | None]] = deque()
        self.waiting: list[tuple[int, Any, Any]] = []  # (round to be confirmed, ref, answer; None: the map)
        self.leave_by: float | None = None
        self.handed = False
        self.since = seat.now
        self.handed_at = seat.now
        self.told = ""  # why a leaving voter stays, as it was told last

    def begin(self) -> None:
        """Commit the accepted map again, under this term."""
        self.seat.tell(events.LEADS, term=self.term, members=len(self._members()))
        self._propose({}, [], None, None)

    # ---- what comes
    def tick(self) -> None:
        now = self.seat.now
        heard = sorted((max(self._heard_at(ip), self.since) for ip in self._members()), reverse=True)
        if heard[quorum(len(heard)) - 1] < now - QUORUM_CONTACT_TIMEOUT_SECONDS:
            return self.seat.step_down("no majority heard")
        if self.handed and self.leave_by is None and now - self.handed_at >= AGAIN_S:
            self.handed = False  # its successor did not come to lead: on as before
        if self.leave_by is not None and not self.handed and (now >= self.leave_by or not self.under_way):
            self._hand()
        if now >= self.next_beat:
            self._round()

    def submit(self, ref: Any, order: Any, fence: FencingToken | None = None) -> None:
        if self.leave_by is not None or len(self.queue) >= MAX_QUEUED_COMMANDS:
            return self.seat.reply(ref, Failure(FailureReason.UNAVAILABLE, "full or leaving"))
        self.queue.append((ref, order, fence))
        self._advance()

    def read(self, ref: Any) -> None:
        self.waiting.append((self.round + 1, ref, None))
        self._round()

    def learn(self, ip: str, life: int) -> None:
        """A process asks to join, that is no voter as far as it knows."""
        known = self._peer(ip)
        known.learner_at, known.life = self.seat.now, life
        if self.seat.then is None:
            self._advance()

    def leave(self) -> None:
        self.leave_by = self.seat.now + LEADERSHIP_TRANSFER_SECONDS / 2
        self._drop_queue()
        if not self.under_way:
            self._hand()

    def end(self) -> None:
        """Lead no longer: what was sent is in doubt, what was not begun may come again."""
        if self.under_way:
            self.seat.reply(self.under_way[0], Failure(FailureReason.OUTCOME_UNKNOWN, "lost the lead"))
        for _, ref, _ in self.waiting:
            self.seat.reply(ref, Failure(FailureReason.UNAVAILABLE, "lost the lead"))
        self.waiting.clear()
        self._drop_queue()

    def _drop_queue(self) -> None:
        while self.queue:
            self.seat.reply(self.queue.popleft()[0], Failure(FailureReason.UNAVAILABLE, "lost the lead"))

    def answered(self, ip: str, sent_at: float, context: Any, body: Any) -> None:
        """An answer to `append`."""
        term, round_, index, payload = context
        if term != self.term:
            return
        peer = self._peer(ip)
        lost = isinstance(body, Failure) or self.seat.now - sent_at >= CALL_TIMEOUT_SECONDS
        if payload is not None:
            unsent = isinstance(body, Failure) and body.reason == FailureReason.UNREACHABLE
            peer.copy.came(payload and not unsent, not lost)
        if lost:
            return
        theirs, code, token, *more = body
        if code == OLD or theirs > self.term:
            if (
                membership_entry(self.naming.entries.map, ip) is not None
            ):  # whoever was taken off disturbs nobody
                self.seat.higher(theirs)
            return
        newest = round_ >= peer.round
        if newest:
            peer.token = token
        peer.round, peer.heard_at = max(peer.round, round_), max(peer.heard_at, sent_at)
        incarnation, holds, digests, *told = [0, code == YES, None]
        if code == LEARNER:
            incarnation, holds, digests, *told = more
        elif code == BEHIND:
            digests, *told = more
        if newest:
            named = told and told[0][1] > 0  # index 0 is of one that has nothing, and of the seeds at first
            peer.copy.stands((self.term, index) if holds else (*told[0],) if named else None)
        if code == LEARNER:
            self._learner(ip, peer, incarnation)
        else:
            peer.learning = None
            peer.match = max(peer.match, index) if holds else peer.match
            peer.life = more[0] if holds and more else peer.life
        if newest:
            self._mend(ip, peer, digests)
        self._confirm()
        if self.seat.then is None:
            self._count()
        if self.seat.then is None:
            self._advance()

    # ---- rounds
    def _members(self) -> list[str]:
        return self._named()[0]

    def _learners(self) -> list[str]:
        return self._named()[1]

    def _named(self) -> tuple[list[str], list[str]]:
        """Voters and learners of the newest proposed map."""
        if self._roles[0] is not self.naming:
            map = self.naming.entries.map
            self._roles = (
                self.naming,
                (addresses_under(map, VOTER_PREFIX), addresses_under(map, LEARNER_PREFIX)),
            )
        return self._roles[1]

    def _peer(self, ip: str) -> PeerState:
        peer = self.peers.get(ip)
        if peer is None:
            peer = self.peers[ip] = PeerState(ReplicaProgress(self._first))
        return peer

    def _targets(self) -> list[str]:
        late = self.seat.now - LEARNER_S
        learners = [ip for ip in self._learners() if self._spoke(ip) > late]
        return [ip for ip in [*self._members(), *learners] if ip != self.seat.me]

    def _spoke(self, ip: str) -> float:
        """When it last said anything, learner or not; in this term at the earliest."""
        peer = self._peer(ip)
        return max(peer.heard_at, peer.learner_at, self.since)

    def _round(self) -> None:
        """Begin a round of heartbeats, each with what the other lacks."""
        now = self.seat.now
        self.round += 1
        self.round_at[self.round] = now
        early, lasts = EARLY_S
        self.next_beat = now + (early if now < self.since + lasts else HEARTBEAT_INTERVAL_SECONDS)
        for ip in self._targets():
            peer = self._peer(ip)
            level = peer.copy.busy or peer.copy.held == self.naming.term_index
            self._append(ip, peer, None if level else self.mending.next(peer.copy, self.naming))
        self._confirm()

    def _append(self, ip: str, peer: PeerState, payload: bytes | bool | None) -> None:
        """`payload`: True: its digests are asked for; None: it lacks nothing, or something is on its way."""
        index = self.naming.term_index[1]
        sent = None if payload is None else payload is not True
        peer.copy.busy = peer.copy.busy or payload is not None
        body = [self.term, self.seat.me, self.round, index, self.commit, peer.token, self.confirmed, payload]
        self.seat.send(ip, "append", body, (self.term, self.round, index, sent))

    def _confirm(self) -> None:
        """The newest round that a majority of those who count has answered."""
        answered = sorted((self._answered_round(ip) for ip in self._members()), reverse=True)
        newest = answered[quorum(len(answered)) - 1]
        if newest > self.confirmed:
            self.confirmed = newest
            known = self.seat.now - HEARTBEAT_ROUND_RETENTION_SECONDS
            for old in [number for number, at in self.round_at.items() if number < newest and at < known]:
                del self.round_at[old]
        if not self.commit or not self.confirmed:
            return
        self.seat.proven(self.round_at[self.confirmed])
        ready = [one for one in self.waiting if one[0] <= self.confirmed]
        if ready:
            self.waiting = [one for one in self.waiting if one[0] > self.confirmed]
            for _, ref, answer in ready:
                done = self.seat.news.state if answer is None else {**answer, "index": self.commit}
                self.seat.reply(ref, done)

    def _heard_at(self, ip: str) -> float:
        if ip == self.seat.me:
            return self.seat.now
        peer = self._peer(ip)
        return float("-inf") if peer.learning else peer.heard_at

    def _answered_round(self, ip: str) -> int:
        if ip == self.seat.me:
            return self.round
        peer = self._peer(ip)
        return 0 if peer.learning else peer.round

    # ---- proposals
    def _advance(self) -> None:
        """Begin what waits: one proposal at a time, none before this term's first is committed."""
        ask = False
        while not self.under_way and self.commit and not self.handed:
            change = self._change_of_members()
            if change is not None:
                return self._propose(change.set, change.gone, None, None)
            if self.handed or not self.queue:
                break
            ref, order, fence = self.queue.popleft()
            map = self.naming.entries.map
            if isinstance(order, MembershipCommand):
                outcome = membership.decide(map, order, self.views(), self.seat.tolerated)
            else:
                outcome = self.decide(map, order)
            if fence is not None and self._late(fence, outcome):
                self.seat.reply(ref, Failure(FailureReason.EXPIRED, "its caller may have gone"))
                continue
            if isinstance(outcome, Proposal):
                return self._propose(outcome.set, outcome.gone, ref, outcome.answer)
            self.waiting.append((self.round + 1, ref, outcome.answer))
            ask = True
        if ask:
            self._round()

    def _late(self, fence: FencingToken, outcome: Proposal | ReadOnlyResult) -> bool:
        """Whether the order may have been on its way for longer than its caller waits, or is void.

        A round began before anybody could know of it, so the order is at most as old as that.
        """
        began = self.round_at.get(fence.round) if fence.term == self.term else None
        if began is None or self.seat.now - began >= fence.left:
            return True
        keys = outcome.unguarded if isinstance(outcome, Proposal) else ()
        return any(self.seat.news.touched(key, fence.known) for key in keys)

    def views(self) -> dict[str, ReplicaView]:
        """Of every voter and learner, as seen from here."""
        now, newest = self.seat.now, self.naming.term_index
        found = {self.seat.me: ReplicaView(0.0, self.seat.term_index == newest)}
        for ip in [*self._members(), *self._learners()]:
            peer = self._peer(ip)
            if ip != self.seat.me:
                level = peer.learning is None and peer.match + CLOSE >= newest[1]
                able = level and peer.heard_at > now - QUORUM_CONTACT_TIMEOUT_SECONDS
                found[ip] = ReplicaView(now - self._spoke(ip), able, peer.life if able else None)
        return found

    def table(self) -> list[dict[str, Any]]:
        """Voters and learners: how far each is behind, and why a voter may not be taken off (`stays`)."""
        map, now, views, tolerated = self.naming.entries.map, self.seat.now, self.views(), self.seat.tolerated
        rows = []
        for ip in [*self._members(), *self._learners()]:
            told, peer, mine = membership_entry(map, ip) or {}, self._peer(ip), ip == self.seat.me
            voter = VOTER_PREFIX + ip in map
            do = told.get("leaving", membership.REMOVE)
            rows.append(
                {
                    "ip": ip,
                    "role": "voter" if voter else "held learner" if told.get("held") else "learner",
                    "leaving": told.get("leaving"),
                    "life": told.get("life"),
                    "leads": mine,
                    "behind": 0 if mine else max(0, self.naming.term_index[1] - peer.match),
                    "unheard": 0.0 if mine else round(now - self._spoke(ip), 1),
                    "counts": voter and (mine or peer.learning is None),
                    "stays": removal_refusal(map, ip, views, tolerated, do) if voter else None,
                }
            )
        return rows

    def _change_of_members(self) -> Proposal | None:
        """The next one, if any. A leader that leaves hands over instead: its successor takes it off."""
        now, map, members = self.seat.now, self.naming.entries.map, self._members()
        asked = {ip: one.life for ip, one in self.peers.items() if one.learner_at > now - LEARNER_S}
        lost = any(
            self._spoke(ip) <= now - REPLACE_VOTER_AFTER_SECONDS for ip in members if ip != self.seat.me
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
        views, tolerated = self.views(), self.seat.tolerated
        change = next_membership_change(map, self.seat.me, asked, views, tolerated)
        if change is not None:
            self._tell_change(change)
        elif self.seat.me in goes and any(views[ip].able for ip in members if ip != self.seat.me):
            self._hand()
        elif goes:
            why = (
                removal_refusal(map, goes[0], views, tolerated, map[VOTER_PREFIX + goes[0]]["leaving"]) or ""
            )
            if why != self.told:
                self.told = why
                self.seat.tell(events.STAYS, ip=goes[0], why=why)
        return change

    def _name(self, lives: dict[str, int]) -> Proposal:
        """What was learning from the start counts with these disks from now on, once it holds this."""
        map, index, set = self.naming.entries.map, self.naming.term_index[1] + 1, {}
        for ip, life in lives.items():
            self._peer(ip).learning = (life, index)
            key = VOTER_PREFIX + ip if VOTER_PREFIX + ip in map else LEARNER_PREFIX + ip
            set[key] = {**map[key], "life": life}
        return Proposal(set, [], None)

    def _tell_change(self, change: Proposal) -> None:
        for key in change.set:
            if key.startswith(VOTER_PREFIX):
                self.seat.tell(events.VOTES, ip=key.removeprefix(VOTER_PREFIX))
            else:
                self.seat.tell(events.JOINED, ip=key.removeprefix(LEARNER_PREFIX))
        for key in change.gone:
            if key.startswith(VOTER_PREFIX):
                ip = key.removeprefix(VOTER_PREFIX)
                self.seat.tell(events.REMOVED, ip=ip, voters=len(self._members()) - 1)

    def _propose(self, set: dict[str, Any], gone: list[str], ref: Any, answer: Any) -> None:
        old = self.naming
        new = Snapshot((self.term, old.term_index[1] + 1), old.entries.changed(set, gone))
        self.naming, self.under_way = new, (ref, answer)
        self.seat.changes.advance(new.term_index, new.entries)
        self._round()
        self.seat.keep(None, new, self._proposed)

    def _proposed(self, ok: bool) -> None:
        if not ok:
            return self.seat.step_down("the disk refused")
        self._count()

    def _count(self) -> None:
        """Commit the proposal under way once a majority holds it durably."""
        index = self.naming.term_index[1]
        if not self.under_way or self.commit == index:
            return
        members = self._members()
        if sum(self._holds(ip, index) for ip in members) < quorum(len(members)):
            return
        (ref, answer), self.under_way = self.under_way, None
        self.commit = index
        self.seat.committed(self.naming)
        self.seat.reply(ref, {**(answer or {}), "index": index})
        self.seat.tell(events.COMMITTED, term=self.term, index=index)
        self._round()  # those who hold it learn at once that it counts
        if self.leave_by is not None and not self.handed:
            return self._hand()
        self._advance()

    def _holds(self, ip: str, index: int) -> bool:
        if ip == self.seat.me:
            return self.seat.term_index == self.naming.term_index
        peer = self._peer(ip)
        return peer.learning is None and peer.match >= index

    # ---- restoring and repair
    def _mend(self, ip: str, peer: PeerState, digests: bytes | None) -> None:
        """Send at once what is known to be lacking."""
        if not peer.copy.busy and peer.copy.held != self.naming.term_index:
            payload = self.mending.next(peer.copy, self.naming, digests)
            if payload is not True:
                self._append(ip, peer, payload)

    def _learner(self, ip: str, peer: PeerState, incarnation: int) -> None:
        """It votes again once it holds what was committed without it after that life was heard of."""
        newest = self.naming.term_index[1]
        if peer.learning is None or peer.learning[0] != incarnation:
            peer.learning, peer.match = (incarnation, newest + 1), 0
            peer.copy.anew()
            self.seat.tell(events.RESTORING, ip=ip, index=newest)
        term, index = peer.copy.held or (0, 0)
        told = membership_entry(self.naming.entries.map, ip)
        if term != self.term or peer.copy.busy or told is None or told.get("life") != incarnation:
            return  # `_change_of_members` names its disk first
        if peer.learning[1] <= index <= self.commit:
            held = [] if index == newest else [term, index]
            self._append(ip, peer, pack([PROMOTE, incarnation, *held]))
        elif index == newest == self.commit and not self.under_way and not self.handed:
            self._propose({}, [], None, None)

    # ---- handing over
    def _hand(self) -> None:
        self.handed, self.handed_at = True, self.seat.now
        fresh = self.seat.now - QUORUM_CONTACT_TIMEOUT_SECONDS
        able = [
            (peer.match, peer.round, ip)
            for ip in self._members()
            if ip != self.seat.me and (peer := self._peer(ip)).learning is None and peer.heard_at > fresh
        ]
        if able:
            successor = max(able)[2]
            self.seat.tell(events.HANDED_ON, ip=successor, term=self.term)
            self.seat.send(successor, "succeed", [self.term], None)
