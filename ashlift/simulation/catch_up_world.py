"""Measures how a store that was powered off catches up while changes continue, on links of limited bandwidth.

Only acknowledged changes count. All times are in seconds.
"""

import math
from collections.abc import Callable
from typing import Any, Final

from attrs import frozen

from ashlift.configstore.replica import Replica
from ashlift.errors import Failure, FailureReason
from ashlift.simulation import configstore_process
from ashlift.simulation.bandwidth_limited_network import BandwidthLimitedNetwork
from ashlift.simulation.event_loop import EventLoop
from ashlift.simulation.plan import ZONES
from ashlift.simulation.process import Machine, Process, Task
from ashlift.simulation.timed_configstore import TimedConfigstore, payload_times, sample_route

MAX_CAUGHT_UP_LAG_SECONDS: Final = 0.5  # of a store that counts as caught up
CAUGHT_UP_STABLE_SECONDS: Final = 1.0  # without a larger lag until the end of the measurement
CLIENT_TIMEOUT_SECONDS: Final = 5.0
CLIENT_RETRY_SECONDS: Final = 0.05
CORE_LINK_BYTES_PER_SECOND: Final = 100e6 / 8
STEP_SECONDS: Final = 0.01
START_SECONDS: Final = 20.0
RECENT_COMMITS: Final = 4000
EMPTY_DISK: Final = "wiped"
TORN_DISK: Final = "torn"
INTACT_DISK: Final = "disk"


@frozen
class CatchUpCase:
    """Parameters of one measurement.

    core: number of stores.
    routes, route_bytes: number of routes, and the size of each.
    changes, rate_before: changes made while the store is powered off, and their rate per second.
    rate, observed_seconds: rate of the changes after its return, and how long it is observed.
    routes_per_change: routes that one change sets.
    disk: state of its disk on its return.
    link_mbit: bandwidth of its link in Mbit/s.
    leader_restarts: whether the leader restarts while the store is powered off.
    region_delay: one-way delay between regions.
    extra_delay: additional one-way delay to and from the store.
    """

    core: int = 5
    routes: int = 2000
    changes: int = 500
    rate_before: float = 20.0
    rate: float = 10.0
    observed_seconds: float = 15.0
    routes_per_change: int = 1
    route_bytes: int = 250
    disk: str = INTACT_DISK
    link_mbit: float = 100.0
    leader_restarts: bool = False
    region_delay: float = 0.01
    extra_delay: float = 0.0
    seed: int = 1


@frozen
class CatchUpResult:
    """Result of one measurement.

    caught_up_after: seconds from the start of its process until the store votes and stays caught up; infinite
        if it never does.
    worst_lag: largest lag after that, in seconds.
    sent_bytes, sent_calls: bytes and number of the payloads sent to it after its return.
    acknowledged_while_down, acknowledged_after: changes acknowledged before and after its return.
    expected_after: changes that the rate calls for after its return.
    leader_ms: processor time of the leader for each change after its return.
    payload_ms: processor time spent on making payloads for each change after its return.
    """

    caught_up_after: float
    worst_lag: float
    sent_bytes: int
    sent_calls: int
    acknowledged_while_down: int
    acknowledged_after: int
    expected_after: int
    leader_ms: float
    payload_ms: float


