"""A member while it leads one term: rounds, the one proposal under way, restoring, joining, handing over."""

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from attrs import define

from vise import events
from vise.interface import (
    BEHIND, CALL_S, CHUNK, DELTA, RANGES, EARLY_S, HANDING_S, HEARTBEAT_S, PROMOTE, LEARNER, OLD,
    UNHEARD_S, WAITING_MOST, YES, Settled, State, Work,
)  # fmt: skip
from vise.seat import MEMBERS, Seat, pack, quorum
from workbench.faults import UNANSWERED, UNREADY, Fault

Decide = Callable[[Mapping[str, Any], Any], Work | Settled]
LEARNER_S = 3.0  # a joining process that has not asked again, nor answered, for so long is forgotten


@define
class Peer:
    """What the leader knows of another process, in this term."""

    round: int = 0  # newest round that it answered
    heard_at: float = float("-inf")  # when the newest answered call was sent
    match: int = 0  # newest index that it holds durably
    token: int = 0  # its newest steady time, as it named it
    heavy: bool = False  # a payload is on its way
    chunk: int = CHUNK  # bytes of a payload, about: halved when one did not come through in time
    learning: tuple[int, int] | None = None  # (incarnation, index to be committed before it votes)
    learner_at: float = float("-inf")  # when it last asked to join


