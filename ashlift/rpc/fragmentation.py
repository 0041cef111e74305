"""Updates of replicated state that are too large for one response: compressed, split, put together. No I/O.

An update is `{version, full, set, gone}`: entries set and keys removed since another version, or (`full`) the
complete state. On the wire it stands as it is if it is small; compressed as `{version, full, pack}`; or as
one fragment of its compressed form, `{version, full, id, at, size, part}`: the bytes from offset `at` of
`size` in all. A receiver asks for the next fragment by `[id, at]`. A compressed update stays cached while
fragments of it are requested, whatever changes meanwhile, and serves all receivers that lack the same.
"""

import zlib
from typing import Any, Final, NamedTuple

import cbor2

FRAGMENT_BYTES: Final = 48 << 10  # 0.2 s on a line of 2 Mbit/s
MIN_COMPRESSED_BYTES: Final = 2000  # larger updates are compressed
COMPRESSION_LEVEL: Final = 6  # of zlib
SHARED_SECONDS: Final = 5.0  # a large update compressed so recently serves receivers of newer versions too
MAX_CACHED_UPDATES: Final = 8
MAX_UNPACKED_BYTES: Final = 64 << 20
Json = dict[str, Any]


class _PackedUpdate(NamedTuple):
    """A compressed update. `base_version`: what it builds on; None for a full one. `packed_at`: steady s."""

    id: str
    base_version: int | None
    version: int
    data: bytes
    packed_at: float


class Fragmenter:
    """The sender's side: compresses updates, and serves each receiver the fragment that it asks for."""

    def __init__(
        self,
        name: str,
        fragment_bytes: int = FRAGMENT_BYTES,
        min_compressed_bytes: int = MIN_COMPRESSED_BYTES,
    ) -> None:
        """`name`: unique to this incarnation of the sender: no offset is taken for one in another pack."""
        self._name = name
        self._fragment_bytes = fragment_bytes
        self._min_compressed_bytes = min_compressed_bytes
        self._packs: dict[str, _PackedUpdate] = {}  # by id, least recently used first
        self._packed_count = 0

    def next_message(
        self,
        base_version: int | None,
        update: Json,
        requested: list[Any] | None,
        now: float,
        accepts_fragments: bool = True,
    ) -> Json:
        """What to send to a receiver that holds `base_version` and lacks `update`.

        `requested`: `[id, at]` of the fragment that it asks for, or None. `now`: steady time, s.
        """
        pack = self._packs.get(requested[0]) if requested else None
        if pack is not None and requested is not None and 0 <= requested[1] < len(pack.data):
            return self._fragment(pack, requested[1])
        pack = self._cached(base_version, update, now)
        if pack is None:
            data = cbor2.dumps([update["set"], update["gone"]])
            if len(data) <= self._min_compressed_bytes:
                return update
            pack = self._pack(base_version, update, data, now)
        if accepts_fragments and self._is_large(pack):
            return self._fragment(pack, 0)
        self._touch(pack)
        return {"version": pack.version, "full": update["full"], "pack": pack.data}

    def _cached(self, base_version: int | None, update: Json, now: float) -> _PackedUpdate | None:
        """A cached update for the same receivers: of the same version, or a large one that is recent.

        Large ones are shared between versions; what changed since is sent after them.
        """
        base = None if update["full"] else base_version
        for pack in self._packs.values():
            if pack.base_version != base:
                continue
            if pack.version == update["version"]:
                return pack
            if self._is_large(pack) and now - pack.packed_at < SHARED_SECONDS:
                return pack
        return None

    def _pack(self, base_version: int | None, update: Json, data: bytes, now: float) -> _PackedUpdate:
        self._packed_count += 1
        return _PackedUpdate(
            id=f"{self._name}-{self._packed_count}",
            base_version=None if update["full"] else base_version,
            version=update["version"],
            data=zlib.compress(data, COMPRESSION_LEVEL),
            packed_at=now,
        )

    def _is_large(self, pack: _PackedUpdate) -> bool:
        return len(pack.data) > self._fragment_bytes

    def _fragment(self, pack: _PackedUpdate, offset: int) -> Json:
        self._touch(pack)
        return {
            "version": pack.version,
            "full": pack.base_version is None,
            "id": pack.id,
            "at": offset,
            "size": len(pack.data),
            "part": pack.data[offset : offset + self._fragment_bytes],
        }

    def _touch(self, pack: _PackedUpdate) -> None:
        """Make it the most recently used, and drop what is over the limit."""
        self._packs.pop(pack.id, None)
        self._packs[pack.id] = pack
        while len(self._packs) > MAX_CACHED_UPDATES:
            del self._packs[next(iter(self._packs))]


class Reassembler:
    """The receiver's side: the fragments of the current update so far."""

    def __init__(self) -> None:
        self._id = ""
        self._data = bytearray()
        self._full = False

    def wanted_fragment(self) -> list[Any] | None:
        """`[id, at]` of the next fragment, as a request carries it; None: none is missing."""
        return [self._id, len(self._data)] if self._id else None

    def add(self, message: Json) -> Json | None:
        """The update, once it is complete; None: more fragments are to come. ValueError: it is not valid."""
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
        packed = {"version": message["version"], "full": self._full, "pack": bytes(self._data)}
        self._id = ""
        self._data = bytearray()
        return decompress_update(packed)


def decompress_update(message: Json) -> Json:
    """The update in a compressed message. ValueError: not compressed data, incomplete or too large."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(message["pack"], MAX_UNPACKED_BYTES)
        if not decompressor.eof:
            raise ValueError("a pack that is cut or too large")
        values, gone = cbor2.loads(data)
    except (zlib.error, cbor2.CBORDecodeError, TypeError) as error:
        raise ValueError(f"no pack: {error}") from None
    return {"version": message["version"], "full": message["full"], "set": values, "gone": gone}


def decompress_sources(sources: dict[str, Json]) -> dict[str, Json]:
    """The updates of a response by state source, decompressed. Raises ValueError as `decompress_update`."""
    return {
        name: decompress_update(message) if "pack" in message else message
        for name, message in sources.items()
    }
