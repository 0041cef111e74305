"""What may happen next in a `Cell`, and what comes of it: a real member takes an event, its effects are done.

What may befall a write (refused; the process gone, with the write missing, half there or there) gives a cell
each. A `Work` is one step under way, changed in place until `done`.
"""

from collections import deque
from collections.abc import Callable, Iterator
from typing import Any, Final

from attrs import define, evolve, field

from ashlift.configstore import events
from ashlift.configstore.codec import METHOD_VOTE, decode_vote_response
from ashlift.configstore.membership import LEARNER_PREFIX
from ashlift.configstore.membership_rules import MembershipCommand
from ashlift.configstore.persistent_state import Snapshot
from ashlift.configstore.proposals import FencingToken
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
    StatePersisted,
)
from ashlift.configstore.timing import CALL_TIMEOUT_SECONDS
from ashlift.errors import Failure, FailureReason
from ashlift.simulation.cell import Asked, Cell, Draw, Kind, Mail, Place, Rules, forked
from ashlift.simulation.invariant_checker import (
    ZONE,
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

TRIP_S = 0.004  # of a message, when nothing befalls it
FROZEN_S = 1.6  # long enough for another to lead meanwhile
DOWN_S = 0.3  # a process that is gone comes back after so long
PATIENCE_S = 1.0  # of a client
BEGUN_S = 30.0  # within this all are members
LEFT_S = 0.9  # of it, when a registry sends an order on
HELD_S = PATIENCE_S + 0.1  # a held call arrives so late
AGREE_S = 8.0  # within this, once nothing befalls anybody any more, all is well again
AGREE: Final = ("agree", "settled")  # the last of a script: a change is taken, and read back
LATE_S: Final = {"behind": 0.002, "later": 0.3, "too late": CALL_TIMEOUT_SECONDS + 0.1}
FATES: Final = ("refused", "missing", "half", "there")  # of a write; all but the first: the process is gone


def begun(rules: Rules) -> Cell:
    """The cell from which `rules` are explored."""
    ips = [str(number) for number in range(1, rules.members + 1)]
    work = Work(Cell(rules, 0.0, {ip: Place() for ip in ips}, dict(rules.budgets), 0))
    for number, ip in enumerate(ips):
        work.post("start", ip, None, 0.01 * number, True)
    cell = work.done()
    while not rules.first and not _ready(cell):
        cell = _on(cell)
    for ip in ips[len(ips) - rules.held :]:
        cell = Work(cell).order(MembershipCommand("remove", ip)).done()
        while not _held(cell, ip):
            cell = _on(cell)
    if rules.free:
        work = Work(cell)
        for ip in ips:
            work.kill(ip)
        work.mail = []
        for ip in ips:
            work.start(ip)
        cell = work.done()
    script = (*rules.script, *(() if rules.free else AGREE))
    return evolve(cell, most=rules.most, script=script, calm_at=cell.now + rules.span)


def _on(cell: Cell) -> Cell:
    if cell.now > BEGUN_S:
        raise InvariantViolationError("it does not come to its beginning")
    return next(after(cell, coming(cell)))[1]


def _ready(cell: Cell) -> bool:
    """A leader has committed, all are members and vote, and all know it."""
    for place in cell.places.values():
        member = place.member
        if member is None or not member.vote.is_voter or len(member.voters()) < len(cell.places):
            return False
    term_indexes = {place.member.committed_state.term_index for place in cell.places.values() if place.member}
    return len(term_indexes) == 1 and (0, 0) not in term_indexes


def _held(cell: Cell, ip: str) -> bool:
    """It was taken off, has learnt all from the start, and all know it."""
    member = cell.places[ip].member
    if member is None or not member.vote.is_voter:
        return False
    known = {one.member.committed_state.term_index for one in cell.places.values() if one.member}
    held = {one.state.term_index for one in cell.places.values() if one.state}
    return len(known) == 1 and known == held and LEARNER_PREFIX + ip in member.snapshot.entries.map


def coming(cell: Cell) -> Mail | str:
    """The next thing by time: a message, or whose timer ends."""
    due, ip = min((one.due(), ip) for ip, one in cell.places.items())
    mail = min(cell.mail, key=lambda one: (one.due, one.order), default=None)
    return mail if mail is not None and mail.due <= due else ip


Step = tuple[str, Cell]


def steps(cell: Cell) -> Iterator[Step]:
    """All that may happen next, told and with what comes of it.

    Raises InvariantViolationError or InvariantError.
    """
    if cell.rules.free:
        yield from _any(cell)
    else:
        yield from after(cell, coming(cell))
    if not cell.calm():
        yield from _troubles(cell)


def _any(cell: Cell) -> Iterator[Step]:
    """Any message that is out, any timer; one that never comes is lost."""
    alike = set()
    for mail in cell.mail:
        told = mail.key(True, cell.open)
        if told not in alike:
            alike.add(told)
            yield from after(cell, mail)
    for ip, place in cell.places.items():
        if place.member and (spent := _spent(cell, "timer")):
            yield from after(spent, ip)
    if cell.script and any(one.leads() for one in cell.places.values()):
        yield f"asked: {cell.script[0]}", Work(cell).ask().done()


def _spent(cell: Cell, kind: Kind) -> Cell | None:
    if not cell.left.get(kind) or not cell.most:
        return None
    return evolve(cell, left={**cell.left, kind: cell.left[kind] - 1}, most=cell.most - 1)


def _troubles(cell: Cell) -> Iterator[Step]:
    """What may befall the next message, or any machine."""
    mail = coming(cell)
    if isinstance(mail, Mail) and mail.kind in ("call", "answer") and not cell.rules.free:
        rest = tuple(one for one in cell.mail if one is not mail)
        if spent := _spent(cell, "lose"):
            yield f"lost: {mail}", evolve(spent, mail=rest)
        if spent := _spent(cell, "double"):
            again = evolve(mail, due=mail.due + LATE_S["later"], order=cell.count)
            yield f"doubled: {mail}", evolve(spent, mail=(*cell.mail, again), count=cell.count + 1)
        for how, delay in LATE_S.items():
            if spent := _spent(cell, "late"):
                slow = evolve(mail, due=mail.due + delay, order=cell.count)
                yield f"{how}: {mail}", evolve(spent, mail=(*rest, slow), count=cell.count + 1)
    elif cell.rules.free and (spent := _spent(cell, "double")):
        for mail in cell.mail:
            if mail.kind in ("call", "answer"):
                again = evolve(mail, order=cell.count)
                yield f"doubled: {mail}", evolve(spent, mail=(*cell.mail, again), count=cell.count + 1)
    learners = cell.learners()
    for ip, place in cell.places.items():
        if place.member and (spent := _spent(cell, "crash")):
            yield f"{ip} is killed", Work(spent).kill(ip).done()
        if place.member and (spent := _spent(cell, "freeze")):
            for turned in (False, True):
                how = ", then hears its clients first" if turned else ""
                yield f"{ip} is frozen{how}", Work(spent).freeze(ip, turned).done()
        if learners < cell.rules.wiped and (spent := _spent(cell, "wipe")):
            yield f"{ip} loses its disk", Work(spent).wipe(ip).done()
        idle = place.member and not place.member.leader_role and place.frozen <= cell.now
        if idle and (spent := _spent(cell, "early")):
            yield f"the timer of {ip} ends early", Work(spent).early(ip).done()
        if learners < cell.rules.wiped and (spent := _spent(cell, "power")):
            work = Work(spent).wipe(ip)
            for other in cell.places:
                work.kill(other)
            yield f"{ip} loses its disk, all others their power", work.done()


def after(cell: Cell, what: Mail | str) -> Iterator[Step]:
    """A message comes, or a timer ends: as it should; then with each fate of each write that it leads to."""
    work = Work(cell)
    work.take(what)
    told = str(what) if isinstance(what, Mail) else f"the timer of {what} ends"
    yield told, work.done()
    if cell.calm():
        return
    for number, keep in enumerate(work.kept):
        for fate in FATES:
            spent = _spent(cell, "refuse" if fate == "refused" else "crash")
            if spent is None or (fate == "half" and None in (keep.vote, keep.snapshot)):
                continue
            other = Work(spent, number, fate)
            other.take(what)
            if (struck := other.done()).learners() <= cell.rules.wiped:
                yield f"{told}; its write {number + 1}: {fate}", struck


@define(eq=False)
class Work:
    """One step under way: a cell's parts, changed in place until `done`."""

    cell: Cell
    fails: int = -1  # which write meets its fate
    fate: str = ""
    kept: list[PersistState] = field(factory=list)
    places: dict[str, Place] = field(factory=dict)
    mail: list[Mail] = field(factory=list)
    calls: dict[int, Call] = field(factory=dict)
    now: float = 0.0
    count: int = 0
    open: set[int] = field(factory=set)
    invariants: InvariantChecker = field(factory=InvariantChecker)
    script: tuple[str, ...] = ()
    asked_at: float = 0.0
    asking: list[Asked] = field(factory=list)
    line: int = 0
    heard: bool = True
    moments: int = 0
    touched: set[str] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        cell = self.cell
        self.places, self.mail, self.calls = dict(cell.places), list(cell.mail), dict(cell.calls)
        self.now, self.count, self.open, self.invariants = (
            cell.now,
            cell.count,
            set(cell.open),
            cell.invariants,
        )
        self.script, self.asked_at = cell.script, cell.asked_at
        self.asking, self.moments = list(cell.asking), cell.moments
        self.line, self.heard = cell.line, cell.heard

    def done(self) -> Cell:
        if self.script and not self.cell.rules.free:
            self._go_on()
        return evolve(
            self.cell,
            now=self.now,
            places=self.places,
            mail=tuple(self.mail),
            count=self.count,
            open=frozenset(self.open),
            calls=tuple(sorted(self.calls.items())),
            invariants=self.invariants,
            script=self.script,
            asked_at=self.asked_at,
            asking=tuple(self.asking),
            moments=self.moments,
            line=self.line,
            heard=self.heard,
        )

    # ---- what happens
    def take(self, what: Mail | str) -> None:
        if isinstance(what, str):
            self.now = max(self.now, self.places[what].due())
            self._member(what)
            self._put(what, woken=self.now)
            return self._feed(what, ClockTicked())
        self.mail.remove(what)
        if not self.cell.rules.free:
            self.now = max(self.now, what.due)
        place = self.places[what.to]
        if what.kind == "start":
            return self.start(what.to, what.body is True)
        if what.kind == "ask":
            return self._feed(what.to, what.body)
        number, _, life, method, sent_at, context = what.ref
        if what.kind == "call":
            return self._feed(what.to, RequestReceived(what.ref, method, what.body))
        if number in self.open and place.life == life:
            self.open.discard(number)
            self.mail = [one for one in self.mail if one.kind != "over" or one.ref[0] != number]
            self._feed(what.to, ResponseReceived(what.ref[-1][0], method, sent_at, context[1], what.body))

    def start(self, ip: str, bootstrap: bool = False) -> None:
        place, rules, ips = self.places[ip], self.cell.rules, list(self.places)
        if place.member is not None:
            return
        seeds = ips[-rules.seeds :] if rules.turned and not bootstrap else ips[: rules.seeds]
        draw = Draw(int(ip), place.life + 1)
        member = Replica(ip, seeds, bootstrap, place.vote, place.state, decide_history_command, draw)
        self._put(ip, member=member, life=place.life + 1)
        self._do(ip, member, member.start(self.now))

    def kill(self, ip: str) -> "Work":
        if self.places[ip].member is not None:
            self._put(ip, member=None, frozen=-1.0)
            gone = {one.ref[0] for one in self.mail if one.kind == "over" and one.to == ip}
            self.open -= gone
            self.mail = [one for one in self.mail if one.kind == "call" or one.to != ip]
            self.post("start", ip, None, DOWN_S)
        return self

    def wipe(self, ip: str) -> "Work":
        self.kill(ip)
        self._put(ip, vote=None, state=None, disk=self.places[ip].disk + 1)
        return self

    def freeze(self, ip: str, turned: bool) -> "Work":
        until = round(self.now + FROZEN_S, 6)
        self._put(ip, frozen=until, turned=turned)
        self.mail = [evolve(one, due=max(one.due, until)) if one.to == ip else one for one in self.mail]
        return self

    def early(self, ip: str) -> "Work":
        member = self._member(ip)
        assert member is not None
        member.election.deadline = self.now
        self._feed(ip, ClockTicked())
        return self

    # ---- the shell's part
    def _put(self, ip: str, **changes: Any) -> None:
        self.touched.add(ip)
        self.places[ip] = evolve(self.places[ip], **changes)

    def post(self, kind: str, to: str, ref: Any, delay: float, body: Any = None) -> None:
        due, place = round(self.now + delay, 6), self.places[to]
        order = -self.count if kind == "ask" and place.turned else self.count
        self.mail.append(Mail(max(due, place.frozen), order, kind, to, ref, body))
        self.count += 1

    def _member(self, ip: str) -> Replica | None:
        """The process there, to be changed."""
        if ip not in self.touched and self.places[ip].member is not None:
            self._put(ip, member=forked(self.places[ip].member, {}))
        return self.places[ip].member

    def _feed(self, ip: str, event: Any) -> None:
        member = self._member(ip)
        if member is not None:
            self._do(ip, member, member.handle(self.now, event))

    def _do(self, ip: str, member: Replica, effects: list[Any]) -> None:
        todo = deque(effects)
        while todo:
            if member.leader_role is not None:  # before a write that it may not outlive
                disks = [(at, one.vote, one.state) for at, one in self.places.items()]
                self.invariants = self.invariants.check_commit(member, disks)
            effect = todo.popleft()
            match effect:
                case SendRequest():
                    to = effect.peer, effect.context
                    ref = (self.count, ip, self.places[ip].life, effect.method, self.now, to)
                    self.open.add(self.count)
                    if not self.cell.rules.free:  # where nothing is known of time, nobody gives up
                        self.post(
                            "over", ip, ref, CALL_TIMEOUT_SECONDS, Failure(FailureReason.OUTCOME_UNKNOWN)
                        )
                    self.post("call", effect.peer, ref, TRIP_S, effect.body)
                case SendReply(reply_to=int() as number):
                    self._told(number, effect.body)
                case SendReply():
                    self._answer(ip, effect)
                case PersistState():
                    self.kept.append(effect)
                    fate = self.fate if len(self.kept) - 1 == self.fails else "kept"
                    if effect.snapshot is not None and fate in ("kept", "half", "there"):
                        self._put(ip, state=effect.snapshot)
                    if effect.vote is not None and fate in ("kept", "there"):
                        self._put(ip, vote=effect.vote)
                    if fate in FATES[1:]:
                        self.kill(ip)
                        return
                    todo.extend(member.handle(self.now, StatePersisted(fate == "kept")))
                case LogEvent(event=events.LEADER_ELECTED):
                    self.invariants = self.invariants.record_leader(
                        effect.fields["term"], member, self.places[ip].life
                    )
                case HandoverComplete():
                    self.kill(ip)
                    return
        self.invariants = self.invariants.check_replica(self.now, member, 0.0, self.places[ip].vote)

    def _answer(self, ip: str, reply: SendReply) -> None:
        number, caller, _, method, _, (_, context) = reply.reply_to
        is_vote = method == METHOD_VOTE and not context.is_pre_vote and isinstance(reply.body, list)
        if is_vote and decode_vote_response(reply.body).granted:
            place = self.places[ip]
            self.invariants = self.invariants.record_vote(ip, place.disk, context.term, caller, place.vote)
        if number in self.open:
            self.post("answer", caller, reply.reply_to, TRIP_S, reply.body)

    # ---- clients
    def _go_on(self) -> None:
        """The script's next line, once what was asked before is answered or given up."""
        if self.now > self.cell.calm_at + AGREE_S:
            raise InvariantViolationError("no agreement, though nothing befalls anybody any more")
        if not self.heard and self.now < self.asked_at + PATIENCE_S:
            return
        awake = [one.member for one in self.places.values() if one.frozen <= self.now]
        ready = any(one and one.leader_role and one.leader_role.commit_index for one in awake)
        if ready and (self.script[0] not in AGREE or self.now >= self.cell.calm_at):
            self.ask()

    def ask(self) -> "Work":
        """Ask the script's next line of every member that believes that it leads."""
        word, *rest = self.script[0].split()
        if word not in AGREE:
            self.script = self.script[1:]
        base, names = len(self.invariants.committed_history), [f"z{self.moments}"]
        if word == "put":
            base, names = int(rest[0]), rest[1:]
        if word == "again":
            made = [call.write for _, call in sorted(self.calls.items()) if call.write]
            base, names = made[-1].base, [name for _, name in made[-1].upserts if isinstance(name, str)]
        self.asked_at, self.line, self.heard = self.now, self.count, False
        if word in ("add", "remove", "replace"):
            return self.order(MembershipCommand(word, rest[0]))
        for ip in [ip for ip, one in self.places.items() if one.leads()]:
            if word in ("read", "settled"):
                self._call(ip, None, ReadRequested)
                continue
            if word in ("zone", "held"):
                self._zone(ip, rest[0], word == "held")
                continue
            for name in names:
                change = ConfigurationWrite(base, base + 1, items_of({str(base): name}), frozenset())
                self._call(ip, change, lambda ref, name=name: CommandSubmitted(ref, (base, name)))  # type: ignore[misc]
        return self

    def order(self, order: MembershipCommand) -> "Work":
        """A change of members, ordered of every member that believes that it leads."""
        for ip in [ip for ip, one in self.places.items() if one.leads()]:
            to = ip if order.ip == "leader" else order.ip
            self._call(ip, None, lambda ref, to=to: CommandSubmitted(ref, order._replace(ip=to)))  # type: ignore[misc]
        return self

    def _zone(self, ip: str, name: str, held: bool) -> None:
        """With the fence that a registry would give it now; if `held`, its effect comes before that of any
        call that is begun later, or never."""
        number, begun, member = self.count, float(self.moments), self.places[ip].member
        assert member is not None
        self.count += 1
        self.moments += 1
        self.asking.append((number, None, begun))
        until = begun + 0.5 if held else float("inf")
        self.calls[number] = Call(begun, float("inf"), evacuation=(ZONE, name == "+"), effect_deadline=until)
        order = CommandSubmitted(
            number,
            (0, name),
            FencingToken(*member.newest_heartbeat_round(), member.committed_state.index, LEFT_S),
        )
        if held or self.places[ip].frozen > self.now:
            self.post("ask", ip, None, HELD_S if held else 0.0, order)
        else:
            self._feed(ip, order)

    def _call(self, ip: str, change: ConfigurationWrite | None, event: Callable[[int], Any]) -> None:
        number, begun = self.count, float(self.moments)
        self.count += 1
        self.moments += 1
        self.asking.append((number, change, begun))
        if change is not None:
            self.calls[number] = Call(begun, float("inf"), change)
        if self.places[ip].frozen > self.now:
            self.post("ask", ip, None, 0.0, event(number))
        else:
            self._feed(ip, event(number))

    def _told(self, number: int, body: Any) -> None:
        """A client has its answer."""
        asked = next(one for one in self.asking if one[0] == number)
        self.asking.remove(asked)
        mine = number >= self.line
        self.heard = self.heard or mine
        _, change, begun = asked
        now = float(self.moments)
        self.moments += 1
        good = False
        if isinstance(body, Snapshot):
            history = history_of(body)
            held = items_of({str(at): name for at, name in enumerate(history)})
            zones = frozenset([ZONE]) if body.entries.map.get(ZONE) else frozenset[str]()
            self.calls[number] = Call(begun, now, observed=(len(history), held), evacuated_zones=zones)
            good = mine and self.script[:1] == AGREE[1:]
        elif isinstance(body, Failure):
            if number in self.calls and body.reason in (FailureReason.UNAVAILABLE, FailureReason.EXPIRED):
                del self.calls[number]  # not begun
        elif number in self.calls and self.calls[number].evacuation:
            self.calls[number] = evolve(self.calls[number], ended=now)
        elif change is not None:
            taken = body["status"] == 200
            self.calls[number] = Call(begun, now, change, ACKNOWLEDGED if taken else CONFLICT)
            good = mine and taken and self.script == AGREE
        if good:
            self.script = self.script[1:]
        wrong = find_unexplained_call(self.calls.values())
        if wrong is not None:
            raise InvariantViolationError(
                f"no order of all calls explains {wrong}: {[*map(str, self.calls.values())]}"
            )
