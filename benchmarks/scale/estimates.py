"""Estimates the control plane cost of each process at a size from the recorded figures of that size."""

from typing import Final

from benchmarks.scale import figure_names
from benchmarks.scale.recorded_figures import RecordedFigures
from benchmarks.scale.sizes import CORE_MACHINES
from benchmarks.scale.tenant_distribution import expected_distinct_tenants

PULLS_PER_SECOND: Final = 3.4  # of one proxy, without late pulls
HEARTBEAT_SECONDS: Final = 1.5
CLIENTS_PER_PROXY: Final = 12  # as on the large test sites
LOOKUPS_PER_CLIENT_SECOND: Final = 1.0  # the `Ttl` of a lookup is 1 s
CONNECTIONS_PER_WORKER_AND_PROXY: Final = 2.0
FILES_PER_PULLING_PROXY: Final = 2


class CostEstimator:
    """Costs at a size (a number of proxies, everything else in proportion).

    CPU costs are in cores: seconds of CPU time per second.
    """

    def __init__(self, figures: RecordedFigures) -> None:
        self.figures = figures

    def usage_entries_per_pull(self, size: int) -> float:
        """Usage totals in one response: the distinct tenants at each registry since the last pull."""
        cluster = self.figures.cluster_size(size)
        requests_per_registry = cluster.request_rate / PULLS_PER_SECOND / CORE_MACHINES
        return CORE_MACHINES * expected_distinct_tenants(cluster.tenants, requests_per_registry)

    def proxy_cpu_cores(self, size: int) -> float:
        """CPU of one proxy for its pulls."""
        by_entries = self.figures.line_by_entries(figure_names.PULL_WITH_SUMS_MS, size)
        idle_pull_ms = self.figures.median(figure_names.IDLE_PULL_MS, size)
        pull_ms = max(idle_pull_ms, by_entries.value_at(self.usage_entries_per_pull(size)))
        return PULLS_PER_SECOND * pull_ms / 1000

    def proxy_memory_mb(self, size: int) -> float:
        """Memory of one proxy for its cluster view."""
        names = [name for name in self.figures.names() if name.startswith(figure_names.PROXY_MEMORY_PREFIX)]
        return sum(self.figures.median(name, size) for name in names)

    def proxy_bytes_per_second(self, size: int) -> float:
        """Bytes per second of one proxy's pulls, in both directions."""
        request_bytes = self.figures.median(figure_names.PULL_IN_BYTES, size)
        by_entries = self.figures.line_by_entries(figure_names.ANSWER_WITH_SUMS_BYTES, size)
        return PULLS_PER_SECOND * (request_bytes + by_entries.value_at(self.usage_entries_per_pull(size)))

    def registry_cpu_cores(self, size: int) -> float:
        """CPU of one registry for pulls and heartbeats."""
        cluster = self.figures.cluster_size(size)
        pulls_per_second = PULLS_PER_SECOND * cluster.proxies / CORE_MACHINES
        receiving = self.figures.line_by_entries(figure_names.TAKING_A_PULL_MS, size)
        answering = self.figures.line_by_entries(figure_names.ANSWER_WITH_SUMS_MS, size)
        counts_per_pull = cluster.request_rate / cluster.proxies / PULLS_PER_SECOND
        pull_ms = receiving.value_at(counts_per_pull) + answering.value_at(self.usage_entries_per_pull(size))
        return pulls_per_second * pull_ms / 1000 + self.heartbeats_cpu_cores(size)

    def heartbeats_cpu_cores(self, size: int) -> float:
        """CPU of one registry for heartbeats."""
        workers_per_registry = self.figures.cluster_size(size).workers / CORE_MACHINES
        heartbeats_per_second = workers_per_registry / HEARTBEAT_SECONDS
        return heartbeats_per_second * self.figures.median(figure_names.HEARTBEAT_MS, size) / 1000

    def lookups_cpu_cores(self, size: int) -> float:
        """CPU of one registry for clients' lookups, each of which collects the core machines."""
        lookups_per_second = CLIENTS_PER_PROXY * size / CORE_MACHINES * LOOKUPS_PER_CLIENT_SECOND
        return lookups_per_second * self.figures.median(figure_names.CORE_MEMBERS_MS, size) / 1000

    def first_responses_seconds(self, size: int) -> float:
        """Time until one registry has sent a full response to all its proxies, if they start at once."""
        return size / CORE_MACHINES * self.figures.median(figure_names.FIRST_ANSWER_MS, size) / 1000

    def worker_connections(self, size: int) -> float:
        """Connections from proxies to one worker."""
        return CONNECTIONS_PER_WORKER_AND_PROXY * size

    def core_machine_files(self, size: int) -> float:
        """Open files of one core machine: connections of its proxies and its workers."""
        workers_per_registry = self.figures.cluster_size(size).workers / CORE_MACHINES
        return size / CORE_MACHINES * FILES_PER_PULLING_PROXY + workers_per_registry
