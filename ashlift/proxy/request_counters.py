"""What became of each request that was read whole from a client. Pure.

A client whose request was read waits for an answer; each way to end without one has a reason here, a figure
and a log line (404).
"""

from collections import Counter
from enum import StrEnum


class RequestEnd(StrEnum):
    """How a request that was read whole ended. The values stand in metrics and log lines."""

    ANSWERED = "answered"  # a complete response was handed to the kernel
    CLIENT_GONE = "client_gone"  # the client closed the connection, or its side of it, before the answer
    WRITE_FAILED = "write_failed"  # the client closed the connection, or took no bytes, during the answer
    DUPLICATE_ID = "repeated"  # it bears the id of the request before it on the connection
    PIPELINED = "pipelined"  # it was sent behind a request that ended the connection
    CLOSED_BY_PROXY = "closed_here"  # this process had closed the connection: a bug


class RequestCounters:
    """Counts the requests that were read whole, and their ends."""

    def __init__(self) -> None:
        self.received = 0
        self.ends: Counter[str] = Counter({end.value: 0 for end in RequestEnd})

    def record_received(self) -> None:
        """A request has been read whole."""
        self.received += 1

    def record_end(self, end: RequestEnd) -> None:
        """It has ended."""
        self.ends[end.value] += 1

    @property
    def open_requests(self) -> int:
        """Requests that have not ended."""
        return self.received - self.ends.total()