class Lead:
    """Begun once a majority voted. `decide(map, order)` is pure."""

    def __init__(self, seat: Seat, decide: Decide) -> None:
        self.seat, self.decide = seat, decide
        self.term = seat.vote.term
        self.naming: State = seat.state  # newest proposed map; `seat.state` once it is kept here
        self.commit = 0  # newest committed index of this term
        self.peers: dict[str, Peer] = {}
        self.round = self.confirmed = 0
        self.round_at: dict[int, float] = {}
        self.next_beat = seat.now
        self.under_way: tuple[Any, Any] | None = None  # (ref, answer) of the one proposal
        self.queue: deque[tuple[Any, Any]] = deque()
        self.waiting: list[tuple[int, Any, Any]] = []  # (round to be confirmed, ref, answer; None: the map)
        self.leave_by: float | None = None
        self.handed = False
        self.since = seat.now

    def begin(self) -> None:
        """Commit the accepted map again, under this term."""
        self.seat.tell(events.LEADS, term=self.term, members=len(self._members()))
        self._propose({}, [], None, None)

    # ---- what comes
    def tick(self) -> None:
        now = self.seat.now
        heard = sorted((max(self._heard_at(ip), self.since) for ip in self._members()), reverse=True)
        if heard[quorum(len(heard)) - 1] < now - UNHEARD_S:
            return self.seat.step_down("no majority heard")
        if self.leave_by is not None and not self.handed and (now >= self.leave_by or not self.under_way):
            self._hand()
        if now >= self.next_beat:
            self._round()

    def submit(self, ref: Any, order: Any) -> None:
        if self.leave_by is not None or len(self.queue) >= WAITING_MOST:
            return self.seat.reply(ref, Fault(UNREADY, "full or leaving"))
        self.queue.append((ref, order))
        self._advance()

    def read(self, ref: Any) -> None:
        self.waiting.append((self.round + 1, ref, None))
        self._round()

    def learn(self, ip: str) -> None:
        """A process asks to join."""
        known = self._peer(ip)
        if known.learner_at < self.seat.now - LEARNER_S and ip not in self._members():
            self.seat.tell(events.JOINED, ip=ip)
        known.learner_at = self.seat.now

    def leave(self) -> None:
        self.leave_by = self.seat.now + HANDING_S / 2
        self._drop_queue()
        if not self.under_way:
            self._hand()

    def end(self) -> None:
        """Lead no longer: what was sent is in doubt, what was not begun may come again."""
        if self.under_way:
            self.seat.reply(self.under_way[0], Fault(UNANSWERED, "lost the lead"))
        for _, ref, _ in self.waiting:
            self.seat.reply(ref, Fault(UNREADY, "lost the lead"))
        self.waiting.clear()
        self._drop_queue()

    def _drop_queue(self) -> None:
        while self.queue:
            self.seat.reply(self.queue.popleft()[0], Fault(UNREADY, "lost the lead"))

    def answered(self, ip: str, sent_at: float, context: Any, body: Any) -> None:
        """An answer to `append`."""
        term, round_, index, heavy = context
        if term != self.term:
            return
        peer = self._peer(ip)
        lost = isinstance(body, Fault) or self.seat.now - sent_at >= CALL_S
        if heavy:
            peer.heavy = False
            peer.chunk = max(CHUNK // 16, peer.chunk // 2) if lost else min(CHUNK, peer.chunk * 2)
        if lost:
            return
        theirs, code, token, *more = body
        if code == OLD or theirs > self.term:
            return self.seat.higher(theirs)
        if round_ >= peer.round:
            peer.token = token
        peer.round, peer.heard_at = max(peer.round, round_), max(peer.heard_at, sent_at)
        if code == LEARNER:
            self._learner(ip, peer, index, *more)
        elif code in (YES, BEHIND):
            peer.learning = None
            if code == YES:
                peer.match = max(peer.match, index)
            elif more[0] and peer.match < self.naming.term_index[1]:
                self._mend(ip, peer, more[0])
        self._confirm()
        if self.seat.then is None:
            self._count()
        if self.seat.then is None:
            self._advance()

    # ---- rounds
    def _members(self) -> list[str]:
        return self.seat.members(self.naming)

    def _peer(self, ip: str) -> Peer:
        peer = self.peers.get(ip)
        if peer is None:
            peer = self.peers[ip] = Peer()
        return peer

    def _targets(self) -> list[str]:
        members = self._members()
        late = self.seat.now - LEARNER_S
        learners = [ip for ip, one in self.peers.items() if ip not in members and one.learner_at > late]
        return [ip for ip in [*members, *learners] if ip != self.seat.me]

    def _round(self, payload: bytes | None = None) -> None:
        """Begin a round of heartbeats; `payload`: the proposal's delta."""
        now = self.seat.now
        self.round += 1
        self.round_at[self.round] = now
        early, lasts = EARLY_S
        self.next_beat = now + (early if now < self.since + lasts else HEARTBEAT_S)
        for ip in self._targets():
            peer = self._peer(ip)
            if peer.heavy:
                self._append(ip, peer, None)
            elif payload is not None and len(payload) <= peer.chunk:
                self._append(ip, peer, payload)
            else:
                self._append(ip, peer, True if peer.match < self.naming.term_index[1] else None)
        self._confirm()

    def _append(self, ip: str, peer: Peer, payload: Any) -> None:
        index = self.naming.term_index[1]
        heavy = isinstance(payload, bytes)
        peer.heavy = peer.heavy or heavy
        body = [self.term, self.seat.me, self.round, index, self.commit, peer.token, self.confirmed, payload]
        self.seat.send(ip, "append", body, (self.term, self.round, index, heavy))

    def _confirm(self) -> None:
        """The newest round that a majority of those who count has answered."""
        answered = sorted((self._answered_round(ip) for ip in self._members()), reverse=True)
        newest = answered[quorum(len(answered)) - 1]
        if newest > self.confirmed:
            self.confirmed = newest
            for old in [number for number in self.round_at if number < newest]:
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
            joining = self._joining()
            if joining:
                return self._propose({MEMBERS + joining: {}}, [], None, None)
            if not self.queue:
                break
            ref, order = self.queue.popleft()
            outcome = self.decide(self.naming.entries.map, order)
            if isinstance(outcome, Work):
                return self._propose(outcome.set, outcome.gone, ref, outcome.answer)
            self.waiting.append((self.round + 1, ref, outcome.answer))
            ask = True
        if ask:
            self._round()

    def _joining(self) -> str | None:
        members = self._members()
        index = self.naming.term_index[1]
        for ip, peer in self.peers.items():
            if ip not in members and not peer.learning and peer.match == index:
                return ip
        return None

    def _propose(self, set: dict[str, Any], gone: list[str], ref: Any, answer: Any) -> None:
        old = self.naming
        new = State((self.term, old.term_index[1] + 1), old.entries.changed(set, gone))
        payload = pack([DELTA, *old.term_index, set, gone, new.entries.digest()])
        self.naming, self.under_way = new, (ref, answer)
        self._round(payload)
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
    def _mend(self, ip: str, peer: Peer, digests: bytes) -> None:
        """Send the ranges that differ, as many as one call may carry; the answer brings the next digests."""
        if peer.heavy:
            return
        entries, ranges, size = self.naming.entries, {}, 0
        for number in entries.differing(digests):
            ranges[number] = entries.packed(number)
            size += len(ranges[number])
            if size > 2 * peer.chunk:
                break
        self._append(ip, peer, pack([RANGES, ranges, entries.digest()]))

    def _learner(self, ip: str, peer: Peer, index: int, incarnation: int, holds: bool, digests: Any) -> None:
        newest = self.naming.term_index[1]
        if peer.learning is None or peer.learning[0] != incarnation:
            peer.learning, peer.match = (incarnation, newest + 1), 0
            self.seat.tell(events.RESTORING, ip=ip, index=newest)
        if holds and index == newest:
            if self.commit == newest and newest >= peer.learning[1]:
                if not peer.heavy:
                    self._append(ip, peer, pack([PROMOTE, incarnation]))
            elif self.commit == newest and not self.under_way and not self.handed:
                self._propose({}, [], None, None)  # something committed after hearing of it, without it
        elif digests:
            self._mend(ip, peer, digests)

    # ---- handing over
    def _hand(self) -> None:
        self.handed = True
        fresh = self.seat.now - UNHEARD_S
        able = [
            (peer.match, peer.round, ip) for ip in self._members()
            if ip != self.seat.me and (peer := self._peer(ip)).learning is None and peer.heard_at > fresh
        ]  # fmt: skip
        if able:
            successor = max(able)[2]
            self.seat.tell(events.HANDED_ON, ip=successor, term=self.term)
            self.seat.send(successor, "succeed", [self.term], None)
