"""Configuration store replicas that restart with outdated disks: a leader must hold all committed changes."""

from itertools import combinations

from ward import each, raises, test

from ashlift.simulation.invariant_checker import InvariantViolationError
from ashlift.simulation.replica_world import ReplicaWorld

MEMBERS = 5


def stopped_replicas(seed: int) -> ReplicaWorld:
    """Five stopped replicas with disks of different ages; a majority holds all acknowledged changes."""
    world = ReplicaWorld(MEMBERS, seed)
    assert world.run(8.0, lambda: world.leader() is not None and world.voter_count() == MEMBERS)
    world.run(2.0)
    for round_number in (0, 1):
        for _ in range(4):
            _commit_one_change(world)
        leader = world.leader()
        ip = next(ip for ip in world.ips if ip != leader and world.nodes[ip].replica)
        world.kill(ip)
        assert world.nodes[ip].snapshot is not None, round_number
    for _ in range(4):
        _commit_one_change(world)
    for ip in world.ips:
        world.kill(ip)
    return world


def _commit_one_change(world: ReplicaWorld) -> None:
    """Submit changes until one is acknowledged."""
    for _ in range(20):
        leader = world.leader()
        op = world.put(leader) if leader else None
        world.run(0.5, lambda op=op: op is None or op.answer is not None)  # type: ignore[misc]
        if op is not None and op.succeeded:
            return
    raise AssertionError("no change was acknowledged")


def last_indexes(world: ReplicaWorld) -> dict[str, int]:
    return {ip: node.snapshot.term_index[1] for ip, node in world.nodes.items() if node.snapshot}


def start_and_await_leader(world: ReplicaWorld, ips: tuple[str, ...]) -> str:
    """Start the replicas; returns the leader's IP once it has committed an entry."""
    acked = len(world.committed_history)
    for ip in ips:
        world.start(ip)

    def has_committed() -> bool:
        ip = world.leader()
        lead = world.nodes[ip].replica.leader_role if ip else None  # type: ignore[union-attr]
        return bool(lead and lead.commit_index)

    assert world.run(15.0, has_committed), "no leader was elected"
    leader = world.leader()
    assert leader is not None
    read = world.read(leader)
    world.run(1.0)
    assert isinstance(read.answer, list)
    assert len(read.answer) >= acked, "the leader has lost acknowledged changes"
    world.settle()
    return leader


@test("replicas with disks of different ages: any three elect a leader with all committed changes ({seed})")
def _(seed: int = each(1, 2)) -> None:
    indexes = last_indexes(stopped_replicas(seed))
    assert len({*indexes.values()}) >= 3, indexes
    assert max(indexes.values()) - min(indexes.values()) >= 8, indexes
    for ips in combinations(sorted(indexes), 3):
        world = stopped_replicas(seed)
        newest = max(indexes[ip] for ip in ips)
        leader = start_and_await_leader(world, ips)
        assert indexes[leader] == newest, (ips, indexes, leader)


@test("two of five replicas with old disks elect no leader")
def _() -> None:
    world = stopped_replicas(1)
    indexes = last_indexes(world)
    first, second = sorted(indexes, key=lambda ip: indexes[ip])[:2]
    world.start(first)
    world.start(second)
    world.run(10.0)
    assert world.leader() is None


@test("a disk restored to an earlier state violates an invariant: the protocol does not tolerate it")
def _() -> None:
    world = ReplicaWorld(MEMBERS, 1)
    world.run(10.0)
    _commit_one_change(world)
    leader = world.leader()
    others = [ip for ip in world.ips if ip != leader]
    for ip in others[:2]:
        world.kill(ip)
    earlier_disk = world.nodes[others[2]].vote, world.nodes[others[2]].snapshot
    for _ in range(3):
        _commit_one_change(world)
    for ip in world.ips:
        world.kill(ip)
    world.nodes[others[2]].vote, world.nodes[others[2]].snapshot = earlier_disk
    with raises(InvariantViolationError):
        for ip in others[:3]:
            world.start(ip)
        world.run(15.0)
        for ip in world.ips:
            world.start(ip)
        world.settle()
