"""Numbered events on standard error, by logbook. The catalogue is docs/events.md; a test holds both together.

Numbers: 1xx all programs, 2xx store, 3xx registry, 4xx proxy. A number is never used for something else.
"""

import sys
from typing import Any, Final

import logbook

STARTED: Final = (101, "started")
STOPPING: Final = (102, "stopping")
SETTINGS_READ: Final = (103, "settings read")
SETTINGS_BAD: Final = (104, "settings cannot be right")
BROKEN: Final = (105, "an invariant is broken")

_log = logbook.Logger("ashlift")


def set_up(program: str, node: str) -> None:
    """Turn the log on: one line an event, on standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=logbook.INFO)
    who = f"{program}@{node}"
    handler.format_string = "{record.time:%H:%M:%S.%f} {record.level_name} " + who + " {record.message}"
    handler.push_application()


def tell(event: tuple[int, str], /, *, level: int = logbook.INFO, **fields: Any) -> None:
    """Write an event: its number, its words, its fields."""
    number, words = event
    _log.log(level, "{} {} {}", number, words, " ".join(f"{key}={value}" for key, value in fields.items()))
