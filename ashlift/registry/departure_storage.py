"""The departures of workers on the disk of a core machine.

A departure is stored with its age, as neither the monotonic clock of a machine nor the time of day can be
trusted across a loss of power. It ages on the disk only with each write, so a restarted registry keeps it
for longer than others, never shorter.
"""

import os
from collections.abc import Mapping
from typing import Final

import cbor2

from ashlift.errors import Failure, FailureReason
from ashlift.registry.departures import Departures
from ashlift.rpc.departures import Departure
from ashlift.snapshot_storage import Records, SnapshotStorage

DATA_FOLDER: Final = "registry"  # under DataDirectory
STORAGE_NAME: Final = "departures"
RECORD_NAME: Final = "all"  # a list of `[worker ID, call_seq, address, age]`


class DepartureStorage:
    """Reads and replaces the stored departures; for use by one process at a time. Blocks on the disk."""

    def __init__(self, data_directory: str) -> None:
        self._storage = SnapshotStorage(os.path.join(data_directory, DATA_FOLDER), STORAGE_NAME)

    def read(self, now: float) -> Departures | Failure:
        """The stored departures: a Failure with REJECTED if the disk cannot be read, or INVALID."""
        records = self._storage.read()
        return records if isinstance(records, Failure) else decode_departures(records or {}, now)

    def write(self, departures: Mapping[str, Departure], now: float) -> Failure | None:
        """Replace the stored departures durably; after a Failure the old or the new ones are stored."""
        return self._storage.write(encode_departures(departures, now))


def encode_departures(departures: Mapping[str, Departure], now: float) -> Records:
    """The records of these departures, with their ages at `now`."""
    stored = [[worker_id, *departure.to_wire(now)] for worker_id, departure in departures.items()]
    return {RECORD_NAME: cbor2.dumps(stored)}


def decode_departures(records: Mapping[str, bytes], now: float) -> Departures | Failure:
    """The departures in these records, read at `now`; a Failure with INVALID if they are malformed."""
    if RECORD_NAME not in records:
        return {}
    try:
        stored = cbor2.loads(records[RECORD_NAME])
        return {str(worker_id): Departure.from_wire(wire, now) for worker_id, *wire in stored}
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        return Failure(FailureReason.INVALID, f"departures: {error!r}")
