"""Total and declined requests by tenant, summed over the proxies that report to this registry."""

from ashlift.registry.messages import UsageReport
from ashlift.registry.record_keys import USAGE_PREFIX
from ashlift.registry.replicated_source import ReplicatedSource


class UsageCounters:
    """Cumulative totals in the local records; their changes do not end long polls."""

    def __init__(self, local_source: ReplicatedSource) -> None:
        self._local_source = local_source

    def add(self, report: UsageReport) -> None:
        """Add a proxy's report; the caller must not pass the same report twice."""
        for tenant, requests, declined in report.increments:
            if requests or declined:
                key = USAGE_PREFIX + tenant
                total_requests, total_declined = self._local_source.values.get(key, (0, 0))
                self._local_source.put(key, [total_requests + requests, total_declined + declined])
