"""One member of the store: events in, effects out. Invariants and their tests: docs/design/store.md.

A member is a non-voting learner (nothing of it counts), or follows, tries to be elected, or leads
(`configstore.leader`). Its durable state is `vote` and `state`; `ReplicaState.keep` makes a change
durable and only then goes on. While a `PersistState` is out, events wait.
"""

import random
from collections import deque
from typing import Any

from attrs import define, field

from ashlift.configstore import events
from ashlift.configstore.change_log import ChangeLog
from ashlift.configstore.leader import CommandHandler, Leader
from ashlift.configstore.membership import (
    VOTER_PREFIX,
    incarnation_matches,
    is_displaced,
    quorum,
    voter_incarnations,
)
from ashlift.configstore.messages import (
    BEHIND,
    CALL_TIMEOUT_SECONDS,
    DELTA,
    ELECTION_TIMEOUT_SECONDS,
    HEARTBEAT_INTERVAL_SECONDS,
    INITIAL_ELECTION_TIMEOUT_SECONDS,
    LEADERSHIP_TRANSFER_SECONDS,
    LEARNER,
    LEARNER_QUARANTINE_SECONDS,
    OLD,
    PARTS,
    PROMOTE,
    QUORUM_CONTACT_TIMEOUT_SECONDS,
    RANGES,
    YES,
    ClockTicked,
    CommandSubmitted,
    Effect,
    Event,
    HandoverComplete,
    PersistentVote,
    PersistState,
    ReadRequested,
    RequestReceived,
    ResponseReceived,
    ShutdownRequested,
    Snapshot,
    StatePersisted,
)
from ashlift.configstore.ranged_map import RangedMap
from ashlift.configstore.replica_state import InvariantError, ReplicaState, unpack
from ashlift.errors import Failure, FailureReason

JOIN_S = 0.5  # between two calls of one that is no voter
LONELY_S = 3.0  # a voter that nobody leads for so long asks whether it is one still
AGAIN_S = (0.3, 0.7)  # by chance between these after an attempt: all others have been waiting as well
SILENT_S = 3 * HEARTBEAT_INTERVAL_SECONDS  # a leader that is not heard for so long is not asked
GRACE_S = 0.3  # a granted (pre-)vote puts off attempts by so much: two that try at once elect nobody
LIVES = 1 << 31  # incarnations
ECHOES = 32  # rounds and steady times remembered for the proof


@define
class ElectionAttempt:
    """An attempt to be elected; `term` is the one tried for."""

    term: int
    pre: bool
    members: dict[str, int | None]  # who votes, and with which incarnation of its disk; None: any
    started: float
    votes: set[str] = field(factory=set)


