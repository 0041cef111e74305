"""The verdict on the memory of the programs of a run."""

import os
import socket

from ward import test

from ashlift.lab.system.machine_settings import MEMORY_MB
from ashlift.lab.system.memory_watch import BYTES_PER_MB, MemoryWatch
from ashlift.lab.system.process_memory import read_process_memory, resident_bytes


@test("the resident memory of a process is read, and is 0 once it has ended")
def _() -> None:
    assert resident_bytes(os.getpid()) > BYTES_PER_MB
    assert resident_bytes(2**22 + 1) == 0


@test("bytes that have arrived and are unread count, also before their connection is accepted")
def _() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        before = read_process_memory({"own": os.getpid()})["own"].unread_bytes
        with socket.create_connection(listener.getsockname()) as client:
            client.sendall(bytes(5000))
            assert read_process_memory({"own": os.getpid()})["own"].unread_bytes - before == 5000
            accepted, _address = listener.accept()
            with accepted:
                assert read_process_memory({"own": os.getpid()})["own"].unread_bytes - before == 5000
                accepted.recv(2000)
                assert read_process_memory({"own": os.getpid()})["own"].unread_bytes - before == 3000
    assert read_process_memory({"ended": 2**22 + 1})["ended"].counted_bytes == 0


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
