"""The limiter's arithmetic: counts in short buckets, and the three regimes over their sums. Times are ms.

Pure: the gateway of the present platform and the system's limiter (`traffic.rate_limiter`) both stand on it.
"""

from ashlift.gatekeeper.admission import Bucket

BUCKET_MS = 125.0  # ms, width of a window's buckets: eight in the last second


def trim(buckets: dict[int, Bucket], before: float) -> None:
    """Drop the buckets that ended by then."""
    for old in [at for at in buckets if (at + 1) * BUCKET_MS <= before]:
        del buckets[old]


def seen(buckets: dict[int, Bucket], now: float, window: float) -> tuple[float, float, float]:
    """Units in the window (total, accepted) and in the last second, here and as told."""
    total = accepted = last = 0.0
    for at, bucket in buckets.items():
        end = (at + 1) * BUCKET_MS
        if end > now - window:
            total += bucket.total + bucket.far_total
            accepted += bucket.accepted + bucket.far_accepted
        if end > now - 1000.0:
            last += bucket.total + bucket.far_total
    return total, accepted, last


def record(buckets: dict[int, Bucket], now: float, total: float, accepted: float) -> None:
    """Count units seen here."""
    bucket = buckets.setdefault(int(now // BUCKET_MS), Bucket())
    bucket.total += total
    bucket.accepted += accepted


def spread(
    buckets: dict[int, Bucket], since: float, now: float, window: float, total: float, accepted: float
) -> None:
    """Lay what is told of the others evenly over the time it comes from, at most the window."""
    first, last = int(since // BUCKET_MS), int(now // BUCKET_MS)
    for at in range(max(first, last - int(window / BUCKET_MS)), last + 1):
        bucket = buckets.setdefault(at, Bucket())
        bucket.far_total += total / (last - first + 1)
        bucket.far_accepted += accepted / (last - first + 1)


def suppression(rate: float, window: float, total: float, last: float) -> float:
    """Chance of refusal between the soft and the hard limit; `rate` in units a second."""
    perceived = max(total * 1000 / window, last)
    return 1 - rate / perceived if perceived > 0 else 0.0
