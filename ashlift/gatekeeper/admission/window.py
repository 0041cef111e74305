"""Sliding windows of counts in short buckets, and the suppression factor. Times are in ms."""

from ashlift.gatekeeper.admission import Bucket

BUCKET_MS = 125.0  # a bucket's width


def discard_before(buckets: dict[int, Bucket], before: float) -> None:
    """Drop the buckets that ended by then."""
    for old in [at for at in buckets if (at + 1) * BUCKET_MS <= before]:
        del buckets[old]


def usage(buckets: dict[int, Bucket], now: float, window: float) -> tuple[float, float, float]:
    """Units in the window (total, accepted) and in the last second (total), local and remote."""
    total = accepted = last_second = 0.0
    for at, bucket in buckets.items():
        end = (at + 1) * BUCKET_MS
        if end > now - window:
            total += bucket.total + bucket.remote_total
            accepted += bucket.accepted + bucket.remote_accepted
        if end > now - 1000.0:
            last_second += bucket.total + bucket.remote_total
    return total, accepted, last_second


def record(buckets: dict[int, Bucket], now: float, total: float, accepted: float) -> None:
    """Count local units."""
    bucket = buckets.setdefault(int(now // BUCKET_MS), Bucket())
    bucket.total += total
    bucket.accepted += accepted


def record_remote(
    buckets: dict[int, Bucket], since: float, now: float, window: float, total: float, accepted: float
) -> None:
    """Count remote units, spread evenly over the time since then, but no further back than the window."""
    first, last = int(since // BUCKET_MS), int(now // BUCKET_MS)
    for at in range(max(first, last - int(window / BUCKET_MS)), last + 1):
        bucket = buckets.setdefault(at, Bucket())
        bucket.remote_total += total / (last - first + 1)
        bucket.remote_accepted += accepted / (last - first + 1)


def suppression_factor(rate: float, window: float, total: float, last_second: float) -> float:
    """Probability of refusal between the soft and the hard limit; `rate` in units a second."""
    perceived_rate = max(total * 1000 / window, last_second)
    return 1 - rate / perceived_rate if perceived_rate > 0 else 0.0
