"""What must always hold while a program runs: checked, counted, and fatal in tests.

A violation is a bug. In service it is counted, shown in the metrics and logged (event 107), and the caller
refuses what would break the rule. In tests it raises; a process of the soak ends at once.
"""

import os
from collections import Counter
from enum import Enum, StrEnum
from typing import Any, Final

from ashlift.events import ERROR, INVARIANT_BROKEN, log_event

FATAL_INVARIANTS_VARIABLE: Final = (
    "ASHLIFT_FATAL_INVARIANTS"  # set and not empty: a violation ends the process
)
EXIT_STATUS: Final = 70  # os.EX_SOFTWARE


class Invariant(StrEnum):
    """What is checked. The values stand in metrics and log lines."""

    DIRECTORY_REGION = "directory_region"  # /lookup names proxies in allowed regions alone
    ATTEMPT_REGION = "attempt_region"  # an attempt goes to a worker in an allowed region
    REQUEST_ANSWERED = "request_answered"  # a request that was read is answered, unless its client has gone


class ViolationAction(Enum):
    """What follows a violation, besides its count and its log line."""

    CONTINUE = "continue"
    RAISE = "raise"
    EXIT = "exit"


class InvariantViolationError(AssertionError):
    """An invariant does not hold."""


class InvariantMonitor:
    """Counts the violations of one process."""

    def __init__(self, action: ViolationAction) -> None:
        self.action = action
        self.violations: Counter[str] = Counter({invariant.value: 0 for invariant in Invariant})

    def check(self, condition: bool, invariant: Invariant, **fields: Any) -> bool:
        """Whether the condition holds. `fields` say what was seen, where it does not.

        Raises InvariantViolationError, or ends the process, where `action` says so.
        """
        if condition:
            return True
        self.violations[invariant.value] += 1
        details = " ".join(f"{key}={value}" for key, value in fields.items())
        log_event(INVARIANT_BROKEN, level=ERROR, invariant=invariant.value, details=details)
        if self.action is ViolationAction.RAISE:
            raise InvariantViolationError(f"{invariant}: {details}")
        if self.action is ViolationAction.EXIT:
            os._exit(EXIT_STATUS)
        return False


monitor: Final = InvariantMonitor(
    ViolationAction.EXIT if os.environ.get(FATAL_INVARIANTS_VARIABLE) else ViolationAction.CONTINUE
)
