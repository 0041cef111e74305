"""How long a member that was away takes to be level again while changes go on, and what that costs.

Real members of the store (`ashlift.simulation.configstore_process`) on links of a stated width. A change is
an order of the harness itself (`config.operator_config` would take most of the time, and is measured
elsewhere) that leaves the map as `configstore.commands` does: what it sets, `Version`, `Taken/` of the last
64. Only acknowledged ones count.
"""

import time
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from multiprocessing import Pool
from typing import Any

import cbor2
from attrs import frozen

from ashlift.configstore.catch_up import CatchUp
from ashlift.configstore.codec import METHOD_APPEND, decode_request
from ashlift.configstore.commands import MAX_ACCEPTED_DIGESTS, OperatorCommand
from ashlift.configstore.messages import AppendRequest
from ashlift.configstore.proposals import Proposal, ReadOnlyResult
from ashlift.configstore.stored_names import ACCEPTED_PREFIX
from ashlift.errors import Failure, FailureReason
from ashlift.simulation import configstore_process
from ashlift.simulation.event_loop import EventLoop, Future
from ashlift.simulation.network import SimulatedNetwork
from ashlift.simulation.plan import ZONES
from ashlift.simulation.process import Connection, Machine, Process, RpcCall, Task
from ashlift.simulation.spread import Spread

LATE_S = 0.5  # a member is level that holds whatever was committed before this
PATIENCE_S = 5.0  # of who sends a change
FRAME = 40  # bytes of a call besides its payload, about
AWAY = ("disk", "wiped", "torn")  # how the member's disk is when it comes back


@frozen
class Case:
    """`changes` while the member is away, at `before` a second, and at `rate` a second for `after_s` s
    once it is back. `wide`: routes that a change sets; `size`: bytes of one; `mbit`: its machine's line."""

    core: int = 5
    routes: int = 2000
    changes: int = 500
    before: float = 20.0
    rate: float = 10.0
    after_s: float = 15.0
    wide: int = 1
    size: int = 250
    back: str = "disk"
    mbit: float = 100.0
    restarts: bool = False  # the leader is stopped once meanwhile: another leads
    region_s: float = 0.01  # one way between regions
    far_s: float = 0.0  # and so much more to and from the member
    seed: int = 1


@frozen
class Found:
    """`level_s`: from the start of its process until it is level for good and votes; inf: not to the end."""

    level_s: float
    worst_s: float  # how late it was at most after that
    sent: int  # bytes of payloads to it, from its return on
    calls: int
    acked: int  # changes acknowledged while it was away
    acked_after: int  # and afterwards
    wanted_after: int  # and how many would have come at the rate
    leader_ms: float  # processor time of the leader's core from its return on, by change
    payloads_ms: float  # of which for what all others are sent


class Lines(SimulatedNetwork):
    """Links with a width: the bytes of a machine queue, each way."""

    def __init__(self, loop: EventLoop) -> None:
        super().__init__(loop)
        self.rates: dict[str, float] = {}  # machine -> bytes a second
        self.far: dict[str, float] = {}  # machine -> s more, each way
        self.sent: dict[str, list[int]] = {}  # machine -> bytes of each payload sent to it
        self._free: dict[tuple[str, bool], float] = {}
        self._size = FRAME

    def delay(self, one: Machine, other: Machine) -> float:
        at = self.loop.now
        for name, out in ((one.name, True), (other.name, False)):
            rate = self.rates.get(name)
            if rate:
                at = self._free[name, out] = max(at, self._free.get((name, out), 0.0)) + self._size / rate
        more = self.far.get(one.name, 0.0) + self.far.get(other.name, 0.0)
        return at - self.loop.now + more + super().delay(one, other)

    def _send(self, call: RpcCall, connection: Connection, timeout: float, future: Future) -> None:
        self._size = FRAME
        request = decode_request(call.method, call.body) if call.method == METHOD_APPEND else None
        if isinstance(request, AppendRequest) and request.payload is not None:
            self._size += len(request.payload)
            self.sent.setdefault(connection.target.name, []).append(len(request.payload))
        super()._send(call, connection, timeout, future)
        self._size = FRAME


