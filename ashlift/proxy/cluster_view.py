"""The cluster state as known to this proxy, merged from all sources. No I/O.

A source holds what was reported to one registry; a worker or proxy may be in several sources. The records of
one source are in `ashlift.proxy.source_state`, the operator's configuration in
`ashlift.proxy.configuration_state`. `ashlift.proxy.retention` keeps workers and proxies that are missing only
because registries have restarted, `ashlift.proxy.departures` the departures of workers, whichever registries
end.
"""

import math
from collections import Counter
from dataclasses import replace
from typing import Final

from ashlift.proxy.configuration_state import ConfigurationState
from ashlift.proxy.departures import KnownDepartures
from ashlift.proxy.pull_messages import PullResponse, SourceUpdate
from ashlift.proxy.retention import Retention
from ashlift.proxy.source_state import ClusterChange, SourceState, Worker
from ashlift.rpc.quota_leases import LeaseTable
from ashlift.rpc.sources import OPERATOR_SOURCE
from ashlift.traffic.outlier_detection import FailureTotals
from ashlift.traffic.unreported_usage import RecentUsage, SourceCoverage

SOURCE_TIMEOUT_SECONDS: Final = 5.0  # a source not listed by any registry for this time is dropped
SOURCE_FRESHNESS_SECONDS: Final = 1.5  # load and failures of sources not listed for longer are ignored
PROXY_LEASE_SECONDS: Final = 3.0  # covers a proxy's session plus the switch to another registry
DEFAULT_WORKER_LEASE_SECONDS: Final = 4.5


