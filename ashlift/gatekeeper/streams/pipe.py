"""Bytes on their way from one connection to another: one direction of one stream, held to its budget."""

from collections import deque
from collections.abc import Callable

from gevent.event import Event

from ashlift.gatekeeper.streams.budget import Budget, Share
from ashlift.gatekeeper.streams.faults import BrokenOffError, Fault

GONE_S = 0.05  # between two looks at a source that waits for room


class EndedError(Exception):
    """The source ended before its body did."""


class Slice:
    """A leased buffer of `size` bytes; from `start` to `end` there is something to pass on."""

    __slots__ = ("end", "size", "start", "view")

    def __init__(self, size: int) -> None:
        self.size, self.start, self.end, self.view = size, 0, 0, memoryview(bytearray(size))


class Pool:
    """The budget, and buffers that are used again: making one anew costs as much as filling it."""

    def __init__(self, total: int, window: int, most_shares: int) -> None:
        self.budget, self.window = Budget(total, most_shares), window
        self._free: dict[int, list[Slice]] = {}
        self._spare = 0  # bytes in free buffers
        self.pipes: dict[Share, Pipe] = {}

    def take(self, size: int) -> Slice:
        free = self._free.get(size)
        if not free:
            self._trim(size)
            return Slice(size)
        self._spare -= size
        return free.pop()

    def put_back(self, buffer: Slice) -> None:
        """Guards against memory beyond the budget: free buffers and held bytes together stay within it."""
        if self._spare + buffer.size + self.budget.held <= self.budget.total:
            self._spare += buffer.size
            self._free.setdefault(buffer.size, []).append(buffer)

    def _trim(self, size: int) -> None:
        """Let free buffers of other sizes go where a new one would not fit beside them."""
        for free in self._free.values():
            while free and self._spare + self.budget.held > self.budget.total:
                self._spare -= free.pop().size


class Pipe:
    """A source's greenlet leases, fills and puts slices; a sink's greenlet gets them and gives them back.

    Waits here have no limit of their own: the side that holds the other up is timed at its socket, and
    `break_off` wakes both.
    """

    def __init__(self, pool: Pool) -> None:
        self._pool, self._share = pool, Share(pool.window)
        pool.pipes[self._share] = self
        self._ready: deque[Slice] = deque()
        self._room, self._filled = Event(), Event()
        self.ended = False
        self.fault: Fault | None = None
        # What an idle sink takes at once, without its greenlet: a switch costs more than the copy.
        self.direct: Callable[[memoryview], int] | None = None
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

    def lease(self, want: int, gone: Callable[[], bool] | None = None) -> Slice:
        """A buffer for up to `want` bytes; waits for one. Raises BrokenOffError.

        Nobody reads while it waits, and so nobody sees the source end: `gone` is asked now and then, and
        EndedError raised where it says so.
        """
        while True:
            self._check()
            size = self._pool.budget.ask(self._share, want)
            if size:
                return self._pool.take(size)
            self._room.clear()
            while not self._room.wait(None if gone is None else GONE_S):
                if gone is not None and gone():
                    raise EndedError

    def put(self, leased: Slice, size: int) -> bool:
        """Pass a leased buffer on with so many bytes in it. Whether all has gone and the buffer may be filled
        again; else it is not the source's any more. Raises BrokenOffError."""
        if self.fault is not None:
            self.give(leased)
            self._check()
        self.put_bytes += size
        leased.start, leased.end = 0, size
        if self._idle and self.direct is not None:
            leased.start = self.direct(leased.view[:size])
            self.got_bytes += leased.start
        if leased.start == size:
            return True
        self._ready.append(leased)
        self._idle = False
        self._filled.set()
        return False

    def turn(self) -> int:
        """Bytes after which a source lets others have the loop."""
        return self._pool.budget.turn()

    def put_copy(self, data: bytes) -> None:
        """Pass on bytes that have been read before there was a lease."""
        view = memoryview(data)
        while view:
            leased = self.lease(len(view))
            size = min(leased.size, len(view))
            leased.view[:size] = view[:size]
            view = view[size:]
            if self.put(leased, size):
                self.give(leased)

    def end(self) -> None:
        """All is put."""
        self.ended = True
        self._filled.set()
        self._forget()

    # ---- the sink's side

    def get(self) -> Slice | None:
        """The next filled buffer, to be given back; None at the end. Raises BrokenOffError."""
        while not self._ready:
            self._check()
            if self.ended:
                return None
            self._filled.clear()
            self._idle = True
            try:
                self._filled.wait()
            finally:
                self._idle = False
        got = self._ready.popleft()
        self.got_bytes += got.end - got.start
        return got

    def unget(self, got: Slice) -> None:
        """Lay what was got last back in front."""
        self.got_bytes -= got.end - got.start
        self._ready.appendleft(got)

    def give(self, buffer: Slice) -> None:
        """Give a buffer back, from either side."""
        for share in self._pool.budget.give(self._share, buffer.size):
            self._pool.pipes[share]._room.set()
        self._pool.put_back(buffer)
        self._forget()

    # ---- either

    def break_off(self, fault: Fault) -> None:
        """Nothing more passes, and what lies here is dropped; the first fault counts."""
        if self.fault is not None or (self.ended and not self._ready and not self.held):
            return
        self.fault = fault
        self._pool.budget.leave(self._share)
        while self._ready:
            self.give(self._ready.popleft())
        self._room.set()
        self._filled.set()
        self._forget()

    def _check(self) -> None:
        if self.fault is not None:
            raise BrokenOffError(self.fault)

    def _forget(self) -> None:
        """Guards against memory that grows: the pool knows a pipe for as long as bytes may pass there."""
        if (self.fault is not None or self.ended) and not self.held:
            self._pool.pipes.pop(self._share, None)
