"""Leases of the workers that send heartbeats to this registry, and the known workers of all registries.

Does no I/O. Of several records of a worker, the one with the highest sequence number is valid. A lease lasts
three heartbeat intervals. A drain or deregistration is a departure, which all registries keep a copy of
(`ashlift.registry.departures`), so that a delayed heartbeat does not register the worker again.
"""

import math
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Any, Final, NamedTuple

from ashlift.registry.departures import HeldDepartures
from ashlift.registry.expired_workers import ExpiredWorkers
from ashlift.registry.lease_clock import LEASE_HEARTBEATS, LeaseClock
from ashlift.registry.local_records import LocalRecords
from ashlift.registry.peer_registries import PeerRegistries
from ashlift.registry.record_keys import (
    DEPARTURE_KIND,
    DEPARTURE_PREFIX,
    PREFIX_LENGTH,
    WORKER_KIND,
    WORKER_PREFIX,
)
from ashlift.registry.records import UNKNOWN_WORKER, WorkerRecord, WorkerState
from ashlift.registry.replicated_source import ReplicatedSource
from ashlift.rpc.departures import Departure, max_heartbeat_age_seconds

# Lease of a worker whose departure may be unknown here: enough for its next heartbeat and a repetition.
UNCERTAIN_LEASE_HEARTBEATS: Final = 2
TOMBSTONE_RETENTION_SECONDS: Final = 30.0  # for which a tombstone is kept


class HeartbeatOutcome(StrEnum):
    """What became of a heartbeat; the values appear in metrics and log lines."""

    RECORDED = "recorded"
    DEPARTED = "departed"  # sent before the worker's departure
    OUTDATED = "outdated"  # a heartbeat with a higher sequence number has been received
    UNCERTAIN = "uncertain"  # may have been sent before a departure that is not known here


class LastHeartbeat(NamedTuple):
    """When this registry received a worker's last heartbeat, and its sequence number.

    `not_written_before`: earliest time at which the worker can have sent it.
    """

    received_at: float
    call_seq: int
    not_written_before: float


