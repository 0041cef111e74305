"""Requests and responses as frames carry them. The only module that knows the positions of their fields.

On the wire: a request `[number, method, body]`, a response `[number, body]`, a failure
`[number, null, reason, detail]`. The number is the request's, rising over the life of a client.
"""

from typing import Any, NamedTuple

from ashlift.errors import Failure
from ashlift.rpc.framing import REQUEST_CRC_SEED, RESPONSE_CRC_SEED, encode_frame


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


def decode_request(value: Any) -> Request:
    """The request in a frame's value. Raises ValueError where it is none."""
    match value:
        case [int(number), str(method), body]:
            return Request(number, method, body)
    raise ValueError("no call")


def decode_response(value: Any) -> Response:
    """The response in a frame's value. Raises ValueError where it is none."""
    match value:
        case [int(number), body]:
            return Response(number, body)
        case [int(number), None, str(reason), str(detail)]:
            return Response(number, Failure(reason, detail))
    raise ValueError("no answer")
