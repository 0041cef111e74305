"""The sliding window of one tenant: requests counted in short buckets of time, and sums over the buckets.

A bucket counts the requests of this proxy (local) and, as far as they were reported, those of all other
proxies (remote). `total` is what clients asked, `accepted` what was admitted of it. Times are seconds; the
buckets themselves are those of the gatekeeper (`ashlift.gatekeeper.admission.window`), whose times are
milliseconds.

Sums are taken for every request: they go through the buckets once, without a call for each.
"""

import math
import sys
from typing import Final, NamedTuple

from ashlift.gatekeeper.admission import Bucket, window

MILLISECONDS: Final = 1000  # in a second


class UsageSums(NamedTuple):
    """Requests in a stretch of time. More may have been refunded in it than were admitted."""

    local_total: float
    local_accepted: float
    remote_total: float
    remote_accepted: float


class UsageWindow:
    """Counts of one tenant's requests by time."""

    __slots__ = ("_buckets",)

    def __init__(self) -> None:
        self._buckets: dict[int, Bucket] = {}  # by start, in widths of a bucket

    def record_local(self, now: float, total: float, accepted: float) -> None:
        """Count requests at this proxy; a refund is an `accepted` below zero."""
        window.record(self._buckets, now * MILLISECONDS, total, accepted)

    def record_remote(
        self, since: float, until: float, retention_seconds: float, total: float, accepted: float
    ) -> None:
        """Count requests at other proxies, spread evenly over the time in which they were made."""
        window.spread(
            self._buckets,
            since * MILLISECONDS,
            until * MILLISECONDS,
            MILLISECONDS * retention_seconds,
            total,
            accepted,
        )

    def discard_old(self, now: float, retention_seconds: float) -> None:
        """Drop the buckets that ended longer ago than `retention_seconds`."""
        window.trim(self._buckets, now * MILLISECONDS - MILLISECONDS * retention_seconds)

    def recent_usage(self, now: float, window_seconds: float) -> tuple[float, float, float]:
        """Return total and accepted in the window, and total in the last second, of all proxies."""
        return window.seen(self._buckets, now * MILLISECONDS, window_seconds * MILLISECONDS)

    def sums_between(self, since: float, until: float) -> UsageSums:
        """Sum all buckets that end after `since` and not after `until`."""
        # Whole numbers, as the keys are: comparing them with floats makes `RateLimiter.admit` a fifth dearer.
        first = int(since * MILLISECONDS // window.BUCKET_MS)
        end = int(until * MILLISECONDS // window.BUCKET_MS) if until < math.inf else sys.maxsize
        local_total = local_accepted = remote_total = remote_accepted = 0.0
        for start, bucket in self._buckets.items():
            if first <= start < end:
                local_total += bucket.total
                local_accepted += bucket.accepted
                remote_total += bucket.far_total
                remote_accepted += bucket.far_accepted
        return UsageSums(local_total, local_accepted, remote_total, remote_accepted)

    def sums_since(self, since: float) -> UsageSums:
        """Sum all buckets that end after `since`."""
        return self.sums_between(since, math.inf)
