"""Failures as return values: functions return a `Failure` in place of a result.

Failures of the network, of disks and of callers are not raised; exceptions are reserved for violated
invariants.
"""

from enum import StrEnum


class FailureReason(StrEnum):
    """Why there is no result. The values are sent on the wire."""

    UNREACHABLE = "unreached"  # no connection could be opened, so the request was not sent
    OUTCOME_UNKNOWN = "unanswered"  # sent without a response in time: it may have been executed
    INVALID = "invalid"  # the request or the value is malformed
    REJECTED = "refused"  # valid, but not executed
    NOT_FOUND = "unknown"  # the named object does not exist
    UNAVAILABLE = "unready"  # temporarily impossible: retry later
    EXPIRED = "late"  # not executed, because the caller may have given up meanwhile


class Failure:
    """A falsy result with a reason and a human-readable detail.

    `reason` is a `FailureReason`, or an unknown string if it was received from a newer version.
    """

    __slots__ = ("detail", "reason")

    def __init__(self, reason: str, detail: str = "") -> None:
        self.reason = reason
        self.detail = detail

    def __bool__(self) -> bool:
        return False

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Failure) and (self.reason, self.detail) == (other.reason, other.detail)

    def __hash__(self) -> int:
        return hash((self.reason, self.detail))

    def __repr__(self) -> str:
        return f"Failure({self.reason}: {self.detail})" if self.detail else f"Failure({self.reason})"
