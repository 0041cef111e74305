"""Machines, the programs on them, and their connections. All times are in seconds."""

from collections.abc import Callable, Generator
from typing import Any, Protocol

from attrs import define

from ashlift.rpc.client import CONNECT_TIMEOUT_SECONDS
from ashlift.simulation.event_loop import EventLoop, Future

Task = Generator[Any, Any, Any]  # yields seconds to sleep, or a Future to wait for


class Machine:
    """A host for programs, with a monotonic clock. Its `disk` survives a loss of power."""

    def __init__(self, name: str, zone: str, region: str, clock_offset: float, link_name: str = "") -> None:
        """`link_name`: the name for blocking links, where several machines share it."""
        self.name = name
        self.zone = zone
        self.region = region
        self.clock_offset = clock_offset
        self.link_name = link_name or name
        self.powered = True
        self.wall_clock_skew = 0.0
        self.disk: dict[str, Any] = {}
        self.disk_delay = 0.0  # added to the duration of each write
        self.disk_hangs = False
        self.disk_fails = False
        self.processes: dict[str, Process] = {}


class Connection:
    """A connection from one incarnation of a process to one incarnation of another."""

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
        self.last_answer_at = now  # initially when it was established; the next request is not older
        self.unacknowledged_since: float | None = None
        self.write_blocked_until = 0.0  # until then a call that will be aborted occupies the connection
        # Arrival times of the latest message in each direction: later messages must not overtake it.
        self.last_request_arrival = 0.0
        self.last_answer_arrival = 0.0
        self.pending: dict[Future, None] = {}  # calls without a response, in the order of sending


@define(eq=False, slots=True)
class RpcCall:
    """A remote call of one process to the program `kind` on a machine.

    `timeout` limits the whole call, `connect_timeout` the establishing of a connection; both in seconds.
    `held_seconds`: how much later the request arrives than it was sent, on a connection of its own that is
    established without delay.
    """

    caller: "Process"
    machine: str
    kind: str
    method: str
    body: Any
    timeout: float
    connect_timeout: float
    held_seconds: float = 0.0


class Network(Protocol):
    """The network as processes use it.

    `SimulatedNetwork` implements it on simulated time, and the lab on real sockets.
    """

    machines: dict[str, Machine]

    def call(self, call: RpcCall) -> Future:
        """Return a future of the response or of a Failure: UNREACHABLE (not sent) or OUTCOME_UNKNOWN."""
        ...

    def reset_connections(self, process: "Process") -> None:
        """Reset the connections of other processes to this one, which has ended."""
        ...


class Condition:
    """Condition variable for the tasks of one process."""

    def __init__(self, process: "Process") -> None:
        self._process = process
        self._waiting: list[Future] = []

    def wait(self, timeout: float) -> Future:
        """Return a future that becomes True on the next `notify_all`, or False after the timeout."""
        future = Future()
        self._waiting.append(future)
        self._process.call_later(max(0.0, timeout), future.set, False)
        return future

    def notify_all(self) -> None:
        """Wake all tasks that are waiting now."""
        waiting, self._waiting = self._waiting, []
        for future in waiting:
            if not future.done:
                self._process.call_later(0.0, future.set, True)


class Process:
    """A program on a machine.

    `handlers` are the methods that other processes may call; each returns its response or a task that does.
    `incarnation` is incremented by each start and each end.
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
        # On this machine's clock: the request that a handler is called with was not sent before this time.
        self.earliest_send_time = 0.0
        self.connections: dict[Process, Connection] = {}
        self._deferred: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        machine.processes[kind] = self

    @property
    def name(self) -> str:
        """The name of the process's machine."""
        return self.machine.name

    def clock(self) -> float:
        """Return the time of this machine's monotonic clock."""
        return self.loop.now + self.machine.clock_offset

    def start(self) -> None:
        """Start the process, unless it runs or its machine has no power."""
        if not self.up and self.machine.powered:
            self.incarnation += 1
            self.up = True
            self.frozen = False
            self._deferred = []
            self.connections = {}
            self.on_start()

    def on_start(self) -> None:
        """Start the program's tasks."""
        raise NotImplementedError

    def kill(self, silently: bool = False) -> None:
        """End the process at once. Its peers see a reset, unless the machine lost power (`silently`)."""
        if self.up:
            self.up = False
            self.frozen = False
            self.incarnation += 1
            self.on_killed(silently)
            if not silently:
                self.net.reset_connections(self)

    def on_killed(self, silently: bool) -> None:
        """Apply the effects that the end has outside the process, on its disk or its peers."""

    def freeze(self) -> None:
        """Suspend the process as SIGSTOP does."""
        self.frozen = self.up

    def thaw(self) -> None:
        """Resume the process; deferred actions run in their order or in reverse, at random."""
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
        """Run the action now, or after `thaw` if the process is frozen."""
        if self.frozen:
            self._deferred.append((action, args))
        else:
            action(*args)

    def call_later(self, delay: float, action: Callable[..., None], *args: Any) -> None:
        """Run the action after the delay in seconds, if this incarnation still runs."""
        self.loop.call_process_later(self, delay, action, *args)

    def spawn(self, task: Task, on_done: Callable[[Any], None] | None = None) -> None:
        """Run a task, which yields seconds to sleep or a Future whose value is sent back to it."""
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
        held_seconds: float = 0.0,
    ) -> Future:
        """Call a method of the program `kind` on a machine; see `Network.call` and `RpcCall`."""
        call = RpcCall(self, machine, kind, method, body, timeout, connect_timeout, held_seconds)
        return self.net.call(call)
