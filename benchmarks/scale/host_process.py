"""A process of simulated proxies or workers, seen from the run that starts it, commands it and ends it."""

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
    """One process of `benchmarks.scale.simulation_host`; its errors are added to a log."""

    def __init__(self, log: Path) -> None:
        with open(log, "ab") as errors:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "benchmarks.scale.simulation_host"],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=errors,
                cwd=CHECKOUT,
                # Ctrl-C is for the run alone, which ends its processes.
                start_new_session=True,
            )

    @property
    def pid(self) -> int:
        """The id of the process."""
        return int(self._process.pid)

    def execute(self, command: Command) -> None:
        """Send a command without a result and wait until it has been carried out."""
        self._request(command, Done)

    def read_figures(self) -> HostFigures:
        """The figures of all that is simulated there."""
        return self._request(ReadFigures(), HostFigures)

    def read_arrival_times(self, version: int) -> list[float]:
        """When each simulated proxy had a version of the configuration, or a later one."""
        return self._request(ReadArrivalTimes(version), ArrivalTimes).times

    def stop(self) -> None:
        """End the process: by the end of its input, by a signal if it does not end by that."""
        if self._process.stdin is not None:
            with contextlib.suppress(OSError):
                self._process.stdin.close()
        try:
            self._process.wait(timeout=STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    def _request(self, command: Command, response_type: type[Message]) -> Message:
        """Raises RuntimeError if the process has ended."""
        commands = self._process.stdin
        responses = self._process.stdout
        assert commands is not None
        assert responses is not None
        commands.write(encode_command(command))
        commands.flush()
        line = responses.readline()
        if not line:
            raise RuntimeError("a process of simulated proxies or workers has ended")
        return decode_response(line, response_type)


def total_figures(hosts: list[HostProcess]) -> HostFigures:
    """The figures of several processes together; those of workers are of the one that has them."""
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
