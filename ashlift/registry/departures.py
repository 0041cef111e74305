"""Departures of workers as this registry holds them. Does no I/O.

A departure is published once it is on this registry's disk, and acknowledged once a majority of the
registries has published it, so that it outlives the loss of every registry process. A registry adopts the
copies of the others. A registry takes a heartbeat only if it must know every departure that was acknowledged
since the heartbeat can have been sent: if a majority has run since then
(`PeerRegistries.majority_running_since`), and if it was sent so recently that no registry has forgotten the
departure.

`docs/design/departures.md` has the reasoning; `ashlift.registry.departure_writer` writes the disk.
"""

import math
from collections import Counter
from collections.abc import Mapping
from typing import Final

from ashlift.registry.local_records import LocalRecords
from ashlift.registry.record_keys import DEPARTURE_PREFIX
from ashlift.rpc.departures import Departure

DRAINING: Final = "draining"
DEREGISTERED: Final = "deregistered"

Departures = dict[str, Departure]  # by worker ID


class HeldDepartures:
    """The departures that this registry holds; those on its disk are among its local records.

    Times in seconds. Without a disk (`has_disk` is False) each is published at once.
    """

    def __init__(self, local_records: LocalRecords, lease_seconds: float, has_disk: bool) -> None:
        self._local_records = local_records
        self._lease_seconds = lease_seconds
        self._has_disk = has_disk
        self._held: Departures = {}
        self._on_disk: Departures = {}
        self._written_at = -math.inf

    @property
    def has_disk(self) -> bool:
        """Whether departures are published only once they are on a disk."""
        return self._has_disk

    def counts(self) -> Counter[str]:
        """How many departures are held, by kind."""
        final = sum(departure.is_final for departure in self._held.values())
        return Counter({DRAINING: len(self._held) - final, DEREGISTERED: final})

    def get(self, worker_id: str) -> Departure | None:
        """The departure of a worker, or None."""
        return self._held.get(worker_id)

    def is_published(self, worker_id: str) -> bool:
        """Whether the newest departure of the worker is published, so on the disk if there is one."""
        departure = self._held.get(worker_id)
        return departure is not None and self._local_records.get(DEPARTURE_PREFIX + worker_id) == departure

    def add(self, worker_id: str, departure: Departure) -> bool:
        """Hold the departure unless it is known already; returns whether it is new."""
        if not departure.supersedes(self._held.get(worker_id)):
            return False
        self._held[worker_id] = departure
        if self._has_disk:
            self._local_records.count_change()
        else:
            self._publish({worker_id: departure})
        return True

    def expire(self, now: float) -> None:
        """Forget the departures past their retention."""
        expired = [
            worker_id
            for worker_id, departure in self._held.items()
            if departure.is_past_retention(self._lease_seconds, now)
        ]
        for worker_id in expired:
            del self._held[worker_id]
            self._local_records.drop(DEPARTURE_PREFIX + worker_id)

    # ---- the disk

    def must_be_written(self, now: float) -> bool:
        """Whether the disk lacks a change, or has ages that are out of date by a lease."""
        ages_are_old = bool(self._held) and now - self._written_at > self._lease_seconds
        return self._has_disk and (ages_are_old or self._held != self._on_disk)

    def to_write(self) -> Departures:
        """The departures to write now: all that are held."""
        return dict(self._held)

    def record_written(self, departures: Mapping[str, Departure], now: float) -> None:
        """Publish `departures`, which are on the disk."""
        self._on_disk = dict(departures)
        self._written_at = now
        self._publish(departures)

    def _publish(self, departures: Mapping[str, Departure]) -> None:
        for worker_id, departure in departures.items():
            if self._held.get(worker_id) == departure and not self.is_published(worker_id):
                self._local_records.put(DEPARTURE_PREFIX + worker_id, departure)