class ClusterView:
    """Workers, proxies, load and configuration. Only `apply` changes it. Times are monotonic, in seconds."""

    def __init__(self, worker_lease: float = DEFAULT_WORKER_LEASE_SECONDS) -> None:
        self.configuration = ConfigurationState()
        self.sources: dict[str, SourceState] = {}
        self.workers: dict[str, Worker] = {}
        self.by_service: dict[str, list[Worker]] = {}
        self.proxies: tuple[str, ...] = ()  # names of those with a session, sorted
        self.departed_since: float | None = None  # when the proxies removed last were first missing
        self._retained_workers = Retention(worker_lease)
        self._retained_proxies = Retention(PROXY_LEASE_SECONDS)
        self._departures = KnownDepartures(worker_lease)
        self._registries_uptime = math.inf
        self._applied_at = -math.inf

    def versions(self) -> dict[str, int]:
        """The version held of each source, as a pull reports it."""
        versions = {name: source.version for name, source in self.sources.items()}
        if self.configuration.version:
            versions[OPERATOR_SOURCE] = self.configuration.version
        return versions

    def apply(self, sent_at: float, now: float, response: PullResponse) -> ClusterChange:
        """Apply the response to a pull that was sent at `sent_at`; returns what it changed."""
        change = ClusterChange()
        if response.operator_update is not None:
            change.config = self.configuration.apply(response.operator_update)
        for name, update in response.sources.items():
            self._apply_source(name, update, now, change)
        self._applied_at = now
        self._registries_uptime = response.registries_uptime
        for name in response.alive:
            if name in self.sources:
                self.sources[name].last_listed_at = now
        self._drop_expired_sources(now, change)
        if response.configuration_age is not None and self.configuration.routing_table is not None:
            # The age is as of the response, which left at `sent_at` plus the hold time, or later.
            self.configuration.confirm(sent_at + response.hold_seconds - response.configuration_age)
        self._merge(now, change)
        return change

    def _apply_source(self, name: str, update: SourceUpdate, now: float, change: ClusterChange) -> None:
        source = self.sources.get(name)
        if source is None:
            source = SourceState(last_listed_at=now, started_at=now - update.registry_uptime)
            self.sources[name] = source
        if update.version >= source.version:
            source.apply(update, now, change)

    def _drop_expired_sources(self, now: float, change: ClusterChange) -> None:
        expired = [
            name
            for name, source in self.sources.items()
            if now - source.last_listed_at > SOURCE_TIMEOUT_SECONDS
        ]
        for name in expired:
            del self.sources[name]
            change.workers = True
            change.proxies = True

    def _merge(self, now: float, change: ClusterChange) -> None:
        """Merge what changed. Retained records are checked each time, since the uptime has increased."""
        if self._departures.learn(change.departures):
            change.workers = True
        if change.workers or self._retained_workers.missing_since:
            self._merge_workers(now)
            change.workers = True
        if change.proxies or self._retained_proxies.missing_since:
            change.proxies = self._merge_proxies(now)

    def _merge_workers(self, now: float) -> None:
        newest: dict[str, Worker] = {}
        for source in self.sources.values():
            for worker_id, worker in source.workers.items():
                known = newest.get(worker_id)
                if known is None or worker.sequence > known.sequence:
                    newest[worker_id] = worker
        missing = [worker_id for worker_id in self.workers if worker_id not in newest]
        self._retained_workers.update(now, missing, self._registries_uptime)
        for worker_id in self._retained_workers.missing_since:
            # It may have restarted in the meantime, so it is in slow start until a registry lists it again.
            newest[worker_id] = replace(self.workers[worker_id], warm_at=math.inf)
        for worker_id in self._departures.precluded(newest, now):
            newest[worker_id] = replace(newest[worker_id], ready=False)
        self.workers = newest
        self.by_service = {}
        for worker in newest.values():
            self.by_service.setdefault(worker.service, []).append(worker)

    def _merge_proxies(self, now: float) -> bool:
        """Merge the proxies with a session; returns whether they have changed."""
        named = {name for source in self.sources.values() for name in source.proxies}
        missing = [name for name in self.proxies if name not in named]
        released = self._retained_proxies.update(now, missing, self._registries_uptime)
        self.departed_since = min(released, default=None)
        proxies = tuple(sorted(named | self._retained_proxies.missing_since.keys()))
        changed = proxies != self.proxies
        self.proxies = proxies
        return changed

    # ---- totals over the sources

    def _fresh_sources(self) -> dict[str, SourceState]:
        """Recently listed sources. Reports to a registry that is lost are sent to another registry again."""
        return {
            name: source
            for name, source in self.sources.items()
            if self._applied_at - source.last_listed_at < SOURCE_FRESHNESS_SECONDS
        }

    def in_flight(self) -> dict[str, int]:
        """Requests in flight from all proxies, by worker; the reports are about half a second old."""
        totals: dict[str, int] = {}
        for source in self._fresh_sources().values():
            for worker_id, count in source.in_flight.items():
                totals[worker_id] = totals.get(worker_id, 0) + count
        return totals

    def failure_totals(self, only_source: str | None = None) -> dict[str, FailureTotals]:
        """Recent failures by worker, from all fresh sources or from one."""
        totals: dict[str, FailureTotals] = {}
        for name, source in self._fresh_sources().items():
            if only_source not in (None, name):
                continue
            for worker_id, failures in source.failures.items():
                known = totals.get(worker_id)
                totals[worker_id] = failures if known is None else _add_failure_totals(known, failures)
        return totals

    def source_coverage(self) -> dict[str, SourceCoverage]:
        """For each source, the proxies that it lists, and those of them that no other source lists."""
        sources_naming = Counter(name for source in self.sources.values() for name in source.proxies)
        return {
            name: SourceCoverage(
                frozenset(source.proxies),
                frozenset(proxy for proxy in source.proxies if sources_naming[proxy] == 1),
            )
            for name, source in self.sources.items()
        }

    def lease_tables(self) -> dict[str, LeaseTable]:
        """The newest table of the leases on each quota that has any, by tenant."""
        newest: dict[str, LeaseTable] = {}
        for source in self._fresh_sources().values():
            for tenant, table in source.lease_tables.items():
                if tenant not in newest or table.position > newest[tenant].position:
                    newest[tenant] = table
        return newest

    def silent_proxies(self) -> set[str]:
        """Proxies with a session at any registry that have not called any for a while."""
        silent: set[str] = set()
        calling: set[str] = set()
        for source in self._fresh_sources().values():
            silent |= source.silent_proxies
            calling |= source.proxies.keys() - source.silent_proxies
        return silent - calling

    def unreported_since(self) -> float:
        """The time since which proxies may not have reported their usage to any registry; infinite if none.

        Proxies that are retained have not called since the registries have restarted.
        """
        if not self._retained_proxies.missing_since:
            return math.inf
        return min((source.started_at for source in self._listed_sources().values()), default=math.inf)

    def registries_started_at(self) -> dict[str, float]:
        """When the registry of each source that is listed now started; minus infinity if not reported."""
        return {name: source.started_at for name, source in self._listed_sources().items()}

    def _listed_sources(self) -> dict[str, SourceState]:
        """The sources that the last response listed as alive."""
        return {
            name: source for name, source in self.sources.items() if source.last_listed_at >= self._applied_at
        }

    def recent_usage(self) -> dict[str, RecentUsage]:
        """What each source whose snapshot came with the last response has reported lately."""
        return {
            name: source.recent_usage
            for name, source in self.sources.items()
            if source.snapshot_at >= self._applied_at
        }

    def usage_totals(self) -> dict[str, dict[str, tuple[int, int]]]:
        """All requests and rejected requests, cumulative, by source and tenant."""
        return {name: dict(source.usage) for name, source in self.sources.items()}


def _add_failure_totals(first: FailureTotals, second: FailureTotals) -> FailureTotals:
    return FailureTotals(first[0] + second[0], first[1] + second[1], first[2] + second[2])
