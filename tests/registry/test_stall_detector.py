"""How the HTTP server finds that its process stood still."""

from ward import test

from ashlift.registry.api.stall_detector import STALL_RECOVERY_SECONDS, STALL_THRESHOLD_SECONDS, StallDetector


@test("a connection that may have waited for a process that stood still is as old as the standstill")
def _() -> None:
    detector = StallDetector(0.0)
    for tenth in range(1, 20):
        detector.check(tenth / 10)
    assert detector.earliest_connect(1.95) == 1.95
    assert detector.earliest_connect(22.0) == 1.95, "the bytes came first"
    detector.check(22.01)
    recovered_at = 22.0 + STALL_RECOVERY_SECONDS
    assert detector.earliest_connect(recovered_at - 0.01) == 1.95
    assert detector.earliest_connect(recovered_at) == recovered_at
    detector = StallDetector(0.0)
    detector.check(STALL_THRESHOLD_SECONDS + 20.0)
    assert detector.earliest_connect(STALL_THRESHOLD_SECONDS + 20.0) == 0.0, "the timer came first"
