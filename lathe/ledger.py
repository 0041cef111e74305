"""What this gatekeeper knows, merged from all sources: configuration, workers, members, count sums, proof.

Pure: answers of pulls in, a wanted state out. Time is the steady clock, s.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from jig.tables import Table
from workbench.bench import Address, parse_address

SILENT_S = 5.0  # a source that no pegboard names for so long is dropped
WORD = "vise"  # the source of the operator's word


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
class Source:
    version: int = 0
    records: dict[str, Any] = field(default_factory=dict)
    named: float = 0.0  # when a pegboard last named it


@dataclass(slots=True)
class Change:
    """What an answer changed."""

    config: bool = False
    workers: bool = False
    members: bool = False


class Ledger:
    def __init__(self) -> None:
        self.sources: dict[str, Source] = {}
        self.word: dict[str, Any] = {}  # the operator's map
        self.index = 0
        self.table: Table | None = None
        self.proven = -math.inf  # the configuration held was the newest at this time, or later
        self.evacuated: frozenset[str] = frozenset()
        self.workers: dict[str, Worker] = {}
        self.by_service: dict[str, list[Worker]] = {}
        self.members: tuple[str, ...] = ()  # gatekeepers with a session, by name
        self.core: dict[str, dict[str, Any]] = {}  # core machines by IP: zone and region

    def have(self) -> dict[str, int]:
        """The vector of versions that a pull names."""
        vector = {name: source.version for name, source in self.sources.items()}
        if self.index:
            vector[WORD] = self.index
        return vector

    def age(self, now: float) -> float:
        """s since the configuration held was proven to be the newest."""
        return now - self.proven

    def take(self, sent: float, now: float, answer: Mapping[str, Any]) -> Change:
        """Take the answer of a pull sent at `sent`."""
        change = Change()
        for name, news in answer["sources"].items():
            if name == WORD:
                self._word(news, change)
            else:
                self._source(name, news, now, change)
        for name in answer["alive"]:
            if name in self.sources:
                self.sources[name].named = now
        for name in [name for name, source in self.sources.items() if now - source.named > SILENT_S]:
            del self.sources[name]
            change.workers = change.members = True
        if answer.get("age") is not None and self.table is not None:
            # True at the time of answering, which is not before our sending and what it was held there.
            self.proven = max(self.proven, sent + answer.get("held", 0.0) - answer["age"])
        if change.workers:
            self._merge_workers()
        if change.members:
            self._merge_members()
        return change

    def _word(self, news: Mapping[str, Any], change: Change) -> None:
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
                self.table = Table.build(self.word)
            else:
                self.table = self.table.updated(news["set"], gone)

    def _named(self, kind: str) -> dict[str, Any]:
        """The operator's entries of a kind, by name."""
        return {key[len(kind) :]: value for key, value in self.word.items() if key.startswith(kind)}

    def _source(self, name: str, news: Mapping[str, Any], now: float, change: Change) -> None:
        source = self.sources.get(name)
        if source is None:
            source = self.sources[name] = Source(named=now)
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
        return Worker(key[2:], value["service"], value["zone"], address, value["capacity"], ready,
                      value["seq"], now + value["warm"])  # fmt: skip

    def _merge_workers(self) -> None:
        best: dict[str, Worker] = {}
        for source in self.sources.values():
            for key, record in source.records.items():
                if key[0] == "w" and (record.id not in best or record.seq > best[record.id].seq):
                    best[record.id] = record
        self.workers, self.by_service = best, {}
        for worker in best.values():
            self.by_service.setdefault(worker.service, []).append(worker)

    def _merge_members(self) -> None:
        names = {key[2:] for source in self.sources.values() for key in source.records if key[0] == "g"}
        self.members = tuple(sorted(names))

    def outs(self) -> dict[str, int]:
        """Requests of all gatekeepers under way, by worker, about half a second old."""
        outs: dict[str, int] = {}
        for source in self.sources.values():
            for key, value in source.records.items():
                if key[0] == "o":
                    outs[key[2:]] = outs.get(key[2:], 0) + value
        return outs

    def faults(self, near: str | None = None) -> dict[str, tuple[int, int, int]]:
        """Failures of late by worker, and requests, in tenths, and how many gatekeepers saw failures: of all,
        or those told to the registry `near` alone."""
        found: dict[str, tuple[int, int, int]] = {}
        for name, source in self.sources.items():
            for key, value in source.records.items() if near in (None, name) else ():
                if key[0] == "f":
                    one = found.get(key[2:], (0, 0, 0))
                    found[key[2:]] = one[0] + value[0], one[1] + value[1], one[2] + value[2]
        return found

    def sums(self) -> dict[str, dict[str, tuple[int, int]]]:
        """Cumulative counts, total and declined, by source and tenant."""
        return {
            name: {key[2:]: (value[0], value[1]) for key, value in source.records.items() if key[0] == "c"}
            for name, source in self.sources.items()
        }
