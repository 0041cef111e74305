"""Encoding and decoding of frames and messages, and rejection of invalid ones."""

from collections.abc import Callable
from typing import Any

from ward import each, raises, test

from ashlift.errors import Failure, FailureReason
from ashlift.rpc.framing import (
    MAX_FRAME_BYTES,
    REQUEST_CRC_SEED,
    RESPONSE_CRC_SEED,
    FrameDecoder,
    encode_frame,
)
from ashlift.rpc.messages import (
    Request,
    Response,
    decode_request,
    decode_response,
    encode_request,
    encode_response,
)
from tests.support.mutation import is_detected, mutated_function

HEADER_BYTES = 8
FIRST = encode_request(1, "echo", b"a" * 90)
SECOND = encode_request(2, "echo", b"b" * 90)


@test("frames: mixed, corrupted and reflected frames are rejected")
def _() -> None:
    for length in range(1, len(FIRST)):
        with raises(ValueError):
            FrameDecoder(REQUEST_CRC_SEED).feed(FIRST[:length] + SECOND + SECOND)
    for position in range(HEADER_BYTES, len(FIRST)):
        changed = bytearray(FIRST)
        changed[position] ^= 0x10
        with raises(ValueError):
            FrameDecoder(REQUEST_CRC_SEED).feed(bytes(changed))
    with raises(ValueError):
        FrameDecoder(RESPONSE_CRC_SEED).feed(FIRST)  # a connection that returns the sender's own bytes
    values = FrameDecoder(REQUEST_CRC_SEED).feed(FIRST + SECOND)
    assert values == [[1, "echo", b"a" * 90], [2, "echo", b"b" * 90]]


@test("frames: the values do not depend on where the stream is split")
def _() -> None:
    data = FIRST + SECOND
    for length in range(len(data) + 1):
        decoder = FrameDecoder(REQUEST_CRC_SEED)
        values = decoder.feed(data[:length]) + decoder.feed(data[length:])
        assert values == [[1, "echo", b"a" * 90], [2, "echo", b"b" * 90]]


@test("frames: one above the size limit is not encoded, and is rejected by its header")
def _() -> None:
    with raises(ValueError):
        encode_frame(REQUEST_CRC_SEED, b"x" * MAX_FRAME_BYTES)
    header = (MAX_FRAME_BYTES + 1).to_bytes(4, "big") + bytes(4)
    with raises(ValueError):
        FrameDecoder(REQUEST_CRC_SEED).feed(header)


@test("messages: requests, responses and failures are decoded as they were encoded")
def _() -> None:
    (request,) = FrameDecoder(REQUEST_CRC_SEED).feed(encode_request(7, "pull", {"have": 3}))
    assert decode_request(request) == Request(7, "pull", {"have": 3})
    for result in ({"index": 4}, None, Failure(FailureReason.REJECTED, "not now")):
        (response,) = FrameDecoder(RESPONSE_CRC_SEED).feed(encode_response(7, result))
        assert decode_response(response) == Response(7, result)


@test("messages: {value} is neither a request nor a response")
def _(
    value: Any = each(
        None,
        7,
        "text",
        {},
        [],
        [1],
        ["1", "pull"],
        ["1", "pull", 3],
        [1, ["pull"], 3],
        [1, None, 7, 8],
        [1, "pull", "reason", "detail"],
        [1, 2, 3, 4, 5],
    ),
) -> None:
    with raises(ValueError):
        decode_request(value)
    with raises(ValueError):
        decode_response(value)


def read_mixed_frames() -> None:
    with raises(ValueError):
        FrameDecoder(REQUEST_CRC_SEED).feed(FIRST[:50] + SECOND[50:])


def read_unchecked_response() -> None:
    with raises(ValueError):
        decode_response([1, "a", "reason", "detail"])


MUTATIONS: dict[str, tuple[Callable[..., Any], str, str, Callable[[], None]]] = {
    "the checksum is not compared": (
        FrameDecoder.feed_payloads,
        "zlib.crc32(payload, self._crc_seed) != checksum",
        "False",
        read_mixed_frames,
    ),
    "a failure may have a body": (decode_response, "absent is None and", "", read_unchecked_response),
}


@test("frames, mutation: {name}: detected")
def _(name: str = each(*MUTATIONS)) -> None:
    where, old, new, check = MUTATIONS[name]
    with mutated_function(where, old, new):
        assert is_detected(check)
