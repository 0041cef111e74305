"""Retries and hedging over the stores."""

from ward import each, test

from ashlift.errors import Failure, FailureReason
from ashlift.registry.operator_request import HEDGE_DELAY_SECONDS, RETRY_ROUND_DELAY_SECONDS, OperatorRequest

NOW = 10.0
DEADLINE = 10.9
UNAVAILABLE = Failure(FailureReason.UNAVAILABLE)
UNREACHABLE = Failure(FailureReason.UNREACHABLE)
UNKNOWN = Failure(FailureReason.OUTCOME_UNKNOWN)
EXPIRED = Failure(FailureReason.EXPIRED)


def started_request(*stores: str) -> OperatorRequest:
    """A request that has been sent to the first store."""
    request = OperatorRequest(list(stores), NOW, DEADLINE)
    assert request.next_store(NOW) == stores[0]
    assert request.next_store(NOW) is None
    return request


@test("stores are tried in turn and hedged until one gives a conclusive response: {scenario}")
def _(
    scenario: str = each(
        "a rejects, b responds", "a unresponsive, b responds", "a unresponsive, alone", "both fail", "expired"
    ),
) -> None:
    request = (
        started_request("a")
        if scenario in ("a unresponsive, alone", "expired")
        else started_request("a", "b")
    )
    match scenario:
        case "a rejects, b responds":
            request.record_response("a", UNAVAILABLE, NOW + 0.1)
            assert request.next_store(NOW + 0.1) == "b"
            request.record_response("b", {"status": 412}, NOW + 0.2)
            assert request.is_finished
            assert request.outcome == {"status": 412}
        case "a unresponsive, b responds":
            assert request.next_store(NOW + HEDGE_DELAY_SECONDS - 0.01) is None
            assert request.next_store(NOW + HEDGE_DELAY_SECONDS) == "b"
            request.record_response("b", {"status": 200}, NOW + 0.4)
            request.record_response("a", {"status": 503}, NOW + 0.5)
            assert request.outcome == {"status": 200}
            assert request.wait_seconds(NOW + 0.5) == 0.0
        case "a unresponsive, alone":
            assert request.next_store(NOW + 0.5) is None
            assert request.wait_seconds(NOW + 0.5) > 0.3
            assert request.wait_seconds(DEADLINE) == 0.0
            assert request.outcome.reason == FailureReason.OUTCOME_UNKNOWN
        case "both fail":
            request.record_response("a", UNAVAILABLE, NOW)
            assert request.next_store(NOW) == "b"
            request.record_response("b", UNREACHABLE, NOW)
            assert request.outcome.reason == FailureReason.UNREACHABLE
            assert request.next_store(NOW) is None
            assert request.next_store(NOW + RETRY_ROUND_DELAY_SECONDS) == "a"
            request.record_response("a", UNKNOWN, NOW + 0.5)
            request.record_response("b", UNAVAILABLE, NOW + 0.6)
            assert request.outcome.reason == FailureReason.OUTCOME_UNKNOWN, (
                "takes precedence over not executed"
            )
            request.record_response("a", EXPIRED, NOW + 0.7)
            assert request.is_finished
            assert request.outcome.reason == FailureReason.OUTCOME_UNKNOWN
        case _:
            request.record_response("a", EXPIRED, NOW + 0.1)
            assert request.is_finished
            assert request.outcome.reason == FailureReason.EXPIRED, "its caller may retry"
