"""CPU time per request of the proxy, compared with a plain HTTP relay: `python -m benchmarks.relay --help`.

Both forward small requests (a GET with the usual headers, a response of 600 bytes) on loopback, from eight
persistent client connections to one worker over persistent connections, with the same httptools and gevent
sockets. The relay forwards complete messages unchanged. The proxy is the production server, request handler
and router, with routes, a tenant quota, rate limiter, retry budget, load balancing and response checks. A
greenlet in its process updates it four times a second, in place of pulls from a registry. CPU time is the
user and system time of the process per request served. Prints a table; takes about ten seconds; not part of
CI.
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
WARM_UP_REQUESTS: Final = 500  # to open connections and fill caches
CLIENT_TIMEOUT_SECONDS: Final = 120


@frozen
class MeasuredServer:
    """A relay or proxy process and its listening address."""

    process: ChildProcess
    address: str


@frozen
class RoundFigures:
    """The results of one round; CPU time is per request."""

    cpu_microseconds: float
    requests_per_second: float


def measure_round(server: MeasuredServer, requests: int) -> RoundFigures:
    """Send `requests` requests; exits the program if any of them is not served."""
    cpu_before = server.process.cpu_seconds()
    command = [sys.executable, "-m", MODULE, "client", server.address, str(requests)]
    completed = subprocess.run(
        command, capture_output=True, text=True, timeout=CLIENT_TIMEOUT_SECONDS, check=True
    )
    served, seconds = completed.stdout.split()
    if int(served) != requests:
        raise SystemExit(f"only {served} of {requests} requests were served")
    cpu_seconds = server.process.cpu_seconds() - cpu_before
    return RoundFigures(1e6 * cpu_seconds / requests, requests / float(seconds))


def measure_rounds(rounds: int, requests: int) -> dict[str, list[RoundFigures]]:
    """Measure the relay and the proxy alternately."""
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
    """Print minimum, median and maximum of both, and of their ratio."""
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
    """Run the benchmark and return the exit status."""
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
