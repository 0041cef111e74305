"""Samples what processes occupy, in a process of its own, so that no load of a test delays it.

`python -m tests.support.memory_sampler NAME=PID...` samples until its standard input ends, then prints the
peaks as JSON.
"""

import json
import subprocess
import sys
import time
from select import select
from typing import NamedTuple

from ashlift.lab.system.process_memory import ProcessMemory, read_process_memory

SAMPLE_SECONDS = 0.03
ENDS_IN_SECONDS = 30


class PeakMemory(NamedTuple):
    """The peak of what counts as memory of a process, its parts at that moment, and the most descriptors."""

    resident_bytes: int = 0
    unread_bytes: int = 0
    descriptors: int = 0

    @property
    def counted_bytes(self) -> int:
        """Resident memory and unread bytes together."""
        return self.resident_bytes + self.unread_bytes

    def including(self, sample: ProcessMemory) -> "PeakMemory":
        """The peak with one more sample."""
        descriptors = max(self.descriptors, sample.descriptors)
        if sample.counted_bytes > self.counted_bytes:
            return PeakMemory(sample.resident_bytes, sample.unread_bytes, descriptors)
        return self._replace(descriptors=descriptors)


class MemorySampler:
    """Samples running processes until `stop`. `pids`: by name."""

    def __init__(self, pids: dict[str, int]) -> None:
        arguments = [f"{name}={pid}" for name, pid in pids.items()]
        self._process = subprocess.Popen(
            [sys.executable, "-m", "tests.support.memory_sampler", *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def stop(self) -> dict[str, PeakMemory]:
        """The peaks, by name of the process."""
        output, _ = self._process.communicate(timeout=ENDS_IN_SECONDS)
        return {name: PeakMemory(*values) for name, values in json.loads(output).items()}


def main(arguments: list[str]) -> None:
    """Sample until the standard input ends, and print the peaks."""
    pids = {name: int(pid) for name, _, pid in (one.partition("=") for one in arguments)}
    peaks = dict.fromkeys(pids, PeakMemory())
    is_last = False
    while not is_last:
        started_at = time.monotonic()
        is_last = bool(select([sys.stdin], [], [], 0)[0])
        for name, sample in read_process_memory(pids).items():
            peaks[name] = peaks[name].including(sample)
        time.sleep(max(0.0, SAMPLE_SECONDS - (time.monotonic() - started_at)))
    print(json.dumps(peaks), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
