"""The memory of requests: small ones are not counted, and large ones leave room for medium ones."""

from ward import each, raises, test

from ashlift.memory.pool import MemoryPool
from ashlift.memory.requests import (
    MAX_MEDIUM_BYTES,
    MAX_MEDIUM_CHUNKED_BYTES,
    RECEIVE_BYTES,
    UNCOUNTED_REQUEST_BYTES,
    RequestMemory,
    RequestPools,
    RequestSize,
    RequestTooLargeError,
)

LIMIT_BYTES = 64 << 20


def new_pools(medium_bytes: int = 4 << 20, large_bytes: int = 80 << 20) -> RequestPools:
    return RequestPools(MemoryPool(medium_bytes), MemoryPool(large_bytes))


def receive(memory: RequestMemory, total_bytes: int, is_chunked: bool = False) -> int:
    """Receive a request in full reads; returns how much of it has arrived."""
    received = 0
    while received < total_bytes:
        reserved = memory.try_reserve(RequestSize(received, None if is_chunked else total_bytes, LIMIT_BYTES))
        if not reserved:
            return received
        received = min(total_bytes, received + reserved)
    memory.request_complete(received)
    return received


@test("the first {size} bytes of a request are not counted")
def _(size: int = each(1, 500, UNCOUNTED_REQUEST_BYTES)) -> None:
    pools = new_pools()
    assert receive(RequestMemory(pools), size) == size
    assert pools.medium.held_bytes == pools.large.held_bytes == 0


@test("a request of {size} bytes, chunked: {is_chunked}, is held once, in the pool of its size, and released")
def _(
    size: int = each(10_000, MAX_MEDIUM_BYTES, MAX_MEDIUM_BYTES + 1, 30_000, MAX_MEDIUM_CHUNKED_BYTES + 1),
    is_chunked: bool = each(False, False, False, True, True),
    is_medium: bool = each(True, True, False, True, False),
) -> None:
    pools = new_pools()
    memory = RequestMemory(pools)
    assert receive(memory, size, is_chunked) == size
    held = pools.medium.held_bytes, pools.large.held_bytes
    assert held == ((size, 0) if is_medium else (0, size))
    memory.release()
    assert pools.medium.held_bytes == pools.large.held_bytes == 0


@test("a request that arrives slowly holds at most twice what has arrived")
def _() -> None:
    pools = new_pools()
    memory = RequestMemory(pools)
    for received in range(UNCOUNTED_REQUEST_BYTES, 500_000, 1000):
        assert memory.try_reserve(RequestSize(received, None, LIMIT_BYTES))
        held = pools.medium.held_bytes + pools.large.held_bytes
        assert held <= received + min(received, RECEIVE_BYTES)


@test("large requests that wait leave the memory of medium ones free")
def _() -> None:
    pools = new_pools()
    holder = RequestMemory(pools)
    assert receive(holder, 60 << 20) == 60 << 20
    waiting = [RequestMemory(pools) for _ in range(50)]
    assert all(receive(one, 60 << 20) < 60 << 20 for one in waiting)
    assert pools.medium.held_bytes == 0
    assert receive(RequestMemory(pools), MAX_MEDIUM_BYTES) == MAX_MEDIUM_BYTES


@test("a waiting request is woken, goes on, and is not counted twice")
def _() -> None:
    pools = new_pools()
    holder, waiting = RequestMemory(pools), RequestMemory(pools)
    assert receive(holder, 60 << 20) == 60 << 20
    received = receive(waiting, 60 << 20)
    woken: list[bool] = []
    waiting.start_waiting(lambda: woken.append(True))
    holder.release()
    assert woken
    waiting.stop_waiting()
    assert waiting.try_reserve(RequestSize(received, 60 << 20, LIMIT_BYTES))
    waiting.release()
    assert pools.large.held_bytes == 0


@test("a request that could never be held is rejected, chunked: {is_chunked}")
def _(is_chunked: bool = each(False, True)) -> None:
    with raises(RequestTooLargeError):
        receive(RequestMemory(new_pools(large_bytes=2 << 20)), 3 << 20, is_chunked)
