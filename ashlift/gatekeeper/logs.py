"""The log: events with stable names and fields, plain by the standard library, or by structlog where set."""

import logging
import sys
from typing import Any

from ashlift.gatekeeper.settings.model import Logging

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


class Event:
    """One event: its stable name and its fields. As plain text, `name key=value ...`."""

    __slots__ = ("fields", "name")

    def __init__(self, name: str, fields: dict[str, Any]) -> None:
        self.name, self.fields = name, fields

    def __str__(self) -> str:
        return " ".join([self.name, *(f"{key}={value}" for key, value in self.fields.items())])


def tell(log: logging.Logger, level: int, name: str, /, **fields: Any) -> None:
    """Write an event; what concerns a job carries its trace id as `trace`."""
    if log.isEnabledFor(level):
        log.log(level, "%s", Event(name, fields))


def set_up(settings: Logging) -> None:
    """Turn the log on, on standard error, in the form that the settings name."""
    handler = logging.StreamHandler(sys.stderr)
    if settings.form == "plain":
        handler.setFormatter(logging.Formatter("%(name)s: %(message)s"))
    else:
        handler.setFormatter(_structured(settings.form == "json"))
    logging.basicConfig(level=LEVELS[settings.level], handlers=[handler], force=True)


def _structured(as_json: bool) -> logging.Formatter:
    import structlog
    from structlog.typing import EventDict, WrappedLogger

    def unpack(_: WrappedLogger, __: str, found: EventDict) -> EventDict:
        """An Event's name and fields in place of their text."""
        args = found.pop("positional_args", ())
        if isinstance(args, tuple) and len(args) == 1 and isinstance(args[0], Event):
            found["event"] = args[0].name
            found.update(args[0].fields)
        return found

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
