"""Long simulations of the store's replicas with random faults and membership changes."""

import argparse
import random
import time
from collections.abc import Callable
from typing import Any, Final

from attrs import define

from ashlift.configstore.membership import LEARNER_PREFIX, VOTER_PREFIX, addresses_under
from ashlift.configstore.replica_state import InvariantError
from ashlift.simulation.invariant_checker import InvariantViolationError
from ashlift.simulation.replica_world import ReplicaWorld

MAX_MACHINES: Final = 24
MAX_VOTERS: Final = 13
FIRST_FAULT_SECONDS: Final = 5
SETTLE_SECONDS: Final = 20
MEMBERSHIP_CONVERGENCE_SECONDS: Final = 40.0  # after the last fault


def run_random_world(members: int, seed: int, seconds: float = 40.0, turnover: float = 0.0) -> ReplicaWorld:
    """Run a world with random faults and check it; at most a minority are learners at a time.

    `turnover` is the share of steps with a membership change; if positive, the membership must converge at
    the end. Raises InvariantViolationError or InvariantError.
    """
    return _RandomRun(members, seed, turnover).run(seconds)


class _RandomRun:
    """One run. A seed is reproducible only while the order of the random draws stays the same."""

    def __init__(self, members: int, seed: int, turnover: float) -> None:
        self._rng = rng = random.Random(seed * 7 + members)
        self._turnover = turnover
        loss_rate = rng.choice([0, 0.02, 0.15])
        duplicate_rate = rng.choice([0, 0.1])
        slow_rate = rng.choice([0, 0.05])
        self._world = ReplicaWorld(members, seed, loss_rate, duplicate_rate, slow_rate)
        self._faults: list[tuple[int, Callable[[str, str], None]]] = [
            (30, lambda _ip, _other: self._call_leaders(self._world.put)),
            (15, lambda _ip, _other: self._call_leaders(self._world.read)),
            (7, lambda ip, _other: self._world.kill(ip)),
            (12, lambda ip, _other: self._world.start(ip)),
            (5, self._wipe),
            (10, self._freeze_or_thaw),
            (9, self._world.block),
            (4, lambda _ip, _other: self._world.blocked_links.clear()),
            (3, self._isolate),
            (2, self._toggle_disk_failure),
            (2, lambda ip, _other: self._world.shut_down(ip)),
            (2, self._power_loss_after_put),
            (5, self._resend_unacknowledged),
            (3, self._set_disk_delay),
        ]

    def run(self, seconds: float) -> ReplicaWorld:
        """Inject faults and client calls until `seconds`, then wait for recovery and check."""
        world = self._world
        rng = self._rng
        weights, faults = zip(*self._faults, strict=True)
        world.run(FIRST_FAULT_SECONDS)
        while world.now < seconds:
            world.run(rng.uniform(0.02, 0.6))
            if self._turnover and rng.random() < self._turnover:
                change_membership(world, rng)
            ip, other = rng.sample(world.ips, 2)
            self._may_wipe = self._may_wipe_disk()
            fault = rng.choices(faults, weights)[0]
            fault(ip, other)
        world.settle(SETTLE_SECONDS)
        if self._turnover and not world.run(
            MEMBERSHIP_CONVERGENCE_SECONDS, lambda: membership_converged(world)
        ):
            entries = sorted(world.newest_entries())[-30:]
            raise InvariantViolationError(
                f"membership has not converged within {MEMBERSHIP_CONVERGENCE_SECONDS:g} s: {entries}"
            )
        return world

    def _may_wipe_disk(self) -> bool:
        if self._turnover:
            return self._world.expendable_voters() > 0
        return self._world.learner_count() < (self._world.voter_count() - 1) // 2

    # ---- faults of a machine and of its link to another one
    def _call_leaders(self, call: Callable[[str], Any]) -> None:
        """Call all replicas that believe that they lead, and a few others."""
        for ip in self._world.ips:
            replica = self._world.nodes[ip].replica
            if replica and (replica.leader_role or self._rng.random() < 0.1):
                call(ip)

    def _wipe(self, ip: str, _other: str) -> None:
        if self._may_wipe:
            self._world.wipe(ip)

    def _freeze_or_thaw(self, ip: str, _other: str) -> None:
        if self._world.nodes[ip].frozen_events is not None:
            self._world.thaw(ip)
        else:
            self._world.freeze(ip)

    def _isolate(self, ip: str, _other: str) -> None:
        for peer in set(self._world.ips) - {ip}:
            self._world.block(ip, peer)
            self._world.block(peer, ip)

    def _toggle_disk_failure(self, ip: str, _other: str) -> None:
        node = self._world.nodes[ip]
        node.disk_fails = not node.disk_fails

    def _set_disk_delay(self, ip: str, _other: str) -> None:
        self._world.nodes[ip].disk_delay = self._rng.choice([0.0, 0.1, 0.5])

    def _power_loss_after_put(self, ip: str, _other: str) -> None:
        """Shortly after a put, wipe one disk and cut the power of all machines."""
        world = self._world
        leader = world.leader()
        if leader:
            world.put(leader)
            world.run(self._rng.uniform(0, 0.06))
            if self._may_wipe_disk():
                world.wipe(self._rng.choice([leader, ip]))
        for machine in world.ips:
            world.kill(machine)
        if self._rng.random() < 0.5:
            world.heal()

    def _resend_unacknowledged(self, _ip: str, _other: str) -> None:
        """Resend the latest unacknowledged puts to random machines."""
        puts = [call for call in self._world.client_calls if call.kind == "put" and not call.succeeded]
        for put in puts[-3:]:
            self._world.put(self._rng.choice(self._world.ips), put.base, put.name)


