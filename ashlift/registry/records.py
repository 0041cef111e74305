"""What the registry records about workers and proxies. Pure; times are of the steady clock, in seconds.

How a record is encoded for other processes is decided by `ashlift.registry.codec` alone.
"""

from enum import StrEnum
from typing import Final, NamedTuple

import attrs

TOMBSTONE_SEQ: Final = (
    1 << 40
)  # above every call sequence number: nothing later revives a deregistered worker
WARM_AT_TOLERANCE_SECONDS: Final = 0.3  # heartbeats arrive late by up to this: a smaller shift is no change


class WorkerState(StrEnum):
    """What a worker reports; `TOMBSTONE` marks one that has deregistered, which is final."""

    READY = "ready"
    DRAINING = "draining"
    TOMBSTONE = "gone"


class WorkerRecord(NamedTuple):
    """A worker as its newest heartbeat describes it.

    `call_seq` is that heartbeat's sequence number, `warm_at` the steady time at which its slow start ends.
    """

    service: str
    address: str
    zone: str
    capacity: int
    state: WorkerState
    call_seq: int
    warm_at: float
    config_version: str

    def is_equivalent(self, other: "WorkerRecord", now: float) -> bool:
        """Whether both describe the same worker alike, apart from the sequence number and small delays."""
        own_fields = self._replace(call_seq=0, warm_at=0.0)
        other_fields = other._replace(call_seq=0, warm_at=0.0)
        warm_at_difference = abs(max(self.warm_at, now) - max(other.warm_at, now))
        return own_fields == other_fields and warm_at_difference <= WARM_AT_TOLERANCE_SECONDS

    def as_tombstone(self) -> "WorkerRecord":
        """The record that replaces this one when the worker deregisters."""
        return self._replace(state=WorkerState.TOMBSTONE, call_seq=TOMBSTONE_SEQ, warm_at=0.0)


UNKNOWN_WORKER: Final = WorkerRecord("", "0.0.0.0:1", "", 0, WorkerState.TOMBSTONE, 0, 0.0, "")


@attrs.frozen
class SessionRecord:
    """A proxy as it describes itself; `renewed_at`: steady time at which this registry received this."""

    client_address: str
    zone: str
    region: str
    ready: bool
    renewed_at: float = attrs.field(default=0.0, eq=False)
