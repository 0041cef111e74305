"""Outcomes as values: a Fault stands where a result could have stood, and says why there is none."""

from typing import Any, Final


class Fault:
    """A sentinel with a reason (one of this module's words) and a detail for people. Falsy."""

    __slots__ = ("detail", "reason")

    def __init__(self, reason: str, detail: str = "") -> None:
        self.reason, self.detail = reason, detail

    def __bool__(self) -> bool:
        return False

    def __eq__(self, other: Any) -> bool:
        return isinstance(other, Fault) and (self.reason, self.detail) == (other.reason, other.detail)

    def __hash__(self) -> int:
        return hash((self.reason, self.detail))

    def __repr__(self) -> str:
        return f"Fault({self.reason}: {self.detail})" if self.detail else f"Fault({self.reason})"


UNREACHED: Final = "unreached"  # no connection came up: the call has not been made
UNANSWERED: Final = "unanswered"  # sent, and no answer in time: it may have been done
INVALID: Final = "invalid"  # what was given cannot be right
REFUSED: Final = "refused"  # understood, and not done
UNKNOWN: Final = "unknown"  # what was named is not there
UNREADY: Final = "unready"  # not now: come again
LATE: Final = "late"  # not done, and will not be: whoever asked may have gone meanwhile
