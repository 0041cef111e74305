"""The clients and servers of the measurements, each a separate process.

    python -m benchmarks.bodies.peers node | relay TARGET
    python -m benchmarks.bodies.peers down ADDRESS BYTES RATE WINDOW [QUERY] | up ADDRESS BYTES RATE [QUERY]

Servers print their address and run until stopped; clients print their `TransferResult` as JSON.
"""

import json
import subprocess
import sys
from collections.abc import Callable
from typing import Any, Final

import attrs
from gevent.server import StreamServer

from benchmarks.bodies.bulk_client import TransferResult, download, upload
from benchmarks.bodies.byte_relay import ByteRelay
from benchmarks.bodies.node import serve_requests
from benchmarks.child_process import ChildProcess

MODULE: Final = "benchmarks.bodies.peers"
BACKLOG: Final = 1024


class ClientProcess:
    """A bulk client in a separate process."""

    def __init__(self, *arguments: object) -> None:
        command = [sys.executable, "-m", MODULE, *map(str, arguments)]
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process.poll() is None

    def result(self) -> TransferResult:
        """Wait for the process to end and return its result."""
        output, _ = self._process.communicate()
        return TransferResult(**json.loads(output.strip().splitlines()[-1]))

    def kill(self) -> None:
        """Kill the process."""
        self._process.kill()
        self._process.wait()


def start_download(
    address: str, body_bytes: int, bytes_per_second: float = 0, receive_window: int = 0, query: str = ""
) -> ClientProcess:
    """Start a client that reads a long body."""
    return ClientProcess("down", address, body_bytes, bytes_per_second, receive_window, query)


def start_upload(
    address: str, body_bytes: int, bytes_per_second: float = 0, query: str = ""
) -> ClientProcess:
    """Start a client that sends a long body."""
    return ClientProcess("up", address, body_bytes, bytes_per_second, query)


def start_node() -> ChildProcess:
    """Start an execute node."""
    return ChildProcess(MODULE, "node")


def start_relay(target: str) -> ChildProcess:
    """Start a relay in front of a target."""
    return ChildProcess(MODULE, "relay", target)


def _serve_forever(serve: Callable[[Any, Any], None]) -> None:
    server = StreamServer(("127.0.0.1", 0), serve, backlog=BACKLOG)
    server.start()
    print("{}:{}".format(*server.address), flush=True)
    server.serve_forever()


def _print_result(result: TransferResult) -> None:
    print(json.dumps(attrs.asdict(result)))


def main(arguments: list[str]) -> None:
    """Run the peer that the arguments name."""
    match arguments:
        case ["node"]:
            _serve_forever(serve_requests)
        case ["relay", target]:
            _serve_forever(ByteRelay(target).serve)
        case ["down", address, body_bytes, rate, window, *query]:
            _print_result(download(address, int(body_bytes), float(rate), int(window), *query))
        case ["up", address, body_bytes, rate, *query]:
            _print_result(upload(address, int(body_bytes), float(rate), *query))
        case _:
            sys.exit(__doc__)


if __name__ == "__main__":
    main(sys.argv[1:])
