"""The invariant that proxies hold no more of a quota than there is, over all of a simulated system."""

from collections import Counter
from collections.abc import Iterable

from ashlift.invariants import Invariant, monitor
from ashlift.rpc.quota_leases import FULL_QUOTA
from ashlift.simulation.proxy_process import ProxyProcess


def check_lease_sums(proxies: Iterable[ProxyProcess]) -> None:
    """Check the leases of all running proxies; those that are cut off or frozen count as well."""
    held: Counter[str] = Counter()
    for proxy in proxies:
        if proxy.up:
            held.update(proxy.router.rate_limiter.leases_held(proxy.clock()))
    for tenant, share in held.items():
        monitor.check(share <= FULL_QUOTA, Invariant.QUOTA_LEASES, tenant=tenant, held=share)
