"""Violations of rules, as checkers yield them."""

from collections.abc import Iterable

from attrs import frozen


@frozen
class Violation:
    """A violation of `rule`, a key of `RULE_TEXTS`; `at` is in seconds since the start of the run."""

    rule: str
    at: float
    description: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.3f}: {self.description}"


def earliest(violations: Iterable[Violation]) -> Violation | None:
    """Return the violation with the lowest time, the first of several with the same time."""
    return min(violations, key=lambda violation: violation.at, default=None)
