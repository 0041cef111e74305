"""Departures of workers as this registry holds them. Does no I/O.

A departure is acknowledged once a majority of the registries holds a copy, and a registry adopts the copies
of the others. A registry takes a heartbeat only if it must know every departure that was acknowledged since
the heartbeat can have been sent: if a majority has run since then (`PeerRegistries.majority_running_since`),
and if it was sent so recently that no registry has forgotten the departure.

`docs/design/departures.md` has the reasoning.
"""

from collections import Counter
from typing import Final

from ashlift.registry.codec import DEPARTURE_PREFIX
from ashlift.registry.replicated_source import ReplicatedSource
from ashlift.rpc.departures import Departure

DRAINING: Final = "draining"
DEREGISTERED: Final = "deregistered"


class HeldDepartures:
    """The departures that this registry holds, published among its local records. Times in seconds."""

    def __init__(self, source: ReplicatedSource, lease_seconds: float) -> None:
        self._source = source
        self._lease_seconds = lease_seconds
        self._held: dict[str, Departure] = {}  # by worker ID

    def counts(self) -> Counter[str]:
        """How many departures are held, by kind."""
        final = sum(departure.is_final for departure in self._held.values())
        return Counter({DRAINING: len(self._held) - final, DEREGISTERED: final})

    def get(self, worker_id: str) -> Departure | None:
        """The departure of a worker, or None."""
        return self._held.get(worker_id)

    def add(self, worker_id: str, departure: Departure) -> bool:
        """Hold the departure unless it is known already; returns whether it is new."""
        if not departure.supersedes(self._held.get(worker_id)):
            return False
        self._held[worker_id] = departure
        self._source.put(DEPARTURE_PREFIX + worker_id, departure)
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
            self._source.drop(DEPARTURE_PREFIX + worker_id)
