"""Processor time of a served request, the proxy against a bare relay: `python -m benchmarks.relay --help`.

Both forward small requests (a GET with the users' headers, a response of 600 bytes) from eight kept
connections of clients to one worker over kept connections, on loopback, with the same httptools and gevent
sockets. The relay reads and writes complete messages and decides nothing. The proxy is the real server,
request handler and router: route, tenant with a quota, rate limiter, retry budget, choice of a worker,
checked response. Its updates come from its own process four times a second, in place of pulls. Processor time
is user and system time of the process in between, over the requests served. Prints a table; takes some ten
seconds; not part of CI.
"""

import argparse
import statistics
import subprocess
import sys
from typing import Final

from attrs import frozen

from benchmarks.child_process import ChildProcess
from benchmarks.relay.client import send_requests
from benchmarks.relay.measured_proxy import serve_proxy
from benchmarks.relay.servers import serve_relay, serve_worker

MODULE: Final = "benchmarks.relay"
RELAY: Final = "relay"
PROXY: Final = "proxy"
WARM_UP_REQUESTS: Final = 500  # open the connections and fill the caches
CLIENT_TIMEOUT_SECONDS: Final = 120


@frozen
class MeasuredServer:
    """A relay or proxy and the address that it serves."""

    process: ChildProcess
    address: str


@frozen
class RoundFigures:
    """What one round gave: microseconds of processor time a request, requests a second."""

    cpu_microseconds: float
    requests_per_second: float


def measure_round(server: MeasuredServer, requests: int) -> RoundFigures:
    """Send so many requests; exits the program if not all of them are served."""
    cpu_before = server.process.cpu_seconds()
    command = [sys.executable, "-m", MODULE, "client", server.address, str(requests)]
    completed = subprocess.run(
        command, capture_output=True, text=True, timeout=CLIENT_TIMEOUT_SECONDS, check=True
    )
    served, seconds = completed.stdout.split()
    if int(served) != requests:
        raise SystemExit(f"{served} of {requests} served")
    cpu_seconds = server.process.cpu_seconds() - cpu_before
    return RoundFigures(1e6 * cpu_seconds / requests, requests / float(seconds))


def measure_rounds(rounds: int, requests: int) -> dict[str, list[RoundFigures]]:
    """The figures of the relay and of the proxy, measured in turn."""
    worker = ChildProcess(MODULE, "worker")
    processes = [worker]
    try:
        worker_address = worker.read_address()
        servers = {}
        for name in (RELAY, PROXY):
            process = ChildProcess(MODULE, name, worker_address)
            processes.append(process)
            servers[name] = MeasuredServer(process, process.read_address())
            measure_round(servers[name], WARM_UP_REQUESTS)
        figures: dict[str, list[RoundFigures]] = {name: [] for name in servers}
        for _ in range(rounds):
            for name, server in servers.items():
                figures[name].append(measure_round(server, requests))
        return figures
    finally:
        for process in processes:
            process.stop()


def print_figures(figures: dict[str, list[RoundFigures]]) -> None:
    """Print least, median and most of both, and of their ratio."""
    for name, rounds in figures.items():
        cpu = [measured.cpu_microseconds for measured in rounds]
        rate = statistics.median(measured.requests_per_second for measured in rounds)
        print(
            f"{name:6} {min(cpu):6.0f} {statistics.median(cpu):6.0f} {max(cpu):6.0f} us a request, "
            f"{rate:6.0f} requests/s"
        )
    ratios = [
        proxy.cpu_microseconds / relay.cpu_microseconds
        for proxy, relay in zip(figures[PROXY], figures[RELAY], strict=True)
    ]
    print(f"proxy over relay, by round: {min(ratios):.2f} {statistics.median(ratios):.2f} {max(ratios):.2f}")


def main() -> int:
    """Measure and print; returns the exit status."""
    parser = argparse.ArgumentParser(prog=f"python -m {MODULE}", description=__doc__)
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    print_figures(measure_rounds(options.rounds, options.requests))
    return 0


if __name__ == "__main__":
    match sys.argv[1:]:
        case ["worker"]:
            serve_worker()
        case ["relay", worker_address]:
            serve_relay(worker_address)
        case ["proxy", worker_address]:
            serve_proxy(worker_address)
        case ["client", server_address, requests]:
            send_requests(server_address, int(requests))
        case _:
            sys.exit(main())
