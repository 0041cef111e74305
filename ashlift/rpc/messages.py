"""Encodes and decodes requests and responses. No other module knows the positions of their fields.

On the wire: a request `[number, method, body]`, a response `[number, body]`, a failure
`[number, null, reason, detail]`. The number is that of the request; a client's request numbers rise.
"""

from typing import Any, Final, NamedTuple

from ashlift.errors import Failure
from ashlift.rpc.framing import REQUEST_CRC_SEED, RESPONSE_CRC_SEED, encode_frame

REQUEST_FIELDS: Final = 3
RESPONSE_FIELDS: Final = 2
FAILURE_FIELDS: Final = 4


class Request(NamedTuple):
    """A decoded request."""

    number: int
    method: str
    body: Any


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
