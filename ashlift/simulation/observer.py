"""What may be told of a simulated run while it goes on."""

from typing import Any

from ashlift.simulation.process import Process


class Observer:
    """Told of what happens between processes, and of what becomes durable.

    The methods of this class do nothing. Those of a subclass must not draw from the loop's random source, nor
    change anything that they are shown.
    """

    def called(self, caller: Process, to: str, kind: str, method: str, body: Any) -> None:
        """A process calls the program `kind` on the machine `to`."""

    def answered(self, caller: Process, target: Process, method: str, body: Any) -> None:
        """The called process gives its answer."""

    def received(self, caller: Process, target: Process, method: str) -> None:
        """The answer has come to the caller."""

    def stored(self, process: Process) -> None:
        """The disk of the process's machine holds something else now."""

    def attempted(self, proxy: Process, worker: str, request: int, reused: bool) -> None:
        """A proxy sends a client's request to a worker, on a connection that it `reused` or on a new one."""

    def replied(self, worker: Process, proxy: Process, request: int, status: int) -> None:
        """A worker answers an attempt; `status` 0: it breaks the connection instead."""
