"""Starts, controls and stops a process of simulated proxies or workers."""

import contextlib
import sys
from pathlib import Path
from typing import Final

from attrs import evolve
from gevent import subprocess

from benchmarks.scale.host_messages import (
    ArrivalTimes,
    Command,
    Done,
    HostFigures,
    Message,
    ReadArrivalTimes,
    ReadFigures,
    decode_response,
    encode_command,
)
from benchmarks.scale.recorder import CHECKOUT

STOP_TIMEOUT_SECONDS: Final = 2.0


class HostProcess:
    """One process of `benchmarks.scale.simulation_host`; its standard error is appended to a log."""

    def __init__(self, log: Path) -> None:
        with open(log, "ab") as errors:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "benchmarks.scale.simulation_host"],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=errors,
                cwd=CHECKOUT,
                # Ctrl-C must reach only the run, which stops its processes.
                start_new_session=True,
            )

    @property
    def pid(self) -> int:
        """The id of the process."""
        return int(self._process.pid)

    def execute(self, command: Command) -> None:
        """Send a command without a result and wait for its completion."""
        self._request(command, Done)

    def read_figures(self) -> HostFigures:
        """Read the figures of the simulated proxies and workers in the process."""
        return self._request(ReadFigures(), HostFigures)

    def read_arrival_times(self, version: int) -> list[float]:
        """Read when each simulated proxy received this or a later version of the configuration."""
        return self._request(ReadArrivalTimes(version), ArrivalTimes).times

    def stop(self) -> None:
        """Stop the process by closing its input, or with SIGKILL after a timeout."""
        if self._process.stdin is not None:
            with contextlib.suppress(OSError):
                self._process.stdin.close()
        try:
            self._process.wait(timeout=STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    def _request(self, command: Command, response_type: type[Message]) -> Message:
        """Send a command and read its response; raises RuntimeError if the process has ended."""
        commands = self._process.stdin
        responses = self._process.stdout
        assert commands is not None
        assert responses is not None
        commands.write(encode_command(command))
        commands.flush()
        line = responses.readline()
        if not line:
            raise RuntimeError(f"simulation host process {self.pid} has ended")
        return decode_response(line, response_type)


def total_figures(hosts: list[HostProcess]) -> HostFigures:
    """The figures of several processes as sums or maxima."""
    total = HostFigures()
    for figures in [host.read_figures() for host in hosts]:
        total = evolve(
            total,
            pulls=total.pulls + figures.pulls,
            failed_pulls=total.failed_pulls + figures.failed_pulls,
            waited_seconds=total.waited_seconds + figures.waited_seconds,
            longest_pull_seconds=max(total.longest_pull_seconds, figures.longest_pull_seconds),
            received_entries=total.received_entries + figures.received_entries,
            ready_proxies=total.ready_proxies + figures.ready_proxies,
            ready_after_seconds=sorted(total.ready_after_seconds + figures.ready_after_seconds),
            confirmation_age_seconds=max(total.confirmation_age_seconds, figures.confirmation_age_seconds),
            heartbeats=total.heartbeats + figures.heartbeats,
            failed_heartbeats=total.failed_heartbeats + figures.failed_heartbeats,
            acknowledged_workers=total.acknowledged_workers + figures.acknowledged_workers,
            last_acknowledged_at=max(total.last_acknowledged_at, figures.last_acknowledged_at),
        )
    return total
