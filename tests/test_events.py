"""The log: what is buffered in the first seconds, and that nothing of it is lost or out of order.

Each case runs in a process of its own, as a process has one log.
"""

import subprocess
import sys

import logbook
from ward import each, test

from ashlift import events

HEAD = """
import sys
from ashlift import events as e
e.configure('p', 'n')
e.log_event((900, 'first'), a='{}')
"""
LOADED = "print('logbook' in sys.modules); "


def _run(code: str) -> tuple[list[str], list[str]]:
    done = subprocess.run([sys.executable, "-c", HEAD + code], capture_output=True, text=True, timeout=60)
    return done.stdout.split(), done.stderr.splitlines()


@test("an early event waits for the end, an error, or many others, and then comes first ({code})")
def _(
    code: str = each(
        LOADED + "e.log_event((901, 'last'))",
        LOADED + "e.log_event((901, 'last'), level=e.ERROR); import os; os._exit(0)",
        LOADED
        + "[e.log_event((901, 'last')) for _ in range(e.MAX_BUFFERED_EVENTS - 1)]; import os; os._exit(0)",
    ),
) -> None:
    loaded, lines = _run(code)
    assert loaded == ["False"]
    assert lines[0].endswith("INFO p@n 900 first a={}"), lines
    assert " p@n 901 last" in lines[-1] and lines == sorted(lines)


@test("the levels are logbook's own")
def _() -> None:
    for name in ("INFO", "WARNING", "ERROR", "CRITICAL"):
        assert getattr(events, name) == getattr(logbook, name)
