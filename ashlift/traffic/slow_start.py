"""Slow start: which proxies may send to a worker that is warming up, and at what rate (rule FAILBACK).

The rule bounds the requests of all proxies together and must hold during partitions. Proxies with the same
membership therefore assign a worker to the same few proxies without communication, and each of these uses a
fixed share of the rate. Times are seconds of the monotonic clock.
"""

from collections import deque
from collections.abc import Container, Sequence
from functools import lru_cache
from hashlib import blake2b
from typing import Final

MAX_CACHED_WEIGHTS: Final = 16384  # pairs of worker and proxy
RATE_WINDOW_SECONDS: Final = 1.0  # the rule counts the requests of any sliding second
MAX_SENT_TIMES: Final = 256  # send times kept for a worker


@lru_cache(maxsize=MAX_CACHED_WEIGHTS)
def _rendezvous_weight(worker_id: str, proxy: str) -> bytes:
    return blake2b(f"{worker_id}\n{proxy}".encode(), digest_size=8).digest()


def assigned_proxies(worker_id: str, proxies: Sequence[str], count: int = 2) -> tuple[str, ...]:
    """Choose the proxies that may send to a worker while it warms up, by rendezvous hashing.

    The result does not depend on the order of `proxies`. A proxy that joins or leaves only changes the
    assignment of workers that it is assigned to.
    """
    ranked = sorted(proxies, key=lambda proxy: (_rendezvous_weight(worker_id, proxy), proxy), reverse=True)
    return tuple(ranked[:count])


class SlowStartPacer:
    """Limits the rate of this proxy's requests to each worker that is warming up.

    A limit of at least one request a second holds in any sliding second. A lower one is kept as a minimum
    interval between two requests.
    """

    def __init__(self) -> None:
        self._sent_times: dict[str, deque[float]] = {}  # by worker, oldest first

    def can_send(self, now: float, worker_id: str, rate: float, share: float) -> bool:
        """Return whether one more request may be sent to the worker now.

        `rate` is the requests a second of all proxies together, `share` this proxy's part of it.
        """
        max_per_second = rate * share
        if max_per_second <= 0:
            return False
        sent_times = self._sent_times.get(worker_id)
        if sent_times is None:
            return True
        if max_per_second < 1:
            return now - sent_times[-1] >= 1 / max_per_second
        while sent_times and sent_times[0] <= now - RATE_WINDOW_SECONDS:
            sent_times.popleft()
        return len(sent_times) + 1 <= max_per_second

    def record_sent(self, now: float, worker_id: str) -> None:
        """Count one request sent to the worker."""
        self._sent_times.setdefault(worker_id, deque(maxlen=MAX_SENT_TIMES)).append(now)

    def retain_workers(self, worker_ids: Container[str]) -> None:
        """Forget all workers but these. Ids are not reused."""
        self._sent_times = {
            worker_id: sent_times
            for worker_id, sent_times in self._sent_times.items()
            if worker_id in worker_ids
        }
