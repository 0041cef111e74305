"""The verdict on the memory of the programs of a run."""

import os

from ward import test

from ashlift.lab.system.machine_settings import MEMORY_MB
from ashlift.lab.system.memory_watch import BYTES_PER_MB, MemoryWatch, resident_bytes


@test("the resident memory of a process is read, and is 0 once it has ended")
def _() -> None:
    assert resident_bytes(os.getpid()) > BYTES_PER_MB
    assert resident_bytes(2**22 + 1) == 0


@test("a program over its memory fails the verdict, and is named")
def _() -> None:
    watch = MemoryWatch(dict)
    watch.peaks = {"proxy@edge-1": (MEMORY_MB + 1) * BYTES_PER_MB, "proxy@edge-2": 30 * BYTES_PER_MB}
    verdict = watch.verdict()
    assert not verdict.ok
    assert f"proxy@edge-1: {MEMORY_MB + 1} MB" in verdict.text
    assert "edge-2" not in verdict.text
    watch.peaks["proxy@edge-1"] = MEMORY_MB * BYTES_PER_MB
    assert watch.verdict().ok
    watch.stop()
