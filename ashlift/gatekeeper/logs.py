"""Structured logging: events with fixed names and fields, as plain text or, if configured, by structlog."""

import logging
import sys
from typing import Any

from ashlift.gatekeeper.settings.model import Logging

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


class Event:
    """A log event: its name and its fields. As plain text, `name key=value ...`."""

    __slots__ = ("fields", "name")

    def __init__(self, name: str, fields: dict[str, Any]) -> None:
        self.name, self.fields = name, fields

    def __str__(self) -> str:
        return " ".join([self.name, *(f"{key}={value}" for key, value in self.fields.items())])


def log_event(log: logging.Logger, level: int, name: str, /, **fields: Any) -> None:
    """Logs an event. Events about a job have its trace id in the field `trace`."""
    if log.isEnabledFor(level):
        log.log(level, "%s", Event(name, fields))


def configure(settings: Logging) -> None:
    """Configures the root logger to write to standard error in the configured format."""
    handler = logging.StreamHandler(sys.stderr)
    if settings.form == "plain":
        handler.setFormatter(logging.Formatter("%(name)s: %(message)s"))
    else:
        handler.setFormatter(_structured(settings.form == "json"))
    logging.basicConfig(level=LEVELS[settings.level], handlers=[handler], force=True)


def _structured(as_json: bool) -> logging.Formatter:
    import structlog
    from structlog.typing import EventDict, WrappedLogger

    def unpack(_: WrappedLogger, __: str, entry: EventDict) -> EventDict:
        """Replaces the text of an Event by its name and fields."""
        args = entry.pop("positional_args", ())
        if isinstance(args, tuple) and len(args) == 1 and isinstance(args[0], Event):
            entry["event"] = args[0].name
            entry.update(args[0].fields)
        return entry

    renderer: Any = (
        structlog.processors.JSONRenderer()
        if as_json
        else structlog.processors.KeyValueRenderer(key_order=["timestamp", "level", "logger", "event"])
    )
    return structlog.stdlib.ProcessorFormatter(
        pass_foreign_args=True,
        foreign_pre_chain=[
            structlog.stdlib.add_log_level,
            structlog.stdlib.add_logger_name,
            unpack,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
        ],
        processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, renderer],
    )
