"""The map under agreement, in 64 hash ranges: what is compared, sent and kept is a range at a time."""

import hashlib
import zlib
from collections.abc import Iterable, Mapping
from typing import Any, Final

import cbor2

RANGE_COUNT: Final = 64
RANGE_DIGEST_BYTES: Final = 8  # bytes of a range's digest: all of them fit a frame of half a kilobyte
MAP_DIGEST_BYTES: Final = 16  # bytes of the digest over all


def range_of(key: str) -> int:
    return zlib.crc32(key.encode()) % RANGE_COUNT


class RangedMap:
    """A map `key -> value` that is never changed: a change gives a new one, sharing untouched ranges."""

    __slots__ = ("_encoded_ranges", "_range_digests", "_ranges", "map")

    def __init__(self, map: Mapping[str, Any] | None = None) -> None:
        self.map: Mapping[str, Any] = map or {}
        self._ranges: list[dict[str, Any]] = [{} for _ in range(RANGE_COUNT)]
        self._encoded_ranges: list[bytes | None] = [None] * RANGE_COUNT
        self._range_digests: list[bytes | None] = [None] * RANGE_COUNT
        for key, value in self.map.items():
            self._ranges[range_of(key)][key] = value

    def _copy(self, map: Mapping[str, Any]) -> "RangedMap":
        other = RangedMap.__new__(RangedMap)
        other.map = map
        other._ranges, other._encoded_ranges, other._range_digests = (
            [*self._ranges],
            [*self._encoded_ranges],
            [*self._range_digests],
        )
        return other

    def with_changes(self, set: Mapping[str, Any], gone: Iterable[str]) -> "RangedMap":
        """This map with `set` laid over it and `gone` taken out."""
        map = {**self.map, **set}
        fresh: dict[int, dict[str, Any]] = {}
        for key, value in set.items():
            fresh.setdefault(range_of(key), {})[key] = value
        for key in gone:
            if map.pop(key, self) is not self:
                fresh.setdefault(range_of(key), {})
        other = self._copy(map)
        for number, laid in fresh.items():
            hash_range = {**self._ranges[number], **laid}
            other._ranges[number] = {key: value for key, value in hash_range.items() if key in map}
            other._encoded_ranges[number] = other._range_digests[number] = None
        return other

    def with_ranges(self, ranges: Mapping[int, bytes]) -> "RangedMap":
        """This map with whole ranges exchanged; raises ValueError for bytes that are no range."""
        fresh: dict[int, dict[str, Any]] = {}
        try:
            for number, packed in ranges.items():
                fresh[number] = dict(cbor2.loads(packed))
                if any(range_of(key) != number for key in fresh[number]):
                    raise ValueError(f"range {number} holds a key of another")
        except (cbor2.CBORDecodeError, TypeError, AttributeError) as error:
            raise ValueError(str(error)) from None
        map = dict(self.map)
        for number in fresh:
            for key in self._ranges[number]:
                del map[key]
        other = self._copy(map)
        for number, hash_range in fresh.items():
            map.update(hash_range)
            other._ranges[number], other._encoded_ranges[number] = hash_range, ranges[number]
            other._range_digests[number] = None
        return other

    def keys_differing_from(self, old: "RangedMap") -> list[str]:
        """The keys whose values differ from those of an older map, of one that is or is not there."""
        found, none = [], object()
        for mine, other in zip(self._ranges, old._ranges, strict=True):
            if mine is not other:
                for key, value in mine.items():
                    was = other.get(key, none)
                    if was is not value and (was != value or cbor2.dumps(was) != cbor2.dumps(value)):
                        found.append(key)
                found += [key for key in other if key not in mine]
        return found

    def encoded_range(self, number: int) -> bytes:
        """A range as cbor2: a list of `[key, value]`, ordered by key."""
        packed = self._encoded_ranges[number]
        if packed is None:
            hash_range = self._ranges[number]
            packed = cbor2.dumps([[key, hash_range[key]] for key in sorted(hash_range)])
            self._encoded_ranges[number] = packed
        return packed

    def nonempty_ranges(self) -> list[int]:
        return [number for number in range(RANGE_COUNT) if self._ranges[number]]

    def range_digests(self) -> bytes:
        """The ranges' digests in order, SHORT bytes each."""
        for number in range(RANGE_COUNT):
            if self._range_digests[number] is None:
                self._range_digests[number] = hashlib.blake2b(
                    self.encoded_range(number), digest_size=RANGE_DIGEST_BYTES
                ).digest()
        return b"".join(digest or b"" for digest in self._range_digests)

    def range_digest(self, number: int) -> bytes:
        """A range's digest."""
        return self.range_digest_in(self.range_digests(), number)

    @staticmethod
    def range_digest_in(digests: bytes, number: int) -> bytes:
        """A range's digest among all of another map."""
        return digests[number * RANGE_DIGEST_BYTES : (number + 1) * RANGE_DIGEST_BYTES]

    def digest(self) -> bytes:
        """One digest over all, LONG bytes."""
        return hashlib.blake2b(self.range_digests(), digest_size=MAP_DIGEST_BYTES).digest()

    def differing_ranges(self, digests: bytes) -> list[int]:
        """The ranges that differ from another map's digests; all, if they are no digests."""
        mine = self.range_digests()
        return [
            number
            for number in range(RANGE_COUNT)
            if mine[number * RANGE_DIGEST_BYTES : (number + 1) * RANGE_DIGEST_BYTES]
            != digests[number * RANGE_DIGEST_BYTES : (number + 1) * RANGE_DIGEST_BYTES]
        ]
