"""Run-time invariants: checked, counted, and fatal in tests.

A violation is a bug. In production it is counted in the metrics and logged (event 107), and the caller
rejects the operation. In tests it raises. If ASHLIFT_FATAL_INVARIANTS is set, the process exits.
"""

import os
from collections import Counter
from enum import Enum, StrEnum
from typing import Any, Final

from ashlift.events import ERROR, INVARIANT_BROKEN, log_event

FATAL_INVARIANTS_VARIABLE: Final = "ASHLIFT_FATAL_INVARIANTS"  # unless empty, violations end the process
EXIT_STATUS: Final = 70  # os.EX_SOFTWARE


class Invariant(StrEnum):
    """The invariants. The values appear in metrics and log lines."""

    DIRECTORY_REGION = "directory_region"  # /lookup returns only proxies in allowed regions
    ATTEMPT_REGION = "attempt_region"  # requests are sent only to workers in allowed regions
    QUOTA_LEASES = "quota_leases"  # the leases on one quota do not exceed it in sum
    REQUEST_ANSWERED = "request_answered"  # each request read gets a response, unless its client disconnects


class ViolationAction(Enum):
    """What a violation does after it has been counted and logged."""

    CONTINUE = "continue"
    RAISE = "raise"
    EXIT = "exit"


class InvariantViolationError(AssertionError):
    """An invariant is violated."""


class InvariantMonitor:
    """Checks invariants, and counts the violations of this process."""

    def __init__(self, action: ViolationAction) -> None:
        self.action = action
        self.violations: Counter[str] = Counter({invariant.value: 0 for invariant in Invariant})

    def check(self, condition: bool, invariant: Invariant, **fields: Any) -> bool:
        """Return `condition`; count and log a violation if it is false. `fields` are added to the log line.

        Depending on `action`, a violation also raises InvariantViolationError or ends the process.
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
