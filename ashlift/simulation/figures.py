"""Figures of the whole system in simulated time, over seeds: how long it fails over, what repair costs.

Every seed draws other times, links' delays, places of workers and operators' choices; the fault lasts to the
end unless its words say otherwise.
"""

import math
import statistics
from collections.abc import Iterator
from multiprocessing import Pool

from attrs import frozen

from ashlift.configstore.persistent_state import Snapshot
from ashlift.simulation.clients import ClientOperation
from ashlift.simulation.event_loop import Future
from ashlift.simulation.plan import Plan
from ashlift.simulation.process import RpcCall
from ashlift.simulation.scenario import Scenario
from ashlift.simulation.scenario_player import ScenarioPlayer
from ashlift.simulation.world import World

FAULT_S = 7.0  # when the fault comes
SPAN_S, STEP_S = 0.5, 0.05  # what is served is counted over spans of this length, so far apart
SHARE = 0.9  # of what is usual
LOOK_S = 6.0  # looked at from the fault on
DEADLINE_S = 3.0  # of clients
RATE = 80.0  # requests a second
APART_S = 0.5  # between an operator's changes during a long cut
REPAIR_S = 30.0  # given to a repair

# What befalls, by words of scenes; ZONE and REGION stand for all that is in one of them.
FAULTS = {
    "nothing (the order's own time)": [],
    "leader killed, back after 0.7 s": ["kill configstore leader"],
    "leader's machine without power": ["power leader"],
    "leader hears nobody": ["oneway core | leader"],
    "nobody hears the leader": ["oneway leader | core"],
    "leader frozen": ["freeze all leader for 20"],
    "leader told to end": ["term configstore leader"],
    "leader's disk hangs": ["disk hang leader"],
    "leader's disk refuses": ["disk refuse leader"],
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
    "core cut in two, leader in the smaller part": [
        "cut leader follower-1 | follower-2 follower-3 follower-4 edge",
    ],
    "zone lost": ["power ZONE"],
    "region lost": ["power REGION"],
}


@frozen
class Spread:
    """Of some numbers: least, median, most; `missing`: how many there are not."""

    values: list[float]

    def __str__(self) -> str:
        there = sorted(one for one in self.values if not math.isinf(one))
        if not there:
            return "never"
        told = f"{there[0]:.2f}, **{statistics.median(there):.2f}**, {there[-1]:.2f}"
        missing = len(self.values) - len(there)
        return f"{told} (never: {missing})" if missing else told


def _named(world: World, word: str, leader: str, lost: tuple[str, str]) -> list[str]:
    """A word of a fault as names of machines."""
    followers = [name for name in world.core if name != leader]
    if word.startswith("follower-"):
        return [followers[int(word[9:]) - 1]]
    if word in ("ZONE", "REGION"):
        zone, region = lost
        whole = word == "REGION"
        zones = [one for one in world.zones if one == zone or (whole and world.zones[one] == region)]
        for worker in world.worker_pool.workers.values():
            if worker.machine.zone in zones and worker.up:
                worker.kill()
        return [name for name in [*world.core, *world.edge] if world.net.machines[name].zone in zones]
    return [leader if word == "leader" else word]


def served_again(operations: list[ClientOperation], fault: float) -> float:
    """s from the fault until all later spans have 0.9 of the usual share served; inf: not within LOOK_S."""
    born = sorted((one.started, one.served) for one in operations)

    def share(since: float, until: float) -> float:
        found = [served for at, served in born if since <= at < until]
        return sum(found) / len(found) if found else 1.0

    usual, bad, steps = share(fault - 1.5, fault), -1, round((LOOK_S - SPAN_S) / STEP_S)
    for step in range(steps):
        since = fault + step * STEP_S
        if share(since, since + SPAN_S) < SHARE * usual:
            bad = step
    return math.inf if bad == steps - 1 else (bad + 1) * STEP_S


