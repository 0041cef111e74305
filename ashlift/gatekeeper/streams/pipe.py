"""Transfers a body between the greenlets of two connections, in buffers from a common budget."""

from collections import deque
from collections.abc import Callable

from gevent.event import Event

from ashlift.gatekeeper.streams.budget import Budget, Share
from ashlift.gatekeeper.streams.faults import AbortedError, Fault

PEER_CHECK_INTERVAL_S = 0.05  # while the source waits for a buffer


class SourceEndedError(Exception):
    """The connection ended before the body was complete."""


class Buffer:
    """A buffer of `size` bytes, which holds data from `start` to `end`."""

    __slots__ = ("end", "size", "start", "view")

    def __init__(self, size: int) -> None:
        self.size, self.start, self.end, self.view = size, 0, 0, memoryview(bytearray(size))


class BufferPool:
    """The budget of all pipes, and free buffers for reuse: allocating one costs as much as filling it."""

    def __init__(self, total: int, window: int, max_shares: int) -> None:
        self.budget, self.window = Budget(total, max_shares), window
        self._free: dict[int, list[Buffer]] = {}
        self._free_bytes = 0
        self.pipes: dict[Share, Pipe] = {}

    def take(self, size: int) -> Buffer:
        free = self._free.get(size)
        if not free:
            self._trim(size)
            return Buffer(size)
        self._free_bytes -= size
        return free.pop()

    def recycle(self, buffer: Buffer) -> None:
        """Keep a buffer for reuse, if free and held buffers together stay within the budget."""
        if self._free_bytes + buffer.size + self.budget.held <= self.budget.total:
            self._free_bytes += buffer.size
            self._free.setdefault(buffer.size, []).append(buffer)

    def _trim(self, size: int) -> None:
        """Drop free buffers until free and held buffers together are within the budget."""
        for free in self._free.values():
            while free and self._free_bytes + self.budget.held > self.budget.total:
                self._free_bytes -= free.pop().size


class Pipe:
    """One direction of a stream: the source acquires and puts buffers, the sink gets and releases them.

    Waits have no timeouts: the slower peer is timed at its socket, and `abort` wakes both greenlets.
    """

    def __init__(self, pool: BufferPool) -> None:
        self._pool, self._share = pool, Share(pool.window)
        pool.pipes[self._share] = self
        self._queue: deque[Buffer] = deque()
        self._space_freed, self._data_added = Event(), Event()
        self.ended = False
        self.fault: Fault | None = None
        # Writes to an idle sink from the source's greenlet, which saves a switch of greenlets.
        self.write_directly: Callable[[memoryview], int] | None = None
        self._idle = False  # the sink waits for data
        self.put_bytes = self.got_bytes = 0

    @property
    def held(self) -> int:
        """Bytes of the budget that this pipe holds."""
        return self._share.held

    @property
    def untouched(self) -> bool:
        """Whether the sink has taken nothing yet."""
        return self.got_bytes == 0

    # ---- source

    def acquire(self, wanted_bytes: int, peer_closed: Callable[[], bool] | None = None) -> Buffer:
        """Wait for a buffer for up to `wanted_bytes`. Raises AbortedError.

        The source does not read while it waits, and would miss the end of its connection: `peer_closed` is
        called periodically, and SourceEndedError raised if it returns true.
        """
        while True:
            self._check()
            size = self._pool.budget.acquire(self._share, wanted_bytes)
            if size:
                return self._pool.take(size)
            self._space_freed.clear()
            while not self._space_freed.wait(None if peer_closed is None else PEER_CHECK_INTERVAL_S):
                if peer_closed is not None and peer_closed():
                    raise SourceEndedError

    def put(self, buffer: Buffer, size: int) -> bool:
        """Pass `size` bytes in a buffer to the sink. Raises AbortedError.

        Returns whether all were written and the source may fill the buffer again; else the pipe keeps it.
        """
        if self.fault is not None:
            self.release(buffer)
            self._check()
        self.put_bytes += size
        buffer.start, buffer.end = 0, size
        if self._idle and self.write_directly is not None:
            buffer.start = self.write_directly(buffer.view[:size])
            self.got_bytes += buffer.start
        if buffer.start == size:
            return True
        self._queue.append(buffer)
        self._idle = False
        self._data_added.set()
        return False

    def bytes_per_turn(self) -> int:
        """Bytes after which a source yields to the event loop."""
        return self._pool.budget.bytes_per_turn()

    def put_copy(self, data: bytes) -> None:
        """Pass bytes that were read earlier to the sink."""
        view = memoryview(data)
        while view:
            buffer = self.acquire(len(view))
            size = min(buffer.size, len(view))
            buffer.view[:size] = view[:size]
            view = view[size:]
            if self.put(buffer, size):
                self.release(buffer)

    def end(self) -> None:
        """Mark the body as complete."""
        self.ended = True
        self._data_added.set()
        self._unregister()

    # ---- sink

    def get(self) -> Buffer | None:
        """Wait for the next filled buffer, which the sink releases; None at the end. Raises AbortedError."""
        while not self._queue:
            self._check()
            if self.ended:
                return None
            self._data_added.clear()
            self._idle = True
            try:
                self._data_added.wait()
            finally:
                self._idle = False
        got = self._queue.popleft()
        self.got_bytes += got.end - got.start
        return got

    def push_front(self, got: Buffer) -> None:
        """Return the last buffer got to the front of the queue."""
        self.got_bytes -= got.end - got.start
        self._queue.appendleft(got)

    def release(self, buffer: Buffer) -> None:
        """Return a buffer to the pool."""
        for share in self._pool.budget.release(self._share, buffer.size):
            self._pool.pipes[share]._space_freed.set()
        self._pool.recycle(buffer)
        self._unregister()

    # ---- both sides

    def abort(self, fault: Fault) -> None:
        """End the transfer and drop queued buffers. Only the first fault is kept."""
        if self.fault is not None or (self.ended and not self._queue and not self.held):
            return
        self.fault = fault
        self._pool.budget.cancel_wait(self._share)
        while self._queue:
            self.release(self._queue.popleft())
        self._space_freed.set()
        self._data_added.set()
        self._unregister()

    def _check(self) -> None:
        if self.fault is not None:
            raise AbortedError(self.fault)

    def _unregister(self) -> None:
        """Remove the pipe from the pool once it has ended and holds no buffers."""
        if (self.fault is not None or self.ended) and not self.held:
            self._pool.pipes.pop(self._share, None)
