"""A gatekeeper process of a lab run, started, signalled and ended by its process id."""

import contextlib
import json
import os
import re
import signal
import sys
import time
from pathlib import Path
from typing import Any, Final

import gevent
from gevent import socket, subprocess

from ashlift.lab.git_commit import CHECKOUT

START_TIMEOUT_SECONDS: Final = 20.0  # until it logs its listening address
STOP_TIMEOUT_SECONDS: Final = 3.0
LISTEN_POLL_SECONDS: Final = 0.05
MAX_SOCKETS: Final = 256

Address = tuple[str, int]


class LabError(RuntimeError):
    """A run that failed to start; the text names the process."""


class GatekeeperProcess:
    """Owns the process, its configuration file and its log; `address`: where it listens."""

    def __init__(self, name: str, directory: Path) -> None:
        self.name = name
        self.address: Address = ("127.0.0.1", 0)
        self._directory = directory
        self._config_path = directory / f"{name}.json"
        self._log_path = directory / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """Whether its process is running."""
        return self._process is not None and self._process.poll() is None

    def configure(self, seed: int, machine_list: Address, counter: Address, settings: dict[str, Any]) -> None:
        """Write its configuration file, with a free port."""
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{_free_port()}",
            "discovery": "{}:{}".format(*machine_list),
            "counter": "{}:{}".format(*counter),
            "seed": str(seed),
            "limits": {"sockets": MAX_SOCKETS},
            "settings": settings,
        }
        self._config_path.write_text(json.dumps(config))

    def start(self) -> None:
        """Start a process; its output is appended to the log."""
        environment = {**os.environ, "GW_CONFIG": str(self._config_path), "TMPDIR": str(self._directory)}
        with open(self._log_path, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "ashlift.gatekeeper"],
                env=environment,
                stdout=log,
                stderr=log,
                cwd=CHECKOUT,
            )

    def listen_count(self) -> int:
        """Return how many times its log reports that it listens."""
        return self._log_path.read_text(errors="replace").count(" listens on ")

    def wait_until_listening(self, previous_count: int = 0) -> None:
        """Wait until its log has reported a listening address more than `previous_count` times.

        Raises LabError if it exits first, or after START_TIMEOUT_SECONDS.
        """
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            log = self._log_path.read_text(errors="replace")
            addresses = re.findall(rf"{self.name} listens on ([\d.]+):(\d+)", log)
            if len(addresses) > previous_count:
                host, port = addresses[-1]
                self.address = host, int(port)
                return
            if self._process is not None and not self.is_running:
                status = self._process.returncode
                raise LabError(f"{self.name}: ended with {status}; see {self._log_path}")
            gevent.sleep(LISTEN_POLL_SECONDS)
        raise LabError(
            f"{self.name}: did not listen within {START_TIMEOUT_SECONDS:g} s; see {self._log_path}"
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if its process is running."""
        if self._process is not None:
            with contextlib.suppress(OSError):
                self._process.send_signal(number)

    def kill(self) -> None:
        """Kill its process and wait for the exit, until which the kernel still accepts connections."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def terminate(self) -> None:
        """Send SIGTERM to its process, resuming it first if it is paused."""
        if self.is_running:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGTERM)

    def wait_or_kill(self) -> None:
        """Wait up to STOP_TIMEOUT_SECONDS for its process to exit, then kill it."""
        if self._process is None:
            return
        try:
            self._process.wait(timeout=STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()


def _free_port() -> int:
    """Return a free port for the gatekeeper, which does not support listening on port 0."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])
