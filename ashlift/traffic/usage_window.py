"""The sliding window of one tenant: requests counted in short buckets of time, and sums over the buckets.

A bucket counts the requests of this proxy (local) and the reported requests of all other proxies (remote).
`total` is all requests, `accepted` the admitted ones. Times are seconds, but milliseconds in the buckets
(`ashlift.gatekeeper.admission.window`).

Sums are computed for every request: they iterate over the buckets once, without a function call for each.
"""

import math
import sys
from typing import Final, NamedTuple

from ashlift.gatekeeper.admission import Bucket, window

MS_PER_SECOND: Final = 1000


class UsageSums(NamedTuple):
    """Requests in a time span. Accepted ones are below 0 if more were refunded than admitted in it."""

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
        """Count requests at this proxy; a refund has a negative `accepted`."""
        window.record(self._buckets, now * MS_PER_SECOND, total, accepted)

    def record_remote(
        self, since: float, until: float, retention_seconds: float, total: float, accepted: float
    ) -> None:
        """Count requests at other proxies, spread evenly over the given time."""
        window.record_remote(
            self._buckets,
            since * MS_PER_SECOND,
            until * MS_PER_SECOND,
            MS_PER_SECOND * retention_seconds,
            total,
            accepted,
        )

    def discard_old(self, now: float, retention_seconds: float) -> None:
        """Drop the buckets that ended longer ago than `retention_seconds`."""
        window.discard_before(self._buckets, now * MS_PER_SECOND - MS_PER_SECOND * retention_seconds)

    def recent_usage(self, now: float, window_seconds: float) -> tuple[float, float, float]:
        """Return total and accepted in the window, and total in the last second, of all proxies."""
        return window.usage(self._buckets, now * MS_PER_SECOND, window_seconds * MS_PER_SECOND)

    def sums_between(self, since: float, until: float) -> UsageSums:
        """Sum all buckets that end after `since` and not after `until`."""
        # Integers like the keys: comparisons with floats are slower.
        first = int(since * MS_PER_SECOND // window.BUCKET_MS)
        end = int(until * MS_PER_SECOND // window.BUCKET_MS) if until < math.inf else sys.maxsize
        local_total = local_accepted = remote_total = remote_accepted = 0.0
        for start, bucket in self._buckets.items():
            if first <= start < end:
                local_total += bucket.total
                local_accepted += bucket.accepted
                remote_total += bucket.remote_total
                remote_accepted += bucket.remote_accepted
        return UsageSums(local_total, local_accepted, remote_total, remote_accepted)

    def sums_since(self, since: float) -> UsageSums:
        """Sum all buckets that end after `since`."""
        return self.sums_between(since, math.inf)