def failed_over(words: list[str], seed: int) -> tuple[float, float]:
    """s from the fault to served again, and to the acknowledgement of an order sent with the fault."""
    plan = Plan(seed=seed, rate=RATE)
    play = ScenarioPlayer(Scenario("figures", plan, ()), seed)
    world = play.world
    fault = FAULT_S + world.loop.rng.random()
    world.run(fault)
    leader, zone = world.leader() or world.core[0], world.loop.rng.choice(world.core[:3])
    at = world.net.machines[zone]
    for line in words:
        told = [name for word in line.split() for name in _named(world, word, leader, (at.zone, at.region))]
        play.perform(told)
    play.perform(["put", "2", "look=desk"])
    world.run(fault + LOOK_S + DEADLINE_S)
    acked = [one.acknowledged for one in world.history.changes if one.version == 2]
    operations = [one for population in world.client_populations for one in population.operations]
    return served_again(operations, fault), min(acked) - fault


def failover(seeds: range, jobs: int) -> Iterator[str]:
    """A table: least, median, most, s."""
    yield f"| {len(seeds)} seeds; s: least, **median**, most | served again | an order acknowledged |"
    yield "| --- | --- | --- |"
    tasks = [(words, seed) for words in FAULTS.values() for seed in seeds]
    with Pool(jobs) as pool:
        played = pool.starmap(failed_over, tasks, chunksize=1)
    for number, name in enumerate(FAULTS):
        found = played[number * len(seeds) : (number + 1) * len(seeds)]
        yield f"| {name} | {Spread([one for one, _ in found])} | {Spread([one for _, one in found])} |"


# ---- repair
class Counted:
    """Counts what is sent in calls of `append` to one machine."""

    def __init__(self, world: World, to: str) -> None:
        self.calls = self.bytes = 0
        self._net, self._to, self._call = world.net, to, world.net.call
        world.net.call = self.call  # type: ignore[method-assign]

    def call(self, call: RpcCall) -> Future:
        if call.machine == self._to and call.method == "append" and isinstance(call.body[7], bytes):
            self.calls += 1
            self.bytes += len(call.body[7])
        return self._call(call)


def _stamp(state: Snapshot) -> tuple[int, int]:
    return state.term_index


def repaired(core: int, routes: int, cut: bool, seed: int) -> tuple[float, float, int]:
    """s from a member's return, after a wipe or after a cut with 40 changes, until it holds what the leader
    does and counts; kB of payloads that it was sent, and in how many calls."""
    plan = Plan(core=core, edge=2, rate=0.0, seed=seed, until=FAULT_S)
    play = ScenarioPlayer(Scenario("figures", plan, ()), seed)
    world = play.world
    world.run(3.0)
    play.perform(["put", "2", *(f"r+extra{number}=fleet" for number in range(routes - 3))])
    world.run(FAULT_S + world.loop.rng.random())
    one = next(name for name in world.core if name != world.leader())
    if cut:
        play.perform(["cut", one, "|", *(name for name in world.core if name != one)])
        for version in range(3, 43):
            service = "desk" if version < 33 else "bill"
            play.perform(["put", str(version), "on", str(version - 1), f"extra{version % 30}={service}"])
            world.run(world.loop.now + APART_S)
        world.unblock_links()
    else:
        world.power_off([one], 1.0, wipe=True)
    counted, begun = Counted(world, one), math.inf
    until = world.loop.now + REPAIR_S
    while world.loop.now < until:
        world.run(world.loop.now + 0.01)
        process = world.configstore(one)
        if process.up:
            begun = min(begun, world.loop.now)
        member = process.replica
        newest = max(
            (other.replica.committed_state.snapshot for other in world.configstores() if other.replica),
            key=_stamp,
        )
        if (
            member
            and member.vote.is_voter
            and member.committed_state.snapshot.term_index == newest.term_index
        ):
            return world.loop.now - begun, counted.bytes / 1000, counted.calls
    return math.inf, math.inf, 0


def repair(seeds: range, jobs: int) -> Iterator[str]:
    """A table: least, median, most."""
    yield f"| {len(seeds)} seeds; least, **median**, most | s | kB sent to it | calls with them |"
    yield "| --- | --- | --- | --- |"
    for core, routes in ((5, 36), (12, 1200)):
        for cut in (False, True):
            with Pool(jobs) as pool:
                found = pool.starmap(repaired, [(core, routes, cut, seed) for seed in seeds], chunksize=1)
            told = [Spread([float(one[part]) for one in found]) for part in range(3)]
            what = "cut for 20 s, 40 changes meanwhile" if cut else "disk lost"
            yield f"| {core} members, {routes} routes: {what} | {' | '.join(map(str, told))} |"


TABLES = {"failover": failover, "repair": repair}
