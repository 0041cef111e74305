"""The departures of workers that this proxy has been told of by any registry. No I/O.

They are kept when the sources that listed them end: a registry that did not learn of a departure may still
list the worker as ready.
"""

from collections.abc import Iterator, Mapping

from ashlift.proxy.source_state import Worker
from ashlift.rpc.departures import Departure


class KnownDepartures:
    """Departures by worker ID. Times are monotonic, in seconds."""

    def __init__(self, worker_lease: float) -> None:
        self._lease_seconds = worker_lease
        self._known: dict[str, Departure] = {}

    def learn(self, reported: Mapping[str, Departure]) -> bool:
        """Add what registries report; returns whether any of it is new."""
        new = {
            worker_id: departure
            for worker_id, departure in reported.items()
            if departure.supersedes(self._known.get(worker_id))
        }
        self._known.update(new)
        return bool(new)

    def precluded(self, workers: Mapping[str, Worker], now: float) -> Iterator[str]:
        """Yield the IDs of the ready workers whose newest record is older than their departure."""
        self._forget(now)
        for worker_id, departure in self._known.items():
            worker = workers.get(worker_id)
            if worker is None or not worker.ready:
                continue
            host, port = worker.address
            if departure.precludes(worker.sequence, f"{host}:{port}"):
                yield worker_id

    def _forget(self, now: float) -> None:
        self._known = {
            worker_id: departure
            for worker_id, departure in self._known.items()
            if not departure.is_past_retention(self._lease_seconds, now)
        }
