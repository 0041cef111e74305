"""Versions of the operator's configuration: eight hexadecimal digits that rise with each change."""

from collections.abc import Mapping
from typing import Any, Final

from ashlift.errors import Failure, FailureReason

VERSION_KEY: Final = "Version"  # key of the current version in the stored map
INITIAL_VERSION: Final = "00000000"  # until the first configuration is put
MAX_DIGITS: Final = 8
_HEXADECIMAL: Final = frozenset("0123456789abcdefABCDEF")


def parse_version(version: Any) -> int | Failure:
    """Parse a version; accepts fewer digits, whitespace and the quotes of an If-Match header."""
    text = version.strip().strip('"') if isinstance(version, str) else ""
    if not 0 < len(text) <= MAX_DIGITS or not _HEXADECIMAL.issuperset(text):
        return Failure(
            FailureReason.INVALID, f"is no version of eight hexadecimal digits: {str(version)[:40]!r}"
        )
    return int(text, 16)


def format_version(number: int) -> str:
    """Format a version as eight digits."""
    return f"{number:08x}"


def current_version(entries: Mapping[str, Any]) -> str:
    """Return the version of a stored configuration, as eight digits."""
    version: str = entries.get(VERSION_KEY, INITIAL_VERSION)
    return version
