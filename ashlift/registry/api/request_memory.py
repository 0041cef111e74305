"""How a registry divides its memory among the requests and responses that it holds. No I/O.

The values parsed from a JSON body take many times its size, until the response is ready.
"""

from typing import Final

from gevent.lock import Semaphore

from ashlift.config.settings import MachineLimits
from ashlift.memory.pool import MemoryPool
from ashlift.memory.requests import RequestPools

BYTES_PER_MB: Final = 1_000_000
PROGRAM_BYTES: Final = 40 * BYTES_PER_MB  # code and the cluster's state
PARSED_BYTES_PER_BYTE: Final = 20  # of JSON, at most
MEDIUM_FRACTION: Final = 0.3  # of the memory beside the program
LARGE_FRACTION: Final = 0.1  # for bodies that wait while one of them is being processed
MIN_MEDIUM_BYTES: Final = 2 << 20  # a request of any allowed size fits
MIN_LARGE_BYTES: Final = 10 << 20
RESPONSES_FRACTION: Final = 0.2  # for responses that are being sent
MIN_COUNTED_RESPONSE_BYTES: Final = 16 << 10
MAX_CONCURRENT_LARGE_REQUESTS: Final = 1


class ApiMemory:
    """The memory for requests. `large_request_slot`: held while a large one is parsed and processed."""

    def __init__(self, limits: MachineLimits) -> None:
        available_bytes = max(0.0, limits.memory_mb * BYTES_PER_MB - PROGRAM_BYTES)
        self.pools = RequestPools(
            medium=MemoryPool(
                max(MIN_MEDIUM_BYTES, int(MEDIUM_FRACTION * available_bytes / PARSED_BYTES_PER_BYTE))
            ),
            large=MemoryPool(max(MIN_LARGE_BYTES, int(LARGE_FRACTION * available_bytes))),
        )
        self.responses = MemoryPool(int(RESPONSES_FRACTION * available_bytes))
        self.large_request_slot = Semaphore(MAX_CONCURRENT_LARGE_REQUESTS)
