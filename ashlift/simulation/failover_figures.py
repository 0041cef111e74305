"""Failover times in the simulator over many seeds: from a fault to normal service and to a committed change.

The seed determines the times, link delays, worker zones and operators' choices. A fault lasts until the end
unless its event has a duration.
"""

import math
from collections.abc import Iterator
from multiprocessing import Pool
from typing import Final

from attrs import frozen

from ashlift.simulation.clients import ClientOperation
from ashlift.simulation.plan import Plan
from ashlift.simulation.scenario import Scenario
from ashlift.simulation.scenario_player import ScenarioPlayer
from ashlift.simulation.spread import Spread
from ashlift.simulation.world import World

EARLIEST_FAULT_SECONDS: Final = 7.0
BASELINE_SECONDS: Final = 1.5  # before the fault, to measure the normal success rate
WINDOW_SECONDS: Final = 0.5  # the success rate is measured in windows of this length
WINDOW_STEP_SECONDS: Final = 0.05
RECOVERED_RATIO: Final = 0.9  # of the normal success rate
OBSERVED_SECONDS: Final = 6.0  # after the fault
CLIENT_TIMEOUT_SECONDS: Final = 3.0
REQUESTS_PER_SECOND: Final = 80.0
FOLLOWER_PREFIX: Final = "follower-"

# Scenario events by fault; ZONE and REGION stand for all machines and workers in one of them.
FAULTS: Final = {
    "nothing (the change's own time)": [],
    "leader killed, back after 0.7 s": ["kill configstore leader"],
    "leader's machine without power": ["power leader"],
    "leader's inbound links blocked": ["oneway core | leader"],
    "leader's outbound links blocked": ["oneway leader | core"],
    "leader frozen": ["freeze all leader for 20"],
    "leader terminated by SIGTERM": ["term configstore leader"],
    "leader's disk hangs": ["disk hang leader"],
    "leader's disk writes fail": ["disk refuse leader"],
    "leader's disk takes 0.3 s more a write": ["disk slow leader 0.3"],
    "leader's disk takes 1 s more a write": ["disk slow leader 1"],
    "the disks of two followers hang": ["disk hang follower-1 follower-2"],
    "two followers' disks take 0.3 s more": ["disk slow follower-1 follower-2 0.3"],
    "all disks take 0.3 s more a write": ["disk slow core 0.3"],
    "two machines lose their disks": ["wipe follower-1 leader for 1"],
    "seeds exchanged, two old ones and all proxies down": [
        "seeds core-4 core-5",
        "power core-1 core-2",
        "kill proxy *",
    ],
    "all core processes killed": ["kill core *"],
    "all processes killed": ["kill all *"],
    "all power lost for 0.5 s": ["power * for 0.5"],
    "core partitioned, leader in the minority": [
        "cut leader follower-1 | follower-2 follower-3 follower-4 edge",
    ],
    "zone lost": ["power ZONE"],
    "region lost": ["power REGION"],
}


@frozen
class FailoverTimes:
    """Seconds from a fault until normal service, and until a change sent with it was acknowledged."""

    recovery_seconds: float
    acknowledged: float


def recovery_seconds_after(operations: list[ClientOperation], fault_at: float) -> float:
    """Return the seconds from the fault until the success rate stays above `RECOVERED_RATIO` of normal.

    The result is infinite if that is not reached within `OBSERVED_SECONDS`.
    """
    by_start = sorted((operation.started, operation.served) for operation in operations)

    def success_rate(start: float, end: float) -> float:
        served = [served for at, served in by_start if start <= at < end]
        return sum(served) / len(served) if served else 1.0

    normal_rate = success_rate(fault_at - BASELINE_SECONDS, fault_at)
    window_count = round((OBSERVED_SECONDS - WINDOW_SECONDS) / WINDOW_STEP_SECONDS)
    last_bad_window = -1
    for window in range(window_count):
        start = fault_at + window * WINDOW_STEP_SECONDS
        if success_rate(start, start + WINDOW_SECONDS) < RECOVERED_RATIO * normal_rate:
            last_bad_window = window
    if last_bad_window == window_count - 1:
        return math.inf
    return (last_bad_window + 1) * WINDOW_STEP_SECONDS


def measure_failover(fault: list[str], seed: int) -> FailoverTimes:
    """Simulate a fault and a configuration change that is sent at the same time."""
    plan = Plan(seed=seed, rate=REQUESTS_PER_SECOND)
    player = ScenarioPlayer(Scenario("figures", plan, ()), seed)
    world = player.world
    fault_at = EARLIEST_FAULT_SECONDS + world.loop.rng.random()
    world.run(fault_at)
    leader = world.leader() or world.core[0]
    lost_machine = world.loop.rng.choice(world.core[:3])
    for event in fault:
        words = [name for word in event.split() for name in _resolve(world, word, leader, lost_machine)]
        player.perform(words)
    player.perform(["put", "2", "look=desk"])
    world.run(fault_at + OBSERVED_SECONDS + CLIENT_TIMEOUT_SECONDS)
    acknowledged = min(change.acknowledged for change in world.history.changes if change.version == 2)
    operations = [operation for population in world.client_populations for operation in population.operations]
    return FailoverTimes(recovery_seconds_after(operations, fault_at), acknowledged - fault_at)


def _resolve(world: World, word: str, leader: str, lost_machine: str) -> list[str]:
    """Return the machines that a word of a fault stands for; kill the workers of a lost zone or region."""
    followers = [name for name in world.core if name != leader]
    if word.startswith(FOLLOWER_PREFIX):
        return [followers[int(word.removeprefix(FOLLOWER_PREFIX)) - 1]]
    if word in ("ZONE", "REGION"):
        zones = _lost_zones(world, lost_machine, whole_region=word == "REGION")
        for worker in world.worker_pool.workers.values():
            if worker.machine.zone in zones and worker.up:
                worker.kill()
        return [name for name in [*world.core, *world.edge] if world.net.machines[name].zone in zones]
    return [leader if word == "leader" else word]


def _lost_zones(world: World, lost_machine: str, whole_region: bool) -> list[str]:
    machine = world.net.machines[lost_machine]
    return [
        zone
        for zone, region in world.zones.items()
        if zone == machine.zone or (whole_region and region == machine.region)
    ]


def failover_table(seeds: range, jobs: int) -> Iterator[str]:
    """Yield the lines of a table with the minimum, median and maximum in seconds for each fault."""
    yield f"| {len(seeds)} seeds; s: least, **median**, most | served again | a change acknowledged |"
    yield "| --- | --- | --- |"
    tasks = [(fault, seed) for fault in FAULTS.values() for seed in seeds]
    with Pool(jobs) as pool:
        measured = pool.starmap(measure_failover, tasks, chunksize=1)
    for number, name in enumerate(FAULTS):
        times = measured[number * len(seeds) : (number + 1) * len(seeds)]
        recovery_seconds = Spread([one.recovery_seconds for one in times])
        acknowledged = Spread([one.acknowledged for one in times])
        yield f"| {name} | {recovery_seconds} | {acknowledged} |"
