"""Members of the store in a made world: simulated time, links that lose, double, reorder and cut (one way
too), disks that fail or are caught in the middle of a write, processes killed, frozen, without power, wiped.

Every world checks the invariants of docs/design/store.md: I1, I2, I3, I7 and I8 at every event
(`simulation.invariant_checker`), I4, I5 and I6 at its end by the history of all calls
(`simulation.linearizability`).
"""

import functools
import heapq
import random
from collections.abc import Callable
from typing import Any

from ashlift.configstore import events
from ashlift.configstore.codec import decode_request, decode_vote_response
from ashlift.configstore.membership import VOTER_PREFIX, addresses_under, incarnation_matches, quorum
from ashlift.configstore.membership_rules import MembershipCommand
from ashlift.configstore.messages import VoteRequest
from ashlift.configstore.persistent_state import PersistentVote, Snapshot
from ashlift.configstore.replica import Replica
from ashlift.configstore.replica_io import (
    ClockTicked,
    CommandSubmitted,
    HandoverComplete,
    LogEvent,
    PersistState,
    ReadRequested,
    RequestReceived,
    ResponseReceived,
    SendReply,
    SendRequest,
    ShutdownRequested,
    StatePersisted,
)
from ashlift.configstore.timing import CALL_TIMEOUT_SECONDS
from ashlift.errors import Failure, FailureReason
from ashlift.simulation.invariant_checker import (
    InvariantChecker,
    InvariantViolationError,
    decide_history_command,
    history_of,
)
from ashlift.simulation.linearizability import (
    ACKNOWLEDGED,
    CONFLICT,
    Call,
    ConfigurationWrite,
    find_unexplained_call,
    items_of,
)

SEED_MOST = 3


class Op:
    """A client's call: `kind` put or read; `answer` as it came; `begun`, `ended` in world time."""

    def __init__(self, kind: str, begun: float, base: int = 0, name: str = "") -> None:
        self.kind, self.begun, self.base, self.name = kind, begun, base, name
        self.answer: Any = None
        self.ended = float("inf")

    @property
    def done(self) -> bool:
        return isinstance(self.answer, dict) and self.answer["status"] == 200

    def told(self) -> Call | None:
        """As the checker of linearizability takes it; None: it tells nothing."""
        if self.kind == "members":
            return None
        if self.kind == "read":
            if not isinstance(self.answer, list):
                return None
            held = items_of({str(at): name for at, name in enumerate(self.answer)})
            return Call(self.begun, self.ended, observed=(len(self.answer), held))
        change = ConfigurationWrite(
            self.base, self.base + 1, items_of({str(self.base): self.name}), frozenset()
        )
        if isinstance(self.answer, dict):
            return Call(
                self.begun, self.ended, change, ACKNOWLEDGED if self.done else CONFLICT, operator=self.name
            )
        if isinstance(self.answer, Failure) and self.answer.reason == FailureReason.UNAVAILABLE:
            return None  # not begun
        return Call(self.begun, float("inf"), change, operator=self.name)


class Node:
    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.vote: PersistentVote | None = None
        self.state: Snapshot | None = None
        self.member: Replica | None = None
        self.life = self.disk_life = 0
        self.offset = 0.0
        self.writing: PersistState | None = None
        self.inbox: list[Any] | None = None  # not None: frozen
        self.disk_fails = False
        self.slow_s = 0.0  # more of a write
        self.seeds: list[str] = []  # as its settings name them; none: the first ones
        self.gone = False  # a machine that does not start again
        self.older: tuple[PersistentVote | None, Snapshot | None] = (
            None,
            None,
        )  # its disk as it was when it was lost


