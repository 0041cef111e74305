"""Traffic policies of a proxy: rate limiter, retry budget, outlier detection and slow start.

All modules are pure: no input or output, no clock and no random source of their own. Callers give the time
(seconds of the steady clock) and, where chance decides, a seeded `random.Random`.
"""
