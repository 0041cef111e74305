"""Bytes on their way from one connection to another: one direction of one stream, held to its budget."""

from collections import deque
from collections.abc import Callable

from gevent.event import Event

from ashlift.gatekeeper.streams.budget import Budget, Share
from ashlift.gatekeeper.streams.faults import AbortedError, Fault

PEER_CHECK_INTERVAL_S = 0.05  # between two looks at a source that waits for room


class SourceEndedError(Exception):
    """The source ended before its body did."""


class Buffer:
    """A leased buffer of `size` bytes; from `start` to `end` there is something to pass on."""

    __slots__ = ("end", "size", "start", "view")

    def __init__(self, size: int) -> None:
        self.size, self.start, self.end, self.view = size, 0, 0, memoryview(bytearray(size))


class BufferPool:
    """The budget, and buffers that are used again: making one anew costs as much as filling it."""

    def __init__(self, total: int, window: int, max_shares: int) -> None:
        self.budget, self.window = Budget(total, max_shares), window
        self._free: dict[int, list[Buffer]] = {}
        self._free_bytes = 0  # bytes in free buffers
        self.pipes: dict[Share, Pipe] = {}

    def take(self, size: int) -> Buffer:
        free = self._free.get(size)
        if not free:
            self._trim(size)
            return Buffer(size)
        self._free_bytes -= size
        return free.pop()

    def recycle(self, buffer: Buffer) -> None:
        """Guards against memory beyond the budget: free buffers and held bytes together stay within it."""
        if self._free_bytes + buffer.size + self.budget.held <= self.budget.total:
            self._free_bytes += buffer.size
            self._free.setdefault(buffer.size, []).append(buffer)

    def _trim(self, size: int) -> None:
        """Let free buffers of other sizes go where a new one would not fit beside them."""
        for free in self._free.values():
            while free and self._free_bytes + self.budget.held > self.budget.total:
                self._free_bytes -= free.pop().size


class Pipe:
    """A source's greenlet leases, fills and puts slices; a sink's greenlet gets them and gives them back.

    Waits here have no limit of their own: the side that holds the other up is timed at its socket, and
    `break_off` wakes both.
    """

    def __init__(self, pool: BufferPool) -> None:
        self._pool, self._share = pool, Share(pool.window)
        pool.pipes[self._share] = self
        self._queue: deque[Buffer] = deque()
        self._space_freed, self._data_added = Event(), Event()
        self.ended = False
        self.fault: Fault | None = None
        # What an idle sink takes at once, without its greenlet: a switch costs more than the copy.
        self.write_directly: Callable[[memoryview], int] | None = None
        self._idle = False  # the sink's greenlet waits for something to do
        self.put_bytes = self.got_bytes = 0

    @property
    def held(self) -> int:
        """Bytes of the budget that are leased here."""
        return self._share.held

    @property
    def untouched(self) -> bool:
        """Whether nothing has been got yet."""
        return self.got_bytes == 0

    # ---- the source's side

    def acquire(self, wanted_bytes: int, peer_closed: Callable[[], bool] | None = None) -> Buffer:
        """A buffer for up to `want` bytes; waits for one. Raises BrokenOffError.

        Nobody reads while it waits, and so nobody sees the source end: `gone` is asked now and then, and
        EndedError raised where it says so.
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
        """Pass a leased buffer on with so many bytes in it. Whether all has gone and the buffer may be filled
        again; else it is not the source's any more. Raises BrokenOffError."""
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
        """Bytes after which a source lets others have the loop."""
        return self._pool.budget.bytes_per_turn()

    def put_copy(self, data: bytes) -> None:
        """Pass on bytes that have been read before there was a lease."""
        view = memoryview(data)
        while view:
            buffer = self.acquire(len(view))
            size = min(buffer.size, len(view))
            buffer.view[:size] = view[:size]
            view = view[size:]
            if self.put(buffer, size):
                self.release(buffer)

    def end(self) -> None:
        """All is put."""
        self.ended = True
        self._data_added.set()
        self._unregister()

    # ---- the sink's side

    def get(self) -> Buffer | None:
        """The next filled buffer, to be given back; None at the end. Raises BrokenOffError."""
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
        """Lay what was got last back in front."""
        self.got_bytes -= got.end - got.start
        self._queue.appendleft(got)

    def release(self, buffer: Buffer) -> None:
        """Give a buffer back, from either side."""
        for share in self._pool.budget.release(self._share, buffer.size):
            self._pool.pipes[share]._space_freed.set()
        self._pool.recycle(buffer)
        self._unregister()

    # ---- either

    def abort(self, fault: Fault) -> None:
        """Nothing more passes, and what lies here is dropped; the first fault counts."""
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
        """Guards against memory that grows: the pool knows a pipe for as long as bytes may pass there."""
        if (self.fault is not None or self.ended) and not self.held:
            self._pool.pipes.pop(self._share, None)