class Replica(ReplicaState):
    """`vote` and `state`: what the disk holds, None: nothing was ever there, Failure: it cannot be read."""

    def __init__(
        self,
        me: str,
        seeds: list[str],
        bootstrap: bool,
        vote: PersistentVote | Failure | None,
        state: Snapshot | Failure | None,
        decide: CommandHandler,
        chance: random.Random,
    ) -> None:
        held_vote = vote if isinstance(vote, PersistentVote) else PersistentVote(0, None, False)
        held = state if isinstance(state, Snapshot) else Snapshot((0, 0), RangedMap())
        voter = held_vote.is_voter and isinstance(state, Snapshot)
        term = max(held_vote.term, held.term_index[0])
        self._bootstraps = vote is None and state is None and bootstrap and me in seeds
        self._clears_lost_vote = held_vote.is_voter and not voter  # on the disk: to be taken back
        voted = held_vote.voted_for if term == held_vote.term else None
        kept = (
            PersistentVote(term, voted, True, held_vote.incarnation)
            if voter
            else PersistentVote(0, None, False)
        )
        super().__init__(me, chance, kept, held if voter else Snapshot((0, 0), RangedMap()))
        self.seeds, self.command_handler = seeds, decide
        self.incarnation = chance.getrandbits(31)
        self.leader_ip: str | None = None
        self.leader_role: Leader | None = None
        self.election: ElectionAttempt | None = None
        self.staged_entries: RangedMap | None = None if voter else held.entries  # of a repair, so far
        self.quarantined_until = self.leader_heard_at = self.election_deadline = self.next_join_at = 0.0
        self.votes_withheld_until = (
            0.0  # after a vote its candidate is given the time to lead before another may stand
        )
        self.shutdown_deadline: float | None = None
        self._deferred: deque[Event] = deque()
        self._last_clock_token = chance.getrandbits(30)
        self._clock_tokens: dict[int, float] = {}
        self._clock_echoes: list[tuple[int, int, int]] = []  # (round, token, commit told) of this term
        self._newest_round_heard = 0, 0  # (term, round) of the newest append

    # ---- running
    def start(self, now: float) -> list[Effect]:
        self.now, self.effects = now, []
        self._reset_election_timer(INITIAL_ELECTION_TIMEOUT_SECONDS)
        self.leader_heard_at = now - QUORUM_CONTACT_TIMEOUT_SECONDS
        if self._bootstraps:
            members: dict[str, Any] = {VOTER_PREFIX + ip: {} for ip in self.seeds}
            state = Snapshot((0, 0), RangedMap(members))
            self.log_event(events.STORE_BOOTSTRAPPED, voters=len(members))
            self.persist(PersistentVote(0, None, True, self.incarnation), state, self._begun)
        elif not self.vote.is_voter:
            self._become_learner()
            if self._clears_lost_vote:
                self.persist(self.vote, None, lambda ok: None)
        return self._done()

    def _begun(self, ok: bool) -> None:
        if not ok:
            self._become_learner()

    def _become_learner(self) -> None:
        self.vote = self.vote._replace(is_voter=False)
        self.quarantined_until = self.now + LEARNER_QUARANTINE_SECONDS
        self.log_event(events.LEARNER_STARTED, incarnation=self.incarnation)

    def handle(self, now: float, event: Event) -> list[Effect]:
        """Take one event; do the effects in order. Raises InvariantError: stop the process."""
        self.now, self.effects = max(now, self.now), []
        if isinstance(event, StatePersisted):
            self.complete_persist(event.succeeded)
        else:
            self._deferred.append(event)
        while self._deferred and self._after_persist is None:
            self._take(self._deferred.popleft())
        return self._done()

    def _done(self) -> list[Effect]:
        """The effects, a `PersistState` last."""
        if self.shutdown_deadline is not None and self.leader_role is None and self._after_persist is None:
            self.effects.append(HandoverComplete())
        return sorted(self.effects, key=lambda effect: isinstance(effect, PersistState))

    def newest_heartbeat_round(self) -> tuple[int, int]:
        """The newest round of a leader known here, with its term (`FencingToken`)."""
        return (
            (self.leader_role.term, self.leader_role.heartbeat_round)
            if self.leader_role
            else self._newest_round_heard
        )

    def hears_no_leader(self, now: float) -> bool:
        """Whether no leader is to be expected here: who wants one had better ask another member."""
        return self.leader_role is None and now - self.leader_heard_at > SILENT_S

    def next_tick_at(self) -> float:
        """When the next `ClockTicked` is wanted, if nothing comes before."""
        if self.leader_role:
            return self.leader_role.next_heartbeat_at
        return self.election_deadline if self._can_stand_for_election() else self.next_join_at

    def _take(self, event: Event) -> None:
        match event:
            case ClockTicked():
                self._tick()
            case RequestReceived():
                self._called(event)
            case ResponseReceived(method="append") if self.leader_role:
                self.leader_role.answered(event.peer, event.sent_at, event.context, event.body)
            case ResponseReceived(method="request_vote"):
                self._voted(event)
            case ResponseReceived(method="join", body=[leader, evidence]):
                self._told(event.peer, leader, evidence)
            case CommandSubmitted():
                if self.leader_role:
                    self.leader_role.submit(event.reply_to, event.command, event.fencing_token)
                else:
                    self.reply(event.reply_to, Failure(FailureReason.UNAVAILABLE, "leads not"))
            case ReadRequested():
                if self.leader_role:
                    self.leader_role.read(event.reply_to)
                else:
                    self.reply(event.reply_to, Failure(FailureReason.UNAVAILABLE, "leads not"))
            case ShutdownRequested() if self.shutdown_deadline is None:
                self.shutdown_deadline = self.now + LEADERSHIP_TRANSFER_SECONDS
                if self.leader_role:
                    self.leader_role.leave()

    def _tick(self) -> None:
        if self.leader_role:
            if self.shutdown_deadline is not None and self.now >= self.shutdown_deadline:
                return self.step_down("the process ends")
            return self.leader_role.tick()
        if not self._can_stand_for_election():
            if (
                self.now >= max(self.next_join_at, self.quarantined_until)
                and self.now - self.leader_heard_at >= QUORUM_CONTACT_TIMEOUT_SECONDS
            ):
                self._join()
        elif self.now >= self.election_deadline and self.shutdown_deadline is None:
            if self.now >= max(self.next_join_at, self.leader_heard_at + LONELY_S):
                self._join()  # it may have been taken off meanwhile
            self._try()

    def _join(self) -> None:
        self.next_join_at = self.now + JOIN_S
        for ip in sorted({*self.seeds, *self.voters()} - {self.ip}):
            self._ask_to_join(ip)

    def _ask_to_join(self, ip: str) -> None:
        """With its disk's incarnation (a learner: this process's); and whether it believes itself a voter."""
        life = self.vote.incarnation if self.vote.is_voter else self.incarnation
        self.send(ip, "join", [self.ip, life, self._can_stand_for_election()], None)

    def _told(self, peer: str, leader: str | None, evidence: Any) -> None:
        """An answer to `join`: who leads, and which committed map says that nothing of this disk counts."""
        if evidence is not None and self._can_stand_for_election() and tuple(evidence) > self.term_index:
            return self._give_up()
        if leader not in (None, peer, self.ip):
            self._ask_to_join(str(leader))

    def _give_up(self) -> None:
        """Nothing of this disk counts any more: on from here as with an empty one, in a new incarnation."""
        self.step_down("is no voter any more")
        self.log_event(
            events.VOTER_DISPLACED,
            incarnation=self.vote.incarnation,
            term=self.term_index[0],
            index=self.term_index[1],
        )
        self.incarnation = max(self.incarnation, self.vote.incarnation) % LIVES + 1
        self.staged_entries, self.snapshot = self.snapshot.entries, Snapshot((0, 0), RangedMap())
        self.change_log = ChangeLog()
        self.vote, self.leader_ip = PersistentVote(0, None, False), None
        self._become_learner()
        self.persist(self.vote, None, lambda ok: None)

    def _evidence(self, ip: str, life: int) -> list[int] | None:
        """The committed map's term and index, if by it nothing of that disk counts."""
        known = self.committed_state.snapshot
        told = known.term_index != (0, 0) and is_displaced(known.entries.map, ip, life)
        return [*known.term_index] if told else None

    def _can_stand_for_election(self) -> bool:
        """Whether this member may stand for election."""
        entries = self.snapshot.entries.map
        return self.vote.is_voter and incarnation_matches(entries, self.ip, self.vote.incarnation)

    def _reset_election_timer(self, span: tuple[float, float] = ELECTION_TIMEOUT_SECONDS) -> None:
        slow = (
            2 * self.last_write_seconds if span is AGAIN_S else 0.0
        )  # votes are written before they are given
        self.election_deadline = self.now + self.random.uniform(*span) + slow

    def _called(self, event: RequestReceived) -> None:
        if not self.vote.is_voter and self.now < self.quarantined_until:
            return self.reply(event.reply_to, Failure(FailureReason.UNAVAILABLE, "mute"))
        try:
            match event.method, event.body:
                case "append", [int(), str(), int(), int(), int(), int(), int(), _]:
                    self._append(event.reply_to, event.body)
                case "request_vote", [int(), str(), int(), int(), bool()]:
                    self._request_vote(event.reply_to, *event.body)
                case "join", [str(), int(), bool()]:
                    ip, life, stands = event.body
                    if self.leader_role and not stands:
                        self.leader_role.learn(ip, life)
                    self.reply(event.reply_to, [self.leader_ip, self._evidence(ip, life) if stands else None])
                case "succeed", [int()]:
                    self._succeed(event.reply_to, event.body[0])
                case _:
                    self.reply(event.reply_to, Failure(FailureReason.INVALID, event.method))
        except (ValueError, TypeError, LookupError) as error:
            self.reply(event.reply_to, Failure(FailureReason.INVALID, str(error)))

    # ---- elections
    def _try(self) -> None:
        """Ask whether a majority would vote for this member."""
        self._reset_election_timer(AGAIN_S)
        self.leader_ip = None
        self.election = self._attempt(self.vote.term + 1, True)
        self._ask()

    def _attempt(self, term: int, pre: bool) -> ElectionAttempt:
        return ElectionAttempt(term, pre, voter_incarnations(self.snapshot.entries.map), self.now, {self.ip})

    def _stand(self) -> None:
        """Ask for votes, having voted for oneself."""
        self._reset_election_timer(AGAIN_S)
        self.leader_ip = None
        self.election = None
        term = self.vote.term + 1
        self.persist(self.vote._replace(term=term, voted_for=self.ip), None, lambda ok: self._stood(ok, term))

    def _stood(self, ok: bool, term: int) -> None:
        if ok:
            self._reset_election_timer(AGAIN_S)
            self.election = self._attempt(term, False)
            self._ask()
        else:
            self._reset_election_timer()

    def _ask(self) -> None:
        attempt = self.election
        assert attempt is not None
        body = [attempt.term, self.ip, *self.term_index, attempt.pre]
        for ip in attempt.members:
            if ip != self.ip:
                self.send(ip, "request_vote", body, (attempt.term, attempt.pre))
        self._elected()

    def _elected(self) -> None:
        attempt = self.election
        if attempt is None or len(attempt.votes & {*attempt.members}) < quorum(len(attempt.members)):
            return
        if attempt.pre:
            return self._stand()
        self.election, self.leader_ip, self.staged_entries = None, self.ip, None
        self._clock_echoes = []
        self.leader_role = Leader(self, self.command_handler)
        self.leader_role.begin()

    def _request_vote(
        self,
        ref: Any,
        term: int,
        candidate: str,
        last_term: int,
        index: int,
        pre: bool,
    ) -> None:
        if not self.vote.is_voter:
            return self.reply(ref, Failure(FailureReason.UNAVAILABLE, "learner"))
        fit = (last_term, index) >= self.term_index
        if pre:
            calm = self.leader_role is None and self.now >= max(
                self.votes_withheld_until, self.leader_heard_at + ELECTION_TIMEOUT_SECONDS[0]
            )
            granted = fit and calm and term > self.vote.term
            if granted:
                self.election_deadline = max(self.election_deadline, self.now + GRACE_S)
            return self.reply(ref, [self.vote.term, granted, self.vote.incarnation])
        if term < self.vote.term:
            return self.reply(ref, [self.vote.term, False])
        if term == self.vote.term and self.vote.voted_for is not None:
            return self.reply(ref, [term, self.vote.voted_for == candidate, self.vote.incarnation])
        self.step_down("a higher term")
        self.leader_ip = None
        if fit:
            self._reset_election_timer()
            self.votes_withheld_until = self.now + GRACE_S + 2 * self.last_write_seconds
        vote = self.vote._replace(term=term, voted_for=candidate if fit else None)
        if vote == self.vote:
            return self.reply(ref, [term, False])
        yes = [term, fit, vote.incarnation]
        self.persist(
            vote, None, lambda ok: self.reply(ref, yes if ok else Failure(FailureReason.REJECTED, "disk"))
        )

    def _voted(self, event: ResponseReceived) -> None:
        attempt = self.election
        if isinstance(event.body, Failure) or not self.vote.is_voter:
            return
        theirs, granted, *life = event.body
        if theirs > (self.vote.term if attempt is None or attempt.pre else attempt.term):
            return self.observe_higher_term(theirs)
        if attempt is None or event.context != (attempt.term, attempt.pre):
            return
        if (
            granted is not True
            or self.now - event.sent_at >= CALL_TIMEOUT_SECONDS
            or self.now - attempt.started >= CALL_TIMEOUT_SECONDS
        ):
            return
        if attempt.members.get(event.peer) not in (None, *life):
            return  # the disk of an earlier life: what it has said since is forgotten there
        attempt.votes.add(event.peer)
        self._elected()

    def _succeed(self, ref: Any, term: int) -> None:
        if (
            term != self.vote.term
            or not self._can_stand_for_election()
            or self.leader_role
            or self.shutdown_deadline is not None
        ):
            return self.reply(ref, Failure(FailureReason.REJECTED, "not now"))
        self.reply(ref, [True])
        self._stand()

    def observe_higher_term(self, term: int) -> None:
        """Someone is at a higher term: so is this member from now on."""
        if term <= self.vote.term:
            return
        self.step_down("a higher term")
        self.leader_ip = None
        self.persist(self.vote._replace(term=term, voted_for=None), None, lambda ok: None)

    def step_down(self, why: str) -> None:
        self.election = None
        self._clock_echoes = []
        if self.leader_role:
            self.log_event(events.STEPPED_DOWN, term=self.leader_role.term, reason=why)
            lead, self.leader_role, self.leader_ip = self.leader_role, None, None
            lead.end()
            self._reset_election_timer()

    # ---- following
    def _append(self, ref: Any, body: list[Any]) -> None:
        term, leader, round_, index, commit, echo, proved, payload = body
        if term < self.vote.term:
            return self.reply(ref, [self.vote.term, OLD, 0])
        if term == self.vote.term and self.leader_role:
            raise InvariantError(f"two leaders in term {term}")
        newer = term > self.vote.term
        if newer or self.leader_ip != leader:
            self.step_down("another leads")
            self.log_event(events.FOLLOWING_LEADER, term=term, leader=leader)
        self.election, self.leader_ip, self.leader_heard_at = None, leader, self.now
        self._newest_round_heard = max(self._newest_round_heard, (term, round_))
        self._reset_election_timer()
        named = (term, index)
        self._learn(term, commit)
        entries = self._received(payload, named)
        vote = self.vote._replace(term=term, voted_for=leader) if newer else None
        restored = self._promoted(payload, named)
        state = Snapshot(named, entries) if entries is not None and named > self.term_index else None

        def on(ok: bool) -> None:
            if not ok:
                return self.reply(ref, Failure(FailureReason.REJECTED, "disk"))
            if restored:
                self.log_event(events.LEARNER_PROMOTED, term=term, index=index)
            elif state is not None and entries is self.staged_entries:
                self.log_event(events.CAUGHT_UP, term=term, index=index)
            if state is not None or restored:
                self.staged_entries = None
            self._learn(term, commit)
            self._renew(round_, echo, commit, proved)
            self.reply(ref, self._answer(term, named, payload))
            if self._displaced():
                self._give_up()

        if restored:
            self.persist(
                PersistentVote(term, self.vote.voted_for or leader, True, self.incarnation), self.snapshot, on
            )
        elif not self.vote.is_voter:  # in memory only: on the disk nothing of it may count before it votes
            self.vote = vote or self.vote
            self.accept_snapshot(state or self.snapshot)
            on(True)
        elif vote or state:
            self.persist(vote, state, on)
        else:
            on(True)

    def _received(self, payload: Any, named: tuple[int, int]) -> RangedMap | None:
        """The map that is named, if the payload leads to it."""
        if not isinstance(payload, bytes):
            return None
        kind, *rest = unpack(payload)
        if kind == DELTA:
            term, index, set_, gone, digest = rest
            if (term, index) != self.term_index:
                return None
            entries = self.snapshot.entries.with_changes(set_, gone)
        elif kind in (RANGES, PARTS):
            ranges, digest = rest[0], rest[-1]
            sets, gone = rest[1:3] if kind == PARTS else ({}, [])
            entries = self.staged_entries = (
                (self.staged_entries or self.snapshot.entries).with_ranges(ranges).with_changes(sets, gone)
            )
        else:
            return None
        return entries if entries.digest() == digest else None

    def _promoted(self, payload: Any, named: tuple[int, int]) -> bool:
        """Whether the leader says that this life of a learner counts from now on."""
        if self.vote.is_voter or not isinstance(payload, bytes):
            return False
        kind, *rest = unpack(payload)
        return kind == PROMOTE and rest[0] == self.incarnation and self.term_index == tuple(rest[1:] or named)

    def _answer(self, term: int, named: tuple[int, int], payload: Any) -> list[Any]:
        self._last_clock_token += 1
        self._clock_tokens[self._last_clock_token] = self.now
        while len(self._clock_tokens) > ECHOES:
            del self._clock_tokens[next(iter(self._clock_tokens))]
        holds = self.term_index == named
        digests = None
        if not holds and payload is not None and self.term_index < named:
            digests = (self.staged_entries or self.snapshot.entries).range_digests()
        if not self.vote.is_voter:
            return [
                term,
                LEARNER,
                self._last_clock_token,
                self.incarnation,
                holds,
                digests,
                [*self.term_index],
            ]
        if not holds:
            return [term, BEHIND, self._last_clock_token, digests, [*self.term_index]]
        return [
            term,
            YES,
            self._last_clock_token,
            *([] if self._can_stand_for_election() else [self.vote.incarnation]),
        ]

    def _displaced(self) -> bool:
        """Whether the map that it holds is committed, and says that nothing of this disk counts."""
        return (
            self.vote.is_voter
            and self.committed_state.term_index == self.term_index
            and is_displaced(self.snapshot.entries.map, self.ip, self.vote.incarnation)
        )

    def _learn(self, term: int, commit: int) -> None:
        """A leader proposes one at a time: what it proposed up to its `commit` is committed."""
        if self.term_index[0] == term and self.term_index[1] <= commit:
            self.advance_committed(self.snapshot)

    def _renew(self, round_: int, echo: int, commit: int, proved: int) -> None:
        """`echo` was this member's time before round `round_` began, when `commit` was the newest; rounds up
        to `proved` were answered by a majority: so there was no newer leader at that time."""
        self._clock_echoes = [*self._clock_echoes[-ECHOES:], (round_, echo, commit)]
        term_index = self.committed_state.term_index
        for round_, echo, commit in self._clock_echoes:
            known = commit and term_index >= (self.vote.term, commit)
            if round_ <= proved and known and echo in self._clock_tokens:
                self.confirm_freshness(self._clock_tokens[echo])
        self._clock_echoes = [one for one in self._clock_echoes if one[0] > proved]
