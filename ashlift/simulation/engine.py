"""Simulated time, processes and links: one seeded heap of events. Seconds throughout."""

import heapq
import random
from collections.abc import Callable, Generator
from typing import Any, Protocol

from ashlift.errors import Failure, FailureReason
from ashlift.rpc.client import CONNECT_TIMEOUT_SECONDS
from ashlift.rpc.sockets import UNACKNOWLEDGED_TIMEOUT_MS

Steps = Generator[Any, Any, Any]  # yields seconds to sleep or a Future to wait for
STUCK_S = UNACKNOWLEDGED_TIMEOUT_MS / 1000  # a connection whose bytes nobody confirms for so long is given up


class Loop:
    """What is to happen, in order of time; `chance` is the only source of randomness."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.chance = random.Random(seed)
        self._heap: list[tuple[float, int, Process | None, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = 0
        self.count = 0

    def later(self, delay: float, action: Callable[..., None], *args: Any) -> None:
        self._order += 1
        heapq.heappush(self._heap, (self.now + delay, self._order, None, 0, action, args))

    def within(self, process: "Process", delay: float, action: Callable[..., None], *args: Any) -> None:
        """As `later`, in the process: not after its end, and while it is frozen only once it is thawed."""
        self._order += 1
        heapq.heappush(self._heap, (self.now + delay, self._order, process, process.life, action, args))

    def run(self, until: float) -> None:
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, process, life, action, args = heapq.heappop(heap)
            self.count += 1
            if process is None:
                action(*args)
            elif process.life == life:
                process.do(action, args)
        self.now = until


class Future:
    """A value to come, for one task of one process."""

    __slots__ = ("done", "then", "value")

    def __init__(self) -> None:
        self.done, self.value = False, None
        self.then: Callable[[Any], None] | None = None

    def set(self, value: Any) -> None:
        if not self.done:
            self.done, self.value = True, value
            if self.then is not None:
                self.then(value)

    def pass_to(self, other: "Future") -> None:
        """Set `other` as soon as this one is."""
        if self.done:
            other.set(self.value)
        else:
            self.then = other.set


class Signal:
    """Wakes all who wait."""

    def __init__(self, process: "Process") -> None:
        self._process = process
        self._waiting: list[Future] = []

    def wait(self, most: float) -> Future:
        """True when it is rung, False after `most` s."""
        future = Future()
        self._waiting.append(future)
        self._process.later(max(0.0, most), future.set, False)
        return future

    def ring(self) -> None:
        waiting, self._waiting = self._waiting, []
        for future in waiting:
            if not future.done:
                self._process.later(0.0, future.set, True)


class Machine:
    """A place with a steady clock; `disk` lives on without power."""

    def __init__(self, name: str, zone: str, region: str, offset: float, link: str = "") -> None:
        """`link`: by what name cuts know it, if many share one."""
        self.name, self.zone, self.region, self.offset = name, zone, region, offset
        self.link = link or name
        self.powered = True
        self.skew = 0.0  # s that its time of day is ahead
        self.disk: dict[str, Any] = {}
        self.disk_s = 0.0  # so much longer takes a write
        self.disk_hangs = self.disk_refuses = False
        self.processes: dict[str, Process] = {}


class Connection:
    """From one life of a process to one life of another."""

    __slots__ = ("closed", "life", "since", "stuck", "there", "torn", "waiting", "back", "to")

    def __init__(self, to: "Process", now: float) -> None:
        self.to, self.life, self.closed = to, to.life, False
        self.since = now  # came up, or carried its newest answer: what is read next was not written before
        self.stuck: float | None = None  # since when bytes go unconfirmed
        self.torn = 0.0  # until then a call is being written that is given up in the middle
        self.there = self.back = 0.0  # when the newest bytes arrive, either way: they keep their order
        self.waiting: dict[Future, None] = {}  # in the order of their calls


class Process:
    """A program on a machine. `handlers`: methods that others call; a handler gives a value, or steps."""

    def __init__(self, loop: Loop, net: "Network", machine: Machine, kind: str) -> None:
        self.loop, self.net, self.machine, self.kind = loop, net, machine, kind
        self.life = 0
        self.up = self.frozen = False
        self.backlog: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.handlers: dict[str, Callable[[Any], Any]] = {}
        self.written = 0.0  # by its clock: the call that a handler begins with was not written before
        self.connections: dict[Process, Connection] = {}
        machine.processes[kind] = self

    @property
    def name(self) -> str:
        return self.machine.name

    def clock(self) -> float:
        """The steady clock, as this machine counts it."""
        return self.loop.now + self.machine.offset

    def start(self) -> None:
        if not self.up and self.machine.powered:
            self.life += 1
            self.up, self.frozen, self.backlog = True, False, []
            self.connections = {}
            self.begin()

    def begin(self) -> None:
        raise NotImplementedError

    def kill(self, silently: bool = False) -> None:
        """End at once. Others see their connections reset, unless the power is gone (`silently`)."""
        if self.up:
            self.up, self.frozen = False, False
            self.life += 1
            self.ended(silently)
            if not silently:
                self.net.reset(self)

    def ended(self, silently: bool) -> None:
        """What a program does not see happen any more."""

    def freeze(self) -> None:
        self.frozen = self.up

    def thaw(self) -> None:
        if self.frozen:
            self.frozen = False
            life, held, self.backlog = self.life, self.backlog, []
            if self.loop.chance.random() < 0.5:  # timers or bytes first: either may be
                held.reverse()
            for action, args in held:
                if self.life == life:
                    self.do(action, args)

    def do(self, action: Callable[..., None], args: tuple[Any, ...]) -> None:
        if self.frozen:
            self.backlog.append((action, args))
        else:
            action(*args)

    def later(self, delay: float, action: Callable[..., None], *args: Any) -> None:
        self.loop.within(self, delay, action, *args)

    def spawn(self, steps: Steps, then: Callable[[Any], None] | None = None) -> None:
        """Run steps as a task: it yields seconds, or a Future and gets its value."""
        life = self.life

        def step(value: Any) -> None:
            while self.life == life:
                try:
                    wanted = steps.send(value)
                except StopIteration as end:
                    if then is not None:
                        then(end.value)
                    return
                if not isinstance(wanted, Future):
                    return self.later(wanted, step, None)
                if not wanted.done:
                    wanted.then = step
                    return
                value = wanted.value

        step(None)

    def call(
        self,
        to: str,
        kind: str,
        method: str,
        body: Any,
        timeout: float,
        dial: float = CONNECT_TIMEOUT_SECONDS,
    ) -> Future:
        return self.net.call(self, to, kind, method, body, timeout, dial)


class Network(Protocol):
    """What processes need of the network that carries their calls.

    `Net` implements it on simulated time, and `Calls` of the lab on real sockets.
    """

    machines: dict[str, Machine]

    def call(
        self, caller: Process, to: str, kind: str, method: str, body: Any, timeout: float, dial: float
    ) -> Future:
        """The answer, or a Failure: UNREACHED (not sent) or UNANSWERED (in doubt).

        `timeout`: seconds for the whole call; `dial`: the most of these for the connection to come up.
        """
        ...

    def reset(self, gone: Process) -> None:
        """Tell whoever was connected with this process that it has ended."""
        ...


class Observer:
    """Told of what happens between processes, and of what becomes durable.

    The methods of this one do nothing; those of a subclass must not draw from the loop's chance, nor change
    anything that they are shown.
    """

    def called(self, caller: Process, to: str, kind: str, method: str, body: Any) -> None:
        """A process calls the program `kind` on the machine `to`."""

    def answered(self, caller: Process, target: Process, method: str, body: Any) -> None:
        """The called process gives its answer."""

    def received(self, caller: Process, target: Process, method: str) -> None:
        """The answer has come to the caller."""

    def stored(self, process: Process) -> None:
        """The disk of the process's machine holds something else now."""

    def tried(self, proxy: Process, worker: str, request: int, reused: bool) -> None:
        """A proxy sends a client's request to a worker, on a connection that it `reused` or on a new one."""

    def replied(self, worker: Process, proxy: Process, request: int, status: int) -> None:
        """A worker answers a try; `status` 0: it breaks the connection instead."""


