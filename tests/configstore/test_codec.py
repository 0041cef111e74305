"""The wire format of messages between replicas, which processes of earlier releases send and understand."""

from typing import Any

from ward import each, raises, test

from ashlift.configstore.codec import (
    METHODS,
    UnknownMessageError,
    decode_append_response,
    decode_join_response,
    decode_payload,
    decode_request,
    decode_vote_response,
    encode_payload,
    encode_request,
    encode_response,
    pack,
    unpack,
)
from ashlift.configstore.messages import (
    AppendAccepted,
    AppendBehind,
    AppendRejected,
    AppendRequest,
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
from ashlift.errors import Failure, FailureReason
from tests.support.replica_driver import feed, held_snapshot, make_replica, replies, request_received

REQUESTS: list[tuple[Request, str, list[Any]]] = [
    (VoteRequest(5, "10.0.0.2", 4, 17, True), "request_vote", [5, "10.0.0.2", 4, 17, True]),
    (VoteRequest(5, "10.0.0.2", 4, 17, False), "request_vote", [5, "10.0.0.2", 4, 17, False]),
    (AppendRequest(5, "1", 9, 17, 16, 77, 8, None, False), "append", [5, "1", 9, 17, 16, 77, 8, None]),
    (AppendRequest(5, "1", 9, 17, 16, 77, 8, None, True), "append", [5, "1", 9, 17, 16, 77, 8, True]),
    (AppendRequest(5, "1", 9, 17, 16, 77, 8, b"x", False), "append", [5, "1", 9, 17, 16, 77, 8, b"x"]),
    (JoinRequest("1", 1234, True), "join", ["1", 1234, True]),
    (TransferRequest(5), "succeed", [5]),
]


@test("a request is encoded by field position and decodes to the same value: {body}")
def _(case: tuple[Request, str, list[Any]] = each(*REQUESTS), body: str = each(*map(str, REQUESTS))) -> None:
    request, method, wire = case
    assert encode_request(request) == (method, wire), body
    assert decode_request(method, wire) == request


APPEND_RESPONSES: list[tuple[Response, list[Any]]] = [
    (AppendRejected(6), [6, 3, 0]),
    (AppendAccepted(5, 77), [5, 1, 77]),
    (AppendAccepted(5, 77, 1234), [5, 1, 77, 1234]),
    (AppendBehind(5, 77, None, (4, 16)), [5, 2, 77, None, [4, 16]]),
    (AppendBehind(5, 77, b"digests", (4, 16)), [5, 2, 77, b"digests", [4, 16]]),
    (LearnerStatus(5, 77, 1234, False, b"digests", (4, 16)), [5, 4, 77, 1234, False, b"digests", [4, 16]]),
]


@test("a response to an append request is encoded by field position and decodes to the same value")
def _() -> None:
    for response, wire in APPEND_RESPONSES:
        assert encode_response(response) == wire
        assert decode_append_response(wire) == response


@test("a response to an append request from an earlier or later release is understood")
def _() -> None:
    assert decode_append_response([5, 2, 77, None]) == AppendBehind(5, 77, None, None)
    early_learner = decode_append_response([5, 4, 77, 1234, True, None])
    assert early_learner == LearnerStatus(5, 77, 1234, True, None, None)
    assert decode_append_response([5, 9, 77, "more"]) == AppendBehind(5, 77, None, None)


@test("responses to votes, joins and transfers are encoded by field position and decode to the same value")
def _() -> None:
    for vote, wire in ((VoteResponse(5, False), [5, False]), (VoteResponse(5, True, 1234), [5, True, 1234])):
        assert encode_response(vote) == wire
        assert decode_vote_response(wire) == vote
    for join, body in (
        (JoinResponse(None, None), [None, None]),
        (JoinResponse("1", (4, 16)), ["1", [4, 16]]),
    ):
        assert encode_response(join) == body
        assert decode_join_response(body) == join
    assert decode_join_response(["1"]) is None
    assert decode_join_response(Failure(FailureReason.INVALID)) is None
    assert encode_response(TransferAccepted()) == [True]


PAYLOADS: list[tuple[Payload, list[Any]]] = [
    (Delta((4, 16), {"a": 1}, ["b"], b"digest"), [1, 4, 16, {"a": 1}, ["b"], b"digest"]),
    (RangeUpdate({3: b"range"}, {}, [], b"digest"), [2, {3: b"range"}, b"digest"]),
    (Promotion(1234), [3, 1234]),
    (Promotion(1234, (4, 16)), [3, 1234, 4, 16]),
    (RangeUpdate({3: b"range"}, {"a": 1}, ["b"], b"digest"), [4, {3: b"range"}, {"a": 1}, ["b"], b"digest"]),
]


@test("a payload is a compressed list of fields and decodes to the same value")
def _() -> None:
    for payload, fields in PAYLOADS:
        assert encode_payload(payload) == pack(fields)
        assert unpack(encode_payload(payload)) == fields
        assert decode_payload(encode_payload(payload)) == payload
    assert decode_payload(pack([99, "of a later release"])) is None


MALFORMED_REQUESTS: list[tuple[str, Any]] = [
    ("request_vote", [5, "2", 4, 17]),
    ("request_vote", [5, "2", 4, 17, 1]),
    ("append", [5, "1", 9, 17, 16, 77, 8]),
    ("append", ["5", "1", 9, 17, 16, 77, 8, None]),
    ("join", ["1", None, True]),
    ("succeed", []),
    ("succeed", {"term": 5}),
    ("unknown", [5]),
]


@test("a body that does not fit its method is answered INVALID with the method's name, changing nothing")
def _() -> None:
    for method, body in MALFORMED_REQUESTS:
        with raises(UnknownMessageError) as raised:
            decode_request(method, body)
        assert str(raised.raised) == method
        replica = make_replica(None, held_snapshot())
        replica.vote = replica.vote._replace(is_voter=True)
        before = replica.vote, replica.snapshot
        found = replies(feed(replica, 5.0, request_received(method, body)))
        assert found == [Failure(FailureReason.INVALID, method)]
        assert (replica.vote, replica.snapshot) == before
    assert sorted(METHODS) == ["append", "join", "request_vote", "succeed"]


@test("an append request with a malformed payload is answered INVALID")
def _() -> None:
    for payload in (b"", b"no zlib", pack([]), pack([1, 1, 3]), pack([2]), pack([3]), pack([4, {}])):
        replica = make_replica(None, held_snapshot())
        replica.vote = replica.vote._replace(is_voter=True)
        body = [2, "2", 1, 4, 0, 0, 0, payload]
        (failure,) = replies(feed(replica, 5.0, request_received("append", body)))
        assert failure.reason == FailureReason.INVALID
        assert replica.term_index == (0, 0)
