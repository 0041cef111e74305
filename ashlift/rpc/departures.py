"""Departures of workers, as registries hold them and report them to each other and to proxies. No I/O.

All times are in seconds; `now` and `departed_at` are of the monotonic clock.
"""

from typing import Any, Final, NamedTuple

AGE_DECIMALS: Final = 2
MAX_HEARTBEAT_AGE_LEASES: Final = 4
# Covers a heartbeat and a record of the maximum age, and the time until all registries have a copy.
RETENTION_LEASES: Final = 2 * MAX_HEARTBEAT_AGE_LEASES + 2
DEREGISTERED_SEQ: Final = 1 << 40  # above every sequence number, so that all heartbeats are outdated


class Departure(NamedTuple):
    """A worker's drain or deregistration.

    Heartbeats with a lower sequence number than `call_seq` are outdated, if they are from `address` or that
    is empty. `departed_at`: when the first registry received it.
    """

    call_seq: int
    address: str
    departed_at: float

    @classmethod
    def deregistered(cls, now: float) -> "Departure":
        """The departure of a deregistered worker, whose ID is never used again."""
        return cls(DEREGISTERED_SEQ, "", now)

    @classmethod
    def from_wire(cls, wire: Any, now: float) -> "Departure":
        """Decode a departure received at `now`. Raises TypeError or ValueError if it is malformed."""
        call_seq, address, age = wire
        return cls(int(call_seq), str(address), now - float(age))

    def to_wire(self, now: float) -> list[Any]:
        """`[call_seq, address, age]`; the age, so that all registries forget it at the same time."""
        return [self.call_seq, self.address, round(max(0.0, now - self.departed_at), AGE_DECIMALS)]

    @property
    def is_final(self) -> bool:
        """Whether the worker has deregistered."""
        return self.call_seq == DEREGISTERED_SEQ

    def precludes(self, call_seq: int, address: str) -> bool:
        """Whether a heartbeat with that sequence number and address was sent before this departure."""
        return call_seq < self.call_seq and self.address in ("", address)

    def supersedes(self, other: "Departure | None") -> bool:
        """Whether this departure replaces `other`, another one of the same worker ID."""
        if other is None:
            return True
        if "" in (self.address, other.address) or self.address == other.address:
            return self.call_seq > other.call_seq
        return self.departed_at > other.departed_at

    def is_past_retention(self, lease_seconds: float, now: float) -> bool:
        """Whether no heartbeat sent before this departure can have an effect any longer."""
        return now - self.departed_at > retention_seconds(lease_seconds)


def max_heartbeat_age_seconds(lease_seconds: float) -> float:
    """Maximum age of a heartbeat when it is received, and of the record that it leaves."""
    return MAX_HEARTBEAT_AGE_LEASES * lease_seconds


def retention_seconds(lease_seconds: float) -> float:
    """Time for which a departure is kept."""
    return RETENTION_LEASES * lease_seconds
