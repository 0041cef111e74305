"""What the programs' entry points share: path of the settings, signals, the end after an unhandled error.

It owns no state. What a program does when it is told to stop stands in its own `__main__`.
"""

import os
import signal
from collections.abc import Callable
from typing import Any, Final

import gevent

from ashlift.events import CRITICAL, UNHANDLED_ERROR, log_event

SETTINGS_PATH_VARIABLE: Final = "ASHLIFT_SETTINGS"
DEFAULT_SETTINGS_PATH: Final = "/etc/ashlift/settings.toml"
TERMINATION_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
EXIT_INVALID_SETTINGS: Final = (
    os.EX_CONFIG
)  # of the configuration store; registry and proxy have always given 2
EXIT_INTERNAL_ERROR: Final = os.EX_SOFTWARE

_EXPECTED_EXCEPTIONS: Final = (KeyboardInterrupt, SystemExit, gevent.GreenletExit)


def settings_path() -> str:
    """Path of the settings file: from the environment, else the default one."""
    return os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH)


def on_termination(handler: Callable[[], object]) -> None:
    """Call `handler` in a greenlet on each SIGTERM and SIGINT."""
    for number in TERMINATION_SIGNALS:
        gevent.signal_handler(number, handler)


def on_reload(handler: Callable[[], object]) -> None:
    """Call `handler` in a greenlet on each SIGHUP."""
    gevent.signal_handler(signal.SIGHUP, handler)


def ignore_reload() -> None:
    """Let SIGHUP, which ends a process by default, do nothing."""
    on_reload(lambda: None)


def exit_on_unhandled_error() -> None:
    """Let an exception that leaves a greenlet end the process at once: it is a broken invariant."""
    hub: Any = gevent.get_hub()

    def handle_error(context: Any, kind: Any, value: Any, traceback: Any) -> None:
        if kind is not None and issubclass(kind, _EXPECTED_EXCEPTIONS):
            return
        log_event(UNHANDLED_ERROR, level=CRITICAL, error=repr(value))
        hub.print_exception(context, kind, value, traceback)
        os._exit(EXIT_INTERNAL_ERROR)

    hub.handle_error = handle_error
