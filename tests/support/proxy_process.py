"""A proxy in a process of its own, whose memory is measured: for tests with large bodies.

Run as a program, it serves the routes given as JSON until its standard input ends.
"""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import gevent
from gevent import os as gevent_os

from ashlift.rpc.addresses import Address
from tests.support.proxy_site import ProxyUnderTest

PEAK_FIELD = "VmHWM:"
PEAK_UNIT_BYTES = 1024
ENDS_IN_SECONDS = 10


class ProxyProcess:
    """A running proxy process. `memory_mb`: `MemoryMb` in its settings."""

    def __init__(self, workers: dict[str, Address], memory_mb: int) -> None:
        arguments = [json.dumps({"0": workers}), str(memory_mb)]
        self._process = subprocess.Popen(
            [sys.executable, "-m", "tests.support.proxy_process", *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert self._process.stdout is not None
        host, port = json.loads(self._process.stdout.readline())
        self.address: Address = host, port

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    def peak_bytes(self) -> int:
        """The most resident memory that the process has used so far."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith(PEAK_FIELD))
        return int(line.split()[1]) * PEAK_UNIT_BYTES

    def close(self) -> None:
        """End the process."""
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        self._process.stdin.close()
        self._process.stdout.close()
        self._process.wait(ENDS_IN_SECONDS)


def main(arguments: list[str]) -> None:
    """Serve the routes until the standard input ends."""
    routes: dict[str, Any] = json.loads(arguments[0])
    addresses = {
        name: {worker_id: (host, port) for worker_id, (host, port) in workers.items()}
        for name, workers in routes.items()
    }
    proxy = ProxyUnderTest(addresses, int(arguments[1]))
    print(json.dumps(proxy.address), flush=True)
    gevent_os.tp_read(sys.stdin.fileno(), 1)


if __name__ == "__main__":
    main(sys.argv[1:])
    gevent.get_hub().destroy()
