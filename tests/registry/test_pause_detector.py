"""How the HTTP server finds that its process stood still."""

from ward import test

from ashlift.registry.api.pause_detector import PAUSE_RECOVERY_SECONDS, PAUSE_THRESHOLD_SECONDS, PauseDetector


@test("a connection that may have waited for a process that stood still is as old as the standstill")
def _() -> None:
    detector = PauseDetector(0.0)
    for tenth in range(1, 20):
        detector.check(tenth / 10)
    assert detector.earliest_send_time(1.95) == 1.95
    assert detector.earliest_send_time(22.0) == 1.95, "the bytes came first"
    detector.check(22.01)
    recovered_at = 22.0 + PAUSE_RECOVERY_SECONDS
    assert detector.earliest_send_time(recovered_at - 0.01) == 1.95
    assert detector.earliest_send_time(recovered_at) == recovered_at
    detector = PauseDetector(0.0)
    detector.check(PAUSE_THRESHOLD_SECONDS + 20.0)
    assert detector.earliest_send_time(PAUSE_THRESHOLD_SECONDS + 20.0) == 0.0, "the timer came first"
