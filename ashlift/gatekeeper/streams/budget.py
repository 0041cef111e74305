"""Who may hold how many bytes: one budget for all streams, and a window for each. No sockets, no clock.

Every direction of a stream (a `Share`) always may hold LEAST_LEASE bytes, which are set aside for it. Beyond
that it draws on what is common, by a dynamic threshold: its part there is at most what is free there. With n
greedy shares each then holds 1 / (n + 1) of it and as much stays free, so that who comes later finds room at
once and slow readers cannot fill the budget together (Choudhury and Hahne, "Dynamic Queue Length Thresholds
for Shared-Memory Packet Switches", IEEE/ACM Transactions on Networking 6(2), 1998, with a factor of 1).
"""

from collections import deque

from ashlift.gatekeeper.settings.model import LEAST_LEASE

BYTES_PER_TURN = (
    1 << 20
)  # bytes that all busy shares together move in one turn of the loop: small jobs wait no longer
MIN_BYTES_PER_TURN = (
    16 << 10
)  # of a bulk stream, however many are busy: smaller ones cost more than they spare


class Share:
    """One direction of one stream: what it holds, and whether it is stopped at its high watermark."""

    __slots__ = ("held", "stopped", "waiting", "window")

    def __init__(self, window: int) -> None:
        self.window, self.held = window, 0
        self.stopped = False  # at the high watermark; goes on at the low one
        self.waiting = False  # its source stands in line


class Budget:
    """Grants and takes back bytes. All figures are bytes; grants are powers of two from LEAST_LEASE on."""

    def __init__(self, total: int, max_shares: int) -> None:
        """Raises ValueError where `total` does not hold LEAST_LEASE for each share and one more."""
        self.total = total
        self._shared = total - max_shares * LEAST_LEASE
        if self._shared < LEAST_LEASE:
            raise ValueError(f"{total} bytes are too few for {max_shares} shares")
        self.held = self._shared_held = self.busy = 0
        self.peak = 0
        self._waiting: deque[Share] = deque()  # those that wait, the longest first

    def limit(self, share: Share) -> int:
        """What it may hold now: its high watermark. Half of it is the low one."""
        return LEAST_LEASE + max(0, min(share.window - LEAST_LEASE, self._shared - self._shared_held))

    def bytes_per_turn(self) -> int:
        """Bytes that one busy share moves before it lets the others have the loop."""
        return max(MIN_BYTES_PER_TURN, BYTES_PER_TURN // self.busy) if self.busy > 1 else BYTES_PER_TURN

    def can_resume(self, share: Share) -> bool:
        """Whether a stopped share may go on: guards against reads of a few bytes at the edge of a window."""
        if share.stopped and 2 * share.held <= self.limit(share):
            share.stopped = False
        return not share.stopped

    def acquire(self, share: Share, wanted_bytes: int) -> int:
        """Bytes granted, at most as many as fit `want` bytes; 0: none now, and the share stands in line until
        `give` names it. A share that holds nothing is always granted LEAST_LEASE at the least."""
        size = 0
        if self.can_resume(share):
            most = min(self.limit(share) - share.held, self.bytes_per_turn(), share.window // 2)
            size = _floor_power_of_two(min(max(wanted_bytes, LEAST_LEASE), most))
        if size < LEAST_LEASE or self.held + size > self.total:
            # The latter only while streams that have ended still give back what they held.
            share.stopped = True
            if not share.waiting:
                share.waiting = True
                self._waiting.append(share)
            return 0
        self._move(share, size)
        return size

    def release(self, share: Share, size: int) -> list[Share]:
        """Take bytes back; those named may ask again. Raises ValueError for more than it holds."""
        if not 0 <= size <= share.held:
            raise ValueError(f"{size} bytes given back of {share.held} held")
        self._move(share, -size)
        woken = [share] if share.waiting and self.can_resume(share) else []
        # One of the others has a look each time: room that comes free is used though its own sink rests.
        if self._waiting and self._waiting[0] is not share:
            other = self._waiting[0]
            self._waiting.rotate(-1)
            if self.can_resume(other):
                woken.append(other)
        for one in woken:
            self.cancel_wait(one)
        return woken

    def cancel_wait(self, share: Share) -> None:
        """Its source does not wait any more."""
        if share.waiting:
            share.waiting = False
            self._waiting.remove(share)

    def _move(self, share: Share, size: int) -> None:
        before = share.held
        share.held += size
        self.held += size
        self._shared_held += max(0, share.held - LEAST_LEASE) - max(0, before - LEAST_LEASE)
        self.busy += (share.held > 0) - (before > 0)
        self.peak = max(self.peak, self.held)


def _floor_power_of_two(size: int) -> int:
    """The largest power of two that is not above it; 0 below LEAST_LEASE."""
    return 1 << (size.bit_length() - 1) if size >= LEAST_LEASE else 0
