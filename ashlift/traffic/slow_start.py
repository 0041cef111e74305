"""Who may send to a cold worker, and how fast: the rule FAILBACK, over all machines, in touch or not.

Times are seconds.
"""

from collections import deque
from collections.abc import Container, Sequence
from functools import lru_cache
from hashlib import blake2b


@lru_cache(maxsize=16384)
def _weight(worker: str, member: str) -> bytes:
    return blake2b(f"{worker}\n{member}".encode(), digest_size=8).digest()


def assigned_proxies(worker_id: str, members: Sequence[str], count: int = 2) -> tuple[str, ...]:
    """The gatekeepers that may send to a cold worker, highest rendezvous weight first: all who know the same
    members draw the same, and a member more or less moves only what it owned."""
    drawn = sorted(members, key=lambda member: (_weight(worker_id, member), member), reverse=True)
    return tuple(drawn[:count])


class SlowStartPacer:
    """How fast this gatekeeper sends to each cold worker: at most `rate * share` in any second that slides.

    Below one a second the pause between two is the inverse, so that the mean over many seconds holds too.
    """

    def __init__(self) -> None:
        self._sent: dict[str, deque[float]] = {}

    def can_send(self, now: float, worker_id: str, rate: float, share: float) -> bool:
        """Whether one more request may go now; `rate` is requests a second for all gatekeepers together."""
        most, times = rate * share, self._sent.get(worker_id)
        if most <= 0:
            return False
        if times is None:
            return True
        if most < 1:
            return now - times[-1] >= 1 / most
        while times and times[0] <= now - 1.0:
            times.popleft()
        return len(times) + 1 <= most

    def record_sent(self, now: float, worker_id: str) -> None:
        """Count one request sent."""
        self._sent.setdefault(worker_id, deque(maxlen=256)).append(now)

    def retain_workers(self, workers: Container[str]) -> None:
        """Drop all workers but these: an id never comes back."""
        self._sent = {worker: times for worker, times in self._sent.items() if worker in workers}
