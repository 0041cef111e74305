"""The distribution of requests over tenants.

The assumed distribution is Zipf's: the tenant of rank `r` sends a share of the requests proportional to
`1 / r`.
"""

import math
import random
from typing import Final

RANKS_PER_STEP: Final = 50  # ranks from `r` to `r + r / 50` are treated as equally frequent


def tenant_name(rank: int) -> str:
    """The name of the tenant with this rank, from 1."""
    return f"t{rank:06d}"


def draw_tenant_rank(tenants: int, rng: random.Random) -> int:
    """Draw the rank of the tenant that sends a request, from 1."""
    return min(tenants, int((tenants + 1) ** rng.random()))


def count_requests_by_tenant(tenants: int, requests: int, rng: random.Random) -> dict[str, tuple[int, int]]:
    """Draw the tenants of `requests` requests; admitted and rejected counts by tenant, none rejected."""
    counts: dict[str, tuple[int, int]] = {}
    for _ in range(requests):
        name = tenant_name(draw_tenant_rank(tenants, rng))
        admitted, _rejected = counts.get(name, (0, 0))
        counts[name] = (admitted + 1, 0)
    return counts


def expected_distinct_tenants(tenants: int, requests: float) -> float:
    """The expected number of distinct tenants among `requests` requests."""
    total_weight = math.log(tenants + 1)
    expected = 0.0
    low = 1
    while low <= tenants:
        high = min(tenants + 1, low + max(1, low // RANKS_PER_STEP))
        probability = math.log(high / low) / total_weight / (high - low)
        expected += (high - low) * -math.expm1(-requests * probability)
        low = high
    return expected
