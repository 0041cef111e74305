"""The memory budget of all streams, with a window for each direction of a stream. No sockets, no clock.

MIN_LEASE_BYTES are reserved for each direction of a stream (a `Share`). Beyond that, shares draw on a
common pool with a dynamic threshold: each may hold at most as much of it as is free. With n busy shares,
each holds 1 / (n + 1) of the pool and as much stays free, so that a new share finds room at once and slow
readers cannot use up the budget together (Choudhury and Hahne, "Dynamic Queue Length Thresholds for
Shared-Memory Packet Switches", IEEE/ACM Transactions on Networking 6(2), 1998, with a factor of 1).
"""

from collections import deque

from ashlift.gatekeeper.settings.model import MIN_LEASE_BYTES

BYTES_PER_TURN = 1 << 20  # of all busy shares in one iteration of the event loop; limits the delay of others
MIN_BYTES_PER_TURN = 16 << 10  # of one share


class Share:
    """One direction of a stream: the bytes it holds, and whether it is stopped at its high watermark."""

    __slots__ = ("held", "stopped", "waiting", "window")

    def __init__(self, window: int) -> None:
        self.window, self.held = window, 0
        self.stopped = False  # from the high watermark until it is below the low one
        self.waiting = False  # for bytes to be released


class Budget:
    """Grants bytes to shares. Grants are powers of two of at least MIN_LEASE_BYTES."""

    def __init__(self, total: int, max_shares: int) -> None:
        """Raises ValueError if `total` is less than MIN_LEASE_BYTES for each share and one more."""
        self.total = total
        self._shared = total - max_shares * MIN_LEASE_BYTES
        if self._shared < MIN_LEASE_BYTES:
            raise ValueError(f"{total} bytes are too few for {max_shares} shares")
        self.held = self._shared_held = self.busy = 0
        self.peak = 0
        self._waiting: deque[Share] = deque()  # in the order in which they are tried

    def limit(self, share: Share) -> int:
        """Return the high watermark of a share: the bytes that it may hold now. The low one is half of it."""
        return MIN_LEASE_BYTES + max(0, min(share.window - MIN_LEASE_BYTES, self._shared - self._shared_held))

    def bytes_per_turn(self) -> int:
        """Return how many bytes a busy share may move before it yields to the event loop."""
        return max(MIN_BYTES_PER_TURN, BYTES_PER_TURN // self.busy) if self.busy > 1 else BYTES_PER_TURN

    def can_resume(self, share: Share) -> bool:
        """Whether a share is not stopped. A stopped one resumes at the low watermark, to avoid tiny reads."""
        if share.stopped and 2 * share.held <= self.limit(share):
            share.stopped = False
        return not share.stopped

    def acquire(self, share: Share, wanted_bytes: int) -> int:
        """Grant bytes, not more than `wanted_bytes` need, and return how many.

        0: none are available, and the share waits until `release` returns it. A share that holds nothing is
        always granted at least MIN_LEASE_BYTES.
        """
        size = 0
        if self.can_resume(share):
            max_size = min(self.limit(share) - share.held, self.bytes_per_turn(), share.window // 2)
            size = _floor_power_of_two(min(max(wanted_bytes, MIN_LEASE_BYTES), max_size))
        if size < MIN_LEASE_BYTES or self.held + size > self.total:
            # The total is reached only while streams that have ended still hold buffers.
            share.stopped = True
            if not share.waiting:
                share.waiting = True
                self._waiting.append(share)
            return 0
        self._change_held(share, size)
        return size

    def release(self, share: Share, size: int) -> list[Share]:
        """Return bytes to the budget; returns the shares that may now acquire some.

        Raises ValueError if the share holds less.
        """
        if not 0 <= size <= share.held:
            raise ValueError(f"{size} bytes given back of {share.held} held")
        self._change_held(share, -size)
        woken = [share] if share.waiting and self.can_resume(share) else []
        # Also try one other waiting share each time, so that freed bytes are used if this share is idle.
        if self._waiting and self._waiting[0] is not share:
            other = self._waiting[0]
            self._waiting.rotate(-1)
            if self.can_resume(other):
                woken.append(other)
        for woken_share in woken:
            self.cancel_wait(woken_share)
        return woken

    def cancel_wait(self, share: Share) -> None:
        """Remove a share from those waiting."""
        if share.waiting:
            share.waiting = False
            self._waiting.remove(share)

    def _change_held(self, share: Share, size: int) -> None:
        before = share.held
        share.held += size
        self.held += size
        self._shared_held += max(0, share.held - MIN_LEASE_BYTES) - max(0, before - MIN_LEASE_BYTES)
        self.busy += (share.held > 0) - (before > 0)
        self.peak = max(self.peak, self.held)


def _floor_power_of_two(size: int) -> int:
    """Round down to a power of two; 0 if below MIN_LEASE_BYTES."""
    return 1 << (size.bit_length() - 1) if size >= MIN_LEASE_BYTES else 0
