"""The records of one source: what workers and proxies have reported to one registry. No I/O."""

import math
from dataclasses import dataclass
from typing import Any

from ashlift.proxy.pull_messages import KIND_LENGTH, RecordKind, SourceUpdate
from ashlift.rpc.addresses import Address, parse_address
from ashlift.rpc.departures import Departure
from ashlift.rpc.quota_leases import LeaseTable
from ashlift.traffic.outlier_detection import FailureTotals
from ashlift.traffic.unreported_usage import NO_RECENT_USAGE, RecentUsage


# Read for every candidate of every request; slots are faster to read than fields of a named tuple.
@dataclass(frozen=True, slots=True)
class Worker:
    """One incarnation of a worker, as described by its newest heartbeat."""

    id: str
    service: str
    zone: str
    address: Address
    capacity: int
    ready: bool
    sequence: int  # of the heartbeat
    warm_at: float  # monotonic time at which its slow start ends


class ClusterChange:
    """Which parts of the cluster state a response changed."""

    def __init__(self, config: bool = False, workers: bool = False, proxies: bool = False) -> None:
        self.config = config
        self.workers = workers
        self.proxies = proxies
        self.departures: dict[str, Departure] = {}  # reported by any source, by worker ID


class SourceState:
    """All records of a source at `version`. Times are monotonic, in seconds.

    `last_listed_at`: when a registry last listed the source as alive. `started_at`: when the registry of the
    source started, minus infinity if not reported.
    """

    def __init__(self, last_listed_at: float = 0.0, started_at: float = -math.inf) -> None:
        self.version = 0
        self.last_listed_at = last_listed_at
        self.started_at = started_at
        self.workers: dict[str, Worker] = {}
        self.proxies: dict[str, Any] = {}
        self.in_flight: dict[str, int] = {}
        self.failures: dict[str, FailureTotals] = {}
        self.usage: dict[str, tuple[int, int]] = {}
        self.recent_usage = NO_RECENT_USAGE  # of the last snapshot
        self.snapshot_at = -math.inf
        self.lease_tables: dict[str, LeaseTable] = {}  # by tenant
        self.silent_proxies: set[str] = set()

    def apply(self, update: SourceUpdate, now: float, change: ClusterChange) -> None:
        """Apply an update that is not older than `version`; marks in `change` what it changes."""
        if update.full:
            change.workers |= bool(self.workers)
            change.proxies |= bool(self.proxies)
            self._clear()
            self.recent_usage = RecentUsage(*update.recent_usage)
            self.snapshot_at = now
        self.version = update.version
        self.last_listed_at = now
        for key, value in update.entries.items():
            self._set(key, value, now, change)
        for key in update.removed:
            self._remove(key, change)

    def _clear(self) -> None:
        self.workers = {}
        self.proxies = {}
        self.in_flight = {}
        self.failures = {}
        self.usage = {}
        self.lease_tables = {}
        self.silent_proxies = set()

    def _set(self, key: str, value: Any, now: float, change: ClusterChange) -> None:
        name = key[KIND_LENGTH:]
        match key[0]:
            case RecordKind.WORKER:
                self.workers[name] = _worker(name, value, now)
                change.workers = True
            case RecordKind.PROXY:
                self.proxies[name] = value
                change.proxies = True
            case RecordKind.IN_FLIGHT:
                self.in_flight[name] = value
            case RecordKind.FAILURES:
                self.failures[name] = FailureTotals(value[0], value[1], value[2])
            case RecordKind.USAGE:
                self.usage[name] = value[0], value[1]
            case RecordKind.DEPARTURE:
                change.departures[name] = Departure.from_wire(value, now)
            case RecordKind.LEASE_TABLE:
                self.lease_tables[name] = LeaseTable.from_wire(value)
            case RecordKind.SILENCE:
                self.silent_proxies.add(name)

    def _remove(self, key: str, change: ClusterChange) -> None:
        name = key[KIND_LENGTH:]
        match key[0]:
            case RecordKind.WORKER:
                self.workers.pop(name, None)
                change.workers = True
            case RecordKind.PROXY:
                self.proxies.pop(name, None)
                change.proxies = True
            case RecordKind.IN_FLIGHT:
                self.in_flight.pop(name, None)
            case RecordKind.FAILURES:
                self.failures.pop(name, None)
            case RecordKind.USAGE:
                self.usage.pop(name, None)
            case RecordKind.LEASE_TABLE:
                self.lease_tables.pop(name, None)
            case RecordKind.SILENCE:
                self.silent_proxies.discard(name)


def _worker(worker_id: str, record: Any, now: float) -> Worker:
    return Worker(
        id=worker_id,
        service=record["service"],
        zone=record["zone"],
        address=parse_address(record["address"]),
        capacity=record["capacity"],
        ready=record["state"] == "ready",
        sequence=record["seq"],
        warm_at=now + record["warm"],
    )
