"""Numbered log events on standard error, by logbook. The catalogue is docs/events.md; a test compares both.

Numbers: 1xx all programs, 2xx configuration store, 3xx registry, 4xx proxy. A number is never reused.

Loading logbook takes a sixth of a program's start, and after the loss of all machines everybody waits for
that. So the events of the first seconds are buffered and written a little later, with their own times; one at
level ERROR or above is written at once, after all before it, and so is the buffer when the process ends.
"""

import atexit
import sys
import time
from typing import TYPE_CHECKING, Any, Final, NamedTuple

if TYPE_CHECKING:
    import logbook


class EventType(NamedTuple):
    """What can be logged: a number that stands for it, and the words of its line."""

    number: int
    words: str


INFO: Final = 11  # the levels are logbook's
WARNING: Final = 13
ERROR: Final = 14
CRITICAL: Final = 15

STARTED: Final = EventType(101, "started")
STOPPING: Final = EventType(102, "stopping")
SETTINGS_RELOADED: Final = EventType(103, "settings reloaded")
SETTINGS_INVALID: Final = EventType(104, "settings invalid")
UNHANDLED_ERROR: Final = EventType(105, "invariant violated")
INVARIANT_BROKEN: Final = EventType(107, "invariant does not hold")
METRICS_UNAVAILABLE: Final = EventType(106, "metrics endpoint unavailable")

STARTUP_BUFFER_SECONDS: Final = 2.0  # by then the store has a leader, and proxies are ready
MAX_BUFFERED_EVENTS: Final = 200

_buffer: list[tuple[int, str, str]] = []  # level, time of day, line
_logger: "logbook.Logger | None" = None  # None: events are buffered
_process_name = ""  # program@node


def configure(program: str, node: str) -> None:
    """Name the process in its lines, and see to it that buffered events are written."""
    import gevent  # here: pure cores name events too, and load no sockets for it

    global _process_name
    _process_name = f"{program}@{node}"
    atexit.register(flush)
    gevent.spawn_later(STARTUP_BUFFER_SECONDS, flush)


def log_event(event: EventType, /, *, level: int = INFO, **fields: Any) -> None:
    """Log an event on one line: its number, its words, its fields."""
    line = f"{event.number} {event.words} {' '.join(f'{key}={value}' for key, value in fields.items())}"
    _buffer.append((level, _time_of_day(time.time()), line))
    if _logger is not None or level >= ERROR or len(_buffer) >= MAX_BUFFERED_EVENTS:
        flush()


def flush() -> None:
    """Write what is buffered; from now on events are written as they are logged."""
    global _logger
    if _logger is None:
        _logger = _open_logger()
    while _buffer:
        level, time_of_day, line = _buffer.pop(0)
        _logger.log(level, "{}", line, extra={"time_of_day": time_of_day})


def _time_of_day(now: float) -> str:
    """UTC, to a microsecond."""
    return time.strftime("%H:%M:%S", time.gmtime(now)) + f".{int(now % 1 * 1e6):06d}"


def _open_logger() -> "logbook.Logger":
    import logbook  # here, as it is slow to load: see above

    handler = logbook.StreamHandler(sys.stderr, level=logbook.INFO)
    handler.format_string = (
        "{record.extra[time_of_day]} {record.level_name} " + _process_name + " {record.message}"
    )
    handler.push_application()
    return logbook.Logger("ashlift")
