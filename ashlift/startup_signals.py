"""Signals that a program receives before it has installed its own handlers.

Their default actions would end the process. SIGHUP is remembered until `ashlift.process.on_reload` installs a
handler. SIGTERM and SIGINT end the process at once, in good order: it does not serve anybody yet.

Imports only modules that the interpreter has loaded anyway, since this is the first code of a program to run.
"""

import os
import signal
from types import FrameType
from typing import Final

from ashlift import exit_status

_TERMINATION_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)

_remembered: set[int] = set()


def handle_early_signals() -> None:
    """Install the handlers that are in force until the program installs its own."""
    signal.signal(signal.SIGHUP, _remember)
    for number in _TERMINATION_SIGNALS:
        signal.signal(number, _end)


def take_remembered(number: int) -> bool:
    """Whether the signal was received before its handler was installed; forgets it."""
    was_received = number in _remembered
    _remembered.discard(number)
    return was_received


def _remember(number: int, _frame: FrameType | None) -> None:
    _remembered.add(number)


def _end(_number: int, _frame: FrameType | None) -> None:
    os._exit(exit_status.OK)
