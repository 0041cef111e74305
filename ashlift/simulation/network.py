"""Simulated network: links between machines, connections and remote calls. All times are in seconds."""

from collections.abc import Callable, Generator
from typing import Any, Final

from attrs import evolve

from ashlift.errors import Failure, FailureReason
from ashlift.rpc.sockets import UNACKNOWLEDGED_TIMEOUT_MS
from ashlift.simulation.event_loop import EventLoop, Future
from ashlift.simulation.observer import Observer
from ashlift.simulation.process import Connection, Machine, Network, Process, RpcCall

UNACKNOWLEDGED_TIMEOUT_SECONDS: Final = UNACKNOWLEDGED_TIMEOUT_MS / 1000
SAME_ZONE_DELAY_SECONDS: Final = 0.0002
MAX_JITTER: Final = 0.3  # as a share of the delay
MAX_REDELIVERY_DELAY_SECONDS: Final = 0.3  # for retransmission after a link is unblocked
NO_TARGET_DELAY_SECONDS: Final = 0.001


class SimulatedNetwork:
    """Links between machines.

    Links delay messages, drop them (`loss_rate`), and may be blocked in one or both directions. With
    `aborted_write_rate` a call is aborted while it is being written, which closes its connection.
    """

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.machines: dict[str, Machine] = {}
        self.blocked_links: set[tuple[str, str]] = set()  # from, to
        self.loss_rate = 0.0
        self.aborted_write_rate = 0.0
        self.extra_delay: dict[str, float] = {}  # by machine, added to each message from or to it
        self.delivers_after_close = False  # messages on blocked links arrive even after the sender closed
        self.zone_delay = 0.0005
        self.region_delay = 0.02
        self.observer = Observer()
        self._undelivered: dict[tuple[str, str], list[tuple[float, Connection, Callable[[], None]]]] = {}

    # ---- links
    def delay(self, source: Machine, destination: Machine) -> float:
        """Return a random delay for one message."""
        base = SAME_ZONE_DELAY_SECONDS if source.zone == destination.zone else self.zone_delay
        if source.region != destination.region:
            base = self.region_delay
        extra = 0.0
        if self.extra_delay:
            extra = max(self.extra_delay.get(source.name, 0.0), self.extra_delay.get(destination.name, 0.0))
        return extra + base * (1.0 + MAX_JITTER * self.loop.rng.random())

    def block(self, source: str, destination: str) -> None:
        """Block messages in this direction."""
        self.blocked_links.add((source, destination))

    def unblock(self, source: str, destination: str) -> None:
        """Unblock the link, and deliver what it held on connections that have not timed out or closed."""
        self.blocked_links.discard((source, destination))
        for since, connection, deliver in self._undelivered.pop((source, destination), []):
            timed_out = self.loop.now - since >= UNACKNOWLEDGED_TIMEOUT_SECONDS
            if self.delivers_after_close or not (timed_out or connection.closed):
                connection.unacknowledged_since = None
                self.loop.call_later(self.loop.rng.uniform(0.0, MAX_REDELIVERY_DELAY_SECONDS), deliver)
            else:
                self.close(connection)

    def is_connected(self, one: str, other: str) -> bool:
        """Whether the link is open in both directions."""
        return not self.blocked_links or (
            (one, other) not in self.blocked_links and (other, one) not in self.blocked_links
        )

    # ---- connections
    def close(self, connection: Connection) -> None:
        """Break the connection: the outcome of its pending calls is unknown."""
        connection.closed = True
        for future in list(connection.pending):
            future.set(Failure(FailureReason.OUTCOME_UNKNOWN, "the connection broke"))
        connection.pending.clear()

    def close_connection(self, process: Process, machine: str, kind: str) -> None:
        """Close the process's connection to that program, if there is one."""
        target = self.machines[machine].processes.get(kind)
        connection = process.connections.pop(target, None) if target else None
        if connection is not None:
            self.close(connection)

    def reset_connections(self, process: Process) -> None:
        """Reset the connections to a process that was killed while its machine still runs."""
        for machine in self.machines.values():
            for other in machine.processes.values():
                connection = other.connections.get(process)
                if connection is not None and self.is_connected(process.machine.link_name, machine.link_name):
                    other.call_later(self.delay(process.machine, machine), self.close, connection)

    # ---- calls
    def call(self, call: RpcCall) -> Future:
        """Send the call on the open connection, or on a new one; see `Network.call`."""
        self.observer.called(call.caller, call.machine, call.kind, call.method, call.body)
        future = Future()
        machine = self.machines.get(call.machine)
        target = machine.processes.get(call.kind) if machine else None
        if target is None:
            failure = Failure(FailureReason.UNREACHABLE, "no such program on the machine")
            call.caller.call_later(NO_TARGET_DELAY_SECONDS, future.set, failure)
            return future
        connection = None if call.held_seconds else self._usable_connection(call.caller, target)
        if connection is None:
            self._connect(call, target, future)
        elif connection.write_blocked_until > self.loop.now:
            self._wait_to_write(call, connection, future)
        else:
            self._send(call, connection, call.timeout, future)
        return future

    def _usable_connection(self, caller: Process, target: Process) -> Connection | None:
        connection = caller.connections.get(target)
        if connection is None:
            return None
        since = connection.unacknowledged_since
        if since is not None and self.loop.now - since > UNACKNOWLEDGED_TIMEOUT_SECONDS:
            self.close(connection)
        return None if connection.closed else connection

    def _connect(self, call: RpcCall, target: Process, future: Future) -> None:
        caller = call.caller
        machine = target.machine
        if not machine.powered or not self.is_connected(caller.machine.link_name, machine.link_name):
            failure = Failure(FailureReason.UNREACHABLE, "no connection came up")
            caller.call_later(min(call.timeout, call.connect_timeout), future.set, failure)
            return
        round_trip = self.delay(caller.machine, machine) + self.delay(machine, caller.machine)

        def connected() -> None:
            if not target.up:
                future.set(Failure(FailureReason.UNREACHABLE, "connection refused"))
                return
            connection = Connection(target, self.loop.now)
            if not call.held_seconds:
                caller.connections[target] = connection
            self._send(call, connection, call.timeout - round_trip, future)

        caller.call_later(round_trip, connected)

    def _wait_to_write(self, call: RpcCall, connection: Connection, future: Future) -> None:
        """Wait until another call has been written on the connection, then send this one."""
        wait = connection.write_blocked_until - self.loop.now
        if call.timeout <= wait:
            failure = Failure(FailureReason.UNREACHABLE, call.method)
            call.caller.call_later(call.timeout, future.set, failure)
        else:
            later_call = evolve(call, timeout=call.timeout - wait)
            call.caller.call_later(wait, self._call_again, later_call, future)

    def _call_again(self, call: RpcCall, future: Future) -> None:
        self.call(call).forward_to(future)

    def _send(self, call: RpcCall, connection: Connection, timeout: float, future: Future) -> None:
        connection.pending[future] = None
        if self.aborted_write_rate and self.loop.rng.random() < self.aborted_write_rate:
            connection.write_blocked_until = self.loop.now + timeout
            call.caller.call_later(timeout, self.close, connection)
            return
        exchange = _Exchange(self, call, connection, future)
        call.caller.call_later(timeout, exchange.time_out)
        source = call.caller.machine
        self.transmit_request(connection, source, exchange.deliver_request, call.held_seconds)

    def transmit_request(
        self, connection: Connection, source: Machine, deliver: Callable[[], None], held_seconds: float = 0.0
    ) -> None:
        """Send a request to the connection's target; `deliver` runs when it arrives."""
        destination = connection.target.machine
        if self._is_lost_or_blocked(connection, source, destination, deliver):
            return
        arrival = self.loop.now + held_seconds + self.delay(source, destination)
        arrival = connection.last_request_arrival = max(arrival, connection.last_request_arrival)
        self.loop.call_later(arrival - self.loop.now, deliver)

    def transmit_response(
        self, connection: Connection, destination: Machine, deliver: Callable[[], None]
    ) -> None:
        """Send a response back from the connection's target; `deliver` runs when it arrives."""
        source = connection.target.machine
        if self._is_lost_or_blocked(connection, source, destination, deliver):
            return
        arrival = self.loop.now + self.delay(source, destination)
        connection.unacknowledged_since = None
        arrival = connection.last_answer_arrival = max(arrival, connection.last_answer_arrival)
        self.loop.call_later(arrival - self.loop.now, deliver)

    def _is_lost_or_blocked(
        self, connection: Connection, source: Machine, destination: Machine, deliver: Callable[[], None]
    ) -> bool:
        if self.loss_rate and self.loop.rng.random() < self.loss_rate:
            return True
        link = (source.link_name, destination.link_name)
        if not self.blocked_links or link not in self.blocked_links:
            return False
        connection.unacknowledged_since = connection.unacknowledged_since or self.loop.now
        self._undelivered.setdefault(link, []).append((self.loop.now, connection, deliver))
        return True


