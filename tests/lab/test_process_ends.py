"""Which ends of processes count as faults of the programs."""

import signal
from collections.abc import Iterable

from ward import each, test

from ashlift.lab.system.process_ends import ProcessEnd

HUP, TERM, KILL = signal.SIGHUP, signal.SIGTERM, signal.SIGKILL


def end(status: int, sent: Iterable[signal.Signals], uncaught: Iterable[signal.Signals] = ()) -> ProcessEnd:
    return ProcessEnd(1, status, frozenset(sent), frozenset(uncaught))


@test("an end with status {status} is expected, since the lab sent its signal")
def _(
    status: int = each(0, -9, -15, -1),
    sent: Iterable[signal.Signals] = each([TERM, HUP], [KILL, TERM], [TERM], [HUP]),
    uncaught: Iterable[signal.Signals] = each([], [], [TERM], [HUP]),
) -> None:
    assert end(status, sent, uncaught).is_expected


# Guards against a lab that takes no notice of processes which a signal has ended (issue 76).
@test("an end with status {status} is a fault of the program")
def _(
    status: int = each(-1, -15, -9, 0, 0, 70, 120, 1, -11),
    sent: Iterable[signal.Signals] = each(
        [HUP], [TERM], [TERM], [], [HUP], [TERM], [TERM], [KILL, HUP], [HUP, TERM]
    ),
    uncaught: Iterable[signal.Signals] = each([], [HUP], [], [], [HUP], [], [], [], [HUP]),
) -> None:
    assert not end(status, sent, uncaught).is_expected
    assert str(status) in str(end(status, sent)) or "SIG" in str(end(status, sent))
