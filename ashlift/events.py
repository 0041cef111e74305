"""Numbered events on standard error, by logbook. The catalogue is docs/events.md; a test holds both together.

Numbers: 1xx all programs, 2xx store, 3xx registry, 4xx proxy. A number is never used for something else.

Loading logbook takes a sixth of a start, and after a loss of all machines everybody waits for that. So the
events of the first seconds are held and written a little later, with their own times; one that tells of an
error is written at once, with all before it, and so is what is held at the end of the process.
"""

import atexit
import sys
import time
from typing import TYPE_CHECKING, Any, Final

import gevent

if TYPE_CHECKING:
    import logbook

INFO: Final = 11  # logbook's levels
WARNING: Final = 13
ERROR: Final = 14
CRITICAL: Final = 15

STARTED: Final = (101, "started")
STOPPING: Final = (102, "stopping")
SETTINGS_READ: Final = (103, "settings read")
SETTINGS_BAD: Final = (104, "settings cannot be right")
BROKEN: Final = (105, "an invariant is broken")

HELD_S: Final = 2.0  # after the start: by then there is a leader, and gatekeepers are ready
HELD_MOST: Final = 200  # events

_held: list[tuple[int, str, str]] = []  # level, time of day, what to write
_log: "logbook.Logger | None" = None
_who = ""


def set_up(program: str, node: str) -> None:
    """Turn the log on: one line an event, on standard error."""
    global _who
    _who = f"{program}@{node}"
    atexit.register(write_held)
    gevent.spawn_later(HELD_S, write_held)


def tell(event: tuple[int, str], /, *, level: int = INFO, **fields: Any) -> None:
    """Write an event: its number, its words, its fields."""
    number, words = event
    now = time.time()
    at = time.strftime("%H:%M:%S", time.gmtime(now)) + f".{int(now % 1 * 1e6):06d}"
    line = f"{number} {words} {' '.join(f'{key}={value}' for key, value in fields.items())}"
    _held.append((level, at, line))
    if _log is not None or level >= ERROR or len(_held) >= HELD_MOST:
        write_held()


def write_held() -> None:
    """Write what is held; from now on, events are written as they come."""
    global _log
    if _log is None:
        import logbook

        handler = logbook.StreamHandler(sys.stderr, level=logbook.INFO)
        handler.format_string = "{record.extra[at]} {record.level_name} " + _who + " {record.message}"
        handler.push_application()
        _log = logbook.Logger("ashlift")
    while _held:
        level, at, line = _held.pop(0)
        _log.log(level, "{}", line, extra={"at": at})
