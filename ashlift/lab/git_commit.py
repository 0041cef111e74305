"""Finds the commit of the checkout, which is saved with each run."""

from pathlib import Path
from typing import Final

from gevent import subprocess

CHECKOUT: Final = Path(__file__).resolve().parents[2]
TIMEOUT_SECONDS: Final = 5
UNKNOWN: Final = "unknown"


def current_commit() -> str:
    """Return the abbreviated commit, with `+` if the checkout has changes; UNKNOWN without git."""
    try:
        described = subprocess.run(
            ["git", "describe", "--always", "--dirty=+"],
            cwd=CHECKOUT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=True,
        )
    except (OSError, subprocess.SubprocessError):
        return UNKNOWN
    return described.stdout.strip() or UNKNOWN
