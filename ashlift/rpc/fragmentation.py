"""Compression, fragmentation and reassembly of updates that are too large for one response. No I/O.

An update is `{version, full, set, gone}`: the entries set and the keys removed since a base version, or, if
`full`, the complete state. A small one is sent as it is, a larger one compressed as `{version, full, pack}`.
If that is too large too, it is sent in fragments `{version, full, id, at, size, part}`: `part` is the bytes
from offset `at` of the compressed form, which has `size` bytes.

A receiver requests the next fragment by `[id, at]`. Compressed updates are cached, the least recently used is
evicted first, and one serves all receivers with the same base version, even if the state changes meanwhile.
"""

import zlib
from typing import Any, Final, NamedTuple

import cbor2

FRAGMENT_BYTES: Final = 48 << 10  # takes 0.2 s at 2 Mbit/s
MIN_COMPRESSED_BYTES: Final = 2000  # larger updates are compressed
COMPRESSION_LEVEL: Final = 6  # zlib level
SHARING_WINDOW_SECONDS: Final = 5.0  # for this long, a large update is served in place of newer versions
MAX_CACHED_UPDATES: Final = 8
MAX_DECOMPRESSED_BYTES: Final = 64 << 20
Json = dict[str, Any]


class _CompressedUpdate(NamedTuple):
    """A compressed update. `base_version`: None if it is full. `compressed_at`: monotonic time, s."""

    id: str
    base_version: int | None
    version: int
    data: bytes
    compressed_at: float


class Fragmenter:
    """The sender's side: compresses updates, and returns the fragments that receivers request."""

    def __init__(
        self,
        name: str,
        fragment_bytes: int = FRAGMENT_BYTES,
        min_compressed_bytes: int = MIN_COMPRESSED_BYTES,
    ) -> None:
        """`name`: unique to this incarnation of the sender; keeps ids from matching another sender's."""
        self._name = name
        self._fragment_bytes = fragment_bytes
        self._min_compressed_bytes = min_compressed_bytes
        self._cache: dict[str, _CompressedUpdate] = {}  # by id, least recently used first
        self._compression_count = 0

    def next_message(
        self,
        base_version: int | None,
        update: Json,
        requested: list[Any] | None,
        now: float,
        accepts_fragments: bool = True,
    ) -> Json:
        """Return the message for a receiver that holds `base_version` and lacks `update`.

        `requested`: `[id, at]` of the fragment that it requests, or None. `now`: monotonic time, s.
        """
        compressed = self._cache.get(requested[0]) if requested else None
        if compressed is not None and requested is not None and 0 <= requested[1] < len(compressed.data):
            return self._fragment(compressed, requested[1])
        compressed = self._find_cached(base_version, update, now)
        if compressed is None:
            data = cbor2.dumps([update["set"], update["gone"]])
            if len(data) <= self._min_compressed_bytes:
                return update
            compressed = self._compress(base_version, update, data, now)
        if accepts_fragments and self._is_large(compressed):
            return self._fragment(compressed, 0)
        self._mark_recently_used(compressed)
        return {"version": compressed.version, "full": update["full"], "pack": compressed.data}

    def _find_cached(self, base_version: int | None, update: Json, now: float) -> _CompressedUpdate | None:
        """Return a cached update with the same base version: of the same version, or a recent large one.

        A receiver of a recent large one is sent the later changes afterwards.
        """
        base = None if update["full"] else base_version
        for compressed in self._cache.values():
            if compressed.base_version != base:
                continue
            if compressed.version == update["version"]:
                return compressed
            if self._is_large(compressed) and now - compressed.compressed_at < SHARING_WINDOW_SECONDS:
                return compressed
        return None

    def _compress(self, base_version: int | None, update: Json, data: bytes, now: float) -> _CompressedUpdate:
        self._compression_count += 1
        return _CompressedUpdate(
            id=f"{self._name}-{self._compression_count}",
            base_version=None if update["full"] else base_version,
            version=update["version"],
            data=zlib.compress(data, COMPRESSION_LEVEL),
            compressed_at=now,
        )

    def _is_large(self, compressed: _CompressedUpdate) -> bool:
        return len(compressed.data) > self._fragment_bytes

    def _fragment(self, compressed: _CompressedUpdate, offset: int) -> Json:
        self._mark_recently_used(compressed)
        return {
            "version": compressed.version,
            "full": compressed.base_version is None,
            "id": compressed.id,
            "at": offset,
            "size": len(compressed.data),
            "part": compressed.data[offset : offset + self._fragment_bytes],
        }

    def _mark_recently_used(self, compressed: _CompressedUpdate) -> None:
        """Make an update the most recently used one, and evict the others beyond the limit."""
        self._cache.pop(compressed.id, None)
        self._cache[compressed.id] = compressed
        while len(self._cache) > MAX_CACHED_UPDATES:
            del self._cache[next(iter(self._cache))]


class Reassembler:
    """The receiver's side: collects the fragments of one update at a time."""

    def __init__(self) -> None:
        self._id = ""
        self._data = bytearray()
        self._full = False

    def wanted_fragment(self) -> list[Any] | None:
        """Return `[id, at]` of the next fragment to request; None if no update is incomplete."""
        return [self._id, len(self._data)] if self._id else None

    def add(self, message: Json) -> Json | None:
        """Return the update once it is complete, else None. Raises ValueError like `decompress_update`."""
        if "part" not in message:
            self._id = ""
            return decompress_update(message) if "pack" in message else message
        if message["id"] != self._id or message["at"] != len(self._data):
            self._id = ""
            self._data = bytearray()
            self._full = bool(message["full"])
            if message["at"] != 0:
                return None
        self._id = message["id"]
        self._data += message["part"]
        if len(self._data) < message["size"]:
            return None
        complete = {"version": message["version"], "full": self._full, "pack": bytes(self._data)}
        self._id = ""
        self._data = bytearray()
        return decompress_update(complete)


def decompress_update(message: Json) -> Json:
    """Decompress the update in a message. Raises ValueError if it is malformed, truncated or too large."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(message["pack"], MAX_DECOMPRESSED_BYTES)
        if not decompressor.eof:
            raise ValueError(f"compressed update is truncated or exceeds {MAX_DECOMPRESSED_BYTES} bytes")
        entries, removed_keys = cbor2.loads(data)
    except (zlib.error, cbor2.CBORDecodeError, TypeError) as error:
        raise ValueError(f"malformed compressed update: {error}") from None
    return {"version": message["version"], "full": message["full"], "set": entries, "gone": removed_keys}


def decompress_sources(sources: dict[str, Json]) -> dict[str, Json]:
    """Decompress the updates of a response, by state source. Raises ValueError like `decompress_update`."""
    return {
        name: decompress_update(message) if "pack" in message else message
        for name, message in sources.items()
    }
