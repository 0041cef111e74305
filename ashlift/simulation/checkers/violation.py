"""A violation of a rule, as checkers yield it."""

from collections.abc import Iterable

from attrs import frozen


@frozen
class Violation:
    """`rule` is the users' name of the rule; `at` is in seconds on the world's clock."""

    rule: str
    at: float
    description: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.3f}: {self.description}"


def earliest(violations: Iterable[Violation]) -> Violation | None:
    """Return the violation that happened first; of several at one moment the first of them."""
    return min(violations, key=lambda violation: violation.at, default=None)
