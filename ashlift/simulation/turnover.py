"""Worlds of the store's members by chance: long runs of troubles, and of members that change."""

import argparse
import random
import time

from ashlift.configstore.membership import LEARNER_PREFIX, VOTER_PREFIX, addresses_under
from ashlift.configstore.replica_state import InvariantError
from ashlift.simulation.invariant_checker import InvariantViolationError
from ashlift.simulation.members import World

AGREED_S = 40.0  # within this, once all is well, all machines that are there vote


def turn(world: World, chance: random.Random) -> None:
    """One change of who belongs to the system, by chance."""
    leader, map = world.leader(), world.map()
    voters, held = (
        addresses_under(map, VOTER_PREFIX),
        [ip for ip in addresses_under(map, LEARNER_PREFIX) if map[LEARNER_PREFIX + ip].get("held")],
    )
    gone = [ip for ip in world.ips if world.nodes[ip].gone]
    ip = chance.choice(voters)
    match chance.choices(range(7), [5, 1, 3, 2, 2, 2, 2])[0]:
        case 0 if world.spare() > 0 and len(world.ips) < 24:  # replaced, at another address
            world.lose(ip)
            world.run(chance.uniform(0, 3))
            world.add()
        case 1 if len(voters) < 13 and len(world.ips) < 24:
            world.add()
        case 2 if leader:
            world.order("remove", chance.choice([ip, leader]))
        case 3 if leader:
            world.order("replace", chance.choice([ip, leader]))
            world.add()
        case 4 if held:
            world.order("add", chance.choice(held))
        case 5 if gone:
            world.bring_back(chance.choice(gone))
        case 6 if world.spare() > 0 and world.nodes[ip].older[0] is not None:
            world.kill(ip)
            world.run(1.0)
            world.put_back(ip)
            world.start(ip)


def agreed(world: World) -> bool:
    """All machines that are there vote, or were taken off by order; of an even number none is lost."""
    map = world.map()
    voters = addresses_under(map, VOTER_PREFIX)
    lost = [ip for ip in voters if world.nodes[ip].gone]
    there = {ip for ip in world.ips if not world.nodes[ip].gone}
    asked = {*there} - {
        ip for ip in addresses_under(map, LEARNER_PREFIX) if map[LEARNER_PREFIX + ip].get("held")
    }
    if any((vote := world.nodes[ip].vote) is None or not vote.is_voter for ip in asked):
        return False
    return asked <= {*voters} and (len(voters) % 2 == 1 or len(voters) < 4 or not lost)


def mixed(members: int, seed: int, seconds: float = 40.0, turnover: float = 0.0) -> World:
    """A long run of troubles by chance, at most a minority of members learners at a time; judged.

    `turnover`: how often in a step members change, too: then also a check that they have in the end.
    """
    chance = random.Random(seed * 7 + members)
    rates = chance.choice([0, 0.02, 0.15]), chance.choice([0, 0.1]), chance.choice([0, 0.05])
    world = World(members, seed, *rates)
    world.run(5)
    while world.now < seconds:
        world.run(chance.uniform(0.02, 0.6))
        if turnover and chance.random() < turnover:
            turn(world, chance)
        ip, other = chance.sample(world.ips, 2)
        node = world.nodes[ip]
        count = world.count()
        may_wipe = world.spare() > 0 if turnover else world.learners() < (count - 1) // 2
        match chance.choices(range(14), [30, 15, 7, 12, 5, 10, 9, 4, 3, 2, 2, 2, 5, 3])[0]:
            case 0 | 1 as kind:
                for one in world.ips:
                    member = world.nodes[one].member
                    if member and (member.leader_role or chance.random() < 0.1):
                        world.read(one) if kind else world.put(one)
            case 2:
                world.kill(ip)
            case 3:
                world.start(ip)
            case 4 if may_wipe:
                world.wipe(ip)
            case 5:
                world.thaw(ip) if node.inbox is not None else world.freeze(ip)
            case 6:
                world.cut(ip, other)
            case 7:
                world.cuts.clear()
            case 8:
                for one in set(world.ips) - {ip}:
                    world.cut(ip, one)
                    world.cut(one, ip)
            case 9:
                node.disk_fails = not node.disk_fails
            case 10:
                world.leave(ip)
            case 11:  # a closing fault: right after a change, one disk is gone and all lose power
                leader = world.leader()
                if leader:
                    world.put(leader)
                    world.run(chance.uniform(0, 0.06))
                    if world.spare() > 0 if turnover else world.learners() < (world.count() - 1) // 2:
                        world.wipe(chance.choice([leader, ip]))
                for one in world.ips:
                    world.kill(one)
                if chance.random() < 0.5:
                    world.heal()
            case 12:  # what had no yes comes again, anywhere
                doubtful = [op for op in world.ops if op.kind == "put" and not op.done][-3:]
                for op in doubtful:
                    world.put(chance.choice(world.ips), op.base, op.name)
            case 13:
                node.slow_s = chance.choice([0.0, 0.1, 0.5])
    world.settle(20)
    if turnover and not world.run(AGREED_S, lambda: agreed(world)):
        raise InvariantViolationError(f"members do not come to what is wanted: {sorted(world.map())[-30:]}")
    return world


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m ashlift.simulation members", description="Worlds by chance."
    )
    parser.add_argument("sizes", nargs="+", type=int, metavar="MEMBERS")
    parser.add_argument("--seeds", type=int, default=10, help="how many worlds of each size")
    parser.add_argument("--turnover", type=float, default=0.0, help="how often in a step members change")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    told = parser.parse_args(arguments)
    failed = 0
    for size in told.sizes:
        began, calls, changes, joined, voted = time.perf_counter(), 0, 0, 0, 0
        for seed in range(told.first, told.first + told.seeds):
            try:
                world = mixed(size, seed, turnover=told.turnover)
            except (InvariantViolationError, InvariantError) as error:
                failed += 1
                print(f"{size} members, seed {seed}: {error}", flush=True)
            else:
                calls, changes = calls + len(world.ops), changes + len(world.chain)
                joined, voted = joined + len(world.ips) - size, voted + world.turns
        took = time.perf_counter() - began
        print(
            f"{size} members, {told.seeds} worlds: {calls} calls, {changes} changes, "
            f"{joined} new machines, {voted} changes of voters, {took:.0f} s"
        )
    return 1 if failed else 0
