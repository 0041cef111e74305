"""Frames on a byte stream: how one CBOR value is delimited and checked. No sockets.

A frame is a length and a checksum (4 bytes each, big-endian), then one CBOR value. The checksum is the CRC-32
of the value's bytes, started from one seed for requests and another for responses: bytes put together of two
frames, and frames that come back to their sender, do not pass.
"""

import struct
import zlib
from typing import Any, Final

import cbor2

MAX_FRAME_BYTES: Final = 8 << 20  # a complete configuration of thousands of routes
REQUEST_CRC_SEED: Final = zlib.crc32(b"call")
RESPONSE_CRC_SEED: Final = zlib.crc32(b"answer")
_HEADER: Final = struct.Struct(">II")  # length, checksum


def encode_frame(crc_seed: int, value: Any) -> bytes:
    """The frame of `value` as it is sent.

    `crc_seed`: `REQUEST_CRC_SEED` or `RESPONSE_CRC_SEED`. Raises ValueError where the value is larger than
    `MAX_FRAME_BYTES`: no receiver would read it.
    """
    payload = cbor2.dumps(value)
    if len(payload) > MAX_FRAME_BYTES:
        raise ValueError(f"a frame of {len(payload)} bytes, {MAX_FRAME_BYTES} at most")
    return _HEADER.pack(len(payload), zlib.crc32(payload, crc_seed)) + payload


class FrameDecoder:
    """Splits the bytes of one connection into the values of its frames; keeps an incomplete frame."""

    def __init__(self, crc_seed: int) -> None:
        self._crc_seed = crc_seed
        self._buffer = bytearray()

    @property
    def has_partial_frame(self) -> bool:
        """Whether a frame has begun and is not complete."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Any]:
        """The values of all frames that `data` completes.

        Raises ValueError for a frame that is too long, whose checksum is wrong, or that is no CBOR. Nothing
        after it can be trusted: the connection must be closed.
        """
        self._buffer += data
        values = []
        while len(self._buffer) >= _HEADER.size:
            size, checksum = _HEADER.unpack_from(self._buffer)
            if size > MAX_FRAME_BYTES:
                raise ValueError(f"a frame of {size} bytes")
            end = _HEADER.size + size
            if len(self._buffer) < end:
                break
            payload = bytes(self._buffer[_HEADER.size : end])
            if zlib.crc32(payload, self._crc_seed) != checksum:
                raise ValueError("a frame whose check fails")
            try:
                values.append(cbor2.loads(payload))
            except cbor2.CBORDecodeError as error:
                raise ValueError(str(error)) from None
            del self._buffer[:end]
        return values