class Net:
    """Links between machines: delay, loss of a call's bytes, cuts one way or both ways, and calls that are
    given up in the middle of being written (`torn`, a share): their connection ends with them."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.machines: dict[str, Machine] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.loss = self.torn = 0.0
        self.slow: dict[str, float] = {}  # machine -> s more that each message from or to it takes
        self.late = False  # bytes held up by a cut arrive however late, also if their sender has closed
        self.zone_s, self.region_s = 0.0005, 0.02
        self._held: dict[tuple[str, str], list[tuple[float, Connection, Callable[[], None]]]] = {}
        self.observer = Observer()

    def delay(self, one: Machine, other: Machine) -> float:
        base = 0.0002 if one.zone == other.zone else self.zone_s
        if one.region != other.region:
            base = self.region_s
        more = max(self.slow.get(one.name, 0.0), self.slow.get(other.name, 0.0)) if self.slow else 0.0
        return more + base * (1.0 + 0.3 * self.loop.chance.random())

    def cut(self, one: str, other: str) -> None:
        """Nothing goes from `one` to `other`."""
        self.cuts.add((one, other))

    def join(self, one: str, other: str) -> None:
        """Bytes held up by the cut go on, where their connection still stands."""
        self.cuts.discard((one, other))
        for since, connection, action in self._held.pop((one, other), []):
            if self.late or (self.loop.now - since < STUCK_S and not connection.closed):
                connection.stuck = None
                self.loop.later(self.loop.chance.uniform(0.0, 0.3), action)
            else:
                self.close(connection)

    def open(self, one: str, other: str) -> bool:
        return not self.cuts or ((one, other) not in self.cuts and (other, one) not in self.cuts)

    def close(self, connection: Connection) -> None:
        connection.closed = True
        for future in list(connection.waiting):
            future.set(Failure(FailureReason.OUTCOME_UNKNOWN, "the connection broke"))
        connection.waiting.clear()

    def drop(self, process: Process, to: str, kind: str) -> None:
        """The process closes its own connection."""
        target = self.machines[to].processes.get(kind)
        connection = process.connections.pop(target, None) if target else None
        if connection is not None:
            self.close(connection)

    def reset(self, gone: Process) -> None:
        """A process was killed and its machine stands: whoever it was connected with is told so."""
        for machine in self.machines.values():
            for process in machine.processes.values():
                connection = process.connections.get(gone)
                if connection is not None and self.open(gone.machine.link, machine.link):
                    process.later(self.delay(gone.machine, machine), self.close, connection)

    def call(
        self, caller: Process, to: str, kind: str, method: str, body: Any, timeout: float, dial: float
    ) -> Future:
        """The answer, or a Failure: UNREACHABLE (not sent) or OUTCOME_UNKNOWN (in doubt)."""
        self.observer.called(caller, to, kind, method, body)
        future, machine = Future(), self.machines.get(to)
        target = machine.processes.get(kind) if machine else None
        if machine is None or target is None:
            caller.later(0.001, future.set, Failure(FailureReason.UNREACHABLE, "nobody is there"))
            return future
        connection = caller.connections.get(target)
        stuck = connection.stuck if connection is not None else None
        if connection is not None and stuck is not None and self.loop.now - stuck > STUCK_S:
            self.close(connection)
        if connection is not None and not connection.closed and connection.torn > self.loop.now:
            left = connection.torn - self.loop.now  # it waits for its turn to write
            if timeout <= left:
                caller.later(timeout, future.set, Failure(FailureReason.UNREACHABLE, method))
            else:
                caller.later(left, self._again, caller, to, kind, method, body, timeout - left, dial, future)
            return future
        if connection is not None and not connection.closed:
            self._send(caller, connection, method, body, timeout, future)
            return future
        if not machine.powered or not self.open(caller.machine.link, machine.link):
            caller.later(
                min(timeout, dial), future.set, Failure(FailureReason.UNREACHABLE, "no connection came up")
            )
            return future
        trip = self.delay(caller.machine, machine) + self.delay(machine, caller.machine)

        def dialled() -> None:
            if not target.up:
                return future.set(Failure(FailureReason.UNREACHABLE, "refused"))
            fresh = Connection(target, self.loop.now)
            caller.connections[target] = fresh
            self._send(caller, fresh, method, body, timeout - trip, future)

        caller.later(trip, dialled)
        return future

    def _again(
        self,
        caller: Process,
        to: str,
        kind: str,
        method: str,
        body: Any,
        timeout: float,
        dial: float,
        future: Future,
    ) -> None:
        self.call(caller, to, kind, method, body, timeout, dial).pass_to(future)

    def _send(
        self, caller: Process, connection: Connection, method: str, body: Any, timeout: float, future: Future
    ) -> None:
        target, life = connection.to, caller.life
        connection.waiting[future] = None

        def over() -> None:
            connection.waiting.pop(future, None)
            future.set(Failure(FailureReason.OUTCOME_UNKNOWN, method))

        def answered(value: Any) -> None:
            if target.up and target.life == connection.life:
                self.observer.answered(caller, target, method, value)
                connection.since = self.loop.now
                self._carry(target.machine, caller.machine, connection, False, answer, value)

        def answer(value: Any) -> None:
            if caller.life == life and not connection.closed:
                caller.do(got, (value,))

        def got(value: Any) -> None:
            self.observer.received(caller, target, method)
            connection.waiting.pop(future, None)
            future.set(value)

        def arrive(_: Any) -> None:
            if connection.closed and not self.late:
                return
            if not target.machine.powered:
                connection.stuck = connection.stuck or self.loop.now
                return
            if target.life != connection.life or not target.up:
                return caller.later(self.delay(target.machine, caller.machine), self.close, connection)
            target.do(self._serve, (target, method, body, answered, connection))

        if self.torn and self.loop.chance.random() < self.torn:
            connection.torn = self.loop.now + timeout
            return caller.later(timeout, self.close, connection)
        caller.later(timeout, over)
        self._carry(caller.machine, target.machine, connection, True, arrive, None)

    def _carry(
        self,
        one: Machine,
        other: Machine,
        connection: Connection,
        there: bool,
        action: Callable[[Any], None],
        value: Any,
    ) -> None:
        if self.loss and self.loop.chance.random() < self.loss:
            return
        if self.cuts and (one.link, other.link) in self.cuts:
            connection.stuck = connection.stuck or self.loop.now
            held = self._held.setdefault((one.link, other.link), [])
            held.append((self.loop.now, connection, lambda: action(value)))
            return
        at = self.loop.now + self.delay(one, other)
        if there:
            at = connection.there = max(at, connection.there)
        else:
            connection.stuck = None
            at = connection.back = max(at, connection.back)
        self.loop.later(at - self.loop.now, action, value)

    @staticmethod
    def _serve(
        target: Process, method: str, body: Any, answered: Callable[[Any], None], connection: Connection
    ) -> None:
        handler = target.handlers.get(method)
        target.written = connection.since + target.machine.offset
        if handler is None:
            return answered(Failure(FailureReason.NOT_FOUND, method))
        found = handler(body)
        if isinstance(found, Generator):
            target.spawn(found, answered)
        else:
            answered(found)


def simulated(network: Network) -> Net:
    """The network as a simulated one, for steps that exist on simulated time alone."""
    assert isinstance(network, Net)
    return network
