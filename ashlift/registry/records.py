"""Records of workers and proxies. Times are of the monotonic clock, in seconds.

`ashlift.registry.codec` encodes them for other processes.
"""

from enum import StrEnum
from typing import Final, NamedTuple

import attrs

from ashlift.rpc.departures import DEREGISTERED_SEQ

TOMBSTONE_SEQ: Final = DEREGISTERED_SEQ  # no heartbeat replaces a tombstone
WARM_AT_TOLERANCE_SECONDS: Final = 0.3  # smaller differences are jitter of heartbeat arrival


class WorkerState(StrEnum):
    """The state that a worker reports; `TOMBSTONE` marks a deregistered worker, which is final."""

    READY = "ready"
    DRAINING = "draining"
    TOMBSTONE = "gone"


class WorkerRecord(NamedTuple):
    """A worker as described by its newest heartbeat.

    `call_seq`: sequence number of that heartbeat. `warm_at`: time at which the worker's slow start ends.
    `config_version`: version of the worker's own configuration.
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
        """Whether both are equal except for the sequence number and small differences of `warm_at`."""
        own_fields = self._replace(call_seq=0, warm_at=0.0)
        other_fields = other._replace(call_seq=0, warm_at=0.0)
        warm_at_difference = abs(max(self.warm_at, now) - max(other.warm_at, now))
        return own_fields == other_fields and warm_at_difference <= WARM_AT_TOLERANCE_SECONDS

    def as_tombstone(self) -> "WorkerRecord":
        """The tombstone that replaces this record when the worker deregisters."""
        return self._replace(state=WorkerState.TOMBSTONE, call_seq=TOMBSTONE_SEQ, warm_at=0.0)


UNKNOWN_WORKER: Final = WorkerRecord("", "0.0.0.0:1", "", 0, WorkerState.TOMBSTONE, 0, 0.0, "")


@attrs.frozen
class SessionRecord:
    """A proxy's description of itself.

    `client_address`: where clients connect. `renewed_at`: when this registry received the record; it does not
    count in comparisons.
    """

    client_address: str
    zone: str
    region: str
    ready: bool
    renewed_at: float = attrs.field(default=0.0, eq=False)
