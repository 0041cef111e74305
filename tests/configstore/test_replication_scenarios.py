"""Invariants I1 to I8 in scenarios, with a fault at every step, with message faults, and in random runs."""

import itertools
from collections.abc import Callable, Iterable
from pathlib import Path

from ward import each, test

from ashlift.simulation.random_replica_worlds import run_random_world
from ashlift.simulation.replica_host import MessageFault
from ashlift.simulation.replica_world import ReplicaWorld
from tests.support.replica_scenarios import ReplicaScenarioPlayer, read_scenarios

SCENARIOS = dict(read_scenarios(Path(__file__).parent.parent / "scenarios" / "configstore_agreement.txt"))


@test("configuration store scenario: {scenario}")
def _(scenario: str = each(*SCENARIOS)) -> None:
    for seed in (1, 2, 3):
        player = ReplicaScenarioPlayer(seed)
        for line in SCENARIOS[scenario]:
            player.play(line)


@test("I1 to I8 hold in long mixed runs of {members} replicas")
def _(members: int = each(3, 5, 7, 12)) -> None:
    acknowledged = sum(
        len(run_random_world(members, seed).committed_history) for seed in range(8 if members < 12 else 3)
    )
    assert acknowledged > 20, "too few commits to be conclusive"


def start_world(members: int, seed: int) -> ReplicaWorld:
    """A world whose leader has committed one change and has just received a second one."""
    world = ReplicaWorld(members, seed)
    world.run(2.5 if members == 3 else 5.0)
    leader = world.leader()
    assert leader
    world.put(leader)
    world.run(0.5)
    world.put(leader)
    return world


def step_range(members: int, seed: int, seconds: float) -> tuple[int, int]:
    """The steps from the submission of the second change until `seconds` later."""
    world = start_world(members, seed)
    first = world.step
    world.run(seconds)
    return first, world.step


@test("I3 I4: each replica killed, frozen or cut off at every step of a change")
def _(fault: str = each("kill", "freeze", "cut")) -> None:
    first, last = step_range(3, 5, 0.25)
    assert last - first > 20
    for step, ip in itertools.product(range(first + 1, last + 1), ("1", "2", "3")):
        world = start_world(3, 5)

        def inject_fault(world: ReplicaWorld = world, ip: str = ip) -> None:
            if fault == "cut":
                for other in set(world.ips) - {ip}:
                    world.block(ip, other)
                    world.block(other, ip)
            else:
                getattr(world, fault)(ip)

        world.actions_by_step[step] = inject_fault
        world.run(2.0)
        world.settle()


@test("I4 I8: at every step, one of {members} replicas loses its disk and all others lose power")
def _(members: int = each(3, 5)) -> None:
    first, last = step_range(members, 3, 0.06)
    for step, ip in itertools.product(range(first + 1, last + 2), "12345"[:members]):
        world = start_world(members, 3)

        def inject_fault(world: ReplicaWorld = world, ip: str = ip) -> None:
            world.wipe(ip)
            for other in world.ips:
                world.kill(other)

        world.actions_by_step[step] = inject_fault
        world.run(0.3)
        world.settle()

        def all_vote(world: ReplicaWorld = world) -> bool:
            return world.learner_count() == 0

        assert all_vote() or world.run(5, all_vote)


def fates_in_turn(fates: Iterable[MessageFault | None]) -> Callable[[str, str, str], MessageFault | None]:
    """Assign the given fates to the next messages of any sender."""
    remaining = iter(fates)
    return lambda sender, receiver, kind: next(remaining, None)


@test("I1 I2 I3: the first messages of an election and a commit lost, duplicated or late, in all ways")
def _() -> None:
    every = itertools.product(
        (None, MessageFault.DROPPED, MessageFault.DUPLICATED, MessageFault.LATE), repeat=4
    )
    for fates, leader_is_lost in itertools.product(every, (False, True)):
        world = start_world(3, 7)
        leader = world.leader()
        world.message_fault = fates_in_turn(fates)
        if leader_is_lost:
            world.kill(str(leader))
        world.run(1.6)
        for ip in world.ips:
            if world.nodes[ip].replica:
                world.put(ip)
        world.run(0.3)
        world.settle()
