"""Wire format of the messages between replicas: field positions, codes and method names.

Processes of earlier releases run side by side with this one, so the format must not change. An RPC body is a
list; a payload is a compressed CBOR list in it. Decoding a malformed body raises ValueError, TypeError or
LookupError, which the receiver answers with `FailureReason.INVALID`.
"""

import zlib
from collections.abc import Callable
from typing import Any, Final

import cbor2

from ashlift.configstore.messages import (
    AppendAccepted,
    AppendBehind,
    AppendRejected,
    AppendRequest,
    AppendResponse,
    Delta,
    JoinRequest,
    JoinResponse,
    LearnerStatus,
    Payload,
    Promotion,
    RangeUpdate,
    Request,
    Response,
    TransferAccepted,
    TransferRequest,
    VoteRequest,
    VoteResponse,
)
from ashlift.configstore.persistent_state import TermIndex

METHOD_APPEND: Final = "append"
METHOD_VOTE: Final = "request_vote"
METHOD_JOIN: Final = "join"
METHOD_TRANSFER: Final = "succeed"
METHODS: Final = (METHOD_VOTE, METHOD_APPEND, METHOD_JOIN, METHOD_TRANSFER)

# Codes of the responses to `append`: `[term, code, clock token, *fields]`.
CODE_ACCEPTED: Final = 1  # fields: none, or the incarnation if not a voter
CODE_BEHIND: Final = 2  # fields: range digests or null, `[term, index]` held
CODE_REJECTED: Final = 3  # the clock token is 0
CODE_LEARNER: Final = 4  # fields: incarnation, is_caught_up, range digests or null, `[term, index]`

# Kinds of payloads: `[kind, *fields]`.
KIND_DELTA: Final = 1  # fields: base term, base index, updates, deletions, digest
KIND_RANGES: Final = 2  # fields: {range number: bytes}, digest
KIND_PROMOTION: Final = 3  # fields: incarnation, and optionally term and index of the map
KIND_RANGES_AND_CHANGES: Final = 4  # fields: {range number: bytes}, updates, deletions, digest

COMPRESSION_LEVEL: Final = 1


class UnknownMessageError(ValueError):
    """An unknown method, or a body that does not fit its method."""


# ---- requests
def encode_request(request: Request) -> tuple[str, list[Any]]:
    """The RPC method and the body of a request."""
    match request:
        case AppendRequest():
            payload = True if request.wants_digests else request.payload
            return METHOD_APPEND, [*request[:7], payload]
        case VoteRequest():
            return METHOD_VOTE, [*request]
        case JoinRequest():
            return METHOD_JOIN, [*request]
        case TransferRequest():
            return METHOD_TRANSFER, [*request]


def decode_request(method: str, body: Any) -> Request:
    """Decode a request. Raises UnknownMessageError with the method's name."""
    decode = _REQUEST_DECODERS.get(method)
    request = None if decode is None else decode(body)
    if request is None:
        raise UnknownMessageError(method)
    return request


def _decode_append(body: Any) -> AppendRequest | None:
    match body:
        case [int(), str(), int(), int(), int(), int(), int(), bytes(payload)]:
            return AppendRequest._make([*body[:7], payload, False])
        case [int(), str(), int(), int(), int(), int(), int(), payload]:
            return AppendRequest._make([*body[:7], None, payload is not None])
    return None


def _decode_vote(body: Any) -> VoteRequest | None:
    match body:
        case [int(), str(), int(), int(), bool()]:
            return VoteRequest(*body)
    return None


def _decode_join(body: Any) -> JoinRequest | None:
    match body:
        case [str(), int(), bool()]:
            return JoinRequest(*body)
    return None


def _decode_transfer(body: Any) -> TransferRequest | None:
    match body:
        case [int()]:
            return TransferRequest(*body)
    return None


_REQUEST_DECODERS: Final[dict[str, Callable[[Any], Request | None]]] = {
    METHOD_APPEND: _decode_append,
    METHOD_VOTE: _decode_vote,
    METHOD_JOIN: _decode_join,
    METHOD_TRANSFER: _decode_transfer,
}


# ---- responses
def encode_response(response: Response) -> list[Any]:
    """The body of an RPC response."""
    match response:
        case VoteResponse(term, granted, incarnation):
            return [term, granted] if incarnation is None else [term, granted, incarnation]
        case JoinResponse(leader_ip, displaced_by):
            return [leader_ip, _encode_position(displaced_by)]
        case TransferAccepted():
            return [True]
    return _encode_append_response(response)


