"""Outcomes as values: a `Failure` stands where a result could have stood, and says why there is none.

Nothing that the network, a disk or a caller does is raised as an exception; exceptions are for broken
invariants alone. The reasons travel between processes as the strings below.
"""

from enum import StrEnum


class FailureReason(StrEnum):
    """Why there is no result. The values are the words on the wire between our processes."""

    UNREACHABLE = "unreached"  # no connection came up: the request was not sent
    OUTCOME_UNKNOWN = "unanswered"  # sent, and no response in time: it may have been executed
    INVALID = "invalid"  # what was given cannot be right
    REJECTED = "refused"  # understood, and not done
    NOT_FOUND = "unknown"  # what was named does not exist
    UNAVAILABLE = "unready"  # not now: retry later
    EXPIRED = "late"  # not done, and will not be: the caller may have given up meanwhile


class Failure:
    """A falsy sentinel with a reason and a detail for people.

    `reason` is a `FailureReason`, or another string where a newer process sent one that is not known here.
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
