"""Detection of process pauses by the HTTP server."""

from ward import test

from ashlift.registry.api.pause_detector import PAUSE_RECOVERY_SECONDS, PAUSE_THRESHOLD_SECONDS, PauseDetector


@test("a connection accepted after a pause of the process may date from the start of the pause")
def _() -> None:
    detector = PauseDetector(0.0)
    for tenth in range(1, 20):
        detector.check(tenth / 10)
    assert detector.earliest_send_time(1.95) == 1.95
    assert detector.earliest_send_time(22.0) == 1.95, "the accept ran before the periodic check"
    detector.check(22.01)
    recovered_at = 22.0 + PAUSE_RECOVERY_SECONDS
    assert detector.earliest_send_time(recovered_at - 0.01) == 1.95
    assert detector.earliest_send_time(recovered_at) == recovered_at
    detector = PauseDetector(0.0)
    detector.check(PAUSE_THRESHOLD_SECONDS + 20.0)
    assert detector.earliest_send_time(PAUSE_THRESHOLD_SECONDS + 20.0) == 0.0, (
        "the periodic check ran before the accept"
    )
