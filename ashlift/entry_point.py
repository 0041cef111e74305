"""Runs a program from its first instruction to the end of its process.

`python3 -m ashlift.PROGRAM` calls `run_program` before it imports anything else, so that the time in which a
signal has its default action is as short as possible. The end does not wait for the interpreter to shut down:
until the process is gone, signals keep the handlers of the program.
"""

import importlib
import os
import sys

from ashlift import exit_status
from ashlift.log_stream import open_missing_standard_descriptors, replace_standard_error
from ashlift.startup_signals import handle_early_signals


def run_program(module_name: str) -> None:
    """Run `main` of the module and end the process with the exit status that it returns."""
    handle_early_signals()
    open_missing_standard_descriptors()
    replace_standard_error()
    os._exit(_exit_status(module_name))


def _exit_status(module_name: str) -> int:
    try:
        status: int = importlib.import_module(module_name).main()
    except Exception as error:
        sys.excepthook(type(error), error, error.__traceback__)
        _log_unhandled_error(error)
        status = exit_status.INTERNAL_ERROR
    _log_end(status)
    return status


def _log_unhandled_error(error: Exception) -> None:
    from ashlift.events import CRITICAL, UNHANDLED_ERROR, log_event  # this module's imports are kept few

    log_event(UNHANDLED_ERROR, level=CRITICAL, error=repr(error))


def _log_end(status: int) -> None:
    from ashlift.events import PROCESS_ENDS, flush, log_event

    log_event(PROCESS_ENDS, status=status)
    flush()
