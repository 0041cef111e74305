"""Encodes and decodes requests and responses. No other module knows the positions of their fields.

On the wire: a request `[number, method, body]`, a response `[number, body]`, a failure
`[number, null, reason, detail]`. The number is that of the request; a client's request numbers rise.
"""

from io import BytesIO
from typing import Any, Final, NamedTuple

import cbor2

from ashlift.errors import Failure
from ashlift.rpc.framing import REQUEST_CRC_SEED, RESPONSE_CRC_SEED, encode_frame

REQUEST_FIELDS: Final = 3
REQUEST_ARRAY_MARKER: Final = bytes([0x80 | REQUEST_FIELDS])  # the first byte of a CBOR array of that length
MAX_REQUEST_HEADER_BYTES: Final = 256
RESPONSE_FIELDS: Final = 2
FAILURE_FIELDS: Final = 4


class Request(NamedTuple):
    """A decoded request."""

    number: int
    method: str
    body: Any


class RequestHeader(NamedTuple):
    """The fields of a request before its body."""

    number: int
    method: str


class Response(NamedTuple):
    """A decoded response; `result`: the body, or a Failure."""

    number: int
    result: Any | Failure


def encode_request(number: int, method: str, body: Any) -> bytes:
    """Encode a request as a frame. Raises ValueError if it is too large."""
    return encode_frame(REQUEST_CRC_SEED, [number, method, body])


def encode_response(number: int, result: Any | Failure) -> bytes:
    """Encode a response as a frame. Raises ValueError if it is too large."""
    if isinstance(result, Failure):
        return encode_frame(RESPONSE_CRC_SEED, [number, None, result.reason, result.detail])
    return encode_frame(RESPONSE_CRC_SEED, [number, result])


# Checks by isinstance and length instead of `match`, whose sequence patterns are much slower.


def decode_request(value: Any) -> Request:
    """Decode the value of a request's frame. Raises ValueError if it is malformed."""
    if isinstance(value, list) and len(value) == REQUEST_FIELDS:
        number, method, body = value
        if isinstance(number, int) and isinstance(method, str):
            return Request(number, method, body)
    raise ValueError("malformed request")


def decode_request_header(payload: bytes) -> RequestHeader:
    """Decode the beginning of a request's payload, without its body. Raises ValueError if it is malformed."""
    stream = BytesIO(payload[:MAX_REQUEST_HEADER_BYTES])
    if stream.read(1) != REQUEST_ARRAY_MARKER:
        raise ValueError("malformed request")
    try:
        number = cbor2.load(stream)
        method = cbor2.load(stream)
    except cbor2.CBORDecodeError as error:
        raise ValueError(str(error)) from None
    if not isinstance(number, int) or not isinstance(method, str):
        raise ValueError("malformed request")
    return RequestHeader(number, method)


def refused_request(payload: bytes) -> Request:
    """The request with this payload, without its body. Raises ValueError if it is malformed."""
    header = decode_request_header(payload)
    return Request(header.number, header.method, None)


def decode_response(value: Any) -> Response:
    """Decode the value of a response's frame. Raises ValueError if it is malformed."""
    if isinstance(value, list) and value and isinstance(value[0], int):
        if len(value) == RESPONSE_FIELDS:
            return Response(value[0], value[1])
        if len(value) == FAILURE_FIELDS:
            number, absent, reason, detail = value
            if absent is None and isinstance(reason, str) and isinstance(detail, str):
                return Response(number, Failure(reason, detail))
    raise ValueError("malformed response")
