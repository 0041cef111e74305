"""Durable records on the local disk: `SnapshotStorage`, two alternating slots of `dbm.dumb`.

`dbm.dumb` writes in place, never syncs and cannot open a torn index. So a write goes to the older slot,
changes only the records that differ there, and is complete once data, index and folder are synced. Each slot
holds all records, its generation and a digest of both. `read` uses the newest intact slot; the other one may
be in any state, so no pointer to the current slot is needed.

The content of the records is opaque here: the stores and registries that own them define it.
"""

import contextlib
import dbm.dumb
import errno
import hashlib
import os
from collections.abc import Mapping
from typing import Final, NamedTuple, cast

import cbor2

from ashlift.errors import Failure, FailureReason

Records = dict[str, bytes]

MAX_WASTED_BYTES: Final = 64 << 10  # a slot is rewritten when it exceeds twice its records by this much
_HEADER: Final = "head"  # name of the record with `[generation, digest]`
_SLOTS: Final = ("a", "b")  # indexed by the parity of the generation
_DATA_SUFFIX: Final = ".dat"
_INDEX_SUFFIX: Final = ".dir"
_DIGEST_BYTES: Final = 16
# A lost file name, or an index that points beyond the data.
_TORN_SLOT_ERRNOS: Final = (errno.ENOENT, errno.EINVAL)


class _SlotContent(NamedTuple):
    generation: int
    records: Records


def _sync(path: str) -> None:
    """Make a file or folder durable. Raises OSError."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _digest(generation: int, records: Mapping[str, bytes]) -> bytes:
    digest = hashlib.blake2b(str(generation).encode(), digest_size=_DIGEST_BYTES)
    for name in sorted(records):
        digest.update(f"{name} {len(records[name])} ".encode())
        digest.update(records[name])
    return digest.digest()


def _read_slot(path: str) -> _SlotContent | None:
    """A slot's content, or None if the slot is absent, torn or a mixture of two generations.

    Raises OSError if the disk cannot be read: the slot may be the newest, so the caller must not fall back to
    the other one.
    """
    database = None
    try:
        database = dbm.dumb.open(path, "r")  # noqa: SIM115  (opening alone may fail)
        names = cast("list[bytes]", list(database))
        records = {str(name, "utf-8"): database[name] for name in names}
        generation, digest = cbor2.loads(records.pop(_HEADER))
        return _SlotContent(generation, records) if digest == _digest(generation, records) else None
    except Exception as error:  # reading a torn index may raise anything
        if isinstance(error, OSError) and error.errno not in _TORN_SLOT_ERRNOS:
            raise
        return None
    finally:
        if database is not None:
            database.close()


class SnapshotStorage:
    """Records `name -> bytes`, replaced as a whole, in the files `folder/name-*`.

    For use by one process at a time. Failures are returned: `REJECTED` for a disk error, `INVALID` if the
    files exist but none is intact.
    """

    def __init__(self, folder: str, name: str) -> None:
        self._folder = folder
        self._path = os.path.join(folder, name)
        self._generation = 0
        self._unreadable_files = False  # whether files of unknown generation are present
        self._slot_records: list[Records | None] = [None, None]  # the content of each slot, if known

    def read(self) -> Records | Failure | None:
        """The newest intact records; None if nothing was ever written, a Failure if nothing is readable."""
        try:
            os.makedirs(self._folder, exist_ok=True)
            files = os.listdir(self._folder)
        except OSError as error:
            return Failure(FailureReason.REJECTED, str(error))
        try:
            slots = [_read_slot(self._slot_path(index)) for index in range(len(_SLOTS))]
        except OSError as error:
            self._unreadable_files = True
            return Failure(FailureReason.REJECTED, str(error))
        intact = [slot for slot in slots if slot is not None]
        if not intact:
            self._unreadable_files = any(self._is_own(file) for file in files)
            return Failure(FailureReason.INVALID, self._path) if self._unreadable_files else None
        newest = max(intact, key=lambda slot: slot.generation)
        self._generation = newest.generation
        try:
            # A killed process may have left this slot complete but not durable, and the next write overwrites
            # the other one.
            self._sync_slot(self._slot_path(self._slot_of(newest.generation)))
        except OSError as error:
            return Failure(FailureReason.REJECTED, str(error))
        return newest.records

    def write(self, records: Mapping[str, bytes]) -> Failure | None:
        """Replace all records durably. After a Failure either the old or the new records are in effect."""
        generation = self._generation + 1
        slot = self._slot_of(generation)
        known = self._slot_records[slot]
        self._slot_records[slot] = None  # until the write is complete
        try:
            if self._unreadable_files:
                self._remove_unreadable_files()
            self._write_slot(self._slot_path(slot), generation, known, records)
        except OSError as error:
            return Failure(FailureReason.REJECTED, str(error))
        self._slot_records[slot] = dict(records)
        self._generation = generation
        return None

    def _write_slot(
        self, path: str, generation: int, known: Records | None, records: Mapping[str, bytes]
    ) -> None:
        reusable = self._reusable_records(path, known, records)
        # Closed at once: an open database would write its index again, unsynced, at process exit.
        with contextlib.closing(dbm.dumb.open(path, "n" if reusable is None else "w")) as database:
            for name in [name for name in reusable or {} if name not in records]:
                del database[name]
            for name, data in records.items():
                if reusable is None or reusable.get(name) != data:
                    database[name] = data
            database[_HEADER] = cbor2.dumps([generation, _digest(generation, records)])
        self._sync_slot(path)

    def _reusable_records(
        self, path: str, known: Records | None, records: Mapping[str, bytes]
    ) -> Records | None:
        """The records already in the slot; None if they are unknown or the slot wastes too much space."""
        if known is not None:
            max_bytes = 2 * sum(map(len, records.values())) + MAX_WASTED_BYTES
            return known if os.path.getsize(path + _DATA_SUFFIX) < max_bytes else None
        os.makedirs(self._folder, exist_ok=True)
        _sync(os.path.dirname(os.path.abspath(self._folder)))
        return None

    def _slot_of(self, generation: int) -> int:
        return generation % len(_SLOTS)

    def _slot_path(self, slot: int) -> str:
        return f"{self._path}-{_SLOTS[slot]}"

    def _is_own(self, file: str) -> bool:
        return file.startswith(os.path.basename(self._path) + "-")

    def _remove_unreadable_files(self) -> None:
        """Remove files of unknown generation, which could otherwise be taken for the newest later."""
        for file in os.listdir(self._folder):
            if self._is_own(file):
                os.remove(os.path.join(self._folder, file))
        _sync(self._folder)
        self._unreadable_files = False

    def _sync_slot(self, path: str) -> None:
        _sync(path + _DATA_SUFFIX)
        _sync(path + _INDEX_SUFFIX)
        _sync(self._folder)


def exists(folder: str, name: str) -> bool:
    """Whether a `SnapshotStorage` of this name was ever written; does not open it."""
    return os.path.exists(os.path.join(folder, f"{name}-{_SLOTS[1]}{_DATA_SUFFIX}"))
