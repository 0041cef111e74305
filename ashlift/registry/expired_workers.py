"""Workers whose leases have expired, to tell their delayed heartbeats from new ones. Does no I/O."""

from typing import Final

from ashlift.registry.records import WorkerRecord

EXPIRED_RETENTION_SECONDS: Final = 60.0  # for which the last record of an expired worker is kept


class ExpiredWorkers:
    """The last records of workers with expired leases."""

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
