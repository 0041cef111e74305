"""The replicated map, in 64 hash ranges: compared, sent and kept a range at a time. Values are CBOR's."""

import hashlib
import zlib
from collections.abc import Iterable, Mapping
from typing import Any, Final

import cbor2

RANGE_COUNT: Final = 64
RANGE_DIGEST_BYTES: Final = 8  # the digests of all ranges fit a frame of half a kilobyte
MAP_DIGEST_BYTES: Final = 16
_ABSENT: Final = object()


def range_of(key: str) -> int:
    """The number of the range that holds the key."""
    return zlib.crc32(key.encode()) % RANGE_COUNT


class RangedMap:
    """An immutable map `key -> value`: a change gives a new one, which shares the unchanged ranges."""

    __slots__ = ("_encoded_ranges", "_range_digests", "_ranges", "map")

    def __init__(self, map: Mapping[str, Any] | None = None) -> None:  # noqa: A002  (the field's name)
        self.map: Mapping[str, Any] = map or {}
        self._ranges: list[dict[str, Any]] = [{} for _ in range(RANGE_COUNT)]
        self._encoded_ranges: list[bytes | None] = [None] * RANGE_COUNT  # filled when they are asked for
        self._range_digests: list[bytes | None] = [None] * RANGE_COUNT
        for key, value in self.map.items():
            self._ranges[range_of(key)][key] = value

    def _copy_with(self, entries: Mapping[str, Any]) -> "RangedMap":
        """A map of these entries, with this one's ranges: the caller exchanges those that differ."""
        copy = RangedMap.__new__(RangedMap)
        copy.map = entries
        copy._ranges = [*self._ranges]
        copy._encoded_ranges = [*self._encoded_ranges]
        copy._range_digests = [*self._range_digests]
        return copy

    def with_changes(self, updates: Mapping[str, Any], deletions: Iterable[str]) -> "RangedMap":
        """This map with `updates` laid over it, and without `deletions`."""
        entries = {**self.map, **updates}
        updates_by_range: dict[int, dict[str, Any]] = {}
        for key, value in updates.items():
            updates_by_range.setdefault(range_of(key), {})[key] = value
        for key in deletions:
            if entries.pop(key, _ABSENT) is not _ABSENT:
                updates_by_range.setdefault(range_of(key), {})
        copy = self._copy_with(entries)
        for number, range_updates in updates_by_range.items():
            merged = {**self._ranges[number], **range_updates}
            copy._ranges[number] = {key: value for key, value in merged.items() if key in entries}
            copy._encoded_ranges[number] = None
            copy._range_digests[number] = None
        return copy

    def with_ranges(self, encoded_ranges: Mapping[int, bytes]) -> "RangedMap":
        """This map with whole ranges exchanged. Raises ValueError for bytes that are no range."""
        ranges = _decode_ranges(encoded_ranges)
        entries = dict(self.map)
        for number in ranges:
            for key in self._ranges[number]:
                del entries[key]
        copy = self._copy_with(entries)
        for number, hash_range in ranges.items():
            entries.update(hash_range)
            copy._ranges[number] = hash_range
            copy._encoded_ranges[number] = encoded_ranges[number]
            copy._range_digests[number] = None
        return copy

    def keys_differing_from(self, older: "RangedMap") -> list[str]:
        """The keys whose values differ from those of an older map, and those that are in one of them only."""
        keys = []
        for own_range, older_range in zip(self._ranges, older._ranges, strict=True):
            if own_range is older_range:
                continue
            for key, value in own_range.items():
                if _differs(older_range.get(key, _ABSENT), value):
                    keys.append(key)
            keys += [key for key in older_range if key not in own_range]
        return keys

    def encoded_range(self, number: int) -> bytes:
        """A range as CBOR: a list of `[key, value]`, ordered by key."""
        encoded = self._encoded_ranges[number]
        if encoded is None:
            hash_range = self._ranges[number]
            encoded = cbor2.dumps([[key, hash_range[key]] for key in sorted(hash_range)])
            self._encoded_ranges[number] = encoded
        return encoded

    def nonempty_ranges(self) -> list[int]:
        """The numbers of the ranges that hold a key."""
        return [number for number in range(RANGE_COUNT) if self._ranges[number]]

    def range_digests(self) -> bytes:
        """The ranges' digests in order, RANGE_DIGEST_BYTES each."""
        for number in range(RANGE_COUNT):
            if self._range_digests[number] is None:
                digest = hashlib.blake2b(self.encoded_range(number), digest_size=RANGE_DIGEST_BYTES)
                self._range_digests[number] = digest.digest()
        return b"".join(digest or b"" for digest in self._range_digests)

    def range_digest(self, number: int) -> bytes:
        """The digest of one range."""
        return self.range_digest_in(self.range_digests(), number)

    @staticmethod
    def range_digest_in(range_digests: bytes, number: int) -> bytes:
        """The digest of one range among all those of another map."""
        return range_digests[number * RANGE_DIGEST_BYTES : (number + 1) * RANGE_DIGEST_BYTES]

    def digest(self) -> bytes:
        """One digest of the whole map, MAP_DIGEST_BYTES."""
        return hashlib.blake2b(self.range_digests(), digest_size=MAP_DIGEST_BYTES).digest()

    def differing_ranges(self, range_digests: bytes) -> list[int]:
        """The ranges that differ from another map by its digests; all, if these are no digests."""
        own = self.range_digests()
        return [
            number
            for number in range(RANGE_COUNT)
            if self.range_digest_in(own, number) != self.range_digest_in(range_digests, number)
        ]


def _decode_ranges(encoded_ranges: Mapping[int, bytes]) -> dict[int, dict[str, Any]]:
    """Raises ValueError."""
    ranges: dict[int, dict[str, Any]] = {}
    try:
        for number, encoded in encoded_ranges.items():
            ranges[number] = dict(cbor2.loads(encoded))
            if any(range_of(key) != number for key in ranges[number]):
                raise ValueError(f"range {number} holds a key of another")
    except (cbor2.CBORDecodeError, TypeError, AttributeError) as error:
        raise ValueError(str(error)) from None
    return ranges


def _differs(older: Any, value: Any) -> bool:
    """Values that Python takes for equal, such as 1 and True, differ if their bytes do."""
    if older is value:
        return False
    return bool(older != value or cbor2.dumps(older) != cbor2.dumps(value))
