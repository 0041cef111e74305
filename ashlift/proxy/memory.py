"""How a proxy divides its memory among the messages that it holds for clients and workers. No I/O.

Idle connections and small requests are covered by an allowance for each connection. Responses have a part of
their own, so that a request never waits for the memory that its own response needs.
"""

from typing import Final

from ashlift.config.settings import MachineLimits
from ashlift.memory.pool import MemoryPool
from ashlift.memory.requests import RequestPools
from ashlift.rpc.connection_limit import CONNECTION_BYTES, MIN_CONNECTIONS, affordable_connections

BYTES_PER_MB: Final = 1_000_000
PROGRAM_BYTES: Final = 40 * BYTES_PER_MB  # code and the cluster's state
OTHER_CONNECTIONS: Final = 100  # to registries, of the platform and of monitoring
MIN_AVAILABLE_BYTES: Final = 24 * BYTES_PER_MB  # on machines smaller than any of ours
LARGE_REQUESTS_FRACTION: Final = 0.68  # of what is left: at 200 MB more than a body of 64 MiB
MEDIUM_REQUESTS_FRACTION: Final = 0.14
RESPONSES_FRACTION: Final = 0.18
WORKER_CONNECTIONS_FRACTION: Final = 0.25  # of all connections


class ProxyMemory:
    """The memory pools of one proxy process, and how many connections it can afford.

    `max_client_connections`: accepted ones; `max_worker_connections`: those to all workers together.
    """

    def __init__(self, limits: MachineLimits) -> None:
        memory_bytes = limits.memory_mb * BYTES_PER_MB
        connections = affordable_connections(limits.file_descriptors, limits.memory_mb)
        self.max_worker_connections = int(WORKER_CONNECTIONS_FRACTION * connections)
        self.max_client_connections = max(
            MIN_CONNECTIONS, connections - self.max_worker_connections - OTHER_CONNECTIONS
        )
        available_bytes = max(
            MIN_AVAILABLE_BYTES, memory_bytes - PROGRAM_BYTES - connections * CONNECTION_BYTES
        )
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