class _Exchange:
    """One call on a connection, with its response."""

    __slots__ = ("_response", "_call", "_caller_incarnation", "_connection", "_future", "_network")

    def __init__(
        self, network: SimulatedNetwork, call: RpcCall, connection: Connection, future: Future
    ) -> None:
        self._network = network
        self._call = call
        self._connection = connection
        self._future = future
        self._caller_incarnation = call.caller.incarnation
        self._response: Any = None

    def time_out(self) -> None:
        """Fail the call after its timeout."""
        self._connection.pending.pop(self._future, None)
        self._future.set(Failure(FailureReason.OUTCOME_UNKNOWN, self._call.method))

    def deliver_request(self) -> None:
        """Handle the arrival of the request at the target's machine."""
        connection = self._connection
        target = connection.target
        if connection.closed and not self._network.delivers_after_close:
            return
        if not target.machine.powered:
            connection.unacknowledged_since = connection.unacknowledged_since or self._network.loop.now
            return
        if target.incarnation != connection.target_incarnation or not target.up:
            caller = self._call.caller
            delay = self._network.delay(target.machine, caller.machine)
            caller.call_later(delay, self._network.close, connection)
            return
        target.deliver(self._serve, ())

    def _serve(self) -> None:
        target = self._connection.target
        target.earliest_send_time = self._connection.last_answer_at + target.machine.clock_offset
        handler = target.handlers.get(self._call.method)
        if handler is None:
            self._send_response(Failure(FailureReason.NOT_FOUND, self._call.method))
            return
        response = handler(self._call.body)
        if isinstance(response, Generator):
            target.spawn(response, self._send_response)
        else:
            self._send_response(response)

    def _send_response(self, response: Any) -> None:
        connection = self._connection
        target = connection.target
        if target.up and target.incarnation == connection.target_incarnation:
            caller = self._call.caller
            self._network.observer.responded(caller, target, self._call.method, response)
            connection.last_answer_at = self._network.loop.now
            self._response = response
            self._network.transmit_response(connection, caller.machine, self._deliver_response)

    def _deliver_response(self) -> None:
        caller = self._call.caller
        if caller.incarnation == self._caller_incarnation and not self._connection.closed:
            caller.deliver(self._receive, ())

    def _receive(self) -> None:
        self._network.observer.received(self._call.caller, self._connection.target, self._call.method)
        self._connection.pending.pop(self._future, None)
        self._future.set(self._response)


def as_simulated(network: Network) -> SimulatedNetwork:
    """Return the network as `SimulatedNetwork`, for features that real sockets do not have."""
    assert isinstance(network, SimulatedNetwork)
    return network
