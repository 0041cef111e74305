"""Durations as settings and request bodies write them: a number and its unit, `ms` or `s`."""

import re
from typing import Any, Final

from ashlift.errors import Failure, FailureReason

MAX_TEXT_LENGTH: Final = 79  # characters; anything longer is no duration
_DURATION: Final = re.compile(r"\s*(\d{1,15}(?:\.\d{0,30})?(?:[eE][+-]?\d{1,2})?)\s*(ms|s)\s*", re.ASCII)


def parse_duration(text: Any) -> float | Failure:
    """`1500ms` or `2.5s` in seconds; a Failure where `text` is no such text."""
    match = _DURATION.fullmatch(text) if isinstance(text, str) and len(text) <= MAX_TEXT_LENGTH else None
    if match is None:
        return Failure(FailureReason.INVALID, f"no time such as 1500ms or 2.5s: {str(text)[:40]!r}")
    return float(match[1]) / (1000 if match[2] == "ms" else 1)


def format_duration(seconds: float) -> str:
    """Seconds as `1500ms`, to a thousandth of a millisecond."""
    return f"{seconds * 1000:.3f}".rstrip("0").rstrip(".") + "ms"
