"""Leases of the workers that send heartbeats to this registry, and the known workers of all registries.

Does no I/O. Of several records of a worker, the one with the highest sequence number is valid. A lease lasts
three heartbeat intervals. Deregistration leaves a tombstone, so that a delayed heartbeat does not register
the worker again.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from ashlift.registry.codec import PREFIX_LENGTH, WORKER_KIND, WORKER_PREFIX
from ashlift.registry.lease_clock import LeaseClock
from ashlift.registry.local_records import LocalRecords
from ashlift.registry.peer_registries import PeerRegistries
from ashlift.registry.records import UNKNOWN_WORKER, WorkerRecord, WorkerState
from ashlift.registry.replicated_source import ReplicatedSource

LEASE_HEARTBEATS: Final = 3
TOMBSTONE_RETENTION_SECONDS: Final = 30.0  # for which a tombstone is kept
EXPIRED_RETENTION_SECONDS: Final = 60.0  # for which the last record of an expired worker is kept


class LastHeartbeat(NamedTuple):
    """When this registry received a worker's last heartbeat, and its sequence number."""

    received_at: float
    call_seq: int


class ExpiredWorkers:
    """The last records of workers with expired leases, to tell delayed heartbeats from new ones."""

    def __init__(self) -> None:
        self._last: dict[str, tuple[float, WorkerRecord]] = {}  # by ID: expiry time and last record

    def add(self, worker_id: str, record: WorkerRecord, call_seq: int, now: float) -> None:
        """Keep the record of a worker whose lease has expired; `call_seq` is that of its last heartbeat."""
        self._last[worker_id] = now, record._replace(call_seq=call_seq)

    def is_late(self, worker_id: str, record: WorkerRecord) -> bool:
        """Whether the heartbeat is older than the last one of the same incarnation (the same address)."""
        _, last = self._last.get(worker_id, (0.0, record))
        return record.call_seq < last.call_seq and record.address == last.address

    def prune(self, now: float) -> None:
        """Drop records whose delayed heartbeats can no longer arrive."""
        self._last = {
            worker_id: (expired_at, record)
            for worker_id, (expired_at, record) in self._last.items()
            if now - expired_at <= EXPIRED_RETENTION_SECONDS
        }


class WorkerInstances:
    """Heartbeats, leases and tombstones of the workers that report to this registry."""

    def __init__(
        self, local_records: LocalRecords, peers: PeerRegistries, clock: LeaseClock, heartbeat_seconds: float
    ) -> None:
        self._local_records = local_records
        self._peers = peers
        self._clock = clock
        self._lease_seconds = LEASE_HEARTBEATS * heartbeat_seconds
        self._heartbeats: dict[str, LastHeartbeat] = {}
        self._tombstones: dict[str, float] = {}  # by ID: time of deregistration
        self._expired = ExpiredWorkers()

    def record_heartbeat(self, worker_id: str, record: WorkerRecord, now: float) -> bool:
        """Renew the worker's lease; returns False if the heartbeat is outdated and was ignored."""
        key = WORKER_PREFIX + worker_id
        newest = self._newest(worker_id)
        local_record: WorkerRecord | None = self._local_records.get(key)
        heartbeat = self._heartbeats.get(worker_id)
        last_seq = max(newest.call_seq if newest else 0, heartbeat.call_seq if heartbeat else 0)
        if record.call_seq < last_seq or self._expired.is_late(worker_id, record):
            return False
        self._heartbeats[worker_id] = LastHeartbeat(now, record.call_seq)
        if not self._is_published(local_record, newest, record, now):
            self._local_records.put(key, record)
        return True

    def deregister(self, worker_id: str, now: float) -> None:
        """Replace the worker's record by a tombstone; its ID must not be used again."""
        key = WORKER_PREFIX + worker_id
        tombstone = (self._newest(worker_id) or UNKNOWN_WORKER).as_tombstone()
        self._heartbeats.pop(worker_id, None)
        self._tombstones[worker_id] = now
        if self._local_records.get(key) != tombstone:
            self._local_records.put(key, tombstone)

    def capacity(self, worker_id: str) -> int | None:
        """Maximum concurrent requests of the worker; None if it is unknown."""
        newest = self._newest(worker_id)
        return newest.capacity if newest is not None else None

    def all_known(self) -> dict[str, WorkerRecord]:
        """The newest record of each worker by ID, without tombstones."""
        newest: dict[str, WorkerRecord] = {}
        for source in self._sources():
            for key, record in source.values.items():
                if key[0] == WORKER_KIND and (key not in newest or record.call_seq > newest[key].call_seq):
                    newest[key] = record
        return {
            key[PREFIX_LENGTH:]: record
            for key, record in newest.items()
            if record.state != WorkerState.TOMBSTONE
        }

    def expire(self, now: float) -> None:
        """Drop records with expired leases, and tombstones past their retention."""
        expired = [
            worker_id
            for worker_id, heartbeat in self._heartbeats.items()
            if self._clock.has_expired(heartbeat.received_at, self._lease_seconds, now)
        ]
        for worker_id in expired:
            heartbeat = self._heartbeats.pop(worker_id)
            record: WorkerRecord | None = self._local_records.get(WORKER_PREFIX + worker_id)
            if record is not None:
                self._expired.add(worker_id, record, heartbeat.call_seq, now)
            self._local_records.drop(WORKER_PREFIX + worker_id)
        self._expired.prune(now)
        old_tombstones = [
            worker_id
            for worker_id, deregistered_at in self._tombstones.items()
            if now - deregistered_at > TOMBSTONE_RETENTION_SECONDS
        ]
        for worker_id in old_tombstones:
            del self._tombstones[worker_id]
            self._local_records.drop(WORKER_PREFIX + worker_id)

    @staticmethod
    def _is_published(
        local_record: WorkerRecord | None, newest: WorkerRecord | None, record: WorkerRecord, now: float
    ) -> bool:
        """Whether the local record and the newest record of any registry are both equivalent to `record`."""
        if local_record is None or newest is None or not local_record.is_equivalent(record, now):
            return False
        return newest is local_record or newest.is_equivalent(record, now)

    def _sources(self) -> Iterable[ReplicatedSource]:
        return [self._local_records.source, *self._peers.sources()]

    def _newest(self, worker_id: str) -> WorkerRecord | None:
        key = WORKER_PREFIX + worker_id
        newest: WorkerRecord | None = self._local_records.get(key)
        for replica in self._peers.replicas.values():
            record: WorkerRecord | None = replica.source.values.get(key)
            if record is not None and (newest is None or record.call_seq > newest.call_seq):
                newest = record
        return newest
