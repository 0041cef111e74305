"""How a registry divides its memory among the requests and responses that it holds. No I/O.

The values parsed from a JSON body take many times its size, until the response is ready.
"""

from typing import Final

from gevent.lock import Semaphore

from ashlift.config.settings import MachineLimits
from ashlift.memory.pool import MemoryPool
from ashlift.memory.requests import RequestPools
from ashlift.rpc.connection_limit import (
    CONNECTION_BYTES,
    MIN_CONNECTIONS,
    ConnectionLimit,
    affordable_connections,
)

BYTES_PER_MB: Final = 1_000_000
PROGRAM_BYTES: Final = 40 * BYTES_PER_MB  # code and the cluster's state
RPC_CONNECTIONS_FRACTION: Final = 0.25  # of all connections: accepted from proxies and registries
PARSED_BYTES_PER_BYTE: Final = 20  # of JSON, at most
MEDIUM_FRACTION: Final = 0.3  # of the memory beside the program
LARGE_FRACTION: Final = 0.1  # for bodies that wait while one of them is being processed
MIN_MEDIUM_BYTES: Final = 2 << 20  # a request of any allowed size fits
MIN_LARGE_BYTES: Final = 10 << 20
RESPONSES_FRACTION: Final = 0.2  # for responses that are being sent
MIN_COUNTED_RESPONSE_BYTES: Final = 16 << 10
MAX_CONCURRENT_LARGE_REQUESTS: Final = 1


class ApiMemory:
    """The memory for requests. `large_request_slot`: held while a large one is parsed and processed.

    `max_api_connections`: of all listeners of the API together; `max_rpc_connections`: accepted.
    """

    def __init__(self, limits: MachineLimits) -> None:
        connections = affordable_connections(limits.file_descriptors, limits.memory_mb)
        self.max_rpc_connections = int(RPC_CONNECTIONS_FRACTION * connections)
        self.max_api_connections = max(MIN_CONNECTIONS, connections - 2 * self.max_rpc_connections)
        reserved_bytes = PROGRAM_BYTES + connections * CONNECTION_BYTES
        available_bytes = max(0.0, limits.memory_mb * BYTES_PER_MB - reserved_bytes)
        self.pools = RequestPools(
            medium=MemoryPool(
                max(MIN_MEDIUM_BYTES, int(MEDIUM_FRACTION * available_bytes / PARSED_BYTES_PER_BYTE))
            ),
            large=MemoryPool(max(MIN_LARGE_BYTES, int(LARGE_FRACTION * available_bytes))),
        )
        self.responses = MemoryPool(int(RESPONSES_FRACTION * available_bytes))
        self.connection_limit = ConnectionLimit(self.max_api_connections)
        self.large_request_slot = Semaphore(MAX_CONCURRENT_LARGE_REQUESTS)
