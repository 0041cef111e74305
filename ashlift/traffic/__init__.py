"""Traffic policies of a proxy: rate limiter, retry budget, outlier detection and slow start.

The modules do no input or output and read no clock: callers pass the time (seconds of the monotonic clock)
and, where needed, a seeded `random.Random`.
"""
