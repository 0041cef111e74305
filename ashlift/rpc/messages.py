"""Requests and responses as frames carry them. The only module that knows the positions of their fields.

On the wire: a request `[number, method, body]`, a response `[number, body]`, a failure
`[number, null, reason, detail]`. The number is the request's, rising over the life of a client.
"""

from typing import Any, Final, NamedTuple

from ashlift.errors import Failure
from ashlift.rpc.framing import REQUEST_CRC_SEED, RESPONSE_CRC_SEED, encode_frame

REQUEST_FIELDS: Final = 3
RESPONSE_FIELDS: Final = 2
FAILURE_FIELDS: Final = 4


class Request(NamedTuple):
    """A request as it was received."""

    number: int
    method: str
    body: Any


class Response(NamedTuple):
    """A response as it was received; `result`: the body, or why there is none."""

    number: int
    result: Any | Failure


def encode_request(number: int, method: str, body: Any) -> bytes:
    """A request as a frame. Raises ValueError where it is too large."""
    return encode_frame(REQUEST_CRC_SEED, [number, method, body])


def encode_response(number: int, result: Any | Failure) -> bytes:
    """A response as a frame. Raises ValueError where it is too large."""
    if isinstance(result, Failure):
        return encode_frame(RESPONSE_CRC_SEED, [number, None, result.reason, result.detail])
    return encode_frame(RESPONSE_CRC_SEED, [number, result])


# Plain checks instead of `match`: a sequence pattern takes five times as long, once for each message.


def decode_request(value: Any) -> Request:
    """The request in a frame's value. Raises ValueError where it is none."""
    if isinstance(value, list) and len(value) == REQUEST_FIELDS:
        number, method, body = value
        if isinstance(number, int) and isinstance(method, str):
            return Request(number, method, body)
    raise ValueError("no call")


def decode_response(value: Any) -> Response:
    """The response in a frame's value. Raises ValueError where it is none."""
    if isinstance(value, list) and value and isinstance(value[0], int):
        if len(value) == RESPONSE_FIELDS:
            return Response(value[0], value[1])
        if len(value) == FAILURE_FIELDS:
            number, absent, reason, detail = value
            if absent is None and isinstance(reason, str) and isinstance(detail, str):
                return Response(number, Failure(reason, detail))
    raise ValueError("no answer")
