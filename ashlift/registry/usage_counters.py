"""Requests and how many of them were declined, by tenant, summed over the proxies that report here. Pure."""

from ashlift.registry.codec import USAGE_PREFIX
from ashlift.registry.messages import UsageReport
from ashlift.registry.replicated_source import ReplicatedSource


class UsageCounters:
    """Cumulative totals in this registry's own records; their changes wake no waiting call."""

    def __init__(self, local_source: ReplicatedSource) -> None:
        self._local_source = local_source

    def add(self, report: UsageReport) -> None:
        """Count a proxy's report; the caller makes sure that each is counted once."""
        for tenant, requests, declined in report.increments:
            if requests or declined:
                key = USAGE_PREFIX + tenant
                total_requests, total_declined = self._local_source.values.get(key, (0, 0))
                self._local_source.put(key, [total_requests + requests, total_declined + declined])
