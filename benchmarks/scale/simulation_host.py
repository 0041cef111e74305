"""A process of simulated proxies or workers: `python -m benchmarks.scale.simulation_host < commands`.

Started by `benchmarks.scale.host_process`; reads commands from standard input and writes responses to
standard output (`benchmarks.scale.host_messages`).
"""

import sys

from gevent.fileobject import FileObject

from benchmarks.scale.host_messages import (
    ArrivalTimes,
    Command,
    Done,
    HostFigures,
    ReadArrivalTimes,
    ReadFigures,
    Response,
    SetRequestRate,
    SetRestartRate,
    StartProxies,
    StartWorkers,
    decode_command,
    encode_response,
)
from benchmarks.scale.simulated_proxies import SharedUnpacker, SimulatedProxies
from benchmarks.scale.simulated_workers import SimulatedWorkers


class SimulationHost:
    """The simulated proxies and workers of this process."""

    def __init__(self) -> None:
        self._proxies = SimulatedProxies()
        self._workers = SimulatedWorkers()

    def execute(self, command: Command) -> Response:
        """Execute a command."""
        match command:
            case ReadFigures():
                return self._workers.add_figures(self._proxies.add_figures(HostFigures()))
            case ReadArrivalTimes(version):
                return ArrivalTimes(self._proxies.arrival_times(version))
            case StartProxies():
                self._proxies.start(command)
            case StartWorkers():
                self._workers.start(command)
            case SetRequestRate(requests_per_second):
                self._proxies.set_request_rate(requests_per_second)
            case SetRestartRate(restarts_per_second):
                self._workers.set_restart_rate(restarts_per_second)
        return Done()


def main() -> None:
    """Execute commands until the end of standard input."""
    SharedUnpacker().install()
    host = SimulationHost()
    for line in FileObject(sys.stdin.fileno(), "rb"):
        print(encode_response(host.execute(decode_command(line))), flush=True)


if __name__ == "__main__":
    main()
