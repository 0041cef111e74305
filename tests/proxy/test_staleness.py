"""Members with disks of every staleness: whoever leads holds all that was committed."""

from itertools import combinations

from ward import each, raises, test

from ashlift.simulation.invariant_checker import InvariantViolationError
from ashlift.simulation.replica_world import ReplicaWorld

MEMBERS = 5


def stale(seed: int) -> ReplicaWorld:
    """Five members of which each stopped after other changes: the first after none of them, the last with all
    that was acknowledged, which a majority holds."""
    world = ReplicaWorld(MEMBERS, seed)
    assert world.run(8.0, lambda: world.leader() is not None and world.voter_count() == MEMBERS)
    world.run(2.0)
    for gone in (0, 1):
        for _ in range(4):
            _commit_one_change(world)
        leader = world.leader()
        ip = next(ip for ip in world.ips if ip != leader and world.nodes[ip].replica)
        world.kill(ip)
        assert world.nodes[ip].snapshot is not None, gone
    for _ in range(4):
        _commit_one_change(world)
    for ip in world.ips:
        world.kill(ip)
    return world


def _commit_one_change(world: ReplicaWorld) -> None:
    """One change that is acknowledged."""
    for _ in range(20):
        leader = world.leader()
        op = world.put(leader) if leader else None
        world.run(0.5, lambda op=op: op is None or op.answer is not None)  # type: ignore[misc]
        if op is not None and op.succeeded:
            return
    raise AssertionError("nothing is acknowledged")


def staleness(world: ReplicaWorld) -> dict[str, int]:
    return {ip: node.snapshot.term_index[1] for ip, node in world.nodes.items() if node.snapshot}


def begun(world: ReplicaWorld, ips: tuple[str, ...]) -> str:
    """These start; -> who leads, once it has committed."""
    acked = len(world.committed_history)
    for ip in ips:
        world.start(ip)

    def leads() -> bool:
        ip = world.leader()
        lead = world.nodes[ip].replica.leader_role if ip else None  # type: ignore[union-attr]
        return bool(lead and lead.commit_index)

    assert world.run(15.0, leads), "nobody leads"
    leader = world.leader()
    assert leader is not None
    read = world.read(leader)
    world.run(1.0)
    assert isinstance(read.answer, list)
    assert len(read.answer) >= acked, "an older state is led with"
    world.settle()
    return leader


@test("of disks of different days, whichever three start, who leads holds all that was committed ({seed})")
def _(seed: int = each(1, 2)) -> None:
    old = staleness(stale(seed))
    assert len({*old.values()}) >= 3, old
    assert max(old.values()) - min(old.values()) >= 8, old
    for ips in combinations(sorted(old), 3):
        world = stale(seed)
        newest = max(old[ip] for ip in ips)
        leader = begun(world, ips)
        assert old[leader] == newest, (ips, old, leader)


@test("two of three are gone for good, and the third has an old disk: nobody leads, nothing old is told")
def _() -> None:
    world = stale(1)
    old = staleness(world)
    first, second = sorted(old, key=lambda ip: old[ip])[:2]
    world.start(first)
    world.start(second)
    world.run(10.0)
    assert world.leader() is None


@test("broken on purpose, a disk put back as it was on an earlier day: found, for that no arithmetic bears")
def _() -> None:
    world = ReplicaWorld(MEMBERS, 1)
    world.run(10.0)
    _commit_one_change(world)
    leader = world.leader()
    others = [ip for ip in world.ips if ip != leader]
    for ip in others[:2]:
        world.kill(ip)
    earlier = world.nodes[others[2]].vote, world.nodes[others[2]].snapshot
    for _ in range(3):
        _commit_one_change(world)
    for ip in world.ips:
        world.kill(ip)
    world.nodes[others[2]].vote, world.nodes[others[2]].snapshot = earlier
    with raises(InvariantViolationError):
        for ip in others[:3]:
            world.start(ip)
        world.run(15.0)
        for ip in world.ips:
            world.start(ip)
        world.settle()
