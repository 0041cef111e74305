"""What this gatekeeper knows, merged from all sources: configuration, workers, members, count sums, proof.

Not told yet is not gone: a registry that has just started cannot say who is absent. An answer tells how long
all registries in reach have run (`ran`); who is named no more stays known until that is so long that it would
have called one of them.

Pure: answers of pulls in, a wanted state out. Time is the steady clock, s.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from ashlift.config.routing_table import RoutingTable
from ashlift.rpc.addresses import Address, parse_address
from ashlift.rpc.sources import OPERATOR_SOURCE
from ashlift.traffic.outlier_detection import FailureTotals
from ashlift.traffic.unreported_usage import SourceCoverage

SOURCE_TIMEOUT_SECONDS = 5.0  # a source that no registry names for so long is dropped
# a session's lease, and the way to another registry: a gatekeeper that runs has called by then
PROXY_LEASE_SECONDS = 3.0
MAX_RETENTION_SECONDS = 10.0  # so long is kept who is named no more, while registries start again and again
# a source named within it stands: what was said there of load and failures counts
LISTED_SOURCE_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class Worker:
    """One life of a worker, as told by its newest beat."""

    id: str
    service: str
    zone: str
    address: Address
    capacity: int
    ready: bool
    sequence: int
    warm_at: float  # steady time at which it is warm


@dataclass(slots=True)
class SourceState:
    version: int = 0
    records: dict[str, Any] = field(default_factory=dict)
    last_listed_at: float = 0.0  # when a registry last named it
    started_at: float = -math.inf  # when its registry started, as far as told


@dataclass(slots=True)
class ClusterChange:
    """What an answer changed."""

    config: bool = False
    workers: bool = False
    proxies: bool = False


class ClusterView:
    def __init__(self, lease: float = 4.5) -> None:
        """`lease`: of a worker, s: one that runs has beaten by then."""
        self._worker_lease = lease
        self.sources: dict[str, SourceState] = {}
        self.operator_config: dict[str, Any] = {}  # the operator's map
        self.config_index = 0
        self.routing_table: RoutingTable | None = None
        self.confirmed_at = -math.inf  # the configuration held was the newest at this time, or later
        self.evacuated_zones: frozenset[str] = frozenset()
        self.workers: dict[str, Worker] = {}
        self.by_service: dict[str, list[Worker]] = {}
        self.proxies: tuple[str, ...] = ()  # gatekeepers with a session, by name
        self.core_machines: dict[str, dict[str, Any]] = {}  # core machines by IP: zone and region
        self.departed_since: float | None = None  # since when those were not named that were let go last
        self._registries_uptime = math.inf  # s that all registries in reach have run, as last told
        self._retained_proxies: dict[str, float] = {}  # members that nobody names, and since when
        self._retained_workers: dict[str, float] = {}  # workers likewise
        self._now = -math.inf

    def versions(self) -> dict[str, int]:
        """The vector of versions that a pull names."""
        vector = {name: source.version for name, source in self.sources.items()}
        if self.config_index:
            vector[OPERATOR_SOURCE] = self.config_index
        return vector

    def configuration_age(self, now: float) -> float:
        """s since the configuration held was proven to be the newest."""
        return now - self.confirmed_at

    def apply(self, sent: float, now: float, answer: Mapping[str, Any]) -> ClusterChange:
        """Take the answer of a pull sent at `sent`."""
        change = ClusterChange()
        for name, news in answer["sources"].items():
            if name == OPERATOR_SOURCE:
                self._apply_operator_config(news, change)
            else:
                self._apply_source(name, news, now, change)
        self._now, self._registries_uptime = now, answer.get("ran", math.inf)
        for name in answer["alive"]:
            if name in self.sources:
                self.sources[name].last_listed_at = now
        for name in [
            name
            for name, source in self.sources.items()
            if now - source.last_listed_at > SOURCE_TIMEOUT_SECONDS
        ]:
            del self.sources[name]
            change.workers = change.proxies = True
        if answer.get("age") is not None and self.routing_table is not None:
            # True at the time of answering, which is not before our sending and what it was held there.
            self.confirmed_at = max(self.confirmed_at, sent + answer.get("held", 0.0) - answer["age"])
        # What is held is looked at again until the registries can vouch for its absence.
        change.workers = (change.workers or bool(self._retained_workers)) and self._merge_workers(now)
        change.proxies = (change.proxies or bool(self._retained_proxies)) and self._merge_proxies(now)
        return change

    def _apply_operator_config(self, news: Mapping[str, Any], change: ClusterChange) -> None:
        if news["version"] <= self.config_index:
            return  # never back within one life
        gone = (
            [key for key in self.operator_config if key not in news["set"]] if news["full"] else news["gone"]
        )
        self.operator_config = {**self.operator_config, **news["set"]}
        for key in gone:
            self.operator_config.pop(key, None)
        self.config_index = news["version"]
        change.config = True
        self.evacuated_zones = frozenset(self._entries_of_kind("Evacuations/"))
        self.core_machines = self._entries_of_kind("Members/")
        if "Version" in self.operator_config:
            if self.routing_table is None:
                self.routing_table = RoutingTable.from_entries(self.operator_config)
            else:
                self.routing_table = self.routing_table.updated(news["set"], gone)

    def _entries_of_kind(self, kind: str) -> dict[str, Any]:
        """The operator's entries of a kind, by name."""
        return {
            key[len(kind) :]: value for key, value in self.operator_config.items() if key.startswith(kind)
        }

    def _apply_source(self, name: str, news: Mapping[str, Any], now: float, change: ClusterChange) -> None:
        source = self.sources.get(name)
        if source is None:
            source = self.sources[name] = SourceState(
                last_listed_at=now, started_at=now - news.get("run", math.inf)
            )
        if news["version"] < source.version:
            return
        fresh = {key: self._record(key, value, now) for key, value in news["set"].items()}
        if news["full"]:
            change.workers |= any(key[0] == "w" for key in source.records)
            change.proxies |= any(key[0] == "g" for key in source.records)
            source.records = {}
        source.version, source.last_listed_at = news["version"], now
        for key in [*fresh, *news["gone"]]:
            change.workers |= key[0] == "w"
            change.proxies |= key[0] == "g"
        source.records.update(fresh)
        for key in news["gone"]:
            source.records.pop(key, None)

    @staticmethod
    def _record(key: str, value: Any, now: float) -> Any:
        if key[0] != "w":
            return value
        address, ready = parse_address(value["address"]), value["state"] == "ready"
        return Worker(
            key[2:],
            value["service"],
            value["zone"],
            address,
            value["capacity"],
            ready,
            value["seq"],
            now + value["warm"],
        )

    def _merge_workers(self, now: float) -> bool:
        best: dict[str, Worker] = {}
        for source in self.sources.values():
            for key, record in source.records.items():
                if key[0] == "w" and (record.id not in best or record.sequence > best[record.id].sequence):
                    best[record.id] = record
        lost = [one for one in self.workers if one not in best]
        self._retained_workers = self._retained(now, lost, self._retained_workers, self._worker_lease)
        # It may have got cold meanwhile: until it is told again it gets as little as a cold one.
        best.update({one: replace(self.workers[one], warm_at=math.inf) for one in self._retained_workers})
        self.workers, self.by_service = best, {}
        for worker in best.values():
            self.by_service.setdefault(worker.service, []).append(worker)
        return True

    def _merge_proxies(self, now: float) -> bool:
        names = {key[2:] for source in self.sources.values() for key in source.records if key[0] == "g"}
        lost = [one for one in self.proxies if one not in names]
        before, self._retained_proxies = (
            self._retained_proxies,
            self._retained(now, lost, self._retained_proxies, PROXY_LEASE_SECONDS),
        )
        gone = [before.get(one, now) for one in lost if one not in self._retained_proxies]
        self.departed_since = min(gone, default=None)
        members = tuple(sorted(names | self._retained_proxies.keys()))
        changed, self.proxies = members != self.proxies, members
        return changed

    def _retained(
        self, now: float, lost: Iterable[str], held: Mapping[str, float], vouch: float
    ) -> dict[str, float]:
        """Who of the lost is held, and since when: nobody once registries have run so long."""
        if self._registries_uptime >= vouch:
            return {}
        return {one: held.get(one, now) for one in lost if now - held.get(one, now) < MAX_RETENTION_SECONDS}

    def _listed_sources(self) -> dict[str, SourceState]:
        """Sources that were named of late: what a dead one was told is told again elsewhere."""
        return {
            name: one
            for name, one in self.sources.items()
            if self._now - one.last_listed_at < LISTED_SOURCE_SECONDS
        }

    def in_flight(self) -> dict[str, int]:
        """Requests of all gatekeepers under way, by worker, about half a second old."""
        outs: dict[str, int] = {}
        for source in self._listed_sources().values():
            for key, value in source.records.items():
                if key[0] == "o":
                    outs[key[2:]] = outs.get(key[2:], 0) + value
        return outs

    def faults(self, near: str | None = None) -> dict[str, FailureTotals]:
        """Failures of late by worker, and requests, in tenths, and how many gatekeepers saw failures: of all,
        or those told to the registry `near` alone."""
        found: dict[str, FailureTotals] = {}
        for name, source in self._listed_sources().items():
            for key, value in source.records.items() if near in (None, name) else ():
                if key[0] == "f":
                    one = found.get(key[2:], FailureTotals(0, 0, 0))
                    found[key[2:]] = FailureTotals(one[0] + value[0], one[1] + value[1], one[2] + value[2])
        return found

    def proxies_behind(self) -> dict[str, SourceCoverage]:
        """By source, for how many gatekeepers it speaks, and for how many of them it alone."""
        named = {
            name: {key for key in source.records if key[0] == "g"} for name, source in self.sources.items()
        }
        times = Counter(key for keys in named.values() for key in keys)
        return {
            name: SourceCoverage(len(keys), sum(times[key] == 1 for key in keys))
            for name, keys in named.items()
        }

    def started_at(self) -> dict[str, float]:
        """By source, when its registry started (steady time); minus infinity: it was not told."""
        return {name: source.started_at for name, source in self.sources.items()}

    def usage_counts(self) -> dict[str, dict[str, tuple[int, int]]]:
        """Cumulative counts, total and declined, by source and tenant."""
        return {
            name: {key[2:]: (value[0], value[1]) for key, value in source.records.items() if key[0] == "c"}
            for name, source in self.sources.items()
        }
