"""A difference too large for one call: packed once, told in pieces, put together again. Pure.

A difference is `{version, full, set, gone}`. Told packed it is `{version, full, pack}` (compressed cbor2),
and in pieces `{version, full, id, at, size, part}`: bytes from `at` on of a pack of `size` bytes. Who has a
piece asks for the next by `[id, at]`; a pack is kept while somebody does, whatever changes meanwhile, and
told to all who lack the same.
"""

import zlib
from typing import Any, Final

import cbor2
from attrs import define

PIECE: Final = 48 << 10  # bytes: 0.2 s on a line of 2 Mbit/s
LEAST: Final = 2000  # bytes from which on a difference is worth compressing
FRESH_S: Final = 5.0  # a pack that was made so lately is told to others who lack the same
KEPT_MOST: Final = 8  # packs
VALUE_MOST: Final = 64 << 20  # bytes that a pack may open to
Json = dict[str, Any]


@define
class _Pack:
    id: str
    have: int | None  # whose holder lacks it; None: of all there is
    version: int
    data: bytes
    made: float


class Cutter:
    def __init__(self, name: str, piece: int = PIECE, least: int = LEAST) -> None:
        """`name`: of this process's life, so that nobody's offset is taken for one in another pack."""
        self._name, self._piece, self._least = name, piece, least
        self._packs: dict[str, _Pack] = {}  # by id, the one used longest ago first
        self._made = 0

    def next(
        self, have: int | None, told: Json, asked: list[Any] | None, now: float, parts: bool = True
    ) -> Json:
        """What one is told that is at `have` and lacks `told`; `asked`: `[id, at]` of the piece it wants.

        `parts`: it can put pieces together.
        """
        pack = self._packs.get(asked[0]) if asked else None
        if pack is not None and asked is not None and 0 <= asked[1] < len(pack.data):
            return self._part(pack, asked[1])
        key = None if told["full"] else have
        kept = (one for one in self._packs.values() if one.have == key and self._fits(one, told, now))
        pack = next(kept, None)
        if pack is None:
            data = cbor2.dumps([told["set"], told["gone"]])
            if len(data) <= self._least:
                return told
            self._made += 1
            id = f"{self._name}-{self._made}"
            pack = _Pack(id, key, told["version"], zlib.compress(data, 6), now)
        if parts and len(pack.data) > self._piece:
            return self._part(pack, 0)
        self._use(pack)
        return {"version": pack.version, "full": told["full"], "pack": pack.data}

    def _fits(self, pack: _Pack, told: Json, now: float) -> bool:
        """Small ones are made for each version; large ones are shared, what changed since is told after."""
        if pack.version == told["version"]:
            return True
        return len(pack.data) > self._piece and now - pack.made < FRESH_S

    def _part(self, pack: _Pack, at: int) -> Json:
        self._use(pack)
        size, part = len(pack.data), pack.data[at : at + self._piece]
        full = pack.have is None
        return {"version": pack.version, "full": full, "id": pack.id, "at": at, "size": size, "part": part}

    def _use(self, pack: _Pack) -> None:
        self._packs.pop(pack.id, None)
        self._packs[pack.id] = pack
        while len(self._packs) > KEPT_MOST:
            del self._packs[next(iter(self._packs))]


class Joiner:
    """The other end: what has come of a difference so far."""

    def __init__(self) -> None:
        self._id, self._data, self._full = "", bytearray(), False

    def asks(self) -> list[Any] | None:
        """`[id, at]` of the next piece; None: none is wanted."""
        return [self._id, len(self._data)] if self._id else None

    def take(self, told: Json) -> Json | None:
        """The difference, once it is there whole; None: more is to come. ValueError: it cannot be read."""
        if "part" not in told:
            self._id = ""
            return opened(told) if "pack" in told else told
        if told["id"] != self._id or told["at"] != len(self._data):
            self._id, self._data, self._full = "", bytearray(), bool(told["full"])
            if told["at"] != 0:
                return None
        self._id = told["id"]
        self._data += told["part"]
        if len(self._data) < told["size"]:
            return None
        whole = {"version": told["version"], "full": self._full, "pack": bytes(self._data)}
        self._id, self._data = "", bytearray()
        return opened(whole)


def opened(told: Json) -> Json:
    """A packed difference as it was. ValueError: it is no pack, cut or too large."""
    opening = zlib.decompressobj()
    try:
        data = opening.decompress(told["pack"], VALUE_MOST)
        if not opening.eof:
            raise ValueError("a pack that is cut or too large")
        values, gone = cbor2.loads(data)
    except (zlib.error, cbor2.CBORDecodeError, TypeError) as error:
        raise ValueError(f"no pack: {error}") from None
    return {"version": told["version"], "full": told["full"], "set": values, "gone": gone}


def unpacked(sources: dict[str, Json]) -> dict[str, Json]:
    """What an answer tells of its sources, packs opened. ValueError as `opened`."""
    return {name: opened(told) if "pack" in told else told for name, told in sources.items()}
