"""The order in which a registry asks the stores, and how it finds that its process stood still."""

from ward import each, test

from ashlift.errors import Failure, FailureReason
from ashlift.registry.api.stall_detector import STALL_RECOVERY_SECONDS, STALL_THRESHOLD_SECONDS, StallDetector
from ashlift.registry.operator_request import HEDGE_DELAY_SECONDS, RETRY_ROUND_DELAY_SECONDS, OperatorRequest


@test("stores are asked in turn: at once after a refusal, beside a silent one, until one answers: {story}")
def _(
    story: str = each("a refused, b answers", "a silent, b answers", "a silent, alone", "none is ready"),
) -> None:
    now, asking = 10.0, OperatorRequest(["a"] if "alone" in story else ["a", "b"], 10.0, 10.9)
    assert asking.next_store(now) == "a" and asking.next_store(now) is None
    match story:
        case "a refused, b answers":
            asking.record_response("a", Failure(FailureReason.UNAVAILABLE), now + 0.1)
            assert asking.next_store(now + 0.1) == "b"
            asking.record_response("b", {"status": 412}, now + 0.2)
            assert asking.is_finished and asking.outcome == {"status": 412}
        case "a silent, b answers":
            assert (
                asking.next_store(now + HEDGE_DELAY_SECONDS - 0.01) is None
                and asking.next_store(now + HEDGE_DELAY_SECONDS) == "b"
            )
            asking.record_response("b", {"status": 200}, now + 0.4)
            asking.record_response("a", {"status": 503}, now + 0.5)
            assert asking.outcome == {"status": 200} and asking.wait_seconds(now + 0.5) == 0.0
        case "a silent, alone":
            assert asking.next_store(now + 0.5) is None and asking.wait_seconds(now + 0.5) > 0.3
            assert asking.wait_seconds(10.9) == 0.0 and asking.outcome.reason == FailureReason.OUTCOME_UNKNOWN
        case _:
            asking.record_response("a", Failure(FailureReason.UNAVAILABLE), now)
            assert asking.next_store(now) == "b"
            asking.record_response("b", Failure(FailureReason.UNREACHABLE), now)
            assert asking.outcome.reason == FailureReason.UNREACHABLE and asking.next_store(now) is None
            assert asking.next_store(now + RETRY_ROUND_DELAY_SECONDS) == "a"
            asking.record_response("a", Failure(FailureReason.OUTCOME_UNKNOWN), now + 0.5)
            asking.record_response("b", Failure(FailureReason.UNAVAILABLE), now + 0.6)
            assert asking.outcome.reason == FailureReason.OUTCOME_UNKNOWN, "in doubt goes before not done"
            asking.record_response("a", Failure(FailureReason.EXPIRED), now + 0.7)
            assert asking.is_finished and asking.outcome.reason == FailureReason.OUTCOME_UNKNOWN
            asking = OperatorRequest(["a"], now, 10.9)
            assert asking.next_store(now) == "a"
            asking.record_response("a", Failure(FailureReason.EXPIRED), now + 0.1)
            assert asking.is_finished and asking.outcome.reason == FailureReason.EXPIRED, (
                "void: the caller may say it again"
            )


@test("a connection that may have waited for a process that stood is as old as the stand")
def _() -> None:
    awake = StallDetector(0.0)
    for tenth in range(1, 20):
        awake.check(tenth / 10)
    assert awake.earliest_connect(1.95) == 1.95
    assert awake.earliest_connect(22.0) == 1.95, "the bytes came first"
    awake.check(22.01)
    assert (
        awake.earliest_connect(22.0 + STALL_RECOVERY_SECONDS - 0.01) == 1.95
        and awake.earliest_connect(22.0 + STALL_RECOVERY_SECONDS) == 22.0 + STALL_RECOVERY_SECONDS
    )
    awake = StallDetector(0.0)
    awake.check(STALL_THRESHOLD_SECONDS + 20.0)
    assert awake.earliest_connect(STALL_THRESHOLD_SECONDS + 20.0) == 0.0, "the timer came first"
