"""The cluster as this proxy knows it: merged from all sources that the registries report. Pure.

A source is what one registry has heard; the same worker or proxy may stand in several. This module merges
them; `ashlift.proxy.source_state` holds the records of one, `ashlift.proxy.configuration_state` the
operator's configuration, and `ashlift.proxy.retention` keeps who is missing only because registries have just
restarted.
"""

import math
from collections import Counter
from dataclasses import replace
from typing import Final

from ashlift.proxy.configuration_state import ConfigurationState
from ashlift.proxy.pull_messages import PullResponse, SourceUpdate
from ashlift.proxy.retention import Retention
from ashlift.proxy.source_state import ClusterChange, SourceState, Worker
from ashlift.rpc.sources import OPERATOR_SOURCE
from ashlift.traffic.outlier_detection import FailureTotals
from ashlift.traffic.unreported_usage import SourceCoverage

SOURCE_TIMEOUT_SECONDS: Final = 5.0  # a source that no registry has named for so long is dropped
LISTED_SOURCE_SECONDS: Final = 1.5  # load and failures count of sources that were named so recently
# A proxy's session, and the way to another registry: within this time a proxy that runs has called one.
PROXY_LEASE_SECONDS: Final = 3.0
DEFAULT_WORKER_LEASE_SECONDS: Final = 4.5


class ClusterView:
    """Workers, proxies, load and configuration. Changed by `apply` alone. Times are steady, in seconds."""

    def __init__(self, worker_lease: float = DEFAULT_WORKER_LEASE_SECONDS) -> None:
        self.configuration = ConfigurationState()
        self.sources: dict[str, SourceState] = {}
        self.workers: dict[str, Worker] = {}
        self.by_service: dict[str, list[Worker]] = {}
        self.proxies: tuple[str, ...] = ()  # with a session, by name
        self.departed_since: float | None = None  # since when the proxies last let go had been missing
        self._retained_workers = Retention(worker_lease)
        self._retained_proxies = Retention(PROXY_LEASE_SECONDS)
        self._registries_uptime = math.inf
        self._applied_at = -math.inf

    def versions(self) -> dict[str, int]:
        """The version held of each source, as a pull reports it."""
        versions = {name: source.version for name, source in self.sources.items()}
        if self.configuration.version:
            versions[OPERATOR_SOURCE] = self.configuration.version
        return versions

    def apply(self, sent_at: float, now: float, response: PullResponse) -> ClusterChange:
        """Apply the response to a pull that was sent at `sent_at`; says what it changed."""
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
            # It was true when the registry answered: not before the call was sent and held there.
            self.configuration.confirm(sent_at + response.held - response.configuration_age)
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
        """Merge what changed; what is retained is decided anew each time, since registries grow older."""
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
            # It may have restarted meanwhile: until it is named again it counts as in slow start.
            newest[worker_id] = replace(self.workers[worker_id], warm_at=math.inf)
        self.workers = newest
        self.by_service = {}
        for worker in newest.values():
            self.by_service.setdefault(worker.service, []).append(worker)

    def _merge_proxies(self, now: float) -> bool:
        """Whether the proxies with a session are others than before."""
        named = {name for source in self.sources.values() for name in source.proxies}
        missing = [name for name in self.proxies if name not in named]
        released = self._retained_proxies.update(now, missing, self._registries_uptime)
        self.departed_since = min(released, default=None)
        proxies = tuple(sorted(named | self._retained_proxies.missing_since.keys()))
        changed = proxies != self.proxies
        self.proxies = proxies
        return changed

    # ---- sums over the sources

    def _listed_sources(self) -> dict[str, SourceState]:
        """Sources that were named lately: what a dead registry was told is reported to another one again."""
        return {
            name: source
            for name, source in self.sources.items()
            if self._applied_at - source.last_listed_at < LISTED_SOURCE_SECONDS
        }

    def in_flight(self) -> dict[str, int]:
        """Requests of all proxies in flight, by worker, about half a second old."""
        totals: dict[str, int] = {}
        for source in self._listed_sources().values():
            for worker_id, count in source.in_flight.items():
                totals[worker_id] = totals.get(worker_id, 0) + count
        return totals

    def failure_totals(self, only_source: str | None = None) -> dict[str, FailureTotals]:
        """Recent failures by worker, of all sources or of one."""
        totals: dict[str, FailureTotals] = {}
        for name, source in self._listed_sources().items():
            if only_source not in (None, name):
                continue
            for worker_id, failures in source.failures.items():
                known = totals.get(worker_id)
                totals[worker_id] = failures if known is None else _sum(known, failures)
        return totals

    def source_coverage(self) -> dict[str, SourceCoverage]:
        """By source, how many proxies it names, and how many of them no other source names."""
        sources_naming = Counter(name for source in self.sources.values() for name in source.proxies)
        return {
            name: SourceCoverage(
                len(source.proxies), sum(sources_naming[proxy] == 1 for proxy in source.proxies)
            )
            for name, source in self.sources.items()
        }

    def registries_started_at(self) -> dict[str, float]:
        """By source, when its registry started; minus infinity: it has not said."""
        return {name: source.started_at for name, source in self.sources.items()}

    def usage_totals(self) -> dict[str, dict[str, tuple[int, int]]]:
        """Cumulative requests, all and rejected, by source and tenant."""
        return {name: dict(source.usage) for name, source in self.sources.items()}


def _sum(first: FailureTotals, second: FailureTotals) -> FailureTotals:
    return FailureTotals(first[0] + second[0], first[1] + second[1], first[2] + second[2])