class WorkerInstances:
    """Heartbeats, leases and tombstones of the workers that report to this registry."""

    def __init__(
        self,
        local_records: LocalRecords,
        peers: PeerRegistries,
        clock: LeaseClock,
        heartbeat_seconds: float,
        has_disk: bool,
    ) -> None:
        """`has_disk`: departures count once they have been written to this machine's disk."""
        self._local_records = local_records
        self._peers = peers
        self._clock = clock
        self._lease_seconds = LEASE_HEARTBEATS * heartbeat_seconds
        self._uncertain_lease_seconds = UNCERTAIN_LEASE_HEARTBEATS * heartbeat_seconds
        self._max_age_seconds = max_heartbeat_age_seconds(self._lease_seconds)
        self._heartbeats: dict[str, LastHeartbeat] = {}
        self._tombstones: dict[str, float] = {}  # by ID: time of deregistration
        self._expired = ExpiredWorkers()
        self.departures = HeldDepartures(local_records, self._lease_seconds, has_disk)

    def record_heartbeat(
        self,
        worker_id: str,
        record: WorkerRecord,
        now: float,
        not_written_before: float | None = None,
        trusted_since: float = -math.inf,
    ) -> HeartbeatOutcome:
        """Renew the worker's lease, unless the heartbeat may be older than what is known of the worker.

        `not_written_before`: earliest time at which the worker can have sent it; `now` if omitted.
        `trusted_since`: a heartbeat sent earlier may be from a worker whose departure is not known here.
        """
        written_at = now if not_written_before is None else not_written_before
        departure = self.departures.get(worker_id)
        if departure is not None and departure.precludes(record.call_seq, record.address):
            return HeartbeatOutcome.DEPARTED
        newest = self._newest(worker_id)
        heartbeat = self._heartbeats.get(worker_id)
        last_seq = max(newest.call_seq if newest else 0, heartbeat.call_seq if heartbeat else 0)
        if record.call_seq < last_seq or self._expired.is_late(worker_id, record):
            return HeartbeatOutcome.OUTDATED
        if record.state is WorkerState.READY and self._is_uncertain(written_at, trusted_since, now):
            return HeartbeatOutcome.UNCERTAIN
        self._heartbeats[worker_id] = LastHeartbeat(now, record.call_seq, written_at)
        key = WORKER_PREFIX + worker_id
        if not self._is_published(self._local_records.get(key), newest, record, now):
            self._local_records.put(key, record)
        is_new_drain = departure is None or newest is None or newest.state is WorkerState.READY
        if record.state is WorkerState.DRAINING and is_new_drain:
            self.departures.add(worker_id, Departure(record.call_seq, record.address, now))
        return HeartbeatOutcome.RECORDED

    def deregister(self, worker_id: str, now: float) -> None:
        """Replace the worker's record by a tombstone; its ID must not be used again."""
        key = WORKER_PREFIX + worker_id
        tombstone = (self._newest(worker_id) or UNKNOWN_WORKER).as_tombstone()
        self._heartbeats.pop(worker_id, None)
        self._tombstones[worker_id] = now
        if self._local_records.get(key) != tombstone:
            self._local_records.put(key, tombstone)
        self.departures.add(worker_id, Departure.deregistered(now))

    def adopt_departures(self, records: Mapping[str, Any], now: float) -> None:
        """Keep a copy of the departures among the records that another registry has changed.

        The record of a worker that drains or has deregistered comes before its departure, which that registry
        publishes once it is on its disk.
        """
        for key, record in records.items():
            worker_id = key[PREFIX_LENGTH:]
            if key[0] == DEPARTURE_KIND:
                self._adopt(worker_id, record)
            elif key[0] == WORKER_KIND and record.state is WorkerState.TOMBSTONE:
                self._adopt(worker_id, Departure.deregistered(now))
            elif key[0] == WORKER_KIND and record.state is WorkerState.DRAINING:
                self._adopt(worker_id, Departure(record.call_seq, record.address, now))

    def restore_departures(self, departures: Mapping[str, Departure], now: float) -> None:
        """Hold and publish the departures that were read from this machine's disk."""
        for worker_id, departure in departures.items():
            self._adopt(worker_id, departure)
        self.departures.record_written(departures, now)

    def _adopt(self, worker_id: str, departure: Departure) -> None:
        if not self.departures.add(worker_id, departure):
            return
        key = WORKER_PREFIX + worker_id
        record: WorkerRecord | None = self._local_records.get(key)
        if record is None or not departure.precludes(record.call_seq, record.address):
            return
        heartbeat = self._heartbeats.get(worker_id)
        if heartbeat is not None and not departure.precludes(heartbeat.call_seq, record.address):
            # The worker has taken the drain back in a heartbeat that changed nothing here.
            self._local_records.put(key, record._replace(call_seq=heartbeat.call_seq))
            return
        self._heartbeats.pop(worker_id, None)
        self._local_records.drop(key)

    def is_departure_confirmed(self, worker_id: str, core_members: Iterable[str], since: float) -> bool:
        """Whether a majority of core members holds the departure, this registry included.

        A copy that is on a disk outlives the process that published it; without disks, only copies of peers
        that have been heard since then count.
        """
        departure = self.departures.get(worker_id)
        if departure is None or not self.departures.is_published(worker_id):
            return False
        key = DEPARTURE_PREFIX + worker_id

        def holds(source: ReplicatedSource) -> bool:
            return key in source.values and not departure.supersedes(source.values[key])

        heard_since = -math.inf if self.departures.has_disk else since
        return self._peers.is_held_by_majority(set(core_members), holds, heard_since)

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

    def expire(self, now: float, trusted_since: float = -math.inf) -> None:
        """Drop records with expired leases, and tombstones and departures past their retention.

        `trusted_since`: as for `record_heartbeat`.
        """
        expired = [
            worker_id
            for worker_id, heartbeat in self._heartbeats.items()
            if self._has_expired(heartbeat, trusted_since, now)
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
        self.departures.expire(now)

    def _has_expired(self, heartbeat: LastHeartbeat, trusted_since: float, now: float) -> bool:
        """Whether the lease has expired; pauses prolong it only as long as no departure is forgotten."""
        if now - heartbeat.received_at > self._max_age_seconds:
            return True
        if heartbeat.not_written_before < trusted_since:
            return now - max(heartbeat.received_at, trusted_since) > self._uncertain_lease_seconds
        return self._clock.has_expired(heartbeat.received_at, self._lease_seconds, now)

    def _is_uncertain(self, written_at: float, trusted_since: float, now: float) -> bool:
        """Whether a heartbeat may be from a worker whose departure is not, or no longer, known here."""
        return written_at < max(trusted_since, now - self._max_age_seconds)

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
