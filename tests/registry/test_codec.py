"""Wire format of records and RPC bodies: round trips, and rejection of invalid input."""

from typing import Any

from ward import each, raises, test

from ashlift.errors import Failure, FailureReason
from ashlift.registry import codec
from ashlift.registry.delta import Delta
from ashlift.registry.messages import SwapOrigin, SwapRequest, SwapResponse
from ashlift.registry.records import SessionRecord, WorkerRecord, WorkerState

NOW = 100.0
WORKER = WorkerRecord("s", "10.0.0.9:80", "z", 2, WorkerState.DRAINING, 7, NOW + 1.25, "v1")
SESSION = SessionRecord("10.1.0.1:80", "z", "r", True, NOW)
PULL: dict[str, Any] = {
    "node": "edge-1",
    "incarnation": "0",
    "zone": "z",
    "region": "r",
    "front": "10.1.0.1:80",
    "ready": True,
    "have": {"vise": 3, "core-1#0": 8},
}


@test("worker and session records keep their wire format and survive a round trip")
def _() -> None:
    worker = codec.encode_worker(WORKER, NOW)
    assert worker == {
        "service": "s",
        "address": "10.0.0.9:80",
        "zone": "z",
        "capacity": 2,
        "state": "draining",
        "seq": 7,
        "warm": 1.25,
        "version": "v1",
    }
    assert type(worker["state"]) is str
    assert codec.decode_worker(worker, NOW) == WORKER
    session = codec.encode_session(SESSION)
    assert session == {"front": "10.1.0.1:80", "zone": "z", "region": "r", "ready": True}
    assert codec.decode_session(session, NOW) == SESSION


@test("a record with missing or unknown fields is rejected")
def _() -> None:
    with raises(ValueError):
        codec.decode_worker({**codec.encode_worker(WORKER, NOW), "more": 1}, NOW)
    with raises(ValueError):
        codec.decode_session({"front": "10.1.0.1:80"}, NOW)


@test("swap: requests and responses of each kind are lists and survive a round trip")
def _() -> None:
    request = SwapRequest("ab", 7, None)
    assert codec.encode_swap_request(request) == ["ab", 7]
    assert codec.decode_swap_request(["ab", 7]) == request
    introduced = SwapRequest("ab", 7, "10.0.0.1")
    assert codec.encode_swap_request(introduced) == ["ab", 7, "10.0.0.1"]
    assert codec.decode_swap_request(["ab", 7, "10.0.0.1"]) == introduced
    unchanged = SwapResponse(7, None)
    assert codec.encode_swap_response(unchanged, NOW) == 7
    assert codec.decode_swap_response(7, NOW) == unchanged
    delta = SwapResponse(8, Delta(8, False, {"w/1": WORKER, "c/t": [3, 1]}, ["g/edge-1"]))
    encoded = codec.encode_swap_response(delta, NOW)
    assert encoded == [8, {"w/1": codec.encode_worker(WORKER, NOW), "c/t": [3, 1]}, ["g/edge-1"]]
    assert codec.decode_swap_response(encoded, NOW) == delta
    aged = SwapResponse(8, Delta(8, False, {"c/t": [3, 1]}, []), None, 0.75, 0.25)
    encoded = codec.encode_swap_response(aged, NOW)
    assert encoded == [8, {"c/t": [3, 1], "a/": [0.75, 0.25]}, []]
    assert codec.decode_swap_response(encoded, NOW) == aged
    origin = SwapOrigin("core-1", "ab", "z", "r", NOW - 12.5)
    snapshot = SwapResponse(8, Delta(8, True, {"g/edge-1": SESSION}, []), origin)
    encoded = codec.encode_swap_response(snapshot, NOW)
    assert encoded == [8, {"g/edge-1": codec.encode_session(SESSION)}, [], "core-1", "ab", "z", "r", 12.5]
    assert codec.decode_swap_response(encoded, NOW) == snapshot


@test("pull: missing fields get their defaults, and reports are decoded")
def _() -> None:
    request = codec.decode_pull_request(PULL)
    assert not isinstance(request, Failure)
    assert request.ready
    assert request.config_index == 3
    assert request.versions == {"vise": 3, "core-1#0": 8}
    assert request.usage.increments == []
    assert not request.accepts_packed
    assert not request.accepts_fragments
    reports = {"adds": {"number": 4, "counts": {"t": [3, 1]}}, "outs": {"w": 2}, "faults": {"w": [1, 9]}}
    request = codec.decode_pull_request({**PULL, **reports, "leaving": True, "packs": True, "part": None})
    assert not isinstance(request, Failure)
    assert not request.ready
    assert (request.usage.number, request.usage.increments) == (4, [("t", 3, 1)])
    assert request.load.in_flight == {"w": 2}
    assert request.load.failures == {"w": (1, 9)}
    assert request.accepts_packed
    assert request.accepts_fragments


@test("pull: an invalid body is a Failure: {change}")
def _(
    change: dict[str, Any] = each(
        {"have": 3}, {"adds": {"counts": {"t": 3}}}, {"outs": {"w": "x"}}, {"faults": {"w": 1}}, {"adds": 1}
    ),
) -> None:
    request = codec.decode_pull_request({**PULL, **change})
    assert isinstance(request, Failure)
    assert request.reason == FailureReason.INVALID


@test("swap: an invalid body is a Failure: {body}")
def _(body: Any = each([], ["ab"], ["ab", "x"], [8, {"w/1": {}}, []], [8, {}, [], "core-1"], None)) -> None:
    assert isinstance(codec.decode_swap_response(body, NOW), Failure)
    if body is None or len(body) < 3:
        assert isinstance(codec.decode_swap_request(body), Failure)
