"""The event log: early events are buffered, and none is lost or written out of order.

Each case runs in a separate process, because the log is global.
"""

import subprocess
import sys

import logbook
from ward import each, test

from ashlift import events

PROLOGUE = """
import sys
from ashlift import events
events.configure('p', 'n')
last = events.EventType(901, 'last')
events.log_event(events.EventType(900, 'first'), a='{}')
"""
IS_LOADED = "print('logbook' in sys.modules); "


def run(code: str) -> tuple[list[str], list[str]]:
    """Run a process; return the words on its standard output and the lines on its standard error."""
    done = subprocess.run([sys.executable, "-c", PROLOGUE + code], capture_output=True, text=True, timeout=60)
    return done.stdout.split(), done.stderr.splitlines()


@test("early events are buffered until the process exits, an error is logged or the buffer is full ({code})")
def _(
    code: str = each(
        IS_LOADED + "events.log_event(last)",
        IS_LOADED + "events.log_event(last, level=events.ERROR); import os; os._exit(0)",
        IS_LOADED
        + "[events.log_event(last) for _ in range(events.MAX_BUFFERED_EVENTS - 1)]; import os; os._exit(0)",
    ),
) -> None:
    loaded, lines = run(code)
    assert loaded == ["False"]
    assert lines[0].endswith("INFO p@n 900 first a={}"), lines
    assert " p@n 901 last" in lines[-1]
    assert lines == sorted(lines)


@test("the event levels equal those of logbook")
def _() -> None:
    for name in ("INFO", "WARNING", "ERROR", "CRITICAL"):
        assert getattr(events, name) == getattr(logbook, name)


@test("a process goes on when its standard error is on a full disk")
def _() -> None:
    program = (
        "import sys\n"
        "from ashlift.events import ERROR, STARTED, flush, log_event\n"
        "for number in range(50):\n"
        "    log_event(STARTED, level=ERROR, zone=number)\n"
        "flush()\n"
        "print('goes on')\n"
    )
    with open("/dev/full", "wb") as full:
        done = subprocess.run(
            [sys.executable, "-c", program],
            stdout=subprocess.PIPE,
            stderr=full,
            text=True,
            timeout=20,
            check=False,
        )
    assert done.stdout == "goes on\n"
