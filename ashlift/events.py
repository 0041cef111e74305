"""Logs numbered events to standard error by logbook. docs/events.md lists them; a test compares the two.

Numbers: 1xx all programs, 2xx configuration store, 3xx registry, 4xx proxy. A number is never reused.

Importing logbook is slow, so it is deferred until after startup: events are buffered for the first seconds
and then written with their original times. An event at level ERROR or above, a full buffer and the end of the
process flush the buffer at once.
"""

import atexit
import sys
import time
from typing import TYPE_CHECKING, Any, Final, NamedTuple

if TYPE_CHECKING:
    import logbook


class EventType(NamedTuple):
    """A kind of event: its unique number and its text."""

    number: int
    text: str


INFO: Final = 11  # the levels equal logbook's
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
RELOAD_DURING_START: Final = EventType(108, "reload signalled during the start")
ADDRESS_UNAVAILABLE: Final = EventType(109, "address not available yet")
PROCESS_ENDS: Final = EventType(110, "process ends")
CONNECTION_NOT_ACCEPTED: Final = EventType(111, "connection not accepted")

STARTUP_BUFFER_SECONDS: Final = 2.0  # long enough for the store to elect a leader and proxies to become ready
MAX_BUFFERED_EVENTS: Final = 200

_buffer: list[tuple[int, str, str]] = []  # level, UTC time, line
_logger: "logbook.Logger | None" = None  # None: events are buffered
_process_name = ""  # program@node


def configure(program: str, node: str) -> None:
    """Set the process name in log lines, and schedule the flush of buffered events."""
    import gevent  # deferred: modules without I/O import this one, and must not load gevent

    global _process_name
    _process_name = f"{program}@{node}"
    atexit.register(flush)
    gevent.spawn_later(STARTUP_BUFFER_SECONDS, flush)


def log_event(event: EventType, /, *, level: int = INFO, **fields: Any) -> None:
    """Log an event as one line: its number, text and fields."""
    line = f"{event.number} {event.text} {' '.join(f'{key}={value}' for key, value in fields.items())}"
    _buffer.append((level, _time_of_day(time.time()), line))
    if _logger is not None or level >= ERROR or len(_buffer) >= MAX_BUFFERED_EVENTS:
        flush()


def flush() -> None:
    """Write the buffered events; later ones are written as they are logged."""
    global _logger
    if _logger is None:
        _logger = _open_logger()
    while _buffer:
        level, time_of_day, line = _buffer.pop(0)
        _logger.log(level, "{}", line, extra={"time_of_day": time_of_day})


def _time_of_day(now: float) -> str:
    """Format the UTC time of day with microseconds."""
    return time.strftime("%H:%M:%S", time.gmtime(now)) + f".{int(now % 1 * 1e6):06d}"


def _open_logger() -> "logbook.Logger":
    import logbook  # deferred, because it is slow to load

    handler = logbook.StreamHandler(sys.stderr, level=logbook.INFO)
    handler.format_string = (
        "{record.extra[time_of_day]} {record.level_name} " + _process_name + " {record.message}"
    )
    handler.push_application()
    return logbook.Logger("ashlift")