class Counting(configstore_process.ConfigstoreProcess):
    """Counts its processor time, and decides as the harness does."""

    spent = 0.0

    def on_start(self) -> None:
        super().on_start()
        assert self.replica is not None
        self.replica.command_handler = decide

    def handle_event(self, event: Any) -> None:
        began = time.process_time()
        super().handle_event(event)
        self.spent += time.process_time() - began


@contextmanager
def timed() -> Iterator[list[float]]:
    """s of processor time that leaders spend on payloads while it lasts."""
    spent: list[float] = []
    real = CatchUp.next_payload

    def next_(self: CatchUp, *what: Any) -> bytes | None:
        began = time.process_time()
        found = real(self, *what)
        spent.append(time.process_time() - began)
        return found

    CatchUp.next_payload = next_  # type: ignore[method-assign, assignment]
    try:
        yield spent
    finally:
        CatchUp.next_payload = real  # type: ignore[method-assign]


def decide(map: Mapping[str, Any], command: OperatorCommand) -> Proposal | ReadOnlyResult:
    """Set the keys of the body, if the command builds on the current version."""
    version = int(map.get("Version", "0"), 16)
    if command.if_match != version:
        return ReadOnlyResult({"status": 412})
    made = f"{version + 1:08x}"
    old = sorted(key for key in map if key.startswith(ACCEPTED_PREFIX))[: -(MAX_ACCEPTED_DIGESTS - 1)]
    return Proposal({**command.body, "Version": made, ACCEPTED_PREFIX + made: "0" * 32}, old, {"status": 200})