def _encode_append_response(response: AppendResponse) -> list[Any]:
    match response:
        case AppendRejected(term):
            return [term, CODE_REJECTED, 0]
        case AppendAccepted(term, clock_token, incarnation):
            accepted = [term, CODE_ACCEPTED, clock_token]
            return accepted if incarnation is None else [*accepted, incarnation]
        case AppendBehind(term, clock_token, range_digests, position):
            return [term, CODE_BEHIND, clock_token, range_digests, _encode_position(position)]
        case LearnerStatus(term, clock_token, incarnation, is_caught_up, range_digests, position):
            fields = [incarnation, is_caught_up, range_digests, _encode_position(position)]
            return [term, CODE_LEARNER, clock_token, *fields]


def decode_vote_response(body: Any) -> VoteResponse:
    """Decode the response to `request_vote`. Raises ValueError or TypeError."""
    term, granted, *fields = body
    return VoteResponse(term, granted, fields[0] if fields else None)


def decode_append_response(body: Any) -> AppendResponse:
    """Decode the response to `append`. Raises ValueError or TypeError.

    An unknown code, of a later release, decodes to `AppendBehind` without digests and position.
    """
    term, code, clock_token, *fields = body
    if code == CODE_REJECTED:
        return AppendRejected(term)
    if code == CODE_ACCEPTED:
        return AppendAccepted(term, clock_token, fields[0] if fields else None)
    if code == CODE_LEARNER:
        incarnation, is_caught_up, range_digests, *rest = fields
        position = _decode_position(rest)
        return LearnerStatus(term, clock_token, incarnation, is_caught_up, range_digests, position)
    if code == CODE_BEHIND:
        range_digests, *rest = fields
        return AppendBehind(term, clock_token, range_digests, _decode_position(rest))
    return AppendBehind(term, clock_token, None, None)


def decode_join_response(body: Any) -> JoinResponse | None:
    """Decode the response to `join`; None if the body is something else."""
    match body:
        case [leader_ip, displaced_by]:
            return JoinResponse(leader_ip, None if displaced_by is None else tuple(displaced_by))
    return None


def _encode_position(position: TermIndex | None) -> list[int] | None:
    return None if position is None else [*position]


def _decode_position(fields: list[Any]) -> TermIndex | None:
    """The reported term and index; None from processes of early releases, which omit them."""
    return tuple(fields[0]) if fields else None


# ---- payloads
def encode_payload(payload: Payload) -> bytes:
    """The compressed bytes of a payload."""
    match payload:
        case Delta(base, updates, deletions, digest):
            return pack([KIND_DELTA, *base, updates, deletions, digest])
        case RangeUpdate(ranges, updates, deletions, digest) if updates or deletions:
            return pack([KIND_RANGES_AND_CHANGES, ranges, updates, deletions, digest])
        case RangeUpdate(ranges=ranges, digest=digest):
            return pack([KIND_RANGES, ranges, digest])
        case Promotion(incarnation, term_index):
            return pack([KIND_PROMOTION, incarnation, *(term_index or ())])


def decode_payload(data: bytes) -> Payload | None:
    """Decode a payload; None if its kind is unknown. Raises ValueError or LookupError if it is malformed."""
    kind, *fields = unpack(data)
    if kind == KIND_DELTA:
        term, index, updates, deletions, digest = fields
        return Delta((term, index), updates, deletions, digest)
    if kind == KIND_RANGES:
        return RangeUpdate(fields[0], {}, [], fields[-1])
    if kind == KIND_RANGES_AND_CHANGES:
        updates, deletions = fields[1:3]
        return RangeUpdate(fields[0], updates, deletions, fields[-1])
    return Promotion(fields[0], tuple(fields[1:]) or None) if kind == KIND_PROMOTION else None


def pack(payload: list[Any]) -> bytes:
    """Encode a list as compressed CBOR."""
    return zlib.compress(cbor2.dumps(payload), COMPRESSION_LEVEL)


def unpack(data: bytes) -> list[Any]:
    """Decode a compressed CBOR list. Raises ValueError for other data."""
    try:
        value = cbor2.loads(zlib.decompress(data))
    except (zlib.error, cbor2.CBORDecodeError) as error:
        raise ValueError(str(error)) from None
    if not isinstance(value, list):
        raise ValueError("no payload")
    return value
