"""Encodes and decodes frames on a byte stream. No sockets.

A frame is a length and a checksum (4 bytes each, big-endian), followed by one CBOR value. The checksum is the
CRC-32 of the encoded value, with one seed for requests and another for responses. It rejects frames whose
bytes are corrupted or belong to two frames, and frames that are sent back to their sender.
"""

import struct
import zlib
from typing import Any, Final

import cbor2

MAX_FRAME_BYTES: Final = 8 << 20  # holds a complete configuration with thousands of routes
REQUEST_CRC_SEED: Final = zlib.crc32(b"call")
RESPONSE_CRC_SEED: Final = zlib.crc32(b"answer")
_HEADER: Final = struct.Struct(">II")  # length, checksum


def encode_frame(crc_seed: int, value: Any) -> bytes:
    """Encode `value` as a frame.

    `crc_seed`: `REQUEST_CRC_SEED` or `RESPONSE_CRC_SEED`. Raises ValueError if the encoded value is larger
    than `MAX_FRAME_BYTES`, the receivers' limit.
    """
    payload = cbor2.dumps(value)
    if len(payload) > MAX_FRAME_BYTES:
        raise ValueError(f"a frame of {len(payload)} bytes, {MAX_FRAME_BYTES} at most")
    return _HEADER.pack(len(payload), zlib.crc32(payload, crc_seed)) + payload


def decode_payload(payload: bytes) -> Any:
    """Decode the value of a frame. Raises ValueError if it is not CBOR."""
    try:
        return cbor2.loads(payload)
    except cbor2.CBORDecodeError as error:
        raise ValueError(str(error)) from None


class FrameDecoder:
    """Decodes the frames of one connection; buffers an incomplete frame until the rest of it arrives."""

    def __init__(self, crc_seed: int) -> None:
        self._crc_seed = crc_seed
        self._buffer = bytearray()

    @property
    def partial_bytes(self) -> int:
        """How much of an incomplete frame has been received."""
        return len(self._buffer)

    @property
    def has_partial_frame(self) -> bool:
        """Whether the beginning of an incomplete frame has been received."""
        return bool(self._buffer)

    def discard(self) -> None:
        """Hold nothing any more; the stream cannot be decoded further."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Any]:
        """Return the values of all frames that `data` completes; raises ValueError as `feed_payloads`."""
        return [decode_payload(payload) for payload in self.feed_payloads(data)]

    def feed_payloads(self, data: bytes) -> list[bytes]:
        """Return the encoded values of all frames that `data` completes.

        Raises ValueError for a frame that is too large or has a wrong checksum. The rest of the
        stream cannot be trusted then, so the connection must be closed.
        """
        self._buffer += data
        payloads = []
        while len(self._buffer) >= _HEADER.size:
            size, checksum = _HEADER.unpack_from(self._buffer)
            if size > MAX_FRAME_BYTES:
                raise ValueError(f"frame of {size} bytes exceeds the limit of {MAX_FRAME_BYTES}")
            end = _HEADER.size + size
            if len(self._buffer) < end:
                break
            payload = bytes(self._buffer[_HEADER.size : end])
            if zlib.crc32(payload, self._crc_seed) != checksum:
                raise ValueError("frame checksum does not match")
            payloads.append(payload)
            del self._buffer[:end]
        return payloads
