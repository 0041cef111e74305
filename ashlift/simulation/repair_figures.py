"""Table of how long a replica takes to recover in simulated time after a lost disk or a network partition."""

import math
from collections.abc import Iterator
from multiprocessing import Pool
from typing import Final

from attrs import frozen

from ashlift.configstore.codec import METHOD_APPEND, decode_request
from ashlift.configstore.messages import AppendRequest
from ashlift.simulation.event_loop import Future
from ashlift.simulation.plan import Plan
from ashlift.simulation.process import RpcCall
from ashlift.simulation.scenario import Scenario
from ashlift.simulation.scenario_player import ScenarioPlayer
from ashlift.simulation.spread import Spread
from ashlift.simulation.world import World

CONFIGURED_SECONDS: Final = 3.0  # when the routes are sent
EARLIEST_FAULT_SECONDS: Final = 7.0
WIPED_SECONDS: Final = 1.0
CHANGE_INTERVAL_SECONDS: Final = 0.5  # between an operator's changes during a partition
FIRST_CHANGED_VERSION: Final = 3
CHANGES_DURING_CUT: Final = 40
MAX_REPAIR_SECONDS: Final = 30.0
POLL_SECONDS: Final = 0.01
FIRST_ROUTES: Final = 3  # of the first configuration
SIZES: Final = ((5, 36), (12, 1200))  # core machines, routes


@frozen
class Repair:
    """Seconds from a replica's return until it has caught up and votes, and the payloads sent to it."""

    seconds: float
    kilobytes: float
    calls: int


class AppendCounter:
    """Counts the `append` calls with a payload to one machine, and the bytes of their payloads."""

    def __init__(self, world: World, machine: str) -> None:
        self.calls = 0
        self.bytes = 0
        self._machine = machine
        self._call = world.net.call
        world.net.call = self._counted_call  # type: ignore[method-assign]

    def _counted_call(self, call: RpcCall) -> Future:
        if call.machine == self._machine and call.method == METHOD_APPEND:
            request = decode_request(call.method, call.body)
            if isinstance(request, AppendRequest) and isinstance(request.payload, bytes):
                self.calls += 1
                self.bytes += len(request.payload)
        return self._call(call)


def measure_repair(core: int, routes: int, cut: bool, seed: int) -> Repair:
    """Simulate the loss of a replica's disk, or with `cut` a partition, until it has caught up."""
    plan = Plan(core=core, edge=2, rate=0.0, seed=seed, until=EARLIEST_FAULT_SECONDS)
    player = ScenarioPlayer(Scenario("figures", plan, ()), seed)
    world = player.world
    world.run(CONFIGURED_SECONDS)
    player.perform(["put", "2", *(f"r+extra{number}=fleet" for number in range(routes - FIRST_ROUTES))])
    world.run(EARLIEST_FAULT_SECONDS + world.loop.rng.random())
    machine = next(name for name in world.core if name != world.leader())
    if cut:
        _cut_off(player, machine)
    else:
        world.power_off([machine], WIPED_SECONDS, wipe=True)
    return _await_caught_up(world, machine)


def _cut_off(player: ScenarioPlayer, machine: str) -> None:
    """Partition the machine from the core while an operator makes changes, then heal the partition."""
    world = player.world
    player.perform(["cut", machine, "|", *(name for name in world.core if name != machine)])
    for version in range(FIRST_CHANGED_VERSION, FIRST_CHANGED_VERSION + CHANGES_DURING_CUT):
        service = "desk" if version < 33 else "bill"
        player.perform(["put", str(version), "on", str(version - 1), f"extra{version % 30}={service}"])
        world.run(world.loop.now + CHANGE_INTERVAL_SECONDS)
    world.unblock_links()


def _await_caught_up(world: World, machine: str) -> Repair:
    counter = AppendCounter(world, machine)
    returned_at = math.inf
    end = world.loop.now + MAX_REPAIR_SECONDS
    process = world.configstore(machine)
    while world.loop.now < end:
        world.run(world.loop.now + POLL_SECONDS)
        if process.up:
            returned_at = min(returned_at, world.loop.now)
        newest = max(
            store.replica.committed_state.snapshot.term_index
            for store in world.configstores()
            if store.replica
        )
        replica = process.replica
        if replica and replica.vote.is_voter and replica.committed_state.snapshot.term_index == newest:
            return Repair(world.loop.now - returned_at, counter.bytes / 1000, counter.calls)
    return Repair(math.inf, math.inf, 0)


def repair_table(seeds: range, jobs: int) -> Iterator[str]:
    """Yield the lines of a Markdown table with the minimum, median and maximum for each size and fault."""
    yield f"| {len(seeds)} seeds; least, **median**, most | s | kB sent to it | calls with them |"
    yield "| --- | --- | --- | --- |"
    for core, routes in SIZES:
        for cut in (False, True):
            with Pool(jobs) as pool:
                tasks = [(core, routes, cut, seed) for seed in seeds]
                repairs = pool.starmap(measure_repair, tasks, chunksize=1)
            spreads = [
                Spread([repair.seconds for repair in repairs]),
                Spread([repair.kilobytes for repair in repairs]),
                Spread([float(repair.calls) for repair in repairs]),
            ]
            fault = "cut for 20 s, 40 changes meanwhile" if cut else "disk lost"
            yield f"| {core} members, {routes} routes: {fault} | {' | '.join(map(str, spreads))} |"
