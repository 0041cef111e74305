"""Functions shared by the programs' entry points: settings path, signal handlers, exit on unhandled errors.

Each program implements its shutdown itself.
"""

import os
import signal
from collections.abc import Callable
from typing import Any, Final

import gevent

from ashlift import exit_status
from ashlift.events import CRITICAL, PROCESS_ENDS, RELOAD_DURING_START, UNHANDLED_ERROR, log_event
from ashlift.startup_signals import take_remembered

SETTINGS_PATH_VARIABLE: Final = "ASHLIFT_SETTINGS"
DEFAULT_SETTINGS_PATH: Final = "/etc/ashlift/settings.toml"
TERMINATION_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)

_EXPECTED_EXCEPTIONS: Final = (KeyboardInterrupt, SystemExit, gevent.GreenletExit)


def settings_path() -> str:
    """Return the path of the settings file: from the environment, or the default."""
    return os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH)


def on_termination(handler: Callable[[], object]) -> None:
    """Call `handler` in a greenlet on each SIGTERM and SIGINT."""
    for number in TERMINATION_SIGNALS:
        gevent.signal_handler(number, handler)


def on_reload(handler: Callable[[], object]) -> None:
    """Call `handler` in a greenlet on each SIGHUP, and once if one was received during the start."""
    gevent.signal_handler(signal.SIGHUP, handler)
    if take_remembered(signal.SIGHUP):
        log_event(RELOAD_DURING_START)
        gevent.spawn(handler)


def ignore_reload() -> None:
    """Ignore SIGHUP, which would end the process by default."""
    on_reload(lambda: None)


def exit_on_unhandled_error() -> None:
    """End the process at once when a greenlet dies of an unhandled exception, which is a bug."""
    hub: Any = gevent.get_hub()

    def handle_error(context: Any, kind: Any, value: Any, traceback: Any) -> None:
        if kind is not None and issubclass(kind, _EXPECTED_EXCEPTIONS):
            return
        log_event(UNHANDLED_ERROR, level=CRITICAL, error=repr(value))
        hub.print_exception(context, kind, value, traceback)
        log_event(PROCESS_ENDS, status=exit_status.INTERNAL_ERROR)
        os._exit(exit_status.INTERNAL_ERROR)

    hub.handle_error = handle_error
