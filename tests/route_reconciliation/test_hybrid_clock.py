"""The hybrid logical clock: its timestamps rise and stay near wall-clock time."""

from ward import test

from ashlift.route_reconciliation.hybrid_clock import (
    MAX_AHEAD_MS,
    MAX_DRIFT_MS,
    ZERO_TIMESTAMP,
    HybridLogicalClock,
    HybridTimestamp,
)


@test("timestamps rise despite jumps of the wall clock, which shift them by a bounded amount")
def _() -> None:
    clock = HybridLogicalClock("n", 1000.0, 0.0)
    last = ZERO_TIMESTAMP
    for monotonic, wall in ((0.1, 1000.1), (0.2, 1003.2), (0.3, 997.0), (0.4, 1000.4), (0.4, 1000.4)):
        timestamp = clock.next_timestamp(ZERO_TIMESTAMP, wall, monotonic)
        assert timestamp > last
        assert abs(timestamp.wall_ms - (1000 + monotonic) * 1000) <= MAX_DRIFT_MS + 1
        last = timestamp
    clock.observe(HybridTimestamp(1_000_400 + 3000, 0, "ahead"), 1000.5, 0.5)
    assert clock.next_timestamp(ZERO_TIMESTAMP, 1000.5, 0.5) > HybridTimestamp(1_003_400, 0, "ahead")
    far_ahead = HybridTimestamp(1_000_400 + 2 * MAX_AHEAD_MS, 0, "far ahead")
    clock.observe(far_ahead, 1000.6, 0.6)
    following = clock.next_timestamp(far_ahead, 1000.6, 0.6)
    assert clock.next_timestamp(ZERO_TIMESTAMP, 1000.6, 0.6) < far_ahead < following
