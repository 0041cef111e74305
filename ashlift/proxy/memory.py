"""How a proxy divides its memory among the messages that it holds for clients and workers. No I/O.

Idle connections and small requests are covered by an allowance for each connection. Responses have a part of
their own, so that a request never waits for the memory that its own response needs.
"""

from typing import Final

from ashlift.config.settings import MachineLimits
from ashlift.memory.pool import MemoryPool
from ashlift.memory.requests import RequestPools

BYTES_PER_MB: Final = 1_000_000
PROGRAM_BYTES: Final = 32 * BYTES_PER_MB  # code and the cluster's state
CONNECTION_BYTES: Final = 14_000  # an idle connection, and the first bytes of a request
MAX_CONNECTIONS_FRACTION: Final = 0.3
MIN_AVAILABLE_BYTES: Final = 24 * BYTES_PER_MB  # on machines smaller than any of ours
LARGE_REQUESTS_FRACTION: Final = 0.65  # of what is left: at 200 MB more than a body of 64 MiB
MEDIUM_REQUESTS_FRACTION: Final = 0.15
RESPONSES_FRACTION: Final = 0.2


class ProxyMemory:
    """The memory pools of one proxy process."""

    def __init__(self, limits: MachineLimits) -> None:
        memory_bytes = limits.memory_mb * BYTES_PER_MB
        connection_bytes = min(
            limits.file_descriptors * CONNECTION_BYTES, MAX_CONNECTIONS_FRACTION * memory_bytes
        )
        available_bytes = max(MIN_AVAILABLE_BYTES, memory_bytes - PROGRAM_BYTES - connection_bytes)
        self.requests = RequestPools(
            medium=MemoryPool(int(MEDIUM_REQUESTS_FRACTION * available_bytes)),
            large=MemoryPool(int(LARGE_REQUESTS_FRACTION * available_bytes)),
        )
        self.responses = MemoryPool(int(RESPONSES_FRACTION * available_bytes))

    @property
    def pools(self) -> dict[str, MemoryPool]:
        """The pools by their names in metrics."""
        return {
            "large_requests": self.requests.large,
            "medium_requests": self.requests.medium,
            "responses": self.responses,
        }