def change_membership(world: ReplicaWorld, rng: random.Random) -> None:
    """Make one random membership change."""
    leader = world.leader()
    entries = world.newest_entries()
    voters = addresses_under(entries, VOTER_PREFIX)
    held = _held_learners(entries)
    lost = [ip for ip in world.ips if world.nodes[ip].lost]
    ip = rng.choice(voters)
    match rng.choices(range(7), [5, 1, 3, 2, 2, 2, 2])[0]:
        case 0 if world.expendable_voters() > 0 and len(world.ips) < MAX_MACHINES:
            # Replace a machine by one at another address.
            world.lose_machine(ip)
            world.run(rng.uniform(0, 3))
            world.add_machine()
        case 1 if len(voters) < MAX_VOTERS and len(world.ips) < MAX_MACHINES:
            world.add_machine()
        case 2 if leader:
            world.change_members("remove", rng.choice([ip, leader]))
        case 3 if leader:
            world.change_members("replace", rng.choice([ip, leader]))
            world.add_machine()
        case 4 if held:
            world.change_members("add", rng.choice(held))
        case 5 if lost:
            world.restore_machine(rng.choice(lost))
        case 6 if world.expendable_voters() > 0 and world.nodes[ip].lost_disk[0] is not None:
            world.kill(ip)
            world.run(1.0)
            world.restore_lost_disk(ip)
            world.start(ip)


def _held_learners(entries: Any) -> list[str]:
    """Return the learners that an operator removed, and that do not become voters by themselves."""
    return [ip for ip in addresses_under(entries, LEARNER_PREFIX) if entries[LEARNER_PREFIX + ip].get("held")]


def membership_converged(world: ReplicaWorld) -> bool:
    """Whether every machine in service votes or was removed, and no voter of an even number is lost."""
    entries = world.newest_entries()
    voters = addresses_under(entries, VOTER_PREFIX)
    lost_voters = [ip for ip in voters if world.nodes[ip].lost]
    present = {ip for ip in world.ips if not world.nodes[ip].lost}
    expected = present - {*_held_learners(entries)}
    if any((vote := world.nodes[ip].vote) is None or not vote.is_voter for ip in expected):
        return False
    is_odd_or_small = len(voters) % 2 == 1 or len(voters) < 4
    return expected <= {*voters} and (is_odd_or_small or not lost_voters)


@define
class WorldTotals:
    """Totals over the worlds of one size."""

    calls: int = 0
    commands: int = 0
    new_machines: int = 0
    voter_changes: int = 0
    failed: int = 0


def _run_worlds(size: int, seeds: range, turnover: float) -> WorldTotals:
    totals = WorldTotals()
    for seed in seeds:
        try:
            world = run_random_world(size, seed, turnover=turnover)
        except (InvariantViolationError, InvariantError) as error:
            totals.failed += 1
            print(f"{size} members, seed {seed}: {error}", flush=True)
        else:
            totals.calls += len(world.client_calls)
            totals.commands += len(world.committed_history)
            totals.new_machines += len(world.ips) - size
            totals.voter_changes += world.voter_changes
    return totals


def main(arguments: list[str]) -> int:
    """Run the command; returns its exit status."""
    parser = argparse.ArgumentParser(
        prog="python -m ashlift.simulation members", description="Simulate replicas with random faults."
    )
    parser.add_argument("sizes", nargs="+", type=int, metavar="MEMBERS")
    parser.add_argument("--seeds", type=int, default=10, help="number of worlds of each size")
    parser.add_argument("--turnover", type=float, default=0.0, help="share of steps with a membership change")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    options = parser.parse_args(arguments)
    seeds = range(options.first, options.first + options.seeds)
    failed = 0
    for size in options.sizes:
        started = time.perf_counter()
        totals = _run_worlds(size, seeds, options.turnover)
        failed += totals.failed
        elapsed = time.perf_counter() - started
        print(
            f"{size} members, {options.seeds} worlds: {totals.calls} calls, {totals.commands} changes, "
            f"{totals.new_machines} new machines, {totals.voter_changes} changes of voters, {elapsed:.0f} s"
        )
    return 1 if failed else 0