class World:
    def __init__(
        self, members: int, seed: int, loss: float = 0.0, double: float = 0.0, slow: float = 0.0
    ) -> None:
        self.chance = random.Random(seed)
        self.loss, self.double, self.slow = loss, double, slow
        self.now, self.step, self._order = 0.0, 0, 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self.ips = [str(number) for number in range(1, members + 1)]
        self.seeds = self.ips[:SEED_MOST]
        self.nodes = {ip: Node(ip) for ip in self.ips}
        self.cuts: set[tuple[str, str]] = set()
        self.ops: list[Op] = []
        self.at_step: dict[int, Callable[[], None]] = {}
        # (from, to, kind) -> drop, double, late or None
        self.fate: Callable[[str, str, str], str | None] | None = None
        self.invariants = InvariantChecker()
        self.turns = 0  # changes of who votes
        self._open: set[tuple[str, int, int]] = set()  # calls still waited for
        self._calls = 0
        for ip in self.ips:
            self.start(ip, bootstrap=True)

    @property
    def chain(self) -> tuple[str, ...]:
        """The longest committed history."""
        return self.invariants.committed_history

    # ---- time
    def later(self, delay: float, action: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._heap, (self.now + delay, self._order, action))

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            if until is not None and until():
                return True
            self.now, _, action = heapq.heappop(self._heap)
            self.step += 1
            if self.step in self.at_step:
                self.at_step.pop(self.step)()
            action()
        self.now = end
        return until is not None and until()

    # ---- what befalls machines
    def start(self, ip: str, bootstrap: bool = False) -> None:
        node = self.nodes[ip]
        if node.member is not None or node.gone:
            return
        node.life += 1
        node.inbox, node.disk_fails = None, False
        node.offset = self.chance.uniform(0, 1000)  # another steady clock in each life
        seeds = node.seeds or self.seeds
        node.member = Replica(
            ip, seeds, bootstrap, node.vote, node.state, decide_history_command, self.chance
        )
        self._do(node, node.member.start(self._clock(node)))
        self._tick(node, node.life)

    def kill(self, ip: str) -> None:
        """A write under way may be done, undone, or half done (the state without the vote)."""
        node = self.nodes[ip]
        keep, node.writing, node.member = node.writing, None, None
        if keep is not None:
            done = self.chance.randrange(3)
            if done and keep.snapshot is not None:
                node.state = keep.snapshot
            if done == 2 and keep.vote is not None:
                node.vote = keep.vote

    def wipe(self, ip: str) -> None:
        self.kill(ip)
        node = self.nodes[ip]
        if node.state is not None:
            node.older = node.vote, node.state
        node.vote = node.state = None
        node.disk_life += 1

    def lose(self, ip: str) -> None:
        """A machine is gone, with its disk, until `bring_back`."""
        self.kill(ip)
        self.nodes[ip].gone = True

    def bring_back(self, ip: str) -> None:
        self.nodes[ip].gone = False
        self.start(ip)

    def add(self) -> str:
        """A new machine at a new address."""
        ip = str(len(self.ips) + 1)
        self.ips.append(ip)
        self.nodes[ip] = Node(ip)
        self.nodes[ip].seeds = [one for one in self.ips if not self.nodes[one].gone][:SEED_MOST]
        self.start(ip)
        return ip

    def put_back(self, ip: str) -> None:
        """The disk that was lost last comes into its machine again."""
        self.kill(ip)
        node = self.nodes[ip]
        node.vote, node.state = node.older
        node.disk_life += 1

    def freeze(self, ip: str) -> None:
        self.nodes[ip].inbox = self.nodes[ip].inbox or []

    def thaw(self, ip: str) -> None:
        node = self.nodes[ip]
        held, node.inbox = node.inbox or [], None
        for event in held:
            self._feed(node, node.life, event)

    def cut(self, one: str, other: str) -> None:
        """Nothing goes from `one` to `other`."""
        self.cuts.add((one, other))

    def leave(self, ip: str) -> None:
        self._feed(self.nodes[ip], self.nodes[ip].life, ShutdownRequested())

    def heal(self) -> None:
        """All machines run and are joined, and the links are sound."""
        self.cuts.clear()
        self.loss = self.double = self.slow = 0.0
        self.fate = None
        for ip, node in self.nodes.items():
            node.disk_fails, node.slow_s = False, 0.0
            if node.inbox is not None:
                self.thaw(ip)
            self.start(ip)

    def learners(self) -> int:
        return sum(node.vote is None or not node.vote.is_voter for node in self.nodes.values())

    def count(self) -> int:
        """Members by the newest map on a disk."""
        states = [node.state for node in self.nodes.values() if node.state]
        newest = max(states, key=lambda state: state.term_index, default=None)
        return sum(key.startswith(VOTER_PREFIX) for key in newest.entries.map) if newest else 0

    def map(self) -> Any:
        """The newest map on a disk."""
        states = [node.state for node in self.nodes.values() if node.state]
        return max(states, key=lambda state: state.term_index).entries.map

    def spare(self) -> int:
        """How many voters may still be lost, a change of members that may be under way counted in."""
        map = self.map()
        voters = addresses_under(map, VOTER_PREFIX)
        there = {ip: self.nodes[ip].vote for ip in voters if not self.nodes[ip].gone}
        counting = [
            ip
            for ip, vote in there.items()
            if vote and vote.is_voter and incarnation_matches(map, ip, vote.incarnation)
        ]
        return len(counting) - quorum(len(voters) + 1)

    def leader(self) -> str | None:
        """One that believes that it leads; of several the newest."""
        up = [(ip, node.member) for ip, node in self.nodes.items() if node.member]
        return max(((one.leader_role.term, ip) for ip, one in up if one.leader_role), default=(0, None))[1]

    # ---- clients
    def put(self, ip: str, base: int | None = None, name: str = "") -> Op:
        base = len(self.chain) if base is None else base
        op = Op("put", self.now, base, name or f"c{len(self.ops)}")
        self.ops.append(op)
        self._feed(self.nodes[ip], self.nodes[ip].life, CommandSubmitted(op, (base, op.name)))
        return op

    def read(self, ip: str) -> Op:
        op = Op("read", self.now)
        self.ops.append(op)
        self._feed(self.nodes[ip], self.nodes[ip].life, ReadRequested(op))
        return op

    def order(self, do: str, which: str) -> Op:
        """A change of members, ordered at the leader."""
        op, ip = Op("members", self.now), self.leader() or self.ips[0]
        self.ops.append(op)
        self._feed(self.nodes[ip], self.nodes[ip].life, CommandSubmitted(op, MembershipCommand(do, which)))
        return op

    # ---- the shell's part
    def _clock(self, node: Node) -> float:
        return self.now + node.offset

    def _tick(self, node: Node, life: int) -> None:
        if node.life != life or node.member is None:
            return
        if node.inbox is None:
            self._feed(node, life, ClockTicked())
        if node.member is not None:
            wait = node.member.next_tick_at() - self._clock(node)
            self.later(min(0.15, max(0.01, wait)), lambda: self._tick(node, life))

    def _feed(self, node: Node, life: int, event: Any) -> None:
        if node.life != life or node.member is None:
            return
        if node.inbox is not None:
            node.inbox.append(event)
            return
        self._do(node, node.member.handle(self._clock(node), event))

    def _do(self, node: Node, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case SendRequest():
                    self._send(node, effect)
                case SendReply(reply_to=Op() as op):
                    self._answer(op, effect.body)
                case SendReply():
                    self._reply(node, effect)
                case PersistState():
                    node.writing = effect
                    done = functools.partial(self._written, node, node.life)
                    self.later(self.chance.uniform(0.002, 0.012) + node.slow_s, done)
                case LogEvent(event=events.LEADER_ELECTED) if node.member is not None:
                    self.invariants = self.invariants.record_leader(
                        effect.fields["term"], node.member, node.life
                    )
                case HandoverComplete():
                    self.kill(node.ip)
                    return self.later(0.5, lambda: self.start(node.ip))
        self._check(node)

    def _written(self, node: Node, life: int) -> None:
        keep = node.writing
        if node.life != life or keep is None:
            return
        if node.disk_fails:
            self.kill_write(node, keep)
            return self._feed(node, life, StatePersisted(False))
        node.writing = None
        node.state, node.vote = keep.snapshot or node.state, keep.vote or node.vote
        self._feed(node, life, StatePersisted(True))

    def kill_write(self, node: Node, keep: PersistState) -> None:
        node.writing = None
        if keep.snapshot is not None and self.chance.random() < 0.5:
            node.state = keep.snapshot

    def _delay(self) -> float:
        return self.chance.uniform(0.001, 0.02) * (30 if self.chance.random() < self.slow else 1)

    def _carry(self, one: str, other: str, kind: str, action: Callable[[], None]) -> None:
        if (one, other) in self.cuts or self.chance.random() < self.loss:
            return
        fate = self.fate(one, other, kind) if self.fate else None
        if fate == "drop":
            return
        self.later(self._delay() + (0.6 if fate == "late" else 0.0), action)
        if fate == "double" or self.chance.random() < self.double:
            self.later(self._delay() * 3, action)

    def _send(self, node: Node, send: SendRequest) -> None:
        self._calls += 1
        call = (node.ip, node.life, self._calls)
        sent_at = self._clock(node)
        self._open.add(call)
        ref = (call, send, sent_at)
        other = self.nodes[send.peer]

        def arrive() -> None:
            self._feed(other, other.life, RequestReceived(ref, send.method, send.body))

        def over() -> None:
            if call in self._open:
                self._open.discard(call)
                fault = (
                    Failure(FailureReason.OUTCOME_UNKNOWN)
                    if other.member
                    else Failure(FailureReason.UNREACHABLE)
                )
                self._feed(
                    node, call[1], ResponseReceived(send.peer, send.method, sent_at, send.context, fault)
                )

        self._carry(node.ip, send.peer, send.method, arrive)
        self.later(CALL_TIMEOUT_SECONDS, over)

    def _reply(self, node: Node, reply: SendReply) -> None:
        call, send, sent_at = reply.reply_to
        request = decode_request(send.method, send.body)
        if isinstance(request, VoteRequest) and isinstance(reply.body, list):
            self._note_vote(node, request, reply.body)
        caller = self.nodes[call[0]]

        def arrive() -> None:
            if call in self._open:
                self._open.discard(call)
                answered = ResponseReceived(send.peer, send.method, sent_at, send.context, reply.body)
                self._feed(caller, call[1], answered)

        self._carry(node.ip, call[0], "answer", arrive)

    def _note_vote(self, node: Node, request: VoteRequest, body: list[Any]) -> None:
        if not request.is_pre_vote and decode_vote_response(body).granted:
            self.invariants = self.invariants.record_vote(
                node.ip, node.disk_life, request.term, request.candidate, node.vote
            )

    def _answer(self, op: Op, body: Any) -> None:
        if op.answer is not None:
            raise AssertionError("answered twice")
        op.ended = self.now
        op.answer = history_of(body) if isinstance(body, Snapshot) else body

    # ---- the invariants
    def _check(self, node: Node) -> None:
        if node.member is not None:
            self.invariants = self.invariants.check_replica(self.now, node.member, node.offset, node.vote)
            disks = [(ip, one.vote, one.state) for ip, one in self.nodes.items()]
            before, self.invariants = (
                self.invariants.membership[1],
                self.invariants.check_commit(node.member, disks),
            )
            self.turns += before != self.invariants.membership[1]

    def judge(self) -> None:
        """The whole history, at the end."""
        wrong = find_unexplained_call(call for op in self.ops if (call := op.told()) is not None)
        if wrong is not None:
            raise InvariantViolationError(f"I4 I5 I6: no order of all calls explains {wrong}")

    def settle(self, seconds: float = 12.0) -> None:
        """Heal all, find a leader that commits, read back, judge."""
        self.heal()
        began = self.now
        while self.now < began + seconds:
            self.run(0.1)
            ip = self.leader()
            if ip is None:
                continue
            op = self.put(ip)
            self.run(0.6)
            read = self.read(ip)
            self.run(0.6)
            if op.done and isinstance(read.answer, list):
                return self.judge()
        raise InvariantViolationError("no agreement though all are well")
