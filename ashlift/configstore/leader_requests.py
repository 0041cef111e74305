"""Routing and retries of requests that only the leader can serve.

Pure functions, called by the server and the simulator between their own waits.
"""

from enum import Enum, auto
from typing import Any, Final, NamedTuple

from ashlift.configstore.replica import Replica
from ashlift.configstore.requests import is_forwarded
from ashlift.errors import Failure, FailureReason

LEADER_WAIT_SECONDS: Final = 0.5  # how long a request waits for a leader to be known
RETRY_INTERVAL_SECONDS: Final = 0.05
SUBMIT_TIMEOUT_SECONDS: Final = 5.0
READ_TIMEOUT_SECONDS: Final = 2.0

NO_LEADER: Final = Failure(FailureReason.UNAVAILABLE, "no leader")
_NO_LEADER_CONTACT: Final = Failure(FailureReason.UNAVAILABLE, "no leader is heard here")
_NOT_STARTED_REASONS: Final = (FailureReason.UNAVAILABLE, FailureReason.UNREACHABLE)


class RoutingDecision(Enum):
    """How to handle a request that is not forwarded."""

    THIS_REPLICA = auto()  # this replica leads and serves the request
    NO_LEADER_YET = auto()  # no leader is known, or the request was forwarded already


class ForwardTo(NamedTuple):
    """Forward the request to `leader`. A named tuple, which is cheaper to define at process start."""

    leader: str


def choose_route(replica: Replica, body: dict[str, Any], now: float) -> RoutingDecision | ForwardTo | Failure:
    """Where to serve a request; a Failure if a leader is not expected to be known soon."""
    if replica.lacks_leader_contact(now):
        return _NO_LEADER_CONTACT
    if replica.leader_role is not None:
        return RoutingDecision.THIS_REPLICA
    if replica.leader_ip is not None and not is_forwarded(body):
        return ForwardTo(replica.leader_ip)
    return RoutingDecision.NO_LEADER_YET


def may_retry(response: Any, body: dict[str, Any], now: float, deadline: float) -> bool:
    """Whether to retry: only if the request was certainly not started, so that it cannot execute twice.

    `deadline` is LEADER_WAIT_SECONDS after the request arrived.
    """
    if not isinstance(response, Failure) or response.reason not in _NOT_STARTED_REASONS:
        return False
    return now < deadline and not is_forwarded(body)
