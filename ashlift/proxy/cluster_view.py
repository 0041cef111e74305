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

SILENT_S = 5.0  # a source that no registry names for so long is dropped
VOUCH_S = 3.0  # a session's lease, and the way to another registry: a gatekeeper that runs has called by then
HELD_MOST_S = 10.0  # so long is kept who is named no more, while registries start again and again
NAMED_S = 1.5  # a source named within it stands: what was said there of load and failures counts


@dataclass(frozen=True, slots=True)
class Worker:
    """One life of a worker, as told by its newest beat."""

    id: str
    service: str
    zone: str
    address: Address
    capacity: int
    ready: bool
    seq: int
    warm_at: float  # steady time at which it is warm


@dataclass(slots=True)
class SourceState:
    version: int = 0
    records: dict[str, Any] = field(default_factory=dict)
    named: float = 0.0  # when a registry last named it
    born: float = -math.inf  # when its registry started, as far as told


@dataclass(slots=True)
class ClusterChange:
    """What an answer changed."""

    config: bool = False
    workers: bool = False
    members: bool = False


class ClusterView:
    def __init__(self, lease: float = 4.5) -> None:
        """`lease`: of a worker, s: one that runs has beaten by then."""
        self._lease = lease
        self.sources: dict[str, SourceState] = {}
        self.word: dict[str, Any] = {}  # the operator's map
        self.index = 0
        self.table: RoutingTable | None = None
        self.proven = -math.inf  # the configuration held was the newest at this time, or later
        self.evacuated: frozenset[str] = frozenset()
        self.workers: dict[str, Worker] = {}
        self.by_service: dict[str, list[Worker]] = {}
        self.members: tuple[str, ...] = ()  # gatekeepers with a session, by name
        self.core: dict[str, dict[str, Any]] = {}  # core machines by IP: zone and region
        self.missed: float | None = None  # since when those were not named that were let go last
        self._ran = math.inf  # s that all registries in reach have run, as last told
        self._held: dict[str, float] = {}  # members that nobody names, and since when
        self._kept: dict[str, float] = {}  # workers likewise
        self._now = -math.inf

    def have(self) -> dict[str, int]:
        """The vector of versions that a pull names."""
        vector = {name: source.version for name, source in self.sources.items()}
        if self.index:
            vector[OPERATOR_SOURCE] = self.index
        return vector

    def age(self, now: float) -> float:
        """s since the configuration held was proven to be the newest."""
        return now - self.proven

    def take(self, sent: float, now: float, answer: Mapping[str, Any]) -> ClusterChange:
        """Take the answer of a pull sent at `sent`."""
        change = ClusterChange()
        for name, news in answer["sources"].items():
            if name == OPERATOR_SOURCE:
                self._word(news, change)
            else:
                self._source(name, news, now, change)
        self._now, self._ran = now, answer.get("ran", math.inf)
        for name in answer["alive"]:
            if name in self.sources:
                self.sources[name].named = now
        for name in [name for name, source in self.sources.items() if now - source.named > SILENT_S]:
            del self.sources[name]
            change.workers = change.members = True
        if answer.get("age") is not None and self.table is not None:
            # True at the time of answering, which is not before our sending and what it was held there.
            self.proven = max(self.proven, sent + answer.get("held", 0.0) - answer["age"])
        # What is held is looked at again until the registries can vouch for its absence.
        change.workers = (change.workers or bool(self._kept)) and self._merge_workers(now)
        change.members = (change.members or bool(self._held)) and self._merge_members(now)
        return change

    def _word(self, news: Mapping[str, Any], change: ClusterChange) -> None:
        if news["version"] <= self.index:
            return  # never back within one life
        gone = [key for key in self.word if key not in news["set"]] if news["full"] else news["gone"]
        self.word = {**self.word, **news["set"]}
        for key in gone:
            self.word.pop(key, None)
        self.index = news["version"]
        change.config = True
        self.evacuated = frozenset(self._named("Evacuations/"))
        self.core = self._named("Members/")
        if "Version" in self.word:
            if self.table is None:
                self.table = RoutingTable.from_entries(self.word)
            else:
                self.table = self.table.updated(news["set"], gone)

    def _named(self, kind: str) -> dict[str, Any]:
        """The operator's entries of a kind, by name."""
        return {key[len(kind) :]: value for key, value in self.word.items() if key.startswith(kind)}

    def _source(self, name: str, news: Mapping[str, Any], now: float, change: ClusterChange) -> None:
        source = self.sources.get(name)
        if source is None:
            source = self.sources[name] = SourceState(named=now, born=now - news.get("run", math.inf))
        if news["version"] < source.version:
            return
        fresh = {key: self._record(key, value, now) for key, value in news["set"].items()}
        if news["full"]:
            change.workers |= any(key[0] == "w" for key in source.records)
            change.members |= any(key[0] == "g" for key in source.records)
            source.records = {}
        source.version, source.named = news["version"], now
        for key in [*fresh, *news["gone"]]:
            change.workers |= key[0] == "w"
            change.members |= key[0] == "g"
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
                if key[0] == "w" and (record.id not in best or record.seq > best[record.id].seq):
                    best[record.id] = record
        lost = [one for one in self.workers if one not in best]
        self._kept = self._not_told(now, lost, self._kept, self._lease)
        # It may have got cold meanwhile: until it is told again it gets as little as a cold one.
        best.update({one: replace(self.workers[one], warm_at=math.inf) for one in self._kept})
        self.workers, self.by_service = best, {}
        for worker in best.values():
            self.by_service.setdefault(worker.service, []).append(worker)
        return True

    def _merge_members(self, now: float) -> bool:
        names = {key[2:] for source in self.sources.values() for key in source.records if key[0] == "g"}
        lost = [one for one in self.members if one not in names]
        before, self._held = self._held, self._not_told(now, lost, self._held, VOUCH_S)
        gone = [before.get(one, now) for one in lost if one not in self._held]
        self.missed = min(gone, default=None)
        members = tuple(sorted(names | self._held.keys()))
        changed, self.members = members != self.members, members
        return changed

    def _not_told(
        self, now: float, lost: Iterable[str], held: Mapping[str, float], vouch: float
    ) -> dict[str, float]:
        """Who of the lost is held, and since when: nobody once registries have run so long."""
        if self._ran >= vouch:
            return {}
        return {one: held.get(one, now) for one in lost if now - held.get(one, now) < HELD_MOST_S}

    def _standing(self) -> dict[str, SourceState]:
        """Sources that were named of late: what a dead one was told is told again elsewhere."""
        return {name: one for name, one in self.sources.items() if self._now - one.named < NAMED_S}

    def outs(self) -> dict[str, int]:
        """Requests of all gatekeepers under way, by worker, about half a second old."""
        outs: dict[str, int] = {}
        for source in self._standing().values():
            for key, value in source.records.items():
                if key[0] == "o":
                    outs[key[2:]] = outs.get(key[2:], 0) + value
        return outs

    def faults(self, near: str | None = None) -> dict[str, FailureTotals]:
        """Failures of late by worker, and requests, in tenths, and how many gatekeepers saw failures: of all,
        or those told to the registry `near` alone."""
        found: dict[str, FailureTotals] = {}
        for name, source in self._standing().items():
            for key, value in source.records.items() if near in (None, name) else ():
                if key[0] == "f":
                    one = found.get(key[2:], FailureTotals(0, 0, 0))
                    found[key[2:]] = FailureTotals(one[0] + value[0], one[1] + value[1], one[2] + value[2])
        return found

    def behind(self) -> dict[str, SourceCoverage]:
        """By source, for how many gatekeepers it speaks, and for how many of them it alone."""
        named = {
            name: {key for key in source.records if key[0] == "g"} for name, source in self.sources.items()
        }
        times = Counter(key for keys in named.values() for key in keys)
        return {
            name: SourceCoverage(len(keys), sum(times[key] == 1 for key in keys))
            for name, keys in named.items()
        }

    def born(self) -> dict[str, float]:
        """By source, when its registry started (steady time); minus infinity: it was not told."""
        return {name: source.born for name, source in self.sources.items()}

    def sums(self) -> dict[str, dict[str, tuple[int, int]]]:
        """Cumulative counts, total and declined, by source and tenant."""
        return {
            name: {key[2:]: (value[0], value[1]) for key, value in source.records.items() if key[0] == "c"}
            for name, source in self.sources.items()
        }
