"""Requests that only the leader can serve: who is to serve one now, and whether it may be tried again.

Pure: the server and the simulator call these functions between their own waits.
"""

from enum import Enum, auto
from typing import Any, Final, NamedTuple

from ashlift.configstore.replica import Replica
from ashlift.configstore.requests import is_forwarded
from ashlift.errors import Failure, FailureReason

LEADER_WAIT_SECONDS: Final = 0.5  # how long a request waits for a leader
RETRY_INTERVAL_SECONDS: Final = 0.05
SUBMIT_TIMEOUT_SECONDS: Final = 5.0  # how long a command may be under way
READ_TIMEOUT_SECONDS: Final = 2.0

NO_LEADER: Final = Failure(FailureReason.UNAVAILABLE, "no leader")
_NO_LEADER_CONTACT: Final = Failure(FailureReason.UNAVAILABLE, "no leader is heard here")
_NOT_STARTED_REASONS: Final = (FailureReason.UNAVAILABLE, FailureReason.UNREACHABLE)


class RoutingDecision(Enum):
    """Who is to serve a request, where it is not forwarded."""

    THIS_REPLICA = auto()  # it leads
    NO_LEADER_YET = auto()  # no leader is known now, or the request must not be forwarded again


class ForwardTo(NamedTuple):
    """The leader as far as is known here. A named tuple, as one is cheaper to define at the start."""

    leader: str


def choose_route(replica: Replica, body: dict[str, Any], now: float) -> RoutingDecision | ForwardTo | Failure:
    """Who is to serve a request now; a Failure where no leader is to be expected soon."""
    if replica.lacks_leader_contact(now):
        return _NO_LEADER_CONTACT
    if replica.leader_role is not None:
        return RoutingDecision.THIS_REPLICA
    if replica.leader_ip is not None and not is_forwarded(body):
        return ForwardTo(replica.leader_ip)
    return RoutingDecision.NO_LEADER_YET


def may_retry(response: Any, body: dict[str, Any], now: float, deadline: float) -> bool:
    """Whether to try once more: only where nothing was begun, so that nothing is done twice.

    `deadline`: LEADER_WAIT_SECONDS after the request came.
    """
    if not isinstance(response, Failure) or response.reason not in _NOT_STARTED_REASONS:
        return False
    return now < deadline and not is_forwarded(body)
