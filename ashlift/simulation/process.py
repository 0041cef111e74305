"""Machines, the programs on them, and their connections. All times are in seconds."""

from collections.abc import Callable, Generator
from typing import Any, Protocol

from attrs import define

from ashlift.rpc.client import CONNECT_TIMEOUT_SECONDS
from ashlift.simulation.event_loop import EventLoop, Future

Task = Generator[Any, Any, Any]  # yields seconds to sleep, or a Future to wait for


class Machine:
    """A place for programs, with a steady clock. Its `disk` outlives a loss of power."""

    def __init__(self, name: str, zone: str, region: str, clock_offset: float, link_name: str = "") -> None:
        """`link_name`: the name under which its links are blocked, if several machines share one."""
        self.name = name
        self.zone = zone
        self.region = region
        self.clock_offset = clock_offset
        self.link_name = link_name or name
        self.powered = True
        self.wall_clock_skew = 0.0
        self.disk: dict[str, Any] = {}
        self.disk_delay = 0.0  # in addition to the usual time of a write
        self.disk_hangs = False
        self.disk_fails = False
        self.processes: dict[str, Process] = {}


class Connection:
    """From one incarnation of a process to one incarnation of another."""

    __slots__ = (
        "closed",
        "last_answer_arrival",
        "last_answer_at",
        "last_request_arrival",
        "pending",
        "target",
        "target_incarnation",
        "unacknowledged_since",
        "write_blocked_until",
    )

    def __init__(self, target: "Process", now: float) -> None:
        self.target = target
        self.target_incarnation = target.incarnation
        self.closed = False
        self.last_answer_at = now  # or when it came up: what is read next was not sent before
        self.unacknowledged_since: float | None = None
        self.write_blocked_until = 0.0  # a call is being written until then, and is aborted
        # When the newest bytes arrive in either direction: bytes keep their order.
        self.last_request_arrival = 0.0
        self.last_answer_arrival = 0.0
        self.pending: dict[Future, None] = {}  # of calls without an answer, in their order


@define(eq=False, slots=True)
class RpcCall:
    """A call of one process to the program `kind` on a machine.

    `timeout` is for the whole call, `connect_timeout` the most of it for the connection to come up.
    """

    caller: "Process"
    machine: str
    kind: str
    method: str
    body: Any
    timeout: float
    connect_timeout: float


class Network(Protocol):
    """What processes need of the network that carries their calls.

    `SimulatedNetwork` implements it on simulated time, and the lab on real sockets.
    """

    machines: dict[str, Machine]

    def call(self, call: RpcCall) -> Future:
        """Return the answer to come, or a Failure: UNREACHABLE (not sent) or OUTCOME_UNKNOWN (in doubt)."""
        ...

    def reset_connections(self, process: "Process") -> None:
        """Tell whoever is connected with this process that it has ended."""
        ...


class Condition:
    """Wakes all tasks of one process that wait for it."""

    def __init__(self, process: "Process") -> None:
        self._process = process
        self._waiting: list[Future] = []

    def wait(self, timeout: float) -> Future:
        """Return a future that is True on the next `notify_all`, False after the timeout."""
        future = Future()
        self._waiting.append(future)
        self._process.call_later(max(0.0, timeout), future.set, False)
        return future

    def notify_all(self) -> None:
        """Wake all who wait now."""
        waiting, self._waiting = self._waiting, []
        for future in waiting:
            if not future.done:
                self._process.call_later(0.0, future.set, True)


class Process:
    """A program on a machine.

    `handlers` are the methods that others may call; a handler returns its answer, or a task that does.
    `incarnation` changes with each start and each end.
    """

    def __init__(self, loop: EventLoop, net: Network, machine: Machine, kind: str) -> None:
        self.loop = loop
        self.net = net
        self.machine = machine
        self.kind = kind
        self.incarnation = 0
        self.up = False
        self.frozen = False
        self.handlers: dict[str, Callable[[Any], Any]] = {}
        # By this machine's clock: the request that a handler starts with was not sent before.
        self.earliest_send_time = 0.0
        self.connections: dict[Process, Connection] = {}
        self._deferred: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        machine.processes[kind] = self

    @property
    def name(self) -> str:
        """The name of its machine."""
        return self.machine.name

    def clock(self) -> float:
        """Return the time of this machine's steady clock."""
        return self.loop.now + self.machine.clock_offset

    def start(self) -> None:
        """Start it, unless it runs or its machine has no power."""
        if not self.up and self.machine.powered:
            self.incarnation += 1
            self.up = True
            self.frozen = False
            self._deferred = []
            self.connections = {}
            self.on_start()

    def on_start(self) -> None:
        """Start what the program does."""
        raise NotImplementedError

    def kill(self, silently: bool = False) -> None:
        """End it at once. Others see their connections reset, unless the power is gone (`silently`)."""
        if self.up:
            self.up = False
            self.frozen = False
            self.incarnation += 1
            self.on_killed(silently)
            if not silently:
                self.net.reset_connections(self)

    def on_killed(self, silently: bool) -> None:
        """Do what happens to the program's surroundings without its doing."""

    def freeze(self) -> None:
        """Stop it as SIGSTOP does."""
        self.frozen = self.up

    def thaw(self) -> None:
        """Continue it: timers and bytes that are due come first or last, either may be."""
        if self.frozen:
            self.frozen = False
            incarnation = self.incarnation
            deferred, self._deferred = self._deferred, []
            if self.loop.rng.random() < 0.5:
                deferred.reverse()
            for action, args in deferred:
                if self.incarnation == incarnation:
                    self.deliver(action, args)

    def deliver(self, action: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Run the action now, or once the process is thawed."""
        if self.frozen:
            self._deferred.append((action, args))
        else:
            action(*args)

    def call_later(self, delay: float, action: Callable[..., None], *args: Any) -> None:
        """Run the action after the delay, if this incarnation still runs."""
        self.loop.call_process_later(self, delay, action, *args)

    def spawn(self, task: Task, on_done: Callable[[Any], None] | None = None) -> None:
        """Run a task: it yields seconds to sleep, or a Future whose value it gets."""
        incarnation = self.incarnation

        def resume(value: Any) -> None:
            while self.incarnation == incarnation:
                try:
                    awaited = task.send(value)
                except StopIteration as stop:
                    if on_done is not None:
                        on_done(stop.value)
                    return
                if not isinstance(awaited, Future):
                    self.call_later(awaited, resume, None)
                    return
                if not awaited.done:
                    awaited.callback = resume
                    return
                value = awaited.value

        resume(None)

    def call(
        self,
        machine: str,
        kind: str,
        method: str,
        body: Any,
        timeout: float,
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
    ) -> Future:
        """Call a method of the program `kind` on a machine; see `Network.call`."""
        return self.net.call(RpcCall(self, machine, kind, method, body, timeout, connect_timeout))
