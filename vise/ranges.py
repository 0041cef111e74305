"""The map under agreement, in 64 drawers: what is compared, sent and kept is a drawer at a time."""

import hashlib
import zlib
from collections.abc import Iterable, Mapping
from typing import Any, Final

import cbor2

DRAWERS: Final = 64
SHORT: Final = 8  # bytes of a drawer's digest: all of them fit a frame of half a kilobyte
LONG: Final = 16  # bytes of the digest over all


def drawer_of(key: str) -> int:
    return zlib.crc32(key.encode()) % DRAWERS


class Chest:
    """A map `key -> value` that is never changed: a change gives a new chest, sharing untouched drawers."""

    __slots__ = ("_digests", "_drawers", "_packed", "map")

    def __init__(self, map: Mapping[str, Any] | None = None) -> None:
        self.map: Mapping[str, Any] = map or {}
        self._drawers: list[dict[str, Any]] = [{} for _ in range(DRAWERS)]
        self._packed: list[bytes | None] = [None] * DRAWERS
        self._digests: list[bytes | None] = [None] * DRAWERS
        for key, value in self.map.items():
            self._drawers[drawer_of(key)][key] = value

    def _copy(self, map: Mapping[str, Any]) -> "Chest":
        other = Chest.__new__(Chest)
        other.map = map
        other._drawers, other._packed, other._digests = [*self._drawers], [*self._packed], [*self._digests]
        return other

    def changed(self, set: Mapping[str, Any], gone: Iterable[str]) -> "Chest":
        """This chest with `set` laid over it and `gone` taken out."""
        map = {**self.map, **set}
        fresh: dict[int, dict[str, Any]] = {}
        for key, value in set.items():
            fresh.setdefault(drawer_of(key), {})[key] = value
        for key in gone:
            if map.pop(key, self) is not self:
                fresh.setdefault(drawer_of(key), {})
        other = self._copy(map)
        for number, laid in fresh.items():
            drawer = {**self._drawers[number], **laid}
            other._drawers[number] = {key: value for key, value in drawer.items() if key in map}
            other._packed[number] = other._digests[number] = None
        return other

    def replaced(self, drawers: Mapping[int, bytes]) -> "Chest":
        """This chest with whole drawers exchanged; raises ValueError for bytes that are no drawer."""
        fresh: dict[int, dict[str, Any]] = {}
        try:
            for number, packed in drawers.items():
                fresh[number] = dict(cbor2.loads(packed))
                if any(drawer_of(key) != number for key in fresh[number]):
                    raise ValueError(f"drawer {number} holds a key of another")
        except (cbor2.CBORDecodeError, TypeError, AttributeError) as error:
            raise ValueError(str(error)) from None
        map = dict(self.map)
        for number in fresh:
            for key in self._drawers[number]:
                del map[key]
        other = self._copy(map)
        for number, drawer in fresh.items():
            map.update(drawer)
            other._drawers[number], other._packed[number] = drawer, drawers[number]
            other._digests[number] = None
        return other

    def packed(self, number: int) -> bytes:
        """A drawer as cbor2: a list of `[key, value]`, ordered by key."""
        packed = self._packed[number]
        if packed is None:
            drawer = self._drawers[number]
            packed = cbor2.dumps([[key, drawer[key]] for key in sorted(drawer)])
            self._packed[number] = packed
        return packed

    def filled(self) -> list[int]:
        return [number for number in range(DRAWERS) if self._drawers[number]]

    def digests(self) -> bytes:
        """The drawers' digests in order, SHORT bytes each."""
        for number in range(DRAWERS):
            if self._digests[number] is None:
                self._digests[number] = hashlib.blake2b(self.packed(number), digest_size=SHORT).digest()
        return b"".join(digest or b"" for digest in self._digests)

    def digest(self) -> bytes:
        """One digest over all, LONG bytes."""
        return hashlib.blake2b(self.digests(), digest_size=LONG).digest()

    def differing(self, digests: bytes) -> list[int]:
        """The drawers that differ from another chest's digests; all, if they are no digests."""
        mine = self.digests()
        return [
            number for number in range(DRAWERS)
            if mine[number * SHORT : (number + 1) * SHORT] != digests[number * SHORT : (number + 1) * SHORT]
        ]  # fmt: skip
