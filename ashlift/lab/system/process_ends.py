"""How processes of a run ended, and which of these ends are the lab's own doing."""

import signal
from pathlib import Path
from typing import Final

import attrs

OK_STATUS: Final = 0
CAUGHT_SIGNALS_FIELD: Final = "SigCgt:"  # of /proc/PID/status: a bit mask in hexadecimal
HEXADECIMAL: Final = 16
FIRST_LIBRARY: Final = "greenlet"  # that a program loads


@attrs.frozen
class ProcessEnd:
    """The end of a process. `status`: the exit status, or the negative number of the signal that ended it.

    `signals`: those that the lab sent; `uncaught_signals`: those of them that came before the program's first
    instruction, while the interpreter was starting.
    """

    incarnation: int
    status: int
    signals: frozenset[signal.Signals]
    uncaught_signals: frozenset[signal.Signals]

    @property
    def is_expected(self) -> bool:
        """Whether the lab brought it about, and the process ended as it should."""
        if self.status == -signal.SIGKILL:
            return signal.SIGKILL in self.signals
        if self.status == OK_STATUS:
            return signal.SIGTERM in self.signals
        return -self.status in self.uncaught_signals

    def __str__(self) -> str:
        cause = f"status {self.status}" if self.status >= 0 else signal.Signals(-self.status).name
        sent = ",".join(sorted(number.name for number in self.signals)) or "no signal"
        return f"start {self.incarnation} ended with {cause}, after {sent}"


def is_interpreter_starting(pid: int, number: signal.Signals) -> bool:
    """Whether a process has no handler for the signal and has loaded none of the program's libraries yet.

    False if it has ended: nothing can be said then.
    """
    try:
        status = Path(f"/proc/{pid}/status").read_text()
        mapped_files = Path(f"/proc/{pid}/maps").read_text()
    except OSError:
        return False
    masks = [line.split()[1] for line in status.splitlines() if line.startswith(CAUGHT_SIGNALS_FIELD)]
    is_caught = not masks or bool(int(masks[0], HEXADECIMAL) >> (number - 1) & 1)
    return not is_caught and FIRST_LIBRARY not in mapped_files
