"""One of the three programs as a process of its own, started with the command of the deploy file."""

import os
import resource
import shlex
import signal
import subprocess
import sys
import sysconfig
import tempfile
import time
import tomllib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import IO, Any, Final

from attrs import evolve
from gevent import socket

from ashlift.config.settings import Bounds
from ashlift.lab.system.machine_layout import CONTROL_PORT, FRONT_PORT, LabMachine, lay_out_machines
from ashlift.lab.system.machine_settings import ClusterSettings
from ashlift.simulation.plan import Plan

ROOT: Final = Path(__file__).parents[2]
KINDS: Final = ("proxy", "registry", "configstore")
GRACE_SECONDS: Final = 1.5  # short, so that a proxy ends soon
FIRST_NETWORK: Final = 221  # second octet of the loopback addresses; the lab uses lower ones
NETWORK_COUNT: Final = 34
ENOUGH_SECONDS: Final = 30.0  # for anything that must happen, also on a busy machine
POLL_SECONDS: Final = 0.002


def wait_for(condition: Callable[[], bool], seconds: float = ENOUGH_SECONDS) -> bool:
    """Wait until the condition holds; returns whether it does."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(POLL_SECONDS)
    return True


def command(kind: str) -> list[str]:
    """The command of a role in the deploy file, with the interpreter of the tests."""
    role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"][kind]
    program, *arguments = shlex.split(role["run"])
    assert program == "python3"
    return [sys.executable, *arguments]


class StartedProgram:
    """The process, its settings file, disk and log in `folder`. Nothing is started before `start`."""

    def __init__(self, kind: str, folder: Path, number: int = 0) -> None:
        """`number`: of the machine among those of its kind."""
        network = FIRST_NETWORK + os.getpid() % NETWORK_COUNT
        machines = lay_out_machines(Plan(core=3, edge=3), network)
        self.kind = kind
        self.machine: LabMachine = [one for one in machines if one.is_core == (kind != "proxy")][number]
        self.settings_path = folder / f"{kind}-{number}.toml"
        self.log_path = folder / f"{kind}-{number}.log"
        self.disk = folder / "disk"
        self.disk.mkdir(exist_ok=True)
        seeds = [one.name for one in machines if one.is_core]
        settings = ClusterSettings(machines, seeds, evolve(Bounds(), grace=GRACE_SECONDS))
        self.settings_text = settings.to_toml(self.machine, str(self.disk), bootstrap=True)
        self.settings_path.write_text(self.settings_text)
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def name(self) -> str:
        """Kind and machine."""
        return f"{self.kind}@{self.machine.name}"

    @property
    def pid(self) -> int:
        """Of the running process."""
        assert self.process is not None
        return self.process.pid

    @property
    def address(self) -> tuple[str, int]:
        """What it listens on: for clients, for workers, or for other stores."""
        ports = {"proxy": FRONT_PORT, "registry": CONTROL_PORT, "configstore": self.machine.store_port}
        return self.machine.ip, ports[self.kind]

    def start(
        self,
        stderr: IO[Any] | int | None = None,
        descriptors: int | None = None,
        closed: tuple[int, ...] = (),
    ) -> "StartedProgram":
        """Start it. `stderr`: for its log; `descriptors`: its limit; `closed`: descriptors that it lacks."""

        def prepare() -> None:
            if descriptors is not None:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))
            for number in closed:
                os.close(number)

        environment = {"PATH": os.environ["PATH"], "ASHLIFT_SETTINGS": str(self.settings_path)}
        environment["PYTHONPATH"] = os.pathsep.join(
            {sysconfig.get_path("purelib"), sysconfig.get_path("platlib")}
        )
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                command(self.kind),
                env=environment,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log if stderr is None else stderr,
                stderr=log if stderr is None else stderr,
                preexec_fn=prepare,
                start_new_session=True,
            )
        return self

    @property
    def log(self) -> str:
        """What it has logged."""
        return self.log_path.read_text(errors="replace")

    def exit_status(self) -> int | None:
        """None while it runs."""
        assert self.process is not None
        return self.process.poll()

    def listens(self) -> bool:
        """Whether its address takes connections."""
        with socket.socket() as probe:
            return probe.connect_ex(self.address) == 0

    def wait_until_listening(self) -> None:
        """Wait for it; an assertion fails if it ends or takes too long."""
        assert wait_for(lambda: self.listens() or self.exit_status() is not None), self.log
        assert self.exit_status() is None, f"{self.exit_status()}: {self.log}"

    def catches(self, number: signal.Signals) -> bool:
        """Whether it has a handler for the signal, by the kernel's account."""
        assert self.process is not None
        fields = dict(
            line.split(":\t", 1)
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
            if ":\t" in line
        )
        return bool(int(fields["SigCgt"], 16) >> (number - 1) & 1)

    def has_loaded(self, library: str) -> bool:
        """Whether a file with `library` in its path is mapped into it."""
        assert self.process is not None
        return library in Path(f"/proc/{self.process.pid}/maps").read_text()

    def send(self, number: signal.Signals) -> None:
        """Send it a signal, unless it has ended."""
        assert self.process is not None
        self.process.send_signal(number)

    def wait(self, seconds: float = ENOUGH_SECONDS) -> int | None:
        """Wait for its end; returns its exit status, None if it still runs."""
        wait_for(lambda: self.exit_status() is not None, seconds)
        return self.exit_status()

    def terminate(self) -> int | None:
        """Send SIGTERM and wait; returns its exit status, None if it does not end."""
        self.send(signal.SIGTERM)
        return self.wait()


@contextmanager
def started_programs() -> Iterator[Callable[..., StartedProgram]]:
    """Yield a function that makes a StartedProgram; at the end all processes are killed."""
    programs: list[StartedProgram] = []
    with tempfile.TemporaryDirectory() as folder:

        def new_program(kind: str, number: int = 0) -> StartedProgram:
            programs.append(StartedProgram(kind, Path(folder), number))
            return programs[-1]

        try:
            yield new_program
        finally:
            for program in programs:
                if program.process is not None:
                    program.process.kill()
                    program.process.wait()
