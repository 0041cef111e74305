"""Durable records on the local disk: `SnapshotStorage`, two alternating slots of `dbm.dumb`.

`dbm.dumb` writes in place, never syncs and cannot open a torn index. So a write goes to the slot that is not
the newest, changes only what differs there, and counts once data, index and folder are synced. Each slot
holds all records, its generation and a digest of both. `read` takes the newest slot that is intact; the other
one may be in any state, so no pointer to the current slot is needed.

The module knows nothing of what the records mean: `replica_storage` and `pending_edits` do.
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

MAX_WASTED_BYTES: Final = 64 << 10  # that a slot may hold beyond twice its records before it is rewritten
_HEADER: Final = "head"  # name of the record with `[generation, digest]`
_SLOTS: Final = ("a", "b")  # a generation is in the slot of its parity
_DATA_SUFFIX: Final = ".dat"
_INDEX_SUFFIX: Final = ".dir"
_DIGEST_BYTES: Final = 16
_TORN_SLOT_ERRNOS: Final = (errno.ENOENT, errno.EINVAL)  # of a lost name, and of an index that points nowhere


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
    """A slot's content, or None where the slot is absent, torn or a mixture of two generations.

    Raises OSError where the disk does not give its bytes: that slot may be the newest, so the other one must
    not be taken for it.
    """
    database = None
    try:
        database = dbm.dumb.open(path, "r")  # noqa: SIM115  (opening alone may fail)
        names = cast("list[bytes]", list(database))
        records = {str(name, "utf-8"): database[name] for name in names}
        generation, digest = cbor2.loads(records.pop(_HEADER))
        return _SlotContent(generation, records) if digest == _digest(generation, records) else None
    except Exception as error:  # a torn index can hold anything: whatever it raises, the slot is not intact
        if isinstance(error, OSError) and error.errno not in _TORN_SLOT_ERRNOS:
            raise
        return None
    finally:
        if database is not None:
            database.close()


class SnapshotStorage:
    """Records `name -> bytes`, replaced as a whole, in the files `folder/name-*`.

    One process at a time. Failures are returned: `REJECTED` where the disk refuses, `INVALID` where nothing
    that was written can be read.
    """

    def __init__(self, folder: str, name: str) -> None:
        self._folder = folder
        self._path = os.path.join(folder, name)
        self._generation = 0
        self._unreadable_files = False  # of which nobody knows how new they are
        self._slot_records: list[Records | None] = [None, None]  # what each slot is known to hold

    def read(self) -> Records | Failure | None:
        """The newest intact records; None: nothing was ever written here; a Failure: nothing is intact."""
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
            # A killed process may have left the slot complete but not durable, and the next write goes over
            # the other one.
            self._sync_slot(self._slot_path(self._slot_of(newest.generation)))
        except OSError as error:
            return Failure(FailureReason.REJECTED, str(error))
        return newest.records

    def write(self, records: Mapping[str, bytes]) -> Failure | None:
        """Replace all records, durably once this returns None; after a Failure the old or new ones stand."""
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
        # Closed at once: one left open would write its index again, unsynced, when the process ends.
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
        """What the slot holds if that is known and not wasteful; None: the slot is to be written anew."""
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
        """Were they read another day, their generation might be the higher one."""
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
    """Whether a `SnapshotStorage` of this name was ever written to, without opening it."""
    return os.path.exists(os.path.join(folder, f"{name}-{_SLOTS[1]}{_DATA_SUFFIX}"))
