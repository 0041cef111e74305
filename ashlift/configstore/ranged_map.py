"""The replicated map, split into 64 hash ranges that are compared, sent and stored one by one.

Values are of the types that CBOR can encode.
"""

import hashlib
import zlib
from collections.abc import Iterable, Mapping
from typing import Any, Final

import cbor2

RANGE_COUNT: Final = 64
RANGE_DIGEST_BYTES: Final = 8  # the digests of all ranges together take 512 bytes
MAP_DIGEST_BYTES: Final = 16
_ABSENT: Final = object()


def range_of(key: str) -> int:
    """The number of the hash range of a key."""
    return zlib.crc32(key.encode()) % RANGE_COUNT


class RangedMap:
    """An immutable map. A change returns a new map that shares the unchanged ranges."""

    __slots__ = ("_encoded_ranges", "_range_digests", "_ranges", "map")

    def __init__(self, map: Mapping[str, Any] | None = None) -> None:  # noqa: A002  (named like the attribute)
        self.map: Mapping[str, Any] = map or {}
        self._ranges: list[dict[str, Any]] = [{} for _ in range(RANGE_COUNT)]
        self._encoded_ranges: list[bytes | None] = [None] * RANGE_COUNT  # filled on demand
        self._range_digests: list[bytes | None] = [None] * RANGE_COUNT
        for key, value in self.map.items():
            self._ranges[range_of(key)][key] = value

    def _copy_with(self, entries: Mapping[str, Any]) -> "RangedMap":
        """A map of `entries` that still has this map's ranges; the caller replaces those that differ."""
        copy = RangedMap.__new__(RangedMap)
        copy.map = entries
        copy._ranges = [*self._ranges]
        copy._encoded_ranges = [*self._encoded_ranges]
        copy._range_digests = [*self._range_digests]
        return copy

    def with_changes(self, updates: Mapping[str, Any], deletions: Iterable[str]) -> "RangedMap":
        """A copy with `updates` applied and the keys in `deletions` removed."""
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
        """A copy with whole ranges replaced. Raises ValueError for a malformed range."""
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
        """The keys whose values differ from those in an older map, or that are in only one of the maps."""
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
        """A range encoded as a CBOR list of `[key, value]`, sorted by key."""
        encoded = self._encoded_ranges[number]
        if encoded is None:
            hash_range = self._ranges[number]
            encoded = cbor2.dumps([[key, hash_range[key]] for key in sorted(hash_range)])
            self._encoded_ranges[number] = encoded
        return encoded

    def nonempty_ranges(self) -> list[int]:
        """The numbers of the ranges that are not empty."""
        return [number for number in range(RANGE_COUNT) if self._ranges[number]]

    def range_digests(self) -> bytes:
        """The concatenated digests of all ranges, RANGE_DIGEST_BYTES each."""
        for number in range(RANGE_COUNT):
            if self._range_digests[number] is None:
                digest = hashlib.blake2b(self.encoded_range(number), digest_size=RANGE_DIGEST_BYTES)
                self._range_digests[number] = digest.digest()
        return b"".join(digest or b"" for digest in self._range_digests)

    def range_digest(self, number: int) -> bytes:
        """The digest of one range of this map."""
        return self.range_digest_in(self.range_digests(), number)

    @staticmethod
    def range_digest_in(range_digests: bytes, number: int) -> bytes:
        """The digest of one range within concatenated range digests."""
        return range_digests[number * RANGE_DIGEST_BYTES : (number + 1) * RANGE_DIGEST_BYTES]

    def digest(self) -> bytes:
        """The digest of the whole map, MAP_DIGEST_BYTES long."""
        return hashlib.blake2b(self.range_digests(), digest_size=MAP_DIGEST_BYTES).digest()

    def differing_ranges(self, range_digests: bytes) -> list[int]:
        """The ranges that differ from a map with these digests; all ranges if the digests are malformed."""
        own = self.range_digests()
        return [
            number
            for number in range(RANGE_COUNT)
            if self.range_digest_in(own, number) != self.range_digest_in(range_digests, number)
        ]


def _decode_ranges(encoded_ranges: Mapping[int, bytes]) -> dict[int, dict[str, Any]]:
    """Decode whole ranges. Raises ValueError for malformed ones."""
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
    """Whether two values differ. Equal values with different encodings, such as 1 and True, differ too."""
    if older is value:
        return False
    return bool(older != value or cbor2.dumps(older) != cbor2.dumps(value))