class CatchUpWorld:
    """The stores of one case, and a client that makes changes."""

    def __init__(self, case: CatchUpCase) -> None:
        self.case = case
        self.loop = EventLoop(case.seed)
        self.net = BandwidthLimitedNetwork(self.loop)
        self.net.region_delay = case.region_delay
        self.names = [f"core-{number + 1}" for number in range(case.core)]
        zones = list(ZONES)
        for number, name in enumerate(self.names):
            self._add_store(name, zones[number % len(zones)])
        machine = Machine("client", "z1", "r1", 0.0)
        self.net.machines[machine.name] = machine
        self._client = Process(self.loop, self.net, machine, "client")
        self._client.up = True
        self._version = 0
        self.acknowledged_at: list[float] = []
        self._commits: list[tuple[float, int]] = []  # (time, index) as first seen at the leader
        self._sender_number = 0
        for name in self.names:
            self.store(name).start()

    def _add_store(self, name: str, zone: str) -> None:
        machine = Machine(name, zone, ZONES[zone], self.loop.rng.uniform(0.0, 1000.0))
        self.net.machines[name] = machine
        self.net.bytes_per_second[name] = CORE_LINK_BYTES_PER_SECOND
        TimedConfigstore(self.loop, self.net, machine, lambda: self.names[:3])

    # ---- state
    def store(self, name: str) -> TimedConfigstore:
        """Return the store on a machine."""
        process = self.net.machines[name].processes[configstore_process.KIND]
        assert isinstance(process, TimedConfigstore)
        return process

    def leader(self) -> str | None:
        """Return the leader of the highest term that has committed in its term, if any."""
        leaders = [
            (replica.leader_role.term, name)
            for name in self.names
            if (replica := self.store(name).replica)
            and replica.leader_role
            and replica.leader_role.commit_index
        ]
        return max(leaders)[1] if leaders else None

    def _leader_replica(self) -> Replica | None:
        leader = self.leader()
        return self.store(leader).replica if leader else None

    def votes(self, name: str) -> bool:
        """Whether the store on a machine is running and is a voter."""
        replica = self.store(name).replica
        return replica is not None and replica.vote.is_voter

    def lag(self, name: str) -> float:
        """Return the age in seconds of the oldest commit that a store does not know to be committed."""
        replica = self.store(name).replica
        index = replica.committed_state.index if replica and self.votes(name) else 0
        unknown = [at for at, committed in reversed(self._commits[-RECENT_COMMITS:]) if committed > index]
        return self.loop.now - unknown[-1] if unknown else 0.0

    # ---- time
    def run(self, seconds: float) -> None:
        """Run in short steps, and record the time of each commit."""
        end = self.loop.now + seconds
        while self.loop.now < end - 1e-9:
            self.loop.run(min(end, self.loop.now + STEP_SECONDS))
            replica = self._leader_replica()
            index = replica.committed_state.index if replica else 0
            if index > (self._commits[-1][1] if self._commits else 0):
                self._commits.append((self.loop.now, index))

    def run_until(self, condition: Callable[[], Any], max_seconds: float) -> None:
        """Run until the condition holds; raises AssertionError if it does not within `max_seconds`."""
        end = self.loop.now + max_seconds
        while not condition():
            assert self.loop.now < end, f"condition not met within {max_seconds:g} s: {self.case}"
            self.run(STEP_SECONDS)

    # ---- changes
    def _put(self, entries: dict[str, Any]) -> Task:
        """Retry a change until it is acknowledged; a 412 means that an earlier attempt was accepted."""
        while True:
            name = self.leader() or self.names[0]
            replica = self.store(name).replica
            heartbeat_round = replica.newest_heartbeat_round() if replica else (0, 0)
            fence = [*heartbeat_round, 0, CLIENT_TIMEOUT_SECONDS]
            command = {"kind": "put", "if_match": self._version, "body": entries, "fence": fence}
            answer = yield self._client.call(
                name, configstore_process.KIND, "submit", command, CLIENT_TIMEOUT_SECONDS
            )
            if not isinstance(answer, Failure) and answer["status"] in (200, 412):
                self._version += 1
                self.acknowledged_at.append(self.loop.now)
                return
            yield CLIENT_RETRY_SECONDS

    def _next_change(self) -> dict[str, Any]:
        """Return a change of randomly chosen consecutive routes."""
        case = self.case
        first = self.loop.rng.randrange(max(1, case.routes - case.routes_per_change))
        numbers = range(first, first + case.routes_per_change)
        return self._sample_routes(numbers)

    def _sample_routes(self, numbers: range) -> dict[str, Any]:
        size = self.case.route_bytes
        return {f"Routes/route-{number}": sample_route(number, size, self.loop.rng) for number in numbers}

    def send_changes(self, rate: float, count: int | None = None) -> None:
        """Send `rate` changes a second until `count` are acknowledged or this is called again."""
        self._sender_number += 1
        sender_number = self._sender_number
        last = math.inf if count is None else len(self.acknowledged_at) + count

        def send() -> Task:
            due = self.loop.now
            while self._sender_number == sender_number and len(self.acknowledged_at) < last:
                yield from self._put(self._next_change())
                due = max(due + 1 / rate, self.loop.now - 1 / rate)
                yield max(0.0, due - self.loop.now)

        if rate:
            self._client.spawn(send())

    # ---- measurement
    def measure(self) -> CatchUpResult:
        """Power off one store while changes are made, and measure how it catches up."""
        case = self.case
        name = self._prepare()
        count_before = len(self.acknowledged_at)
        self._power_off(name)
        acknowledged_while_down = len(self.acknowledged_at) - count_before
        self.send_changes(case.rate)
        self.run(1.0)
        self._power_on(name)
        return self._observe(name, acknowledged_while_down)

    def _prepare(self) -> str:
        """Wait until all stores vote and hold the routes; returns one outside the leader's region."""
        case = self.case
        self.run_until(lambda: self.leader() and self._voter_count() == case.core, START_SECONDS)
        self._client.spawn(self._put({**self._sample_routes(range(case.routes)), "Services/s": {}}))
        self.run_until(lambda: len(self.acknowledged_at) == 1, START_SECONDS)
        leader = self.leader()
        self.run_until(lambda: all(self.lag(name) < 1e-9 for name in self.names), START_SECONDS)
        assert leader is not None
        region = self.net.machines[leader].region
        return next(name for name in reversed(self.names) if self.net.machines[name].region != region)

    def _voter_count(self) -> int:
        replica = self._leader_replica()
        return len(replica.voters(replica.committed_state.snapshot)) if replica else 0

    def _power_off(self, name: str) -> None:
        """Power off the store's machine, alter its disk as the case says, and make the changes."""
        case = self.case
        machine = self.net.machines[name]
        self.store(name).kill(silently=True)
        machine.powered = False
        if case.disk != INTACT_DISK:
            machine.disk.clear()
        if case.disk == TORN_DISK:
            failure = Failure(FailureReason.INVALID, "torn")
            machine.disk.update(vote=failure, state=failure)
        count_before = len(self.acknowledged_at)
        if case.leader_restarts:
            self._send_and_await(count_before + case.changes // 2)
            self._restart_leader()
        self._send_and_await(count_before + case.changes)
        self.run(0.5)

    def _send_and_await(self, goal: int) -> None:
        case = self.case
        self.send_changes(case.rate_before, goal - len(self.acknowledged_at))
        max_seconds = 10.0 + 4 * case.changes / case.rate_before
        self.run_until(lambda: len(self.acknowledged_at) >= goal, max_seconds)

    def _restart_leader(self) -> None:
        leader = self.leader()
        assert leader is not None
        self.store(leader).kill()
        self.loop.call_later(1.0, self.store(leader).start)

    def _power_on(self, name: str) -> None:
        case = self.case
        self.net.machines[name].powered = True
        self.net.bytes_per_second[name] = case.link_mbit * 1e6 / 8
        self.net.link_delay[name] = case.extra_delay
        self.net.sent_payloads.clear()

    def _observe(self, name: str, acknowledged_while_down: int) -> CatchUpResult:
        case = self.case
        leader = self.leader()
        assert leader is not None
        processor_before = self.store(leader).processor_seconds
        count_before = len(self.acknowledged_at)
        started = last_behind_at = self.loop.now
        worst_lag = 0.0
        self.store(name).start()
        with payload_times() as payload_seconds:
            while self.loop.now < started + case.observed_seconds:
                self.run(STEP_SECONDS)
                lag = self.lag(name)
                worst_lag = max(worst_lag, lag)
                if lag > MAX_CAUGHT_UP_LAG_SECONDS or not self.votes(name):
                    last_behind_at = self.loop.now
                    worst_lag = 0.0
        is_caught_up = self.loop.now - last_behind_at > CAUGHT_UP_STABLE_SECONDS
        acknowledged_after = len(self.acknowledged_at) - count_before
        payloads = self.net.sent_payloads.get(name, [])
        leader_seconds = self.store(leader).processor_seconds - processor_before
        return CatchUpResult(
            caught_up_after=last_behind_at - started if is_caught_up else math.inf,
            worst_lag=worst_lag,
            sent_bytes=sum(payloads),
            sent_calls=len(payloads),
            acknowledged_while_down=acknowledged_while_down,
            acknowledged_after=acknowledged_after,
            expected_after=round(case.rate * case.observed_seconds),
            leader_ms=1000 * leader_seconds / max(1, acknowledged_after),
            payload_ms=1000 * sum(payload_seconds) / max(1, acknowledged_after),
        )


def measure_catch_up(case: CatchUpCase) -> CatchUpResult:
    """Simulate and measure a case."""
    return CatchUpWorld(case).measure()
