"""The programs of a run, each one process that we started and end by its id."""

import contextlib
import os
import signal
import sys
from pathlib import Path

from gevent import subprocess

ROOT = Path(__file__).resolve().parents[3]  # the checkout: the programs run its code
STOP_S = 2.0


class Program:
    """One of `configstore`, `registry`, `proxy` on a machine; `life` counts its starts."""

    def __init__(self, machine: str, kind: str, settings: Path, log: Path) -> None:
        self.machine, self.kind = machine, kind
        self._settings, self._log = settings, log
        self._process: subprocess.Popen[bytes] | None = None
        self.life = 0
        self.frozen = False

    @property
    def up(self) -> bool:
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int | None:
        return self._process.pid if self._process is not None and self.up else None

    def start(self) -> None:
        if self.up:
            return
        self.life += 1
        self.frozen = False
        env = {**os.environ, "ASHLIFT_SETTINGS": str(self._settings)}
        with open(self._log, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", f"ashlift.{self.kind}"],
                env=env,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                start_new_session=True,  # Ctrl-C is for us, who end them
            )

    def signal(self, number: signal.Signals) -> None:
        if self._process is not None and self.up:
            with contextlib.suppress(OSError):
                self._process.send_signal(number)

    def kill(self) -> None:
        """Returns when it is gone: until then its sockets stand."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def freeze(self, on: bool) -> None:
        self.signal(signal.SIGSTOP if on else signal.SIGCONT)
        self.frozen = on

    def told(self) -> str:
        """The end of its log."""
        with contextlib.suppress(OSError):
            return self._log.read_text(errors="replace")[-600:]
        return ""


def stop(programs: list[Program]) -> None:
    """End all, those that are frozen too."""
    for one in programs:
        one.signal(signal.SIGCONT)
        one.signal(signal.SIGTERM if one.kind != "proxy" else signal.SIGKILL)  # a proxy leaves for Grace
    for one in programs:
        if one._process is not None:
            try:
                one._process.wait(timeout=STOP_S)
            except subprocess.TimeoutExpired:
                one.kill()