def route(number: int, size: int, chance: Any) -> dict[str, Any]:
    """The text of a route, of about `size` bytes as it is packed."""
    text = {
        "Host": f"h{number % 40}.example",
        "PathPrefix": f"/p{number}/",
        "RouteType": "idempotent",
        "Timeout": f"{chance.randrange(1000, 5000)}ms",
        "Priority": number % 5,
        "Service": f"s{number % 20}",
        "MaxAttempts": 3,
        "Anonymous": False,
        "HomeRegions": [],
    }
    more = size - len(cbor2.dumps(text))
    return {**text, "Note": chance.randbytes(more // 2).hex()} if more > 8 else text


class Play:
    def __init__(self, case: Case) -> None:
        self.case, self.loop = case, EventLoop(case.seed)
        self.net = Lines(self.loop)
        self.net.region_delay = case.region_s
        self.names = [f"core-{number + 1}" for number in range(case.core)]
        zones = list(ZONES)
        for number, name in enumerate(self.names):
            zone = zones[number % len(zones)]
            machine = Machine(name, zone, ZONES[zone], self.loop.rng.uniform(0.0, 1000.0))
            self.net.machines[name] = machine
            self.net.rates[name] = 100e6 / 8
            Counting(self.loop, self.net, machine, lambda: self.names[:3])
        desk = Machine("desk", "z1", "r1", 0.0)
        self.net.machines[desk.name] = desk
        self.desk = Process(self.loop, self.net, desk, "desk")
        self.desk.up = True
        self.version = 0
        self.acked: list[float] = []
        self.commits: list[tuple[float, int]] = []  # when the leader first said that an index is committed
        self.rate = 0.0
        self._number = 0
        for name in self.names:
            self.store(name).start()

    def store(self, name: str) -> Counting:
        found = self.net.machines[name].processes[configstore_process.KIND]
        assert isinstance(found, Counting)
        return found

    def leader(self) -> str | None:
        leads = [
            (one.replica.leader_role.term, name)
            for name in self.names
            if (one := self.store(name)).replica
            and one.replica.leader_role
            and one.replica.leader_role.commit_index
        ]
        return max(leads)[1] if leads else None

    def run(self, seconds: float) -> None:
        """In steps of 10 ms, each commit noted."""
        until = self.loop.now + seconds
        while self.loop.now < until - 1e-9:
            self.loop.run(min(until, self.loop.now + 0.01))
            name = self.leader()
            member = self.store(name).replica if name else None
            index = member.committed_state.index if member else 0
            if index > (self.commits[-1][1] if self.commits else 0):
                self.commits.append((self.loop.now, index))

    def until(self, holds: Any, most: float) -> None:
        """Until it holds; an AssertionError after `most` s: what is measured would be nothing."""
        end = self.loop.now + most
        while not holds():
            assert self.loop.now < end, f"not within {most:g} s: {self.case}"
            self.run(0.01)

    # ---- changes
    def put(self, sets: dict[str, Any]) -> Task:
        """Until it is acknowledged; one that is in doubt comes again, and 412 then says that it was taken."""
        while True:
            name = self.leader() or self.names[0]
            member = self.store(name).replica
            round_ = member.newest_heartbeat_round() if member else (0, 0)
            fence = [*round_, 0, PATIENCE_S]
            order = {"kind": "put", "if_match": self.version, "body": sets, "fence": fence}
            answer = yield self.desk.call(name, configstore_process.KIND, "submit", order, PATIENCE_S)
            if not isinstance(answer, Failure) and answer["status"] in (200, 412):
                self.version += 1
                self.acked.append(self.loop.now)
                return
            yield 0.05

    def change(self) -> dict[str, Any]:
        """The next: routes that are drawn anew each time."""
        case, chance = self.case, self.loop.rng
        first = chance.randrange(max(1, case.routes - case.wide))
        numbers = range(first, first + case.wide)
        return {f"Routes/route-{one}": route(one, case.size, chance) for one in numbers}

    def sending(self, rate: float, most: int | None = None) -> None:
        """From now on, at that rate, until `most` are acknowledged or another rate is told."""
        self._number += 1
        mine, end = self._number, None if most is None else len(self.acked) + most

        def steps() -> Task:
            due = self.loop.now
            while self._number == mine and (end is None or len(self.acked) < end):
                yield from self.put(self.change())
                due = max(due + 1 / rate, self.loop.now - 1 / rate)
                yield max(0.0, due - self.loop.now)

        if rate:
            self.desk.spawn(steps())

    # ---- the case
    def begin(self) -> str:
        """All are members and hold the routes; -> who is to be away, in another region than the leader."""
        case = self.case
        self.until(lambda: self.leader() and self._members() == case.core, 20.0)
        many = {f"Routes/route-{one}": route(one, case.size, self.loop.rng) for one in range(case.routes)}
        self.desk.spawn(self.put({**many, "Services/s": {}}))
        self.until(lambda: len(self.acked) == 1, 20.0)
        leader = self.leader()
        self.until(lambda: all(self.late(name) < 1e-9 for name in self.names), 20.0)
        assert leader is not None
        region = self.net.machines[leader].region
        return next(name for name in reversed(self.names) if self.net.machines[name].region != region)

    def _members(self) -> int:
        name = self.leader()
        member = self.store(name).replica if name else None
        return len(member.voters(member.committed_state.snapshot)) if member else 0

    def votes(self, name: str) -> bool:
        member = self.store(name).replica
        return member is not None and member.vote[2]

    def late(self, name: str) -> float:
        """s since the first commit that it does not know to be one."""
        member = self.store(name).replica
        index = member.committed_state.index if member and self.votes(name) else 0
        behind = [at for at, one in reversed(self.commits[-4000:]) if one > index]
        return self.loop.now - behind[-1] if behind else 0.0

    def away(self, name: str) -> None:
        """Its process is down while the changes come."""
        case, machine = self.case, self.net.machines[name]
        self.store(name).kill(silently=True)
        machine.powered = False
        if case.back != "disk":
            machine.disk.clear()
        if case.back == "torn":
            machine.disk.update(
                vote=Failure(FailureReason.INVALID, "torn"), state=Failure(FailureReason.INVALID, "torn")
            )
        begun = len(self.acked)
        for part in (1, 2) if case.restarts else (2,):
            goal = begun + case.changes * part // 2
            self.sending(case.before, goal - len(self.acked))
            self.until(lambda goal=goal: len(self.acked) >= goal, 10.0 + 4 * case.changes / case.before)
            if part == 1:
                leader = self.leader()
                assert leader is not None
                self.store(leader).kill()
                self.loop.call_later(1.0, self.store(leader).start)
        self.run(0.5)

    def play(self) -> Found:
        case = self.case
        name = self.begin()
        before = len(self.acked)
        self.away(name)
        away = len(self.acked) - before
        self.sending(case.rate)
        self.run(1.0)
        machine = self.net.machines[name]
        machine.powered = True
        self.net.rates[name], self.net.far[name] = case.mbit * 1e6 / 8, case.far_s
        self.net.sent.clear()
        leader = self.leader()
        assert leader is not None
        spent = self.store(leader).spent
        since, acked, last, worst = self.loop.now, len(self.acked), self.loop.now, 0.0
        self.store(name).start()
        with timed() as payloads:
            while self.loop.now < since + case.after_s:
                self.run(0.01)
                late = self.late(name)
                worst = max(worst, late)
                if late > LATE_S or not self.votes(name):
                    last, worst = self.loop.now, 0.0
        level = last - since if self.loop.now - last > 1.0 else float("inf")
        after = len(self.acked) - acked
        sent = self.net.sent.get(name, [])
        core = self.store(leader).spent - spent
        return Found(
            level,
            worst,
            sum(sent),
            len(sent),
            away,
            after,
            round(case.rate * case.after_s),
            1000 * core / max(1, after),
            1000 * sum(payloads) / max(1, after),
        )


def played(case: Case) -> Found:
    return Play(case).play()


# What is measured; the member is in another region than the leader.
ROWS: dict[str, dict[str, Any]] = {
    f"{what}; {rate:g} a second": {**more, "rate": rate}
    for what, more in {
        "disk, 500 changes away": {"back": "disk"},
        "wiped, 500 changes away": {"back": "wiped"},
        "torn, 500 changes away": {"back": "torn"},
    }.items()
    for rate in (1.0, 10.0, 20.0)
} | {
    "disk, far (50 ms each way), 500 away; 20 a second": {"rate": 20.0, "far_s": 0.04},
    "wiped, far (50 ms each way), 500 away; 20 a second": {"rate": 20.0, "far_s": 0.04, "back": "wiped"},
    "disk, another leader meanwhile, 500 away; 10 a second": {"restarts": True},
    "disk, 2,000 away, 4,000 routes; 20 a second": {"rate": 20.0, "routes": 4000, "changes": 2000},
    "wiped, 2,000 away, 4,000 routes; 20 a second": {
        "rate": 20.0,
        "routes": 4000,
        "changes": 2000,
        "back": "wiped",
    },
    "disk, 100 away of 300 routes each, 4,000 routes; 10 a second": {
        "routes": 4000,
        "changes": 100,
        "wide": 300,
    },
    "wiped, routes of 1 KB, 4,000 of them, 2 Mbit/s; 10 a second": {
        "routes": 4000,
        "changes": 100,
        "size": 1000,
        "mbit": 2.0,
        "back": "wiped",
        "after_s": 25.0,
    },
}


def table(seeds: range, jobs: int) -> Iterator[str]:
    """Least, median, most: s until level, how late after, kB, calls, ms of the leader's processor."""
    heads = "level, s", "late after, s", "kB sent to it", "calls", "leader, ms a change", "acknowledged"
    yield f"| {len(seeds)} seeds; least, **median**, most | {' | '.join(heads)} |"
    yield "| --- | --- | --- | --- | --- | --- | --- |"
    tasks = [Case(**{**more, "seed": seed}) for more in ROWS.values() for seed in seeds]
    with Pool(jobs) as pool:
        played_ = pool.imap(played, tasks, chunksize=1)
        for what in ROWS:
            found = [next(played_) for _ in seeds]
            told = [
                Spread([float(value) for value in values])
                for values in (
                    [one.level_s for one in found],
                    [one.worst_s for one in found],
                    [one.sent / 1000 for one in found],
                    [one.calls for one in found],
                    [one.leader_ms for one in found],
                )
            ]
            taken = f"{sum(one.acked_after for one in found)} of {sum(one.wanted_after for one in found)}"
            yield f"| {what} | {' | '.join(map(str, told))} | {taken} |"
