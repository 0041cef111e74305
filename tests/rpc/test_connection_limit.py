"""The limit of connections: who is closed to make room, and how incomplete frames and slow peers end."""

from ward import each, test

from ashlift.rpc.connection_limit import (
    CONNECTION_BYTES,
    MAX_CONNECTIONS_FRACTION,
    ConnectionLimit,
    affordable_connections,
    usable_descriptors,
)
from ashlift.rpc.partial_frames import MIN_COUNTED_BYTES, PartialFrames
from ashlift.rpc.transfer_deadline import GRACE_SECONDS, MIN_BYTES_PER_SECOND, TransferDeadline


class StubConnection:
    """Remembers whether it was evicted."""

    def __init__(self) -> None:
        self.is_evicted = False

    def evict(self) -> None:
        self.is_evicted = True


def evicted(connections: list[StubConnection]) -> list[int]:
    return [number for number, one in enumerate(connections) if one.is_evicted]


@test("at the limit, the connection without progress for longest is evicted")
def _() -> None:
    limit = ConnectionLimit(3)
    connections = [StubConnection() for _ in range(5)]
    assert all(limit.admit(one) for one in connections[:3])
    limit.set_waiting(connections[0])
    assert limit.admit(connections[3])
    assert evicted(connections) == [1]
    limit.remove(connections[2])
    assert limit.admit(connections[4])
    assert evicted(connections) == [1]
    assert limit.evictions == 1


@test("a connection whose request is processed is kept, and a new one is refused if all are")
def _() -> None:
    limit = ConnectionLimit(2)
    connections = [StubConnection() for _ in range(3)]
    for one in connections[:2]:
        limit.admit(one)
        limit.set_busy(one)
    assert not limit.admit(connections[2])
    limit.set_waiting(connections[1])
    assert limit.admit(connections[2])
    assert evicted(connections) == [1]


@test("an evicted connection does not come back by its own progress")
def _() -> None:
    limit = ConnectionLimit(1)
    first, second, third = (StubConnection() for _ in range(3))
    limit.admit(first)
    limit.admit(second)
    limit.set_waiting(first)
    limit.admit(third)
    assert second.is_evicted


@test("{descriptors} descriptors and {memory_mb} MB pay for connections within both")
def _(descriptors: int = each(4100, 4100, 1200, 100), memory_mb: int = each(300, 200, 300, 300)) -> None:
    connections = affordable_connections(descriptors, memory_mb)
    assert connections <= usable_descriptors(descriptors)
    assert connections * CONNECTION_BYTES <= MAX_CONNECTIONS_FRACTION * memory_mb * 1_000_000


@test("of incomplete frames over the limit, the one that began first is given up")
def _() -> None:
    frames = PartialFrames(max_bytes=3 * MIN_COUNTED_BYTES)
    connections = [StubConnection() for _ in range(3)]
    for one in connections:
        frames.update(one, MIN_COUNTED_BYTES - 1)
    assert frames.held_bytes == 0
    frames.update(connections[1], 2 * MIN_COUNTED_BYTES)
    frames.update(connections[0], MIN_COUNTED_BYTES)
    assert not evicted(connections)
    frames.update(connections[0], 2 * MIN_COUNTED_BYTES)
    assert evicted(connections) == [1]
    assert frames.held_bytes == 2 * MIN_COUNTED_BYTES
    frames.update(connections[0], 0)
    assert frames.held_bytes == 0


@test("a transfer goes on while it keeps the minimum rate")
def _() -> None:
    deadline = TransferDeadline(100.0)
    assert deadline.at(0) == 100.0 + GRACE_SECONDS
    assert deadline.at(10 * MIN_BYTES_PER_SECOND) == 110.0 + GRACE_SECONDS
