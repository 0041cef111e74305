"""The memory pool: it is never exceeded, messages never wait for each other, and each one gets its turn."""

import random

from ward import each, test

from ashlift.memory.pool import MemoryPool, MemoryShare


@test("a share grows up to the capacity, and is refused beyond it")
def _() -> None:
    pool = MemoryPool(100)
    share = pool.open(100)
    assert pool.try_grow(share, 60)
    assert not pool.try_grow(pool.open(50), 50)
    assert pool.held_bytes == 60
    pool.release(share)
    assert pool.held_bytes == 0
    assert pool.peak_bytes == 60


@test("a message of the pool's capacity is accepted, a larger one is cut to it")
def _() -> None:
    pool = MemoryPool(100)
    share = pool.open(101)
    assert share.max_bytes == 100
    assert pool.try_grow(share, 100)


@test("two messages that fit only one after the other do not wait for each other")
def _() -> None:
    pool = MemoryPool(100)
    first, second = pool.open(80), pool.open(80)
    assert pool.try_grow(first, 50)
    assert pool.try_grow(second, 20)
    assert not pool.try_grow(second, 30)  # the first one needs 30 more
    assert pool.try_grow(first, 80)
    pool.release(first)
    assert pool.try_grow(second, 80)


@test("a slow message does not hold up others that fit beside it")
def _() -> None:
    pool = MemoryPool(100)
    slow, fast = pool.open(80), pool.open(80)
    assert pool.try_grow(slow, 10)
    assert all(pool.try_grow(fast, size) for size in range(10, 81, 10))


@test("a complete message counts with what it has")
def _() -> None:
    pool = MemoryPool(100)
    short = pool.open(80)
    assert pool.try_grow(short, 70)
    pool.complete(short, 20)
    assert pool.held_bytes == 20
    assert pool.try_grow(pool.open(80), 80)


@test("bytes that have been received count even beyond the capacity, and others wait for them")
def _() -> None:
    pool = MemoryPool(100)
    share = pool.open(0)
    pool.take(share, 120)
    assert not pool.try_grow(pool.open(10), 10)
    pool.release(share)
    assert pool.try_grow(pool.open(10), 10)


@test("a release wakes as many as fit, in their order, and new messages queue behind them")
def _() -> None:
    pool = MemoryPool(100)
    woken: list[str] = []
    holder, first, second = pool.open(90), pool.open(60), pool.open(60)
    assert pool.try_grow(holder, 90)
    for name, share in (("first", first), ("second", second)):
        assert not pool.try_grow(share, 60)
        pool.start_waiting(share, 60, lambda name=name: woken.append(name))  # type: ignore[misc]
    assert not pool.try_grow(pool.open(5), 5)
    pool.release(holder)
    assert woken == ["first"]
    assert not pool.try_grow(second, 60)
    assert pool.try_grow(first, 60)
    pool.stop_waiting(first)
    assert woken == ["first"]
    pool.release(first)
    assert woken == ["first", "second"]
    assert pool.try_grow(second, 60)
    assert pool.waits == 2


@test("when the first that waits is given up, the next one is woken")
def _() -> None:
    pool = MemoryPool(100)
    woken: list[str] = []
    holder, first, second = pool.open(100), pool.open(60), pool.open(60)
    assert pool.try_grow(holder, 100)
    pool.start_waiting(first, 60, lambda: woken.append("first"))
    pool.start_waiting(second, 60, lambda: woken.append("second"))
    pool.release(holder)
    pool.stop_waiting(first)
    assert woken == ["first", "second"]


@test("messages of random sizes that arrive in random steps are all received, seed {seed}")
def _(seed: int = each(*range(40))) -> None:
    rng = random.Random(seed)
    pool = MemoryPool(rng.randint(100, 400))
    messages = [(pool.open(rng.randint(1, 500)), rng.random() < 0.3) for _ in range(30)]
    waiting: dict[MemoryShare, bool] = {}
    active = dict(messages)
    idle_rounds = 0
    while active:
        share = rng.choice(list(active))
        wanted_bytes = min(share.max_bytes, share.held_bytes + rng.randint(1, 40))
        if not pool.try_grow(share, wanted_bytes):
            if share not in waiting:
                waiting[share] = True
                pool.start_waiting(share, wanted_bytes, lambda: None)
            idle_rounds += 1
            assert idle_rounds < 2000, "the messages wait for each other"
            continue
        idle_rounds = 0
        if waiting.pop(share, None):
            pool.stop_waiting(share)
        assert pool.held_bytes == sum(one.held_bytes for one, _ in messages) <= pool.capacity_bytes
        ends_early = active[share] and rng.random() < 0.05
        if share.held_bytes == share.max_bytes or ends_early:
            del active[share]
            pool.release(share)
    assert pool.held_bytes == 0
