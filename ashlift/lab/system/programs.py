"""The programs of a run, each a process that the lab starts, signals and ends by its process id."""

import contextlib
import os
import signal
import sys
import sysconfig
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

import gevent
from gevent import socket, subprocess

from ashlift.invariants import FATAL_INVARIANTS_VARIABLE
from ashlift.lab.system.process_ends import ProcessEnd, is_interpreter_starting
from ashlift.metrics_server import METRICS_OPTION

CHECKOUT: Final = Path(__file__).resolve().parents[3]  # the programs run from this checkout
STOP_TIMEOUT_SECONDS: Final = 2.0
LISTEN_PROBE_SECONDS: Final = 1.0
LISTEN_POLL_SECONDS: Final = 0.05
LOG_TAIL_CHARACTERS: Final = 600
METRICS_PORTS: Final = {"proxy": 9101, "registry": 9102}  # by kind of program, the same on each machine


class Program:
    """A `configstore`, `registry` or `proxy` on a machine; `incarnation` counts its starts."""

    def __init__(self, machine: str, kind: str, settings: Path, log: Path) -> None:
        self.machine = machine
        self.kind = kind
        self.incarnation = 0
        self.is_frozen = False
        self.ends: list[ProcessEnd] = []
        self.on_end: Callable[[ProcessEnd], None] | None = None
        self._signals: set[signal.Signals] = set()  # sent to its present process
        self._uncaught_signals: set[signal.Signals] = set()
        self._settings = settings
        self._log = log
        self._process: subprocess.Popen[bytes] | None = None
        self._is_starting = False
        self._is_shut_down = False  # the run has ended: no more starts

    @property
    def is_running(self) -> bool:
        """Whether its process exists; true also while it is frozen."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int | None:
        """The id of its process while it runs."""
        return self._process.pid if self._process is not None and self.is_running else None

    def start(self) -> None:
        """Start a process unless one is running; its output is appended to the log."""
        if self.is_running or self._is_starting or self._is_shut_down:
            return  # starting yields, so another greenlet may call this meanwhile
        self._is_starting = True
        try:
            self._start_process()
        finally:
            self._is_starting = False
            if self._is_shut_down:
                self.kill()

    def _start_process(self) -> None:
        self.incarnation += 1
        self.is_frozen = False
        self._signals = set()
        self._uncaught_signals = set()
        environment = {**os.environ, "ASHLIFT_SETTINGS": str(self._settings), FATAL_INVARIANTS_VARIABLE: "1"}
        environment["PYTHONPATH"] = sysconfig.get_path("platlib")  # as `-S` leaves it out
        port = METRICS_PORTS.get(self.kind)
        options = [] if port is None else [METRICS_OPTION, str(port)]
        with open(self._log, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-S", "-m", f"ashlift.{self.kind}", *options],
                env=environment,
                stdout=log,
                stderr=log,
                cwd=CHECKOUT,
                stdin=subprocess.DEVNULL,
                # Ctrl-C must reach only the lab, which then ends the programs.
                start_new_session=True,
            )
        gevent.spawn(self._record_end, self._process, self.incarnation, self._signals, self._uncaught_signals)

    def _record_end(
        self,
        process: "subprocess.Popen[bytes]",
        incarnation: int,
        signals: set[signal.Signals],
        uncaught_signals: set[signal.Signals],
    ) -> None:
        status = process.wait()
        end = ProcessEnd(incarnation, status, frozenset(signals), frozenset(uncaught_signals))
        self.ends.append(end)
        if self.on_end is not None:
            self.on_end(end)

    def wait_until_listening(self, address: tuple[str, int], deadline: float) -> None:
        """Return when the program listens at `address`.

        Raises RuntimeError with the end of its log if it has exited or does not listen by `deadline` (on the
        monotonic clock).
        """
        while True:
            try:
                socket.create_connection(address, timeout=LISTEN_PROBE_SECONDS).close()
            except OSError:
                if not self.is_running or time.monotonic() > deadline:
                    name = f"{self.kind}@{self.machine}"
                    raise RuntimeError(f"{name} does not listen: {self.log_tail()}") from None
                gevent.sleep(LISTEN_POLL_SECONDS)
            else:
                return

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if its process is running."""
        if self._process is not None and self.is_running:
            if is_interpreter_starting(self._process.pid, number):
                self._uncaught_signals.add(number)
            self._signals.add(number)
            with contextlib.suppress(OSError):
                self._process.send_signal(number)

    def kill(self) -> None:
        """Kill its process and wait for the exit, after which its sockets are closed."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def freeze(self) -> None:
        """Suspend its process (SIGSTOP)."""
        self.signal(signal.SIGSTOP)
        self.is_frozen = True

    def unfreeze(self) -> None:
        """Resume its process (SIGCONT)."""
        self.signal(signal.SIGCONT)
        self.is_frozen = False

    def terminate(self) -> None:
        """Signal its process to exit, even if frozen, and prevent pending restarts."""
        self._is_shut_down = True
        self.signal(signal.SIGCONT)
        # On SIGTERM a proxy drains for up to the time in `Bounds`, too long for the end of a run.
        self.signal(signal.SIGKILL if self.kind == "proxy" else signal.SIGTERM)

    def wait_or_kill(self) -> None:
        """Wait up to STOP_TIMEOUT_SECONDS for its process to exit, then kill it."""
        if self._process is None:
            return
        try:
            self._process.wait(timeout=STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()

    def log_tail(self) -> str:
        """Return the last LOG_TAIL_CHARACTERS of its log."""
        with contextlib.suppress(OSError):
            return self._log.read_text(errors="replace")[-LOG_TAIL_CHARACTERS:]
        return ""


def stop_programs(programs: list[Program]) -> None:
    """Stop all programs and wait until their processes have exited."""
    for program in programs:
        program.terminate()
    for program in programs:
        program.wait_or_kill()
