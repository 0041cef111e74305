"""Logs numbered events to standard error by logbook. docs/events.md lists them; a test compares the two.

Numbers: 1xx all programs, 2xx configuration store, 3xx registry, 4xx proxy. A number is never reused.

Importing logbook is slow, so it is deferred until after startup: events are buffered for the first seconds
and then written with their original times. An event at level ERROR or above, a full buffer and the end of the
process flush the buffer at once. While logbook cannot be loaded, events are written without it.
"""

import atexit
import sys
import time
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from ashlift.log_stream import lost_log_texts


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
LOG_LINES_LOST: Final = EventType(112, "log lines lost")

STARTUP_BUFFER_SECONDS: Final = 2.0  # long enough for the store to elect a leader and proxies to become ready
MAX_BUFFERED_EVENTS: Final = 200

LineWriter = Callable[[int, str, str], None]  # takes a level, the time of day and a line
_LEVEL_NAMES: Final = {INFO: "INFO", WARNING: "WARNING", ERROR: "ERROR", CRITICAL: "CRITICAL"}

_buffer: list[tuple[int, str, str]] = []  # level, UTC time, line
_write_line: "LineWriter | None" = None  # None: events are buffered
_reported_lost_lines = 0
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
    if _write_line is not None or level >= ERROR or len(_buffer) >= MAX_BUFFERED_EVENTS:
        flush()


def flush() -> None:
    """Write the buffered events; later ones are written as they are logged."""
    global _write_line
    if _write_line is None:
        _write_line = _open_logger()
    write_line = _write_line or _write_plainly
    while _buffer:
        lost_before = lost_log_texts()
        write_line(*_buffer.pop(0))
        if lost_log_texts() == lost_before:
            _report_lost_lines()


def _report_lost_lines() -> None:
    """Log how many lines were lost since the last report, now that a line could be written."""
    global _reported_lost_lines
    lost = lost_log_texts() - _reported_lost_lines
    if lost:
        _reported_lost_lines += lost
        log_event(LOG_LINES_LOST, level=WARNING, lines=lost)


def _time_of_day(now: float) -> str:
    """Format the UTC time of day with microseconds."""
    return time.strftime("%H:%M:%S", time.gmtime(now)) + f".{int(now % 1 * 1e6):06d}"


def _open_logger() -> LineWriter | None:
    """Return a writer by logbook; None if logbook cannot be loaded, e.g. for lack of descriptors."""
    try:
        import logbook  # deferred, because it is slow to load
    except Exception:
        return None
    handler = logbook.StreamHandler(sys.stderr, level=logbook.INFO)
    handler.format_string = (
        "{record.extra[time_of_day]} {record.level_name} " + _process_name + " {record.message}"
    )
    handler.push_application()
    logger = logbook.Logger("ashlift")

    def write_line(level: int, time_of_day: str, line: str) -> None:
        logger.log(level, "{}", line, extra={"time_of_day": time_of_day})

    return write_line


def _write_plainly(level: int, time_of_day: str, line: str) -> None:
    if sys.stderr is not None:
        sys.stderr.write(f"{time_of_day} {_LEVEL_NAMES[level]} {_process_name} {line}\n")
