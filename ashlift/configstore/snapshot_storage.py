"""A shelf: records that last through kills and losses of power, on two generations of `dbm.dumb`.

`dbm.dumb` writes in place, never syncs and cannot open a torn index. So a write goes to the generation that
is not the newest, only what differs there, and counts once data, index and folder are synced. Each generation
holds all records, its number and a digest over both. Opened is the newest one that reads whole; the other
may be in any state, so no pointer to one of them is needed.
"""

import contextlib
import dbm.dumb
import errno
import hashlib
import os
from collections.abc import Mapping
from typing import Final, cast

import cbor2

from ashlift.errors import Failure, FailureReason

_HEAD: Final = "head"  # the record with `[number, digest]`
_NAMES: Final = ("a", "b")
_TORN: Final = (errno.ENOENT, errno.EINVAL)  # of a lost name, and of an index that points nowhere
SPARE: Final = 64 << 10  # bytes a generation may waste, beyond twice its records, before it is written anew


def _sync(path: str) -> None:
    fd = os.open(path, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def _digest(number: int, records: Mapping[str, bytes]) -> bytes:
    made = hashlib.blake2b(str(number).encode(), digest_size=16)
    for name in sorted(records):
        made.update(f"{name} {len(records[name])} ".encode())
        made.update(records[name])
    return made.digest()


def _read_whole(path: str) -> tuple[int, dict[str, bytes]] | None:
    """A generation's number and records, or None where it is absent, torn or mixed.

    Raises OSError where the disk does not give its bytes: it may be the newest, an older one is a guess.
    """
    base = None
    try:
        base = dbm.dumb.open(path, "r")  # noqa: SIM115  (its index alone may fail)
        found = {str(name, "utf-8"): base[name] for name in cast("list[bytes]", list(base))}
        number, digest = cbor2.loads(found.pop(_HEAD))
        return (number, found) if digest == _digest(number, found) else None
    except Exception as error:  # a torn index can hold anything: whatever it raises, it does not read whole
        if isinstance(error, OSError) and error.errno not in _TORN:
            raise
        return None
    finally:
        if base is not None:
            base.close()


class Shelf:
    """Records `name -> bytes` under `folder/name`. Not for two processes at a time."""

    def __init__(self, folder: str, name: str) -> None:
        self._folder, self._path = folder, os.path.join(folder, name)
        self._number = 0
        self._unread = False  # something is there of which nobody knows how new it is
        self._held: list[dict[str, bytes] | None] = [None, None]  # what each generation is known to hold

    def read(self) -> dict[str, bytes] | Failure | None:
        """The newest records, None if nothing was ever written here, or a Failure if nothing reads whole."""
        try:
            os.makedirs(self._folder, exist_ok=True)
            there = os.listdir(self._folder)
        except OSError as error:
            return Failure(FailureReason.REJECTED, str(error))
        try:
            found = [_read_whole(f"{self._path}-{name}") for name in _NAMES]
        except OSError as error:
            self._unread = True
            return Failure(FailureReason.REJECTED, str(error))
        whole = [one for one in found if one is not None]
        if not whole:
            self._unread = any(self._mine(file) for file in there)
            return Failure(FailureReason.INVALID, self._path) if self._unread else None
        self._number, records = max(whole, key=lambda one: one[0])
        try:  # a killed process may have left it whole, not durable; the next write goes over the other one
            self._settle(f"{self._path}-{_NAMES[self._number % 2]}")
        except OSError as error:
            return Failure(FailureReason.REJECTED, str(error))
        return records

    def write(self, records: Mapping[str, bytes]) -> Failure | None:
        """Keep exactly `records`, durably once this returns None; a Failure: the old or the new ones."""
        number = self._number + 1
        which = number % 2
        path = f"{self._path}-{_NAMES[which]}"
        held, self._held[which] = self._held[which], None
        try:
            if self._unread:
                self._clear()
            known = self._usable(path, held, records)
            # Closed at once: one left open would write its index again, unsynced, when the process ends.
            with contextlib.closing(dbm.dumb.open(path, "n" if known is None else "w")) as base:
                for name in [name for name in known or {} if name not in records]:
                    del base[name]
                for name, data in records.items():
                    if known is None or known.get(name) != data:
                        base[name] = data
                base[_HEAD] = cbor2.dumps([number, _digest(number, records)])
            self._settle(path)
        except OSError as error:
            return Failure(FailureReason.REJECTED, str(error))
        self._held[which], self._number = dict(records), number
        return None

    def _mine(self, file: str) -> bool:
        return file.startswith(os.path.basename(self._path) + "-")

    def _clear(self) -> None:
        """Away with what could not be read: read another day, its number might be the higher one."""
        for file in os.listdir(self._folder):
            if self._mine(file):
                os.remove(os.path.join(self._folder, file))
        _sync(self._folder)
        self._unread = False

    def _settle(self, path: str) -> None:
        _sync(path + ".dat")
        _sync(path + ".dir")
        _sync(self._folder)

    def _usable(
        self, path: str, held: dict[str, bytes] | None, records: Mapping[str, bytes]
    ) -> dict[str, bytes] | None:
        """What the generation holds, if that is known and not wasteful; else it is to be made anew."""
        if held is not None:
            most = 2 * sum(map(len, records.values())) + SPARE
            return held if os.path.getsize(path + ".dat") < most else None
        os.makedirs(self._folder, exist_ok=True)
        _sync(os.path.dirname(os.path.abspath(self._folder)))
        return None
