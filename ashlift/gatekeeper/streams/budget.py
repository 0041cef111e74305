"""Who may hold how many bytes: one budget for all streams, and a window for each. No sockets, no clock.

Every direction of a stream (a `Share`) always may hold MIN_LEASE_BYTES, which are set aside for it. Beyond
that it draws on what is common, by a dynamic threshold: its part there is at most what is free there. With n
greedy shares each then holds 1 / (n + 1) of it and as much stays free, so that who comes later finds room at
once and slow readers cannot fill the budget together (Choudhury and Hahne, "Dynamic Queue Length Thresholds
for Shared-Memory Packet Switches", IEEE/ACM Transactions on Networking 6(2), 1998, with a factor of 1).
"""

from collections import deque

from ashlift.gatekeeper.settings.model import MIN_LEASE_BYTES

TURN = 1 << 20  # bytes that all busy shares together move in one turn of the loop: small jobs wait no longer
LEAST_SLICE = 16 << 10  # of a bulk stream, however many are busy: smaller ones cost more than they spare


class Share:
    """One direction of one stream: what it holds, and whether it is stopped at its high watermark."""

    __slots__ = ("held", "stopped", "waiting", "window")

    def __init__(self, window: int) -> None:
        self.window, self.held = window, 0
        self.stopped = False  # at the high watermark; goes on at the low one
        self.waiting = False  # its source stands in line


class Budget:
    """Grants and takes back bytes. All in bytes; grants are powers of two from MIN_LEASE_BYTES on."""

    def __init__(self, total: int, most_shares: int) -> None:
        """Raises ValueError where `total` does not hold MIN_LEASE_BYTES for each share and one more."""
        self.total = total
        self._common = total - most_shares * MIN_LEASE_BYTES
        if self._common < MIN_LEASE_BYTES:
            raise ValueError(f"{total} bytes are too few for {most_shares} shares")
        self.held = self._common_held = self.busy = 0
        self.peak = 0
        self._line: deque[Share] = deque()  # those that wait, the longest first

    def limit(self, share: Share) -> int:
        """What it may hold now: its high watermark. Half of it is the low one."""
        return MIN_LEASE_BYTES + max(0, min(share.window - MIN_LEASE_BYTES, self._common - self._common_held))

    def turn(self) -> int:
        """Bytes that one busy share moves before it lets the others have the loop."""
        return max(LEAST_SLICE, TURN // self.busy) if self.busy > 1 else TURN

    def may_go(self, share: Share) -> bool:
        """Whether a stopped share may go on: guards against reads of a few bytes at the edge of a window."""
        if share.stopped and 2 * share.held <= self.limit(share):
            share.stopped = False
        return not share.stopped

    def ask(self, share: Share, want: int) -> int:
        """Bytes granted, at most as many as fit `want` bytes; 0: none now, and the share stands in line until
        `give` names it. A share that holds nothing is always granted MIN_LEASE_BYTES at the least."""
        size = 0
        if self.may_go(share):
            most = min(self.limit(share) - share.held, self.turn(), share.window // 2)
            size = _power(min(max(want, MIN_LEASE_BYTES), most))
        if size < MIN_LEASE_BYTES or self.held + size > self.total:
            # The latter only while streams that have ended still give back what they held.
            share.stopped = True
            if not share.waiting:
                share.waiting = True
                self._line.append(share)
            return 0
        self._move(share, size)
        return size

    def give(self, share: Share, size: int) -> list[Share]:
        """Take bytes back; those named may ask again. Raises ValueError for more than it holds."""
        if not 0 <= size <= share.held:
            raise ValueError(f"{size} bytes given back of {share.held} held")
        self._move(share, -size)
        woken = [share] if share.waiting and self.may_go(share) else []
        # One of the others has a look each time: room that comes free is used though its own sink rests.
        if self._line and self._line[0] is not share:
            other = self._line[0]
            self._line.rotate(-1)
            if self.may_go(other):
                woken.append(other)
        for one in woken:
            self.leave(one)
        return woken

    def leave(self, share: Share) -> None:
        """Its source does not wait any more."""
        if share.waiting:
            share.waiting = False
            self._line.remove(share)

    def _move(self, share: Share, size: int) -> None:
        before = share.held
        share.held += size
        self.held += size
        self._common_held += max(0, share.held - MIN_LEASE_BYTES) - max(0, before - MIN_LEASE_BYTES)
        self.busy += (share.held > 0) - (before > 0)
        self.peak = max(self.peak, self.held)


def _power(size: int) -> int:
    """The largest power of two that is not above it; 0 below MIN_LEASE_BYTES."""
    return 1 << (size.bit_length() - 1) if size >= MIN_LEASE_BYTES else 0
