"""Times as they are written in settings and bodies: a number and its unit, `ms` or `s`."""

import re
from typing import Any

from ashlift.errors import Failure, FailureReason

_TIME = re.compile(r"\s*(\d{1,15}(?:\.\d{0,30})?(?:[eE][+-]?\d{1,2})?)\s*(ms|s)\s*", re.ASCII)


def parse_time(text: Any) -> float | Failure:
    """`1500ms` or `2.5s` as seconds; a Failure where it is no such text."""
    found = _TIME.fullmatch(text) if isinstance(text, str) and len(text) < 80 else None
    if not found:
        return Failure(FailureReason.INVALID, f"no time such as 1500ms or 2.5s: {str(text)[:40]!r}")
    return float(found[1]) / (1000 if found[2] == "ms" else 1)


def show_time(seconds: float) -> str:
    """Seconds as a text, to a thousandth of a millisecond: `1500ms`."""
    return f"{seconds * 1000:.3f}".rstrip("0").rstrip(".") + "ms"
