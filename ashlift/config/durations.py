"""Durations in settings and request bodies: a number and a unit, `ms` or `s`."""

import re
from typing import Any, Final

from ashlift.errors import Failure, FailureReason

MAX_TEXT_LENGTH: Final = 79  # characters; longer texts are rejected
_DURATION: Final = re.compile(r"\s*(\d{1,15}(?:\.\d{0,30})?(?:[eE][+-]?\d{1,2})?)\s*(ms|s)\s*", re.ASCII)


def parse_duration(text: Any) -> float | Failure:
    """Parse `1500ms` or `2.5s` into seconds; a Failure if `text` is not a duration."""
    match = _DURATION.fullmatch(text) if isinstance(text, str) and len(text) <= MAX_TEXT_LENGTH else None
    if match is None:
        return Failure(FailureReason.INVALID, f"no time such as 1500ms or 2.5s: {str(text)[:40]!r}")
    return float(match[1]) / (1000 if match[2] == "ms" else 1)


def format_duration(seconds: float) -> str:
    """Format seconds as `1500ms`, with up to three decimals."""
    return f"{seconds * 1000:.3f}".rstrip("0").rstrip(".") + "ms"
