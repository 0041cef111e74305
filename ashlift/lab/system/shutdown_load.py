"""Puts load on a proxy while it shuts down, and suspends it at the most difficult moment."""

import signal
from collections.abc import Iterable
from typing import Final

from ashlift.lab.system.http_clients import HttpClients
from ashlift.lab.system.programs import Program
from ashlift.proxy.shutdown import accept_seconds
from ashlift.simulation.event_loop import EventLoop

STALL_PROBABILITY: Final = 0.5  # for each proxy that is terminated
STALL_SECONDS: Final = 0.1


def load_during_shutdown(
    loop: EventLoop, proxy: Program, clients: Iterable[HttpClients], grace_seconds: float
) -> None:
    """Have clients send requests to a proxy that has been told to end, until it is gone.

    With STALL_PROBABILITY the proxy is suspended around the moment at which it stops accepting, as on a busy
    machine: when resumed it finds the deadline passed and new connections in its backlog.
    """
    accepting = accept_seconds(grace_seconds)
    for population in clients:
        population.send_during_shutdown(proxy.machine, accepting, grace_seconds)
    if loop.rng.random() < STALL_PROBABILITY:
        loop.call_later(accepting - STALL_SECONDS / 2, _stall, loop, proxy, proxy.incarnation)


def _stall(loop: EventLoop, program: Program, incarnation: int) -> None:
    """Suspend a program for STALL_SECONDS. Not recorded as a fault: a busy machine does the same."""
    if program.incarnation == incarnation and program.is_running and not program.is_frozen:
        program.signal(signal.SIGSTOP)
        loop.call_later(STALL_SECONDS, _end_stall, program, incarnation)


def _end_stall(program: Program, incarnation: int) -> None:
    if program.incarnation == incarnation and not program.is_frozen:
        program.signal(signal.SIGCONT)
