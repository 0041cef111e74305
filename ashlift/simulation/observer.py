"""Interface for observing a simulated run."""

from typing import Any

from ashlift.simulation.process import Process


class Observer:
    """Receives calls between processes and durable writes. The methods of this class do nothing.

    Methods of subclasses must not use the loop's random source or modify their arguments.
    """

    def called(self, caller: Process, to: str, kind: str, method: str, body: Any) -> None:
        """A process calls the program `kind` on the machine `to`."""

    def responded(self, caller: Process, target: Process, method: str, body: Any) -> None:
        """The called process sends its response."""

    def received(self, caller: Process, target: Process, method: str) -> None:
        """The response has reached the caller."""

    def stored(self, process: Process) -> None:
        """The content of the disk of the process's machine may have changed."""

    def attempt_sent(self, proxy: Process, worker: str, request: int, reused: bool) -> None:
        """A proxy sends a client's request to a worker, on a `reused` connection or on a new one."""

    def worker_responded(self, worker: Process, proxy: Process, request: int, status: int) -> None:
        """A worker responds to an attempt; `status` 0: it closes the connection instead."""
