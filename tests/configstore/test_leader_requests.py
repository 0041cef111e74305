"""Routing and retries of requests that only the leader can serve."""

from types import SimpleNamespace
from typing import cast

from ward import each, test

from ashlift.configstore.leader_requests import ForwardTo, RoutingDecision, choose_route, may_retry
from ashlift.configstore.replica import Replica
from ashlift.configstore.requests import forwarded
from ashlift.errors import Failure, FailureReason

LEADER_IP = "10.0.0.2"


def replica(leader_ip: str | None = None, leads: bool = False, lacks_leader_contact: bool = False) -> Replica:
    """A stub with the attributes that routing depends on."""
    leader_role = object() if leads else None
    stub = SimpleNamespace(
        lacks_leader_contact=lambda now: lacks_leader_contact, leader_role=leader_role, leader_ip=leader_ip
    )
    return cast(Replica, stub)


@test("requests are forwarded once to a known leader, else wait, or fail without contact to a leader")
def _() -> None:
    assert choose_route(replica(leads=True), {}, 1.0) is RoutingDecision.THIS_REPLICA
    assert choose_route(replica(leads=True), forwarded({}), 1.0) is RoutingDecision.THIS_REPLICA
    assert choose_route(replica(), {}, 1.0) is RoutingDecision.NO_LEADER_YET
    assert choose_route(replica(LEADER_IP), {}, 1.0) == ForwardTo(LEADER_IP)
    assert choose_route(replica(LEADER_IP), forwarded({}), 1.0) is RoutingDecision.NO_LEADER_YET
    failure = choose_route(replica(LEADER_IP, lacks_leader_contact=True), {}, 1.0)
    assert isinstance(failure, Failure)
    assert failure.reason == FailureReason.UNAVAILABLE


@test("a request is retried only if it was certainly not started: {reason}")
def _(reason: FailureReason = each(*FailureReason)) -> None:
    was_not_started = reason in (FailureReason.UNAVAILABLE, FailureReason.UNREACHABLE)
    assert may_retry(Failure(reason), {}, now=1.0, deadline=1.5) == was_not_started
    assert not may_retry(Failure(reason), {}, now=1.5, deadline=1.5)
    assert not may_retry(Failure(reason), forwarded({}), now=1.0, deadline=1.5)


@test("a request that has a response is not retried")
def _() -> None:
    assert not may_retry({"status": 503}, {}, now=1.0, deadline=1.5)
