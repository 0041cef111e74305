"""Counts completely received requests by how they ended. No I/O.

Every request that ends without a response has a reason here, which is counted and logged (event 404).
"""

from collections import Counter
from enum import StrEnum


class RequestEnd(StrEnum):
    """How a completely received request ended. The values are used in metrics and log lines."""

    ANSWERED = "answered"  # a complete response was handed to the kernel
    CLIENT_GONE = "client_gone"  # the client closed the connection or its sending side before the response
    WORKER_BROKE_OFF = "cut_by_worker"  # the worker broke off a response that was already being relayed
    WRITE_FAILED = "write_failed"  # the client closed the connection or stopped reading during the response
    DUPLICATE_ID = "repeated"  # it has the id of the preceding request on the connection
    PIPELINED = "pipelined"  # it was pipelined after the last request served on the connection
    CLOSED_BY_PROXY = "closed_here"  # the proxy itself closed the connection, which is a bug


class RequestCounters:
    """Counts completely received requests, and how they ended."""

    def __init__(self) -> None:
        self.received = 0
        self.ends: Counter[str] = Counter({end.value: 0 for end in RequestEnd})

    def record_received(self) -> None:
        """Count a completely received request."""
        self.received += 1

    def record_end(self, end: RequestEnd) -> None:
        """Count the end of a request."""
        self.ends[end.value] += 1

    @property
    def open_requests(self) -> int:
        """The number of requests that have not ended."""
        return self.received - self.ends.total()
