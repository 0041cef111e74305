"""Stores a replica's vote and newest snapshot on the local disk, and defines the format of both."""

from typing import Final

import cbor2

from ashlift.configstore.persistent_state import PersistentVote, Snapshot
from ashlift.configstore.ranged_map import RangedMap
from ashlift.configstore.replica_io import PersistState
from ashlift.configstore.stored_names import SNAPSHOT_STORAGE, VOTE_STORAGE
from ashlift.errors import Failure, FailureReason
from ashlift.snapshot_storage import Records, SnapshotStorage

_VOTE_RECORD: Final = "vote"
_TERM_INDEX_RECORD: Final = "stamp"  # the other records are one per hash range, named by its number


class ReplicaStorage:
    """The durable state of one replica, stored in `folder`."""

    def __init__(self, folder: str) -> None:
        self._votes = SnapshotStorage(folder, VOTE_STORAGE)
        self._snapshots = SnapshotStorage(folder, SNAPSHOT_STORAGE)

    def read(self) -> tuple[PersistentVote | Failure | None, Snapshot | Failure | None]:
        """Vote and snapshot: each None if never written, or a Failure if unreadable."""
        return _decode_vote(self._votes.read()), _decode_snapshot(self._snapshots.read())

    def persist(self, request: PersistState) -> Failure | None:
        """Make the given parts durable, the snapshot first. After a Failure none, one or both may be durable.

        The order matters because the vote may mark the disk as counting, which requires the snapshot that the
        replica was promoted with. A snapshot without its vote is harmless: at the next start a voter raises
        its term to the snapshot's (`_restored_vote` in `replica`), and a learner catches up from it.
        """
        if request.snapshot is not None:
            failure = self._snapshots.write(_encode_snapshot(request.snapshot))
            if failure is not None:
                return failure
        if request.vote is None:
            return None
        return self._votes.write({_VOTE_RECORD: cbor2.dumps([*request.vote])})


def _decode_vote(records: Records | Failure | None) -> PersistentVote | Failure | None:
    if not isinstance(records, dict):
        return records
    try:
        return PersistentVote(*cbor2.loads(records[_VOTE_RECORD]))
    except (cbor2.CBORDecodeError, LookupError, TypeError) as error:
        return Failure(FailureReason.INVALID, str(error))


def _encode_snapshot(snapshot: Snapshot) -> Records:
    entries = snapshot.entries
    ranges = {f"{number:02}": entries.encoded_range(number) for number in entries.nonempty_ranges()}
    return {**ranges, _TERM_INDEX_RECORD: cbor2.dumps([*snapshot.term_index])}


def _decode_snapshot(records: Records | Failure | None) -> Snapshot | Failure | None:
    if not isinstance(records, dict):
        return records
    try:
        term, index = cbor2.loads(records.pop(_TERM_INDEX_RECORD))
        ranges = {int(number): data for number, data in records.items()}
        return Snapshot((term, index), RangedMap().with_ranges(ranges))
    except (cbor2.CBORDecodeError, LookupError, TypeError, ValueError) as error:
        return Failure(FailureReason.INVALID, str(error))
